"""All that a node may do on a connection in each of its states, and the outcome of the pick on it."""

import socket
import unittest
from contextlib import closing

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.simulation.stand_ins import ROW

from .driver_rig import DriverRig
from .helpers import ONCE, method
from .node_messages import FAILED, FULL, INSERTED, SELECTED
from .peers_nodes import ConnectionPoolRig, FakeNode
from .test_endings_picks import RELEASED, accept_any

OK, ERROR, PUSHED, TIMEOUT, NO_CONNECT, RESET, _, _ = ifc.Outcome
LONG = "7" * 20_000_000  # a query of which the kernel takes only a part
NOISE = b"".join(
    [*pgwire.encode_message(b"N", b"SNOTICE\0Mnote\0\0"), *pgwire.encode_message(b"S", b"TimeZone\0note\0")]
)


def close(node):
    node.sock.shutdown(socket.SHUT_WR)


def reset(node):
    node.reset()


def send(data):
    return lambda node: node.send(data)


def stay_silent(node):
    pass


class CutTest(unittest.TestCase):
    def test_answers_cut_at_each_byte(self):
        """An answer is complete from the last byte of CommandComplete or of the error on."""
        with closing(ConnectionPoolRig()) as rig:
            rpc = 0
            for answer, ending, behind in (
                (SELECTED, OK, pgwire.READY_FOR_QUERY),
                (FULL, PUSHED, pgwire.READY_FOR_QUERY),
                (FAILED, ERROR, pgwire.READY_FOR_QUERY),
            ):
                for cut in range(len(answer)):
                    for end in (close, reset):
                        rpc += 1
                        rig.pick(rpc, min_idle_ms=1e9)
                        node = rig.node.accept_one()
                        node.wait_for_queries()
                        node.send(answer[:cut])
                        end(node)
                        whole = cut >= len(answer) - len(behind)
                        self.assertEqual((cut, rig.outcome(rpc)), (cut, ending if whole else RESET))
                        if ending == OK and whole:
                            self.assertEqual(b"".join(rig.results[rpc, 0].answer), b"".join(ROW))
                        else:
                            self.assertEqual(rig.results[rpc, 0].answer, [])
                        rig.until(lambda: rig.nodes.connection_count == 0)
                        node.sock.close()

    def once(self, sent):
        """Have the first node of a non-idempotent RPC send this and end; return the RPC's answer and the picks written."""
        with closing(DriverRig((method(ONCE, name="look"),))) as rig:
            rig.listing([peer.listed() for peer in rig.peers], RELEASED)
            rig.take(1, "look", write=True)
            first = accept_any(rig)
            first.send(pgwire.STARTUP_RESPONSE)
            first.wait_for_queries()
            first.send(sent)
            close(first)
            second = []

            def is_continued():
                second.extend(one for one in (peer.accept() for peer in rig.peers) if one is not None)
                return second or rig.answers

            rig.until(is_continued)
            if second:
                rig.until(second[0].started)
                second[0].send(pgwire.STARTUP_RESPONSE)
                second[0].wait_for_queries()
                second[0].send(INSERTED)
                rig.until(lambda: rig.answers)
            return rig.answers[1], 1 + len(second)

    def test_only_a_whole_pushback_gives_a_non_idempotent_rpc_another_pick(self):
        failed = pgwire.error_response(b"XX000", "aborted")
        for answer in (INSERTED, FULL):
            for cut in range(len(answer) - len(pgwire.READY_FOR_QUERY)):
                self.assertEqual((cut, self.once(answer[:cut])), (cut, (failed, 1)))
        for cut in range(len(FULL) - len(pgwire.READY_FOR_QUERY), len(FULL) + 1):
            self.assertEqual(self.once(FULL[:cut]), (INSERTED, 2))
        for cut in range(len(INSERTED) - len(pgwire.READY_FOR_QUERY), len(INSERTED) + 1):
            self.assertEqual(self.once(INSERTED[:cut]), (INSERTED, 1))

    def test_a_pushback_behind_the_begin_of_a_row_proves_nothing(self):
        for begun in (b"".join(ROW[:2]), b"".join(ROW[:4])):
            self.assertEqual(self.once(begun + FULL), (pgwire.error_response(b"XX000", "aborted"), 1))


class StatesTest(unittest.TestCase):
    """Each state of a connection, and all that its node may do in that state."""

    def check_outcome(self, rig, ending, node=None, act=stay_silent, rpc=1):
        act(node)
        self.assertEqual(rig.outcome(rpc), ending)
        return rig

    def test_dialing(self):
        with closing(ConnectionPoolRig(connect_timeout_s=0.05)) as rig:
            full, fill = FakeNode(rig, backlog=0), [socket.socket() for _ in range(4)]
            for one in fill:  # with its queue full, the next connection is neither established nor refused
                one.setblocking(False)
                one.connect_ex(full.sock.getsockname())
            rig.nodes.apply_node_list(ifc.ListKind.FULL, [full.listed()])
            rig.pick(1)
            self.check_outcome(rig, NO_CONNECT)
            full.close()
            rig.pick(2)
            self.check_outcome(rig, NO_CONNECT, rpc=2)  # refused
            self.assertEqual(rig.nodes.connection_count, 0)
            for one in fill:
                one.close()

    def test_welcoming(self):
        for act, ending in (
            (close, NO_CONNECT),
            (reset, NO_CONNECT),
            (send(FULL), PUSHED),
            (send(FAILED), NO_CONNECT),
            (stay_silent, NO_CONNECT),
            (send(SELECTED), NO_CONNECT),
            (send(b"\xff" * 9), NO_CONNECT),
        ):
            with closing(ConnectionPoolRig(connect_timeout_s=0.05)) as rig:
                rig.pick(1, wait_ms=60_000.0)
                self.check_outcome(rig, ending, rig.node.accept_one(welcome=False), act)
                self.assertEqual(rig.nodes.connection_count, 0)

    def test_a_welcome_that_drips(self):
        """A startup response that arrives byte by byte and never ends does not extend the time to connect."""
        with closing(ConnectionPoolRig(connect_timeout_s=0.1)) as rig:
            rig.pick(1, wait_ms=60_000.0)
            node, sent = rig.node.accept_one(welcome=False), 0
            while (1, 0) not in rig.results:
                node.send(NOISE[sent % len(NOISE) :][:1])
                sent += 1
                rig.turn()
            self.assertEqual(rig.outcome(1), NO_CONNECT)
            self.assertEqual(node.queries(), [])

    def test_query_half_written(self):
        for act, ending in (
            (close, NO_CONNECT),
            (reset, NO_CONNECT),
            (send(FULL), PUSHED),
            (send(FAILED), ERROR),
            (stay_silent, NO_CONNECT),
        ):
            with closing(ConnectionPoolRig()) as rig:
                rig.pick(1, write=True, code=LONG, wait_ms=50.0 if act is stay_silent else 5000.0)
                node = rig.node.accept_one()
                rig.until(lambda rig=rig: rig.connection().unsent)
                self.check_outcome(rig, ending, node, act)

    def test_answer_half_read(self):
        for act, ending in (
            (close, RESET),
            (reset, RESET),
            (send(FAILED), ERROR),
            (send(FULL), ERROR),
            (stay_silent, TIMEOUT),
        ):
            with closing(ConnectionPoolRig()) as rig:
                rig.pick(1, wait_ms=100.0 if act is stay_silent else 5000.0)
                node = rig.node.accept_one()
                node.wait_for_queries()
                node.send(b"".join(ROW[:4]))
                rig.until(lambda rig=rig: rig.connection().result.messages)
                self.check_outcome(rig, ending, node, act)
                self.assertEqual(rig.nodes.connection_count, int(ending == ERROR))

    def test_whole_but_not_ready(self):
        for act in (close, reset, send(FULL), send(SELECTED), stay_silent):
            with closing(ConnectionPoolRig(connect_timeout_s=0.05)) as rig:
                rig.pick(1)
                node = rig.node.accept_one()
                node.wait_for_queries()
                node.send(b"".join(ROW))
                self.check_outcome(rig, OK)
                self.assertEqual((rig.idle_count(), len(rig.nodes.awaiting_ready)), (0, 1))
                act(node)
                rig.until(lambda rig=rig: rig.nodes.sweep() or rig.nodes.connection_count == 0)
                self.assertEqual(len(rig.nodes.awaiting_ready), 0)

    def test_idle(self):
        for act in (close, reset, send(FULL), send(b"Z"), send(NOISE)):
            with closing(ConnectionPoolRig()) as rig:
                rig.pick(1)
                node = rig.node.accept_one()
                node.wait_for_queries()
                node.send(SELECTED)
                rig.until(lambda rig=rig: rig.idle_count() == 1)
                act(node)
                rig.pick(2)  # the poller has not run since
                rig.node.accept_one().wait_for_queries()
                self.assertEqual(rig.nodes.connection_count, 1)

    def test_notices_and_parameters_stay_here(self):
        with closing(ConnectionPoolRig()) as rig:
            rig.pick(1)
            node = rig.node.accept_one(welcome=False)
            node.send(NOISE + pgwire.STARTUP_RESPONSE[:9] + NOISE + pgwire.STARTUP_RESPONSE[9:])
            node.wait_for_queries()
            node.send(NOISE + b"".join(ROW[:2]) + NOISE + b"".join(ROW[2:]) + NOISE + pgwire.READY_FOR_QUERY)
            self.assertEqual(rig.outcome(1), OK)
            self.assertEqual(b"".join(rig.results[1, 0].answer), b"".join(ROW))

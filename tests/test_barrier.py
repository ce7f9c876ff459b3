"""The barrier behind a further query: what its replies prove, and how a node that answers twice is treated.

`test_second_answer_kinds` describes the failure that these tests guard against.
"""

import unittest
from contextlib import closing

from brookreach import interface as ifc
from brookreach.net import pgwire

from .node_messages import row
from .peers_nodes import ConnectionPoolRig
from .second_answer_rig import (
    OK,
    RESET,
    SHUTDOWN_ERROR,
    IgnoreDisconnect,
    answered_value,
    assert_single_use,
    second_query,
)


class BarrierTest(unittest.TestCase):
    """The replies to the barrier alone are late, missing, doubled or early."""

    def test_a_first_query_has_none(self):
        with closing(ConnectionPoolRig()) as rig:
            rig.pick(1)
            node = rig.node.accept_one()
            node.wait_for_queries()
            node.send(row(b"1"))
            self.assertEqual((rig.outcome(1), len(node.statements())), (OK, 1))

    def test_late_it_is_waited_for(self):
        with closing(ConnectionPoolRig()) as rig:
            node = second_query(rig)
            node.send(row(b"2"))
            rig.until(lambda: rig.nodes.awaiting_ready)
            self.assertNotIn((2, 0), rig.results)
            for reply in node.harmless_replies():
                self.assertNotIn((2, 0), rig.results)
                node.send(reply)
                rig.turn()
            self.assertEqual((rig.outcome(2), answered_value(rig.results[2, 0])), (OK, b"2"))

    def test_missing_the_pick_may_have_run_and_the_next_has_a_connection_of_its_own(self):
        with closing(ConnectionPoolRig(connect_timeout_s=0.05)) as rig:
            node = second_query(rig)
            node.send(row(b"2"))
            rig.until(lambda: rig.nodes.sweep() or (2, 0) in rig.results)
            self.assertEqual(rig.outcome(2), RESET)
            node.wait_closed()
            assert_single_use(self, rig, [3, 4])

    def test_before_the_answer_it_proves_nothing(self):
        with closing(ConnectionPoolRig()) as rig:
            node = second_query(rig)
            node.send(b"".join(node.harmless_replies()))
            self.assertEqual(rig.outcome(2), RESET)
            node.wait_closed()
            assert_single_use(self, rig, [3, 4])

    def test_twice(self):
        with closing(ConnectionPoolRig()) as rig:
            node = second_query(rig)
            replies = b"".join(node.harmless_replies())
            node.send(row(b"2") + replies + replies)
            self.assertEqual((rig.outcome(2), answered_value(rig.results[2, 0])), (OK, b"2"))
            node.wait_closed()

    def test_another_reply_than_the_querys_proves_nothing(self):
        for other in (pgwire.EMPTY_QUERY_RESPONSE, pgwire.COMMAND_RESPONSE):
            with closing(ConnectionPoolRig()) as rig:
                node = second_query(rig)
                first = node.harmless_replies()[0]
                if other != first:
                    node.send(row(b"2") + other)
                    self.assertEqual(rig.outcome(2), RESET)

    def test_no_two_barriers_of_a_connection_are_alike(self):
        with closing(ConnectionPoolRig()) as rig:
            rig.pick(1)
            node, barriers, rpc = rig.node.accept_one(), [], 1
            node.wait_for_queries()
            while True:
                before = len(node.statements())
                node.reply(row(b"%d" % rpc))
                rig.outcome(rpc)
                rpc += 1
                rig.pick(rpc)
                rig.until(lambda before=before: len(node.statements()) > before or rig.node.accept() is not None)
                if len(rig.node.accepted) > 1:
                    break
                node.wait_for_queries(rpc)
                rig.until(lambda before=before: len(node.statements()) > before + 1)
                barriers.append(tuple(node.statements()[before + 1 :]))
            self.assertEqual(len(set(barriers)), len(barriers))
            self.assertGreater(
                len(barriers), 4
            )  # opening a connection costs the node work, so each is used several times
            self.assertEqual(len({len(barrier) for barrier in barriers}), 1)


class SingleUseTest(unittest.TestCase):
    """A node that was seen to answer twice is logged and counted, and each of its connections is used once."""

    def second_answers(self, rig):
        return rig.nodes.pool_state.second_answers, [line for line in rig.report.lines if "answers twice" in line]

    def test_before_the_next_answer(self):
        with closing(ConnectionPoolRig()) as rig:
            node = second_query(rig)
            with IgnoreDisconnect():
                node.send(row(b"1"))
                node.reply(row(b"2"))
            self.assertEqual(rig.outcome(2), RESET)
            count, lines = self.second_answers(rig)
            self.assertEqual((count, len(lines)), (1, 1))
            assert_single_use(self, rig, [3, 4])

    def test_on_an_idle_connection(self):
        with closing(ConnectionPoolRig()) as rig:
            rig.pick(1)
            node = rig.node.accept_one()
            node.wait_for_queries()
            node.reply(row(b"1"))
            rig.until(lambda: rig.idle_count() == 1)
            node.send(row(b"1"))
            rig.until(lambda: rig.nodes.connection_count == 0)
            self.assertEqual(self.second_answers(rig)[0], 1)
            assert_single_use(self, rig, [2, 3])

    def test_for_a_while(self):
        with closing(ConnectionPoolRig(single_use_period_s=0.0)) as rig:
            node = second_query(rig)
            with IgnoreDisconnect():
                node.send(row(b"1"))
                node.reply(row(b"2"))
            self.assertEqual(rig.outcome(2), RESET)
            rig.pick(3)
            node = rig.node.accept_one()
            node.wait_for_queries()
            node.reply(row(b"3"))
            rig.until(lambda: rig.idle_count() == 1)

    def test_an_end_that_is_told_is_no_second_answer(self):
        """A server that shuts down sends an error on its idle connections, or in place of the answers it no longer gives."""
        for used in (1, 2):
            with closing(ConnectionPoolRig()) as rig:
                node = second_query(rig)
                if used == 1:
                    node.reply(row(b"2"))
                    rig.until(lambda rig=rig: rig.idle_count() == 1)
                    node.send(SHUTDOWN_ERROR)
                else:
                    node.send(row(b"2") + SHUTDOWN_ERROR)
                    self.assertEqual(rig.outcome(2), RESET)
                rig.until(lambda rig=rig: rig.nodes.connection_count == 0)
                self.assertEqual(self.second_answers(rig), (0, []))
                self.assertEqual([line for line in rig.report.lines if "in order" in line], [])

    def test_a_spoilt_answer_tells_nothing_of_the_order(self):
        """With 5 % of all answers invalid, no connection to any node was used twice."""
        for invalid in (b"?\0\0\0\4", b"T\0\0\0\4", b"D\0\0\0\4", row(b"2") + b"?\0\0\0\4"):
            with closing(ConnectionPoolRig()) as rig:
                node = second_query(rig)
                node.send(invalid)
                self.assertEqual(rig.outcome(2), RESET)
                rig.pick(3)
                node = rig.node.accept_one()
                node.wait_for_queries()
                node.reply(row(b"3"))
                rig.until(lambda rig=rig: rig.idle_count() == 1)

    def test_another_process_at_the_address_is_another_node(self):
        with closing(ConnectionPoolRig()) as rig:
            node = second_query(rig)
            with IgnoreDisconnect():
                node.send(row(b"1"))
                node.reply(row(b"2"))
            self.assertEqual(rig.outcome(2), RESET)
            rig.nodes.apply_node_list(ifc.ListKind.DELTA, [rig.node.listed(started=1.0)])
            rig.pick(3)
            node = rig.node.accept_one()
            node.wait_for_queries()
            node.reply(row(b"3"))
            rig.until(lambda: rig.idle_count() == 1)


class WrittenTest(unittest.TestCase):
    """A query is written once its own last byte is, whatever is left of its barrier."""

    def broken_after(self, rig, taken):
        """Break the second query's connection once the kernel has taken `taken` bytes of the query and its barrier."""
        rig.pick(1)
        node = rig.node.accept_one()
        node.wait_for_queries()
        node.reply(row(b"1"))
        rig.until(lambda: rig.idle_count() == 1)
        link = rig.connection()
        link.sock = BreakingSocket(link.sock, taken)
        rig.pick(2, write=True)
        return rig.outcome(2)

    def test_a_connection_that_breaks_in_the_query_and_in_its_barrier(self):
        with closing(ConnectionPoolRig()) as rig:
            whole = len(self.query_bytes(rig))
        for taken, ending in (
            (0, ifc.Outcome.NO_CONNECT),
            (whole - 1, ifc.Outcome.NO_CONNECT),
            (whole, RESET),
            (whole + 3, RESET),
        ):
            with closing(ConnectionPoolRig()) as rig:
                self.assertEqual((taken, self.broken_after(rig, taken)), (taken, ending))

    def query_bytes(self, rig):
        """Return the bytes of the second query; its wait always has four digits."""
        rig.pick(2, write=True)
        node = rig.node.accept_one()
        node.wait_for_queries()
        return node.data


class BreakingSocket:
    """A socket that accepts a number of bytes and then is broken."""

    def __init__(self, sock, left):
        self.sock, self.left = sock, left

    def sendmsg(self, buffers):
        data = b"".join(bytes(one) for one in buffers)[: self.left]
        if not data:
            raise BrokenPipeError(32, "broken")
        self.left -= len(data)
        return self.sock.send(data)

    def __getattr__(self, name):
        return getattr(self.sock, name)


if __name__ == "__main__":
    unittest.main()

"""The reasons for a pick may be gone when it can be written, and an answer may belong to the pick before it."""

import math
import time
import unittest
from contextlib import closing
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.node_connection import AWAITING_ANSWER, IDLE
from brookreach.simulation.stand_ins import ROW

from .driver_rig import DriverRig
from .helpers import ONCE, TOKEN, method
from .node_messages import FULL, INSERTED, SELECTED, row
from .peers_nodes import ConnectionPoolRig

RELEASED = ifc.RolloutStatus(False, ifc.Outcome.OK, 2, 1.0, ifc.RolloutPhase.RELEASED, 0.0, 1)


def accept_any(rig):
    """Wait for the next connection to any node, and for its startup message."""
    found = []

    def came():
        found.extend(one for one in (peer.accept() for peer in rig.peers) if one is not None)
        return found

    rig.until(came)
    rig.until(found[0].started)
    return found[0]


class WindowTest(unittest.TestCase):
    def repeat(self, window_ms, after_ms):
        """Have one node reset an RPC with a token; the other accepts its connection `after_ms` after the first pick."""
        with closing(DriverRig((replace(method(TOKEN, name="look"), token_ms=window_ms),), dial_ms=5000.0)) as rig:
            rig.listing([peer.listed() for peer in rig.peers], RELEASED)
            decided = time.monotonic()
            rig.take(1, "look")
            first = accept_any(rig)
            first.send(pgwire.STARTUP_RESPONSE)
            first.wait_for_queries()
            first.reset()
            second = accept_any(rig)
            rig.until(lambda: time.monotonic() >= decided + after_ms / 1000.0)
            second.send(pgwire.STARTUP_RESPONSE)
            if after_ms == 0.0:
                second.wait_for_queries()
                second.send(SELECTED)
            rig.until(lambda: rig.answers)
            return len(second.queries()), rig.answers[1][:1]

    def test_a_tokened_repeat_is_not_written_past_its_window(self):
        self.assertEqual(self.repeat(200.0, 250.0)[0], 0)

    def test_within_its_window_it_is(self):
        self.assertEqual(self.repeat(5000.0, 0.0), (1, b"T"))

    def test_past_its_window_it_is_no_pushback_either(self):
        for window_ms, tag in ((200.0, b"XX000"), (5000.0, b"53300")):
            with closing(DriverRig((replace(method(TOKEN, name="look"), token_ms=window_ms),))) as rig:
                rig.listing([peer.listed() for peer in rig.peers], RELEASED)
                rig.take(1, "look", wait=300)
                node = accept_any(rig)
                node.send(pgwire.STARTUP_RESPONSE)
                node.wait_for_queries()
                rig.until(lambda rig=rig: rig.answers)  # the node is silent until the deadline
                self.assertIn(tag, rig.answers[1])

    def test_half_of_a_query_is_never_made_whole_past_the_window(self):
        with closing(ConnectionPoolRig()) as rig:
            rig.pick(1, code="7" * 20_000_000, write_within_ms=60.0)  # more than the kernel takes at once
            node = rig.node.accept_one()
            rig.until(lambda: rig.connection().state == AWAITING_ANSWER)
            self.assertFalse(rig.connection().is_written())
            self.assertEqual(rig.outcome(1), ifc.Outcome.MOOT)
            node.wait_closed()
            self.assertEqual(node.queries(), [])

    def test_a_whole_query_is_not_ended_by_the_window(self):
        with closing(ConnectionPoolRig()) as rig:
            rig.pick(1, write_within_ms=200.0)
            node = rig.node.accept_one()
            node.wait_for_queries()
            rig.until(
                lambda: rig.timeouts[0][0] > time.monotonic() + 1.0
            )  # the time within which it must be written is over
            node.send(SELECTED)
            self.assertEqual(rig.outcome(1), ifc.Outcome.OK)


class TrialTest(unittest.TestCase):
    def test_slow_connections_don_t_bring_two_windows_of_attempts_into_one(self):
        """Twelve picks are decided at the start of a window, twelve more in the next one, while their node accepts no
        connection. Then it accepts all at once: at most 12 free attempts, 4 % above the cap's share and 2
        may be written; 26 would be too many."""
        free, window_ms = 12.0, 400.0
        facts = {"caps": (0.01, 1.0), "free": free, "window_ms": window_ms, "dial_ms": 3000.0, "peers": 1}
        with closing(DriverRig((method(name="look"),), **facts)) as rig:
            news = ifc.RolloutStatus(False, ifc.Outcome.OK, 0, 0.01, ifc.RolloutPhase.ON_TRIAL, 0.0, 2)
            rig.listing([rig.peers[0].listed(build=2)], news)
            began = time.monotonic()
            rig.until(lambda: time.monotonic() > began + 1.1 * window_ms / 1000.0)  # past the first window
            for start in (0, 100):
                then = time.monotonic()
                for number in range(start + 1, start + 21):
                    rig.take(number, "look")
                rig.turn()
                if start == 0:
                    rig.until(lambda then=then: time.monotonic() > then + 1.1 * window_ms / 1000.0)
            peer = rig.peers[0]
            rig.until(lambda: peer.accept() is None and len(peer.accepted) >= 2 * free)
            rig.until(lambda: all(one.started() for one in peer.accepted))
            for one in peer.accepted:
                one.send(pgwire.STARTUP_RESPONSE)
            pool = rig.driver.nodes
            rig.until(
                lambda: all(
                    query.transport is None or query.transport.state >= IDLE for query in pool.picks_in_flight.values()
                )
            )
            attempts = sum(len(one.queries()) for one in peer.accepted)
            self.assertLessEqual(attempts, free + 1.04 * 0.01 * 40 + 2.0)


class ConnectingTest(unittest.TestCase):
    def check_not_written(self, change, ending=ifc.Outcome.MOOT):
        """Apply `change` while a pick's connection is being established; its query must not be written."""
        with closing(ConnectionPoolRig()) as rig:
            rig.pick(1, write=True)
            node = rig.node.accept_one(welcome=False)
            change(rig)
            node.send(pgwire.STARTUP_RESPONSE)
            self.assertEqual(rig.outcome(1), ending)
            self.assertEqual(node.queries(), [])

    def test_a_drain(self):
        self.check_not_written(
            lambda rig: rig.nodes.apply_node_list(ifc.ListKind.DELTA, [rig.node.listed(state=ifc.NodeState.DRAINING)])
        )

    def test_a_node_removed(self):
        self.check_not_written(lambda rig: rig.nodes.apply_node_list(ifc.ListKind.FULL, []))

    def test_another_process_at_the_same_address(self):
        self.check_not_written(
            lambda rig: rig.nodes.apply_node_list(ifc.ListKind.DELTA, [rig.node.listed(started=1.0)])
        )

    def test_a_lower_cap(self):
        self.check_not_written(lambda rig: rig.nodes.invalidate_picks(1))

    def test_the_clients_leaving_or_another_answer(self):
        self.check_not_written(lambda rig: rig.unwanted.add(1))

    def test_a_cancel(self):
        self.check_not_written(lambda rig: rig.nodes.cancel(1, 0))

    def test_half_of_a_query_at_its_cancel_never_ran(self):
        with closing(ConnectionPoolRig()) as rig:
            rig.pick(1, write=True, code="7" * 20_000_000)
            node = rig.node.accept_one()
            rig.until(lambda: rig.connection().state == AWAITING_ANSWER)
            rig.nodes.cancel(1, 0)
            self.assertEqual(rig.outcome(1), ifc.Outcome.MOOT)
            node.wait_closed()
            self.assertEqual(node.queries(), [])


class SecondAnswerTest(unittest.TestCase):
    def second(self, late, split=None):
        """Answer one pick and send `late` behind it, at once or from `split` on, while the next is in flight."""
        with closing(ConnectionPoolRig()) as rig:
            rig.pick(1, min_idle_ms=math.inf)
            node = rig.node.accept_one()
            node.wait_for_queries()
            node.send(SELECTED)
            self.assertEqual(rig.outcome(1), ifc.Outcome.OK)
            rig.until(lambda: rig.idle_count() == 1)
            link = rig.connection()
            if split is not None:
                node.send(late[:split])
                rig.until(lambda: link.closed or len(link.inbound))
            rig.pick(2, write=True, min_idle_ms=10_000.0)
            if split is None:
                node.send(late)
            other = rig.node.accept_one()
            other.wait_for_queries()
            other.send(INSERTED.replace(b"\x9f\3", b"\x01\2"))
            self.assertEqual(rig.outcome(2), ifc.Outcome.OK)
            self.assertIn(b"\x01\2", b"".join(rig.results[2, 0].answer))
            self.assertEqual(len(node.queries()), 1)

    def test_it_is_not_the_next_picks(self):
        for late in (SELECTED, INSERTED, row(b"another's"), FULL):
            self.second(late)

    def test_nor_where_its_first_bytes_came_while_the_connection_was_idle(self):
        for split in range(1, 6):
            self.second(INSERTED, split)

    def test_bytes_right_behind_an_answer_end_its_connection(self):
        for late in (b"T", SELECTED[:20], SELECTED, FULL):
            with closing(ConnectionPoolRig()) as rig:
                rig.pick(1)
                node = rig.node.accept_one()
                node.wait_for_queries()
                node.send(SELECTED + late)
                self.assertEqual(rig.outcome(1), ifc.Outcome.OK)
                node.wait_closed()
                self.assertEqual(rig.nodes.connection_count, 0)

    def test_a_connection_that_has_rested_is_used_again(self):
        with closing(ConnectionPoolRig()) as rig:
            rig.pick(1)
            node = rig.node.accept_one()
            node.wait_for_queries()
            node.reply(SELECTED)
            rig.until(lambda: rig.idle_count() == 1)
            parked = rig.connection().idle_since
            rig.until(lambda: time.monotonic() > parked + 0.02)
            rig.pick(2, min_idle_ms=20.0)
            node.wait_for_queries(2)
            node.reply(FULL)
            self.assertEqual(rig.outcome(2), ifc.Outcome.FULL)

    def test_the_module_asks_for_the_rest(self):
        """A copy of a pushback would seem to prove that a non-idempotent RPC never ran, and it would run twice."""
        with closing(DriverRig((method(ONCE, name="look"),), peers=1)) as rig:
            rig.listing([rig.peers[0].listed()], RELEASED)
            rig.take(1, "look")
            first = accept_any(rig)
            first.send(pgwire.STARTUP_RESPONSE)
            first.wait_for_queries()
            first.send(b"".join([*ROW, pgwire.READY_FOR_QUERY]))
            rig.until(lambda: 1 in rig.answers)
            rig.driver.nodes.endpoints[1].idle_connections[0].idle_since = time.monotonic()  # however slow the test was
            rig.take(2, "look")
            rig.driver._work()  # it is decided before the copy arrives
            first.send(FULL)
            second = accept_any(rig)
            second.send(pgwire.STARTUP_RESPONSE)
            second.wait_for_queries()
            second.send(row(b"2"))
            rig.until(lambda: 2 in rig.answers)
            self.assertEqual((len(first.queries()), len(second.queries())), (1, 1))
            self.assertIn(b"2", rig.answers[2])

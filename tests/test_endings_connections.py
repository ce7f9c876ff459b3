"""Picks without a descriptor, a connection or time left: each has an outcome, MOOT if it never ran."""

import resource
import socket
import time
import unittest
from contextlib import closing

from brookreach import interface as ifc
from brookreach.net.node_connection import AWAITING_ANSWER

from .driver_rig import DriverRig, RecordingSlot
from .helpers import ONCE, method
from .node_messages import SELECTED, make_statement
from .peers_nodes import ConnectionPoolRig

OK, MOOT, CANCELLED = ifc.Outcome.OK, ifc.Outcome.MOOT, ifc.Outcome.CANCELLED
RELEASED = ifc.RolloutStatus(False, OK, 2, 1.0, ifc.RolloutPhase.RELEASED, 0.0, 1)


class LimitsTest(unittest.TestCase):
    def test_no_descriptor_is_left(self):
        with closing(ConnectionPoolRig()) as rig:
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            spare = socket.socket()
            try:
                resource.setrlimit(resource.RLIMIT_NOFILE, (spare.fileno(), hard))
                rig.pick(1)
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                spare.close()
            self.assertEqual((rig.outcome(1), rig.nodes.connection_count), (MOOT, 0))
            self.assertTrue(rig.report.lines)

    def test_all_connections_are_taken(self):
        with closing(ConnectionPoolRig(max_links=1)) as rig:
            rig.pick(1)
            node = rig.node.accept_one()
            node.wait_for_queries()
            rig.pick(2)
            self.assertEqual(rig.outcome(2), MOOT)
            node.send(SELECTED)
            self.assertEqual(rig.outcome(1), OK)
            rig.until(lambda: rig.idle_count() == 1)
            rig.pick(3, min_idle_ms=1e9)  # the idle one has not been idle long enough, and is closed for it
            rig.node.accept_one().wait_for_queries()
            node.wait_closed()
            self.assertEqual(rig.nodes.connection_count, 1)


class TimeTest(unittest.TestCase):
    def test_a_cancel_once_written(self):
        with closing(ConnectionPoolRig()) as rig:
            rig.pick(1)
            node = rig.node.accept_one()
            node.wait_for_queries()
            rig.nodes.cancel(1, 0)
            self.assertEqual((rig.outcome(1), rig.nodes.connection_count), (CANCELLED, 0))
            node.wait_closed()

    def test_an_answer_that_has_come_by_the_time_out_counts(self):
        with closing(ConnectionPoolRig()) as rig:
            rig.pick(1, wait_ms=5000.0)
            node = rig.node.accept_one()
            node.wait_for_queries()
            query = rig.nodes.picks_in_flight[1, 0]
            node.send(SELECTED)
            while rig.connection().is_quiet():  # until the answer is in the kernel, not handled
                time.sleep(0)
            query.expire()
            self.assertEqual(rig.outcome(1), OK)


class GoneTest(unittest.TestCase):
    """The client leaves while its query is being written."""

    def leave(self, code, rig):
        rig.listing([rig.peers[0].listed()], RELEASED)
        rpc = rig.driver.receive(
            make_statement(True, 1, code=code), RecordingSlot(rig.answers, 1), rig.poller.events_since
        )
        node = rig.peers[0].accept_one()
        rig.until(lambda: [one for one in rig.poller.watched.values() if getattr(one, "state", 0) == AWAITING_ANSWER])
        rig.driver.cancel(rpc, "end of stream")
        rig.turn()
        return node, list(rig.driver.nodes.picks_in_flight)

    def test_half_of_its_query_is_never_made_whole(self):
        with closing(DriverRig((method(ONCE, name="look"),), peers=1)) as rig:
            node, in_flight = self.leave("7" * 20_000_000, rig)
            self.assertEqual(in_flight, [])
            node.wait_closed()
            self.assertEqual(node.queries(), [])

    def test_a_whole_one_runs_on(self):
        """The query may have run, so its outcome is still reported."""
        with closing(DriverRig((method(ONCE, name="look"),), peers=1)) as rig:
            self.assertEqual(self.leave("7f", rig)[1], [(1, 0)])

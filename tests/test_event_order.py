"""The order in which the balancer hears of events: what changes its decisions comes before what asks for one.

While hundreds of clients sent hundreds of small requests each, nodes that drained got new requests for up to a second
after discovery had told it. The balancer read thousands of requests ahead of deciding on them; a drain that discovery
told meanwhile stood behind all of them in one queue. Trace on loopback, 480 such clients: the list was queued behind
12,474 events and handled 748 ms later, while discovery's own task had its turn every 20 to 130 ms.
"""

import unittest
from contextlib import closing
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.net.event_queue import EventQueue
from brookreach.net.in_flight import PickResult

from .driver_rig import DriverRig
from .helpers import READS, method

RELEASED = ifc.RolloutStatus(False, ifc.Outcome.OK, 2, 1.0, ifc.RolloutPhase.RELEASED, 0.0, 1)
QUEUED_RPCS = 1000
OUTCOME = PickResult(1, 0, 1, ifc.Outcome.OK, 1.0, [])
NODE_LIST = ifc.NodeList(ifc.ListKind.DELTA, 2, ())


class EventQueueTest(unittest.TestCase):
    def test_state_changes_come_before_outcomes_and_both_before_rpcs(self):
        changes = [NODE_LIST, RELEASED, ifc.RpcCancelled(3), ifc.DeadlineShortened(4, 1.0)]
        queue = EventQueue()
        queue.add_rpc(1)
        queue.add(OUTCOME)
        for change in changes:
            queue.add(change)
        queue.add_rpc(2)
        self.assertEqual(len(queue), 3 + len(changes))
        self.assertEqual([queue.next_event() for _ in range(len(changes) + 1)], [*changes, OUTCOME])
        self.assertIsNone(queue.next_event())
        self.assertEqual([queue.next_rpc(), queue.next_rpc(), queue.next_rpc()], [1, 2, None])
        self.assertFalse(queue)


class DrainTest(unittest.TestCase):
    # Guards against picks at draining nodes while many requests wait to be decided on.
    def test_a_drain_is_heard_before_the_rpcs_that_were_queued_before_it(self):
        with closing(DriverRig((method(READS, name="look"),))) as rig:
            rig.listing([peer.listed() for peer in rig.peers], RELEASED)
            picked = []
            rig.driver.observer = lambda _now, one: picked.append(one.node) if isinstance(one, ifc.Pick) else None
            for number in range(1, QUEUED_RPCS + 1):
                rig.take(number, "look")
            leaving = rig.peers[0].listed()
            leaving.entry = replace(leaving.entry, state=ifc.NodeState.DRAINING)
            rig.driver.on_node_list(ifc.NodeList(ifc.ListKind.DELTA, 2, (leaving.entry,)), [leaving])
            rig.until(lambda: len(picked) >= 100)
            self.assertEqual(set(picked), {rig.peers[1].listed().entry.node})


class TurnTest(unittest.TestCase):
    # Guards against a list of nodes that nobody reads while clients keep the driver's task busy.
    def test_a_turn_whose_time_is_over_leaves_the_rest_to_the_next(self):
        with closing(DriverRig((method(READS, name="look"),))) as rig:
            rig.listing([peer.listed() for peer in rig.peers], RELEASED)
            for number in range(1, QUEUED_RPCS + 1):
                rig.take(number, "look")
            rig.driver.limits = replace(rig.driver.limits, turn_s=0.0)
            self.assertTrue(rig.driver._take_turn())
            self.assertEqual(len(rig.driver.queue), QUEUED_RPCS - 1)


if __name__ == "__main__":
    unittest.main()

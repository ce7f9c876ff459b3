"""A client that leaves in the same turn of the loop in which a hedged pick of its RPC is decided.

The outcome of the hedged pick was once attributed to the first pick, so that the first node's count of pending picks
was wrong.
"""

import time
import unittest
from contextlib import closing
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.policy.timer_tokens import HEDGE_TIMER, TIMER_KINDS

from .driver_rig import DriverRig
from .helpers import IDEM, method
from .node_messages import SELECTED

RELEASED = ifc.RolloutStatus(True, ifc.Outcome.OK, 0, 1.0, ifc.RolloutPhase.RELEASED, 0.0, 1)
SOFT_MS = 12_000.0  # a quarter of it passes before the hedged pick, so the first is sent by then on any machine
HEDGE_TOKEN = TIMER_KINDS * 1 + HEDGE_TIMER  # the timer of the first RPC's hedged pick


class CancelledRpcTest(unittest.TestCase):
    def start_rig(self):
        """One RPC whose first pick is pending at a node, with the timer of its hedged pick due."""
        slow = replace(method(IDEM, name="look"), soft_ms=SOFT_MS, hard_ms=2 * SOFT_MS)
        rig = DriverRig((slow,), copies=True, dial_ms=5000.0)
        rig.listing([peer.listed() for peer in rig.peers], RELEASED)
        rpc = rig.take(1, "look", wait=int(2 * SOFT_MS))
        rig.turn()
        routed = rig.driver.balancer.request_router.rpcs[rpc]
        peer = rig.peers[routed.picks[0][0].node - 1]
        connection = peer.accept_one()
        connection.wait_for_queries()
        due = next(at for at, _, token in rig.driver.timers.heap if token == HEDGE_TOKEN)
        while rig.driver.clock.now_ms() <= due:  # no turn of the loop: the timer must be due when the client has left
            time.sleep(0.01)
        while rig.driver.timers.heap[0][2] != HEDGE_TOKEN:  # evaluations that were due before it
            rig.driver._handle_next()
        return rig, rpc, routed, connection

    def leave_at(self, rig, rpc, observed):
        """The client leaves as the hedged pick is decided."""
        if isinstance(observed, ifc.Pick):
            rig.driver.cancel(rpc, "end of stream")

    def test_no_hedged_pick_is_decided_once_the_client_has_left(self):
        rig, rpc, routed, connection = self.start_rig()
        with closing(rig):
            rig.driver.cancel(rpc, "end of stream")
            connection.send(SELECTED)
            rig.until(lambda: routed.picks[0][2] is not None)
            self.assertEqual([pick[2] for pick in routed.picks], [ifc.Outcome.OK])
            self.assertEqual(rig.answers, {})

    def test_a_hedged_pick_decided_after_the_client_has_left_ends_by_its_own_index(self):
        rig, rpc, routed, connection = self.start_rig()
        with closing(rig):
            # It leaves between the decision and its action: a client's end that is queued is heard before a timer.
            rig.driver.observer = lambda _now, one: self.leave_at(rig, rpc, one)
            rig.until(lambda: len(routed.picks) == 2 and routed.picks[1][2] is not None)
            self.assertEqual([pick[2] for pick in routed.picks], [None, ifc.Outcome.MOOT])
            first, second = (routed.picks[at][0].node for at in (0, 1))
            nodes = rig.driver.balancer.request_router.nodes
            self.assertEqual([len(nodes[first].pending_since_ms), len(nodes[second].pending_since_ms)], [1, 0])
            connection.send(SELECTED)
            rig.until(lambda: routed.picks[0][2] is not None)
            self.assertEqual(routed.picks[0][2], ifc.Outcome.OK)
            self.assertEqual(len(nodes[first].pending_since_ms), 0)
            self.assertNotIn(rpc, rig.driver.balancer.request_router.rpcs)
            self.assertEqual(rig.answers, {})

    def test_nothing_is_kept_of_the_rpc_once_the_balancer_knows(self):
        rig, rpc, routed, connection = self.start_rig()
        with closing(rig):
            rig.driver.cancel(rpc, "end of stream")
            rig.turn()
            self.assertEqual(rig.driver.open_rpcs.departed_picks, {})
            connection.send(SELECTED)
            rig.until(lambda: rpc not in rig.driver.balancer.request_router.rpcs)

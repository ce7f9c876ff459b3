"""A client that leaves in the turn in which a further pick of its RPC is decided: each pick keeps its own number."""

import time
import unittest
from contextlib import closing
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.policy.timer_tokens import HEDGE_TIMER

from .helpers import IDEM, method
from .node_messages import SELECTED
from .peers_nodes import Whole

RELEASED = ifc.RolloutStatus(True, ifc.Outcome.OK, 0, 1.0, ifc.RolloutPhase.RELEASED, 0.0, 1)
SOFT_MS = 12_000.0  # a quarter of it passes before the second copy, so the first is out by then on any machine
SECOND_COPY = 4 * 1 + HEDGE_TIMER  # the timer of the first RPC's second copy


class LeftPickTest(unittest.TestCase):
    def whole(self):
        """One RPC whose first pick is out at a node that has not answered, its second copy's timer due."""
        slow = replace(method(IDEM, name="look"), soft_ms=SOFT_MS, hard_ms=2 * SOFT_MS)
        whole = Whole((slow,), copies=True, dial_ms=5000.0)
        whole.listing([peer.listed() for peer in whole.peers], RELEASED)
        rpc = whole.take(1, "look", wait=int(2 * SOFT_MS))
        whole.turn()
        held = whole.driver.balancer.request_router.rpcs[rpc]
        peer = whole.peers[held.picks[0][0].node - 1]
        connection = peer.taken_one()
        connection.asked()
        due = next(at for at, _, token in whole.driver.timers.heap if token == SECOND_COPY)
        while whole.driver.clock.now_ms() <= due:  # no turn: the timer is to be found due behind the client's leaving
            time.sleep(0.01)
        while whole.driver.timers.heap[0][2] != SECOND_COPY:  # beats that were due before it
            whole.driver._one()
        return whole, rpc, held, connection

    def test_the_copy_that_is_decided_after_the_client_has_left_is_moot_by_its_own_number(self):
        whole, rpc, held, connection = self.whole()
        with closing(whole):
            whole.driver.cancel(rpc, "end of stream")
            whole.until(lambda: len(held.picks) == 2 and held.picks[1][2] is not None)
            self.assertEqual([pick[2] for pick in held.picks], [None, ifc.Outcome.MOOT])
            first, second = (held.picks[at][0].node for at in (0, 1))
            nodes = whole.driver.balancer.request_router.nodes
            self.assertEqual([len(nodes[first].pending_since_ms), len(nodes[second].pending_since_ms)], [1, 0])
            connection.send(SELECTED)
            whole.until(lambda: held.picks[0][2] is not None)
            self.assertEqual(held.picks[0][2], ifc.Outcome.OK)
            self.assertEqual(len(nodes[first].pending_since_ms), 0)
            self.assertNotIn(rpc, whole.driver.balancer.request_router.rpcs)
            self.assertEqual(whole.answers, {})

    def test_nothing_is_kept_of_it_once_the_module_has_heard(self):
        whole, rpc, held, connection = self.whole()
        with closing(whole):
            whole.driver.cancel(rpc, "end of stream")
            whole.turn()
            self.assertEqual(whole.driver.open_rpcs.departed_picks, {})
            connection.send(SELECTED)
            whole.until(lambda: rpc not in whole.driver.balancer.request_router.rpcs)

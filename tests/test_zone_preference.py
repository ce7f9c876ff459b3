"""Nodes of this balancer's zone are preferred only while picks at them take no longer than at the others."""

import unittest
from dataclasses import replace

from brookreach import interface as ifc

from .balancer_harness import BalancerHarness, balancer_settings, node

LOCAL_NODES = range(1, 13)
REMOTE_NODES = range(13, 25)


def local_percent(local_ms, remote_ms, cross_zone, marshals=60):
    """Returns the percentage of 200 RPCs sent to local nodes, after 60 others that were answered in these times."""
    settings = replace(
        balancer_settings(marshals=marshals, tally=2000.0), prices=ifc.Prices(cross_zone, 0.05, 0.0, 0.05, 0.4, 5.0)
    )
    harness = BalancerHarness(settings)
    harness.update_nodes(
        *[node(number, zone=0) for number in LOCAL_NODES], *[node(number, zone=1) for number in REMOTE_NODES]
    )
    harness.set_rollout(1, 2, 1.0, ifc.RolloutPhase.RELEASED)
    local = 0
    for nth in range(260):
        harness.advance(250.0)
        rpc = harness.receive_rpc()
        at = harness.picks[rpc][-1][0]
        local += nth >= 60 and at in LOCAL_NODES
        harness.end_pick(rpc, took=local_ms if at in LOCAL_NODES else remote_ms)
    return local / 2.0


class ZonePreferenceTest(unittest.TestCase):
    def test_local_nodes_are_preferred_while_both_zones_are_alike(self):
        self.assertGreater(local_percent(200.0, 200.0, 0.01), 70.0)

    def test_a_slower_local_zone_is_drawn_no_more_often_than_the_other(self):
        """All balancers of the zone have learned the same, and must not overload it together."""
        self.assertLess(local_percent(700.0, 200.0, 0.01), 25.0)

    def test_local_nodes_are_preferred_more_while_the_others_are_slower(self):
        self.assertGreater(local_percent(200.0, 700.0, 0.01), 85.0)

    def test_a_higher_price_of_crossing_zones_outweighs_slower_local_nodes(self):
        self.assertGreater(local_percent(260.0, 200.0, 0.12), 60.0)


if __name__ == "__main__":
    unittest.main()

"""A stopping process answers every RPC that it has received before it can be killed.

The failure: requests sent 1.1 to 1.7 s after SIGTERM on open connections were ended without an answer by the SIGKILL
3.75 s after it. They were at nodes that hung, and had 0.3 to 0.4 s more time than the process.

How it came about: half a second after SIGTERM, the end of the stop was set by the longest time limit (4 s), while the
kill counts a limit of more than 3 s as 3 s. The end was set late, did not bind requests that were open already, and
what could not be served was closed unanswered. With a longest limit of 1 s or 3 s nothing was lost in this way; with
4 s and 5.5 s requests were.

Also seen: connections that pipelined were closed with the reason "more time than a marshal that stops has"; one that
found no room was accepted and closed; three errors of accept while no connection was open left the listener unwatched.
"""

import unittest

from brookreach.simulation.balancer.checker import ANSWERED_RULE, END_RULE, SERVICE_RULE
from brookreach.simulation.balancer.drill import run_scenario
from brookreach.simulation.balancer.program import SOURCE_COMMAND
from brookreach.simulation.balancer.scenario import ClientStyle, NodeKind, Scenario

HANGING = (NodeKind.HANGING,) * 4
CLIENTS = (ClientStyle.SINGLE,) * 12 + (ClientStyle.PIPELINED,) * 6
# Of the safe and the unsafe method: longer than the kill counts, as in the report, at that bound, and shorter.
LIMITS_S = ((4.0, 3.0), (5.5, 3.0), (3.0, 2.25), (1.0, 0.8))


class StopDeadlineTest(unittest.TestCase):
    def assert_kept(self, scenario, *rules):
        result = run_scenario(scenario, SOURCE_COMMAND)
        self.assertGreater(result.requests, len(scenario.clients))
        self.assertEqual([text for rule, text in result.violations if rule in rules], [])

    def test_all_nodes_hang_through_a_stop(self):
        for limits_s in LIMITS_S:
            with self.subTest(limits_s=limits_s):
                scenario = Scenario(seed=47, limits_s=limits_s, nodes=HANGING, clients=CLIENTS)
                self.assert_kept(scenario, ANSWERED_RULE, END_RULE)

    def test_accept_fails_while_no_connection_is_open(self):
        scenario = Scenario(
            seed=47, limits_s=(1.0, 0.8), nodes=(NodeKind.PROMPT,) * 4, clients=CLIENTS, failing_accepts=3
        )
        self.assert_kept(scenario, ANSWERED_RULE, SERVICE_RULE)

    def test_a_crowd_that_finds_no_room_at_a_stop(self):
        scenario = Scenario(seed=47, limits_s=(3.0, 2.25), nodes=HANGING, clients=CLIENTS, burst=250, burst_after_s=0.1)
        self.assert_kept(scenario, ANSWERED_RULE)


if __name__ == "__main__":
    unittest.main()

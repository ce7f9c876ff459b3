"""The cost of an outcome during a rollout does not grow with the nodes or the methods. Rows read are counted, not time."""

import unittest

from brookreach import interface as ifc

from .balancer_harness import BalancerHarness, balancer_settings, method, node

DURATIONS_MS = [50.0 + 37 * nth % 101 for nth in range(101)]  # alike on both builds


class CountedNodes(list):
    """A list that counts the rows read from it."""

    rows = 0

    def __iter__(self):
        for one in super().__iter__():
            CountedNodes.rows += 1
            yield one


class CountedCharts(dict):
    """Charts by stream that count how many of them a loop reads."""

    rows = 0

    def items(self):
        CountedCharts.rows += len(self)
        return super().items()


def rows_read(nodes, methods=1):
    """How many rows of nodes and of charts 200 RPCs read during a rollout that stays well below its thresholds; and how
    many outcomes of the candidate build there were."""
    harness = BalancerHarness(balancer_settings(methods=[method(name=f"m{nth}") for nth in range(methods)]))
    harness.update_nodes(*[node(number, build=1 + number % 2) for number in range(1, nodes + 1)])
    harness.set_rollout(2, 2, 1.0)
    analysis = harness.balancer.canary_analysis
    for nth in range(2 * methods + 50):  # then each method has its charts
        harness.end_pick(harness.receive_rpc(nth % methods), took=DURATIONS_MS[nth % len(DURATIONS_MS)])
    analysis.ready_nodes, analysis.charts = CountedNodes(analysis.ready_nodes), CountedCharts(analysis.charts)
    CountedNodes.rows = CountedCharts.rows = 0
    outcomes = analysis.outcome_count
    for nth in range(200):
        took = DURATIONS_MS[nth % len(DURATIONS_MS)]
        harness.end_pick(
            harness.receive_rpc(nth % methods), ifc.Outcome.ERROR if nth % 100 == 99 else ifc.Outcome.OK, took
        )
    return CountedNodes.rows, CountedCharts.rows, analysis.outcome_count - outcomes


class CanaryAnalysisCostTest(unittest.TestCase):
    def test_an_outcome_reads_no_list_of_nodes(self):
        for nodes in (150, 1500):
            read, _, outcomes = rows_read(nodes)
            self.assertGreater(outcomes, 50, "outcomes of the candidate build")
            self.assertEqual(read, 0, f"{nodes} nodes")

    def test_an_outcome_reads_no_other_streams_chart(self):
        for methods in (3, 60):
            _, read, outcomes = rows_read(150, methods)
            self.assertGreater(outcomes, 50, "outcomes of the candidate build")
            self.assertEqual(read, 0, f"{methods} methods")

    def test_candidate_nodes_are_counted_with_each_list(self):
        """The limit on what one node adds to a chart, and the log line, depend on their number."""
        harness = BalancerHarness()
        harness.update_nodes(*[node(number, build=1 + number % 2) for number in range(1, 9)])
        harness.set_rollout(2, 0, 0.1)
        self.assertEqual(harness.balancer.canary_analysis.candidate_node_count, 4)
        harness.update_nodes(node(9, build=2), node(1, build=2, state=ifc.NodeState.DRAINING), kind=ifc.ListKind.DELTA)
        self.assertEqual(harness.balancer.canary_analysis.candidate_node_count, 4)
        harness.update_nodes(node(3, build=2, state=ifc.NodeState.GONE), kind=ifc.ListKind.DELTA)
        self.assertEqual(harness.balancer.canary_analysis.candidate_node_count, 3)
        harness.set_rollout(3, 0, 0.1)
        self.assertEqual(harness.balancer.canary_analysis.candidate_node_count, 0)


if __name__ == "__main__":
    unittest.main()

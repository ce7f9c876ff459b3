"""Canary analysis of single outcomes: what it must and must not take for a fault of the candidate build."""

import unittest
from collections import deque
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.model.case import CASES, start_of
from brookreach.policy import canary_analysis

SETTINGS = start_of(CASES["good"], 0, 1)


class CanaryOutcomesTest(unittest.TestCase):
    def _start(self, build_nodes=3, **changes):
        actions = []
        self.analysis = canary_analysis.CanaryAnalysis(deque(), actions, replace(SETTINGS, **changes))
        self.actions, self.now = actions, 100_000.0
        baseline_nodes = [ifc.NodeEntry(at, ifc.NodeState.READY, 0.0, 1, 0, 0, 0, 1.0) for at in range(6)]
        candidate_nodes = [
            ifc.NodeEntry(20 + at, ifc.NodeState.READY, 90_000.0, 2, 0, 0, 0, 1.0) for at in range(build_nodes)
        ]
        self.baseline_nodes, self.candidate_nodes = baseline_nodes, candidate_nodes
        self.analysis.update_rollout(
            self.now, ifc.RolloutStatus(False, ifc.Outcome.OK, 3, 1.0, ifc.RolloutPhase.RELEASED, 0.0, 1)
        )
        self.analysis.update_nodes([*baseline_nodes, *candidate_nodes])
        self.analysis.update_rollout(
            self.now, ifc.RolloutStatus(False, ifc.Outcome.OK, 1, 0.2, ifc.RolloutPhase.ON_TRIAL, 0.0, 2)
        )
        return self.analysis

    def _end_pick(self, entry, took, ending=ifc.Outcome.OK, method=0):
        self.now += 10.0
        self.analysis.record_outcome(self.now, entry, method, self.now - min(5.0, took), ending, took, 1.0, 100.0)

    def _end_picks_of_both(self, count, old_ms, new_ms):
        for at in range(count):
            self._end_pick(self.baseline_nodes[at % 6], old_ms * (1.0 + 0.1 * (at % 7)))
            self._end_pick(self.candidate_nodes[at % len(self.candidate_nodes)], new_ms * (1.0 + 0.1 * (at % 5)))

    def _highest_level(self, stream):
        return max([chart.level for (_, one), chart in self.analysis.charts.items() if one == stream], default=0.0)

    def test_overload_of_both_builds_is_no_slow_build(self):
        self._start()
        self._end_picks_of_both(200, 100.0, 100.0)
        self._end_picks_of_both(200, 500.0, 500.0)
        self.assertLess(self._highest_level("speed"), 0.5 * self.analysis.thresholds.local)

    def test_a_build_slower_than_the_baseline_is_rejected(self):
        self._start()
        self._end_picks_of_both(200, 100.0, 100.0)
        self._end_picks_of_both(300, 100.0, 250.0)
        self.assertEqual(self.analysis.rejected_build, 2)

    def test_without_baseline_nodes_errors_count_and_durations_do_not(self):
        self._start()
        self._end_picks_of_both(100, 100.0, 100.0)
        self.analysis.update_nodes(self.candidate_nodes)
        for at in range(300):
            self._end_pick(self.candidate_nodes[at % 3], 1500.0)
        self.assertEqual(self.analysis.rejected_build, -1)
        for at in range(60):
            self._end_pick(self.candidate_nodes[at % 3], 50.0, ifc.Outcome.ERROR if at % 4 else ifc.Outcome.OK)
        self.assertEqual(self.analysis.rejected_build, 2)

    def test_one_bad_candidate_node_rejects_no_build(self):
        for count in (1, 2, 3):
            self._start(count)
            for at in range(300):
                self._end_pick(self.baseline_nodes[at % 6], 100.0)
                bad = at % count == 0
                self._end_pick(self.candidate_nodes[at % count], 100.0, ifc.Outcome.ERROR if bad else ifc.Outcome.OK)
            self.assertEqual(self.analysis.rejected_build, -1, count)

    def test_promotion_waits_for_confidence_no_longer_than_its_price(self):
        self._start()
        self.analysis.stage_started_ms = self.now
        status = self.analysis.status
        started = max(entry.started_ms for entry in self.candidate_nodes)
        self.assertEqual(self.analysis.choose_verdict(started + 2900.0, status), ifc.Verdict.NONE)
        waits = self.analysis.thresholds.promotion_wait_ms * 0.4
        self.assertEqual(self.analysis.choose_verdict(started + 3250.0 + 0.2 * waits, status), ifc.Verdict.NONE)
        self.assertEqual(self.analysis.choose_verdict(started + 3250.0 + waits, status), ifc.Verdict.ON)
        for _ in range(6):
            for method in range(3):
                for at in range(40):
                    self._end_pick(self.baseline_nodes[at % 6], 100.0 + at, method=method)
                    self._end_pick(self.candidate_nodes[at % 3], 80.0 + at, method=method)
        self.assertEqual(self.analysis.choose_verdict(started + 3260.0, status), ifc.Verdict.ON)

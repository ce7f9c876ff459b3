"""What the judge finds in waves of the model."""

import unittest
from collections import deque
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.model.case import CASES, start_of
from brookreach.policy import canary_analysis

FACTS = start_of(CASES["good"], 0, 1)


class JudgeTest(unittest.TestCase):
    """What the judging must and must not take for a build's fault, one outcome at a time."""

    def judged(self, build_nodes=3, **facts):
        acts = []
        self.judge = canary_analysis.CanaryAnalysis(deque(), acts, replace(FACTS, **facts))
        self.acts, self.now = acts, 100_000.0
        old = [ifc.NodeEntry(at, ifc.NodeState.READY, 0.0, 1, 0, 0, 0, 1.0) for at in range(6)]
        new = [ifc.NodeEntry(20 + at, ifc.NodeState.READY, 90_000.0, 2, 0, 0, 0, 1.0) for at in range(build_nodes)]
        self.old, self.new = old, new
        self.judge.update_rollout(
            self.now, ifc.RolloutStatus(False, ifc.Outcome.OK, 3, 1.0, ifc.RolloutPhase.RELEASED, 0.0, 1)
        )
        self.judge.update_nodes([*old, *new])
        self.judge.update_rollout(
            self.now, ifc.RolloutStatus(False, ifc.Outcome.OK, 1, 0.2, ifc.RolloutPhase.ON_TRIAL, 0.0, 2)
        )
        return self.judge

    def end(self, entry, took, ending=ifc.Outcome.OK, method=0):
        self.now += 10.0
        self.judge.record_outcome(self.now, entry, method, self.now - min(5.0, took), ending, took, 1.0, 100.0)

    def both(self, count, old_ms, new_ms):
        for at in range(count):
            self.end(self.old[at % 6], old_ms * (1.0 + 0.1 * (at % 7)))
            self.end(self.new[at % len(self.new)], new_ms * (1.0 + 0.1 * (at % 5)))

    def top(self, stream):
        return max([chart.level for (_, one), chart in self.judge.charts.items() if one == stream], default=0.0)

    def test_a_jam_of_both_is_no_slow_build(self):
        self.judged()
        self.both(200, 100.0, 100.0)
        self.both(200, 500.0, 500.0)
        self.assertLess(self.top("speed"), 0.5 * self.judge.thresholds.local)

    def test_a_slow_build_beside_the_last_is_found(self):
        self.judged()
        self.both(200, 100.0, 100.0)
        self.both(300, 100.0, 250.0)
        self.assertEqual(self.judge.rejected_build, 2)

    def test_without_earlier_nodes_time_tells_nothing_and_errors_do(self):
        self.judged()
        self.both(100, 100.0, 100.0)
        self.judge.update_nodes(self.new)
        for at in range(300):
            self.end(self.new[at % 3], 1500.0)
        self.assertEqual(self.judge.rejected_build, -1)
        for at in range(60):
            self.end(self.new[at % 3], 50.0, ifc.Outcome.ERROR if at % 4 else ifc.Outcome.OK)
        self.assertEqual(self.judge.rejected_build, 2)

    def test_one_bad_trial_node_condemns_no_build(self):
        for count in (1, 2, 3):
            self.judged(count)
            for at in range(300):
                self.end(self.old[at % 6], 100.0)
                bad = at % count == 0
                self.end(self.new[at % count], 100.0, ifc.Outcome.ERROR if bad else ifc.Outcome.OK)
            self.assertEqual(self.judge.rejected_build, -1, count)

    def test_on_waits_for_trust_no_longer_than_its_price(self):
        self.judged()
        self.judge.stage_started_ms = self.now
        news = self.judge.status
        started = max(entry.started_ms for entry in self.new)
        self.assertEqual(self.judge.choose_verdict(started + 2900.0, news), ifc.Verdict.NONE)
        waits = self.judge.thresholds.promotion_wait_ms * 0.4
        self.assertEqual(self.judge.choose_verdict(started + 3250.0 + 0.2 * waits, news), ifc.Verdict.NONE)
        self.assertEqual(self.judge.choose_verdict(started + 3250.0 + waits, news), ifc.Verdict.ON)
        for _ in range(6):
            for method in range(3):
                for at in range(40):
                    self.end(self.old[at % 6], 100.0 + at, method=method)
                    self.end(self.new[at % 3], 80.0 + at, method=method)
        self.assertEqual(self.judge.choose_verdict(started + 3260.0, news), ifc.Verdict.ON)

"""Canary analysis in low-traffic mode: one of many balancers, each of which sees few of the fleet's outcomes.

Each fault here was found by the standing test (docs/standing.md, Full fleet).
"""

import unittest
from collections import Counter, deque
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.policy import canary_analysis, cusum

from .helpers import balancer_settings, method

BALANCERS = 60
REPORT_INTERVAL_MS = 2000.0  # of the platform's outcome counts
LAG_MS = 1000.0  # from the end of a period to its report
SLOW = ((0, 1.7), (1, 1.6), (2, 1.7))  # by method: the ratio of durations, candidate to baseline


class Fleet(unittest.TestCase):
    """One balancer of sixty, with the platform's reports of outcome counts."""

    def _analysis(self, ordinal=0, stage=1, nodes=12, started=90_000.0):
        settings = balancer_settings(
            methods=[method(name=name) for name in "abc"],
            marshals=BALANCERS,
            tally=REPORT_INTERVAL_MS,
            caps=(0.1, 0.5, 1.0),
        )
        self.actions, self.now = [], 100_000.0
        analysis = canary_analysis.CanaryAnalysis(
            deque(), self.actions, replace(settings, place=ifc.FleetPosition(0, ordinal, BALANCERS))
        )
        analysis.update_rollout(
            self.now, ifc.RolloutStatus(False, ifc.Outcome.OK, 2, 1.0, ifc.RolloutPhase.RELEASED, 0.0, 1)
        )
        self.baseline_nodes = [ifc.NodeEntry(at, ifc.NodeState.READY, 0.0, 1, 0, 0, 0, 1.0) for at in range(12)]
        self.candidate_nodes = [
            ifc.NodeEntry(20 + at, ifc.NodeState.READY, started, 2, 0, 0, 0, 1.0) for at in range(nodes)
        ]
        analysis.update_nodes([*self.baseline_nodes, *self.candidate_nodes])
        analysis.update_rollout(
            self.now, ifc.RolloutStatus(False, ifc.Outcome.OK, stage, 0.5, ifc.RolloutPhase.ON_TRIAL, 0.0, 2)
        )
        self.analysis = analysis
        return analysis

    def _report(self, periods, slower=((0, 1.0), (1, 1.0), (2, 1.0)), failed=0, count=12):
        for _ in range(periods):
            self.now += REPORT_INTERVAL_MS
            for at, times in slower:
                self.analysis.record_counts(self.now, ifc.OutcomeCounts(1, at, LAG_MS, 0, 60, 400.0))
                self.analysis.record_counts(self.now, ifc.OutcomeCounts(2, at, LAG_MS, failed, count, 400.0 * times))

    def _cumulative_sum(self, stream):
        return sum(
            c.cumulative_sum
            for (at, one), c in self.analysis.charts.items()
            if one == stream and at != cusum.ALL_METHODS
        )


class VotesTest(Fleet):
    def test_votes_that_were_not_accepted_are_repeated_in_turns(self):
        """The platform fails all votes of a moment. Some balancer repeats its vote soon, and all of them together stay
        below the rate of votes that the platform accepts. When all repeated at one time, the rollback came 7.5 s later
        (25 s with 200 balancers)."""
        again = []
        for ordinal in range(BALANCERS):
            analysis = self._analysis(ordinal)
            analysis.handle_vote_reply(self.now, ifc.Outcome.ERROR)
            again.append(analysis.next_vote_ms - self.now)
        self.assertLess(min(again), 1000.0)
        self.assertGreaterEqual(min(again), 500.0)
        by_second = Counter(int(wait // 1000.0) for wait in again)
        self.assertLessEqual(max(by_second.values()), analysis.voting.votes_per_s)
        self.assertLessEqual(max(again), 500.0 + 2000.0 * BALANCERS / analysis.voting.votes_per_s)


class OutcomeCountsTest(Fleet):
    def test_a_node_that_started_after_the_period_does_not_exclude_its_counts(self):
        """The period of a report had ended when the nodes of the next stage started."""
        self._analysis()
        self._report(1)
        before = self._cumulative_sum("tallied speed")
        self.assertLess(before, 0.0)
        late = ifc.NodeEntry(90, ifc.NodeState.READY, self.now + REPORT_INTERVAL_MS - LAG_MS, 2, 0, 0, 0, 1.0)
        self.analysis.update_nodes([*self.baseline_nodes, *self.candidate_nodes, late])
        self._report(1)
        self.assertLess(self._cumulative_sum("tallied speed"), before)

    def test_durations_of_a_nodes_first_seconds_are_excluded(self):
        """A new node is cold, and then busy with what waited meanwhile: a good build was rolled back 4 s after its stage
        began."""
        for started in (100_500.0, 96_500.0):  # of a period from 99,000 to 101,000
            self._analysis(started=started)
            self._report(1, slower=SLOW)
            self.assertEqual(self._cumulative_sum("tallied speed"), 0.0)
        self._analysis(started=95_500.0)
        self._report(1, slower=SLOW)
        self.assertGreater(self._cumulative_sum("tallied speed"), 0.0)

    def test_no_single_period_rejects_a_build(self):
        analysis = self._analysis()
        analysis.charts[cusum.ALL_METHODS, "speed"] = cusum.CusumChart(20.0)
        analysis.charts[cusum.ALL_METHODS, "speed"].added_by_node = {20: 1.0, 21: 1.0}
        self._report(1, slower=((0, 9.0), (1, 9.0), (2, 9.0)), count=200)
        self.assertEqual(analysis.rejected_build, -1)

    def test_a_slowdown_of_all_methods_is_found_over_all_before_any_one(self):
        analysis = self._analysis()
        analysis.charts[cusum.ALL_METHODS, "speed"] = cusum.CusumChart(20.0)
        # Two nodes must stand in this balancer's own charts too.
        analysis.charts[cusum.ALL_METHODS, "speed"].added_by_node = {20: 1.0, 21: 1.0}
        self._report(5, slower=SLOW, count=8)
        said = [line.text for line in self.actions if isinstance(line, ifc.LogLine) and "back 2" in line.text]
        self.assertEqual([text.split(" of ")[0].rsplit(" ", 1)[0] for text in said], ["back 2: all tallied speed"])
        self.assertLess(
            max(analysis.charts[at, "tallied speed"].level for at in range(3)), 0.7 * analysis.thresholds.fleet
        )

    def test_few_quick_answers_give_little_confidence(self):
        """One answer in a tenth of the typical duration is chance, and no proof of a quick build."""
        self._analysis()
        self._report(1, slower=((0, 0.1), (1, 0.1), (2, 0.1)), count=1)
        self.assertGreater(self._cumulative_sum("tallied speed"), -2.0)


class LinkFailureTest(Fleet):
    def test_failing_links_of_one_balancer_reject_no_build(self):
        """A zone is cut off: this balancer's picks fail at many nodes, the fleet's do not."""
        self._analysis()
        self._report(3)
        self._fail_picks(20)
        self.assertEqual(self.analysis.rejected_build, -1)

    def test_failures_that_the_fleet_sees_too_reject_the_build(self):
        self._analysis()
        self._report(2)
        self._report(1, failed=2)
        self._fail_picks(20)
        self.assertEqual(self.analysis.rejected_build, 2)

    def test_without_outcome_counts_own_outcomes_are_enough(self):
        self._analysis()
        self._fail_picks(20)
        self.assertEqual(self.analysis.rejected_build, 2)

    def _fail_picks(self, count):
        for at in range(count):
            self.now += 50.0
            self.analysis.record_outcome(
                self.now,
                self.candidate_nodes[at % len(self.candidate_nodes)],
                at % 3,
                self.now - 40.0,
                ifc.Outcome.RESET,
                40.0,
                1.0,
                3.0,
            )


class PromotionWaitTest(Fleet):
    READY_MS = 90_000.0 + 3250.0  # of the nodes: 3 s after the start, and one evaluation interval

    def test_full_exposure_and_release_wait_for_counts_of_warm_nodes(self):
        """In ordinary operation a slow build was exposed to the whole fleet 0.2 s before the counts that showed it. A release
        ends the counts, since there is no baseline left to compare with."""
        for stage in (1, 2):
            analysis = self._analysis(stage=stage)
            analysis.fleet_size, analysis.stage_started_ms = 0, self.now
            for wait, want in ((0.0, "NONE"), (3700.0, "NONE"), (3800.0, "ON")):
                analysis.counts_analysis.received_ms, analysis.counts_analysis.lag_ms = self.READY_MS + wait, LAG_MS
                self.assertEqual(
                    (stage, wait, analysis.choose_verdict(self.READY_MS + wait, analysis.status).name),
                    (stage, wait, want),
                )

    def test_where_no_counts_come_none_are_waited_for(self):
        analysis = self._analysis()
        analysis.fleet_size, analysis.stage_started_ms = 0, self.now
        analysis.counts_analysis.received_ms = self.READY_MS - 2.0 * REPORT_INTERVAL_MS
        self.assertEqual(
            analysis.choose_verdict(self.READY_MS + analysis.thresholds.promotion_wait_ms, analysis.status),
            ifc.Verdict.ON,
        )

    def test_a_build_that_the_counts_speak_for_is_promoted_at_once(self):
        analysis = self._analysis()
        analysis.fleet_size, analysis.stage_started_ms = 0, self.now
        self._report(3)
        self.assertEqual(analysis.choose_verdict(self.READY_MS, analysis.status), ifc.Verdict.ON)


class BurdenTest(Fleet):
    """A build that slows down baseline and candidate nodes alike was released on the sites herd, zone and join."""

    def _is_rejected(self, slower, picks=1.0, nodes=12):
        """Two periods before the rollout, one in its first stage, three in its second; whether the build is rejected."""
        analysis = self._analysis(nodes=nodes)
        candidate = analysis.status
        released = replace(candidate, phase=ifc.RolloutPhase.RELEASED, stage=2, build=1)
        analysis.status = released
        self._report_both(2, 1.0, 1.0)
        analysis.status = replace(candidate, stage=0)
        self._report_both(1, 1.0, 1.0)
        analysis.status = candidate
        self._report_both(3, slower, picks)
        return analysis.rejected_build == 2

    def _report_both(self, periods, slower, picks):
        for _ in range(periods):
            self.now += REPORT_INTERVAL_MS
            for at in range(3):
                for build, count in ((1, 100), (2, 10)):
                    if build <= self.analysis.status.build:
                        self.analysis.record_counts(
                            self.now, ifc.OutcomeCounts(build, at, LAG_MS, 0, int(count * picks), 200.0 * slower)
                        )

    def test_a_build_that_slows_down_all_nodes_is_rejected(self):
        self.assertTrue(self._is_rejected(1.7))
        self.assertIn("burden", [line.text for line in self.actions if isinstance(line, ifc.LogLine)][-2])

    def test_a_build_that_does_not_is_kept(self):
        self.assertFalse(self._is_rejected(1.0))
        self.assertFalse(self._is_rejected(1.2))

    def test_a_higher_load_explains_longer_durations(self):
        """At most, the period in which it begins delays the promotion."""
        self.assertFalse(self._is_rejected(1.7, picks=1.6))

    def test_nothing_is_compared_once_few_baseline_nodes_are_left(self):
        self.assertFalse(self._is_rejected(1.7, nodes=60))

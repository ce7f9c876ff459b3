"""What marshals that each see little must and must not do, as one of hundreds. Each mend here was seen on the
standing test (docs/standing.md, Full fleet)."""

import unittest
from collections import Counter, deque
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.policy import canary_analysis, cusum

from .helpers import balancer_settings, method

MARSHALS, TALLY_MS, LAG_MS = 60, 2000.0, 1000.0
SLOW = ((0, 1.7), (1, 1.6), (2, 1.7))  # by method: how many times as long as on the earlier build


class Fleet(unittest.TestCase):
    """One marshal of sixty; `tallied` are periods that the platform counted, as it tells them."""

    def judged(self, ordinal=0, stage=1, nodes=12, started=90_000.0):
        facts = balancer_settings(
            methods=[method(name=name) for name in "abc"], marshals=MARSHALS, tally=TALLY_MS, caps=(0.1, 0.5, 1.0)
        )
        self.acts, self.now = [], 100_000.0
        made = canary_analysis.CanaryAnalysis(
            deque(), self.acts, replace(facts, place=ifc.FleetPosition(0, ordinal, MARSHALS))
        )
        made.update_rollout(
            self.now, ifc.RolloutStatus(False, ifc.Outcome.OK, 2, 1.0, ifc.RolloutPhase.RELEASED, 0.0, 1)
        )
        self.old = [ifc.NodeEntry(at, ifc.NodeState.READY, 0.0, 1, 0, 0, 0, 1.0) for at in range(12)]
        self.new = [ifc.NodeEntry(20 + at, ifc.NodeState.READY, started, 2, 0, 0, 0, 1.0) for at in range(nodes)]
        made.update_nodes([*self.old, *self.new])
        made.update_rollout(
            self.now, ifc.RolloutStatus(False, ifc.Outcome.OK, stage, 0.5, ifc.RolloutPhase.ON_TRIAL, 0.0, 2)
        )
        self.judge = made
        return made

    def tallied(self, periods, slower=((0, 1.0), (1, 1.0), (2, 1.0)), failed=0, count=12):
        for _ in range(periods):
            self.now += TALLY_MS
            for at, times in slower:
                self.judge.record_counts(self.now, ifc.OutcomeCounts(1, at, LAG_MS, 0, 60, 400.0))
                self.judge.record_counts(self.now, ifc.OutcomeCounts(2, at, LAG_MS, failed, count, 400.0 * times))

    def trust(self, stream):
        return sum(
            c.cumulative_sum for (at, one), c in self.judge.charts.items() if one == stream and at != cusum.ALL_METHODS
        )


class VotesTest(Fleet):
    def test_votes_that_were_not_taken_are_said_again_by_turns(self):
        """The platform errs on all votes of a moment: some marshal's next one comes soon, all of them under
        what it takes a second. Together at one time, they came back 7.5 s later (25 s with 200 marshals)."""
        again = []
        for ordinal in range(MARSHALS):
            one = self.judged(ordinal)
            one.handle_vote_reply(self.now, ifc.Outcome.ERROR)
            again.append(one.next_vote_ms - self.now)
        self.assertLess(min(again), 1000.0)
        self.assertGreaterEqual(min(again), 500.0)
        by_second = Counter(int(wait // 1000.0) for wait in again)
        self.assertLessEqual(max(by_second.values()), one.voting.votes_per_s)
        self.assertLessEqual(max(again), 500.0 + 2000.0 * MARSHALS / one.voting.votes_per_s)


class TalliesTest(Fleet):
    def test_a_machine_that_came_later_does_not_spoil_a_tally(self):
        """The period that a tally counts had ended when the next stage's machines started."""
        self.judged()
        self.tallied(1)
        heard = self.trust("tallied speed")
        self.assertLess(heard, 0.0)
        late = ifc.NodeEntry(90, ifc.NodeState.READY, self.now + TALLY_MS - LAG_MS, 2, 0, 0, 0, 1.0)
        self.judge.update_nodes([*self.old, *self.new, late])
        self.tallied(1)
        self.assertLess(self.trust("tallied speed"), heard)

    def test_a_machine_spoils_the_tally_of_its_first_seconds(self):
        """Cold at first, and then with what it held up: a good build went back 4 s after its stage came."""
        for started in (100_500.0, 96_500.0):  # of a period from 99,000 to 101,000
            self.judged(started=started)
            self.tallied(1, slower=SLOW)
            self.assertEqual(self.trust("tallied speed"), 0.0)
        self.judged(started=95_500.0)
        self.tallied(1, slower=SLOW)
        self.assertGreater(self.trust("tallied speed"), 0.0)

    def test_no_period_alone_condemns_a_build(self):
        one = self.judged()
        one.charts[cusum.ALL_METHODS, "speed"] = cusum.CusumChart(20.0)
        one.charts[cusum.ALL_METHODS, "speed"].added_by_node = {20: 1.0, 21: 1.0}
        self.tallied(1, slower=((0, 9.0), (1, 9.0), (2, 9.0)), count=200)
        self.assertEqual(one.rejected_build, -1)

    def test_slower_on_all_methods_is_found_before_it_is_on_one(self):
        one = self.judged()
        one.charts[cusum.ALL_METHODS, "speed"] = cusum.CusumChart(20.0)
        one.charts[cusum.ALL_METHODS, "speed"].added_by_node = {
            20: 1.0,
            21: 1.0,
        }  # two own nodes must stand against it too
        self.tallied(5, slower=SLOW, count=8)
        said = [line.text for line in self.acts if isinstance(line, ifc.LogLine) and "back 2" in line.text]
        self.assertEqual([text.split(" of ")[0].rsplit(" ", 1)[0] for text in said], ["back 2: all tallied speed"])
        self.assertLess(max(one.charts[at, "tallied speed"].level for at in range(3)), 0.7 * one.thresholds.fleet)

    def test_few_quick_answers_earn_little_trust(self):
        """One answer that took a tenth of the usual is chance, not a quick build."""
        self.judged()
        self.tallied(1, slower=((0, 0.1), (1, 0.1), (2, 0.1)), count=1)
        self.assertGreater(self.trust("tallied speed"), -2.0)


class LinksTest(Fleet):
    def test_one_marshals_failing_links_condemn_no_build(self):
        """A zone is cut off: this marshal's picks fail at many nodes, the fleet's do not."""
        self.judged()
        self.tallied(3)
        self.fail_here(20)
        self.assertEqual(self.judge.rejected_build, -1)

    def test_they_do_once_the_fleet_sees_it_too(self):
        self.judged()
        self.tallied(2)
        self.tallied(1, failed=2)
        self.fail_here(20)
        self.assertEqual(self.judge.rejected_build, 2)

    def test_without_tallies_own_outcomes_are_all_there_is(self):
        self.judged()
        self.fail_here(20)
        self.assertEqual(self.judge.rejected_build, 2)

    def fail_here(self, count):
        for at in range(count):
            self.now += 50.0
            self.judge.record_outcome(
                self.now, self.new[at % len(self.new)], at % 3, self.now - 40.0, ifc.Outcome.RESET, 40.0, 1.0, 3.0
            )


class WaitTest(Fleet):
    READY = 90_000.0 + 3250.0  # of the machines, by the design's 3 s and a beat

    def test_the_fleet_is_opened_and_released_after_a_tally_of_warm_machines(self):
        """On a calm day a slow build had all of the fleet 0.2 s before the tally that showed it; a release
        ends the tallies, since there is no earlier build left to hold against."""
        for stage in (1, 2):
            one = self.judged(stage=stage)
            one.fleet_size, one.stage_started_ms = 0, self.now
            for wait, want in ((0.0, "NONE"), (3700.0, "NONE"), (3800.0, "ON")):
                one.counts_analysis.received_ms, one.counts_analysis.lag_ms = self.READY + wait, LAG_MS
                self.assertEqual(
                    (stage, wait, one.choose_verdict(self.READY + wait, one.status).name), (stage, wait, want)
                )

    def test_where_no_tally_comes_it_waits_for_none(self):
        one = self.judged()
        one.fleet_size, one.stage_started_ms = 0, self.now
        one.counts_analysis.received_ms = self.READY - 2.0 * TALLY_MS
        self.assertEqual(one.choose_verdict(self.READY + one.thresholds.promotion_wait_ms, one.status), ifc.Verdict.ON)

    def test_what_the_tallies_speak_for_goes_on_at_once(self):
        one = self.judged()
        one.fleet_size, one.stage_started_ms = 0, self.now
        self.tallied(3)
        self.assertEqual(one.choose_verdict(self.READY, one.status), ifc.Verdict.ON)


class BurdenTest(Fleet):
    """A build that slows old nodes and new ones alike had all of the fleet on herd, zone and join."""

    def waves(self, slower, picks=1.0, nodes=12):
        """Two calm periods, a first stage, then three periods of the second; whether the build goes back."""
        one = self.judged(nodes=nodes)
        trial, calm = one.status, replace(one.status, phase=ifc.RolloutPhase.RELEASED, stage=2, build=1)
        one.status = calm
        self.counted(2, 1.0, 1.0)
        one.status = replace(trial, stage=0)
        self.counted(1, 1.0, 1.0)
        one.status = trial
        self.counted(3, slower, picks)
        return one.rejected_build == 2

    def counted(self, periods, slower, picks):
        for _ in range(periods):
            self.now += TALLY_MS
            for at in range(3):
                for build, count in ((1, 100), (2, 10)):
                    if build <= self.judge.status.build:
                        self.judge.record_counts(
                            self.now, ifc.OutcomeCounts(build, at, LAG_MS, 0, int(count * picks), 200.0 * slower)
                        )

    def test_a_build_that_slows_all_nodes_goes_back(self):
        self.assertTrue(self.waves(1.7))
        self.assertIn("burden", [line.text for line in self.acts if isinstance(line, ifc.LogLine)][-2])

    def test_one_that_does_not_stays(self):
        self.assertFalse(self.waves(1.0))
        self.assertFalse(self.waves(1.2))

    def test_more_picks_for_the_same_nodes_are_a_burst_and_no_burden(self):
        """The period in which it begins holds `on` back at the most."""
        self.assertFalse(self.waves(1.7, picks=1.6))

    def test_nothing_is_held_against_it_once_few_earlier_nodes_are_left(self):
        self.assertFalse(self.waves(1.7, nodes=60))

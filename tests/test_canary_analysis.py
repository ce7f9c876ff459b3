"""Charts and votes, as traces of the decisions of one balancer."""

import itertools

from brookreach import interface as ifc

from .helpers import ONCE, BalancerHarness, TraceCase, balancer_settings, method, node


def candidate_harness(**changes):
    """Three nodes of the baseline build 1 and two warm ones of the candidate build 2."""
    harness = BalancerHarness(balancer_settings(**changes))
    harness.set_rollout(1, 2, 1.0, ifc.RolloutPhase.RELEASED)
    harness.update_nodes(node(1), node(2), node(3))
    harness.run_rpcs(100)
    harness.update_nodes(node(1), node(2), node(3), *(node(one, build=2, started=harness.now - 1.0) for one in (4, 5)))
    harness.set_rollout(2, 1, 0.5)
    return harness


def fail_every_other():
    """Build 2 fails every second pick."""
    turn = itertools.cycle([True, False])
    return lambda number: number > 3 and next(turn)


class CanaryAnalysisTest(TraceCase):
    def test_a_bad_build_is_rolled_back(self):
        harness = candidate_harness()
        harness.remark("every other pick of build 2 errs: the chart climbs and this marshal alone votes back")
        harness.run_rpcs(600, fails=fail_every_other())
        self.compare("bad_build", [t for t in harness.trace if "node" not in t])

    def test_overload_is_no_bad_build(self):
        """More RPCs make all answers slow, while both builds run and when only the candidate is left."""

        def run_slow_rpcs(harness, took, count, gap=10.0, fails=lambda number: False):
            for _ in range(count):
                harness.advance(gap)
                rpc = harness.receive_rpc()
                if rpc in harness.picks:
                    bad = fails(harness.picks[rpc][-1][0])
                    harness.end_pick(rpc, ifc.Outcome.ERROR if bad else ifc.Outcome.OK, took=took)

        def remarks_and_rejections(harness):
            return [t for t in harness.trace if "log: back" in t or "--" in t]

        harness = candidate_harness()
        run_slow_rpcs(harness, 100.0, 700)
        harness.remark("more than twice the RPCs, answers take four times as long on both builds")
        run_slow_rpcs(harness, 100.0, 100, gap=4.0)  # queues take their time
        run_slow_rpcs(harness, 400.0, 500, gap=4.0)
        harness.remark("all nodes run build 2; then many answers come after the soft deadline")
        harness.update_nodes(*(node(number, build=2, started=harness.now - 5000.0) for number in (1, 2, 3, 4)))
        run_slow_rpcs(harness, 400.0, 200, gap=4.0)
        run_slow_rpcs(harness, 1600.0, 600, gap=4.0)
        trace = remarks_and_rejections(harness)
        harness = candidate_harness()
        run_slow_rpcs(harness, 100.0, 700)
        harness.remark("half of the nodes are cold, answers take three times as long: as many RPCs for less")
        harness.update_nodes(
            *(
                node(one, build=2 if one > 3 else 1, started=0.0 if one < 4 else harness.now - 5000.0)
                for one in range(1, 5)
            ),
            *(node(one, build=2, started=harness.now) for one in range(5, 12)),
            kind=ifc.ListKind.DELTA,
        )
        harness.update_nodes(
            node(1, state=ifc.NodeState.GONE), node(2, state=ifc.NodeState.GONE), kind=ifc.ListKind.DELTA
        )
        run_slow_rpcs(harness, 300.0, 250)
        trace += remarks_and_rejections(harness)
        harness = candidate_harness()
        run_slow_rpcs(harness, 100.0, 700)
        harness.remark("no more RPCs, and answers take four times as long on both builds: build 2 burdens both")
        run_slow_rpcs(harness, 400.0, 400)
        trace += remarks_and_rejections(harness)
        harness = candidate_harness()
        run_slow_rpcs(harness, 100.0, 100)
        harness.remark("late on both builds under more RPCs; then build 2 errs every other time")
        run_slow_rpcs(harness, 1600.0, 400, gap=4.0)
        run_slow_rpcs(harness, 100.0, 600, fails=fail_every_other())
        self.compare("load", trace + [t.split(" failures")[0] for t in remarks_and_rejections(harness)])

    def test_promotion_waits_and_follows_the_stage(self):
        harness = candidate_harness()
        harness.remark("nothing fails: on comes 3 s after the start, once; lost and full answers are tried again")
        harness.run_rpcs(160)
        harness.set_rollout(2, 1, 0.5, reply=True, ending=ifc.Outcome.TIMEOUT)
        harness.advance(1000.0)
        harness.set_rollout(2, 1, 0.5, reply=True)
        harness.advance(2000.0)
        harness.remark("the next stage is told")
        harness.set_rollout(2, 2, 1.0)
        harness.run_rpcs(200)
        harness.remark("released: nothing more to say")
        harness.set_rollout(2, 2, 1.0, ifc.RolloutPhase.RELEASED)
        harness.run_rpcs(50)
        self.compare("on", harness.trace)

    def test_a_vote_for_rollback_is_renewed_until_the_rollback(self):
        harness = candidate_harness()
        harness.run_rpcs(600, fails=fail_every_other())
        harness.trace.clear()
        harness.remark("votes live 6 s: renewed every 3 s, until the build is told to go back")
        harness.set_rollout(2, 1, 0.5, reply=True)
        harness.advance(10_000.0)
        harness.set_rollout(2, 1, 0.0, ifc.RolloutPhase.GOING_BACK)
        harness.advance(5_000.0)
        self.compare("back_renewed", harness.trace)

    def test_a_clock_gate_is_held_on_doubt(self):
        harness = candidate_harness(gate=ifc.PromotionGate.CLOCK)
        harness.run_rpcs(200)
        bad = iter([True] * 4 + [False] * 200)
        harness.run_rpcs(80, fails=lambda number: number > 3 and next(bad))
        self.compare("hold", [t for t in harness.trace if "node" not in t])

    def test_all_picks_failing_on_both_builds_breaks_no_chart(self):
        harness = candidate_harness(methods=(method(), method(ONCE, name="write")))
        harness.run_rpcs(400, fails=lambda number: True, method=1)
        self.compare("all_fail", [t for t in harness.trace if "log: node" not in t and "abort" not in t][:8])

    def test_outcome_counts_decide_in_low_traffic_mode(self):
        harness = BalancerHarness(balancer_settings(marshals=100, tally=2000.0))
        harness.set_rollout(1, 2, 1.0, ifc.RolloutPhase.RELEASED)
        harness.update_nodes(*(node(one) for one in range(1, 9)))
        candidates = [node(one, build=2, started=harness.now + 1.0) for one in (11, 12, 13, 14)]
        harness.set_rollout(2, 0, 0.1)
        for nodes, failed in ((1, 6), (4, 0), (4, 6)):
            harness.update_nodes(*candidates[:nodes], kind=ifc.ListKind.DELTA)
            harness.remark(f"{nodes} trial nodes, {failed} of 40 tallied failed, four times")
            for _ in range(4):
                harness.advance(2000.0)
                harness.handle(ifc.OutcomeCounts(1, 0, 1000.0, 1, 200, 100.0))
                harness.handle(ifc.OutcomeCounts(2, 0, 1000.0, failed, 40, 100.0))
                harness.handle(ifc.OutcomeCounts(9, 7, 1000.0, 1, 1, 100.0))
        self.compare("tallies", harness.trace)

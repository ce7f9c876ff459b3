"""The rules that bind routing, each at its edge, as traces of the decisions of one balancer."""

import itertools

from brookreach import interface as ifc

from .helpers import IDEM, ONCE, TOKEN, BalancerHarness, TraceCase, balancer_settings, method, node

GONE, DRAINING = ifc.NodeState.GONE, ifc.NodeState.DRAINING


def released_harness(*nodes, **changes):
    """A balancer whose nodes all run the released build 1."""
    harness = BalancerHarness(balancer_settings(**changes))
    harness.set_rollout(1, 2, 1.0, ifc.RolloutPhase.RELEASED)
    harness.update_nodes(*(nodes or (node(1), node(2), node(3))))
    return harness


class RulesTest(TraceCase):
    def test_every_rpc_is_answered(self):
        harness = released_harness(methods=(method(), method(ONCE)))
        for kind, what in ((0, "idempotent"), (1, "non-idempotent")):
            harness.remark(f"{what}: no answer comes until the deadline")
            harness.receive_rpc(kind, wait=800.0)
            harness.advance(900.0)
        harness.remark("no node at all: pushed back while an answer in time can't come any more")
        harness.update_nodes()
        harness.receive_rpc(0)
        harness.advance(3000.0)
        self.compare("answered", harness.trace)

    def test_no_effect_twice(self):
        harness = released_harness(methods=(method(IDEM), method(TOKEN, ifc.DedupScope.CELL), method(ONCE)))
        for ending in (ifc.Outcome.FULL, ifc.Outcome.RESET):
            for kind, name in ((0, "idempotent"), (1, "tokened, its cell only"), (2, "non-idempotent")):
                harness.advance(5000.0)
                harness.remark(f"{name}, first pick ends {ending.name}")
                rpc = harness.receive_rpc(kind)
                harness.end_pick(rpc, ending)
                if len(harness.picks[rpc]) > 1:
                    harness.end_pick(rpc)
        harness.remark("tokened, reset after its window: no further pick")
        rpc = harness.receive_rpc(1, wait=5000.0)
        harness.advance(2001.0)
        harness.end_pick(rpc, ifc.Outcome.RESET)
        self.compare("effects", harness.trace)

    def test_drains(self):
        harness = released_harness(node(1), node(2))
        harness.update_nodes(node(1, state=DRAINING), kind=ifc.ListKind.DELTA)
        for _ in range(6):
            harness.receive_rpc()
        harness.remark("a complete list that leaves node 2 out")
        harness.update_nodes(node(1))
        for _ in range(3):
            harness.receive_rpc()
        self.compare("drains", harness.trace)

    def test_exposure(self):
        for by_method in (False, True):
            harness = released_harness(methods=(method(), method(ONCE)), by_method=by_method, closed=1)
            harness.run_rpcs(200)
            harness.trace = []
            harness.remark(
                "all nodes run build 2, unannounced: free picks and a tenth of the RPCs taken; "
                "closed to effects" + (", by method" if by_method else "")
            )
            harness.update_nodes(node(1, build=2), node(2, build=2))
            for number in range(200):
                harness.receive_rpc(number % 2, wait=10_000.0)
            picks = [t for t in harness.trace if " pick " in t]
            harness.remark(f"{len(picks)} picks in all for 200 RPCs after 200 earlier ones")
            harness.set_rollout(2, 1, 0.0, ifc.RolloutPhase.GOING_BACK)
            harness.remark("cap 0: nothing more")
            harness.receive_rpc()
            name = "exposure_by_method" if by_method else "exposure"
            self.compare(name, [t for t in harness.trace if " pick " not in t and " push" not in t])

    def test_a_key_does_not_return_to_an_earlier_build(self):
        harness = released_harness(node(1), one_way=True)
        harness.update_nodes(node(2, build=2), kind=ifc.ListKind.DELTA)
        harness.set_rollout(2, 1, 1.0)
        harness.advance(5000.0)
        while 7 not in harness.balancer.request_router.min_builds:
            harness.end_pick(harness.receive_rpc(key=7))
        harness.trace = []
        harness.remark("key 7 was answered by build 2: it stays there; key 8 goes to either")
        for number in range(10):
            harness.end_pick(harness.receive_rpc(key=7 + number % 2))
        self.compare("one_way", [t for t in harness.trace if "log" not in t])

    def test_restart_spends_no_free_picks(self):
        harness = BalancerHarness(balancer_settings())
        harness.update_nodes(node(1, build=2), node(2, build=2), kind=ifc.ListKind.CACHED)
        harness.remark("no news yet: RPCs wait; then cap 0.1 and no free picks")
        for _ in range(12):
            harness.receive_rpc()
        harness.set_rollout(2, 0, 0.1)
        harness.advance(60.0)
        self.compare("restart", harness.trace)

    def test_failed_node_and_its_return(self):
        harness = released_harness()
        harness.run_rpcs(40)
        harness.remark("node 2 fails fast, then serves again")
        harness.run_rpcs(150, fails=lambda number: number == 2)
        harness.remark("serves again")
        harness.run_rpcs(250)
        self.compare("node_returns", harness.trace)

    def test_failures_spread_over_all_nodes_eject_none(self):
        harness = released_harness(*(node(one) for one in range(1, 11)))
        picks = itertools.count(1)
        harness.run_rpcs(600, fails=lambda number: next(picks) % 9 == 0)
        ejection_count, turn = sum("shunned" in t for t in harness.trace), itertools.cycle([True, False])
        trace = [f"every ninth pick at ten nodes fails, 600 RPCs: shunned {ejection_count} times"]
        harness.trace = []
        harness.run_rpcs(600, fails=lambda number: next(picks) % 9 == 0 or (number == 2 and next(turn)))
        ejections = [t.split("node ")[1].split()[0] for t in harness.trace if "shunned" in t]
        trace.append(
            "node 2 fails every other pick besides, shunned: "
            + ", ".join(f"node {number} {ejections.count(number)} times" for number in sorted(set(ejections)))
        )
        self.compare("shuns_none", trace)

    def test_one_bad_candidate_node_is_ejected_and_a_bad_build_is_not(self):
        trace = []
        for bad in ((7,), (5, 6, 7, 8)):
            harness = released_harness(*(node(one, build=2 if one > 4 else 1) for one in range(1, 9)))
            harness.set_rollout(2, 1, 0.5)
            harness.run_rpcs(60)
            picked = []
            harness.run_rpcs(200, fails=lambda number, bad=bad, picked=picked: picked.append(number) or number in bad)
            trace.append(f"of trial nodes 5 to 8 {bad} err: {sum(number in bad for number in picked)} picks there")
        self.compare("bad_trial_node", trace)

    def test_outcomes_of_an_earlier_process_do_not_count_for_a_node(self):
        harness = released_harness(node(1))
        rpcs = [harness.receive_rpc() for _ in range(3)]
        harness.update_nodes(node(1, build=2, started=harness.now - 1.0))
        for rpc in rpcs:
            harness.end_pick(rpc, ifc.Outcome.RESET)
        tracked = harness.balancer.request_router.nodes[1]
        harness.remark(
            f"out {len(tracked.pending_since_ms)}, shunned {tracked.ejection_ms:.0f} ms, "
            f"doubt {tracked.failure_score:.1f}"
        )
        self.compare("ran_before", [t for t in harness.trace if "--" in t or "shun" in t])

    def test_nothing_grows_with_time(self):
        harness, trace = released_harness(one_way=True, methods=(method(), method(ONCE)), by_method=True), []
        for build in range(2, 42):
            number = 10 * build
            harness.update_nodes(
                *(node(number + at, build=build, started=harness.now - 1.0) for at in range(3)),
                kind=ifc.ListKind.FULL if build % 2 else ifc.ListKind.DELTA,
            )
            harness.set_rollout(build, 1, 0.5)
            for at in range(150):
                harness.advance(400.0)
                harness.receive_rpc(at % 2, key=1000 * build + at)
                harness.advance(200.0)
                for rpc, picks in harness.picks.items():
                    for nth in range(len(picks)):
                        harness.end_pick(rpc, took=100.0, nth=nth)
                harness.picks = {}
            harness.update_nodes(
                *(node(number - 10 + at, build=build - 1, state=GONE) for at in range(3)), kind=ifc.ListKind.DELTA
            )
            harness.set_rollout(build, 2, 1.0, ifc.RolloutPhase.RELEASED)
            if build in (11, 41):
                router, analysis = harness.balancer.request_router, harness.balancer.canary_analysis
                sizes = {
                    "nodes": router.nodes,
                    "entries": router.entries,
                    "rings": router.exposure_windows,
                    "keys": router.min_builds,
                    "rpcs": router.rpcs,
                    "sides": router.pools,
                    "charts": analysis.charts,
                    "ready": analysis.ready_nodes,
                }
                trace.append(f"{build} builds: {', '.join(f'{name} {len(part)}' for name, part in sizes.items())}")
            harness.trace = []
        self.compare("grows", [f"{harness.now / 3_600_000:.1f} hours", *trace])

    def test_held_rpcs_are_sent_when_a_node_comes_and_pushed_back_in_time(self):
        harness = released_harness()
        harness.update_nodes()
        for _ in range(3):
            harness.receive_rpc()
        harness.trace = []
        harness.remark("3 RPCs wait; a node comes and takes them; it goes, and one more is pushed back in time")
        harness.update_nodes(node(1))
        harness.advance(60.0)
        harness.update_nodes()
        harness.receive_rpc()
        harness.advance(1000.0)
        self.compare("held", harness.trace)

    def test_late_answers_make_rpcs_be_pushed_back_at_once(self):
        harness = released_harness()
        for took, count in ((900.0, 20), (100.0, 60)):
            harness.trace = []
            for _ in range(count):
                rpc = harness.receive_rpc()
                if rpc in harness.picks:
                    harness.end_pick(rpc, took=took)
            back = [int(t.split()[-1]) for t in harness.trace if "push" in t]
            harness.trace = [f"answers in {took:.0f} of 1000 ms: {len(back)} of {count} pushed back at once"]
            self.compare(f"late_{took:.0f}", harness.trace)

    def test_more_than_can_be_answered_is_pushed_back_at_once(self):
        """In low-traffic mode: at 50 answers a second, 30 come within 0.6 of the soft deadline."""
        harness = BalancerHarness(balancer_settings(marshals=60, tally=2000.0))
        harness.set_rollout(1, 2, 1.0, ifc.RolloutPhase.RELEASED)
        harness.update_nodes(*(node(one) for one in range(1, 11)))
        harness.run_rpcs(250)
        harness.trace = []
        for _ in range(60):
            harness.receive_rpc()
        back = [int(t.split()[-1]) for t in harness.trace if "push" in t]
        trace = [f"60 RPCs at once, of 50 answered a second: {len(back)} pushed back at once, the first {back[0]}"]
        harness.advance(1100.0)
        harness.receive_rpc()
        trace.append(f"once the others are past their soft deadline: {harness.trace[-1].split()[1]}")
        self.compare("crowded", trace)

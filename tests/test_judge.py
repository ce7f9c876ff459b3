"""The charts and the votes, as traces of the module alone."""

import itertools

from brookreach import interface as ifc

from .helpers import ONCE, TraceCase, World, method, node, start


def trial(**facts):
    """Three nodes of build 1 and two warm ones of build 2, which is on trial."""
    world = World(start(**facts))
    world.news(1, 2, 1.0, ifc.RolloutPhase.RELEASED)
    world.nodes(node(1), node(2), node(3))
    world.quietly(100)
    world.nodes(node(1), node(2), node(3), *(node(one, build=2, started=world.now - 1.0) for one in (4, 5)))
    world.news(2, 1, 0.5)
    return world


def every_other():
    """Build 2 fails every second pick."""
    turn = itertools.cycle([True, False])
    return lambda number: number > 3 and next(turn)


class JudgeTest(TraceCase):
    def test_bad_build_goes_back(self):
        world = trial()
        world.say("every other pick of build 2 errs: the chart climbs and this marshal alone votes back")
        world.quietly(600, fails=every_other())
        self.compare("bad_build", [t for t in world.trace if "node" not in t])

    def test_load_is_no_bad_build(self):
        """More RPCs make all answers slow, while both builds run and when only the new one is left."""

        def slowly(world, took, count, gap=10.0, fails=lambda number: False):
            for _ in range(count):
                world.wait(gap)
                rpc = world.rpc()
                if rpc in world.open:
                    bad = fails(world.open[rpc][-1][0])
                    world.end(rpc, ifc.Outcome.ERROR if bad else ifc.Outcome.OK, took=took)

        def said(world):
            return [t for t in world.trace if "log: back" in t or "--" in t]

        world = trial()
        slowly(world, 100.0, 700)
        world.say("more than twice the RPCs, answers take four times as long on both builds")
        slowly(world, 100.0, 100, gap=4.0)  # queues take their time
        slowly(world, 400.0, 500, gap=4.0)
        world.say("all nodes run build 2; then many answers come after the soft deadline")
        world.nodes(*(node(number, build=2, started=world.now - 5000.0) for number in (1, 2, 3, 4)))
        slowly(world, 400.0, 200, gap=4.0)
        slowly(world, 1600.0, 600, gap=4.0)
        trace = said(world)
        world = trial()
        slowly(world, 100.0, 700)
        world.say("half of the nodes are cold, answers take three times as long: as many RPCs for less")
        world.nodes(
            *(
                node(one, build=2 if one > 3 else 1, started=0.0 if one < 4 else world.now - 5000.0)
                for one in range(1, 5)
            ),
            *(node(one, build=2, started=world.now) for one in range(5, 12)),
            kind=ifc.ListKind.DELTA,
        )
        world.nodes(node(1, state=ifc.NodeState.GONE), node(2, state=ifc.NodeState.GONE), kind=ifc.ListKind.DELTA)
        slowly(world, 300.0, 250)
        trace += said(world)
        world = trial()
        slowly(world, 100.0, 700)
        world.say("no more RPCs, and answers take four times as long on both builds: build 2 burdens both")
        slowly(world, 400.0, 400)
        trace += said(world)
        world = trial()
        slowly(world, 100.0, 100)
        world.say("late on both builds under more RPCs; then build 2 errs every other time")
        slowly(world, 1600.0, 400, gap=4.0)
        slowly(world, 100.0, 600, fails=every_other())
        self.compare("load", trace + [t.split(" failures")[0] for t in said(world)])

    def test_on_waits_and_follows_the_stage(self):
        world = trial()
        world.say("nothing fails: on comes 3 s after the start, once; lost and full answers are tried again")
        world.quietly(160)
        world.news(2, 1, 0.5, reply=True, ending=ifc.Outcome.TIMEOUT)
        world.wait(1000.0)
        world.news(2, 1, 0.5, reply=True)
        world.wait(2000.0)
        world.say("the next stage is told")
        world.news(2, 2, 1.0)
        world.quietly(200)
        world.say("released: nothing more to say")
        world.news(2, 2, 1.0, ifc.RolloutPhase.RELEASED)
        world.quietly(50)
        self.compare("on", world.trace)

    def test_back_is_renewed_and_ends_with_the_way_back(self):
        world = trial()
        world.quietly(600, fails=every_other())
        world.trace.clear()
        world.say("votes live 6 s: renewed every 3 s, until the build is told to go back")
        world.news(2, 1, 0.5, reply=True)
        world.wait(10_000.0)
        world.news(2, 1, 0.0, ifc.RolloutPhase.GOING_BACK)
        world.wait(5_000.0)
        self.compare("back_renewed", world.trace)

    def test_clock_gate_holds_on_doubt(self):
        world = trial(gate=ifc.PromotionGate.CLOCK)
        world.quietly(200)
        bad = iter([True] * 4 + [False] * 200)
        world.quietly(80, fails=lambda number: number > 3 and next(bad))
        self.compare("hold", [t for t in world.trace if "node" not in t])

    def test_all_failing_on_both_builds_is_no_fault_of_the_charts(self):
        world = trial(methods=(method(), method(ONCE, name="write")))
        world.quietly(400, fails=lambda number: True, method=1)
        self.compare("all_fail", [t for t in world.trace if "log: node" not in t and "abort" not in t][:8])

    def test_tallies_judge_where_a_marshal_sees_few(self):
        world = World(start(marshals=100, tally=2000.0))
        world.news(1, 2, 1.0, ifc.RolloutPhase.RELEASED)
        world.nodes(*(node(one) for one in range(1, 9)))
        trial = [node(one, build=2, started=world.now + 1.0) for one in (11, 12, 13, 14)]
        world.news(2, 0, 0.1)
        for nodes, failed in ((1, 6), (4, 0), (4, 6)):
            world.nodes(*trial[:nodes], kind=ifc.ListKind.DELTA)
            world.say(f"{nodes} trial nodes, {failed} of 40 tallied failed, four times")
            for _ in range(4):
                world.wait(2000.0)
                world.event(ifc.OutcomeCounts(1, 0, 1000.0, 1, 200, 100.0))
                world.event(ifc.OutcomeCounts(2, 0, 1000.0, failed, 40, 100.0))
                world.event(ifc.OutcomeCounts(9, 7, 1000.0, 1, 1, 100.0))
        self.compare("tallies", world.trace)

"""What a cold node gets, as traces of the module alone."""

from brookreach import interface as ifc

from .helpers import TraceCase, World, node, start
from .test_rules import plain


class ColdTest(TraceCase):
    def test_cold_node_is_not_pushed_over(self):
        world = plain()
        world.quietly(300)
        world.say("only a node that has just started is left: its budget, then waiting, then pushing back")
        world.nodes(node(9, started=world.now - 1.0))
        for _ in range(30):
            world.rpc()
        world.wait(1000.0)
        self.compare("cold", [t for t in world.trace if "shun" not in t])

    def test_hundreds_of_marshals_share_a_cold_node(self):
        trace = []
        for marshals in (1, 300):
            sent, every = 0.0, 10.0 * marshals  # one RPC in 10 ms for all of them, of 100 ms each
            for number in range(marshals):
                world = World(start(marshals=marshals, seed=number))
                world.news(1, 2, 1.0, ifc.RolloutPhase.RELEASED)
                world.nodes(*(node(one) for one in range(1, 11)))
                world.quietly(int(6000.0 / every), gap=every)
                world.nodes(node(99, started=world.now))
                until = world.now + 2000.0
                world.trace = []
                while world.now + every < until:
                    world.wait(every)
                    rpc = world.rpc()
                    if rpc in world.open:
                        world.end(rpc)
                sent += sum(t.endswith("-> 99") for t in world.trace)
            trace.append(f"{marshals} marshals: {sent:.0f} picks at a cold node, the only one left, in 2 s")
        trace.append("200 RPCs came in that time; a warm node took 20; the rule allows 3 x 0.3 of its most")
        self.compare("cold_shared", trace)

    def test_cold_node_of_a_slow_build_gets_less(self):
        for took in (100.0, 400.0):
            world = plain()
            world.quietly(300)
            world.nodes(node(9, started=world.now - 1.0))
            for _ in range(60):
                world.wait(20.0)
                rpc = world.rpc()
                if rpc in world.open:
                    world.end(rpc, took=took)
            world.trace = [t for t in world.trace if " pick " in t and t.endswith("-> 9")]
            world.say(f"picks in 1.2 s at a cold node that answers in {took:.0f} ms; warm ones took 100 ms")
            self.compare(f"cold_slow_{took:.0f}", world.trace[-4:] + [f"{len(world.trace) - 1} in all"])

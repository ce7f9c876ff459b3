"""What a cold node gets, as traces of the decisions of one balancer."""

from brookreach import interface as ifc

from .helpers import BalancerHarness, TraceCase, balancer_settings, node
from .test_rules import released_harness


class SlowStartTest(TraceCase):
    def test_a_cold_node_is_not_overloaded(self):
        harness = released_harness()
        harness.run_rpcs(300)
        harness.remark("only a node that has just started is left: its budget, then waiting, then pushing back")
        harness.update_nodes(node(9, started=harness.now - 1.0))
        for _ in range(30):
            harness.receive_rpc()
        harness.advance(1000.0)
        self.compare("cold", [t for t in harness.trace if "shun" not in t])

    def test_hundreds_of_balancers_share_a_cold_node(self):
        trace = []
        for marshals in (1, 300):
            sent, every = 0.0, 10.0 * marshals  # one RPC in 10 ms for all of them, of 100 ms each
            for number in range(marshals):
                harness = BalancerHarness(balancer_settings(marshals=marshals, seed=number))
                harness.set_rollout(1, 2, 1.0, ifc.RolloutPhase.RELEASED)
                harness.update_nodes(*(node(one) for one in range(1, 11)))
                harness.run_rpcs(int(6000.0 / every), gap=every)
                harness.update_nodes(node(99, started=harness.now))
                until = harness.now + 2000.0
                harness.trace = []
                while harness.now + every < until:
                    harness.advance(every)
                    rpc = harness.receive_rpc()
                    if rpc in harness.picks:
                        harness.end_pick(rpc)
                sent += sum(t.endswith("-> 99") for t in harness.trace)
            trace.append(f"{marshals} marshals: {sent:.0f} picks at a cold node, the only one left, in 2 s")
        trace.append("200 RPCs came in that time; a warm node took 20; the rule allows 3 x 0.3 of its most")
        self.compare("cold_shared", trace)

    def test_a_cold_node_of_a_slow_build_gets_less(self):
        for took in (100.0, 400.0):
            harness = released_harness()
            harness.run_rpcs(300)
            harness.update_nodes(node(9, started=harness.now - 1.0))
            for _ in range(60):
                harness.advance(20.0)
                rpc = harness.receive_rpc()
                if rpc in harness.picks:
                    harness.end_pick(rpc, took=took)
            harness.trace = [t for t in harness.trace if " pick " in t and t.endswith("-> 9")]
            harness.remark(f"picks in 1.2 s at a cold node that answers in {took:.0f} ms; warm ones took 100 ms")
            self.compare(f"cold_slow_{took:.0f}", harness.trace[-4:] + [f"{len(harness.trace) - 1} in all"])

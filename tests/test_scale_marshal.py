"""`brookreach scale marshal`: work counted by size, its load, its figures.

Counts are calls and lines of the uncompiled decisions, the same on every machine; times are asserted nowhere.
"""

import unittest
from functools import cache
from unittest import mock

from brookreach import interface as ifc
from brookreach.balancer_settings_reader import read_balancer_settings
from brookreach.policy.node_registry import NodeRegistry
from brookreach.scale import marshal_configuration as configured
from brookreach.scale import marshal_situations
from brookreach.scale.figures import fit, percentiles
from brookreach.scale.marshal_decisions import counted
from brookreach.scale.marshal_load import Load
from brookreach.scale.marshal_sizes import Size

FEW, MANY = 150, 1200  # nodes; the second is eight times the first
RPCS = 300
QUIET, TRIAL, COLD, DRAINS = (kind.name for kind in marshal_situations.SITUATIONS)


@cache
def costs(nodes, methods=3, tenants=0):
    return {cost.situation: cost for cost in counted(Size(nodes, methods, tenants), RPCS, 1)}


def growth(situation, of):
    return of(costs(MANY)[situation]) / of(costs(FEW)[situation])


class WorkTest(unittest.TestCase):
    """Calls and lines at eight times the nodes. Flat figures are held tightly; where one grows today, its growth
    of today (in brackets: from, to) is the most that is allowed."""

    def test_an_rpc_while_nothing_goes_on_is_flat(self):
        self.assertLessEqual(growth(QUIET, lambda cost: cost.rpc.p50), 1.01)  # 430, 430
        self.assertLessEqual(growth(QUIET, lambda cost: cost.rpc.p99), 1.01)  # 557, 557

    def test_most_rpcs_while_nodes_are_cold_or_drain_are_flat(self):
        self.assertLessEqual(growth(COLD, lambda cost: cost.rpc.p50), 1.01)  # 430, 430
        self.assertLessEqual(growth(DRAINS, lambda cost: cost.rpc.p50), 1.01)  # 430, 430

    def test_an_rpc_on_trial_grows_no_more_than_today(self):
        self.assertLessEqual(growth(TRIAL, lambda cost: cost.rpc.p50), 1.42)  # 628, 889
        self.assertLessEqual(growth(TRIAL, lambda cost: cost.rpc.p99), 1.31)  # 860, 1,121

    def test_one_rpc_in_a_hundred_while_nodes_are_cold_or_drain_grows_no_more_than_today(self):
        self.assertLessEqual(growth(COLD, lambda cost: cost.rpc.p99), 7.2)  # 3,790, 26,869: nodes sorted anew
        self.assertLessEqual(growth(DRAINS, lambda cost: cost.rpc.p99), 7.1)  # 3,800, 26,480

    def test_a_second_pick_grows_no_more_than_today(self):
        self.assertLessEqual(growth(QUIET, lambda cost: cost.rpc_again), 7.3)  # 7,415, 53,615: looks at all nodes

    def test_beats_and_lists_grow_no_more_than_nodes(self):
        for situation in (QUIET, TRIAL, COLD, DRAINS):
            self.assertLessEqual(growth(situation, lambda cost: cost.beat), 7.4)  # 1,086, 7,910
        self.assertLessEqual(growth(DRAINS, lambda cost: cost.list_change), 7.4)  # 551, 3,981

    def test_methods(self):
        few, many = costs(FEW), costs(FEW, 240)
        self.assertLessEqual(many[QUIET].rpc.p50 / few[QUIET].rpc.p50, 1.01)  # 430, 430
        self.assertLessEqual(many[COLD].rpc.p50 / few[COLD].rpc.p50, 1.01)  # 430, 430
        self.assertLessEqual(many[DRAINS].rpc.p50 / few[DRAINS].rpc.p50, 1.01)  # 430, 430
        self.assertLessEqual(many[TRIAL].rpc.p50 / few[TRIAL].rpc.p50, 1.01)  # 628, 530
        self.assertLessEqual(many[QUIET].beat / few[QUIET].beat, 1.25)  # 1,086, 1,323

    def test_no_decision_looks_at_tenants(self):
        self.assertEqual(costs(FEW, tenants=1000), costs(FEW))

    def test_the_counts_see_rows_that_are_looked_at_for_each_rpc(self):
        refresh = NodeRegistry.refresh_pools

        def always(registry, now):
            registry.pools_valid_until_ms = 0.0
            refresh(registry, now)

        with mock.patch.object(NodeRegistry, "refresh_pools", always):
            found = [counted(Size(nodes, 3, 0), 100, 1)[0] for nodes in (FEW, MANY)]
        self.assertGreater(found[1].rpc.p50 / found[0].rpc.p50, 5.0)


class LoadTest(unittest.TestCase):
    def load(self, kind):
        size = Size(40, 3, 0)
        start = read_balancer_settings(1, configured.settings(size))
        return Load(start, kind(size, start), 1, lambda: 0)

    def test_each_rpc_has_one_answer_and_costs_something(self):
        for kind in marshal_situations.SITUATIONS:
            load = self.load(kind)
            numbers = load.run(1000)
            self.assertEqual((len(numbers), load.open), (1000, {}))
            self.assertGreater(load.answered, 990)
            self.assertEqual(set(load.spent.rpcs) & set(numbers), set(numbers))

    def test_one_seed_is_one_load(self):
        first, again = (self.load(marshal_situations.Trial) for _ in range(2))
        first.run(300), again.run(300)
        self.assertEqual((first.now, first.answered, first.again), (again.now, again.answered, again.again))

    def test_the_median_rpc_of_a_trial_is_judged(self):
        load = self.load(marshal_situations.Trial)
        load.run(1000)
        self.assertGreater(load.marshal.canary_analysis.outcome_count, 500)

    def test_nodes_are_cold_in_one_situation_only(self):
        size = Size(100, 3, 0)
        start = read_balancer_settings(1, configured.settings(size))
        cold = marshal_situations.Cold(size, start)
        rows = [cold.change(now) for now in (1e6, 2e6)]
        self.assertEqual([len(some) for some in rows], [2, 2])
        self.assertFalse({row.node for row in rows[0]} & {row.node for row in rows[1]})
        self.assertTrue(all(row.started_ms for some in rows for row in some))

    def test_drained_nodes_go_and_others_come(self):
        size = Size(200, 3, 0)
        start = read_balancer_settings(1, configured.settings(size))
        drains = marshal_situations.Drains(size, start)
        states, known = [], {entry.node: entry.state for entry in drains.entries}
        for _ in range(20):
            changed = {row.node: row.state for row in drains.change(0.0)}
            known |= changed
            known = {node: state for node, state in known.items() if state != ifc.NodeState.GONE}
            states.append(list(known.values()))
        self.assertEqual({some.count(ifc.NodeState.DRAINING) for some in states[5:]}, {4})
        self.assertEqual({len(some) for some in states}, {200})


class FiguresTest(unittest.TestCase):
    def test_percentiles_are_values_that_were_measured(self):
        found = percentiles([float(value) for value in range(1, 1001)])
        self.assertEqual((found.count, found.p50, found.p99, found.p999), (1000, 501.0, 991.0, 1000.0))
        with self.assertRaises(ValueError):
            percentiles([])

    def test_a_line_is_found_again(self):
        sizes = [{"nodes": n, "methods": m, "tenants": 0} for n in (150, 12_000) for m in (3, 2400)]
        found = fit("x", "us", sizes, [5.0 + 0.25 * size["nodes"] + 2.0 * size["methods"] for size in sizes])
        self.assertAlmostEqual(found.constant, 5.0)
        self.assertEqual(set(found.per_unit), {"nodes", "methods"})
        self.assertAlmostEqual(found.per_unit["nodes"], 0.25)
        self.assertAlmostEqual(found.at({"nodes": 4000, "methods": 240}), 1485.0, places=6)
        self.assertAlmostEqual(found.explained, 1.0)

    def test_what_no_line_explains_is_said_so(self):
        found = fit("x", "us", [{"nodes": n} for n in (1, 2, 3, 4)], [0.0, 9.0, 9.0, 0.0])
        self.assertAlmostEqual(found.explained, 0.0)

    def test_sizes_that_grow_together_tell_nothing(self):
        with self.assertRaisesRegex(ValueError, "can't tell a constant, nodes, methods apart"):
            fit("x", "us", [{"nodes": n, "methods": 2 * n} for n in (1, 2, 3, 4)], [1.0, 2.0, 3.0, 4.0])
        with self.assertRaisesRegex(ValueError, "2 sizes for 1 values"):
            fit("x", "us", [{"nodes": 1}, {"nodes": 2}], [1.0])

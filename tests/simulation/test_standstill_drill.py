"""The drill of standstills: short and seeded, and each planted defect found by the rule that it breaks."""

import importlib.util
import random
import unittest
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from unittest import mock

from brookreach.simulation.balancer import checker as soak
from brookreach.simulation.balancer.program import SHIM_FOLDER
from brookreach.simulation.standstill import checker, drill
from brookreach.simulation.standstill.defects import DEFECTS
from brookreach.simulation.standstill.scenario import InputPair, plan_pair, plan_standstill

SEEDS = range(len(InputPair))  # each pair of inputs once
CONCURRENT = 4
# For each defect the pair that meets it, and the rule that it breaks.
PLANTED = {
    "late-discovery": (InputPair.OUTAGE_AND_DRAIN, checker.LISTED_RULE),
    "requests-before-ends": (InputPair.REQUEST_AND_END, soak.LEFT_RULE),
    "requests-before-news": (InputPair.REQUEST_AND_DRAIN, soak.DRAIN_RULE),
    "age-of-reading": (InputPair.REQUEST_AND_SILENCE, soak.ANSWERED_RULE),
    "last-read-state": (InputPair.VOTE_AND_NEWS, checker.SENT_BACK_RULE),
    "stop-of-reading": (InputPair.STOP_AND_CROWD, soak.ANSWERED_RULE),
}


def broken_rules(name):
    """The rules that a planted defect breaks."""
    scenario = plan_pair(PLANTED[name][0], 1, random.Random(1))
    return {rule for rule, _ in drill.run_scenario(scenario, defect=name).violations}


class StandstillDrillTest(unittest.TestCase):
    def test_no_rule_is_broken_on_any_pair(self):
        report = drill.run(SEEDS.start, len(SEEDS))
        self.assertEqual([f"seed {one.seed}: {one.rule}: {one.text}" for one in report.violations], [])
        self.assertEqual(report.checked[soak.ANSWERED_RULE], len(SEEDS))
        self.assertGreater(report.figures["served"], 1000)

    def test_each_planted_defect_breaks_its_rule(self):
        self.assertEqual(set(PLANTED), set(DEFECTS))
        with ProcessPoolExecutor(CONCURRENT, mp_context=get_context("spawn")) as pool:
            found = dict(zip(PLANTED, pool.map(broken_rules, PLANTED), strict=True))
        for name, (_, rule) in PLANTED.items():
            with self.subTest(name):
                self.assertIn(rule, found[name])

    def test_the_shim_knows_each_defect(self):
        spec = importlib.util.spec_from_file_location("planted", SHIM_FOLDER / "planted_defects.py")
        planted = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(planted)
        self.assertEqual(set(planted.ORDER_DEFECTS), set(DEFECTS))

    def test_a_seed_gives_the_same_scenario_again_and_seeds_in_a_row_meet_each_pair(self):
        self.assertEqual([plan_standstill(seed) for seed in SEEDS], [plan_standstill(seed) for seed in SEEDS])
        self.assertEqual({plan_standstill(seed).pair for seed in range(40, 40 + len(SEEDS))}, set(InputPair))

    def test_a_run_that_ends_by_an_error_is_reported_with_its_seed(self):
        with mock.patch.object(drill, "plan_standstill", side_effect=OSError("no folder")):
            result = drill._run_seed(7, "")
        self.assertEqual(result.seed, 7)
        self.assertIn("no folder", result.error)


if __name__ == "__main__":
    unittest.main()

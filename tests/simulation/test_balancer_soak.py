"""The soak of the balancer's process: short and seeded, and each planted defect found by the rule that it breaks."""

import importlib.util
import unittest
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from unittest import mock

from brookreach.simulation.balancer import checker, drill
from brookreach.simulation.balancer.defects import DEFECTS
from brookreach.simulation.balancer.program import SHIM_FOLDER
from brookreach.simulation.balancer.record import Attempt, AttemptEnd, Outcome, Record, Request
from brookreach.simulation.balancer.scenario import (
    BUILD_ON_TRIAL,
    RELEASED_BUILD,
    ClientStyle,
    NodeKind,
    Scenario,
    plan_scenario,
)

SEEDS = range(0, 12)  # of each property that goes round with the seed, at least one
CONCURRENT = 4
SINGLE, PIPELINED, LEAVING = (ClientStyle.SINGLE,), (ClientStyle.PIPELINED,), (ClientStyle.LEAVING,)
HANGING, SLOW, RESETTING = (NodeKind.HANGING,) * 4, (NodeKind.SLOW,) * 4, (NodeKind.RESETTING,) * 4
TWICE = (NodeKind.TWICE,) * 4


def scenario(limits_s, nodes, clients=SINGLE * 12 + PIPELINED * 6, **other):
    return Scenario(seed=1, limits_s=limits_s, nodes=nodes, clients=clients, **other)


# For each defect a scenario that meets it, and the rule that it breaks.
PLANTED = {
    "stop-by-longest-limit": (scenario((5.5, 3.0), HANGING), checker.END_RULE),
    "stop-not-shortened": (scenario((5.5, 3.0), HANGING), checker.ANSWERED_RULE),
    "accept-never-resumed": (scenario((1.0, 0.8), SLOW, failing_accepts=3), checker.SERVICE_RULE),
    # Met only by connections that are busy as new ones are first refused, and then bring more: some 2 or 3 of 16.
    "closes-what-was-read": (scenario((3.0, 2.25), SLOW, PIPELINED * 48), checker.ANSWERED_RULE),
    "full-house-closes": (scenario((1.0, 0.8), HANGING, burst=250, burst_after_s=0.1), checker.ANSWERED_RULE),
    "false-refusal": (scenario((1.0, 0.8), HANGING), checker.REFUSAL_RULE),
    "unsafe-retry": (scenario((1.0, 0.8), RESETTING), checker.ONCE_RULE),
    "pause-is-proof": (scenario((1.0, 0.8), TWICE), checker.VALUE_RULE),
    "goes-on-after-leave": (scenario((3.0, 2.25), (*RESETTING, *SLOW), LEAVING * 24), checker.LEFT_RULE),
}


def broken_rules(name):
    """The rules that a planted defect breaks."""
    return {rule for rule, _ in drill.run_scenario(PLANTED[name][0], defect=name).violations}


class SoakTest(unittest.TestCase):
    def test_no_rule_is_broken_on_any_seed(self):
        report = drill.run(SEEDS.start, len(SEEDS))
        self.assertEqual([f"seed {one.seed}: {one.rule}: {one.text}" for one in report.violations], [])
        self.assertEqual(report.checked[checker.ANSWERED_RULE], len(SEEDS))
        self.assertGreater(report.figures["served"], 1000)
        self.assertGreater(report.figures["attempts"], 1000)

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
        self.assertEqual(set(planted.DEFECTS), set(DEFECTS))

    def test_a_seed_gives_the_same_scenario_again(self):
        self.assertEqual([plan_scenario(seed) for seed in SEEDS], [plan_scenario(seed) for seed in SEEDS])
        self.assertGreater(len({plan_scenario(seed).describe() for seed in SEEDS}), len(SEEDS) - 1)

    def test_a_process_that_does_not_start_breaks_a_rule(self):
        result = drill.run_scenario(PLANTED["full-house-closes"][0], command="exit 3")
        self.assertEqual(result.violations, [(checker.SERVICE_RULE, "the first start: it ended with exit code 3")])

    def test_a_run_that_ends_by_an_error_is_reported_with_its_seed(self):
        with mock.patch.object(drill, "plan_scenario", side_effect=OSError("no folder")):
            result = drill._run_seed(7, "")
        self.assertEqual(result.seed, 7)
        self.assertIn("no folder", result.error)


class CheckerTest(unittest.TestCase):
    """Each rule on a record made by hand, as clients and nodes would have written it."""

    def rules(self, requests=(), attempts=(), **other):
        record = Record(requests=list(requests), attempts=list(attempts), exit_code=0, **other)
        return [rule for rule, _ in checker.find_violations(scenario((3.0, 3.0), HANGING), record)]

    def request(self, outcome, ended_at=1.0, **other):
        fields = {"name": "a", "is_safe": True, "wait_s": 1.0, "is_first": False, "behind": 0, "batch": "a"} | other
        return Request(written_at=0.0, ended_at=ended_at, outcome=outcome, **fields)

    def attempt(self, end=AttemptEnd.SERVED, at=0.1, told_ms=800.0, node=1, build=RELEASED_BUILD):
        return Attempt("a", node, build, at, at, told_ms, end)

    def test_an_answer_in_time(self):
        served = self.request(Outcome.SERVED, value=b"a by 1")
        self.assertEqual(self.rules([served], [self.attempt()]), [])
        self.assertEqual(self.rules([self.request(Outcome.FAILED, ended_at=1.5)]), [])

    def test_an_answer_too_late_and_none(self):
        self.assertEqual(self.rules([self.request(Outcome.FAILED, ended_at=1.7)]), [checker.ANSWERED_RULE])
        self.assertEqual(self.rules([self.request(Outcome.CLOSED)]), [checker.ANSWERED_RULE])
        self.assertEqual(self.rules([self.request(Outcome.OPEN)]), [checker.ANSWERED_RULE])
        self.assertEqual(self.rules(surplus_messages=["one"]), [checker.ANSWERED_RULE])

    def test_an_answer_that_waits_for_those_before_it(self):
        head = self.request(Outcome.FAILED, ended_at=3.0, wait_s=3.0, name="b")
        self.assertEqual(self.rules([head, self.request(Outcome.FAILED, ended_at=3.1, previous=head)]), [])
        late = self.request(Outcome.FAILED, ended_at=3.7, previous=head)
        self.assertEqual(self.rules([head, late]), [checker.ANSWERED_RULE])

    def test_what_crosses_the_end_of_a_resting_connection(self):
        self.assertEqual(self.rules([self.request(Outcome.CLOSED, ended_at=0.02)]), [])
        for other in ({"is_first": True}, {"behind": 1}, {"ended_at": 0.06}):
            crossing = self.request(Outcome.CLOSED, **({"ended_at": 0.02} | other))
            self.assertEqual(self.rules([crossing]), [checker.ANSWERED_RULE])
        answered = self.request(Outcome.FAILED, ended_at=0.01, name="b")
        half_read = self.request(Outcome.CLOSED, ended_at=0.02)
        self.assertEqual(self.rules([answered, half_read]), [checker.ANSWERED_RULE])

    def test_effects_and_refusals_of_an_unsafe_request(self):
        refused = self.request(Outcome.REFUSED, is_safe=False)
        self.assertEqual(self.rules([refused], [self.attempt(AttemptEnd.REFUSED)]), [])
        self.assertEqual(self.rules([refused], [self.attempt(AttemptEnd.OPEN)]), [checker.REFUSAL_RULE])
        failed = self.request(Outcome.FAILED, is_safe=False)
        twice = [self.attempt(AttemptEnd.RESET), self.attempt(AttemptEnd.ERROR, node=2)]
        self.assertEqual(self.rules([failed], twice), [checker.ONCE_RULE])

    def test_values_times_and_drains(self):
        other = self.request(Outcome.SERVED, value=b"b by 1")
        self.assertEqual(self.rules([other], [self.attempt()]), [checker.VALUE_RULE])
        failed = self.request(Outcome.FAILED)
        self.assertEqual(self.rules([failed], [self.attempt(told_ms=1200.0)]), [checker.TOLD_RULE])
        drained = {"draining_told_at": {1: -0.5}}
        self.assertEqual(self.rules([failed], [self.attempt()], **drained), [checker.DRAIN_RULE])
        left = self.request(Outcome.LEFT, ended_at=0.1)
        self.assertEqual(self.rules([left], [self.attempt(at=0.4, told_ms=500.0)]), [checker.LEFT_RULE])
        many = [self.attempt(AttemptEnd.ERROR, build=BUILD_ON_TRIAL) for _ in range(8)]
        self.assertEqual(self.rules([failed], many), [checker.EXPOSURE_RULE] * 3)  # 5.26 are allowed


if __name__ == "__main__":
    unittest.main()

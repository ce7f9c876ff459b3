"""A service under any order of messages: whatever is delayed, doubled or lost, six serve it from the first six on."""

import random
import unittest

from brookreach.simulation.defect import planted
from brookreach.subsetting import handover as handover_module
from brookreach.subsetting.effects import DrainService, HandoverAck, HandoverQuery, LoadService, RequestFullView
from brookreach.subsetting.fleet_view import Balancer, Service, diff_views, make_view
from brookreach.subsetting.handover import SubsetHandover
from brookreach.subsetting.settings import Settings, Times

SETTINGS = Settings(times=Times(query_interval_ms=40))
REQUIRED, NAMES, STEPS = 6, [f"m{index}" for index in range(9)], 1500
DEFECTS = {
    "five-answers": (handover_module, "may_drain", lambda right: lambda missing: len(missing) < 2),
    "no-answer": (handover_module, "may_drain", lambda right: lambda missing: True),
}


class UnorderedLinks:
    """Nine scopes that never die, and all that is on its way between them."""

    def __init__(self, seed):
        self.random_source = random.Random(seed)
        self.now_ms, self.drained = 0, 0
        self.pace = self.random_source.choice([60, 200, 400])  # steps from one version to the next
        self.slow_name = self.random_source.choice(NAMES)  # what is for it mostly waits
        self.handovers = {name: SubsetHandover(name, SETTINGS) for name in NAMES}
        self.view = self.generate_view(1)
        self.pending = []
        for name, handover in self.handovers.items():
            handover.lease_renewed(1, 10**9)
            self.execute(name, handover.full_view_received(self.view, 0))
        while len(self.serving()) < REQUIRED:
            self.deliver()

    def generate_view(self, version):
        """One or two of the nine are not in it, though they live on."""
        count = self.random_source.choice([7, 8])
        rows = [Balancer(name, "r", "z") for name in self.random_source.sample(NAMES, count)]
        return make_view(version, rows, [Service("s", 1)])

    def serving(self):
        return {name for name, handover in self.handovers.items() if handover.serving}

    def step(self):
        self.now_ms += 1
        name = self.random_source.choice(NAMES)
        handover = self.handovers[name]
        match self.random_source.randrange(self.pace):
            case 0:
                self.next_version()
            case 1:
                self.execute(name, handover.full_view_received(self.view, self.now_ms))
            case index if index < self.pace // 10:
                self.execute(name, handover.tick(self.now_ms))
            case _:
                self.deliver()

    def next_version(self):
        view = self.generate_view(self.view.version + 1)
        change, self.view = diff_views(self.view, view), view
        for name in NAMES:
            self.send(name, lambda handover: handover.view_change_received(change, self.now_ms))

    def deliver(self):
        """Any one of what is on its way, and now and then it stays there too."""
        if self.pending:
            index = self.random_source.randrange(len(self.pending))
            name, from_ms, callback = self.pending[index]
            if self.now_ms < from_ms or (name == self.slow_name and self.random_source.random() < 0.8):
                return
            if self.random_source.random() < 0.9:
                del self.pending[index]
            callback()

    def send(self, name, receive, *arguments, late_ms=0):
        """`hear` gives the effects of what was told to the scope of that name."""
        handover = self.handovers[name]
        self.pending.append((name, self.now_ms + late_ms, lambda: self.execute(name, receive(handover, *arguments))))

    def execute(self, name, effects):
        for effect in effects:
            match effect:
                case LoadService(service):
                    self.send(name, SubsetHandover.service_loaded, service)
                case DrainService(service):
                    self.drained += 1
                    self.send(name, SubsetHandover.service_idle, service)
                case HandoverQuery(_, to):
                    self.send(to, SubsetHandover.query_received, effect, self.now_ms)
                case HandoverAck(_, to):
                    late_ms = self.random_source.choice([0, 0, 0, 0, 0, 200])
                    self.send(to, SubsetHandover.ack_received, effect, self.now_ms, late_ms=late_ms)
                case RequestFullView():
                    self.send(name, SubsetHandover.full_view_received, self.view, self.now_ms)


def run_seed(seed):
    """Who served at the worst instant, and how often one let go."""
    lines = UnorderedLinks(seed)
    fewest_serving = REQUIRED
    for _ in range(STEPS):
        lines.step()
        fewest_serving = min(fewest_serving, len(lines.serving()))
    return fewest_serving, lines.drained


class AnyOrderTest(unittest.TestCase):
    def test_never_under_six(self):
        drained = 0
        for seed in range(60):
            fewest_serving, times = run_seed(seed)
            self.assertEqual(fewest_serving, REQUIRED, f"seed {seed}")
            drained += times
        self.assertGreater(drained, 120)

    def test_injected_defects_are_found(self):
        for plant in DEFECTS:
            with self.subTest(plant), planted(DEFECTS, plant):
                self.assertLess(min(run_seed(seed)[0] for seed in range(60)), REQUIRED)

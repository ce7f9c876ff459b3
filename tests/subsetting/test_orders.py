"""Once six balancers serve a service, six always do, however messages are delayed, repeated or reordered."""

import random
import unittest

from brookreach.simulation.defect import Defect, inject_defect
from brookreach.subsetting import handover as handover_module
from brookreach.subsetting.effects import DrainService, HandoverAck, HandoverQuery, LoadService, RequestFullView
from brookreach.subsetting.fleet_view import Balancer, Service, diff_views, make_view
from brookreach.subsetting.handover import SubsetHandover
from brookreach.subsetting.settings import Settings, Times

SETTINGS = Settings(times=Times(query_interval_ms=40))
REQUIRED = 6
NAMES = [f"m{index}" for index in range(9)]
STEPS = 1500
DEFECTS = {
    "one-missing-ack-is-ignored": Defect(
        handover_module, "may_drain", lambda _correct: lambda missing: len(missing) < 2
    ),
    "all-missing-acks-are-ignored": Defect(handover_module, "may_drain", lambda _correct: lambda _missing: True),
}


class UnorderedLinks:
    """Nine balancers that never fail, and the messages in flight between them."""

    def __init__(self, seed):
        self.random_source = random.Random(seed)
        self.now_ms = 0
        self.drained = 0
        self.pace = self.random_source.choice([60, 200, 400])  # steps from one version to the next
        self.slow_name = self.random_source.choice(NAMES)  # messages to it are mostly delayed
        self.handovers = {name: SubsetHandover(name, SETTINGS) for name in NAMES}
        self.view = self.generate_view(1)
        self.pending = []
        for name, handover in self.handovers.items():
            handover.lease_renewed(1, 10**9)
            self.execute(name, handover.full_view_received(self.view, 0))
        while len(self.serving()) < REQUIRED:
            self.deliver()

    def generate_view(self, version):
        """Returns a view without one or two of the nine balancers, which keep running."""
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
        change = diff_views(self.view, view)
        self.view = view
        for name in NAMES:
            self.send(name, lambda handover: handover.view_change_received(change, self.now_ms))

    def deliver(self):
        """Delivers a random message in flight; sometimes keeps it in flight too, so that it arrives twice."""
        if self.pending:
            index = self.random_source.randrange(len(self.pending))
            name, due_ms, callback = self.pending[index]
            if self.now_ms < due_ms or (name == self.slow_name and self.random_source.random() < 0.8):
                return
            if self.random_source.random() < 0.9:
                del self.pending[index]
            callback()

    def send(self, name, receive, *arguments, delay_ms=0):
        """Sends a message; on arrival, `receive` is called with the handover of that balancer and returns effects."""
        handover = self.handovers[name]
        self.pending.append((name, self.now_ms + delay_ms, lambda: self.execute(name, receive(handover, *arguments))))

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
                    delay_ms = self.random_source.choice([0, 0, 0, 0, 0, 200])
                    self.send(to, SubsetHandover.ack_received, effect, self.now_ms, delay_ms=delay_ms)
                case RequestFullView():
                    self.send(name, SubsetHandover.full_view_received, self.view, self.now_ms)


def run_seed(seed):
    """Returns the fewest balancers that served at any instant, and the number of drains."""
    links = UnorderedLinks(seed)
    fewest_serving = REQUIRED
    for _ in range(STEPS):
        links.step()
        fewest_serving = min(fewest_serving, len(links.serving()))
    return fewest_serving, links.drained


class AnyOrderTest(unittest.TestCase):
    def test_at_least_six_balancers_serve_at_every_instant(self):
        drained = 0
        for seed in range(60):
            fewest_serving, seed_drained = run_seed(seed)
            self.assertEqual(fewest_serving, REQUIRED, f"seed {seed}")
            drained += seed_drained
        self.assertGreater(drained, 120)

    def test_injected_defects_are_found(self):
        for defect in DEFECTS:
            with self.subTest(defect), inject_defect(DEFECTS, defect):
                self.assertLess(min(run_seed(seed)[0] for seed in range(60)), REQUIRED)

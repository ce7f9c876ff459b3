"""A client's lease by its own clock: whatever clocks and messages do, it ends before the cluster gives up the session."""

import random
import unittest

from brookreach.coordination.client import events
from tests.coordination.client_harness import FakeLeader, make_client


class DriftingPair:
    """A client and a leader with clocks apart by the drift allowed.

    Messages are late, lost and doubled, the client's process stops, and the leader is replaced.
    """

    COPIES = (0, 1, 1, 1, 1, 2)  # of a message, one of them by chance

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.leader, self.client = FakeLeader(), make_client(seed=seed)
        self.client_rate, self.leader_rate = self.rng.choice(((1.0, 1.01), (1.01, 1.0), (1.0, 1.0)))
        self.in_transit = []  # arrival time, receiver, message
        self.stopped_steps = 0
        self.time = 0.0

    @property
    def client_now(self):
        return self.time * self.client_rate

    @property
    def leader_now(self):
        return self.time * self.leader_rate

    def step(self):
        self.time += self.rng.uniform(1.0, 30.0)
        if self.stopped_steps > 0:
            self.stopped_steps -= 1
        elif self.rng.random() < 0.002:
            self.stopped_steps = self.rng.randrange(20, 400)
        if self.rng.random() < 0.001:
            self.leader.leases.reset(self.leader_now, self.leader.log.machine.sessions())
        self.leader.advance_time(self.leader_now)
        self.deliver()
        if not self.stopped_steps:
            self.client.advance_time(self.client_now)
            for _, message in self.client.take_outgoing():
                self.send(self.leader, message)

    def deliver(self):
        due = [entry for entry in self.in_transit if entry[0] <= self.time]
        self.in_transit = [entry for entry in self.in_transit if entry[0] > self.time]
        for arrives, receiver, message in due:
            if receiver is self.leader:
                for answer in self.leader.handle_message(self.leader_now, "m1", message):
                    self.send(self.client, answer)
            elif self.stopped_steps:
                self.in_transit.append((arrives, receiver, message))
            else:
                self.client.handle_message(self.client_now, self.client.replica, message)

    def send(self, receiver, message):
        self.in_transit += [(self.time + self.rng.uniform(1, 400), receiver, message)] * self.rng.choice(self.COPIES)


class ClocksTest(unittest.TestCase):
    def test_no_client_holds_a_session_that_the_cluster_has_ended(self):
        held = lost = 0
        for seed in range(60):
            pair = DriftingPair(seed)
            for _ in range(1500):
                pair.step()
                fencing_token = pair.client.fencing_token(pair.client_now)
                if fencing_token is not None:
                    held += 1
                    self.assertEqual(pair.leader.log.machine.holder(fencing_token), "m1", seed)
            lost += sum(isinstance(event, events.SessionLost) for event in pair.client.take_events())
        self.assertGreater(held, 10_000)
        self.assertGreater(lost, 20)

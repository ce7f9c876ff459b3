"""Replicas and clients in one process on one clock, without sockets or disks, and a small application."""

import random
from typing import Annotated

import msgspec

from brookreach.coordination.client.client import Client
from brookreach.coordination.protocol import messages
from brookreach.coordination.raft.types import Ready
from brookreach.coordination.server.replica import Replica
from brookreach.coordination.state_machine.application import Command, CommandRejectedError, Row, RowUpdate
from brookreach.coordination.storage.memory import InMemoryStorage
from brookreach.coordination.timing import Timing

TIMING = Timing(
    heartbeat_ms=20.0,
    election_timeout_ms=100.0,
    lease_ms=600.0,
    drift=0.05,
    max_pending_proposals=8,
    snapshot_interval_entries=40,
)
WALL = 1_800_000_000_000
NAMES = ("k1", "k2", "k3")


class Note(Row):
    text: str
    at_ms: int


class Say(Command):
    key: messages.Name
    text: Annotated[str, msgspec.Meta(max_length=60_000)]


class Alarm(Command):
    after_ms: int


class Toy:
    """Notes; one of the key `alarm` is due at its time and then rings."""

    name, version, commands = "toy", 1, Say | Alarm
    tables = {"notes": Note}

    def apply(self, view, order, context):
        if isinstance(order, Alarm):
            return [RowUpdate("notes", "alarm", Note("set", context.now_ms + order.after_ms))]
        if order.text == "no":
            raise CommandRejectedError("no is not noted")
        return [RowUpdate("notes", order.key, Note(order.text, context.now_ms))]

    def next_timer_ms(self, view):
        row = view.get("notes", "alarm")
        return row.at_ms if row and row.text == "set" else None

    def advance_time(self, view, context):
        row = view.get("notes", "alarm")
        return (
            [RowUpdate("notes", "alarm", Note("rang", context.now_ms))] if row and row.at_ms <= context.now_ms else []
        )

    def end_session(self, view, context):
        return [RowUpdate("notes", f"ended.{context.client}", Note(str(context.session), context.now_ms))]


class Net:
    """Replicas and clients on one clock, each message a ms later; `cut` holds pairs that don't hear each other."""

    def __init__(self, timing=TIMING, walls=(0, 0, 0)):
        self.now, self.timing, self.cut = 0, timing, set()
        self.walls = dict(zip(NAMES, walls, strict=True))
        self.disks = {name: InMemoryStorage(NAMES) for name in NAMES}
        self.flying, self.said, self.clients, self.news = [], [], {}, {}
        self.replicas = {}
        for name in NAMES:
            self.start(name)

    def start(self, name):
        self.replicas[name] = Replica(
            name, (Toy(),), self.disks[name].load(), "g", self.timing, random.Random(f"{name} {self.now}"), NAMES
        )

    def client(self, name, kind="marshal"):
        self.news[name] = []
        self.clients[name] = Client(name, kind, NAMES, self.timing, random.Random(name), Toy.tables)
        return self.clients[name]

    def wall(self, name):
        return WALL + self.now + self.walls[name]

    def flush(self, name):
        replica = self.replicas[name]
        for _ in range(100):
            ready = replica.ready()
            if ready == Ready():
                return
            if ready.save is not None:
                self.disks[name].save(ready.save)
            for target, body in ready.send:
                self.send(name, target, body)
            replica.advance(self.now, ready)
        raise AssertionError("ready has no end")

    def send(self, source, target, body):
        self.said.append((self.now, source, target, body))
        if (source, target) not in self.cut:
            self.flying.append((source, target, body))

    def hear(self, source, target, body):
        if target in self.replicas:
            self.replicas[target].handle_message(self.now, self.wall(target), source, body)
            self.flush(target)
        elif target in self.clients:
            self.clients[target].handle_message(self.now, source, body)

    def run(self, ms, until=None):
        for _ in range(ms):
            self.now += 1
            flying, self.flying = self.flying, []
            for one in flying:
                self.hear(*one)
            for name, replica in self.replicas.items():
                if replica.next_wakeup_ms() <= self.now:
                    replica.tick(self.now, self.wall(name))
                    self.flush(name)
            for name, client in self.clients.items():
                if (client.next_wakeup_ms() or 0.0) <= self.now:
                    client.advance_time(self.now)
                for target, body in client.take_outgoing():
                    self.send(name, target, body)
                self.news[name] += client.take_events()
            if until is not None and until():
                return
        if until is not None:
            raise AssertionError(f"not within {ms} ms")

    @property
    def leader(self):
        leads = [name for name, replica in self.replicas.items() if replica.is_leader and replica.leader.is_open]
        return max(leads, key=lambda name: self.replicas[name].raft.term, default="")

    def led(self):
        self.run(2000, lambda: self.leader)
        return self.leader

    def joined(self, name, kind="marshal"):
        client = self.client(name, kind)
        self.run(3000, lambda: client.connected and client.holds_lease(self.now))
        return client

    def asked(self, name, order, piece="toy"):
        seq = self.clients[name].propose(self.now, piece, order)
        found = []

        def answered():
            found[:] = [one for one in self.news[name] if getattr(one, "seq", None) == seq]
            return found

        self.run(4000, answered)
        return found[0]

    def told(self, source, kind):
        return [body for _, one, _, body in self.said if one == source and isinstance(body, kind)]

"""Replicas on a virtual clock that speak in sealed frames, so that a recording of one version plays to another."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from . import text_under_test as text

GROUP, KEY, NAMES = "group-1", b"k" * 32, ("k1", "k2", "k3")
START_MS = 1_800_000_100_000  # of the wall clock: later than all that is stored
TIMING = text.Timing(beat_ms=50.0, election_ms=300.0, lease_ms=2000.0, cut_entries=20)
MOST_ROUNDS = 100


@dataclass(frozen=True)
class Sent:
    """One frame as it was sent."""

    at_ms: int
    source: str
    target: str
    frame: bytes


@dataclass
class Host:
    """One replica with its disk; `sent` is all that it has said."""

    name: str
    disk: Any
    sent: list[Sent] = field(default_factory=list)
    replica: Any = None

    def start(self, now: int) -> None:
        chance = random.Random(f"{self.name} {now}")
        stored = self.disk.load()
        self.replica = text.Replica(self.name, text.installed(), stored, GROUP, TIMING, chance, NAMES)

    def stop(self) -> None:
        self.replica = None

    def hear(self, now: int, frame: bytes) -> None:
        if self.replica is None:
            return
        opened = text.open_frame(KEY, GROUP, self.name, frame, text.CONTROL_MESSAGES + text.CLIENT_MESSAGES)
        self.replica.hear(now, START_MS + now, opened.source, opened.body)
        self._flush(now)

    def pass_time(self, now: int) -> None:
        if self.replica is not None and self.replica.wake_ms() <= now:
            self.replica.passed(now, START_MS + now)
            self._flush(now)

    def _flush(self, now: int) -> None:
        for _ in range(MOST_ROUNDS):
            ready = self.replica.ready()
            if ready == text.NoWork():
                return
            if ready.save is not None:
                self.disk.save(ready.save)
            for target, body in ready.send:
                self.sent.append(Sent(now, self.name, target, text.seal_frame(KEY, GROUP, self.name, target, body)))
            self.replica.taken(now, ready)
        raise AssertionError(f"{self.name} never comes to rest")

    @property
    def leads(self) -> bool:
        return self.replica is not None and self.replica.leads and self.replica.lead.open

    @property
    def machine(self) -> Any:
        return self.replica.machine


def replay(host: Host, heard: Iterable[Sent], events: Iterable[tuple[int, str]], until_ms: int) -> None:
    """One replica of the present text among recorded ones: `heard` is what these sent it, a ms before it came."""
    frames: dict[int, list[bytes]] = {}
    for one in heard:
        frames.setdefault(one.at_ms + 1, []).append(one.frame)
    by_time = dict(events)
    host.start(0)
    for now in range(1, until_ms + 1):
        if by_time.get(now) == "stop":
            host.stop()
        elif by_time.get(now) == "start":
            host.start(now)
        for frame in frames.get(now, ()):
            host.hear(now, frame)
        host.pass_time(now)


class Group:
    """Three replicas and a client, whose frames come one ms after they were sent."""

    def __init__(self, disks: dict[str, Any], client: str):
        self.now = 0
        self.hosts = {name: Host(name, disk) for name, disk in disks.items()}
        tables = {name: row for one in text.installed() for name, row in one.tables.items()}
        self.client = text.GroupClient(client, "operator", NAMES, TIMING, random.Random(client), tables)
        self.sent: list[Sent] = []
        self.events: list[tuple[int, str, str]] = []
        self._flying: list[Sent] = []
        for host in self.hosts.values():
            host.start(0)

    def stop(self, name: str) -> None:
        """From the next ms on."""
        self.events.append((self.now + 1, "stop", name))

    def start(self, name: str) -> None:
        self.events.append((self.now + 1, "start", name))

    def step(self) -> None:
        self.now += 1
        for _, what, name in [one for one in self.events if one[0] == self.now]:
            self.hosts[name].stop() if what == "stop" else self.hosts[name].start(self.now)
        flying, self._flying = self._flying, []
        for one in flying:
            self._deliver(one)
        for host in self.hosts.values():
            host.pass_time(self.now)
        self._step_client()
        for host in self.hosts.values():
            self._flying += [one for one in host.sent if one.at_ms == self.now]
        self.sent += self._flying

    def _deliver(self, one: Sent) -> None:
        if one.target in self.hosts:
            self.hosts[one.target].hear(self.now, one.frame)
        else:
            opened = text.open_frame(KEY, GROUP, one.target, one.frame, text.SERVER_MESSAGES)
            self.client.handle_message(self.now, one.source, opened.body)

    def _step_client(self) -> None:
        self.client.advance_time(self.now)
        name = self.client.name
        for target, body in self.client.take_outgoing():
            self._flying.append(Sent(self.now, name, target, text.seal_frame(KEY, GROUP, name, target, body)))

    def run(self, milliseconds: int) -> None:
        for _ in range(milliseconds):
            self.step()

    def leader(self, most_ms: int = 5000) -> str:
        """Runs until one leads, and the client has joined it."""
        for _ in range(most_ms):
            leading = [name for name, host in self.hosts.items() if host.leads]
            if leading and self.client.connected and self.client.replica in leading:
                return leading[-1]
            self.step()
        raise AssertionError(f"no leader within {most_ms} ms")

    def ask(self, application: str, order: dict[str, Any], most_ms: int = 5000) -> Any:
        """An order by its tag and fields; runs until it is answered."""
        number = self.client.propose(self.now, application, order)
        for _ in range(most_ms):
            self.step()
            for event in self.client.take_events():
                if getattr(event, "seq", None) == number:
                    return event
        raise AssertionError(f"no answer to {order} within {most_ms} ms")

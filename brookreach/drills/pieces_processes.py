"""What drills of the pieces between processes of the program share: keepers behind a relay, operators, logs.

It owns who runs, how what they log is read while they run, and the end of them all. Operators here are the
program's own `Client` and `Dial`; they must never look into a process, only hear what it answers and logs.
"""

from __future__ import annotations

import random
import re
import signal
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import anyio

from brookreach.drills.processes import FOUND_S, Child, Children, Group
from brookreach.drills.relay import Relay, Way
from brookreach.drills.report import Report, Violation
from brookreach.fleet import words
from brookreach.fleet.asks import TooMany
from brookreach.fleet.client import Client
from brookreach.fleet.dial import Dial, now_ms
from brookreach.fleet.events import Answered, Changed, Event, Unknown
from brookreach.fleet.piece import Order, Row
from brookreach.fleet.seams import Timing

KEEPERS = ("k1", "k2", "k3")
TIMING = ("beat_ms = 50.0", "election_ms = 300.0", "lease_ms = 1500.0")
TIMES = Timing(beat_ms=50.0, election_ms=300.0, lease_ms=1500.0)
LEASE_S, LOOK_S = 1.5, 0.01
START_S, GOES_ON_S = 300.0, 180.0  # seconds of an idle machine, minutes of one that is busy with other work
BEGINS = "-- begins again"  # a line of ours among those of a process
FAULTS = ("fault", "Traceback")


class Line(NamedTuple):
    """One line of a process's log. `at`: when it was read here, a little after it was written."""

    at: float
    who: str
    text: str


class Asked(NamedTuple):
    """An operator's order with its answer."""

    who: str
    order: Order
    answer: Answered


class Operator:
    """A client in the drill's process, behind the relay like all others. `all`: orders with answers."""

    def __init__(
        self,
        name: str,
        group: Group,
        tables: Mapping[str, type[Row]],
        seed: int,
        changed: Callable[[Changed], None] | None = None,
        kind: words.Kind = "operator",
    ):
        ports = {target: ("127.0.0.1", port) for (source, target), port in group.relayed.items() if source == name}
        self.name, self.changed = name, changed
        self.client = Client(name, kind, tuple(ports), TIMES, random.Random(f"{seed} {name}"), tables)
        self.dial = Dial(self.client, "drill", group.key, ports, self.hear)
        self.asked: dict[int, Order] = {}
        self.answers: dict[int, Answered | None] = {}
        self.all: list[Asked] = []

    def hear(self, event: Event) -> None:
        if isinstance(event, Answered):
            self.answers[event.seq] = event
            self.all.append(Asked(self.name, self.asked[event.seq], event))
        elif isinstance(event, Unknown):
            self.answers[event.seq] = None
        elif isinstance(event, Changed) and self.changed is not None:
            self.changed(event)

    @property
    def settled(self) -> bool:
        """Nothing that it asked is still on its way."""
        return len(self.answers) == len(self.asked)

    @property
    def place(self) -> int:
        """Where in the log its last agreed order stands."""
        return max((one.answer.index for one in self.all), default=0)

    def say(self, piece: str, order: Order) -> int:
        seq = self.client.ask(now_ms(), piece, order)
        self.asked[seq] = order
        self.dial.stir()
        return seq

    def try_to_say(self, piece: str, order: Order) -> int | None:
        """As `say`; None where as many questions are open as a client may have."""
        try:
            return self.say(piece, order)
        except TooMany:
            return None

    async def ask(self, piece: str, order: Order, within_s: float = GOES_ON_S) -> Answered | None:
        """None: what became of it is not known, or not yet. With too many open questions it waits for a place."""
        with anyio.move_on_after(within_s):
            while (seq := self.try_to_say(piece, order)) is None:
                await anyio.sleep(LOOK_S)
            while seq not in self.answers:
                await anyio.sleep(LOOK_S)
            return self.answers[seq]
        return None

    async def agreed(self, piece: str, order: Order, within_s: float) -> bool:
        """Whether an order that may be said twice was taken; where that isn't known it is asked again."""
        with anyio.move_on_after(within_s):
            while (answer := await self.ask(piece, order, within_s)) is None or not answer.ok:
                await anyio.sleep(LOOK_S)
            return True
        return False


class Town:
    """One seed's keepers and whoever is added; `callers` are all who speak to keepers."""

    def __init__(self, seed: int, folder: Path, children: Children, report: Report, case: str, callers: Sequence[str]):
        self.seed, self.report, self.children, self.case = seed, report, children, case
        self.chance = random.Random(f"{seed} {case}")
        self.folder, self.ports = folder, children.ports
        self.group = Group(folder, KEEPERS, callers, self.ports)
        self.file = {name: str(self.group.file(name, TIMING)) for name in (*KEEPERS, *callers)}
        self.relay = Relay(self.group.relay_ports(), seed)
        self.everyone = (*KEEPERS, *callers)
        self.lines: list[Line] = []
        self.read: dict[str, int] = {}
        self.began, self.late_s = 0.0, 0.0  # how long this process itself was kept from looking
        for name in KEEPERS:
            words = ("fleet", "found", self.file[name], "--keeper", name)
            Child(f"{name}.found", folder / name, words).run_to_end(FOUND_S)
            self.add(name, "fleet", "keep", self.file[name], "--keeper", name)

    def add(self, name: str, *words: str) -> Child:
        child = self.children.add(Child(name, self.folder / name, words))
        child.start()
        return child

    def say(self, rule: str, text: str) -> None:
        at = (anyio.current_time() - self.began) * 1000.0 if self.began else 0.0
        self.report.broken(Violation(rule, self.case, self.seed, at, text))

    def look(self, rule: str, good: bool, text: Callable[[], str]) -> None:
        self.report.looked(rule)
        if not good:
            self.say(rule, text())

    def count(self, name: str, more: int = 1) -> None:
        self.report.figures[name] = self.report.figures.get(name, 0) + more

    # --- logs ---

    async def listen(self) -> None:
        """Until cancelled: new lines of all logs, with the time."""
        last = anyio.current_time()
        while True:
            self.tail()
            await anyio.sleep(LOOK_S)
            now = anyio.current_time()
            self.late_s, last = max(self.late_s, now - last - LOOK_S), now

    def tail(self) -> None:
        now = anyio.current_time()
        for name, child in self.children.all.items():
            if not child.log.exists() or child.log.stat().st_size <= self.read.get(name, 0):
                continue
            with child.log.open("rb") as log:
                log.seek(self.read.get(name, 0))
                octets = log.read()
            whole = octets.rpartition(b"\n")[0] + b"\n" if b"\n" in octets else b""
            self.read[name] = self.read.get(name, 0) + len(whole)
            self.lines += [Line(now, name, text) for text in whole.decode(errors="replace").splitlines()]

    def said(self, who: str, pattern: str) -> list[re.Match[str]]:
        return [found for line in self.lines if line.who == who and (found := re.search(pattern, line.text))]

    def leader(self) -> str:
        """By the keepers' logs: who of those that run leads in the latest term."""
        leads: dict[int, str] = {}
        for name in KEEPERS:
            said = self.said(name, r"leads, term (\d+)|(follows) ")
            child = self.children.all[name]
            if said and said[-1][1] and child.up and not child.stopped:
                leads[int(said[-1][1])] = name
        return leads[max(leads)] if leads else KEEPERS[0]

    # --- what breaks ---

    def ways(self, one: Sequence[str], other: Sequence[str]) -> list[Way]:
        return self.relay.between(one, other)

    async def link(self, ways: Sequence[Way], for_s: float, **how: Any) -> None:
        for way in ways:
            for field, value in how.items():
                setattr(way, field, value)
        await anyio.sleep(for_s)
        for way in ways:
            way.calm()

    async def down(self, names: Sequence[str], for_s: float) -> None:
        for name in names:
            self.children.all[name].kill()
        await anyio.sleep(for_s)
        self.start(names)

    def start(self, names: Sequence[str]) -> None:
        """Again: whatever it said before, another process goes on by this name."""
        self.tail()
        for name in names:
            self.lines.append(Line(anyio.current_time(), name, BEGINS))
            self.children.all[name].start()

    async def stopped(self, name: str, for_s: float) -> None:
        self.children.all[name].stop()
        await anyio.sleep(for_s)
        self.children.all[name].go_on()

    def mend(self) -> None:
        for way in self.relay.ways.values():
            way.calm()
        for child in self.children.all.values():
            child.go_on()
            child.start()

    # --- rules of all drills here ---

    async def until(
        self, true: Callable[[], object], rule: str, within_s: float = GOES_ON_S, why: Callable[[], str] = lambda: ""
    ) -> bool:
        self.report.looked(rule)
        with anyio.move_on_after(within_s):
            while not true():
                await anyio.sleep(LOOK_S)
            return True
        logs = "; ".join(f"{name}: {child.told()[-160:]}" for name, child in self.children.all.items())
        self.say(rule, f"not within {within_s:.0f} s: {why()}; {logs}"[:3000])
        return False

    async def ended(self, agents: Sequence[str] = ()) -> None:
        """SIGTERM to all, keepers last: each ends with 0, none ended by itself, no log tells of a defect.

        `agents` are stand-ins without an end of their own: the signal is theirs.
        """
        for name in [*(one for one in self.children.all if one not in KEEPERS), *KEEPERS]:
            child = self.children.all[name]
            self.look(
                "no process gone",
                child.up and not child.ends,
                lambda name=name, child=child: f"{name} ended itself with {child.ends}: {child.told()}",
            )
            code = await anyio.to_thread.run_sync(child.end)
            self.look(
                "SIGTERM ends it with 0",
                code == 0 or (name in agents and code == -signal.SIGTERM),
                lambda name=name, child=child, code=code: f"{name} ends with {code}: {child.told()}",
            )
        self.tail()
        for line in self.lines:
            if any(one in line.text for one in FAULTS):
                self.say("no defect logged", f"{line.who}: {line.text}")
        self.report.looked("no defect logged", len(self.lines))
        for way in self.relay.ways.values():
            for what, count in way.seen.items():
                self.count(f"relay: {what}", count)
        self.report.figures["kept from looking, s"] = round(
            max(self.late_s, self.report.figures.get("kept from looking, s", 0.0)), 3
        )

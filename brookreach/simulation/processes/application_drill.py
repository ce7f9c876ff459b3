"""What drills of the pieces between processes of the program share: keepers behind a relay, operators, logs.

It owns who runs, how what they log is read while they run, and the end of them all. It must never look into a
process, only hear what it logs; `operators` says what is asked of them.
"""

from __future__ import annotations

import random
import re
import signal
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import anyio

from brookreach.simulation.processes.operators import GOES_ON_S, LOOK_S, TIMES
from brookreach.simulation.processes.program import FOUND_S, Child, Children, Group
from brookreach.simulation.processes.relay import Relay, Way
from brookreach.simulation.report import Report, Violation

KEEPERS = ("k1", "k2", "k3")
TIMING = (
    f"beat_ms = {TIMES.heartbeat_ms}",
    f"election_ms = {TIMES.election_timeout_ms}",
    f"lease_ms = {TIMES.lease_ms}",
)
BEGINS = "-- begins again"  # a line of ours among those of a process
FAULTS = ("fault", "Traceback")


class Line(NamedTuple):
    """One line of a process's log. `at`: when it was read here, a little after it was written."""

    at: float
    who: str
    text: str


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

    def listens(self, name: str) -> bool:
        """Whether a keeper has said so since it was last started: before that it knows no SIGTERM."""
        texts = [line.text for line in self.lines if line.who == name]
        begun = max((at for at, text in enumerate(texts) if text == BEGINS), default=-1)
        return any(f"{name} listens," in text for text in texts[begun + 1 :])

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

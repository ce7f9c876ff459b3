"""A stand-in for nodes' agents that also plays the work of gangs' members, for trials and drills.

It owns a file for its node: one JSON line for each thing that began or ended there, on the disk before
anybody is told of it. `at` and `until` are the machine's monotonic clock in ms, the same for all nodes of one
machine. No member works past its grant, and none of an earlier process by this name works when this one
begins: what it plays ends with its process. What it says to the group and when is `gangs.agent`'s.
"""

from __future__ import annotations

import contextlib
import heapq
import json
import os
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import anyio

from brookreach.coordination import configuration
from brookreach.coordination.client.errors import SessionNotHeldError, TooManyRequestsError
from brookreach.coordination.client.events import (
    ClientEvent,
    LeaseRenewed,
    OutcomeUnknown,
    ReplyReceived,
    RowsChanged,
    SessionLost,
)
from brookreach.coordination.clock import now_ms
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.state_machine.application import Command
from brookreach.disruption.node_agent import Agent, Facts, Say
from brookreach.gang_scheduling.agent import agent as hands
from brookreach.gang_scheduling.agent.actions import Act, Slot
from brookreach.gang_scheduling.agent_tasks import errands
from brookreach.gang_scheduling.application import APPLICATION
from brookreach.gang_scheduling.commands import Here
from brookreach.gang_scheduling.tables import GANGS, HANDS, MEMBERS, PLACES, GangRow

WATCHED = (GANGS, HANDS, MEMBERS, PLACES)
TICK_MS, AGAIN_MS, QUIET = 10.0, 500.0, 1.25  # between looks; between orders that still stand; of a lease


@dataclass(slots=True)
class Work:
    """One incarnation. `kept`: work that it goes on from; `since`: working since then."""

    slot: Slot
    fence: int
    epoch: int
    until: float
    kept: float
    since: float | None = None

    def done(self, now: float) -> float:
        return self.kept + (0.0 if self.since is None else min(now, self.until) - self.since)


class Worker(Agent):
    def __init__(self, facts: Facts, told: configuration.ClusterConfiguration, key: bytes, say: Say, path: Path):
        super().__init__(facts, told, key, None, say, {name: APPLICATION.tables[name] for name in WATCHED})
        now = now_ms()
        self.hands = hands.Agent(facts.name, self.life, now, told.timing.lease_ms * QUIET)
        self.works: dict[Slot, Work] = {}
        self.later: list[tuple[float, int, Callable[[], None]]] = []
        self.asked: dict[int, Command] = {}
        self.count, self.here_at, self.again_at = 0, 0.0, 0.0
        self.here = 0  # the session that has said so
        self.file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(super().run)
            while True:
                await anyio.sleep(TICK_MS / 1000.0)
                self.tick()

    def tick(self) -> None:
        now = now_ms()
        for work in list(self.works.values()):
            if now >= work.until:
                self._end(work, "grant ended")
        self.hands.passed(now)
        self._flush()
        while self.later and self.later[0][0] <= now:
            heapq.heappop(self.later)[2]()
            self._flush()
        if self.client.session and self.client.session != self.here and now >= self.here_at:
            self._here(now)
        if now >= self.again_at:
            self._errands()

    def _here(self, now: float) -> None:
        if self.hands.may_speak(now) and self.hands.session == self.client.session:
            self.here_at = now + AGAIN_MS
            self._ask(self.hands.here())

    # --- what the group says ---

    def hear(self, event: ClientEvent) -> None:
        now = now_ms()
        if isinstance(event, ReplyReceived | OutcomeUnknown) and event.seq in self.asked:
            order = self.asked.pop(event.seq)
            if isinstance(event, ReplyReceived) and event.ok and isinstance(order, Here):
                self.here = self.client.session
            elif isinstance(event, ReplyReceived) and not event.ok:
                self.say(f"{self.facts.name} {wire_name(order)}, refused: {event.text}")
            return
        super().hear(event)
        if isinstance(event, LeaseRenewed):
            self.hands.lease(now, event.session, event.until_ms)
        elif isinstance(event, SessionLost):
            self.here = 0
            self.hands.ended(now)
        elif isinstance(event, RowsChanged):
            self._errands()
        self._flush()

    def _errands(self) -> None:
        now = now_ms()
        self.again_at = now + AGAIN_MS
        for errand in errands(self.client.cache, self.facts.name):
            self.hands.hear(now, errand)
        self._flush()

    def _flush(self) -> None:
        acts, self.hands.acts = self.hands.acts, []
        for act in acts:
            self._do(act)
        reports, self.hands.reports = self.hands.reports, []
        self.hands.answers.clear()
        for order in reports:
            self._ask(order)

    def _ask(self, order: Command) -> None:
        """Refused, lost or late: the rows still name what it is about, so it is said again."""
        if self.client.session:
            with contextlib.suppress(TooManyRequestsError, SessionNotHeldError):
                self.asked[self.client.propose(now_ms(), APPLICATION.name, order)] = order
            self.dial.wake()

    # --- the node ---

    def _do(self, act: Act) -> None:
        now = now_ms()
        if act.what == "grant":
            for work in self.works.values():
                if act.until > work.until > now:
                    work.until = act.until
                    self._write("grant", work)
            return
        if act.what == "run":
            self._run(act)
            return
        found = self.works.get(act.slot)
        if found is None or found.fence != act.fence:
            return
        found.kept, found.since = found.done(now), None
        if act.what == "kill":
            self._end(found, "killed")
        elif act.what == "go":
            found.since = now
            self._write("go", found)
        else:
            self._after(self._row(act.slot).cost_ms, lambda: self._saved(found, act.epoch))

    def _run(self, act: Act) -> None:
        row = self._row(act.slot)
        work = self.works[act.slot] = Work(act.slot, act.fence, act.epoch, act.until, float(row.kept_ms))
        self._write("start", work)
        self._after(row.load_ms, lambda: self._loaded(work))

    def _row(self, slot: Slot) -> GangRow:
        row: GangRow = self.client.cache.get(GANGS, slot[0])
        return row

    def _loaded(self, work: Work) -> None:
        if self.works.get(work.slot) is work:
            self.hands.loaded(now_ms(), work.slot, work.fence)

    def _saved(self, work: Work, epoch: int) -> None:
        if self.works.get(work.slot) is work and work.since is None:
            row: GangRow | None = self.client.cache.get(GANGS, work.slot[0])
            most = row.work_ms if row is not None else int(work.kept)
            work.epoch = epoch
            self._write("saved", work)
            self.hands.saved(now_ms(), work.slot, work.fence, epoch, min(int(work.kept), most))

    def _end(self, work: Work, why: str) -> None:
        if self.works.get(work.slot) is work:
            del self.works[work.slot]
            self._write("stop", work, why=why)
            self._after(0.0, lambda: self.hands.gone(now_ms(), work.slot, work.fence, why))

    def _after(self, wait_ms: float, then: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.later, (now_ms() + wait_ms, self.count, then))

    def _write(self, what: str, work: Work, **more: Any) -> None:
        told = {
            "what": what,
            "at": now_ms(),
            "gang": work.slot[0],
            "member": work.slot[1],
            "fence": work.fence,
            "epoch": work.epoch,
            "until": work.until,
            **more,
        }
        os.write(self.file, (json.dumps(told) + "\n").encode())
        os.fsync(self.file)


async def play(path: Path, nodes: list[Facts], room: int, folder: Path, say: Say) -> None:
    """Agents of these nodes, each with `room` and its file NODE.jsonl in `folder`, until cancelled."""
    told = configuration.read(path)
    key = configuration.read_key(path, told)
    folder.mkdir(parents=True, exist_ok=True)
    async with anyio.create_task_group() as tasks:
        for facts in nodes:
            file = folder / f"{facts.name}.jsonl"
            tasks.start_soon(Worker(replace(facts, room=room), told, key, say, file).run)

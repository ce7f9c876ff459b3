"""A stand-in for nodes' agents, for trials and drills: it says that its nodes are ready, and obeys drains.

A real agent stands beside its node, starts and stops it, and asks it whether it is warm; what it says to the
group and when is as here. It must never say that a node stays before its mirror shows that its drain was
taken back, nor go while a halt stands there.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio

from brookreach.coordination import configuration
from brookreach.coordination.client.client import Client
from brookreach.coordination.client.connection import ClientConnection
from brookreach.coordination.client.events import ClientEvent, ReplyReceived, RowsChanged, SessionEstablished
from brookreach.coordination.clock import now_ms
from brookreach.coordination.state_machine.application import Row
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.commands import NodeSeen
from brookreach.disruption.tables import HALT, PERMITS, HaltRow, PermitRow, Standing
from brookreach.disruption.targets import OUT

Say = Callable[[str], object]
LOOK_S = 0.1  # between looks at whether a halt still stands


@dataclass(frozen=True, slots=True)
class Facts:
    """What stands of a node in a marshal's configuration."""

    name: str
    zone: str
    build: int
    service: str = "nodes"
    room: int = 0


def nodes_of(told: Mapping[str, Any]) -> list[Facts]:
    """Of a marshal's configuration; raises KeyError, TypeError, ValueError."""
    members = told["known"]["members"]
    return [Facts(str(one["id"]), str(one["locality"]), int(one["revision_no"])) for one in members]


class Agent:
    """One node's. `away_s`: a given drain is played to its end, the node is back after so long; None: it only
    drains, and comes back as its permit is taken back. `more`: tables that its mirror has besides."""

    def __init__(
        self,
        facts: Facts,
        told: configuration.ClusterConfiguration,
        key: bytes,
        away_s: float | None,
        say: Say,
        more: Mapping[str, type[Row]] | None = None,
    ):
        self.facts, self.away_s, self.say = facts, away_s, say
        self.life = int(time.time())  # later than any before: each start of an agent begins one
        self.standing: Standing = "ready"
        self.permit = ""  # by which it is out
        tables = {name: APPLICATION.tables[name] for name in (PERMITS, HALT)} | dict(more or {})
        keepers = told.addresses()
        self.client = Client(facts.name, "agent", tuple(keepers), told.times(), random.Random(), tables)
        self.dial = ClientConnection(self.client, told.group.name, key, keepers, self.hear)
        self.goes = anyio.Event()

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.dial.run)
            while self.away_s is not None:
                await self.goes.wait()
                await self._away(self.away_s)

    async def _away(self, away_s: float) -> None:
        await anyio.sleep(away_s / 2.0)
        while self.standing == "draining" and self._halted(self.permit):
            await anyio.sleep(LOOK_S)
        if self.standing != "draining":  # taken back meanwhile
            return
        self._stands("down")
        await anyio.sleep(away_s / 2.0)
        self.life += 1
        self.goes, self.permit = anyio.Event(), ""
        self._stands("ready")

    def _stands(self, standing: Standing) -> None:
        self.standing = standing
        self._tell()

    def _tell(self) -> None:
        if self.client.session:
            one = self.facts
            order = NodeSeen(
                one.name,
                one.zone,
                one.build,
                one.service,
                one.room,
                self.standing,
                self.life,
                self.standing == "ready",
                self.client.cache.index,
            )
            self.client.propose(now_ms(), APPLICATION.name, order)
            self.dial.wake()

    def hear(self, event: ClientEvent) -> None:
        if isinstance(event, SessionEstablished) and not event.resumed:
            self._tell()
        elif isinstance(event, RowsChanged):
            self._changed()
        elif isinstance(event, ReplyReceived):
            place = f"agreed at place {event.index}" if event.ok else f"refused: {event.text}"
            self.say(f"{self.facts.name} {self.standing}, life {self.life}, {place}")

    def _halted(self, permit: str) -> bool:
        """Whether a halt, as far as its mirror shows, keeps it from going by this permit."""
        halt = self.client.cache.get(HALT, "all")
        return isinstance(halt, HaltRow) and not (halt.way_back and permit.startswith("release:"))

    def _changed(self) -> None:
        """A drain that was given begins, one that was taken back ends; each is said once."""
        mine = [
            (name, row)
            for name, row in self.client.cache.rows(PERMITS)
            if isinstance(row, PermitRow) and row.what == "drain" and row.target == self.facts.name
        ]
        given = [name for name, row in mine if row.state == "given" and row.life == self.life]
        back = [row for _, row in mine if row.state in OUT and row.back]
        goes = [name for name in given if not self._halted(name)]
        if goes and self.standing == "ready":
            self.permit = goes[0]
            self._stands("draining")
            self.goes.set()
        elif back and not given and self.standing in ("ready", "draining") and self.permit != "back":
            self.permit, self.goes = "back", anyio.Event()
            self._stands("ready")
        elif not back and self.permit == "back":
            self.permit = ""


async def play(path: Path, nodes: list[Facts], away_s: float | None, say: Say) -> None:
    """Agents of these nodes until cancelled; raises BadFile."""
    told = configuration.read(path)
    key = configuration.read_key(path, told)
    async with anyio.create_task_group() as tasks:
        for facts in nodes:
            tasks.start_soon(Agent(facts, told, key, away_s, say).run)

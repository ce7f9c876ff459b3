"""The drill of outages between processes of the program: keepers, marshals, a process for each node's agent.

Nodes, discovery, the platform and callers play here, and two operators who drain, halt and resume while
keepers and links break. `outages_watch` says what must hold.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import anyio

from brookreach.disruption import commands, tables
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.states import ACTIVE_STATES, TargetKind
from brookreach.net.stream import address
from brookreach.simulation import stand_ins
from brookreach.simulation.disruption.observer_invariants import Call, Watch
from brookreach.simulation.disruption.process_faults import BREAKS, Breaks
from brookreach.simulation.processes.application_drill import KEEPERS, Town
from brookreach.simulation.processes.operators import GOES_ON_S, START_S, Operator
from brookreach.simulation.processes.program import Children, played
from brookreach.simulation.report import Report

EXAMPLE = Path(__file__).parents[3] / "deploy" / "marshal.json"
MOST_MARSHALS = 8
AWAY_MS, CALL_S, DRAIN_S, TRIES = 1000, 0.02, 0.25, 20
MOST = {"all": 2, "zone:a": 1, "zone:b": 1}
LINES = (
    *(commands.BudgetEntry(TargetKind.NODE, scope, most, 1) for scope, most in MOST.items()),
    commands.BudgetEntry(TargetKind.BALANCER, "all", 1, 1),
)
TABLES = {name: APPLICATION.tables[name] for name in (tables.PERMITS, tables.NODES, tables.BALANCERS, tables.HALT)}


class Heard(list[str]):
    """A node's queries as they come, each with the marshal that the caller had asked."""

    def __init__(self, node: str, watch: Watch):
        super().__init__()
        self.node, self.watch = node, watch

    def append(self, text: str) -> None:
        super().append(text)
        number = text.partition("/* id=")[2][:4]
        if number:
            marshal = f"m{int(number, 16) % 8 + 1}"
            self.watch.calls.append(Call(anyio.current_time(), self.node, marshal))


class Play:
    def __init__(
        self, seed: int, marshals: int, folder: Path, children: Children, report: Report, kinds: Sequence[str]
    ):
        told = json.loads(EXAMPLE.read_text())
        self.zones = {one["id"]: one["locality"] for one in told["known"]["members"]}
        self.names = list(self.zones)
        self.marshals = [f"m{at + 1}" for at in range(marshals)]
        self.agents = {name: f"a.{name}" for name in self.names}
        callers = [*self.marshals, *self.agents.values(), "ann", "bob", "eye"]
        self.town = town = Town(seed, folder, children, report, "outages", callers)
        self.eye = Operator("eye", town.group, TABLES, seed)
        self.watch = Watch(town, MOST, self.zones, self.eye.client.cache)
        self.eye.changed = self.watch.changed
        self.ann = Operator("ann", town.group, TABLES, seed)
        self.bob = Operator("bob", town.group, TABLES, seed)
        self.site(told)
        self.calls = self.drains = 0
        self.drain_on = True
        self.kinds = list(kinds or BREAKS)
        if not kinds:
            town.chance.shuffle(self.kinds)

    def site(self, told: dict[str, Any]) -> None:
        """The nodes' and marshals' addresses, and a file for each process."""
        town = self.town
        told["discovery"] = f"127.0.0.1:{town.ports.take()}"
        told["deployer"]["address"] = f"127.0.0.1:{town.ports.take()}"
        for member in told["known"]["members"]:
            member["host_port"] = f"127.0.0.1:{town.ports.take()}"
        self.stands = stand_ins.Site(told)
        self.listens = {}
        for name, node in zip(self.names, self.stands.nodes.values(), strict=True):
            node.heard = Heard(name, self.watch)
            member = [one for one in told["known"]["members"] if one["id"] == name]
            path = town.folder / f"{name}.json"
            path.write_text(json.dumps(told | {"known": told["known"] | {"members": member}}))
        for name in self.marshals:
            self.listens[name] = f"127.0.0.1:{town.ports.take()}"
            path = town.folder / f"{name}.json"
            path.write_text(json.dumps(told | {"name": name, "listen": self.listens[name]}))

    def begin(self) -> None:
        town = self.town
        for name in self.marshals:
            town.add(name, "run", str(town.folder / f"{name}.json"), "--fleet", town.file[name])
        for node, name in self.agents.items():
            town.add(
                name, "fleet", "agent", town.file[name], str(town.folder / f"{node}.json"), "--away-ms", str(AWAY_MS)
            )

    async def run(self) -> None:
        town = self.town
        async with anyio.create_task_group() as tasks:
            await tasks.start(town.relay.run)
            await tasks.start(self.stands.run)
            town.began = anyio.current_time()
            tasks.start_soon(town.listen)
            self.begin()
            for one in (self.eye, self.ann, self.bob):
                tasks.start_soon(one.dial.run)
            await self.ann.agreed("outages", commands.SetBudgets(LINES), START_S)
            if await town.until(self.whole, "the town begins", START_S, self.lacks):
                for at, name in enumerate(self.marshals):
                    tasks.start_soon(self.load, at, name)
                tasks.start_soon(self.drain)
                await self.breaks()
                await self.at_end()
            tasks.cancel_scope.cancel()

    async def breaks(self) -> None:
        breaks = Breaks(self)
        for kind in self.kinds:
            before = len(self.ann.all)
            await BREAKS[kind](breaks)
            self.town.count(f"breaks: {kind}")
            await self.town.until(
                lambda before=before: len(self.ann.all) > before,
                "the group goes on",
                why=lambda kind=kind: f"after {kind}",
            )

    # --- what goes on all the while ---

    async def load(self, at: int, marshal: str) -> None:
        """RPCs on a connection each, one after another; the number names the marshal."""
        where = address(self.listens[marshal])
        while True:
            self.calls += 1
            number = (self.calls * 8 + at) % 65536
            text = f"SELECT data FROM facts WHERE code = 'row' /* id={number:04x},c=look,d=1000 */"
            with anyio.move_on_after(1.0):
                await stand_ins.asked(where, text)
            await anyio.sleep(CALL_S)

    async def drain(self) -> None:
        while True:
            if self.drain_on:
                self.drains += 1
                node = self.town.chance.choice(self.names)
                order = commands.RequestDrain(f"d{self.drains}", node, self.town.chance.randint(0, 9), "drill")
                await self.ann.ask("outages", order, 2.0)
            await anyio.sleep(DRAIN_S)

    # --- how it stands, by the onlooker ---

    def whole(self) -> bool:
        return not self.lacks()

    def lacks(self) -> str:
        mirror = self.eye.client.cache
        nodes, marshals = dict(mirror.rows(tables.NODES)), dict(mirror.rows(tables.BALANCERS))
        lacks = [name for name in self.names if name not in nodes or nodes[name].status != "ready"]
        lacks += [one for one in self.marshals if one not in marshals or marshals[one].status != "ready"]
        told = [f"{one} is not ready" for one in lacks]
        told += [
            f"{one} is not over"
            for one, row in mirror.rows(tables.PERMITS)
            if row.state in ACTIVE_STATES or row.state == "waiting"
        ]
        return ", ".join(told)

    async def at_end(self) -> None:
        """All is mended; all comes back; then no keeper is spared, and what was answered still stands."""
        town = self.town
        self.drain_on = False
        town.mend()
        await town.until(lambda: self.ann.settled and self.bob.settled, "operators hear what became of it")
        await self.come_to(max(self.ann.place, self.bob.place))
        await self.resume()
        await town.until(self.whole, "all come back and all permits end", GOES_ON_S, self.lacks)
        await town.down(KEEPERS, 0.1)
        await town.until(lambda: all(town.listens(one) for one in KEEPERS), "all keepers begin again")
        answer = await self.ann.agreed("outages", commands.RequestDrain("last", self.names[0], 5, "drill"))
        town.look("drains go on after all", answer is not None and answer.ok, lambda: f"answered {answer}")
        place = answer.index if answer else 0
        await town.until(lambda: self.watch.index >= place and self.whole(), "the last drain ends", why=self.lacks)
        for one in (*self.ann.all, *self.bob.all):
            if isinstance(one.order, commands.RequestDrain | commands.RequestRestart) and one.answer.ok:
                town.look(
                    "no acknowledged order lost",
                    one.order.name in self.watch.seen,
                    lambda one=one: f"{one.order} of {one.who} at {one.answer.index}",
                )
        self.watch.acts()
        self.watch.told()
        town.count("queries heard by nodes", len(self.watch.calls))
        town.count("permits given", sum(1 for row in self.watch.seen.values() if row.fence))
        town.report.looked("nodes serve", len(self.watch.calls))
        await town.ended(tuple(self.agents.values()))

    async def resume(self) -> None:
        """Whatever halt stands is lifted by its own fence."""
        answer = None
        for _ in range(TRIES):
            if (halt := self.eye.client.cache.get(tables.HALT, "all")) is None:
                return
            answer = await self.ann.ask("outages", commands.Resume(halt.fence, "drill"))
            if answer is not None and answer.ok:
                await self.come_to(answer.index)
            await anyio.sleep(0.1)
        self.town.look(
            "a halt's own fence lifts it", self.eye.client.cache.get(tables.HALT, "all") is None, lambda: f"{answer}"
        )

    async def come_to(self, place: int) -> None:
        await self.town.until(lambda: self.watch.index >= place, "the onlooker comes along")


def run(
    seed: int, seeds: int, processes: int, progress: Callable[[int, int], None] | None, kinds: Sequence[str] = ()
) -> Report:
    """`processes` marshals; `kinds`: breaks in that order, else all of them in one by the seed."""
    if processes > MOST_MARSHALS:
        raise ValueError(f"--processes {processes}: 3 to {MOST_MARSHALS} marshals are allowed")
    return played(
        "outages",
        range(seed, seed + seeds),
        processes + len(KEEPERS) + 4,
        progress,
        lambda one, folder, children, report: Play(one, processes, folder, children, report, kinds),
    )

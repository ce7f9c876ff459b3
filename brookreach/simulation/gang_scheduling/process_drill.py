"""The drill of gangs between processes of the program: keepers, and a process for each node's agent.

The agents play the members' work and write into files when each began and ended; `gangs_files` says what
must hold of these. Operators here submit gangs and tell of nodes that retire, while keepers, links and agents
break.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from brookreach.disruption import commands
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.tables import NODES
from brookreach.gang_scheduling.application import APPLICATION as GANGS_PIECE
from brookreach.gang_scheduling.commands import Noticed, Submit
from brookreach.gang_scheduling.members import LET_GO_MS
from brookreach.gang_scheduling.tables import GANGS, HANDS, MEMBERS, GangRow
from brookreach.simulation.gang_scheduling import file_invariants
from brookreach.simulation.processes.application_drill import REPLICAS, ProcessCluster
from brookreach.simulation.processes.operators import LEASE_S, PROGRESS_TIMEOUT_S, STARTUP_TIMEOUT_S, Operator
from brookreach.simulation.processes.program import ProgramProcesses, run_process_drill
from brookreach.simulation.processes.relay import ROUGH, Impairment
from brookreach.simulation.report import Report

MOST_NODES = 8
AHEAD_MS, WORK_MS, COST_MS, LOAD_MS = 4_000, 6_000, 100, 150
MEMBERS_OF = {"g": 2, "h": 3}
TABLES = {NODES: APPLICATION.tables[NODES], **{one: GANGS_PIECE.tables[one] for one in (GANGS, HANDS, MEMBERS)}}
OVER = ("done", "failed")
RETIRES_S = AHEAD_MS / 1000.0 + PROGRESS_TIMEOUT_S


class Play:
    """`case` and `callers`: of a drill that has these nodes and gangs too, with its own breaks."""

    def __init__(
        self,
        seed: int,
        nodes: int,
        folder: Path,
        children: ProgramProcesses,
        report: Report,
        kinds: Sequence[str],
        case: str = "gangs",
        callers: Sequence[str] = (),
    ):
        self.nodes = [f"n{at + 1}" for at in range(nodes)]
        self.town = town = ProcessCluster(seed, folder, children, report, case, [*self.nodes, "ann", *callers])
        self.ann = Operator("ann", town.group, TABLES, seed)
        self.mirror = self.ann.client.cache
        self.members: dict[str, int] = {}
        self.cancelled: set[str] = set()
        self.killed: dict[str, list[float]] = {}
        self.paused: dict[str, list[tuple[float, float]]] = {}
        self.retired: list[str] = []
        self.left_by: dict[str, float] = {}  # by node that retired: when the last of its work is over
        self.kinds = list(kinds or self.breaks())
        if not kinds:
            town.rng.shuffle(self.kinds)
        for at, name in enumerate(self.nodes):
            member = {"id": name, "locality": "ab"[at % 2], "revision_no": 1}
            path = folder / f"{name}.json"
            path.write_text(json.dumps({"known": {"members": [member]}}))
            town.add(
                name,
                "fleet",
                "agent",
                town.configuration_files[name],
                str(path),
                "--gangs",
                str(folder / "work"),
                "--room",
                "4",
            )

    def breaks(self) -> Mapping[str, Callable[[Any], Awaitable[None]]]:
        return BREAKS

    async def others(self, tasks: anyio.abc.TaskGroup) -> None:
        """What goes on besides, from before the breaks on."""

    async def rest(self) -> None:
        """What is done once all is mended, before all gangs have to end."""

    async def settled(self) -> None:
        """What has to come about once all gangs have ended, waited for with a bound."""

    def found(self) -> None:
        """What is looked at besides, once all is over."""

    async def run(self) -> None:
        town = self.town
        async with anyio.create_task_group() as tasks:
            await tasks.start(town.relay.run)
            town.started_at = anyio.current_time()
            tasks.start_soon(town.follow_logs)
            tasks.start_soon(self.ann.connection.run)
            lines = (commands.BudgetFor("node", "all", 8, 0),)
            await self.ann.request_until_accepted("outages", commands.SetBudgets(lines), STARTUP_TIMEOUT_S)
            if await town.wait_until(self.hands, "the town begins", STARTUP_TIMEOUT_S, self.lacks):
                await self.others(tasks)
                for kind in self.kinds:
                    await self.submit()
                    await town.wait_until(
                        self.running, "gangs run", why=lambda kind=kind: f"before {kind}: {self.lacks()}"
                    )
                    await self.breaks()[kind](self)
                    town.increment_figure(f"breaks: {kind}")
                await self.at_end()
            tasks.cancel_scope.cancel()

    # --- how it stands, by the operator's mirror ---

    def hands(self) -> bool:
        """Each node's agent may carry out orders."""
        held = dict(self.mirror.rows(HANDS))
        return all(one in held and held[one].session for one in self.nodes)

    def gangs(self) -> dict[str, GangRow]:
        return dict(self.mirror.rows(GANGS))

    def running(self) -> bool:
        """Nobody waits or is on the way."""
        return all(one in self.gangs() for one in self.members) and all(
            row.state in ("running", "done") or self.may_wait(row) for row in self.gangs().values()
        )

    def may_wait(self, row: GangRow) -> bool:
        return False

    def over(self) -> bool:
        return all(
            one in self.gangs() and self.gangs()[one].state == "done" for one in self.members.keys() - self.cancelled
        )

    def lacks(self) -> str:
        told = [f"{name} {row.state}: {row.reason}" for name, row in self.gangs().items() if row.state != "done"]
        members = [f"{key} {row.state} on {row.node}" for key, row in self.mirror.rows(MEMBERS)]
        return f"hands {[(one, row.session) for one, row in self.mirror.rows(HANDS)]}, {told}, {members}"

    def order(self, kind: str, name: str) -> Submit:
        return Submit(name, MEMBERS_OF[kind], 1, WORK_MS, COST_MS, LOAD_MS)

    async def submit(self) -> None:
        """Two gangs that have not ended, always."""
        for kind, members in MEMBERS_OF.items():
            if any(name[0] == kind and row.state not in OVER for name, row in self.gangs().items()):
                continue
            name = f"{kind}{len(self.members)}"
            order = self.order(kind, name)
            answer = await self.ann.request("gangs", order)
            if answer is None:  # maybe agreed: looked for at the end all the same, by asking again
                answer = await self.ann.request("gangs", order)
            if answer is not None and (answer.ok or "stands" in answer.text):
                self.members[name] = members
            else:
                self.town.report_violation("gangs are taken", f"{name}: {answer}")

    # --- what breaks ---

    def placed(self) -> list[str]:
        """Nodes where members of gangs run that have not ended."""
        live = [name for name, row in self.gangs().items() if row.state not in OVER]
        return sorted(
            {
                row.node
                for key, row in self.mirror.rows(MEMBERS)
                if key.split("/")[0] in live and row.node and row.node not in self.retired
            }
        )

    def one(self) -> str:
        return self.town.rng.choice(self.placed() or self.nodes)

    async def retires(self) -> None:
        """A node with members is to go; the leader falls as it hears so. All have left before the time."""
        town, node = self.town, self.one()
        now = anyio.current_time()
        notice = commands.RetirementNotice(node, self.mirror.agreed_time_ms + AHEAD_MS)
        if (answer := await self.ann.request("outages", notice)) is None or not answer.ok:
            return
        self.retired.append(node)
        seq = self.ann.submit("gangs", Noticed(node))
        await town.kill_and_restart([town.find_leader()], 0.3)
        await town.wait_until(lambda: seq in self.ann.replies, "an operator hears what became of it")
        if self.ann.replies[seq] is None:
            await self.ann.request("gangs", Noticed(node))
        await town.wait_until(
            lambda: node not in self.placed_all() and self.running(), "a notice moves the gang", RETIRES_S, self.lacks
        )
        self.left_by[node] = (now + AHEAD_MS / 1000.0 + LEASE_S) * 1000.0

    def placed_all(self) -> list[str]:
        live = [name for name, row in self.gangs().items() if row.state not in OVER]
        return [row.node for key, row in self.mirror.rows(MEMBERS) if key.split("/")[0] in live]

    async def leader_stopped(self) -> None:
        await self.town.pause(self.town.find_leader(), LEASE_S * 1.5)

    async def agent_stopped(self) -> None:
        """Past its lease: its members let go by themselves, and are started elsewhere only after that."""
        node, began = self.one(), anyio.current_time() * 1000.0
        await self.town.pause(node, LEASE_S + LET_GO_MS / 1000.0 + 4.0)
        self.paused.setdefault(node, []).append((began, anyio.current_time() * 1000.0))

    async def agent_killed(self) -> None:
        node = self.one()
        self.town.processes.by_name[node].kill()
        self.killed.setdefault(node, []).append(anyio.current_time() * 1000.0)
        await anyio.sleep(1.1)  # its next life is a later second
        self.town.restart([node])

    async def node_cut_off(self) -> None:
        """What a node says is lost, past its lease; what it is told is not."""
        links = self.town.links_between([self.one()], REPLICAS)
        await self.town.impair_links(links, LEASE_S * 1.5, Impairment(cut=True))

    async def rough_links(self) -> None:
        await self.town.impair_links(
            list(self.town.relay.links.values()),
            1.5,
            ROUGH,
        )

    async def keepers_restarted(self) -> None:
        await self.town.kill_and_restart(REPLICAS, 0.2)

    # --- the end ---

    async def at_end(self) -> None:
        town = self.town
        town.heal()
        await self.rest()
        await town.wait_until(self.over, "all gangs end", 2.0 * PROGRESS_TIMEOUT_S, self.lacks)
        found = file_invariants.read(town.folder / "work", self.killed, anyio.current_time() * 1000.0)
        file_invariants.check(town, found, self.members, self.paused)
        for gang, members in self.members.items():
            for member in range(members):
                worked = bool(found.spans.get((gang, member))) or gang in self.cancelled
                town.check("all members worked", worked, lambda gang=gang: gang)
        for spans in found.spans.values():
            for span in spans:
                if span.node in self.left_by:
                    late = span.end > self.left_by[span.node]
                    town.increment_figure("moved late off a node that retired" if late else "moved in time", 1)
        await self.settled()
        self.found()
        town.increment_figure("gangs", len(self.members))
        town.increment_figure("incarnations", sum(len(one) for one in found.spans.values()))
        town.increment_figure("lines of nodes", found.lines)
        await town.shut_down(self.nodes)


BREAKS: dict[str, Callable[[Play], Awaitable[None]]] = {
    "a node retires, the leader is killed": Play.retires,
    "leader stopped past its lease": Play.leader_stopped,
    "an agent stopped until others start": Play.agent_stopped,
    "an agent killed": Play.agent_killed,
    "a node's words cut off": Play.node_cut_off,
    "links delay, double, change": Play.rough_links,
    "all keepers restarted": Play.keepers_restarted,
}


def run(
    seed: int, seeds: int, processes: int, progress: Callable[[int, int], None] | None, kinds: Sequence[str] = ()
) -> Report:
    """`processes` nodes; `kinds`: breaks in that order, else all of them in one by the seed."""
    if not 4 <= processes <= MOST_NODES:
        raise ValueError(f"--processes {processes}: 4 to {MOST_NODES} nodes are allowed")
    return run_process_drill(
        "gangs",
        range(seed, seed + seeds),
        processes + len(REPLICAS),
        progress,
        lambda one, folder, children, report: Play(one, processes, folder, children, report, kinds),
    )

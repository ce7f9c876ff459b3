"""The drill of gang scheduling between processes of the program: replicas, and a process for each node's agent.

The agents play the members' work and write into their logs when each began and ended; `node_log_invariants` says what
must hold of these. An operator here submits gangs and gives notices, while replicas, links and agents fail.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Mapping, Sequence
from functools import partial
from pathlib import Path

import anyio
import anyio.abc

from brookreach.disruption import commands
from brookreach.disruption.application import APPLICATION as DISRUPTION
from brookreach.disruption.states import TargetKind
from brookreach.disruption.tables import NODES
from brookreach.gang_scheduling.application import APPLICATION
from brookreach.gang_scheduling.commands import SubmitGang
from brookreach.gang_scheduling.gang_state import FINAL_STATES
from brookreach.gang_scheduling.tables import AGENTS, GANGS, MEMBERS, GangRow
from brookreach.simulation.gang_scheduling.gang_fleet import GangFleet
from brookreach.simulation.gang_scheduling.node_log_invariants import check_node_logs
from brookreach.simulation.gang_scheduling.node_logs import NodeLogs, read_node_logs
from brookreach.simulation.gang_scheduling.process_faults import FAULTS
from brookreach.simulation.processes.application_drill import KEEPERS, Town
from brookreach.simulation.processes.operators import GOES_ON_S, START_S, Operator
from brookreach.simulation.processes.program import Children, played
from brookreach.simulation.report import Report

MIN_NODES = 4
MAX_NODES = 8
NODE_CAPACITY = 4
MAX_MIGRATIONS = 8
WORK_MS = 6_000
CHECKPOINT_COST_MS = 100
RESTORE_COST_MS = 150
MEMBER_COUNTS = {"g": 2, "h": 3}  # by the first letter of a gang's name; one of each has always not ended
OPERATOR = "ann"
LOG_FOLDER = "work"
TABLES = {
    NODES: DISRUPTION.tables[NODES],
    GANGS: APPLICATION.tables[GANGS],
    AGENTS: APPLICATION.tables[AGENTS],
    MEMBERS: APPLICATION.tables[MEMBERS],
}

Fault = Callable[[], Awaitable[None]]


class GangProcessDrill:
    """One seed. A drill of another direction that has these nodes and gangs too derives from it.

    Attributes:
        cluster: The processes.
        operator: Who submits gangs and gives notices.
        fleet: Nodes and gangs.
    """

    def __init__(
        self,
        seed: int,
        nodes: int,
        folder: Path,
        children: Children,
        report: Report,
        kinds: Sequence[str],
        case: str = "gangs",
        callers: Sequence[str] = (),
    ) -> None:
        """Starts the processes.

        Args:
            seed: Of the chances.
            nodes: How many, each with an agent.
            folder: For files of the processes.
            children: Takes the processes.
            report: Takes what is found.
            kinds: Names of faults in the order in which they are played; none: each once, by the seed.
            case: The name that violations bear.
            callers: Further clients of the replicas.
        """
        names = [f"n{index + 1}" for index in range(nodes)]
        self.cluster = Town(seed, folder, children, report, case, [*names, OPERATOR, *callers])
        self.operator = Operator(OPERATOR, self.cluster.group, TABLES, seed)
        self.fleet = GangFleet(self.cluster, self.operator, names, self.may_wait)
        self._kinds = list(kinds or self.faults())
        if not kinds:
            self.cluster.chance.shuffle(self._kinds)
        for index, name in enumerate(names):
            self._start_agent(name, zone="ab"[index % 2])

    def _start_agent(self, name: str, zone: str) -> None:
        member = {"id": name, "locality": zone, "revision_no": 1}
        path = self.cluster.folder / f"{name}.json"
        path.write_text(json.dumps({"known": {"members": [member]}}))
        logs = str(self.cluster.folder / LOG_FOLDER)
        options = ("--gangs", logs, "--room", str(NODE_CAPACITY))
        self.cluster.add(name, "fleet", "agent", self.cluster.file[name], str(path), *options)

    # --- what a drill of another direction may replace ---

    def faults(self) -> Mapping[str, Fault]:
        """Returns the faults by their names."""
        return {name: partial(fault, self.fleet) for name, fault in FAULTS.items()}

    def submission(self, kind: str, name: str) -> SubmitGang:
        """Returns the command that submits a gang."""
        return SubmitGang(name, MEMBER_COUNTS[kind], 1, WORK_MS, CHECKPOINT_COST_MS, RESTORE_COST_MS)

    def may_wait(self, _row: GangRow) -> bool:
        """Returns whether a gang may stay waiting."""
        return False

    async def run_background_work(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts what goes on besides, before the first fault."""

    async def before_gangs_end(self) -> None:
        """Does what is to be done once all is mended, before all gangs have to end."""

    async def after_gangs_end(self) -> None:
        """Waits, with a bound, for what has to come about once all gangs have ended."""

    def check_outcome(self) -> None:
        """Checks further invariants, once all is over."""

    # --- the run ---

    async def run(self) -> None:
        """Plays the faults one after another, and checks what became of the gangs."""
        cluster, fleet = self.cluster, self.fleet
        async with anyio.create_task_group() as tasks:
            await tasks.start(cluster.relay.run)
            cluster.began = anyio.current_time()
            tasks.start_soon(cluster.listen)
            tasks.start_soon(self.operator.dial.run)
            budget = commands.SetBudgets((commands.BudgetEntry(TargetKind.NODE, "all", MAX_MIGRATIONS, 0),))
            await self.operator.agreed("outages", budget, START_S)
            if await cluster.until(fleet.are_agents_registered, "the town begins", START_S, fleet.describe):
                await self.run_background_work(tasks)
                await self._play_faults()
                await self._finish()
            tasks.cancel_scope.cancel()

    async def _play_faults(self) -> None:
        faults = self.faults()
        for kind in self._kinds:
            await self._submit_gangs()
            why = partial(self._describe_before, kind)
            await self.cluster.until(self.fleet.are_running, "gangs run", why=why)
            await faults[kind]()
            self.cluster.count(f"breaks: {kind}")

    def _describe_before(self, kind: str) -> str:
        return f"before {kind}: {self.fleet.describe()}"

    async def _submit_gangs(self) -> None:
        """Submits gangs so that one of each kind has not ended."""
        for kind in MEMBER_COUNTS:
            is_active = any(
                name[0] == kind and row.state not in FINAL_STATES for name, row in self.fleet.gangs().items()
            )
            if not is_active:
                await self._submit_gang(kind, f"{kind}{len(self.fleet.member_counts)}")

    async def _submit_gang(self, kind: str, name: str) -> None:
        command = self.submission(kind, name)
        answer = await self.operator.ask("gangs", command)
        if answer is None:  # it may be agreed: then the second answer says that the gang stands
            answer = await self.operator.ask("gangs", command)
        if answer is not None and (answer.ok or "stands" in answer.text):
            self.fleet.member_counts[name] = MEMBER_COUNTS[kind]
        else:
            self.cluster.say("gangs are taken", f"{name}: {answer}")

    async def _finish(self) -> None:
        cluster, fleet = self.cluster, self.fleet
        cluster.mend()
        await self.before_gangs_end()
        await cluster.until(fleet.are_done, "all gangs end", 2.0 * GOES_ON_S, fleet.describe)
        logs = read_node_logs(cluster.folder / LOG_FOLDER, fleet.kills_ms, anyio.current_time() * 1000.0)
        check_node_logs(cluster, logs, fleet.member_counts, fleet.pauses)
        self._check_all_worked(logs)
        self._count_migrations(logs)
        await self.after_gangs_end()
        self.check_outcome()
        cluster.count("gangs", len(fleet.member_counts))
        cluster.count("incarnations", sum(len(spans) for spans in logs.spans.values()))
        cluster.count("lines of nodes", logs.lines)
        await cluster.ended(fleet.nodes)

    def _check_all_worked(self, logs: NodeLogs) -> None:
        worked = {key for key, spans in logs.spans.items() if spans}
        for gang, member_count in self.fleet.member_counts.items():
            for number in range(member_count):
                is_expected = gang not in self.fleet.cancelled
                has_worked = (gang, number) in worked
                self.cluster.look("all members worked", has_worked or not is_expected, lambda gang=gang: gang)

    def _count_migrations(self, logs: NodeLogs) -> None:
        for spans in logs.spans.values():
            for span in spans:
                left_by_ms = self.fleet.left_by_ms.get(span.node)
                if left_by_ms is None:
                    continue
                is_late = span.end_ms > left_by_ms
                self.cluster.count("moved late off a node that retired" if is_late else "moved in time")


def run(
    seed: int, seeds: int, processes: int, progress: Callable[[int, int], None] | None, kinds: Sequence[str] = ()
) -> Report:
    """Runs one drill a seed.

    Args:
        seed: The first.
        seeds: How many.
        processes: Nodes.
        progress: Called with the seeds done and all.
        kinds: Names of faults in the order in which they are played; none: all in one by the seed.

    Raises:
        ValueError: if `processes` is out of bounds.
    """
    if not MIN_NODES <= processes <= MAX_NODES:
        raise ValueError(f"--processes {processes}: {MIN_NODES} to {MAX_NODES} nodes are allowed")

    def make(number: int, folder: Path, children: Children, report: Report) -> GangProcessDrill:
        return GangProcessDrill(number, processes, folder, children, report, kinds)

    return played("gangs", range(seed, seed + seeds), processes + len(KEEPERS), progress, make)

"""The drill of the coordination service between processes: replicas by their command line, all links through a relay.

Agents in this process count up a number of their own node and read it back. The rules go by what they were told and by
how processes ended. Runs don't repeat themselves: a seed gives the same faults at the same real times.
"""

from __future__ import annotations

import random
import signal
from collections.abc import Callable, Sequence
from enum import StrEnum
from pathlib import Path

import anyio

from brookreach.simulation.processes.application_drill import NO_PROCESS_ENDS_RULE, SIGTERM_RULE
from brookreach.simulation.processes.cluster_configuration import ClusterConfiguration
from brookreach.simulation.processes.counter_invariants import CounterInvariants, CountingAgent
from brookreach.simulation.processes.operators import PROGRESS_TIMEOUT_S, STARTUP_TIMEOUT_S
from brookreach.simulation.processes.program import (
    BOOTSTRAP_TIMEOUT_S,
    ProgramProcess,
    ProgramProcesses,
    run_process_drill,
)
from brookreach.simulation.processes.relay import Impairment, Relay, RelayLink
from brookreach.simulation.report import Report, Violation

FAULTS_S = 6.0
AGENTS = 4
MIN_REPLICAS = 3
MAX_REPLICAS = 7
POLL_INTERVAL_S = 0.05
CONFIRMING_COMMANDS = 2  # of each agent, by which it sees that the group makes progress
TIMING_SETTINGS = ("beat_ms = 50", "election_ms = 300", "lease_ms = 1500")
LISTENS = " listens, "  # a replica's first log line
STARTS_RULE = "the group begins"
PROGRESS_RULE = "the group goes on"


class FaultKind(StrEnum):
    """A fault by the name that figures are printed under, in the order in which they are drawn from."""

    KILL = "kill"
    PAUSE = "stop"
    TERMINATE = "end"
    CUT = "cut"
    PARTITION = "halves"
    SLOW = "slow"
    DUPLICATES = "double"
    CORRUPTION = "change"
    STORAGE_LOST = "emptied"
    STORAGE_TRUNCATED = "torn"


KINDS = tuple(FaultKind)
IMPAIRMENTS = {
    FaultKind.CUT: Impairment(cut=True),
    FaultKind.PARTITION: Impairment(cut=True),
    FaultKind.SLOW: Impairment(delay_ms=100.0, jitter_ms=150.0),
    FaultKind.DUPLICATES: Impairment(duplicate_fraction=0.5, jitter_ms=20.0),
    FaultKind.CORRUPTION: Impairment(corrupt_fraction=0.2),
}


class InvalidReplicaCountError(ValueError):
    """The drill can't be run with so many replicas."""


class ProcessRun:
    """The run of one seed."""

    def __init__(self, seed: int, replicas: int, folder: Path, processes: ProgramProcesses, report: Report):
        self._seed = seed
        self._report = report
        self._processes = processes
        self._rng = random.Random(f"{seed} processes {replicas}")
        self._replicas = tuple(f"k{number}" for number in range(1, replicas + 1))
        self._agents = tuple(f"n{number}" for number in range(1, AGENTS + 1))
        self._configuration = ClusterConfiguration(folder, self._replicas, self._agents, processes.ports)
        self._relay = Relay(self._configuration.relay_endpoints(), seed)
        self._damaged: set[str] = set()  # replicas whose storage was lost: they are no members any more
        self._invariants = CounterInvariants(self._report_violation, report.record_check)
        self._started_at = 0.0
        for name in self._replicas:
            self._start_replica(folder, name)

    def _start_replica(self, folder: Path, name: str) -> None:
        file = str(self._configuration.write_file(name, TIMING_SETTINGS))
        bootstrap = ("fleet", "found", file, "--keeper", name)
        ProgramProcess(f"{name}.found", folder / name, bootstrap).run_to_completion(BOOTSTRAP_TIMEOUT_S)
        keep = ("fleet", "keep", file, "--keeper", name)
        self._processes.add(ProgramProcess(name, folder / name, keep)).start()

    def _report_violation(self, rule: str, text: str) -> None:
        at_ms = (anyio.current_time() - self._started_at) * 1000.0 if self._started_at else 0.0
        self._report.add_violation(Violation(rule, "processes", self._seed, at_ms, text))

    async def run(self) -> None:
        """Run with faults, then without, then check the end."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._relay.run)
            self._started_at = anyio.current_time()
            agents = [self._make_agent(name) for name in self._agents]
            for agent in agents:
                tasks.start_soon(agent.run)
            await self._wait_for_progress(agents, STARTUP_TIMEOUT_S, STARTS_RULE)
            await self._inject_faults()
            self._heal()
            await self._wait_for_progress(agents, PROGRESS_TIMEOUT_S, PROGRESS_RULE)
            self._invariants.check_at_end(agents)
            self._check_processes()
            tasks.cancel_scope.cancel()

    def _make_agent(self, name: str) -> CountingAgent:
        rng = random.Random(f"{self._seed} {name}")
        return CountingAgent(name, self._configuration, self._invariants, rng)

    async def _wait_for_progress(self, agents: Sequence[CountingAgent], timeout_s: float, rule: str) -> None:
        """Each agent sees the effect of a command that it sends from now on."""
        self._report.record_check(rule)
        goals = {agent.name: agent.requested + CONFIRMING_COMMANDS for agent in agents}
        with anyio.move_on_after(timeout_s) as scope:
            while any(agent.seen < goals[agent.name] for agent in agents):
                await anyio.sleep(POLL_INTERVAL_S)
        if scope.cancelled_caught:
            late = [
                f"{agent.name} sees {agent.seen} of {goals[agent.name]}"
                for agent in agents
                if agent.seen < goals[agent.name]
            ]
            log_tail = self._processes.by_name[self._replicas[0]].log_tail()
            self._report_violation(rule, f"within {timeout_s:.0f} s: {', '.join(late)}; {log_tail}")

    # --- faults ---

    async def _inject_faults(self) -> None:
        ends_at = anyio.current_time() + FAULTS_S
        async with anyio.create_task_group() as faults:
            while anyio.current_time() < ends_at:
                faults.start_soon(self._inject_fault, self._rng.choice(KINDS), self._rng.uniform(0.05, 1.5))
                await anyio.sleep(self._rng.uniform(0.1, 0.9))

    async def _inject_fault(self, kind: FaultKind, duration_s: float) -> None:
        figure = f"faults: {kind}"
        self._report.figures[figure] = self._report.figures.get(figure, 0) + 1
        name = self._rng.choice([replica for replica in self._replicas if replica not in self._damaged])
        everyone = [*self._replicas, *self._agents]
        side = self._rng.sample(everyone, self._rng.randint(1, len(everyone) // 2))
        other = self._rng.choice([candidate for candidate in everyone if candidate != name])
        match kind:
            case FaultKind.KILL | FaultKind.STORAGE_LOST | FaultKind.STORAGE_TRUNCATED:
                await self._crash(kind, name, duration_s)
            case FaultKind.PAUSE:
                process = self._processes.by_name[name]
                process.pause()
                await anyio.sleep(duration_s)
                process.resume()
            case FaultKind.TERMINATE:
                await self._terminate(name, duration_s)
            case FaultKind.PARTITION:
                rest = [candidate for candidate in everyone if candidate not in side]
                await self._impair(self._relay.links_between(side, rest), kind, duration_s)
            case _:
                await self._impair(self._relay.links_between([name], [other]), kind, duration_s)

    async def _crash(self, kind: FaultKind, name: str, duration_s: float) -> None:
        if kind is not FaultKind.KILL and not self._may_damage(name):
            return
        process = self._processes.by_name[name]
        process.kill()
        if kind is FaultKind.STORAGE_LOST:
            process.erase_storage()
        if kind is FaultKind.STORAGE_TRUNCATED:
            process.truncate_newest_file(self._rng.uniform(0.05, 0.6))
        await anyio.sleep(duration_s)
        process.start()

    def _may_damage(self, name: str) -> bool:
        """Whether a majority keeps its storage if this replica loses its own; then it counts as lost."""
        if 2 * (len(self._damaged) + 1) >= len(self._replicas):
            return False
        self._damaged.add(name)
        return True

    async def _terminate(self, name: str, duration_s: float) -> None:
        process = self._processes.by_name[name]
        code = await anyio.to_thread.run_sync(process.terminate)
        self._report.record_check(SIGTERM_RULE)
        # Until it listens nothing of it is owed: while Python imports its modules, the signal itself ends it.
        may_end_by_signal = LISTENS not in process.log_of_this_life()
        if code not in (0, None) and not (may_end_by_signal and code == -signal.SIGTERM):
            self._report_violation(SIGTERM_RULE, f"{name} ends with {code}: {process.log_tail()}")
        await anyio.sleep(duration_s)
        process.start()

    async def _impair(self, links: Sequence[RelayLink], kind: FaultKind, duration_s: float) -> None:
        for link in links:
            link.impair(IMPAIRMENTS[kind])
        await anyio.sleep(duration_s)
        for link in links:
            link.reset()

    def _heal(self) -> None:
        for link in self._relay.links.values():
            link.reset()
        for name in self._replicas:
            self._processes.by_name[name].resume()
            self._processes.by_name[name].start()

    # --- the end ---

    def _check_processes(self) -> None:
        """No process ended by itself, except one that has lost its storage."""
        for name in self._replicas:
            process = self._processes.by_name[name]
            self._report.record_check(NO_PROCESS_ENDS_RULE)
            if (not process.is_running or process.unexpected_exit_codes) and name not in self._damaged:
                text = f"{name} ended by itself with {process.unexpected_exit_codes}: {process.log_tail()}"
                self._report_violation(NO_PROCESS_ENDS_RULE, text)
        for link in self._relay.links.values():
            for what, count in link.frame_counts.items():
                figure = f"relay: {what}"
                self._report.figures[figure] = self._report.figures.get(figure, 0) + count


def run(seed: int, seeds: int, replicas: int, progress: Callable[[int, int], None] | None) -> Report:
    """Run the drill.

    Args:
        seed: The first seed.
        seeds: How many seeds.
        replicas: The number of replicas.
        progress: Called after each seed with the seeds done and all.

    Raises:
        InvalidReplicaCountError: There would be too many replicas.
    """
    if replicas > MAX_REPLICAS:
        raise InvalidReplicaCountError(f"--processes {replicas}: {MIN_REPLICAS} to {MAX_REPLICAS} keepers are allowed")

    def make_run(one_seed: int, folder: Path, processes: ProgramProcesses, report: Report) -> ProcessRun:
        return ProcessRun(one_seed, replicas, folder, processes, report)

    return run_process_drill("fleet", range(seed, seed + seeds), replicas, progress, make_run)

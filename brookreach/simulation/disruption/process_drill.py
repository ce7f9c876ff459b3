"""The drill of planned disruptions between processes: queries and drains go on while faults are injected.

`observer_invariants` says what must hold, `process_faults` what fails, `process_fleet` who takes part.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path

import anyio

from brookreach.disruption import commands
from brookreach.disruption.application import APPLICATION
from brookreach.net.stream import parse_address
from brookreach.simulation import stand_ins
from brookreach.simulation.disruption.process_faults import FAULTS, FaultInjector, fault_order
from brookreach.simulation.disruption.process_fleet import BUDGETS, MAX_BALANCERS, ProcessFleet, query_text
from brookreach.simulation.processes.application_drill import REPLICAS
from brookreach.simulation.processes.operators import PROGRESS_TIMEOUT_S, STARTUP_TIMEOUT_S
from brookreach.simulation.processes.program import ProgramProcesses, run_process_drill
from brookreach.simulation.report import Report

QUERY_TIMEOUT_S = 1.0
QUERY_INTERVAL_S = 0.02
DRAIN_INTERVAL_S = 0.25
DRAIN_TIMEOUT_S = 2.0
RESTART_DELAY_S = 0.1
OTHER_PROCESSES = len(REPLICAS) + 4  # beside the balancers


class ProcessDrill:
    """One seed.

    Args:
        seed: Of all chance.
        balancer_count: Of processes.
        folder: For all files.
        children: Ends the processes.
        report: Is written to.
        faults: Their names, in the order in which they are injected; none: all of them by the seed.
    """

    def __init__(
        self,
        seed: int,
        balancer_count: int,
        folder: Path,
        children: ProgramProcesses,
        report: Report,
        faults: Sequence[str],
    ):
        self.fleet = ProcessFleet(seed, balancer_count, folder, children, report)
        self.town = self.fleet.town
        self.injector = FaultInjector(self.fleet)
        self.faults = fault_order(faults, self.injector)
        self.query_count = 0
        self.requests_drains = True

    async def run(self) -> None:
        """Plays the seed to its end."""
        fleet = self.fleet
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.town.relay.run)
            await tasks.start(fleet.site.run)
            self.town.started_at = anyio.current_time()
            tasks.start_soon(self.town.follow_logs)
            fleet.start_processes()
            fleet.start_clients(tasks)
            await fleet.ann.request_until_accepted(APPLICATION.name, BUDGETS, STARTUP_TIMEOUT_S)
            if await self.town.wait_until(fleet.is_settled, "the town begins", STARTUP_TIMEOUT_S, fleet.unsettled):
                for index, balancer in enumerate(fleet.balancers):
                    tasks.start_soon(self._send_queries, index, balancer)
                tasks.start_soon(self._request_drains)
                await self._inject_faults()
                await self._check_end()
            tasks.cancel_scope.cancel()

    async def _inject_faults(self) -> None:
        ann = self.fleet.ann
        for name in self.faults:
            answered = len(ann.replied_commands)
            await FAULTS[name](self.injector)
            self.town.increment_figure(f"breaks: {name}")
            await self.town.wait_until(
                lambda answered=answered: len(ann.replied_commands) > answered,
                "the group goes on",
                why=lambda name=name: f"after {name}",
            )

    async def _send_queries(self, index: int, balancer: str) -> None:
        """Queries on a connection each, one after another, until cancelled."""
        target = parse_address(self.fleet.addresses[balancer])
        while True:
            self.query_count += 1
            with anyio.move_on_after(QUERY_TIMEOUT_S):
                await stand_ins.asked(target, query_text(self.query_count, index))
            await anyio.sleep(QUERY_INTERVAL_S)

    async def _request_drains(self) -> None:
        """Drains of any node, one after another, until cancelled."""
        fleet = self.fleet
        chance = self.town.rng
        while True:
            if self.requests_drains:
                fleet.drain_count += 1
                node = chance.choice(fleet.nodes)
                request = commands.RequestDrain(f"d{fleet.drain_count}", node, chance.randint(0, 9), "drill")
                await fleet.ann.request(APPLICATION.name, request, DRAIN_TIMEOUT_S)
            await anyio.sleep(DRAIN_INTERVAL_S)

    async def _check_end(self) -> None:
        """All is repaired and comes back; then all replicas are lost, and what was answered still stands."""
        fleet = self.fleet
        self.requests_drains = False
        self.town.heal()
        await self.town.wait_until(
            lambda: fleet.ann.is_settled and fleet.bob.is_settled, "operators hear what became of it"
        )
        await fleet.wait_until_observed(max(fleet.ann.last_index, fleet.bob.last_index))
        await fleet.resume()
        await self.town.wait_until(
            fleet.is_settled, "all come back and all permits end", PROGRESS_TIMEOUT_S, fleet.unsettled
        )
        await self._restart_replicas()
        await self._check_last_drain()
        self._check_acknowledged()
        self._check_observations()
        await self.town.shut_down(tuple(fleet.agents.values()))

    async def _restart_replicas(self) -> None:
        await self.town.kill_and_restart(REPLICAS, RESTART_DELAY_S)
        await self.town.wait_until(
            lambda: all(self.town.is_listening(replica) for replica in REPLICAS), "all keepers begin again"
        )

    async def _check_last_drain(self) -> None:
        """The group goes on after the loss of all replicas."""
        fleet = self.fleet
        request = commands.RequestDrain("last", fleet.nodes[0], 5, "drill")
        answer = await fleet.ann.request_until_accepted(APPLICATION.name, request)
        is_accepted = answer is not None and answer.ok
        self.town.check("drains go on after all", is_accepted, lambda: f"answered {answer}")
        index = answer.index if answer else 0
        await self.town.wait_until(
            lambda: fleet.observer.index >= index and fleet.is_settled(), "the last drain ends", why=fleet.unsettled
        )

    def _check_acknowledged(self) -> None:
        """Every permit whose request was acknowledged was observed."""
        for sent in (*self.fleet.ann.replied_commands, *self.fleet.bob.replied_commands):
            if isinstance(sent.command, commands.RequestDrain | commands.RequestRestart) and sent.reply.ok:
                self.town.check(
                    "no acknowledged order lost",
                    sent.command.name in self.fleet.observer.permits,
                    lambda sent=sent: f"{sent.order} of {sent.who} at {sent.answer.index}",
                )

    def _check_observations(self) -> None:
        observer = self.fleet.observer
        observer.check_reports()
        observer.check_calls()
        self.town.increment_figure("queries heard by nodes", len(observer.calls))
        self.town.increment_figure("permits given", sum(1 for permit in observer.permits.values() if permit.fence))
        self.town.report.record_check("nodes serve", len(observer.calls))


def run(
    seed: int,
    seeds: int,
    processes: int,
    progress: Callable[[int, int], None] | None,
    faults: Sequence[str] = (),
) -> Report:
    """Plays the drill.

    Args:
        seed: The first seed.
        seeds: How many seeds are played.
        processes: Balancers, at most `MAX_BALANCERS`.
        progress: Is called with the seeds played and their number.
        faults: See `ProcessDrill`.

    Raises:
        ValueError: too many balancers.
    """
    if processes > MAX_BALANCERS:
        raise ValueError(f"--processes {processes}: 3 to {MAX_BALANCERS} marshals are allowed")
    return run_process_drill(
        "outages",
        range(seed, seed + seeds),
        processes + OTHER_PROCESSES,
        progress,
        lambda drill_seed, folder, children, report: ProcessDrill(
            drill_seed, processes, folder, children, report, faults
        ),
    )

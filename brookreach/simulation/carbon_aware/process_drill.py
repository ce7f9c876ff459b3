"""The drill of carbon-aware scheduling between processes: schedules are uploaded in parts while replicas fail.

Replicas and the nodes' agents are processes; operators and marshals are clients in the drill's process, behind the
relay. Flexible gangs run meanwhile as in the drill of gangs, and its invariants are checked too.
`observer_invariants` says what must hold besides.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence
from functools import partial
from pathlib import Path

import anyio
import anyio.abc
import msgspec

from brookreach.carbon_aware import commands
from brookreach.carbon_aware.application import APPLICATION
from brookreach.carbon_aware.tables import (
    ACTIVE_SCHEDULE,
    RESERVATIONS,
    SCHEDULE_DRAFTS,
    SCHEDULE_INTERVALS,
    SLOT_RESERVATIONS,
    ZONE_QUOTAS,
    version_key,
)
from brookreach.coordination.protocol.tags import wire_name
from brookreach.gang_scheduling.commands import CancelGang, SubmitGang
from brookreach.gang_scheduling.tables import GangRow
from brookreach.simulation.carbon_aware.observer_invariants import ScheduleObserver
from brookreach.simulation.carbon_aware.schedule_uploader import ZONES, ScheduleUploader, current_slot
from brookreach.simulation.gang_scheduling import process_drill
from brookreach.simulation.processes.application_drill import KEEPERS
from brookreach.simulation.processes.operators import LEASE_S, Operator
from brookreach.simulation.processes.program import Children, played
from brookreach.simulation.report import Report

MARSHALS = ("m1", "m2", "m3")
OBSERVED_TABLES = (
    ACTIVE_SCHEDULE,
    SCHEDULE_DRAFTS,
    RESERVATIONS,
    ZONE_QUOTAS,
    SLOT_RESERVATIONS,
    SCHEDULE_INTERVALS,
)
MIN_NODES = 3
CALL_REQUEST_INTERVAL_S = 0.2
CALL_REQUEST_TIMEOUT_S = 2.0
MAX_CALLS = 40
URGENT_DEADLINE_MS = 60_000
GANG_HOLDER_PREFIX = "gang:"


class Play(process_drill.GangProcessDrill):
    """One seed of the drill of gangs, with schedules and faults of its own."""

    def __init__(
        self, seed: int, nodes: int, folder: Path, children: Children, report: Report, kinds: Sequence[str]
    ) -> None:
        super().__init__(seed, nodes, folder, children, report, kinds, "power", ("bob", "eye", *MARSHALS))
        group = self.cluster.group
        tables = {name: APPLICATION.tables[name] for name in OBSERVED_TABLES}
        self.eye = Operator("eye", group, tables, seed)
        self.observer = ScheduleObserver(self.cluster, self.eye.client.cache)
        self.eye.changed = self.observer.on_changed
        self.other_operator = Operator("bob", group, {}, seed)
        self.marshals = [Operator(name, group, {}, seed, kind="marshal") for name in MARSHALS]
        self.uploader = ScheduleUploader(self.cluster, self.operator, self.observer)

    def faults(self) -> Mapping[str, process_drill.Fault]:
        """The faults of this drill by their names."""
        return {name: partial(fault, self) for name, fault in FAULTS.items()}

    async def run_background_work(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the clients of this drill and uploads a first schedule."""
        for client in (self.eye, self.other_operator, *self.marshals):
            tasks.start_soon(client.dial.run)
        for marshal in self.marshals:
            tasks.start_soon(self._request_calls, marshal)
        await self.uploader.upload()

    def submission(self, kind: str, name: str) -> SubmitGang:
        """Makes both gangs flexible; one has no time to wait for cleaner power, so that one always runs."""
        deadline_ms = self.fleet.cache.agreed_time_ms + URGENT_DEADLINE_MS if kind == "g" else 0
        return msgspec.structs.replace(super().submission(kind, name), flexible=True, deadline_ms=deadline_ms)

    def may_wait(self, row: GangRow) -> bool:
        """Returns whether a gang waits for cleaner power."""
        return row.state == "waiting" and "for cleaner power" in row.reason

    async def before_gangs_end(self) -> None:
        """Cancels gangs that wait for another slot, which may take a quarter of an hour to come."""
        for name, row in self.fleet.gangs().items():
            if not self.may_wait(row):
                continue
            answer = await self.operator.ask("gangs", CancelGang(name, "the drill ends"))
            if answer is not None and answer.ok:
                self.cluster.count("gangs cancelled as they waited for cleaner power")
                self.fleet.cancelled.add(name)

    async def after_gangs_end(self) -> None:
        """Waits until ended gangs hold nothing; on a busy machine the mirror follows a change late."""
        await self.cluster.until(
            lambda: not self._gang_reservations(),
            "what ended holds no room",
            why=lambda: f"{self._gang_reservations()}",
        )

    def check_outcome(self) -> None:
        """Checks that no committed schedule was lost."""
        committed = self.uploader.committed_version
        self.cluster.look(
            "no acknowledged version lost",
            self.observer.version >= committed,
            lambda: f"{committed} was agreed, {self.observer.version} is in force",
        )
        self.cluster.count("versions sent", self.uploader.last_version)

    # --- faults ---

    async def leader_killed_during_upload(self) -> None:
        """The leader is killed while a schedule is uploaded in part."""
        version, upload = await self.uploader.upload_partially()
        await self.cluster.down([self.cluster.leader()], 0.4)
        await self.uploader.commit_early(version, upload)
        await self.uploader.upload()

    async def all_restarted_during_upload(self) -> None:
        """All replicas are restarted while a schedule is uploaded in part."""
        version, upload = await self.uploader.upload_partially()
        await self.cluster.down(KEEPERS, 0.2)
        await self.uploader.commit_early(version, upload)
        await self.uploader.upload()

    async def operator_cut_off(self) -> None:
        """The operator is cut off past its lease: what it has uploaded of a schedule goes with its session."""
        version, _ = await self.uploader.upload_partially()
        session = self.operator.client.session
        ways = [*self.cluster.ways(["ann"], KEEPERS), *self.cluster.ways(KEEPERS, ["ann"])]
        await self.cluster.link(ways, LEASE_S * 2.5, cut=True)
        await self.cluster.until(lambda: self.operator.client.connected, "who was cut off comes back")
        if self.operator.client.session != session:
            await self.cluster.until(lambda: not self._has_draft(version), "half a version goes with its session")
        await self.uploader.upload()

    async def leader_killed_before_commit(self) -> None:
        """A gang runs by the schedule before; the leader is killed before the new one is committed."""

        async def kill_leader(part: int) -> None:
            if part == 6:
                await self.cluster.down([self.cluster.leader()], 0.3)

        await self.uploader.upload(kill_leader)

    async def leader_stopped(self) -> None:
        """A schedule is replaced while the leader is stopped."""
        leader = self.cluster.leader()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.cluster.stopped, leader, LEASE_S * 1.5)
            await self.uploader.upload()

    async def uploaded_by_two(self) -> None:
        """Another operator can neither add to an upload nor commit it."""
        version, upload = await self.uploader.upload_partially()
        for command in (upload[0], upload[-2], upload[-1]):
            answer = await self.other_operator.ask("power", command)
            if self._has_draft(version):
                self.cluster.look(
                    "only its sender goes on with a version",
                    answer is None or not answer.ok,
                    lambda command=command, answer=answer: f"{wire_name(command)} of {version}: {answer}",
                )
        await self.uploader.upload()

    async def _request_calls(self, marshal: Operator) -> None:
        zones = tuple(quota.zone for quota in ZONES)
        while True:
            calls_per_s = self.cluster.chance.randint(0, MAX_CALLS)
            request = commands.RequestFlexibleCalls(current_slot(), calls_per_s, zones)
            answer = await marshal.ask("power", request, CALL_REQUEST_TIMEOUT_S)
            if answer is not None and answer.ok:
                self.cluster.count("steered")
            await anyio.sleep(CALL_REQUEST_INTERVAL_S)

    def _has_draft(self, version: int) -> bool:
        return self.eye.client.cache.get(SCHEDULE_DRAFTS, version_key(version)) is not None

    def _gang_reservations(self) -> list[str]:
        return [name for name, _ in self.eye.client.cache.rows(RESERVATIONS) if name.startswith(GANG_HOLDER_PREFIX)]


FAULTS: dict[str, Callable[[Play], Awaitable[None]]] = {
    "half sent as the leader is killed": Play.leader_killed_during_upload,
    "half sent as all keepers are restarted": Play.all_restarted_during_upload,
    "the sender cut off past its lease": Play.operator_cut_off,
    "replaced as the leader is killed": Play.leader_killed_before_commit,
    "replaced behind a stopped leader": Play.leader_stopped,
    "a version sent by two": Play.uploaded_by_two,
}


def run(
    seed: int, seeds: int, processes: int, progress: Callable[[int, int], None] | None, kinds: Sequence[str] = ()
) -> Report:
    """Runs the drill between processes.

    Args:
        seed: The first one.
        seeds: How many.
        processes: Nodes, beside the replicas.
        progress: Called with the seeds that are done and all of them.
        kinds: Faults in that order; none: all of them, in one by the seed.

    Raises:
        ValueError: If the number of nodes is not allowed.
    """
    if not MIN_NODES <= processes <= process_drill.MAX_NODES:
        raise ValueError(f"--processes {processes}: {MIN_NODES} to {process_drill.MAX_NODES} nodes are allowed")
    return played(
        "power",
        range(seed, seed + seeds),
        processes + len(KEEPERS),
        progress,
        lambda one_seed, folder, children, report: Play(one_seed, processes, folder, children, report, kinds),
    )

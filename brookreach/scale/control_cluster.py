"""A group of real keepers on loopback whose state has many nodes, with processes of hollow marshals around it.

It owns the folder, the keepers' disks at their start, and all processes, which end with it.
"""

from __future__ import annotations

import contextlib
import os
import random
import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import anyio

from brookreach.coordination import configuration
from brookreach.coordination.client.errors import ClusterUnreachableError
from brookreach.coordination.client.events import ReplyReceived
from brookreach.coordination.client.one_shot import OneShotClient
from brookreach.coordination.protocol.messages import ClientKind
from brookreach.coordination.raft.types import PendingSave, Snapshot
from brookreach.coordination.server.process import open_storage
from brookreach.coordination.state_machine.application import Command
from brookreach.disruption.application import APPLICATION
from brookreach.model.keepers_crowd import fleet
from brookreach.scale.control_children import ChildFailed, HollowChild, Usage, usage
from brookreach.scale.hollow_protocol import Figures
from brookreach.simulation.processes.cluster_configuration import ClusterConfiguration
from brookreach.simulation.processes.ports import PortAllocator
from brookreach.simulation.processes.program import ProgramProcess, ProgramProcesses
from brookreach.simulation.processes.relay import Relay

MOST_ZONES, FEW_ZONES, FEW_MARSHALS = 6, 2, 48  # a zone has one process of hollow marshals; few marshals, few zones
FIRST_PORT, LAST_PORT = 20_000, 32_000  # below those that the system gives to connections
KEY_BYTES = 32
MOST_PORTS = 500  # that one run may take, those in use among them
DRIVER = "driver"  # whose operators and agents cause the changes
ANSWER_S, START_S, SETTLE_S = 30.0, 60.0, 240.0
AT_ONCE = 4  # marshals of one process that start together, where the start is not what is measured
LOOK_S = 0.05
LEAVE_S = 0.2


@dataclass(frozen=True, slots=True)
class Size:
    """Of one run, with the times of its group (`seams.Timing`)."""

    marshals: int
    nodes: int
    keepers: int
    election_ms: float = 300.0
    lease_ms: float = 3_000.0

    @property
    def zones(self) -> tuple[str, ...]:
        count = MOST_ZONES if self.marshals >= FEW_MARSHALS else FEW_ZONES
        return tuple(f"z{number}" for number in range(count))

    def timing(self) -> tuple[str, ...]:
        """As lines of the group's file."""
        return f"election_ms = {self.election_ms}", f"lease_ms = {self.lease_ms}"


class FreePorts(PortAllocator):
    """Loopback ports that nobody listens on, from a drawn one on: several runs may be under way on one machine."""

    def __init__(self) -> None:
        super().__init__(random.SystemRandom().randrange(FIRST_PORT, LAST_PORT), LAST_PORT + MOST_PORTS)

    def allocate(self) -> int:
        while True:
            port = super().allocate()
            with contextlib.suppress(OSError), socket.socket() as one:
                one.bind(("127.0.0.1", port))
                return port


class NotSettled(Exception):
    """The marshals were not all up to date within the bound; its text says how many were."""


class Cluster:
    """Use `open_cluster`. `relay` is there where links may be cut; then all connections lead through it."""

    def __init__(self, folder: Path, size: Size, seed: int, relayed: bool, children: ProgramProcesses):
        self.size, self.children = size, children
        self.keepers = tuple(f"k{number + 1}" for number in range(size.keepers))
        self.group = ClusterConfiguration(folder, self.keepers, (*size.zones, DRIVER), FreePorts())
        (folder / "group.key").write_bytes(os.urandom(KEY_BYTES))  # no process of another run is heard
        self.relay = Relay(self.group.relay_endpoints(), seed) if relayed else None
        if not relayed:
            self.group.relay_ports = {
                (one, keeper): self.group.listen_ports[keeper] for one, keeper in self.group.relay_ports
            }
        self.hollow = [
            HollowChild(
                f"hollow-{zone}", self.group.write_file(zone, size.timing()), first, count, zone, size.nodes, seed
            )
            for zone, first, count in shares(size)
        ]
        self.file = self.group.write_file(DRIVER, size.timing())
        self.told = configuration.read(self.file)
        self.key = configuration.read_key(self.file, self.told)
        self.operator = self.talk("operator", "operator")

    def talk(self, name: str, kind: ClientKind) -> OneShotClient:
        """A client of the group that asks and watches nothing."""
        return OneShotClient(self.told, self.key, name, kind, {}, ANSWER_S)

    def start_keepers(self) -> None:
        octets = fleet(self.size.nodes).snapshot()
        for name in self.keepers:
            path = self.group.write_file(name, self.size.timing())
            disk = open_storage(path, configuration.read(path), name)
            disk.bootstrap(self.keepers)
            disk.save(PendingSave(1, "", 0, [], Snapshot(1, 1, self.keepers, octets)))
            disk.close()
            words = ("fleet", "keep", str(path), "--keeper", name)
            self.children.add(ProgramProcess(name, self.group.folder / name, words)).start()

    # --- what is asked of it ---

    async def asked(self, order: Command) -> ReplyReceived:
        """By the operator; raises ClusterUnreachableError."""
        return await self.operator.propose(APPLICATION.name, order)

    async def leader(self) -> str:
        """As the operator's connection has it; raises ClusterUnreachableError."""
        with anyio.move_on_after(START_S):
            while not self.operator.client.connected:
                await anyio.sleep(LOOK_S)
            return self.operator.client.replica
        raise ClusterUnreachableError(f"no keeper that leads was reached within {START_S:.0f} s")

    def usage(self, keeper: str) -> Usage:
        """Raises ChildFailed where it has ended."""
        child = self.children.by_name[keeper]
        if not child.is_running or child.process is None:
            raise ChildFailed(f"{keeper} has ended: {child.log_tail()}")
        return usage(child.process.pid)

    async def reports(self) -> list[Figures]:
        return [await child.report() for child in self.hollow]

    async def begin(self, at_once: int) -> None:
        for child in self.hollow:
            await child.begin(at_once)

    async def mark(self, gone: str = "", index: int = 0) -> None:
        for child in self.hollow:
            await child.mark(gone, index)

    async def all_up_to_date(self, within_s: float = SETTLE_S) -> list[Figures]:
        """Waits for it; the reports of all rounds until then. Raises NotSettled."""
        taken: list[Figures] = []
        ends = anyio.current_time() + within_s
        while True:
            now = await self.reports()
            taken += now
            count = sum(one.up_to_date for one in now)
            if count == self.size.marshals:
                return taken
            if anyio.current_time() > ends:
                raise NotSettled(f"{count} of {self.size.marshals} marshals are up to date after {within_s:.0f} s")
            await anyio.sleep(LOOK_S)


def shares(size: Size) -> list[tuple[str, int, int]]:
    """By zone: its name, its first marshal's number, how many marshals it has."""
    zones = size.zones
    least, more = divmod(size.marshals, len(zones))
    counts = [least + (number < more) for number in range(len(zones))]
    return [(zone, sum(counts[:at]), counts[at]) for at, zone in enumerate(zones)]


@asynccontextmanager
async def open_cluster(folder: Path, size: Size, seed: int, relayed: bool = False) -> AsyncIterator[Cluster]:
    """Keepers run and have a leader, hollow processes wait for Begin; raises ChildFailed, NotHeard."""
    with ProgramProcesses() as children:
        cluster = Cluster(folder, size, seed, relayed, children)
        async with AsyncExitStack() as ends, anyio.create_task_group() as tasks:
            if cluster.relay is not None:
                await tasks.start(cluster.relay.run)
            cluster.start_keepers()
            for child in cluster.hollow:
                await child.start()
                ends.push_async_callback(child.kill)
            await start_talk(cluster.operator, tasks)
            yield cluster
            await cluster.operator.connection.close(LEAVE_S)
            for child in cluster.hollow:
                await child.end()
            tasks.cancel_scope.cancel()


async def start_talk(talk: OneShotClient, tasks: anyio.abc.TaskGroup) -> None:
    """Until it has a session; raises ClusterUnreachableError."""
    tasks.start_soon(talk.connection.run)
    with anyio.move_on_after(START_S):
        while not talk.client.session:
            await anyio.sleep(LOOK_S)
        return
    raise ClusterUnreachableError(
        f"{talk.client.name} got no session within {START_S:.0f} s: {talk.last_error or 'nobody leads'}"
    )


def needed_mb(marshals: int, nodes: int) -> int:
    """About what the processes of a run take together."""
    row, marshal, process, processes = 1_000, 300_000, 45_000_000, MOST_ZONES + 4
    return (marshals * (marshal + nodes * row) + processes * process) // 1_000_000

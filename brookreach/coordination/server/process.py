"""A replica's process: `brookreach fleet keep`. Its storage, its sockets, its clock, and its end.

It saves, sends and applies in this order, and ends on SIGTERM, or when its storage or a log entry can't be gone on
with. After a failed save it never goes on.

Saves are made on the event loop's own thread: nothing may leave before it is durable anyway, and what comes meanwhile
waits in the kernel, which pushes back; with a thread it would only pile up here. A disk that stalls for an election
timeout costs the leadership, as it should.
"""

from __future__ import annotations

import random
import resource
import signal
import time
from collections.abc import Sequence
from pathlib import Path

import anyio
import anyio.abc

from brookreach.coordination import configuration
from brookreach.coordination.clock import now_ms
from brookreach.coordination.errors import ReplicaHaltedError, StorageError
from brookreach.coordination.protocol.limits import DEFAULT_LIMITS
from brookreach.coordination.raft.types import Ready
from brookreach.coordination.server.replica import Replica
from brookreach.coordination.server.transport import LogLine, Transport, describe_first
from brookreach.coordination.state_machine.application import Application
from brookreach.coordination.storage.sqlite import SqliteStorage
from brookreach.files import InvalidFileError

MAX_CLIENT_MESSAGES_PER_SAVE = 512
MAX_READY_ROUNDS = 64  # before the sockets have their turn
MAX_WAIT_S = 1.0
SHUTDOWN_POLLS_PER_HEARTBEAT = 5
FLUSH_S = 0.02  # in which what was said to clients is written before the process ends
SPARE_DESCRIPTORS = 64  # beside those of connections
STORAGE_FILE = "keeper.sqlite"
EXIT_CONFIGURATION = 2
EXIT_HALTED = 3


def open_storage(path: Path, cluster: configuration.ClusterConfiguration, name: str) -> SqliteStorage:
    """Open a replica's storage in the folder that the configuration file names, which is made if need be.

    Raises:
        InvalidFileError: If the file names no such replica.
        StorageError: If the storage can't be opened.
    """
    replica = next((replica for replica in cluster.replicas if replica.name == name), None)
    if replica is None:
        known = ", ".join(replica.name for replica in cluster.replicas)
        raise InvalidFileError([f"{path}: no keeper {name!r}; there are {known}"])
    folder = path.parent / replica.disk
    try:
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    except OSError as error:
        raise StorageError(f"{folder}: {error.strerror}") from error
    return SqliteStorage(folder / STORAGE_FILE, cluster.group.name, name)


class ReplicaProcess:
    """The process of one replica.

    Attributes:
        exit_code: What the process ends with.
    """

    def __init__(self, path: Path, name: str, applications: Sequence[Application], log: LogLine):
        """Read the configuration file and open the storage.

        Raises:
            InvalidFileError: If the file is not usable.
            StorageError: If the storage is not usable, or holds no replica.
        """
        cluster = configuration.read(path)
        key = configuration.read_key(path, cluster)
        self.exit_code = 0
        self._name = name
        self._log = log
        self._storage = open_storage(path, cluster, name)
        stored = self._storage.load()
        if not stored.snapshot.members:
            raise StorageError(
                f"{self._storage.path}: holds no keeper: brookreach fleet found (a new group) or "
                "brookreach fleet join (a new keeper of a group), once"
            )
        rng = random.Random()
        addresses = cluster.addresses()
        cluster_name = cluster.group.name
        self._replica = Replica(name, applications, stored, cluster_name, cluster.times(), rng, tuple(addresses))
        self._transport = Transport(name, cluster_name, key, addresses, log, rng)
        self._logged_leader: tuple[str, bool] = ("", False)  # its name, and whether it is this replica

    async def run(self) -> int:
        """Run to the end; returns the exit code."""
        raft = self._replica.raft
        try:
            async with anyio.create_task_group() as tasks:
                await tasks.start(self._transport.run)
                self._log("keeper", f"{self._name} listens, {len(raft.members)} seats, place {raft.commit_index}")
                tasks.start_soon(self._shut_down_on_signal, tasks.cancel_scope)
                tasks.start_soon(self._run_replica, tasks.cancel_scope)
        except* OSError as errors:
            self._log("keeper", f"ends: {describe_first(errors)}")
            self.exit_code = EXIT_CONFIGURATION
        self._storage.close()
        return self.exit_code

    async def _shut_down_on_signal(self, scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        replica = self._replica
        self._log("keeper", "hands its lead over and ends" if replica.is_leader else "ends")
        if replica.shut_down(now_ms()):
            await self._wait_for_successor()
        self._transport.inbox.arrived.set()
        await anyio.sleep(FLUSH_S)
        scope.cancel()

    async def _wait_for_successor(self) -> None:
        timing = self._replica.timing
        poll_s = timing.heartbeat_ms / SHUTDOWN_POLLS_PER_HEARTBEAT / 1000.0
        with anyio.move_on_after(2.0 * timing.election_timeout_ms / 1000.0):
            while self._replica.is_leader:
                self._transport.inbox.arrived.set()
                await anyio.sleep(poll_s)

    async def _run_replica(self, scope: anyio.CancelScope) -> None:
        try:
            while True:
                self._process_ready()
                wait_s = min(MAX_WAIT_S, (self._replica.next_wakeup_ms() - now_ms()) / 1000.0)
                await self._transport.inbox.wait(wait_s)
                self._process_input()
        except (StorageError, ReplicaHaltedError) as error:
            self._log("keeper", f"ends: {error}")
            self.exit_code = EXIT_HALTED
            scope.cancel()

    def _process_input(self) -> None:
        """Take what came, to be saved as one."""
        replica = self._replica
        transport = self._transport
        wall_ms = int(time.time() * 1000.0)
        while transport.disconnected:
            replica.client_disconnected(transport.disconnected.popleft())
        for source, body in transport.inbox.take(MAX_CLIENT_MESSAGES_PER_SAVE):
            replica.handle_message(now_ms(), wall_ms, source, body)
        replica.tick(now_ms(), wall_ms)
        self._process_ready()

    def _process_ready(self) -> None:
        replica = self._replica
        for _ in range(MAX_READY_ROUNDS):
            if replica.watches.has_pending:
                replica.slow_clients = self._transport.slow_receivers()
            ready = replica.ready()
            if ready == Ready():
                break
            if ready.save is not None:
                self._storage.save(ready.save)
            for target, body in ready.send:
                self._transport.send(target, body)
            replica.advance(now_ms(), ready)
        self._log_leader()

    def _log_leader(self) -> None:
        """Log a change of the leader."""
        replica = self._replica
        leader = replica.raft.leader
        if (leader, replica.is_leader) == self._logged_leader:
            return
        self._logged_leader = (leader, replica.is_leader)
        if replica.is_leader:
            status = "leads"
        elif leader:
            status = f"follows {leader}"
        else:
            status = "hears no leader"
        self._log("keeper", f"{status}, term {replica.raft.term}, place {replica.machine.applied}")


def raise_descriptor_limit() -> None:
    """Allow as many file descriptors as the system lets, up to what connections may take."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = DEFAULT_LIMITS.max_clients + DEFAULT_LIMITS.max_unidentified + SPARE_DESCRIPTORS
    limit = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    if soft != resource.RLIM_INFINITY and soft < limit:
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))


def run_replica(path: Path, name: str, applications: Sequence[Application], log: LogLine) -> int:
    """Run a replica to its end; returns its exit code."""
    try:
        process = ReplicaProcess(path, name, applications, log)
    except InvalidFileError as error:
        log("keeper", f"can't begin: {error}")
        return EXIT_CONFIGURATION
    except (StorageError, ReplicaHaltedError) as error:
        log("keeper", f"ends: {error}")
        return EXIT_HALTED
    raise_descriptor_limit()
    return anyio.run(process.run)

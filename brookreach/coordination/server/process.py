"""One keeper as a process: `brookreach fleet keep`. Its disk, its sockets, its clock, and its end.

It owns the order save, send, apply, and what ends the process: SIGTERM, a disk or a record that can't be
gone on with. It must never go on after a save failed. The save is made on the loop's own thread: nothing of
this keeper may go out before it lasts, and what comes meanwhile waits in the kernel, which pushes back; a
thread would only let it pile up here. A disk that stalls for an election time costs the lead, as it should.
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
from brookreach.coordination.server.transport import Say, Transport, first
from brookreach.coordination.state_machine.application import Application
from brookreach.coordination.storage.sqlite import SqliteStorage
from brookreach.files import BadFile

MOST_HEARD = 512  # messages of clients before what they bring is saved, as one
MOST_ROUNDS = 64  # of ready and taken before the sockets have their turn
MOST_WAIT_S = 1.0
DISK = "keeper.sqlite"
BAD_FILE, ENDED_ITSELF = 2, 3  # exit codes


def open_storage(path: Path, told: configuration.ClusterConfiguration, me: str) -> SqliteStorage:
    """Raises BadFile for a keeper that the file does not name, DiskError for what can't be opened."""
    part = next((one for one in told.replicas if one.name == me), None)
    if part is None:
        raise BadFile([f"{path}: no keeper {me!r}; there are {', '.join(one.name for one in told.replicas)}"])
    folder = path.parent / part.disk
    try:
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    except OSError as error:
        raise StorageError(f"{folder}: {error.strerror}") from None
    return SqliteStorage(folder / DISK, told.group.name, me)


class ReplicaProcess:
    """Raises BadFile and DiskError where it can't begin."""

    def __init__(self, path: Path, me: str, pieces: Sequence[Application], say: Say):
        told = configuration.read(path)
        key = configuration.read_key(path, told)
        self.me, self.say = me, say
        self.disk = open_storage(path, told, me)
        kept = self.disk.load()
        if not kept.snapshot.members:
            raise StorageError(
                f"{self.disk.path}: holds no keeper: brookreach fleet found (a new group) or "
                "brookreach fleet join (a new keeper of a group), once"
            )
        chance, addresses = random.Random(), told.addresses()
        self.keeper = Replica(me, pieces, kept, told.group.name, told.times(), chance, tuple(addresses))
        self.link = Transport(me, told.group.name, key, addresses, say, chance)
        self.stood = ("", False)  # leader and whether it is this one, as it was logged last
        self.code = 0

    async def run(self) -> int:
        """Until its end; the exit code."""
        try:
            async with anyio.create_task_group() as tasks:
                await tasks.start(self.link.run)
                self.say(
                    "keeper",
                    f"{self.me} listens, {len(self.keeper.raft.members)} seats, place {self.keeper.raft.commit_index}",
                )
                tasks.start_soon(self._signals, tasks.cancel_scope)
                tasks.start_soon(self._turns, tasks.cancel_scope)
        except* OSError as group:
            self.say("keeper", f"ends: {first(group)}")
            self.code = BAD_FILE
        self.disk.close()
        return self.code

    async def _signals(self, scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
            leads = self.keeper.is_leader
            self.say("keeper", "hands its lead over and ends" if leads else "ends")
            if self.keeper.shut_down(now_ms()):
                with anyio.move_on_after(2.0 * self.keeper.timing.election_timeout_ms / 1000.0):
                    while self.keeper.is_leader:
                        self.link.inbox.arrived.set()
                        await anyio.sleep(self.keeper.timing.heartbeat_ms / 5000.0)
            self.link.inbox.arrived.set()
            await anyio.sleep(0.02)  # what was said to clients is written
            scope.cancel()

    async def _turns(self, scope: anyio.CancelScope) -> None:
        try:
            while True:
                self._pump()
                wait_s = min(MOST_WAIT_S, (self.keeper.next_wakeup_ms() - now_ms()) / 1000.0)
                await self.link.inbox.wait(wait_s)
                self._turn()
        except (StorageError, ReplicaHaltedError) as error:
            self.say("keeper", f"ends: {error}")
            self.code = ENDED_ITSELF
            scope.cancel()

    def _turn(self) -> None:
        """Whatever came, as one save."""
        keeper, link, wall_ms = self.keeper, self.link, int(time.time() * 1000.0)
        while link.left:
            keeper.client_disconnected(now_ms(), link.left.popleft())
        for source, body in link.inbox.take(MOST_HEARD):
            keeper.handle_message(now_ms(), wall_ms, source, body)
        keeper.tick(now_ms(), wall_ms)
        self._pump()

    def _pump(self) -> None:
        keeper = self.keeper
        for _ in range(MOST_ROUNDS):
            if keeper.watches.waits:
                keeper.slow_clients = self.link.full()
            ready = keeper.ready()
            if ready == Ready():
                break
            if ready.save is not None:
                self.disk.save(ready.save)
            for target, body in ready.send:
                self.link.send(target, body)
            keeper.advance(now_ms(), ready)
        stands = keeper.raft.leader, keeper.is_leader
        if stands != self.stood:
            self.stood = stands
            text = "leads" if keeper.is_leader else f"follows {stands[0]}" if stands[0] else "hears no leader"
            self.say("keeper", f"{text}, term {keeper.raft.term}, place {keeper.machine.applied}")


def room_for_clients() -> None:
    """As many descriptors as the system allows, up to what clients may take."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = DEFAULT_LIMITS.max_clients + DEFAULT_LIMITS.max_unidentified + 64
    most = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    if soft != resource.RLIM_INFINITY and soft < most:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))


def run_replica(path: Path, me: str, pieces: Sequence[Application], say: Say) -> int:
    """One keeper to its end; its exit code."""
    try:
        process = ReplicaProcess(path, me, pieces, say)
    except BadFile as error:
        say("keeper", f"can't begin: {error}")
        return BAD_FILE
    except (StorageError, ReplicaHaltedError) as error:
        say("keeper", f"ends: {error}")
        return ENDED_ITSELF
    room_for_clients()
    return anyio.run(process.run)

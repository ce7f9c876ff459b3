"""One replica without I/O: Raft, the state machine and, while it leads, the service for clients.

It owns the order in which these are asked, and who may be answered: clients only by the leader. It never reads a
clock, a disk or a socket, and sends nothing before it is durable: whoever runs it saves, sends, then calls `advance`.
A `ReplicaHaltedError` raised here ends the replica.

Times are in ms of a clock that never goes back.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Collection, Sequence

from brookreach.coordination.protocol import messages
from brookreach.coordination.raft.node import RaftNode
from brookreach.coordination.raft.types import Ready, StoredState
from brookreach.coordination.server.leader import Leader
from brookreach.coordination.server.replies import ClientReplies
from brookreach.coordination.server.watches import WatchService
from brookreach.coordination.state_machine.application import Application
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.timing import Timing

MAX_WATCH_BYTES_PER_TURN = 512 << 10  # of watch messages handed out at a time, over all clients


class Replica:
    """One replica.

    Attributes:
        raft: The Raft node.
        machine: The state machine.
        watches: The clients' watches.
        leader: The service for clients, while this replica leads.
        slow_clients: Clients that have not yet taken what they were sent; whoever runs the replica sets this.
        rejections: How many messages were ignored because no replica or client may send them, by type.
    """

    def __init__(
        self,
        name: str,
        applications: Sequence[Application],
        stored: StoredState,
        cluster: str,
        timing: Timing,
        rng: random.Random,
        configured_replicas: Sequence[str] = (),
    ):
        """Start from what is stored.

        Args:
            name: The replica's name.
            applications: The applications of the state machine.
            stored: What the storage has loaded.
            cluster: The cluster's name.
            timing: The cluster's timing.
            rng: For election timeouts.
            configured_replicas: The replicas that the configuration names; only these can become members.

        Raises:
            StorageError: If the storage was bootstrapped, and never used, with other members.
        """
        self.name = name
        self.cluster = cluster
        self.timing = timing
        self.raft = RaftNode(name, stored, tuple(configured_replicas), timing, rng)
        self.machine = StateMachine(applications)
        self.watches = WatchService(self.machine)
        self.leader: Leader | None = None
        self.slow_clients: Collection[str] = ()
        self.rejections: Counter[str] = Counter()
        self._configured_replicas = tuple(configured_replicas)
        self._now = -math.inf
        self._replies = ClientReplies()
        self._is_shutting_down = False
        self._snapshot_index = stored.snapshot.index

    @property
    def is_leader(self) -> bool:
        """Whether this replica serves clients."""
        return self.leader is not None

    # --- Events ---

    def handle_message(self, now: float, wall_ms: int, source: str, body: messages.Body) -> None:
        """Take a message; `source` is authenticated by its frame."""
        self._advance_clock(now, wall_ms)
        if isinstance(body, messages.REPLICA_MESSAGES):
            self.raft.handle_message(now, source, body)
            self._update_leadership()
        elif not isinstance(body, messages.CLIENT_MESSAGES):
            self.rejections["not its to say"] += 1
        elif self._is_shutting_down:
            text = f"{self.name} ends"
            self._replies.reject(source, body, "ending", text, leader=self._other_leader())
        elif self.leader is None:
            self._reject_as_follower(source, body)
        else:
            self.leader.handle_message(now, source, body)

    def _reject_as_follower(self, source: str, body: messages.Body) -> None:
        leader = self._other_leader()
        text = f"{self.name} follows {leader or 'nobody yet'}"
        retry_after_ms = 0 if leader else self.timing.heartbeat_ms
        self._replies.reject(source, body, "not leader", text, leader=leader, retry_after_ms=retry_after_ms)

    def client_disconnected(self, source: str) -> None:
        """Take note that a client's connection ended, or was replaced by another."""
        if self.leader is not None:
            self.leader.on_disconnect(source)

    def tick(self, now: float, wall_ms: int) -> None:
        """Do what is due at this time."""
        self._advance_clock(now, wall_ms)
        self.raft.tick(now)
        self._update_leadership()
        if self.leader is not None:
            self.leader.tick(now)

    def next_wakeup_ms(self) -> float:
        """Return when to call `tick` next; a time that is past means at once."""
        if self._replies:
            return self._now
        times = [self.raft.next_wakeup_ms()]
        if self.watches.has_pending:
            times.append(self._now + self.timing.heartbeat_ms if self.slow_clients else self._now)
        leader_wakeup = None if self.leader is None else self.leader.next_wakeup_ms()
        if leader_wakeup is not None:
            times.append(leader_wakeup)
        return min(times)

    def shut_down(self, now: float) -> bool:
        """Hand the leadership over and tell the clients that this replica ends; False: nobody can take it."""
        self._now = max(self._now, now)
        self._is_shutting_down = True
        if self.leader is not None:
            for client in self.leader.connected_clients:
                rejection = messages.RequestRejected(0, "ending", f"{self.name} ends", "", 0)
                self._replies.send(client, rejection)
        return self.raft.transfer_leadership(now)

    # --- Output ---

    def ready(self) -> Ready:
        """Return what to save and to send, for `advance` afterwards; to be called until it is empty."""
        if self.leader is not None:
            self.leader.begin_round(self._now)
        ready = self.raft.ready()
        self._update_leadership()
        ready.send += self._replies.take()
        if self.watches.has_pending:
            ready.send += self.watches.next_messages(MAX_WATCH_BYTES_PER_TURN, self.slow_clients)
        return ready

    def advance(self, now: float, ready: Ready) -> None:
        """Apply what was committed, once `ready` was saved and sent."""
        self._now = max(self._now, now)
        if ready.save is not None:
            self.raft.on_saved(now)
            self._update_leadership()
        if ready.restore is not None:
            self.machine.restore(ready.restore.data)
            self.watches.on_restored()
            self._snapshot_index = self.machine.applied
        for entry in ready.apply:
            self._apply(now, entry)
        if self.leader is not None:
            for read in ready.reads:  # the entries up to `read.index` are applied: they were committed
                self.leader.on_round_confirmed(now, read.ticket)
        self._compact_if_due()

    def _apply(self, now: float, entry: messages.Entry) -> None:
        result = self.machine.apply(entry)
        self.watches.on_applied(result)
        if self.leader is not None:
            self.leader.on_applied(now, entry, result)

    def _compact_if_due(self) -> None:
        if self.machine.applied - self._snapshot_index >= self.timing.snapshot_interval_entries:
            self._snapshot_index = self.machine.applied
            self.raft.compact_log(self._snapshot_index, self.machine.snapshot())

    # --- Leadership ---

    def _advance_clock(self, now: float, wall_ms: int) -> None:
        self._now = max(self._now, now)
        self.raft.wall_ms = wall_ms

    def _other_leader(self) -> str:
        """The leader that clients may turn to, or ""."""
        return "" if self.raft.leader == self.name else self.raft.leader

    def _update_leadership(self) -> None:
        """Begin and end the service for clients with each term that this replica leads."""
        raft = self.raft
        if self.leader is not None and (not raft.is_leader or raft.term != self.leader.term):
            self.leader.on_leadership_lost(self._other_leader())
            self.leader = None
        if raft.is_leader and self.leader is None:
            self.leader = Leader(
                self._now, raft, self.machine, self.watches, self.timing, self._configured_replicas, self._replies
            )

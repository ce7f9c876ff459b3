"""One keeper without I/O: raft, the machine, leases and watches put together.

It owns the order in which they are asked, and who may be answered: clients by the leader alone. It must
never read a clock, a disk or a socket, and never say what is not yet on disk: whoever runs it saves, sends,
then calls `taken`. What raises here (`ReplicaHaltedError`) ends the keeper.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Collection, Sequence

from brookreach.coordination.protocol import messages
from brookreach.coordination.raft.node import RaftNode
from brookreach.coordination.raft.types import Ready, StoredState
from brookreach.coordination.server.leader import Leader, reject
from brookreach.coordination.server.watches import Watches
from brookreach.coordination.state_machine.application import Application
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.timing import Timing

MOST_TOLD = 512 << 10  # bytes of changes handed out at a time, over all clients: they come by turns


class Replica:
    """`keepers` are those that the group's file names; a new disk must be founded with them.

    `held` names clients that have not yet taken what they were told; whoever runs it sets that.
    """

    def __init__(
        self,
        me: str,
        pieces: Sequence[Application],
        kept: StoredState,
        group: str,
        timing: Timing,
        chance: random.Random,
        keepers: Sequence[str] = (),
    ):
        self.me, self.group, self.timing, self.keepers = me, group, timing, tuple(keepers)
        self.raft = RaftNode(me, kept, self.keepers, timing, chance)
        self.machine = StateMachine(pieces)
        self.watches = Watches(self.machine)
        self.leader: Leader | None = None
        self.now = -math.inf
        self.out: list[tuple[str, messages.Body]] = []
        self.slow_clients: Collection[str] = ()
        self.rejections: Counter[str] = Counter()
        self.ending = False
        self.cut_at = kept.snapshot.index  # the last snapshot's place

    # --- what happens ---

    def handle_message(self, now: float, wall_ms: int, source: str, body: messages.Body) -> None:
        """A frame that was opened: `source` is whose seal and connection it came with."""
        self._at(now, wall_ms)
        if isinstance(body, messages.REPLICA_MESSAGES):
            self.raft.handle_message(now, source, body)
            self._led()
        elif not isinstance(body, messages.CLIENT_MESSAGES):
            self.rejections["not its to say"] += 1
        elif self.ending:
            reject(self._say, source, body, "ending", f"{self.me} ends", self._leader())
        elif self.leader is None:
            leader = self._leader()
            text = f"{self.me} follows {leader or 'nobody yet'}"
            reject(self._say, source, body, "not leader", text, leader, 0 if leader else self.timing.heartbeat_ms)
        else:
            self.leader.handle_message(now, source, body)

    def client_disconnected(self, now: float, source: str) -> None:
        """A client's connection ended, or it has come again on another."""
        if self.leader is not None:
            self.leader.client_disconnected(source)

    def tick(self, now: float, wall_ms: int) -> None:
        self._at(now, wall_ms)
        self.raft.tick(now)
        self._led()
        if self.leader is not None:
            self.leader.tick(now)

    def next_wakeup_ms(self) -> float:
        """When to call `passed` again; what is past means at once."""
        if self.out:
            return self.now
        times = [self.raft.next_wakeup_ms()]
        if self.watches.waits:
            times.append(self.now + self.timing.heartbeat_ms if self.slow_clients else self.now)
        if self.leader is not None and (wake := self.leader.next_wakeup_ms()) is not None:
            times.append(wake)
        return min(times)

    def shut_down(self, now: float) -> bool:
        """At SIGTERM: the lead is handed over, clients hear that this one ends. False: nobody can take it."""
        self.now, self.ending = max(self.now, now), True
        if self.leader is not None:
            for source in self.leader.here:
                self._say(source, messages.RequestRejected(0, "ending", f"{self.me} ends", "", 0))
        return self.raft.transfer_leadership(now)

    @property
    def is_leader(self) -> bool:
        return self.leader is not None

    # --- what comes of it ---

    def ready(self) -> Ready:
        """First save, then send, then `taken`; then ask again, until it is empty."""
        if self.leader is not None:
            self.leader.begin_round(self.now)
        ready = self.raft.ready()
        self._led()
        if self.watches.waits:
            self.out += self.watches.out(MOST_TOLD, self.slow_clients)
        ready.send += self.out
        self.out = []
        return ready

    def advance(self, now: float, ready: Ready) -> None:
        """It was saved and sent."""
        self.now = max(self.now, now)
        if ready.save is not None:
            self.raft.on_saved(now)
            self._led()
        if ready.restore is not None:
            self.machine.restore(ready.restore.data)
            self.watches.restored()
            self.cut_at = self.machine.applied
        for entry in ready.apply:
            done = self.machine.apply(entry)
            self.watches.took(done)
            if self.leader is not None:
                self.leader.applied(now, entry, done)
        if self.leader is not None:
            for read in ready.reads:  # their places are applied: they were committed
                self.leader.confirmed(now, read.ticket)
        if self.machine.applied - self.cut_at >= self.timing.snapshot_interval_entries:
            self.cut_at = self.machine.applied
            self.raft.compact_log(self.cut_at, self.machine.snapshot())

    def _at(self, now: float, wall_ms: int) -> None:
        self.now = max(self.now, now)
        self.raft.wall_ms = wall_ms

    def _leader(self) -> str:
        return "" if self.raft.leader == self.me else self.raft.leader

    def _say(self, target: str, body: messages.Body) -> None:
        self.out.append((target, body))

    def _led(self) -> None:
        """A lead begins and ends with raft's, and one term's is not another's."""
        raft = self.raft
        if self.leader is not None and (not raft.is_leader or raft.term != self.leader.term):
            self.leader.over(self._leader())
            self.leader = None
        if raft.is_leader and self.leader is None:
            self.leader = Leader(self.now, raft, self.machine, self.watches, self.timing, self.keepers, self._say)

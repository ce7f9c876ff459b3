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

from brookreach.coordination.ports import Ready, StoredState, Timing
from brookreach.coordination.protocol import messages
from brookreach.coordination.raft.node import RaftNode
from brookreach.coordination.server.leader import Leader, sorry
from brookreach.coordination.server.watches import Watches
from brookreach.coordination.state_machine.application import Application
from brookreach.coordination.state_machine.machine import StateMachine

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
        self.lead: Leader | None = None
        self.now = -math.inf
        self.out: list[tuple[str, messages.Body]] = []
        self.held: Collection[str] = ()
        self.refusals: Counter[str] = Counter()
        self.ending = False
        self.cut_at = kept.index  # the last snapshot's place

    # --- what happens ---

    def hear(self, now: float, wall_ms: int, source: str, body: messages.Body) -> None:
        """A frame that was opened: `source` is whose seal and connection it came with."""
        self._at(now, wall_ms)
        if isinstance(body, messages.REPLICA_MESSAGES):
            self.raft.hear(now, source, body)
            self._led()
        elif not isinstance(body, messages.CLIENT_MESSAGES):
            self.refusals["not its to say"] += 1
        elif self.ending:
            sorry(self._say, source, body, "ending", f"{self.me} ends", self._leader())
        elif self.lead is None:
            leader = self._leader()
            text = f"{self.me} follows {leader or 'nobody yet'}"
            sorry(self._say, source, body, "not leader", text, leader, 0 if leader else self.timing.beat_ms)
        else:
            self.lead.hear(now, source, body)

    def gone(self, now: float, source: str) -> None:
        """A client's connection ended, or it has come again on another."""
        if self.lead is not None:
            self.lead.gone(source)

    def passed(self, now: float, wall_ms: int) -> None:
        self._at(now, wall_ms)
        self.raft.passed(now)
        self._led()
        if self.lead is not None:
            self.lead.passed(now)

    def wake_ms(self) -> float:
        """When to call `passed` again; what is past means at once."""
        if self.out:
            return self.now
        times = [self.raft.wake_ms()]
        if self.watches.waits:
            times.append(self.now + self.timing.beat_ms if self.held else self.now)
        if self.lead is not None and (wake := self.lead.wake_ms()) is not None:
            times.append(wake)
        return min(times)

    def end(self, now: float) -> bool:
        """At SIGTERM: the lead is handed over, clients hear that this one ends. False: nobody can take it."""
        self.now, self.ending = max(self.now, now), True
        if self.lead is not None:
            for source in self.lead.here:
                self._say(source, messages.RequestRejected(0, "ending", f"{self.me} ends", "", 0))
        return self.raft.hand_over(now)

    @property
    def leads(self) -> bool:
        return self.lead is not None

    # --- what comes of it ---

    def ready(self) -> Ready:
        """First save, then send, then `taken`; then ask again, until it is empty."""
        if self.lead is not None:
            self.lead.begin_round(self.now)
        ready = self.raft.ready()
        self._led()
        if self.watches.waits:
            self.out += self.watches.out(MOST_TOLD, self.held)
        ready.send += self.out
        self.out = []
        return ready

    def taken(self, now: float, ready: Ready) -> None:
        """It was saved and sent."""
        self.now = max(self.now, now)
        if ready.save is not None:
            self.raft.saved(now)
            self._led()
        if ready.restore is not None:
            self.machine.restore(ready.restore[1])
            self.watches.restored()
            self.cut_at = self.machine.applied
        for entry in ready.apply:
            done = self.machine.apply(entry)
            self.watches.took(done)
            if self.lead is not None:
                self.lead.applied(now, entry, done)
        if self.lead is not None:
            for ticket, _ in ready.reads:  # their places are applied: they were committed
                self.lead.confirmed(now, ticket)
        if self.machine.applied - self.cut_at >= self.timing.cut_entries:
            self.cut_at = self.machine.applied
            self.raft.cut(self.cut_at, self.machine.snapshot())

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
        if self.lead is not None and (not raft.leads or raft.term != self.lead.term):
            self.lead.over(self._leader())
            self.lead = None
        if raft.leads and self.lead is None:
            self.lead = Leader(self.now, raft, self.machine, self.watches, self.timing, self.keepers, self._say)

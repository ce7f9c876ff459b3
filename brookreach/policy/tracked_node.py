"""A node as this marshal sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brookreach.interface import LogLine, NodeEntry, NodeState, Outcome, PickEnded, SafetyLimits
from brookreach.policy.actor import Actor, WorkQueue
from brookreach.policy.common import slow_start_factor
from brookreach.policy.cusum import failure_step
from brookreach.policy.routed_rpc import RoutedRpc

if TYPE_CHECKING:
    from brookreach.policy.node_registry import NodeRegistry

NODE_FAILURES = (Outcome.NO_CONNECT, Outcome.ERROR, Outcome.RESET)
HEALTHY, FAILING, UNRESPONSIVE = 0, 1, 2  # how sick a node is
SLOW_START_SHARE = 0.4  # of the cold rule


class TrackedNode(Actor):
    """One node as this marshal sees it: its picks, its speed, its health, how cold it may be."""

    def __init__(
        self, due: WorkQueue, desk: NodeRegistry, entry: NodeEntry, guards: SafetyLimits, phase: float, few: bool
    ):
        super().__init__(due)
        self.desk, self.guards, self.phase, self.few = desk, guards, phase, few
        # Log odds: where I see few, one failure must do where failures are rare; else two, or more.
        self.least_ms, self.most_doubt = 4000.0 if few else 500.0, 3.2 if few else 5.0
        self.sent: list[float] = []  # when each pick was that has not ended
        self.renew(entry)

    def renew(self, entry: NodeEntry) -> None:
        self.entry, self.slow = entry, 2.0 if entry.started_ms else 1.0  # a cold node's build may need more
        self.shy_until, self.shy_ms, self.doubt, self.ails = 0.0, 0.0, 0.0, HEALTHY
        self.room, self.room_at, self.tried, self.failed = 0.0, 0.0, 0.0, 0.0  # of the last 20 picks or so

    def listed(self, entry: NodeEntry) -> None:
        if (entry.started_ms, entry.build) != (self.entry.started_ms, self.entry.build):
            self.renew(entry)
        self.entry = entry

    def call(self, now: float, rpc: RoutedRpc, cost: float, typical: float, rate: float) -> None:
        entry, warm = self.entry, slow_start_factor(self.entry, now, self.guards)
        fit = entry.state == NodeState.READY
        if fit and warm < 1.0:
            # A share of what warm nodes carry, from a phase by chance: hundreds must not start at once.
            pace = SLOW_START_SHARE * self.guards.fall_multiple * warm * rate * entry.size
            most = 0.2 * pace * self.guards.fall_ms
            since = pace * (now - self.room_at) if self.room_at else most - self.phase * cost * self.slow
            self.room, self.room_at = min(self.room + since, most), now
            fit = self.room > 0.0
        if not fit:
            return self.desk.send("bid", now, rpc)
        out, since = len(self.sent), now - self.sent[0] if self.few and self.sent else 0.0
        shy = now < self.shy_until or (self.shy_ms > 0.0 and out > 0)
        hangs = since > 0.0 and since > self.desk.long(now, typical, rpc.facts.soft_ms, entry.build)
        # Where I see few, a cold node is held back by weight and room; with a wait it would never win.
        wait = typical * (out if self.few and warm < 1.0 else self.slow * (1 + out) / warm)
        self.desk.send("bid", now, rpc, (entry, self.ails if shy else UNRESPONSIVE if hangs else HEALTHY, wait))

    def took(self, now: float, cost: float) -> None:
        self.sent.append(now)
        self.room -= cost * max(1.0, self.slow)

    def ended(
        self, now: float, event: PickEnded, at: NodeEntry, sent: float, typical: float, long: float, usual: float
    ) -> None:
        entry, ending, slow = self.entry, event.outcome, event.duration_ms > long
        self.sent.remove(sent)
        if (at.started_ms, at.build) != (entry.started_ms, entry.build):
            return  # it tells of what ran here before
        bad = ending in NODE_FAILURES or (slow and (ending == Outcome.TIMEOUT or (ending == Outcome.OK and self.few)))
        # One failure tells of this node only where failures are rare: `usual` is most nodes' share of them.
        self.tried, self.failed = 0.95 * self.tried + 1.0, 0.95 * self.failed + bad
        self.doubt = max(0.0, self.doubt + failure_step(bad, usual, 0.5))
        if ending == Outcome.OK:
            pace = min(20.0, event.duration_ms / typical * slow_start_factor(entry, now, self.guards))
            self.slow += 0.1 * (pace - self.slow)
            if self.shy_ms and now >= self.shy_until and self.doubt < 0.3 * self.most_doubt:
                self.shy_ms = 0.5 * self.shy_ms if self.shy_ms > self.least_ms else 0.0
                if not self.shy_ms:
                    self.desk.acts.append(LogLine(f"node {entry.node} back"))
        if bad and now >= self.shy_until and self.doubt >= self.most_doubt:
            self.doubt = 0.5 * self.most_doubt
            self.shy_ms = min(16.0 * self.least_ms, max(self.least_ms, 2.0 * self.shy_ms))
            self.shy_until, self.ails = now + self.shy_ms, FAILING if ending == Outcome.ERROR else UNRESPONSIVE
            self.desk.acts.append(LogLine(f"node {entry.node} shunned {self.shy_ms:.0f} ms, {ending.name}"))

"""The nodes: each as this marshal sees it, and what their health and the rules leave of them to an RPC."""

from __future__ import annotations

import math
import random
from dataclasses import replace
from typing import Any

from brookreach.charts import BACKWARDS, BEAT_MS, NEVER_RAN, failure_step, on_trial, sees_few, warmth
from brookreach.interface import (
    Action,
    BalancerSettings,
    DedupScope,
    Idempotency,
    ListKind,
    LogLine,
    NodeEntry,
    NodeList,
    NodeState,
    Outcome,
    PickEnded,
    RolloutStatus,
    SafetyLimits,
)
from brookreach.judge import Judge
from brookreach.parts import Due, Part, Ring, Rpc, Side

FAILED = (Outcome.NO_CONNECT, Outcome.ERROR, Outcome.RESET)
WELL, ERRING, SILENT = 0, 1, 2  # how sick a node is
LONG, CARRIED_MS, COLD_PART = 3.0, 4000.0, 0.4  # LONG: of what picks take; the others of the cold rule


def may_have_run(rpc: Rpc) -> list[list[Any]]:
    return [pick for pick in rpc.picks if pick[2] not in NEVER_RAN]


def window_ms(rpc: Rpc, now: float) -> float:
    """How much longer a further pick of a tokened RPC may be written."""
    tokened = rpc.facts.repeat == Idempotency.TOKENED
    return min([sent + rpc.facts.token_ms - now for _, sent, _ in may_have_run(rpc) if tokened] or [math.inf])


def may_go(rpc: Rpc, entry: NodeEntry, now: float, copies: bool) -> bool:
    """Whether the method's kind lets this RPC have a pick at this node now."""
    ran, group = may_have_run(rpc), rpc.facts.group
    if ran and (rpc.facts.repeat == Idempotency.NON_IDEMPOTENT or (rpc.pending() and not copies)):
        return False
    return rpc.facts.repeat == Idempotency.IDEMPOTENT or (
        window_ms(rpc, now) > 0.0
        and all(
            group == DedupScope.ALL or (entry.zone == old.zone and (group == DedupScope.ZONE or entry.cell == old.cell))
            for old, _, _ in ran
        )
    )


class Node(Part):
    """One node as this marshal sees it: its picks, its speed, its health, how cold it may be."""

    def __init__(self, due: Due, desk: Roster, entry: NodeEntry, guards: SafetyLimits, phase: float, few: bool):
        super().__init__(due)
        self.desk, self.guards, self.phase, self.few = desk, guards, phase, few
        # Log odds: where I see few, one failure must do where failures are rare; else two, or more.
        self.least_ms, self.most_doubt = 4000.0 if few else 500.0, 3.2 if few else 5.0
        self.sent: list[float] = []  # when each pick was that has not ended
        self.renew(entry)

    def renew(self, entry: NodeEntry) -> None:
        self.entry, self.slow = entry, 2.0 if entry.started_ms else 1.0  # a cold node's build may need more
        self.shy_until, self.shy_ms, self.doubt, self.ails = 0.0, 0.0, 0.0, WELL
        self.room, self.room_at, self.tried, self.failed = 0.0, 0.0, 0.0, 0.0  # of the last 20 picks or so

    def listed(self, entry: NodeEntry) -> None:
        if (entry.started_ms, entry.build) != (self.entry.started_ms, self.entry.build):
            self.renew(entry)
        self.entry = entry

    def call(self, now: float, rpc: Rpc, cost: float, typical: float, rate: float) -> None:
        entry, warm = self.entry, warmth(self.entry, now, self.guards)
        fit = entry.state == NodeState.READY
        if fit and warm < 1.0:
            # A share of what warm nodes carry, from a phase by chance: hundreds must not start at once.
            pace = COLD_PART * self.guards.fall_multiple * warm * rate * entry.size
            most = 0.2 * pace * self.guards.fall_ms
            since = pace * (now - self.room_at) if self.room_at else most - self.phase * cost * self.slow
            self.room, self.room_at = min(self.room + since, most), now
            fit = self.room > 0.0
        if not fit:
            return self.desk.tell("bid", now, rpc)
        out, since = len(self.sent), now - self.sent[0] if self.few and self.sent else 0.0
        shy = now < self.shy_until or (self.shy_ms > 0.0 and out > 0)
        hangs = since > 0.0 and since > self.desk.long(now, typical, rpc.facts.soft_ms, entry.build)
        # Where I see few, a cold node is held back by weight and room; with a wait it would never win.
        wait = typical * (out if self.few and warm < 1.0 else self.slow * (1 + out) / warm)
        self.desk.tell("bid", now, rpc, (entry, self.ails if shy else SILENT if hangs else WELL, wait))

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
        bad = ending in FAILED or (slow and (ending == Outcome.TIMEOUT or (ending == Outcome.OK and self.few)))
        # One failure tells of this node only where failures are rare: `usual` is most nodes' share of them.
        self.tried, self.failed = 0.95 * self.tried + 1.0, 0.95 * self.failed + bad
        self.doubt = max(0.0, self.doubt + failure_step(bad, usual, 0.5))
        if ending == Outcome.OK:
            pace = min(20.0, event.duration_ms / typical * warmth(entry, now, self.guards))
            self.slow += 0.1 * (pace - self.slow)
            if self.shy_ms and now >= self.shy_until and self.doubt < 0.3 * self.most_doubt:
                self.shy_ms = 0.5 * self.shy_ms if self.shy_ms > self.least_ms else 0.0
                if not self.shy_ms:
                    self.desk.acts.append(LogLine(f"node {entry.node} back"))
        if bad and now >= self.shy_until and self.doubt >= self.most_doubt:
            self.doubt = 0.5 * self.most_doubt
            self.shy_ms = min(16.0 * self.least_ms, max(self.least_ms, 2.0 * self.shy_ms))
            self.shy_until, self.ails = now + self.shy_ms, ERRING if ending == Outcome.ERROR else SILENT
            self.desk.acts.append(LogLine(f"node {entry.node} shunned {self.shy_ms:.0f} ms, {ending.name}"))


class Roster(Part):
    """The nodes as listed; the ready ones by side: each build on trial is one, and all that are not."""

    def __init__(self, due: Due, out: list[Action], start: BalancerSettings, now: float, judge: Judge):
        super().__init__(due)
        self.acts, self.place, self.began, self.judge = out, start.place, now, judge
        self.permits, self.prices, self.guards = start.permits, start.prices, start.guards
        self.chance, self.exposure = random.Random(start.seed), start.exposure
        self.rings = dict[tuple[int, int], Ring]()  # by method and build; build 0: RPCs taken
        self.nodes, self.entries = dict[int, Node](), dict[int, NodeEntry]()
        self.news: RolloutStatus | None = None
        self.field = dict[int, tuple[Side, Side]]()  # by side: the ready nodes, and the near ones again
        self.survey_at, self.warm_size, self.few = now, 0.0, sees_few(start)
        self.drags, self.one_way = dict[int, float](), dict[int, int]()
        self.ends, self.lates = Ring(4000.0, 8), Ring(4000.0, 8)  # picks that ended; those late, or nearly

    def listing(self, now: float, event: NodeList) -> None:
        changed = {entry.node: entry for entry in event.entries}
        if event.kind in (ListKind.FULL, ListKind.CACHED):  # what a complete list leaves out has been removed
            changed = {k: replace(old, state=NodeState.GONE) for k, old in self.entries.items()} | changed
        self.entries |= changed
        for one in changed.values():
            if one.node not in self.nodes:
                self.nodes[one.node] = Node(self.due, self, one, self.guards, self.chance.random(), self.few)
            self.nodes[one.node].tell("listed", one)
        for key in [k for k, e in self.entries.items() if e.state == NodeState.GONE]:
            if not self.nodes[key].sent:  # should it come back, it is a new node
                del self.entries[key], self.nodes[key]
        self.survey_at = now
        self.judge.tell("listed", [e for e in self.entries.values() if e.state == NodeState.READY])

    def told(self, now: float, news: RolloutStatus) -> None:
        low = math.inf if news.phase in BACKWARDS else min([e.build for e in self.entries.values()] or [0])
        self.one_way = {k: build for k, build in self.one_way.items() if build > low}
        self.rings = {key: ring for key, ring in self.rings.items() if not key[1] or key[1] >= news.build}
        self.news, self.survey_at = news, now
        self.drags = {build: drag for build, drag in self.drags.items() if build in (-2, -1, 0, news.build)}

    def late(self, now: float) -> float:
        return self.lates.total(now) / (self.ends.total(now) + 1.0)

    def side(self, build: int) -> int:
        return build if on_trial(self.news, build) else 0

    def long(self, now: float, typical: float, soft_ms: float, build: int) -> float:
        """A wait that tells of one node: far over what picks take beside it now. In a jam all wait."""
        if not self.few:
            return max(0.5 * soft_ms, 4.0 * typical) if self.late(now) < 0.35 else math.inf
        return max(0.5 * soft_ms, LONG * typical * math.exp(self.drags.get(self.side(build), 0.0)))

    def survey(self, now: float) -> None:
        """Sort the ready nodes by side and size; anew after changes and, while any are cold, each beat."""
        if now < self.survey_at or self.news is None:
            return
        able: dict[int, list[tuple[NodeEntry, float]]] = {}
        ready = [entry for entry in self.entries.values() if entry.state == NodeState.READY]
        well = [one for one in ready if not self.few or now >= self.nodes[one.node].shy_until] or ready
        warm = [one for one in well if warmth(one, now - CARRIED_MS, self.guards) >= 1.0]
        self.survey_at = math.inf if len(warm) == len(ready) else now + BEAT_MS
        self.warm_size = sum([one.size for one in warm])
        for entry in well:
            able.setdefault(self.side(entry.build), []).append((entry, warmth(entry, now, self.guards) * entry.size))
        here = self.place.zone if self.prices.cross_zone else None
        self.field = {
            build: (Side(some), Side([one for one in some if one[0].zone == here]))
            for build, some in sorted(able.items())
        }

    def sides(self, now: float, rpc: Rpc) -> list[tuple[Side, Side]]:
        """What the rules leave to this RPC; further picks go to the earlier build while they can."""
        floor = self.one_way.get(rpc.key, 0) if rpc.key else 0
        sides = [both for build, both in self.field.items() if build == 0 or self.exposed(now, rpc, build)]
        if not rpc.picks and not floor:
            return sides
        copies, tried = self.permits.second_copies, {pick[0].node for pick in rpc.picks}
        fit = [
            [e for e in side.entries if e.build >= floor and e.node not in tried and may_go(rpc, e, now, copies)]
            for side, _ in sides
        ]
        narrow = [Side([(e, e.size * warmth(e, now, self.guards)) for e in side]) for side in fit if side]
        return [(side, Side([])) for side in (narrow[:1] if rpc.picks else narrow)]

    def ring(self, method: int, build: int) -> Ring:
        key = method if self.exposure.by_method else 0, build
        return self.rings.setdefault(key, Ring(self.exposure.window_ms))

    def exposed(self, now: float, rpc: Rpc, build: int) -> bool:
        news = self.news
        assert news is not None
        stage, cap = (news.stage, news.cap) if build == news.build else (0, self.exposure.caps[0])
        if stage < self.exposure.closed_stages and rpc.facts.repeat != Idempotency.IDEMPOTENT:
            return False
        free = self.exposure.free if now - self.began > self.exposure.window_ms else 0.0  # spent before
        taken = self.ring(rpc.method, 0).total(now, inner=True)
        return cap > 0.0 and self.ring(rpc.method, build).total(now) + 1.0 <= free + cap * taken

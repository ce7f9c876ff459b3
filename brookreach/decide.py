"""All decisions of a marshal, and nothing else.

One `Marshal` is one life of one instance. Call `begin(now)` once, then `handle(now, event)` for each event in
order of arrival; both return the actions to carry out, in order. `now` is in ms and is the only clock.
Events, actions and start-up facts are defined in `brookreach/interface.py`.

Inside, each node is an actor (`Node`), and so are the desk that places RPCs (`Desk`) and the judge of builds
(`Judge`). They talk only by notes put into inboxes, which the one loop in `Marshal` empties in their order.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import replace
from typing import Any

from brookreach.interface import (
    Abort, Action, Ending, Event, Gate, Group, Guards, ListKind, LogLine, Method, NodeEntry, NodeList,
    NodeState, Phase, Pick, PickEnded, PushBack, Repeat, RolloutNews, RpcGone, RpcTaken, SetTimer, Start,
    TimerRang, Verdict, Vote,
)

Bid = tuple[NodeEntry, int, float, float]  # node, how sick, what it can do, expected wait
BACKWARDS = (Phase.GOING_BACK, Phase.WITHDRAWN)
NEVER_RAN = (Ending.FULL, Ending.NO_CONNECT, Ending.MOOT)
BROKEN = (Ending.ERROR, Ending.TIMEOUT, Ending.RESET)
WELL, ERRING, SILENT = 0, 1, 2  # how sick a node is
FLOOR = 0.02  # of the before-rate
WARM_UP_MS = 3000.0
CARRIED_MS = 4000.0  # over this time a warm node shows what it carries
RPC_END, RPC_COPY, BEAT = 0, 1, 2  # what a timer is for; its token is 4 x RPC + one of these
BEAT_MS = 250.0


class Ring:
    """A sum over a sliding time, in fixed buckets that are used again."""

    def __init__(self, span_ms: float, buckets: int = 40):
        self.width, self.buckets = span_ms / buckets, buckets
        self.sums, self.marks = [0.0] * (buckets + 1), [-1] * (buckets + 1)

    def add(self, now: float, amount: float = 1.0) -> None:
        mark = int(now // self.width)
        at = mark % (self.buckets + 1)
        if self.marks[at] != mark:
            self.marks[at], self.sums[at] = mark, 0.0
        self.sums[at] += amount

    def total(self, now: float, inner: bool = False) -> float:
        """The sum of the span and the rest of its oldest bucket; `inner` leaves that bucket out."""
        oldest = int(now // self.width) - self.buckets + inner
        return sum(s for s, m in zip(self.sums, self.marks, strict=True) if m >= oldest)


Due = deque[Any]  # the loop's order of work: a part, once for each note in its inbox


class Part:
    """An actor; `due` is the loop's order of work."""

    def __init__(self, due: Due):
        self.due = due
        self.inbox: deque[tuple[str, tuple[Any, ...]]] = deque()

    def tell(self, note: str, *args: Any) -> None:
        self.inbox.append((note, args))
        self.due.append(self)


class Rpc:
    """What the desk holds of one RPC; `picks` are [node entry, sent at, ending or None]."""

    __slots__ = ("id", "method", "facts", "soft", "end", "cost", "key", "picks", "done", "bids", "asked")

    def __init__(self, now: float, event: RpcTaken, facts: Method):
        self.id, self.method, self.facts = event.rpc, event.method, facts
        self.cost, self.key = event.cost_ms, event.key
        stretch = facts.soft_stretch * (event.cost_ms or 0.0)
        self.end = event.deadline_ms
        self.soft = min(now + min(facts.soft_ms + stretch, facts.hard_ms), self.end)
        self.picks: list[list[Any]] = []
        self.bids: list[Bid] = []
        self.asked, self.done = 0, False

    def pending(self) -> bool:
        return any(pick[2] is None for pick in self.picks)

    def may_have_run(self) -> list[list[Any]]:
        return [pick for pick in self.picks if pick[2] not in NEVER_RAN]


def may_go(rpc: Rpc, entry: NodeEntry, now: float, copies: bool) -> bool:
    """Whether the method's kind lets this RPC have a pick at this node now; the only place that says so."""
    ran = rpc.may_have_run()
    if not ran:
        return True
    if rpc.facts.repeat == Repeat.NON_IDEMPOTENT or (rpc.pending() and not copies):
        return False
    if rpc.facts.repeat == Repeat.IDEMPOTENT:
        return True
    group, window = rpc.facts.group, rpc.facts.token_ms
    return all(now < sent + window and (group == Group.ALL or (
        entry.zone == old.zone and (group == Group.ZONE or entry.cell == old.cell))) for old, sent, _ in ran)


def may_push_back(rpc: Rpc) -> bool:
    return rpc.facts.repeat == Repeat.IDEMPOTENT or not rpc.may_have_run() or (
        rpc.facts.repeat == Repeat.TOKENED and rpc.facts.group == Group.ALL)


class Node(Part):
    """One node as this marshal sees it: its picks, its speed, its health, how cold it may be."""

    def __init__(self, due: Due, desk: Desk, entry: NodeEntry, guards: Guards):
        super().__init__(due)
        self.desk, self.guards = desk, guards
        self.renew(entry)

    def renew(self, entry: NodeEntry) -> None:
        self.entry = entry
        self.out: dict[tuple[int, int], tuple[float, float]] = {}  # pick: sent at, cost
        # A node that comes cold may run a build that needs more work: twice until its answers tell.
        self.slow = 2.0 if entry.started_ms else 1.0
        self.usual_out, self.bad, self.shy_until, self.shy_ms = 0.0, 0.0, 0.0, 0.0
        self.ails = WELL
        self.limit, self.cut_at, self.heard_at = 8.0, 0.0, 0.0
        self.sent, self.carried = Ring(self.guards.fall_ms, 20), Ring(CARRIED_MS, 16)

    def listed(self, entry: NodeEntry) -> None:
        if (entry.started_ms, entry.build) != (self.entry.started_ms, self.entry.build):
            out = self.out
            self.renew(entry)
            self.out = out
        self.entry = entry

    def warmth(self, now: float) -> float:
        """The share of its capacity that it has at least: it rises evenly at the slowest."""
        age = now - self.entry.started_ms if self.entry.started_ms else math.inf
        return min(1.0, self.guards.cold_share + (1.0 - self.guards.cold_share) * age / self.guards.warm_ms)

    def call(self, now: float, rpc: Rpc, cost: float, typical: float, rate: float) -> None:
        """Answer the desk's call for bids: none when it must not or cannot take this RPC."""
        entry, warm = self.entry, self.warmth(now)
        fit = entry.state == NodeState.READY and len(self.out) < self.limit
        if fit and warm < 1.0:
            # All marshals keep to their share of what warm nodes carry, so that together they stay inside.
            # Work that takes longer here counts for more: a build may need several times the work.
            budget = 0.4 * self.guards.fall_multiple * warm * rate * entry.size * self.guards.fall_ms
            fit = (self.sent.total(now) + cost) * max(1.0, self.slow) <= budget
        if not fit:
            self.desk.tell("bid", now, rpc, None)
            return
        oldest = next(iter(self.out.values()))[0] if self.out else now
        silent = now - max(oldest, self.heard_at) > 3.0 * typical * max(1.0, self.slow) + 200.0
        shy = now < self.shy_until or (self.shy_ms > 0.0 and len(self.out) > 0)
        sick = SILENT if silent else self.ails if shy else WELL
        wait = typical * self.slow * (1 + len(self.out)) / (1 + self.usual_out) / warm
        # What it can do goes by size and warmth: slowness shows in the wait, and a slow build must not hide.
        self.desk.tell("bid", now, rpc, (entry, sick, warm * entry.size, wait))

    def beat(self, now: float) -> None:
        """Tell the desk what a node of this size carries, once it has been warm for all of that time."""
        if self.entry.state == NodeState.READY and self.warmth(now - CARRIED_MS) >= 1.0:
            self.desk.tell("carries", self.carried.total(now, inner=True) / CARRIED_MS / self.entry.size)

    def took(self, now: float, rpc: int, nth: int, cost: float) -> None:
        self.out[rpc, nth] = now, cost
        self.sent.add(now, cost)
        self.usual_out += 0.05 * (len(self.out) - 1 - self.usual_out)

    def ended(self, now: float, event: PickEnded, typical: float, soft_ms: float) -> None:
        ending, (_, cost) = event.ending, self.out.pop((event.rpc, event.nth), (now, 0.0))
        if ending in (Ending.OK, Ending.ERROR, Ending.FULL):
            self.heard_at = now
        if ending == Ending.OK:
            self.slow += 0.1 * (min(20.0, event.took_ms / typical * self.warmth(now)) - self.slow)
            self.carried.add(now, cost)
            self.bad *= 0.8
            if self.shy_ms and now >= self.shy_until and self.bad < 0.2:
                self.desk.tell("log", f"node {self.entry.node} back, bad {self.bad:.2f}")
                self.shy_ms = 0.0
        elif ending in BROKEN or ending == Ending.NO_CONNECT:
            self.bad += 0.2 * (1.0 - self.bad) if ending == Ending.ERROR else 0.4 * (1.0 - self.bad)
            if self.bad > 0.45 and now >= self.shy_until:
                self.shy_ms = min(8000.0, max(500.0, 2.0 * self.shy_ms))
                self.shy_until = now + self.shy_ms
                self.ails = ERRING if ending == Ending.ERROR else SILENT
                self.desk.tell("log", f"node {self.entry.node} shunned {self.shy_ms:.0f} ms, "
                                      f"bad {self.bad:.2f}")
        # My picks at once are bounded so that answers come in half the soft deadline, whatever slows them.
        if event.took_ms < 0.5 * soft_ms and ending == Ending.OK:
            self.limit += (len(self.out) + 2 > self.limit) / self.limit
        elif now - event.took_ms >= self.cut_at and (ending == Ending.FULL or event.took_ms >= 0.5 * soft_ms):
            held = 0.5 if ending == Ending.FULL else max(0.5, 0.5 * soft_ms / event.took_ms)
            self.limit, self.cut_at = max(1.0, min(self.limit, len(self.out) + 1.0) * held), now


class Ledger:
    """Exposure: picks at builds on trial against RPCs taken, per method where that is told."""

    def __init__(self, window_ms: float, by_method: bool):
        self.window_ms, self.by_method = window_ms, by_method
        self.rings: dict[tuple[int, int], Ring] = {}  # by method and build; build 0: RPCs taken

    def ring(self, method: int, build: int) -> Ring:
        return self.rings.setdefault((method if self.by_method else 0, build), Ring(self.window_ms))

    def room(self, now: float, method: int, build: int, cap: float, free: float) -> bool:
        taken = self.ring(method, 0).total(now, inner=True)
        return cap > 0.0 and self.ring(method, build).total(now) + 1.0 <= free + cap * taken


class Desk(Part):
    """Places RPCs: calls for bids, picks by two random choices, sends again, pushes back, aborts."""

    def __init__(self, due: Due, out: list[Action], start: Start, now: float, judge: Judge):
        super().__init__(due)
        self.acts, self.methods, self.place = out, start.methods, start.place
        self.permits, self.prices, self.guards = start.permits, start.prices, start.guards
        self.chance = random.Random(start.seed)
        self.ledger = Ledger(start.exposure.window_ms, start.exposure.by_method)
        self.exposure, self.began = start.exposure, now
        self.judge = judge
        self.nodes: dict[int, Node] = {}
        self.rpcs: dict[int, Rpc] = {}
        self.held: deque[Rpc] = deque()  # no node could take them yet
        self.asking: deque[Rpc] = deque()  # waiting for their call for bids
        self.busy = False
        self.news: RolloutNews | None = None
        # A method's usual answer time, and the usual hint of its cost by which one RPC's is scaled.
        self.usual_ms = [m.soft_ms / 5.0 for m in start.methods]
        self.usual_cost: list[float | None] = [None] * len(start.methods)
        self.entries: dict[int, NodeEntry] = {}
        self.rate = 0.0  # what warm nodes carry: cost a ms and unit of size
        self.copies, self.taken = Ring(5000.0, 10), Ring(5000.0, 10)
        self.one_way: dict[int, int] = {}

    def log(self, text: str) -> None:
        self.acts.append(LogLine(text))

    def listing(self, now: float, event: NodeList) -> None:
        if event.kind == ListKind.FAILED:
            return
        if event.kind != ListKind.DELTA:  # what a complete list leaves out has been removed
            self.entries = {key: replace(old, state=NodeState.GONE) for key, old in self.entries.items()}
        self.entries.update((entry.node, entry) for entry in event.entries)
        for key, entry in self.entries.items():
            if key in self.nodes:
                self.nodes[key].tell("listed", entry)
            else:
                self.nodes[key] = Node(self.due, self, entry, self.guards)
        self.judge.tell("listed", [e for e in self.entries.values() if e.state == NodeState.READY])
        self.retry_held(now)

    def told(self, now: float, news: RolloutNews) -> None:
        if news.phase in BACKWARDS:
            self.one_way.clear()
        self.news = news
        self.retry_held(now)

    def taken_in(self, now: float, event: RpcTaken) -> None:
        rpc = self.rpcs[event.rpc] = Rpc(now, event, self.methods[event.method])
        self.ledger.ring(rpc.method, 0).add(now)
        self.taken.add(now)
        if rpc.cost:
            usual = self.usual_cost[rpc.method] or rpc.cost
            self.usual_cost[rpc.method] = usual + 0.02 * (rpc.cost - usual)
        self.acts.append(SetTimer(max(0.0, rpc.end - now - 6.0), 4 * rpc.id + RPC_END))
        self.call(now, rpc)

    def typical(self, rpc: Rpc) -> float:
        usual = self.usual_cost[rpc.method]
        return self.usual_ms[rpc.method] * (rpc.cost / usual if rpc.cost and usual else 1.0)

    def call(self, now: float, rpc: Rpc) -> None:
        """Ask every node for a bid; the last answer decides. One call at a time: bids are never stale."""
        self.asking.append(rpc)
        self.tell("ask", now)

    def ask(self, now: float) -> None:
        if self.busy or not self.asking:
            return
        self.busy, rpc = True, self.asking.popleft()
        rpc.bids, rpc.asked = [], len(self.nodes)
        typical, cost = self.typical(rpc), rpc.cost or self.usual_ms[rpc.method]
        for node in self.nodes.values():
            node.tell("call", now, rpc, cost, typical, self.rate)
        if not self.nodes:
            self.tell("chosen", now, rpc)

    def bid(self, now: float, rpc: Rpc, offer: Bid | None) -> None:
        rpc.asked -= 1
        if offer:
            rpc.bids.append(offer)
        if rpc.asked == 0:
            self.tell("chosen", now, rpc)

    def chosen(self, now: float, rpc: Rpc) -> None:
        self.busy = False
        if self.news is None or not rpc.bids:
            self.hold(now, rpc)
        elif not rpc.done:
            self.choose(now, rpc)
        self.tell("ask", now)  # behind the note of this pick to its node

    def on_trial(self, build: int) -> bool:
        news = self.news
        assert news is not None  # nothing is placed before the first news
        return build > news.build or (build == news.build and news.phase != Phase.RELEASED)

    def exposed(self, now: float, rpc: Rpc, build: int) -> bool:
        """Whether the exposure rule lets this RPC go to this build on trial now."""
        news = self.news
        assert news is not None
        stage, cap = news.stage, news.cap
        if build > news.build:
            stage, cap = 0, self.exposure.caps[0]
        if stage < self.exposure.closed_stages and rpc.facts.repeat != Repeat.IDEMPOTENT:
            return False
        # A life that has just begun can't know what the one before it sent: its free picks count as spent.
        free = self.exposure.free if now - self.began > self.exposure.window_ms else 0.0
        return self.ledger.room(now, rpc.method, build, cap, free)

    def choose(self, now: float, rpc: Rpc) -> None:
        floor = self.one_way.get(rpc.key, 0) if self.exposure.one_way and rpc.key else 0
        copies = self.permits.second_copies
        bids = [b for b in rpc.bids if b[0].build >= floor and may_go(rpc, b[0], now, copies)]
        tried = {pick[0].node for pick in rpc.picks}
        bids = [b for b in bids if b[0].node not in tried] or bids
        trial = [b for b in bids if self.on_trial(b[0].build)]
        earlier = [b for b in bids if not self.on_trial(b[0].build)]
        allowed = {build for build in sorted({b[0].build for b in trial}) if self.exposed(now, rpc, build)}
        trial = [b for b in trial if b[0].build in allowed]
        # A build on trial that errs keeps its picks, or it would starve the charts that are to judge it; the
        # exposure cap bounds the harm. A node that does not answer loses them on either side.
        well = [[b for b in side if b[1] < worst] for side, worst in ((trial, SILENT), (earlier, ERRING))]
        if 2 * (len(well[0]) + len(well[1])) >= len(trial) + len(earlier):
            trial, earlier = (well[0], well[1]) if well[0] or well[1] else (trial, earlier)
        if rpc.picks and earlier:
            trial = []  # further picks go to the earlier build
        if not trial and not earlier:
            self.hold(now, rpc)
            return
        mass = sum(b[2] for b in trial)
        side = trial if self.chance.random() * (mass + sum(b[2] for b in earlier)) < mass else earlier
        self.send(now, rpc, self.two_choices(side or trial or earlier))

    def two_choices(self, side: list[Bid]) -> NodeEntry:
        """Two random choices, by what each can do; near ones too where crossing zones is priced."""
        drawn = self.chance.choices(side, weights=[b[2] for b in side], k=2)
        near = [b for b in side if b[0].zone == self.place.zone]
        if near and self.prices.cross_zone:
            drawn += self.chance.choices(near, weights=[b[2] for b in near], k=2)
        far = 1.0 + 8.0 * self.prices.cross_zone
        return min(drawn, key=lambda b: (b[3] * (1.0 if b[0].zone == self.place.zone else far), b[0].node))[0]

    def send(self, now: float, rpc: Rpc, entry: NodeEntry) -> None:
        nth, cost = len(rpc.picks), rpc.cost or self.usual_ms[rpc.method]
        rpc.picks.append([entry, now, None])
        if self.on_trial(entry.build):
            self.ledger.ring(rpc.method, entry.build).add(now)
        self.nodes[entry.node].tell("took", now, rpc.id, nth, cost)
        self.acts.append(Pick(rpc.id, entry.node, rpc.end - now - 5.0))
        self.tell("retry_held", now)
        if nth == 0 and self.permits.second_copies and rpc.facts.repeat == Repeat.IDEMPOTENT:
            wait = max(3.0 * self.typical(rpc), 0.25 * rpc.facts.soft_ms)
            self.acts.append(SetTimer(wait, 4 * rpc.id + RPC_COPY))

    def hold(self, now: float, rpc: Rpc) -> None:
        """No node can take it now: keep it while it can still be answered in time, else say so at once."""
        if rpc.pending() or rpc.done:
            return
        if now + 0.4 * rpc.facts.soft_ms > rpc.soft or len(rpc.picks) >= self.permits.max_picks:
            self.give_up(now, rpc)
        elif rpc not in self.held:
            self.held.append(rpc)

    def retry_held(self, now: float) -> None:
        """Try one that waits; each that finds a node brings on the next: a long queue costs little."""
        while self.held and self.held[0].done:
            self.held.popleft()
        if self.held:
            self.call(now, self.held.popleft())

    def give_up(self, now: float, rpc: Rpc) -> None:
        if may_push_back(rpc):
            stay = min(self.permits.come_back_ms, 500.0) if self.permits.come_back else 0.0
            self.acts.append(PushBack(rpc.id, stay))
        else:
            self.acts.append(Abort(rpc.id))
        self.finish(rpc)

    def finish(self, rpc: Rpc) -> None:
        rpc.done = True
        if not rpc.pending():
            self.rpcs.pop(rpc.id, None)

    def rang(self, now: float, rpc_id: int, what: int) -> None:
        rpc = self.rpcs.get(rpc_id)
        if rpc is None or rpc.done:
            return
        if what == RPC_END:
            self.give_up(now, rpc)
        elif (rpc.pending() and len(rpc.picks) == 1
              and self.copies.total(now) < 1.0 + 0.1 * self.taken.total(now)):
            self.copies.add(now)
            self.call(now, rpc)

    def gone(self, now: float, event: RpcGone) -> None:
        if event.rpc in self.rpcs:
            self.finish(self.rpcs[event.rpc])

    def ended(self, now: float, event: PickEnded) -> None:
        rpc = self.rpcs.get(event.rpc)
        if rpc is None or event.nth >= len(rpc.picks):
            return
        pick = rpc.picks[event.nth]
        pick[2] = event.ending
        entry = pick[0]
        self.nodes[entry.node].tell("ended", now, event, self.typical(rpc), rpc.facts.soft_ms)
        if event.ending == Ending.OK:
            work = min(event.took_ms, 0.5 * rpc.facts.soft_ms)  # queues are no work
            self.usual_ms[rpc.method] += 0.02 * (work - self.usual_ms[rpc.method])
            if self.exposure.one_way and rpc.key and self.on_trial(entry.build):
                self.one_way[rpc.key] = max(entry.build, self.one_way.get(rpc.key, 0))
        self.judge.tell("outcome", now, entry, rpc.method, pick[1], event.ending, event.took_ms,
                        rpc.cost or 1.0)
        if event.final or rpc.done:
            rpc.done = True
            self.finish(rpc)
        elif not rpc.pending():
            again = now < rpc.end - 10.0 and len(rpc.picks) < self.permits.max_picks
            if again and may_go(rpc, entry, now, self.permits.second_copies):
                self.call(now, rpc)
            else:
                self.give_up(now, rpc)
        self.retry_held(now)

    def carries(self, rate: float) -> None:
        self.rate += 0.02 * (rate - self.rate) if self.rate else rate

    def beat(self, now: float) -> None:
        for node in self.nodes.values():
            node.tell("beat", now)
        for rpc in [one for one in self.held if now + 0.4 * one.facts.soft_ms > one.soft and not one.done]:
            self.give_up(now, rpc)
        self.retry_held(now)


class Chart:
    """One stream's CUSUM: it starts at 0 and never falls below. No node alone may carry it far: what one node
    has added since the chart last stood at 0 ends at `most`."""

    def __init__(self) -> None:
        self.level, self.count, self.up = 0.0, 0, 0
        self.added: dict[int, float] = {}

    def step(self, size: float, node: int, most: float) -> None:
        if size > 0.0:
            size = max(0.0, min(size, most - self.added.get(node, 0.0)))
            self.added[node] = self.added.get(node, 0.0) + size
        self.level = max(0.0, self.level + size)
        if self.level == 0.0:
            self.added.clear()
        self.count, self.up = self.count + 1, self.up + (size > 0.0)


def failure_step(failure: bool, before: float, rise: float) -> float:
    """The log likelihood ratio of one outcome, after-rate to before-rate."""
    before = min(before, 0.95 - rise)  # with nearly all failing on both builds, still two different rates
    after = before + rise
    return math.log(after / before) if failure else math.log((1.0 - after) / (1.0 - before))


def speed_step(over: float, spread: float, shift: float) -> float:
    """The same for the log of an answer's time over the earlier build's, a normal mean shifted by `shift`; a
    single answer counts no more than an error would."""
    return max(-2.0, min(2.0, shift / spread ** 2 * (over - 0.5 * shift)))


class Judge(Part):
    """The multichart CUSUM and this marshal's vote."""

    def __init__(self, due: Due, out: list[Action], start: Start):
        super().__init__(due)
        self.acts, self.voting, self.methods = out, start.voting, start.methods
        self.marshals, self.shares, self.places = start.place.marshals, start.rollout.stage_shares, 0
        self.ready: list[NodeEntry] = []
        weight = 0.5 / len(start.methods)  # two charts a method: failures and speed
        self.threshold = math.log(100_000.0) + math.log(max(1, start.place.marshals)) - math.log(weight)
        self.before = [[Ring(20_000.0, 20) for _ in range(4)] for _ in start.methods]
        self.charts: dict[tuple[int, str], Chart] = {}
        self.news: RolloutNews | None = None
        self.crossed: int | None = None
        self.cast: tuple[Verdict, int, int] | None = None
        self.seen, self.stage_at = 0, 0.0
        self.cast_at, self.sure, self.retry_at, self.tries = 0.0, False, 0.0, 0

    def outcome(self, now: float, entry: NodeEntry, method: int, sent: float, ending: Ending, took: float,
                unit: float) -> None:
        news, late = self.news, took > self.methods[method].soft_ms
        if news is None or entry.build > news.build or ending in NEVER_RAN or (
                ending in (Ending.CANCELLED, Ending.TIMEOUT) and not late):
            return  # the build did not see it, or it was cut shorter than the soft deadline
        failure, pace = late or ending != Ending.OK, math.log(max(1.0, took) / unit)
        count, failed, paces, squares = (ring.total(now) for ring in self.before[method])
        if entry.build < news.build:
            for ring, amount in zip(self.before[method], (1.0, failure, pace, pace * pace), strict=True):
                ring.add(now, amount)
            return
        if news.phase in BACKWARDS or (news.phase == Phase.RELEASED and count < 20):
            return  # decided, or nothing left to compare with
        cold = entry.started_ms > 0.0 and sent < entry.started_ms + WARM_UP_MS
        self.seen += 1
        # My failure share on the earlier build is the before-rate, floored; below 20 outcomes the floor.
        if not (late and cold):  # a cold node is slow whatever its build; errors count at once
            before = max(FLOOR, failed / count) if count >= 20 else FLOOR
            self.step(now, entry, method, "failures", failure_step(failure, before, 0.15), before)
        if not cold and count >= 20 and (ending == Ending.OK or late):
            mean = paces / count
            spread = max(0.4, math.sqrt(max(0.0, squares / count - mean * mean)))
            self.step(now, entry, method, "speed", speed_step(pace - mean, spread, 0.6), mean)

    def step(self, now: float, entry: NodeEntry, method: int, stream: str, size: float,
             before: float) -> None:
        news, chart = self.news, self.charts.setdefault((method, stream), Chart())
        # One bad node is not a bad build: of several trial nodes, two thirds must speak against it; where
        # they are many, a few, since this marshal may see little of each.
        peers = sum(one.build == entry.build for one in self.ready)
        chart.step(size, entry.node, max(3.2, 1.5 * self.threshold / max(1, peers)))
        if news and chart.level >= self.threshold and self.crossed is None:
            self.crossed = news.build
            self.acts.append(LogLine(f"back {news.build}: method {method} {stream} {chart.level:.1f} of "
                                     f"{self.threshold:.1f}, {chart.up} up of {chart.count}, "
                                     f"before {before:.3f}"))
            self.decide(now)

    def listed(self, ready: list[NodeEntry]) -> None:
        self.ready = ready
        if self.news is None or self.news.phase == Phase.RELEASED:
            self.places = len(ready)

    def told(self, now: float, news: RolloutNews) -> None:
        old = self.news
        if old is None or news.build != old.build:
            if old is not None and old.phase == Phase.RELEASED:
                self.before = [[Ring(20_000.0, 20) for _ in range(4)] for _ in self.methods]
            self.charts, self.crossed = {}, None
        if old is None or (news.build, news.stage, news.phase) != (old.build, old.stage, old.phase):
            self.seen, self.stage_at, self.cast = 0, now - news.age_ms, None
            self.acts.append(LogLine(
                f"build {news.build} stage {news.stage} {news.phase.name} cap {news.cap:.3f}"))
        self.news = news
        self.decide(now)

    def reply(self, now: float, ending: Ending) -> None:
        if ending == Ending.OK:
            self.sure, self.tries = True, 0
        elif ending == Ending.MOOT:
            self.cast = None
            self.retry_at = now + 500.0
        else:
            # Each marshal keeps to its share of the votes that are taken, and waits longer each time.
            self.tries = min(5, self.tries + 1)
            pace = 1000.0 * self.marshals / max(0.1, self.voting.votes_per_s)
            self.sure, self.retry_at = False, now + max(2.0 * pace, 150.0 * 2 ** self.tries)

    def wanted(self, now: float, news: RolloutNews) -> Verdict:
        voting = self.voting
        if self.crossed == news.build and news.phase in (Phase.ON_TRIAL, Phase.RELEASED):
            return Verdict.BACK
        if news.phase != Phase.ON_TRIAL:
            return Verdict.NONE
        doubt = any(c.level > 0.5 * self.threshold for c in self.charts.values())
        if voting.gate == Gate.CLOCK:
            return Verdict.HOLD if doubt else Verdict.NONE
        starts = [entry.started_ms for entry in self.ready if entry.build == news.build]
        if not starts or doubt or now < max(starts) + WARM_UP_MS + BEAT_MS:  # a beat for late clocks
            return Verdict.NONE
        awaited = math.ceil(self.shares[news.stage] * self.places - 0.01)
        if len(starts) < awaited and now < self.stage_at + 10_000.0:
            return Verdict.NONE  # machines of this stage are still to come
        return Verdict.ON if self.seen >= 20 or now >= max(starts) + 4000.0 else Verdict.NONE

    def decide(self, now: float) -> None:
        news = self.news
        if news is None or now < self.retry_at:
            return
        want = self.wanted(now, news)
        key = want, news.stage, news.build
        if want == Verdict.NONE:
            return
        waited = now - self.cast_at
        if key == self.cast and waited < (0.5 * self.voting.vote_ms if self.sure else self.voting.answer_ms):
            return
        if key != self.cast:
            self.acts.append(LogLine(
                f"vote {want.name} build {news.build} stage {news.stage} after {self.seen}"))
        self.cast, self.cast_at, self.sure = key, now, False
        self.acts.append(Vote(want, news.stage, news.build))


class Marshal:
    """One life of one instance: the loop that empties the inboxes."""

    def __init__(self, start: Start):
        self.start = start
        self.acts: list[Action] = []
        self.due: Due = deque()

    def begin(self, now: float) -> list[Action]:
        self.judge = Judge(self.due, self.acts, self.start)
        self.desk = Desk(self.due, self.acts, self.start, now, self.judge)
        self.acts.append(SetTimer(BEAT_MS, BEAT))
        return self.flush()

    def flush(self) -> list[Action]:
        while self.due:
            part = self.due.popleft()
            note, args = part.inbox.popleft()
            getattr(part, note)(*args)
        out = self.acts[:]
        self.acts.clear()
        return out

    def handle(self, now: float, event: Event) -> list[Action]:
        desk, judge = self.desk, self.judge
        match event:
            case RpcTaken():
                desk.tell("taken_in", now, event)
            case PickEnded():
                desk.tell("ended", now, event)
            case TimerRang(token=token):
                if token % 4 == BEAT:
                    desk.tell("beat", now)
                    judge.tell("decide", now)
                    self.acts.append(SetTimer(BEAT_MS, BEAT))
                else:
                    desk.tell("rang", now, token // 4, token % 4)
            case RpcGone():
                desk.tell("gone", now, event)
            case NodeList():
                desk.tell("listing", now, event)
            case RolloutNews():
                if event.reply:
                    judge.tell("reply", now, event.ending)
                if event.ending == Ending.OK:
                    desk.tell("told", now, event)
                    judge.tell("told", now, event)
        return self.flush()

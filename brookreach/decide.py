"""All decisions of a marshal, and nothing else.

One `Marshal` is one life of one instance. Call `begin(now)` once, then `handle(now, event)` for each event in
the order of arrival; both return the actions to carry out, in order. `now` is in ms and is the only clock. The
events, the actions and the start-up facts are defined in `brookreach/interface.py`.

Inside, each node is an actor (`Node`), and so are the desk that places RPCs (`Desk`) and the judge of builds
(`Judge`). They talk only by notes put into inboxes, which the one loop in `Marshal` empties in order of arrival.
"""

from __future__ import annotations

import math
import random
from collections import deque

from brookreach.interface import (
    Abort, Disputed, Ending, Gate, Group, ListKind, Load, LogLine, NodeList, NodeState, Phase, Pick, PickEnded,
    ProbeEnded, PushBack, Repeat, RolloutNews, RpcGone, RpcTaken, SetTimer, StreamBegun, Tally, TimerRang, Verdict,
    Vote,
)

NEVER_RAN = (Ending.FULL, Ending.NO_CONNECT, Ending.MOOT)
BROKEN = (Ending.ERROR, Ending.TIMEOUT, Ending.RESET)
RPC_END, RPC_COPY, BEAT = 0, 1, 2  # what a timer is for; its token is 4 x RPC + one of these
BEAT_MS = 250.0


class Ring:
    """A sum over a sliding time, in fixed buckets that are used again."""

    def __init__(self, span_ms, buckets=40):
        self.width, self.buckets = span_ms / buckets, buckets
        self.sums, self.marks = [0.0] * (buckets + 1), [-1] * (buckets + 1)

    def add(self, now, amount=1.0):
        mark = int(now // self.width)
        at = mark % (self.buckets + 1)
        if self.marks[at] != mark:
            self.marks[at], self.sums[at] = mark, 0.0
        self.sums[at] += amount

    def total(self, now, inner=False):
        """The sum of the span and the rest of its oldest bucket; `inner` leaves that bucket out."""
        oldest = int(now // self.width) - self.buckets + inner
        return sum(s for s, m in zip(self.sums, self.marks, strict=True) if m >= oldest)


class Part:
    """An actor; `due` is the loop's order of work."""

    def __init__(self, due):
        self.inbox, self.due = deque(), due

    def tell(self, note, *args):
        self.inbox.append((note, args))
        self.due.append(self)


class Rpc:
    """What the desk holds of one RPC; `picks` are [node entry, sent at, ending or None]."""

    __slots__ = ("id", "method", "facts", "taken", "soft", "end", "cost", "key", "tenant", "picks", "done", "bids",
                 "asked", "copied")

    def __init__(self, now, event, facts):
        self.id, self.method, self.facts, self.taken = event.rpc, event.method, facts, now
        self.cost, self.key, self.tenant = event.cost_ms, event.key, event.tenant
        stretch = facts.soft_stretch * (event.cost_ms or 0.0)
        self.end = event.deadline_ms
        self.soft = min(now + min(facts.soft_ms + stretch, facts.hard_ms), self.end)
        self.picks, self.done, self.bids, self.asked, self.copied = [], False, [], 0, False

    def pending(self):
        return any(pick[2] is None for pick in self.picks)

    def may_have_run(self):
        return [pick for pick in self.picks if pick[2] not in NEVER_RAN]


def may_go(rpc, entry, now, copies):
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


def may_push_back(rpc):
    return rpc.facts.repeat == Repeat.IDEMPOTENT or not rpc.may_have_run() or (
        rpc.facts.repeat == Repeat.TOKENED and rpc.facts.group == Group.ALL)


class Node(Part):
    """One node as this marshal sees it: its picks, its speed, its health, how cold it may be."""

    def __init__(self, due, desk, entry, guards):
        super().__init__(due)
        self.desk, self.guards = desk, guards
        self.renew(entry)

    def renew(self, entry):
        self.entry, self.out = entry, {}
        self.slow, self.usual_out, self.bad, self.shy_until, self.shy_ms = 1.0, 0.0, 0.0, 0.0, 0.0
        self.limit, self.cut_at, self.heard_at = 16.0, 0.0, 0.0
        self.sent = Ring(self.guards.fall_ms, 20)

    def listed(self, entry):
        if (entry.started_ms, entry.build) != (self.entry.started_ms, self.entry.build):
            out = self.out
            self.renew(entry)
            self.out = out
        self.entry = entry

    def warmth(self, now):
        """The share of its capacity that it has at least: it rises evenly at the slowest."""
        age = now - self.entry.started_ms if self.entry.started_ms else math.inf
        return min(1.0, self.guards.cold_share + (1.0 - self.guards.cold_share) * age / self.guards.warm_ms)

    def call(self, now, rpc, cost, typical, rate):
        """Answer the desk's call for bids: none when it must not or cannot take this RPC."""
        entry, warm = self.entry, self.warmth(now)
        fit = entry.state == NodeState.READY and len(self.out) < self.limit
        if fit and warm < 1.0:
            # All marshals keep to their share of what warm nodes carry, so that together they stay inside.
            budget = 0.55 * self.guards.fall_multiple * warm * rate * entry.size * self.guards.fall_ms
            fit = self.sent.total(now) + cost <= budget
        if not fit:
            self.desk.tell("bid", now, rpc, None)
            return
        oldest = next(iter(self.out.values()))[0] if self.out else now
        silent = now - max(oldest, self.heard_at) > 3.0 * typical * max(1.0, self.slow) + 200.0
        sick = silent or now < self.shy_until or (self.shy_ms > 0.0 and len(self.out) > 0)
        wait = typical * self.slow * (1 + len(self.out)) / (1 + self.usual_out) / warm
        self.desk.tell("bid", now, rpc, (entry, sick, warm * entry.size / max(0.3, self.slow), wait))

    def took(self, now, rpc, nth, cost):
        self.out[rpc, nth] = now, cost
        self.sent.add(now, cost)
        self.usual_out += 0.05 * (len(self.out) - 1 - self.usual_out)

    def ended(self, now, event, typical, soft_ms):
        self.out.pop((event.rpc, event.nth), None)
        ending, late = event.ending, event.took_ms > soft_ms
        if ending in (Ending.OK, Ending.ERROR, Ending.FULL):
            self.heard_at = now
        if ending == Ending.OK:
            self.slow += 0.1 * (min(20.0, event.took_ms / typical) - self.slow)
            if self.shy_ms and now >= self.shy_until:
                self.desk.tell("log", f"node {self.entry.node} back after {self.shy_ms:.0f} ms")
                self.shy_ms = 0.0
            self.bad *= 0.8
            if event.took_ms < 0.6 * soft_ms and len(self.out) + 2 > self.limit:
                self.limit += 1.0 / self.limit
        elif ending in BROKEN or ending == Ending.NO_CONNECT:
            self.bad += 0.2 * (1.0 - self.bad) if ending == Ending.ERROR else 0.4 * (1.0 - self.bad)
            if self.bad > 0.45 and now >= self.shy_until:
                self.shy_ms = min(8000.0, max(500.0, 2.0 * self.shy_ms))
                self.shy_until = now + self.shy_ms
                self.desk.tell("log", f"node {self.entry.node} shunned {self.shy_ms:.0f} ms, bad {self.bad:.2f}")
        if (late or ending in (Ending.TIMEOUT, Ending.FULL)) and now > self.cut_at:
            self.limit, self.cut_at = max(2.0, min(self.limit, len(self.out) + 1) * 0.85), now + 500.0


class Ledger:
    """Exposure: picks at builds on trial against RPCs taken, per method where that is told."""

    def __init__(self, exposure, methods):
        self.exposure = exposure
        count = methods if exposure.by_method else 1
        self.taken = [Ring(exposure.window_ms) for _ in range(count)]
        self.picked = [{} for _ in range(count)]

    def row(self, method):
        return method if self.exposure.by_method else 0

    def room(self, now, method, build, cap, free):
        row = self.row(method)
        if cap <= 0.0:
            return False
        used = self.picked[row][build].total(now) if build in self.picked[row] else 0.0
        return used + 1.0 <= free + cap * self.taken[row].total(now, inner=True)

    def pick(self, now, method, build):
        picked = self.picked[self.row(method)]
        if build not in picked:
            picked[build] = Ring(self.exposure.window_ms)
        picked[build].add(now)


class Desk(Part):
    """Places RPCs: calls for bids, picks by two random choices, sends again, pushes back, aborts."""

    def __init__(self, due, out, start, now):
        super().__init__(due)
        self.acts, self.methods, self.place = out, start.methods, start.place
        self.permits, self.prices, self.guards = start.permits, start.prices, start.guards
        self.chance = random.Random(start.seed)
        self.ledger = Ledger(start.exposure, len(start.methods))
        self.exposure, self.began = start.exposure, now
        self.nodes, self.rpcs, self.held, self.news, self.judge = {}, {}, deque(), None, None
        self.per_unit = [m.soft_ms / 5.0 for m in start.methods]  # typical answer time, for each unit of hinted cost
        self.units = [1.0] * len(start.methods)
        self.carried, self.rate = Ring(4000.0, 16), 0.0
        self.copies, self.taken = Ring(5000.0, 10), Ring(5000.0, 10)
        self.one_way = {}

    def log(self, text):
        self.acts.append(LogLine(text))

    def listing(self, now, event):
        if event.kind == ListKind.FAILED:
            return
        seen = set()
        for entry in event.entries:
            seen.add(entry.node)
            if entry.node in self.nodes:
                self.nodes[entry.node].tell("listed", entry)
            else:
                self.nodes[entry.node] = Node(self.due, self, entry, self.guards)
        if event.kind != ListKind.DELTA:
            for node, actor in self.nodes.items():
                if node not in seen:
                    actor.tell("listed", actor.entry.__class__(
                        node, NodeState.GONE, actor.entry.started_ms, actor.entry.build, actor.entry.zone,
                        actor.entry.cell, actor.entry.kind, actor.entry.size))

    def told(self, now, news):
        if self.news is None or news.build != self.news.build or news.phase in (Phase.GOING_BACK, Phase.WITHDRAWN):
            self.one_way.clear()
        self.news = news
        self.retry_held(now)

    def taken_in(self, now, event):
        rpc = self.rpcs[event.rpc] = Rpc(now, event, self.methods[event.method])
        self.ledger.taken[self.ledger.row(rpc.method)].add(now)
        self.taken.add(now)
        self.acts.append(SetTimer(max(0.0, rpc.end - now - 6.0), 4 * rpc.id + RPC_END))
        self.call(now, rpc)

    def typical(self, rpc):
        return self.per_unit[rpc.method] * (rpc.cost or 1.0)

    def call(self, now, rpc):
        """Ask every node for a bid; the last answer decides."""
        if self.news is None or not self.nodes:
            self.hold(now, rpc)
            return
        rpc.bids, rpc.asked = [], len(self.nodes)
        typical, cost = self.typical(rpc), rpc.cost or self.per_unit[rpc.method]
        for node in self.nodes.values():
            node.tell("call", now, rpc, cost, typical, self.rate)

    def bid(self, now, rpc, offer):
        rpc.asked -= 1
        if offer:
            rpc.bids.append(offer)
        if rpc.asked == 0 and not rpc.done:
            self.choose(now, rpc)

    def on_trial(self, build):
        news = self.news
        return build > news.build or (build == news.build and news.phase != Phase.RELEASED)

    def exposed(self, now, rpc, build):
        """Whether the exposure rule lets this RPC go to this build on trial now."""
        news, stage, cap = self.news, self.news.stage, self.news.cap
        if build > news.build:
            stage, cap = 0, self.exposure.caps[0]
        if stage < self.exposure.closed_stages and rpc.facts.repeat != Repeat.IDEMPOTENT:
            return False
        # A life that has just begun can't know what the one before it sent: its free picks count as spent.
        free = self.exposure.free if now - self.began > self.exposure.window_ms else 0.0
        return self.ledger.room(now, rpc.method, build, cap, free)

    def choose(self, now, rpc):
        floor = self.one_way.get(rpc.key, 0) if self.exposure.one_way and rpc.key else 0
        bids = [b for b in rpc.bids if b[0].build >= floor and may_go(rpc, b[0], now, self.permits.second_copies)]
        tried = {pick[0].node for pick in rpc.picks}
        bids = [b for b in bids if b[0].node not in tried] or bids
        trial = [b for b in bids if self.on_trial(b[0].build)]
        earlier = [b for b in bids if not self.on_trial(b[0].build)]
        allowed = {build for build in sorted({b[0].build for b in trial}) if self.exposed(now, rpc, build)}
        trial = [b for b in trial if b[0].build in allowed]
        well = [[b for b in side if not b[1]] for side in (trial, earlier)]
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

    def two_choices(self, side):
        """Two random choices, by what each can do; near ones too where crossing zones is priced."""
        drawn = self.chance.choices(side, weights=[b[2] for b in side], k=2)
        near = [b for b in side if b[0].zone == self.place.zone]
        if near and self.prices.cross_zone:
            drawn += self.chance.choices(near, weights=[b[2] for b in near], k=2)
        far = 1.0 + 8.0 * self.prices.cross_zone
        return min(drawn, key=lambda b: (b[3] * (1.0 if b[0].zone == self.place.zone else far), b[0].node))[0]

    def send(self, now, rpc, entry):
        nth, cost = len(rpc.picks), rpc.cost or self.per_unit[rpc.method]
        rpc.picks.append([entry, now, None])
        if self.on_trial(entry.build):
            self.ledger.pick(now, rpc.method, entry.build)
        self.nodes[entry.node].tell("took", now, rpc.id, nth, cost)
        self.acts.append(Pick(rpc.id, entry.node, rpc.end - now - 5.0))
        if nth == 0 and self.permits.second_copies and rpc.facts.repeat == Repeat.IDEMPOTENT:
            self.acts.append(SetTimer(max(3.0 * self.typical(rpc), 0.25 * rpc.facts.soft_ms), 4 * rpc.id + RPC_COPY))

    def hold(self, now, rpc):
        """No node can take it now: keep it while it can still be answered in time, else say so at once."""
        if rpc.pending():
            return
        if now + 0.5 * self.typical(rpc) > rpc.soft or len(rpc.picks) >= self.permits.max_picks:
            self.give_up(now, rpc)
        elif rpc not in self.held:
            self.held.append(rpc)

    def retry_held(self, now):
        for _ in range(len(self.held)):
            rpc = self.held.popleft()
            if not rpc.done:
                self.call(now, rpc)

    def give_up(self, now, rpc):
        if may_push_back(rpc):
            stay = min(self.permits.come_back_ms, 500.0) if self.permits.come_back else 0.0
            self.acts.append(PushBack(rpc.id, stay))
        else:
            self.acts.append(Abort(rpc.id))
        self.finish(rpc)

    def finish(self, rpc):
        rpc.done = True
        if not rpc.pending():
            self.rpcs.pop(rpc.id, None)

    def rang(self, now, rpc_id, what):
        rpc = self.rpcs.get(rpc_id)
        if rpc is None or rpc.done:
            return
        if what == RPC_END:
            self.give_up(now, rpc)
        elif rpc.pending() and len(rpc.picks) == 1 and self.copies.total(now) < 1.0 + 0.1 * self.taken.total(now):
            self.copies.add(now)
            self.call(now, rpc)

    def gone(self, now, event):
        if event.rpc in self.rpcs:
            self.finish(self.rpcs[event.rpc])

    def ended(self, now, event):
        rpc = self.rpcs.get(event.rpc)
        if rpc is None or event.nth >= len(rpc.picks):
            return
        pick = rpc.picks[event.nth]
        pick[2] = event.ending
        entry = pick[0]
        self.nodes[entry.node].tell("ended", now, event, self.typical(rpc), rpc.facts.soft_ms)
        if event.ending == Ending.OK:
            unit = min(event.took_ms, rpc.facts.hard_ms) / (rpc.cost or 1.0)
            self.per_unit[rpc.method] += 0.02 * (unit - self.per_unit[rpc.method])
            self.carried.add(now, rpc.cost or self.per_unit[rpc.method])
            if self.exposure.one_way and rpc.key and self.on_trial(entry.build):
                self.one_way[rpc.key] = max(entry.build, self.one_way.get(rpc.key, 0))
        self.judge.tell("outcome", now, entry, rpc.method, pick[1], event.ending, event.took_ms)
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

    def beat(self, now):
        warm = total = 0.0
        for node in self.nodes.values():
            if node.entry.state == NodeState.READY:
                total += node.entry.size
                warm += node.entry.size * (node.warmth(now) >= 1.0)
        if warm > 0.5 * total:
            rate = self.carried.total(now) / 4000.0 / warm
            self.rate += 0.2 * (rate - self.rate)
        self.retry_held(now)


class Chart:
    """One method's CUSUM on the trial build's outcomes."""

    def __init__(self):
        self.level, self.count, self.failed = 0.0, 0, 0

    def step(self, failure, before, rise):
        after = min(0.95, before + rise)
        self.level = max(0.0, self.level + (
            math.log(after / before) if failure else math.log((1.0 - after) / (1.0 - before))))
        self.count += 1
        self.failed += failure


class Judge(Part):
    """The multichart CUSUM and this marshal's vote."""

    def __init__(self, due, out, start, desk):
        super().__init__(due)
        self.acts, self.desk, self.voting, self.methods = out, desk, start.voting, start.methods
        self.stage_count = len(start.rollout.stage_shares)
        weight = 1.0 / len(start.methods)
        self.threshold = math.log(100_000.0) + math.log(max(1, start.place.marshals)) - math.log(weight)
        self.before = [(Ring(20_000.0, 20), Ring(20_000.0, 20)) for _ in start.methods]
        self.charts, self.news, self.crossed, self.seen, self.stage_at = {}, None, None, 0, 0.0
        self.cast, self.cast_at, self.sure, self.retry_at, self.tries = None, 0.0, False, 0.0, 0

    def before_rate(self, now, method):
        """My failure share on the earlier build, floored; the floor alone below 20 outcomes."""
        count, failed = (ring.total(now) for ring in self.before[method])
        return max(0.02, failed / count) if count >= 20 else 0.02

    def outcome(self, now, entry, method, sent, ending, took):
        late = took > self.methods[method].soft_ms
        if ending in NEVER_RAN or ending == Ending.MOOT:
            return  # the build did not see it
        if ending in (Ending.CANCELLED, Ending.TIMEOUT) and not late:
            return  # cut shorter than the soft deadline: it tells neither way
        failure = late or ending != Ending.OK
        news = self.news
        if news is None or entry.build > news.build:
            return
        if entry.build < news.build or news.phase in (Phase.GOING_BACK, Phase.WITHDRAWN):
            if entry.build < news.build:
                self.before[method][0].add(now)
                self.before[method][1].add(now, float(failure))
            return
        if entry.started_ms and sent < entry.started_ms + 3000.0:
            return  # its first 3 s
        chart = self.charts.setdefault(method, Chart())
        before = self.before_rate(now, method)
        chart.step(failure, before, 0.15)
        self.seen += 1
        if chart.level >= self.threshold and self.crossed is None:
            self.crossed = news.build
            self.acts.append(LogLine(f"back {news.build}: method {method} chart {chart.level:.1f} of "
                                     f"{self.threshold:.1f}, {chart.failed} of {chart.count}, before {before:.3f}"))
            self.decide(now)

    def told(self, now, news):
        old = self.news
        if old is None or news.build != old.build:
            if old is not None and old.phase == Phase.RELEASED:
                self.before = [(Ring(20_000.0, 20), Ring(20_000.0, 20)) for _ in self.methods]
            self.charts, self.crossed = {}, None
        if old is None or (news.build, news.stage, news.phase) != (old.build, old.stage, old.phase):
            self.seen, self.stage_at, self.cast = 0, now - news.age_ms, None
            self.acts.append(LogLine(f"build {news.build} stage {news.stage} {news.phase.name} cap {news.cap:.3f}"))
        self.news = news
        self.decide(now)

    def reply(self, now, ending):
        if ending == Ending.OK:
            self.sure, self.tries = True, 0
        elif ending == Ending.MOOT:
            self.cast = None
            self.retry_at = now + 500.0
        else:
            # Each marshal keeps to its share of the votes that are taken, and waits longer each time.
            self.tries = min(5, self.tries + 1)
            pace = 1000.0 * self.desk.place.marshals / max(0.1, self.voting.votes_per_s)
            self.sure, self.retry_at = False, now + max(2.0 * pace, 150.0 * 2 ** self.tries)

    def wanted(self, now):
        news, voting = self.news, self.voting
        if self.crossed == news.build and news.phase in (Phase.ON_TRIAL, Phase.RELEASED):
            return Verdict.BACK
        if news.phase != Phase.ON_TRIAL:
            return Verdict.NONE
        doubt = any(c.level > 0.5 * self.threshold for c in self.charts.values())
        if voting.gate == Gate.CLOCK:
            return Verdict.HOLD if doubt else Verdict.NONE
        starts = [n.entry.started_ms for n in self.desk.nodes.values()
                  if n.entry.build == news.build and n.entry.state == NodeState.READY]
        if not starts or doubt or now < max(starts) + 3000.0:
            return Verdict.NONE
        return Verdict.ON if self.seen >= 20 or now >= self.stage_at + 4000.0 else Verdict.NONE

    def decide(self, now):
        if self.news is None or now < self.retry_at:
            return
        want, news = self.wanted(now), self.news
        key = want, news.stage, news.build
        if want == Verdict.NONE:
            return
        waited = now - self.cast_at
        if key == self.cast and waited < (0.5 * self.voting.vote_ms if self.sure else self.voting.answer_ms):
            return
        if key != self.cast:
            self.acts.append(LogLine(f"vote {want.name} build {news.build} stage {news.stage} after {self.seen}"))
        self.cast, self.cast_at, self.sure = key, now, False
        self.acts.append(Vote(want, news.stage, news.build))

    def beat(self, now):
        self.decide(now)


class Marshal:
    """One life of one instance: the loop that empties the inboxes."""

    def __init__(self, start):
        self.start, self.acts, self.due = start, [], deque()

    def begin(self, now):
        self.desk = Desk(self.due, self.acts, self.start, now)
        self.judge = self.desk.judge = Judge(self.due, self.acts, self.start, self.desk)
        self.acts.append(SetTimer(BEAT_MS, BEAT))
        return self.flush()

    def flush(self):
        while self.due:
            part = self.due.popleft()
            note, args = part.inbox.popleft()
            getattr(part, note)(*args)
        out = self.acts[:]
        self.acts.clear()
        return out

    def handle(self, now, event):
        desk, judge = self.desk, self.judge
        match event:
            case RpcTaken():
                desk.tell("taken_in", now, event)
            case PickEnded():
                desk.tell("ended", now, event)
            case TimerRang(token=token):
                if token % 4 == BEAT:
                    desk.tell("beat", now)
                    judge.tell("beat", now)
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
            case ProbeEnded() | StreamBegun() | Tally() | Disputed():
                pass
        return self.flush()

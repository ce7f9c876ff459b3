"""All decisions of a marshal, and nothing else.

One `Marshal` is one life of one instance. Call `begin(now)` once, then `handle(now, event)` for each event in
order of arrival; both return the actions to carry out, in order. `now` is in ms and is the only clock.

Inside, `Node`, `Desk`, which places RPCs, and `Judge` of builds are actors. They talk only by notes put into
inboxes, which the one loop in `Marshal` empties in their order.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import replace
from typing import Any

from brookreach.interface import (
    Abort, Action, Ending, Event, Group, Guards, ListKind, LogLine, Method, NodeEntry, NodeList, NodeState,
    Pick, PickEnded, PushBack, Repeat, RolloutNews, RpcGone, RpcTaken, SetTimer, Start, Tally, TimerRang)
from brookreach.judge import (
    BACKWARDS, BEAT_MS, FLOOR, NEVER_RAN, Judge, failure_step, on_trial, sees_few, warmth)
from brookreach.parts import Due, Part, Ring, Side

FAILED = (Ending.NO_CONNECT, Ending.ERROR, Ending.RESET)
HARMLESS = {*((Repeat.IDEMPOTENT, group) for group in Group), (Repeat.TOKENED, Group.ALL)}  # run twice
WELL, ERRING, SILENT = 0, 1, 2  # how sick a node is
LONG, HOLD_MS, CARRIED_MS, COLD_PART = 3.0, 50.0, 4000.0, 0.4  # of the cold rule; LONG: of what picks take
FEW, MORE = 2, 12  # nodes drawn for an RPC at first, and when none of the few can take it
PACE_MS, LEAST, PRESSED = 2000.0, 6, 0.6  # answers a second; RPCs at a time, and of a soft deadline
RPC_END, RPC_COPY, BEAT, RPC_HELD = 0, 1, 2, 3  # what a timer is for; its token is 4 x RPC + one of these
NOTES = {RpcTaken: "taken_in", PickEnded: "ended", RpcGone: "gone", NodeList: "listing"}


class Rpc:
    """What the desk holds of one RPC; `picks` are [node entry, sent at, ending or None]."""

    def __init__(self, now: float, event: RpcTaken, facts: Method):
        self.id, self.method, self.facts = event.rpc, event.method, facts
        self.cost, self.key = event.cost_ms, event.key
        self.end, soft = event.deadline_ms, facts.soft_ms + facts.soft_stretch * (event.cost_ms or 0.0)
        self.soft = min(now + min(soft, facts.hard_ms), self.end)
        self.picks: list[list[Any]] = []
        self.bids: list[tuple[NodeEntry, int, float]] = []  # node, how sick, expected wait
        self.asked, self.drawn, self.done = 0, FEW, False

    def pending(self) -> bool:
        return any(pick[2] is None for pick in self.picks)

    def may_have_run(self) -> list[list[Any]]:
        return [pick for pick in self.picks if pick[2] not in NEVER_RAN]


def may_go(rpc: Rpc, entry: NodeEntry, now: float, copies: bool) -> bool:
    """Whether the method's kind lets this RPC have a pick at this node now."""
    ran = rpc.may_have_run()
    if not ran:
        return True
    if rpc.facts.repeat == Repeat.NON_IDEMPOTENT or (rpc.pending() and not copies):
        return False
    group, window = rpc.facts.group, rpc.facts.token_ms
    return rpc.facts.repeat == Repeat.IDEMPOTENT or all(now < sent + window and (group == Group.ALL or (
        entry.zone == old.zone and (group == Group.ZONE or entry.cell == old.cell))) for old, sent, _ in ran)


class Node(Part):
    """One node as this marshal sees it: its picks, its speed, its health, how cold it may be."""

    def __init__(self, due: Due, desk: Desk, entry: NodeEntry, guards: Guards, phase: float, few: bool):
        super().__init__(due)
        self.desk, self.guards, self.phase, self.few = desk, guards, phase, few
        # Log odds: where I see few, one failure must do where failures are rare; else two, or more.
        self.least_ms, self.most_doubt = 4000.0 if few else 500.0, 3.2 if few else 5.0
        self.sent: list[float] = []  # when each pick was that has not ended
        self.renew(entry)

    def renew(self, entry: NodeEntry) -> None:
        self.entry = entry
        self.slow = 2.0 if entry.started_ms else 1.0  # a cold node's build may need more work
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

    def ended(self, now: float, event: PickEnded, at: NodeEntry, sent: float, typical: float, long: float,
              usual: float) -> None:
        entry, ending, slow = self.entry, event.ending, event.took_ms > long
        self.sent.remove(sent)
        if (at.started_ms, at.build) != (entry.started_ms, entry.build):
            return  # it tells of what ran here before
        bad = ending in FAILED or (slow and (ending == Ending.TIMEOUT or (ending == Ending.OK and self.few)))
        # One failure tells of this node only where failures are rare: `usual` is most nodes' share of them.
        self.tried, self.failed = 0.95 * self.tried + 1.0, 0.95 * self.failed + bad
        self.doubt = max(0.0, self.doubt + failure_step(bad, usual, 0.5))
        if ending == Ending.OK:
            pace = min(20.0, event.took_ms / typical * warmth(entry, now, self.guards))
            self.slow += 0.1 * (pace - self.slow)
            if self.shy_ms and now >= self.shy_until and self.doubt < 0.3 * self.most_doubt:
                self.shy_ms = 0.5 * self.shy_ms if self.shy_ms > self.least_ms else 0.0
                if not self.shy_ms:
                    self.desk.acts.append(LogLine(f"node {entry.node} back"))
        if bad and now >= self.shy_until and self.doubt >= self.most_doubt:
            self.doubt = 0.5 * self.most_doubt
            self.shy_ms = min(16.0 * self.least_ms, max(self.least_ms, 2.0 * self.shy_ms))
            self.shy_until = now + self.shy_ms
            self.ails = ERRING if ending == Ending.ERROR else SILENT
            self.desk.acts.append(LogLine(f"node {entry.node} shunned {self.shy_ms:.0f} ms, {ending.name}"))


class Desk(Part):
    """Places RPCs: calls for bids, picks by two random choices, sends again, pushes back, aborts."""

    def __init__(self, due: Due, out: list[Action], start: Start, now: float, judge: Judge):
        super().__init__(due)
        self.acts, self.methods, self.place, self.began = out, start.methods, start.place, now
        self.permits, self.prices, self.guards = start.permits, start.prices, start.guards
        self.chance, self.exposure, self.judge = random.Random(start.seed), start.exposure, judge
        self.rings = dict[tuple[int, int], Ring]()  # by method and build; build 0: RPCs taken
        self.nodes, self.rpcs, self.entries = dict[int, Node](), dict[int, Rpc](), dict[int, NodeEntry]()
        self.news: RolloutNews | None = None
        self.usual_ms, self.usual_cost = [m.soft_ms / 5.0 for m in start.methods], dict[int, float]()
        self.field = dict[int, tuple[Side, Side]]()  # by side: the ready nodes, and the near ones again
        self.survey_at, self.warm_size, self.few = now, 0.0, sees_few(start)
        self.rate, self.carried = 0.0, Ring(CARRIED_MS, 16)  # cost a ms and unit of size, of warm nodes
        self.spare, self.usual, self.suspect = 1.0, FLOOR, True  # spare: second copies
        self.drags, self.flow, self.one_way = dict[int, float](), Ring(1000.0, 10), dict[int, int]()
        self.good, self.waiting = Ring(PACE_MS, 8), dict[int, float]()  # answered in time; soft deadlines
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

    def told(self, now: float, news: RolloutNews) -> None:
        low = math.inf if news.phase in BACKWARDS else min([e.build for e in self.entries.values()] or [0])
        self.one_way = {k: build for k, build in self.one_way.items() if build > low}
        self.rings = {key: ring for key, ring in self.rings.items() if not key[1] or key[1] >= news.build}
        self.news, self.survey_at = news, now
        self.drags = {build: drag for build, drag in self.drags.items() if build in (0, news.build)}

    def taken_in(self, now: float, event: RpcTaken) -> None:
        rpc = self.rpcs[event.rpc] = Rpc(now, event, self.methods[event.method])
        self.ring(rpc.method, 0).add(now)
        self.flow.add(now)
        self.spare = min(3.0, self.spare + 0.1)
        if rpc.cost:
            usual = self.usual_cost.get(rpc.method, rpc.cost)
            self.usual_cost[rpc.method] = usual + 0.02 * (rpc.cost - usual)
        self.acts.append(SetTimer(max(0.0, rpc.end - now - 6.0), 4 * rpc.id + RPC_END))
        jam = self.crowded(now, rpc) if self.few else (
            self.chance.random() < min(0.9, 3.0 * (self.late(now) - 0.35)))
        if jam or len(self.rpcs) > self.permits.max_open:
            return self.give_up(now, rpc)  # at once: what can't be answered in time only makes others late
        self.waiting[rpc.id] = rpc.soft
        self.tell("ask", now, rpc)

    def late(self, now: float) -> float:
        return self.lates.total(now) / (self.ends.total(now) + 1.0)

    def crowded(self, now: float, rpc: Rpc) -> bool:
        """Whether more wait, those past it left out, than are answered in PRESSED of the soft deadline."""
        while self.waiting and now >= self.waiting[old := next(iter(self.waiting))]:
            del self.waiting[old]
        can = PRESSED * rpc.facts.soft_ms * self.good.total(now) / PACE_MS
        return now > self.began + 2.0 * PACE_MS and len(self.waiting) >= max(LEAST, can)

    def side(self, build: int) -> int:
        return build if on_trial(self.news, build) else 0

    def typical(self, rpc: Rpc) -> float:
        usual = self.usual_cost.get(rpc.method)
        return self.usual_ms[rpc.method] * (rpc.cost / usual if rpc.cost and usual else 1.0)

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
            able.setdefault(self.side(entry.build), []).append(
                (entry, warmth(entry, now, self.guards) * entry.size))
        here = self.place.zone if self.prices.cross_zone else None
        self.field = {build: (Side(some), Side([one for one in some if one[0].zone == here]))
                      for build, some in sorted(able.items())}

    def sides(self, now: float, rpc: Rpc) -> list[tuple[Side, Side]]:
        """What the rules leave to this RPC; further picks go to the earlier build while they can."""
        floor = self.one_way.get(rpc.key, 0) if rpc.key else 0
        sides = [both for build, both in self.field.items() if build == 0 or self.exposed(now, rpc, build)]
        if not rpc.picks and not floor:
            return sides
        copies, tried = self.permits.second_copies, {pick[0].node for pick in rpc.picks}
        fit = [[e for e in side.entries if e.build >= floor and e.node not in tried
                and may_go(rpc, e, now, copies)] for side, _ in sides]
        narrow = [Side([(e, e.size * warmth(e, now, self.guards)) for e in side]) for side in fit if side]
        return [(side, Side([])) for side in (narrow[:1] if rpc.picks else narrow)]

    def ask(self, now: float, rpc: Rpc, most: int = FEW) -> None:
        self.survey(now)
        sides = self.sides(now, rpc)
        if most == FEW and sides:
            sides = self.chance.choices(sides, weights=[
                side.sums[-1] * math.exp(-self.drags.get(self.side(side.entries[0].build), 0.0))
                for side, _ in sides])
        drawn = [entry for both in sides for side in both for entry in side.draw(self.chance, most)]
        few = dict.fromkeys(entry.node for entry in drawn)
        rpc.bids, rpc.asked, rpc.drawn = [], len(few), most
        typical, cost = self.typical(rpc), rpc.cost or self.usual_ms[rpc.method]
        for number in few:
            self.nodes[number].tell("call", now, rpc, cost, typical, self.rate)
        if not few:
            self.tell("chosen", now, rpc)

    def bid(self, now: float, rpc: Rpc, *offer: tuple[NodeEntry, int, float]) -> None:
        rpc.asked -= 1
        rpc.bids.extend(offer)
        if not rpc.asked:
            self.tell("chosen", now, rpc)

    def chosen(self, now: float, rpc: Rpc) -> None:
        """The shortest wait; sick ones where all are. Where half of the trial nodes err they keep picks."""
        well = [b for b in rpc.bids if b[1] < (
            SILENT if self.suspect and on_trial(self.news, b[0].build) and not self.few else ERRING)]
        if not well and rpc.drawn == FEW and self.field:
            self.tell("ask", now, rpc, MORE)
        elif rpc.bids:
            far = 1.0 + 8.0 * self.prices.cross_zone
            some = (well or rpc.bids)[:2 * FEW]
            self.send(now, rpc, min(some, key=lambda b: (
                b[2] * (1.0 if b[0].zone == self.place.zone else far)))[0])
        elif not rpc.pending():
            self.hold(now, rpc)

    def ring(self, method: int, build: int) -> Ring:
        key = method if self.exposure.by_method else 0, build
        return self.rings.setdefault(key, Ring(self.exposure.window_ms))

    def exposed(self, now: float, rpc: Rpc, build: int) -> bool:
        news = self.news
        assert news is not None
        stage, cap = (news.stage, news.cap) if build == news.build else (0, self.exposure.caps[0])
        if stage < self.exposure.closed_stages and rpc.facts.repeat != Repeat.IDEMPOTENT:
            return False
        free = self.exposure.free if now - self.began > self.exposure.window_ms else 0.0  # spent before
        taken = self.ring(rpc.method, 0).total(now, inner=True)
        return cap > 0.0 and self.ring(rpc.method, build).total(now) + 1.0 <= free + cap * taken

    def send(self, now: float, rpc: Rpc, entry: NodeEntry) -> None:
        rpc.picks.append([entry, now, None])
        if on_trial(self.news, entry.build):
            self.ring(rpc.method, entry.build).add(now)
        self.nodes[entry.node].tell("took", now, rpc.cost or self.usual_ms[rpc.method])
        self.acts.append(Pick(rpc.id, entry.node, rpc.end - now - 5.0))
        if len(rpc.picks) == 1 and self.permits.second_copies and rpc.facts.repeat == Repeat.IDEMPOTENT:
            after = max(3.0 * self.typical(rpc), 0.25 * rpc.facts.soft_ms)
            self.acts.append(SetTimer(after, 4 * rpc.id + RPC_COPY))

    def hold(self, now: float, rpc: Rpc) -> None:
        if now + 0.4 * rpc.facts.soft_ms > rpc.soft or len(rpc.picks) >= self.permits.max_picks:
            return self.give_up(now, rpc)
        self.acts.append(SetTimer(HOLD_MS, 4 * rpc.id + RPC_HELD))

    def give_up(self, now: float, rpc: Rpc) -> None:
        come_back = min(self.permits.come_back_ms, 500.0) * self.permits.come_back
        again = not rpc.may_have_run() or (rpc.facts.repeat, rpc.facts.group) in HARMLESS
        self.acts.append(PushBack(rpc.id, come_back) if again else Abort(rpc.id))
        self.finish(rpc)

    def finish(self, rpc: Rpc) -> None:
        rpc.done = True
        self.waiting.pop(rpc.id, None)
        if not rpc.pending():
            self.rpcs.pop(rpc.id, None)

    def rang(self, now: float, rpc_id: int, what: int) -> None:
        rpc = self.rpcs.get(rpc_id)
        if rpc is None or rpc.done:
            return
        if what == RPC_END:
            self.give_up(now, rpc)
        elif what == RPC_HELD and not rpc.pending():
            self.tell("ask", now, rpc)
        elif rpc.pending() and len(rpc.picks) == 1 and self.spare >= 1.0:
            self.spare -= 1.0
            self.tell("ask", now, rpc)

    def gone(self, now: float, event: RpcGone) -> None:
        if event.rpc in self.rpcs:
            self.finish(self.rpcs[event.rpc])

    def ended(self, now: float, event: PickEnded) -> None:
        rpc = self.rpcs.get(event.rpc)
        if rpc is None or event.nth >= len(rpc.picks):
            return
        pick = rpc.picks[event.nth]
        entry, pick[2] = pick[0], event.ending
        typical = self.typical(rpc)
        long = self.long(now, typical, rpc.facts.soft_ms, entry.build)
        self.nodes[entry.node].tell("ended", now, event, entry, pick[1], typical, long, self.usual)
        if event.ending == Ending.OK:
            if self.few and event.final and now < rpc.soft:
                self.good.add(now)
            work = min(event.took_ms, 0.5 * rpc.facts.soft_ms)  # queues are no work
            self.usual_ms[rpc.method] += 0.02 * (work - self.usual_ms[rpc.method])
            if warmth(entry, now - CARRIED_MS, self.guards) >= 1.0:
                self.carried.add(now, rpc.cost or self.usual_ms[rpc.method])
            if self.exposure.one_way and rpc.key and on_trial(self.news, entry.build):
                self.one_way[rpc.key] = max(entry.build, self.one_way.get(rpc.key, 0))
        if not self.few and event.ending in (Ending.OK, Ending.FULL, Ending.TIMEOUT):
            self.ends.add(now)
            self.lates.add(now, event.ending != Ending.OK or event.took_ms > 0.6 * rpc.facts.soft_ms)
        if self.few and event.ending in (Ending.OK, Ending.TIMEOUT):
            side, drag = self.side(entry.build), math.log(max(1.0, event.took_ms / typical))
            self.drags[side] = 0.93 * self.drags.get(side, 0.0) + 0.07 * drag
        self.judge.tell("outcome", now, entry, rpc.method, pick[1], event.ending, event.took_ms,
                        rpc.cost or 1.0, self.flow.total(now))
        if event.final or rpc.done:
            self.finish(rpc)
        elif not rpc.pending():
            again = now < rpc.end - 10.0 and len(rpc.picks) < self.permits.max_picks and may_go(
                rpc, entry, now, self.permits.second_copies)
            self.tell("ask" if again else "give_up", now, rpc)

    def beat(self, now: float, *_: int) -> None:
        self.judge.tell("decide", now)
        self.acts.append(SetTimer(BEAT_MS, BEAT))
        most = sorted(self.nodes.values(), key=lambda node: node.failed / (node.tried + 1.0))
        most = most[:math.ceil(0.75 * len(most))]  # the few that are sick don't say what is usual
        trial = [n for n in self.nodes.values() if on_trial(self.news, n.entry.build)]
        self.suspect = 2 * sum([n.shy_ms > 0.0 and n.ails == ERRING for n in trial]) >= len(trial)
        self.usual = max(FLOOR, sum([n.failed for n in most]) / (sum([n.tried for n in most]) + 1.0))
        if self.warm_size > 0.0:
            rate = self.carried.total(now, inner=True) / CARRIED_MS / self.warm_size
            self.rate += 0.02 * (rate - self.rate) if self.rate else rate


class Marshal:
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
        out, self.acts[:] = self.acts[:], []
        return out

    def handle(self, now: float, event: Event) -> list[Action]:
        match event:
            case RpcTaken() | PickEnded() | RpcGone() | NodeList():
                self.desk.tell(NOTES[type(event)], now, event)
            case TimerRang(token=token):
                self.desk.tell("beat" if token % 4 == BEAT else "rang", now, token // 4, token % 4)
            case Tally():
                self.judge.tell("tally", now, event)
            case RolloutNews():
                if event.reply:
                    self.judge.tell("reply", now, event.ending)
                if event.ending == Ending.OK:
                    self.desk.tell("told", now, event)
                    self.judge.tell("told", now, event)
        return self.flush()

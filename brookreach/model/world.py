"""One wave: a build is offered to a running fleet, marshals judge it, the platform moves it on or back.

The world is an ordered heap of calls at virtual times. It owns every clock and all chance, from one seed.
What it measures comes from what its own nodes and clients saw, never from a marshal.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from brookreach import interface as ifc
from brookreach.model.case import WORK_MS, Case, start_of
from brookreach.model.nodes import Job, Node
from brookreach.policy.balancer import Balancer

ORIGIN_MS = 100_000.0  # virtual time 0 stands for long ago
NET_MS, NOTICE_MS, BOOT_MS, DRAIN_MS, TOLD_MS = 1.0, (200.0, 800.0), (1000.0, 2400.0), 2000.0, (320.0, 870.0)


@dataclass
class Outcome:
    """One wave as its world saw it; times in ms after the offer."""

    case: str
    seed: int
    bad: bool
    ended: str = "open"  # released, back, replaced, or open when time ran out
    ended_ms: float = math.nan
    first_back_ms: float = math.nan
    stage: int = 0
    stage_ms: list[float] = field(default_factory=list)
    rpcs: int = 0
    in_time: int = 0
    pushed_back: int = 0
    harmed: int = 0  # RPCs that a fault of the build failed
    trial_outcomes: int = 0
    after_release_back: bool = False
    why: str = ""

    def row(self) -> dict[str, Any]:
        return asdict(self)


class Seat:
    """A marshal's place; `life` tells a restarted one's timers from its predecessor's."""

    def __init__(self, ordinal: int):
        self.ordinal, self.life, self.up = ordinal, 0, False
        self.marshal: Balancer | None = None
        self.open: dict[int, list[Job]] = {}
        self.ends: dict[int, tuple[float, float, int]] = {}  # RPC: deadline, soft end, method
        self.vote: tuple[ifc.Verdict, int, int, float] | None = None  # verdict, stage, build, when
        self.known: dict[int, ifc.NodeEntry] = {}


class Wave:
    """Plays one wave of `case` from `seed`; `watch` hears (ordinal, now, event or action)."""

    def __init__(
        self,
        case: Case,
        seed: int,
        watch: Callable[[int, float, object], None] | None = None,
        make: Callable[[ifc.BalancerSettings], Any] = Balancer,
    ):
        self.case, self.chance, self.watch, self.make = case, random.Random(seed), watch, make
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count, self.now, self.rpc_ids = 0, ORIGIN_MS, 0
        self.offer_at = ORIGIN_MS + case.before_ms
        self.out = Outcome(case.name, seed, case.bad)
        self.build, self.stage, self.phase, self.stage_at = (
            1,
            len(case.stages) - 1,
            ifc.RolloutPhase.RELEASED,
            ORIGIN_MS,
        )
        self.nodes: dict[int, Node] = {}
        self.numbers, self.revision, self.replacing = 0, 0, 0
        self.tallied: dict[tuple[int, int], list[float]] = {}
        self.struck = list(range(case.nodes))  # by place: its rank among those that troubles strike
        if not any(trouble.trial for trouble in case.troubles):
            self.chance.shuffle(self.struck)
        for place in range(case.nodes):
            self.add_node(place, 1, 0.0)
        self.seats = [Seat(i) for i in range(case.marshals)]
        self.starts = [start_of(case, i, seed * 1009 + i) for i in range(case.marshals)]
        self.work_cum = [sum(case.shares[: i + 1]) for i in range(len(case.shares))]
        sigma = math.sqrt(math.log(1.0 + case.work_cv**2))
        self.spread = -0.5 * sigma * sigma, sigma

    # --- the clock ---

    def at(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        self.count += 1
        heapq.heappush(self.heap, (self.now + delay, self.count, call, args))

    def run(self) -> Outcome:
        case = self.case
        for seat in self.seats:
            self.begin(seat)
            self.at(self.chance.expovariate(case.rate / 1000.0), self.arrive, seat)
        self.at(case.before_ms, self.offer, 2)
        if math.isfinite(case.next_ms):
            self.at(case.before_ms + case.next_ms, self.replaced)
        for trouble in case.troubles:
            if trouble.kind == "restart":
                some = self.chance.sample(self.seats, max(1, round(trouble.size * len(self.seats))))
                for seat in some:
                    self.at(case.before_ms + trouble.from_ms, self.restart, seat)
        if case.tally_ms:
            self.at(case.tally_ms, self.tally)
        end = self.offer_at + case.most_ms
        heap = self.heap
        while heap and not self.over(end):
            self.now, _, call, args = heapq.heappop(heap)
            call(*args)
        self.out.stage = self.stage
        return self.out

    def over(self, end: float) -> bool:
        if self.out.ended == "open":
            return self.now >= end
        return self.out.ended != "released" or self.now >= self.offer_at + self.out.ended_ms + self.case.after_ms

    def since_offer(self) -> float:
        return self.now - self.offer_at

    # --- marshals ---

    def begin(self, seat: Seat) -> None:
        seat.marshal, seat.up, seat.life = self.make(self.starts[seat.ordinal]), True, seat.life + 1
        seat.open, seat.ends, seat.vote = {}, {}, None
        self.carry_out(seat, seat.marshal.begin(self.now))
        kind = ifc.ListKind.FULL if seat.life == 1 else ifc.ListKind.CACHED
        known = tuple(seat.known.values()) or tuple(self.entry(node) for node in self.nodes.values())
        self.tell(seat, ifc.NodeList(kind, self.revision, known))
        seat.known = {entry.node: entry for entry in known}
        self.tell(seat, self.news())

    def restart(self, seat: Seat) -> None:
        """It dies with all it held and returns 1 s later with its last list of nodes."""
        seat.up, seat.vote = False, None
        for jobs in seat.open.values():
            for job in jobs:
                job.live = False
        self.at(1000.0, self.begin, seat)

    def tell(self, seat: Seat, event: ifc.Event) -> None:
        if seat.up and seat.marshal is not None:
            if self.watch:
                self.watch(seat.ordinal, self.now, event)
            self.carry_out(seat, seat.marshal.handle(self.now, event))

    def carry_out(self, seat: Seat, actions: list[ifc.Action]) -> None:
        for action in actions:
            if self.watch:
                self.watch(seat.ordinal, self.now, action)
            match action:
                case ifc.SetTimer():
                    self.at(action.delay_ms, self.ring, seat, seat.life, action.token)
                case ifc.Pick():
                    self.pick(seat, action)
                case ifc.PushBack() | ifc.Abort():
                    self.out.pushed_back += self.since_offer() >= 0.0
                    seat.ends.pop(action.rpc_id, None)
                case ifc.Vote():
                    self.at(self.chance.uniform(76.0, 160.0), self.voted, seat, seat.life, action)
                case ifc.LogLine():
                    if action.text.startswith("back ") and not self.out.why:
                        self.out.why = action.text
                case _:
                    pass

    def ring(self, seat: Seat, life: int, token: int) -> None:
        if seat.life == life:
            self.tell(seat, ifc.TimerFired(token))

    # --- traffic ---

    def arrive(self, seat: Seat) -> None:
        rate = self.case.rate
        for trouble in self.case.troubles:
            if trouble.kind == "burst" and trouble.on(self.since_offer()):
                rate *= trouble.size
        self.at(self.chance.expovariate(rate / 1000.0), self.arrive, seat)
        drawn = self.chance.random() * self.work_cum[-1]
        method = next((i for i, up_to in enumerate(self.work_cum) if drawn < up_to), len(self.work_cum) - 1)
        facts = self.starts[0].methods[method]
        if seat.up:
            self.rpc_ids += 1
            self.out.rpcs += self.since_offer() >= 0.0
            seat.ends[self.rpc_ids] = self.now + facts.hard_ms, self.now + facts.soft_ms, method
            self.tell(seat, ifc.RpcReceived(self.rpc_ids, method, 0, 0, self.now + facts.hard_ms, None, False, False))

    def pick(self, seat: Seat, action: ifc.Pick) -> None:
        method = seat.ends[action.rpc_id][2] if action.rpc_id in seat.ends else 0
        jobs = seat.open.setdefault(action.rpc_id, [])
        job = Job(seat.ordinal, action.rpc_id, len(jobs), method, self.now, 0.0)
        jobs.append(job)
        mean, sigma = self.spread
        job.work = WORK_MS * math.exp(self.chance.gauss(mean, sigma))
        self.at(NET_MS, self.reach, job, action.node)
        self.at(max(0.0, action.timeout_ms), self.time_out, job, action.node, seat.life)

    def reach(self, job: Job, number: int) -> None:
        node = self.nodes.get(number)
        if node is None or not node.up:
            return self.answer(job, number, ifc.Outcome.NO_CONNECT)
        since = self.since_offer()
        for trouble in self.case.troubles:
            if trouble.kind == "err" and self.befalls(trouble, node, since) and self.chance.random() < trouble.size:
                return self.at(20.0, self.answer, job, number, ifc.Outcome.ERROR)
        if not node.offer(job):
            return self.answer(job, number, ifc.Outcome.FULL)
        self.work(node)

    def befalls(self, trouble: Any, node: Node, since: float) -> bool:
        return (
            trouble.on(since)
            and (not trouble.places or self.struck[node.place] < trouble.places)
            and not (trouble.old_only and node.build > 1)
        )

    def work(self, node: Node) -> None:
        case, since = self.case, self.since_offer()
        while (job := node.begin()) is not None:
            method = self.starts[0].methods[job.method].name
            took = job.work / (node.size * node.warmth(self.now, case.cold, case.cold_ms))
            fails = self.chance.random() < case.base_errors
            if node.build == 2:
                took *= case.fault.takes(method, since)
                if self.chance.random() < case.fault.errs(method, since):
                    fails = True
                    self.out.harmed += 1
            for trouble in case.troubles:
                if trouble.kind == "crawl" and self.befalls(trouble, node, since):
                    took *= trouble.size
            self.at(took, self.done, node, job, ifc.Outcome.ERROR if fails else ifc.Outcome.OK)

    def done(self, node: Node, job: Job, ending: ifc.Outcome) -> None:
        node.busy -= 1
        if node.up:
            self.at(NET_MS, self.answer, job, node.number, ending)
        self.work(node)

    def time_out(self, job: Job, number: int, life: int) -> None:
        if self.seats[job.marshal].life == life:
            self.answer(job, number, ifc.Outcome.TIMEOUT)

    def answer(self, job: Job, number: int, ending: ifc.Outcome) -> None:
        if not job.live:
            return
        job.live = False
        seat, took = self.seats[job.marshal], self.now - job.sent
        node = self.nodes.get(number)
        if node is not None and ending not in (ifc.Outcome.FULL, ifc.Outcome.NO_CONNECT):
            self.out.trial_outcomes += node.build == 2
            if self.chance.random() < self.case.tally_sample:
                count = self.tallied.setdefault((node.build, job.method), [0, 0, 0.0])
                count[0] += 1
                count[1] += ending != ifc.Outcome.OK
                count[2] += took if ending == ifc.Outcome.OK else 0.0
        final = ending == ifc.Outcome.OK and job.rpc in seat.ends
        if final:
            _, soft, _ = seat.ends.pop(job.rpc)
            self.out.in_time += self.now <= soft and self.since_offer() >= 0.0
        self.tell(seat, ifc.PickEnded(job.rpc, job.nth, number, ending, final, took, {}))
        if all(not one.live for one in seat.open.get(job.rpc, [])) and job.rpc not in seat.ends:
            seat.open.pop(job.rpc, None)

    # --- nodes and their list ---

    def add_node(self, place: int, build: int, started: float) -> Node:
        self.numbers += 1
        node = Node(self.numbers, place, build, started, self.case.node_size, self.case.cores)
        self.nodes[node.number] = node
        return node

    def entry(self, node: Node) -> ifc.NodeEntry:
        state = (
            ifc.NodeState.GONE if not node.up else (ifc.NodeState.DRAINING if node.draining else ifc.NodeState.READY)
        )
        return ifc.NodeEntry(node.number, state, node.started, node.build, 0, 0, 0, 1.0)

    def listed(self, *nodes: Node) -> None:
        self.revision += 1
        entries = tuple(self.entry(node) for node in nodes)
        for seat in self.seats:
            self.at(self.chance.uniform(*NOTICE_MS), self.hear_list, seat, entries, self.revision)

    def hear_list(self, seat: Seat, entries: tuple[ifc.NodeEntry, ...], revision: int) -> None:
        if not seat.up:
            return self.at(1500.0, self.hear_list, seat, entries, revision)
        seat.known |= {entry.node: entry for entry in entries}
        self.tell(seat, ifc.NodeList(ifc.ListKind.DELTA, revision, entries))

    def turn(self, build: int, places: list[int]) -> None:
        """The nodes of these places get successors of `build`; each is drained when its successor runs."""
        for place in places:
            self.replacing += 1
            self.at(self.chance.uniform(*BOOT_MS), self.succeeds, place, build)

    def succeeds(self, place: int, build: int) -> None:
        self.replacing -= 1
        node = self.add_node(place, build, self.now)
        olds = [old for old in self.nodes.values() if old.place == place and old is not node and not old.draining]
        for old in olds:
            old.draining = True
            self.at(DRAIN_MS, self.leave, old)
        self.listed(node, *olds)

    def leave(self, node: Node) -> None:
        node.up = False
        self.listed(node)

    # --- the platform ---

    def news(self, reply: bool = False, ending: ifc.Outcome = ifc.Outcome.OK, age: float = 0.0) -> ifc.RolloutStatus:
        cap = {ifc.RolloutPhase.GOING_BACK: 0.0, ifc.RolloutPhase.WITHDRAWN: 0.0}.get(
            self.phase, min(1.0, 1.4 * self.case.stages[self.stage])
        )
        return ifc.RolloutStatus(reply, ending, self.stage, cap, self.phase, age, self.build)

    def move(self, build: int, stage: int, phase: ifc.RolloutPhase) -> None:
        self.build, self.stage, self.phase, self.stage_at = build, stage, phase, self.now
        self.say_news()

    def say_news(self) -> None:
        at = self.now
        for seat in self.seats:
            self.at(self.chance.uniform(*TOLD_MS), self.hear_news, seat, at)

    def hear_news(self, seat: Seat, at: float) -> None:
        if not self.stalled():
            self.tell(seat, self.news(age=self.now - self.stage_at))

    def offer(self, build: int) -> None:
        self.move(build, 0, ifc.RolloutPhase.ON_TRIAL)
        self.open_stage()
        self.at(4000.0, self.repeat_news)

    def repeat_news(self) -> None:
        self.say_news()
        self.at(4000.0, self.repeat_news)

    def open_stage(self) -> None:
        wanted = max(1, math.ceil(self.case.stages[self.stage] * self.case.nodes - 0.01))
        done = {node.place for node in self.nodes.values() if node.build == self.build and not node.draining}
        self.turn(self.build, [place for place in range(wanted) if place not in done])
        self.out.stage_ms.append(self.since_offer())

    def stalled(self) -> bool:
        return any(t.kind == "stall" and t.on(self.since_offer()) for t in self.case.troubles)

    def voted(self, seat: Seat, life: int, vote: ifc.Vote) -> None:
        if self.stalled():
            return self.at(2000.0, self.reply, seat, life, ifc.Outcome.TIMEOUT)
        seat.vote = vote.verdict, vote.stage, vote.build, self.now
        if vote.verdict == ifc.Verdict.BACK and math.isnan(self.out.first_back_ms) and vote.build == self.build:
            self.out.first_back_ms = self.since_offer()
        self.at(0.0, self.reply, seat, life, ifc.Outcome.OK)
        self.count_votes()

    def reply(self, seat: Seat, life: int, ending: ifc.Outcome) -> None:
        if seat.life == life:
            self.tell(seat, self.news(True, ending, self.now - self.stage_at))

    def standing(self, verdict: ifc.Verdict) -> int:
        return sum(
            seat.vote is not None
            and seat.vote[0] == verdict
            and seat.vote[2] == self.build
            and self.now - seat.vote[3] < 6000.0
            and (verdict == ifc.Verdict.BACK or seat.vote[1] == self.stage)
            for seat in self.seats
        )

    def count_votes(self) -> None:
        case = self.case
        if self.phase not in (ifc.RolloutPhase.ON_TRIAL, ifc.RolloutPhase.RELEASED) or self.build < 2:
            return
        if self.standing(ifc.Verdict.BACK) >= case.back_votes:
            self.out.after_release_back = self.phase == ifc.RolloutPhase.RELEASED
            return self.end("back", ifc.RolloutPhase.GOING_BACK)
        if self.phase == ifc.RolloutPhase.ON_TRIAL and self.standing(ifc.Verdict.ON) >= case.on_votes:
            wait = self.stage_at + 1500.0 - self.now
            if wait > 0.0 or self.replacing:
                return self.at(max(wait, 100.0), self.count_votes)
            if self.stage + 1 == len(case.stages):
                return self.end("released", ifc.RolloutPhase.RELEASED)
            self.move(self.build, self.stage + 1, ifc.RolloutPhase.ON_TRIAL)
            self.open_stage()

    def replaced(self) -> None:
        if self.phase == ifc.RolloutPhase.ON_TRIAL:
            self.end("replaced", ifc.RolloutPhase.WITHDRAWN)

    def end(self, how: str, phase: ifc.RolloutPhase) -> None:
        self.out.ended, self.out.ended_ms = how, self.since_offer()
        self.move(self.build, self.stage, phase)

    def tally(self) -> None:
        """What was counted of a sample of all picks, by build and method, late and to all marshals."""
        told, self.tallied = self.tallied, {}
        self.at(self.case.tally_ms, self.tally)
        if self.stalled() or self.chance.random() < self.case.tally_loss:
            return
        for seat in self.seats:
            self.at(self.chance.uniform(820.0, 1800.0), self.hear_tally, seat, told, self.now)

    def hear_tally(self, seat: Seat, told: Mapping[tuple[int, int], list[float]], at: float) -> None:
        for (build, method), (count, failed, total) in sorted(told.items()):
            good = max(1.0, count - failed)
            self.tell(seat, ifc.OutcomeCounts(build, method, self.now - at, int(failed), int(count), total / good))

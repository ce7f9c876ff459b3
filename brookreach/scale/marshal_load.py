"""RPCs put to one real `Balancer` under a virtual clock, as net/driver puts them: each costs what its events cost.

It owns the clock, the timers and the answers of nodes. It must never change what the marshal decides.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from brookreach import interface as ifc
from brookreach.policy.balancer import Balancer
from brookreach.policy.timer_tokens import EVALUATION_TIMER
from brookreach.scale.marshal_situations import Situation

RATE_PER_S = 169.0  # RPCs of one marshal: 150,000 a second over 890
WAIT_MS = 2000.0  # that a client waits for its answer
ANSWER_MS, SPREAD = 20.0, 0.4  # a node's answers: the median, and the standard deviation of the logarithm
FAILING = 0.005  # of the answers that are errors, on all builds alike: 99 of 100 RPCs need no second pick
VOTE_MS = 5.0  # until the platform answers a vote
BEGIN_MS = 1_000_000.0  # the clock at the start
TIMERS_PER_RPC = 4  # a timer's token is so many times its RPC, and what it is for

Meter = Callable[[], int]  # what has been spent so far, in the meter's own unit


@dataclass
class Spent:
    """What the marshal's `handle` took of the meter's unit, by what it was called for."""

    rpcs: dict[int, int] = field(default_factory=lambda: defaultdict(int))  # by RPC: its events and timers
    beats: list[int] = field(default_factory=list)
    lists: list[int] = field(default_factory=list)
    news: list[int] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Arrival:
    """The next RPC comes."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A node answers a pick."""

    rpc: int
    nth: int
    node: int
    took_ms: float
    ending: ifc.Outcome


@dataclass(frozen=True, slots=True)
class ListChange:
    """The list of nodes changes."""


@dataclass(frozen=True, slots=True)
class Reply:
    """The platform answers a vote."""


Occasion = Arrival | Answer | ListChange | Reply | ifc.TimerFired


class Load:
    """One marshal, its clients, nodes and platform in one thread."""

    def __init__(self, start: ifc.BalancerSettings, situation: Situation, seed: int, meter: Meter) -> None:
        self.start, self.situation, self.meter = start, situation, meter
        self.chance, self.now = random.Random(seed), BEGIN_MS
        self.due: list[tuple[float, int, Occasion]] = []
        self.order = self.taken = self.wanted = self.answered = self.version = 0
        self.open: dict[int, int] = {}  # RPCs without a final answer: how many picks each has had
        self.again: set[int] = set()  # RPCs that had a second pick
        self.spent = Spent()
        self.marshal = Balancer(start)
        self.carry_out(self.marshal.begin(self.now))
        self.tell_list(ifc.ListKind.FULL, tuple(situation.entries))
        self.handle(situation.news(), self.spent.news.append)
        self.set(situation.every_ms, ListChange())

    def run(self, rpcs: int) -> range:
        """Takes so many more RPCs, to the last one's answer; their numbers."""
        first = self.taken + 1
        self.wanted += rpcs
        self.set(0.0, Arrival())
        while self.taken < self.wanted or self.open:
            self.step()
        return range(first, self.taken + 1)

    def set(self, delay_ms: float | None, what: Occasion) -> None:
        if delay_ms is not None:
            self.order += 1
            heapq.heappush(self.due, (self.now + delay_ms, self.order, what))

    def step(self) -> None:
        self.now, _, what = heapq.heappop(self.due)
        match what:
            case Arrival():
                self.arrive()
            case Answer():
                self.answer(what)
            case ListChange():
                self.tell_list(ifc.ListKind.DELTA, self.situation.change(self.now))
                self.set(self.situation.every_ms, what)
            case Reply():
                self.handle(self.situation.news(reply=True), self.spent.news.append)
            case ifc.TimerFired(token=token) if token % TIMERS_PER_RPC == EVALUATION_TIMER:
                self.handle(what, self.spent.beats.append)
            case ifc.TimerFired(token=token):
                self.handle_for(token // TIMERS_PER_RPC, what)

    def arrive(self) -> None:
        self.taken += 1
        self.open[self.taken] = 0
        method = self.chance.randrange(len(self.start.methods))
        tenant = self.taken % len(self.start.tenants) if self.start.tenants else 0
        taken = ifc.RpcReceived(self.taken, method, tenant, 0, self.now + WAIT_MS, None, False, False)
        if self.taken < self.wanted:
            self.set(self.chance.expovariate(RATE_PER_S / 1000.0), Arrival())
        self.handle_for(self.taken, taken)

    def answer(self, answer: Answer) -> None:
        if answer.ending == ifc.Outcome.OK and self.open.pop(answer.rpc, None) is not None:
            self.answered += 1
        final = answer.rpc not in self.open
        ended = ifc.PickEnded(answer.rpc, answer.nth, answer.node, answer.ending, final, answer.took_ms, {})
        self.handle_for(answer.rpc, ended)

    def tell_list(self, kind: ifc.ListKind, entries: tuple[ifc.NodeEntry, ...]) -> None:
        self.version += 1
        self.handle(ifc.NodeList(kind, self.version, entries), self.spent.lists.append)

    def handle_for(self, rpc: int, event: ifc.Event) -> None:
        def add(spent: int) -> None:
            self.spent.rpcs[rpc] += spent

        self.handle(event, add)

    def handle(self, event: ifc.Event, spend: Callable[[int], object]) -> None:
        before = self.meter()
        actions = self.marshal.handle(self.now, event)
        spend(self.meter() - before)
        self.carry_out(actions)

    def carry_out(self, actions: list[ifc.Action]) -> None:
        for action in actions:
            match action:
                case ifc.Pick():
                    self.pick(action)
                case ifc.SetTimer():
                    self.set(action.delay_ms, ifc.TimerFired(action.token))
                case ifc.PushBack() | ifc.Abort():
                    self.open.pop(action.rpc_id, None)
                case ifc.Vote():
                    self.set(VOTE_MS, Reply())

    def pick(self, pick: ifc.Pick) -> None:
        if pick.rpc_id not in self.open:
            return
        nth, self.open[pick.rpc_id] = self.open[pick.rpc_id], self.open[pick.rpc_id] + 1
        if nth > 0:
            self.again.add(pick.rpc_id)
        took_ms = ANSWER_MS * self.chance.lognormvariate(0.0, SPREAD)
        ending = ifc.Outcome.ERROR if self.chance.random() < FAILING else ifc.Outcome.OK
        self.set(took_ms, Answer(pick.rpc_id, nth, pick.node, took_ms, ending))

"""The rules of the routing that each marshal is held to."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from brookreach import interface as ifc

NEVER_RAN = (ifc.Outcome.FULL, ifc.Outcome.NO_CONNECT, ifc.Outcome.MOOT)


Say = Callable[[str, float, str], None]


class Rules:
    """What one marshal may do, kept apart from its own bookkeeping."""

    def __init__(self, start: ifc.BalancerSettings, say: Say, look: Callable[[str], None]):
        self.start, self.say, self.look = start, say, look
        self.news: ifc.RolloutStatus | None = None
        self.states: dict[int, tuple[ifc.NodeEntry, float]] = {}  # node: entry, when its state was told
        self.rpcs: dict[int, tuple[int, bool]] = {}  # RPC: method, whether answered
        self.picks: dict[int, list[ifc.Outcome | None]] = {}
        self.taken: deque[float] = deque()
        self.trial: deque[tuple[float, int]] = deque()
        self.cap_fell = -math.inf

    def event(self, now: float, event: ifc.Event) -> None:
        match event:
            case ifc.NodeList():
                if event.kind in (ifc.ListKind.FULL, ifc.ListKind.CACHED):
                    kept = {entry.node for entry in event.entries}
                    self.states = {n: s for n, s in self.states.items() if n in kept}
                for entry in event.entries:
                    old = self.states.get(entry.node)
                    told = old[1] if old and old[0].state == entry.state else now
                    self.states[entry.node] = entry, told
            case ifc.RpcReceived():
                self.rpcs[event.rpc_id] = event.method, False
                self.taken.append(now)
            case ifc.PickEnded():
                if event.rpc_id in self.picks and event.pick_index < len(self.picks[event.rpc_id]):
                    self.picks[event.rpc_id][event.pick_index] = event.outcome
                if event.is_final:
                    self.answered(now, event.rpc_id, "ok")
            case ifc.RolloutStatus() if event.ending == ifc.Outcome.OK:
                if self.news is None or event.cap < self.news.cap or event.build != self.news.build:
                    self.cap_fell = now
                self.news = event

    def answered(self, now: float, rpc: int, how: str) -> None:
        self.look("one final answer")
        method, done = self.rpcs.get(rpc, (0, True))
        if done:
            self.say("one final answer", now, f"RPC {rpc} has one and gets {how}")
        self.rpcs[rpc] = method, True

    def action(self, now: float, action: ifc.Action) -> None:
        match action:
            case ifc.Pick():
                self.pick(now, action)
            case ifc.PushBack() | ifc.Abort():
                self.answered(now, action.rpc_id, type(action).__name__)

    def pick(self, now: float, pick: ifc.Pick) -> None:
        entry, told = self.states.get(pick.node, (None, -math.inf))
        self.look("drains")
        if entry is None or (entry.state != ifc.NodeState.READY and now > told + self.start.guards.drain_grace_ms):
            self.say("drains", now, f"RPC {pick.rpc_id} goes to node {pick.node}, which is not ready")
        self.look("effects")
        method, done = self.rpcs.get(pick.rpc_id, (0, True))
        if done:
            self.say("effects", now, f"RPC {pick.rpc_id} was answered and is picked again")
        ran = [ending for ending in self.picks.get(pick.rpc_id, []) if ending not in NEVER_RAN]
        if ran and self.start.methods[method].repeat == ifc.Idempotency.NON_IDEMPOTENT:
            self.say("effects", now, f"RPC {pick.rpc_id} may have run and must not run twice")
        self.picks.setdefault(pick.rpc_id, []).append(None)
        if entry is not None and self.on_trial(entry.build):
            self.exposed(now, entry.build)

    def on_trial(self, build: int) -> bool:
        news = self.news
        return news is None or build > news.build or (build == news.build and news.phase != ifc.RolloutPhase.RELEASED)

    def exposed(self, now: float, build: int) -> None:
        self.look("exposure")
        span = self.start.exposure.window_ms
        self.trial.append((now, build))
        while self.trial and self.trial[0][0] <= now - span:
            self.trial.popleft()
        while self.taken and self.taken[0] <= now - span:
            self.taken.popleft()
        count = sum(one == build for _, one in self.trial)
        cap = self.news.cap if self.news and build == self.news.build else self.start.exposure.caps[0]
        if now < self.cap_fell + self.start.guards.drain_grace_ms:
            return  # a lower cap binds once the grace has passed
        if count > self.start.exposure.free + cap * len(self.taken) + 1e-6:
            self.say("exposure", now, f"{count} picks at build {build}, cap {cap:g} of {len(self.taken)} RPCs")

"""The routing rules that each balancer of the drill is held to: exposure by window, one final answer, drains, effects.

They are checked with bookkeeping of their own, made from what goes in and comes out of a balancer.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from brookreach import interface as ifc

# Of picks that no node has executed: named here again, so that the drill does not rest on the policy's own list.
NEVER_EXECUTED = (ifc.Outcome.FULL, ifc.Outcome.NO_CONNECT, ifc.Outcome.MOOT)

ReportViolation = Callable[[str, float, str], None]
"""Takes the rule, the time (ms) and what was seen."""

RecordCheck = Callable[[str], None]
"""Takes a rule that was checked."""

ONE_ANSWER_RULE = "one final answer"
DRAINS_RULE = "drains"
EFFECTS_RULE = "effects"
EXPOSURE_RULE = "exposure"


class RoutingRules:
    """What one balancer may do, from its events and actions alone.

    Attributes:
        start: The balancer's settings.
        report_violation: Called for each violation.
        record_check: Called for each check.
        status: The newest rollout status.
        states: By node: its entry, and when its state was told (ms).
        rpcs: By RPC: its method, and whether it was answered.
        picks: By RPC: the outcome of each pick, None while it is in flight.
        received: When RPCs were received, within the exposure window.
        trial_picks: Time and build of the picks of builds on trial, within the exposure window.
        cap_fell_ms: When the cap last fell or the build changed.
    """

    def __init__(self, start: ifc.BalancerSettings, report_violation: ReportViolation, record_check: RecordCheck):
        self.start = start
        self.report_violation = report_violation
        self.record_check = record_check
        self.status: ifc.RolloutStatus | None = None
        self.states: dict[int, tuple[ifc.NodeEntry, float]] = {}
        self.rpcs: dict[int, tuple[int, bool]] = {}
        self.picks: dict[int, list[ifc.Outcome | None]] = {}
        self.received: deque[float] = deque()
        self.trial_picks: deque[tuple[float, int]] = deque()
        self.cap_fell_ms = -math.inf

    def observe_event(self, now: float, event: ifc.Event) -> None:
        """Take in what the balancer is told at `now` (ms)."""
        match event:
            case ifc.NodeList():
                self._update_nodes(now, event)
            case ifc.RpcReceived():
                self.rpcs[event.rpc_id] = event.method, False
                self.received.append(now)
            case ifc.PickEnded():
                if event.rpc_id in self.picks and event.pick_index < len(self.picks[event.rpc_id]):
                    self.picks[event.rpc_id][event.pick_index] = event.outcome
                if event.is_final:
                    self._check_answer(now, event.rpc_id, "ok")
            case ifc.RolloutStatus() if event.ending == ifc.Outcome.OK:
                if self.status is None or event.cap < self.status.cap or event.build != self.status.build:
                    self.cap_fell_ms = now
                self.status = event

    def check_action(self, now: float, action: ifc.Action) -> None:
        """Check what the balancer does at `now` (ms)."""
        match action:
            case ifc.Pick():
                self._check_pick(now, action)
            case ifc.PushBack() | ifc.Abort():
                self._check_answer(now, action.rpc_id, type(action).__name__)

    def _update_nodes(self, now: float, event: ifc.NodeList) -> None:
        if event.kind in (ifc.ListKind.FULL, ifc.ListKind.CACHED):
            listed = {entry.node for entry in event.entries}
            self.states = {node: state for node, state in self.states.items() if node in listed}
        for entry in event.entries:
            old = self.states.get(entry.node)
            told_ms = old[1] if old and old[0].state == entry.state else now
            self.states[entry.node] = entry, told_ms

    def _check_answer(self, now: float, rpc_id: int, how: str) -> None:
        self.record_check(ONE_ANSWER_RULE)
        method, is_answered = self.rpcs.get(rpc_id, (0, True))
        if is_answered:
            self.report_violation(ONE_ANSWER_RULE, now, f"RPC {rpc_id} has one and gets {how}")
        self.rpcs[rpc_id] = method, True

    def _check_pick(self, now: float, pick: ifc.Pick) -> None:
        entry, told_ms = self.states.get(pick.node, (None, -math.inf))
        self.record_check(DRAINS_RULE)
        if entry is None or (entry.state != ifc.NodeState.READY and now > told_ms + self.start.guards.drain_grace_ms):
            self.report_violation(DRAINS_RULE, now, f"RPC {pick.rpc_id} goes to node {pick.node}, which is not ready")
        self.record_check(EFFECTS_RULE)
        method, is_answered = self.rpcs.get(pick.rpc_id, (0, True))
        if is_answered:
            self.report_violation(EFFECTS_RULE, now, f"RPC {pick.rpc_id} was answered and is picked again")
        may_have_run = any(outcome not in NEVER_EXECUTED for outcome in self.picks.get(pick.rpc_id, []))
        if may_have_run and self.start.methods[method].repeat == ifc.Idempotency.NON_IDEMPOTENT:
            self.report_violation(EFFECTS_RULE, now, f"RPC {pick.rpc_id} may have run and must not run twice")
        self.picks.setdefault(pick.rpc_id, []).append(None)
        if entry is not None and self._is_on_trial(entry.build):
            self._check_exposure(now, entry.build)

    def _is_on_trial(self, build: int) -> bool:
        status = self.status
        if status is None or build > status.build:
            return True
        return build == status.build and status.phase != ifc.RolloutPhase.RELEASED

    def _check_exposure(self, now: float, build: int) -> None:
        self.record_check(EXPOSURE_RULE)
        exposure = self.start.exposure
        window_start_ms = now - exposure.window_ms
        self.trial_picks.append((now, build))
        while self.trial_picks and self.trial_picks[0][0] <= window_start_ms:
            self.trial_picks.popleft()
        while self.received and self.received[0] <= window_start_ms:
            self.received.popleft()
        count = sum(picked_build == build for _, picked_build in self.trial_picks)
        cap = self.status.cap if self.status and build == self.status.build else exposure.caps[0]
        if now < self.cap_fell_ms + self.start.guards.drain_grace_ms:
            return  # a lower cap binds once the grace has passed
        if count > exposure.free + cap * len(self.received) + 1e-6:
            self.report_violation(
                EXPOSURE_RULE, now, f"{count} picks at build {build}, cap {cap:g} of {len(self.received)} RPCs"
            )

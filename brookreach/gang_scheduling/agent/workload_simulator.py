"""Plays the work of gangs' members on one node: it loads, works, saves and ends by the clock, as a real one would.

No member works past its grant. What it plays ends with its process, so none of an earlier process works when this one
begins.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from brookreach.coordination.clock import now_ms
from brookreach.gang_scheduling.agent.actions import (
    ExtendGrants,
    KillMember,
    MemberAction,
    NodeAction,
    RunMember,
    SaveCheckpoint,
    StartMember,
)
from brookreach.gang_scheduling.agent.agent import GangAgent
from brookreach.gang_scheduling.agent.node_log import LogEvent, NodeLog, PlayedIncarnation
from brookreach.gang_scheduling.member_key import MemberKey
from brookreach.gang_scheduling.tables import GangRow


class WorkloadSimulator:
    """The node's side of its agent: carries out actions, and tells the agent what became of them."""

    def __init__(self, agent: GangAgent, log: NodeLog, find_gang: Callable[[str], GangRow | None]) -> None:
        self._agent = agent
        self._log = log
        self._find_gang = find_gang
        self._incarnations: dict[MemberKey, PlayedIncarnation] = {}
        self._timers: list[tuple[float, int, Callable[[], None]]] = []  # moment, order, what is due
        self._timer_numbers = itertools.count()

    def end_expired(self, at_ms: float) -> None:
        """Ends incarnations whose grant is over."""
        for incarnation in list(self._incarnations.values()):
            if at_ms >= incarnation.grant_until_ms:
                self._end(incarnation, "grant ended")

    def run_next_timer(self, at_ms: float) -> bool:
        """Runs the first timer that is due; False where there is none."""
        if not self._timers or self._timers[0][0] > at_ms:
            return False
        _, _, callback = heapq.heappop(self._timers)
        callback()
        return True

    def execute(self, action: NodeAction) -> None:
        """Carries out an action of the agent; one for another incarnation than the present has no effect."""
        match action:
            case ExtendGrants(grant_until_ms=until_ms):
                self._extend_grants(until_ms)
            case StartMember():
                self._start(action)
            case RunMember() | SaveCheckpoint() | KillMember():
                self._change(action)

    def _extend_grants(self, until_ms: float) -> None:
        at_ms = now_ms()
        for incarnation in self._incarnations.values():
            if until_ms > incarnation.grant_until_ms > at_ms:
                incarnation.grant_until_ms = until_ms
                self._log.write(LogEvent.GRANT, incarnation)

    def _start(self, action: StartMember) -> None:
        gang = self._gang(action.key)
        incarnation = PlayedIncarnation(
            action.key,
            action.fencing_token,
            action.epoch,
            action.grant_until_ms,
            float(gang.checkpointed_work_ms),
        )
        self._incarnations[action.key] = incarnation
        self._log.write(LogEvent.START, incarnation)
        self._schedule(gang.restore_cost_ms, lambda: self._loaded(incarnation))

    def _change(self, action: MemberAction) -> None:
        incarnation = self._incarnations.get(action.key)
        if incarnation is None or incarnation.fencing_token != action.fencing_token:
            return
        at_ms = now_ms()
        incarnation.pause(at_ms)
        match action:
            case KillMember():
                self._end(incarnation, "killed")
            case RunMember():
                incarnation.working_since_ms = at_ms
                self._log.write(LogEvent.RUN, incarnation)
            case SaveCheckpoint(epoch=epoch):
                cost_ms = self._gang(action.key).checkpoint_cost_ms
                self._schedule(cost_ms, lambda: self._saved(incarnation, epoch))

    def _gang(self, key: MemberKey) -> GangRow:
        row = self._find_gang(key.gang)
        if row is None:
            raise LookupError(f"no gang {key.gang!r} in the agent's cache, though a task names it")
        return row

    def _loaded(self, incarnation: PlayedIncarnation) -> None:
        if self._is_present(incarnation):
            self._agent.on_member_loaded(incarnation.key, incarnation.fencing_token)

    def _saved(self, incarnation: PlayedIncarnation, epoch: int) -> None:
        if not self._is_present(incarnation) or incarnation.working_since_ms is not None:
            return
        gang = self._find_gang(incarnation.key.gang)
        work_ms = int(incarnation.work_ms)
        if gang is not None:
            work_ms = min(work_ms, gang.work_ms)
        incarnation.epoch = epoch
        self._log.write(LogEvent.SAVED, incarnation)
        self._agent.on_checkpoint_saved(incarnation.key, incarnation.fencing_token, epoch, work_ms)

    def _end(self, incarnation: PlayedIncarnation, why: str) -> None:
        if not self._is_present(incarnation):
            return
        del self._incarnations[incarnation.key]
        self._log.write(LogEvent.STOP, incarnation, why)
        key, fencing_token = incarnation.key, incarnation.fencing_token
        self._schedule(0.0, lambda: self._agent.on_member_exited(key, fencing_token, why))

    def _is_present(self, incarnation: PlayedIncarnation) -> bool:
        return self._incarnations.get(incarnation.key) is incarnation

    def _schedule(self, delay_ms: float, callback: Callable[[], None]) -> None:
        entry = (now_ms() + delay_ms, next(self._timer_numbers), callback)
        heapq.heappush(self._timers, entry)

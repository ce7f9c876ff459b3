"""What a running gang does next about its checkpoints and the notices on its nodes: facts in, one step out.

It owns when to checkpoint, which members leave, and when it is better to go back to the last checkpoint. It must never
start to leave a node that stands without a permit, nor ask for a checkpoint that can't end in time where the work it
would save is to be lost with a node anyway.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from brookreach.gang_scheduling.running_gang import MemberOnNode, MigrationConditions, RunningGang
from brookreach.gang_scheduling.tables import GangRow

NOTICE_HORIZON_MS = 1_800_000  # a notice farther off than this waits for the next checkpoint that is due anyway
HORIZON_PER_MIGRATION_COST = 8  # or than so many times what a move costs
PERMIT_HOLD_MS = 5_000  # the least that granted permits are held for others that are not; else what a move costs
MARGIN_MS = 2_000  # between the end of a checkpoint and the node's
MAX_URGENCY = 9


class StepKind(Enum):
    """What a running gang does next."""

    CONTINUE = "continue"
    REQUEST_PERMITS = "request permits"
    CHECKPOINT = "checkpoint"
    CHECKPOINT_AND_MIGRATE = "checkpoint and migrate"
    RESTORE = "restore"  # members migrate at once, the gang goes back to its last epoch


@dataclass(frozen=True, slots=True)
class Step:
    """A decision, which holds until `wake_ms`."""

    kind: StepKind
    migrating: tuple[int, ...]
    wake_ms: int
    reason: str


class _WakeTimes:
    """Moments at which the decision may be another one."""

    def __init__(self, *moments_ms: int) -> None:
        self._moments_ms = list(moments_ms)

    def add(self, *moments_ms: int) -> None:
        self._moments_ms += moments_ms

    def first_after(self, now_ms: int, default_ms: int) -> int:
        return min((moment_ms for moment_ms in self._moments_ms if moment_ms > now_ms), default=default_ms)


def latest_checkpoint_ms(departure_ms: int, cost_ms: int) -> int:
    """Returns the last moment to request a checkpoint that ends before the node does."""
    return departure_ms - cost_ms - MARGIN_MS - cost_ms // 4


def earliest_migration_ms(gang: RunningGang, departure_ms: int) -> int:
    """Returns from when on the gang tries to leave.

    Long before the departure it does so only together with a checkpoint that is due anyway.
    """
    horizon_ms = max(NOTICE_HORIZON_MS, HORIZON_PER_MIGRATION_COST * gang.migration_cost_ms)
    return max(gang.now_ms, min(gang.next_checkpoint_ms, departure_ms - horizon_ms))


def decide(gang: RunningGang, members: Sequence[MemberOnNode], conditions: MigrationConditions) -> Step:
    """Returns what the gang does next."""
    now_ms = gang.now_ms
    leaving = sorted(
        (member for member in members if member.departure_ms and member.departure_ms < gang.end_ms),
        key=lambda member: (member.departure_ms, member.number),
    )
    departed = [member for member in leaving if member.departure_ms <= now_ms]
    if departed:
        nodes = ", ".join(dict.fromkeys(member.node for member in departed))
        return Step(StepKind.RESTORE, _numbers(departed), now_ms, f"{nodes} out: back to the last checkpoint")
    if gang.remaining_ms <= 0:
        return Step(StepKind.CHECKPOINT, (), now_ms, "last checkpoint: all work is done")
    wake = _WakeTimes(gang.next_checkpoint_ms, now_ms + gang.remaining_ms)
    if leaving:
        step = _react_to_notices(gang, leaving, conditions, wake)
        is_overdue = gang.unsaved_ms >= gang.interval_ms + PERMIT_HOLD_MS and gang.is_checkpoint_worthwhile
        if step is not None and not (step.kind == StepKind.REQUEST_PERMITS and is_overdue):
            return step
    if gang.next_checkpoint_ms <= now_ms and gang.is_checkpoint_worthwhile:
        return Step(StepKind.CHECKPOINT, (), now_ms, f"checkpoint after {gang.unsaved_ms} ms of work")
    return Step(StepKind.CONTINUE, (), wake.first_after(now_ms, now_ms + gang.checkpoint_cost_ms), "")


@dataclass(frozen=True, slots=True)
class _MigrationChoice:
    """Members that are to leave, those of them that may now, and why."""

    wanted: tuple[int, ...]
    permitted: tuple[int, ...]
    reason: str


def _react_to_notices(
    gang: RunningGang, leaving: Sequence[MemberOnNode], conditions: MigrationConditions, wake: _WakeTimes
) -> Step | None:
    """Returns a step because of notices; None: not yet, `wake` says when to decide again."""
    now_ms, first = gang.now_ms, leaving[0]
    checkpoint_by_ms = latest_checkpoint_ms(first.departure_ms, gang.checkpoint_cost_ms)
    migrate_from_ms = earliest_migration_ms(gang, first.departure_ms)
    wake.add(migrate_from_ms, checkpoint_by_ms, first.departure_ms)
    choice = _MigrationChoice((), (), f"{first.node} leaves at {first.departure_ms}")
    if migrate_from_ms <= now_ms or gang.has_permits:
        choice = _choose_migrating(gang, leaving, conditions, checkpoint_by_ms)
    why = choice.reason
    if choice.permitted and now_ms <= checkpoint_by_ms:
        numbers = ", ".join(str(number) for number in choice.permitted)
        reason = f"{why}: checkpoint, then members {numbers} move"
        return Step(StepKind.CHECKPOINT_AND_MIGRATE, choice.permitted, now_ms, reason)
    if choice.permitted:
        reason = f"{why}, before a checkpoint could end: back to the last one"
        return Step(StepKind.RESTORE, choice.permitted, now_ms, reason)
    if _should_save_before_departure(gang, first.departure_ms, checkpoint_by_ms):
        reason = f"{why}, no leave to move yet: checkpoint while it stands"
        return Step(StepKind.CHECKPOINT, (), now_ms, reason)
    if choice.wanted:
        retry_ms = now_ms + PERMIT_HOLD_MS
        wake.add(retry_ms)
        wake_ms = wake.first_after(now_ms, retry_ms)
        return Step(StepKind.REQUEST_PERMITS, choice.wanted, wake_ms, f"{why}: asks to move")
    return None


def _choose_migrating(
    gang: RunningGang, leaving: Sequence[MemberOnNode], conditions: MigrationConditions, checkpoint_by_ms: int
) -> _MigrationChoice:
    """Chooses who leaves: all at once where there is capacity, as a later move would cost as much again."""
    first = leaving[0]
    why = f"{first.node} leaves at {first.departure_ms}"
    is_last_moment = checkpoint_by_ms - MARGIN_MS <= gang.now_ms
    hold_ms = 0 if is_last_moment else max(PERMIT_HOLD_MS, gang.migration_cost_ms)
    wanted = _numbers(leaving)
    permitted = _permitted_members(leaving, conditions, gang.now_ms - hold_ms)
    waits_for_permits = gang.has_permits and not permitted
    if waits_for_permits or conditions.has_capacity_elsewhere(permitted or wanted):
        return _MigrationChoice(wanted, permitted, why)
    must_leave_by_ms = first.departure_ms + gang.migration_cost_ms + MARGIN_MS
    wanted = _numbers([member for member in leaving if member.departure_ms <= must_leave_by_ms])
    permitted = tuple(number for number in permitted if number in wanted)
    if conditions.has_capacity_elsewhere(permitted or wanted):
        return _MigrationChoice(wanted, permitted, why)
    return _MigrationChoice((), (), f"{why}; no room for it elsewhere")


def _permitted_members(
    migrating: Sequence[MemberOnNode], conditions: MigrationConditions, granted_before_ms: int
) -> tuple[int, ...]:
    """Returns all that are to migrate once all may.

    Else it returns those that may, where the others have kept them waiting since `granted_before_ms`.
    """
    granted_ms = conditions.granted_ms
    permitted = [
        member for member in migrating if not conditions.needs_permit(member.node) or member.node in granted_ms
    ]
    if len(permitted) == len(migrating):
        return _numbers(permitted)
    held_since = [granted_ms[member.node] for member in permitted if member.node in granted_ms]
    if permitted and (not held_since or min(held_since) <= granted_before_ms):
        return _numbers(permitted)
    return ()


def _should_save_before_departure(gang: RunningGang, departure_ms: int, checkpoint_by_ms: int) -> bool:
    """Returns whether to save the work once, as late as a checkpoint can still end."""
    checkpointed_from_ms = checkpoint_by_ms - gang.checkpoint_cost_ms - MARGIN_MS
    is_checkpointed = checkpointed_from_ms <= gang.checkpoint_requested_ms
    is_time = checkpoint_by_ms <= gang.now_ms <= departure_ms - gang.checkpoint_cost_ms
    return is_time and not is_checkpointed and gang.unsaved_ms > gang.checkpoint_cost_ms


def _numbers(members: Sequence[MemberOnNode]) -> tuple[int, ...]:
    return tuple(member.number for member in members)


def permit_urgency(row: GangRow, gang: RunningGang, departure_ms: int) -> int:
    """Returns 0 to `MAX_URGENCY`.

    It grows with how soon the node goes beside what a move takes, and with what is lost if it goes first: the deadline,
    or more work than a move costs.
    """
    slack_ms = latest_checkpoint_ms(departure_ms, gang.checkpoint_cost_ms) - gang.now_ms
    by_time = 2
    if slack_ms <= 4 * gang.migration_cost_ms:
        by_time = 6
    elif slack_ms <= 16 * gang.migration_cost_ms:
        by_time = 4
    at_stake_ms = gang.unsaved_ms + max(0, departure_ms - gang.now_ms)
    end_if_lost_ms = gang.end_ms + at_stake_ms + gang.migration_cost_ms
    misses_deadline = bool(row.deadline_ms) and gang.end_ms <= row.deadline_ms < end_if_lost_ms
    by_deadline = 2 if misses_deadline else 0
    by_stake = 1 if at_stake_ms > 4 * gang.migration_cost_ms else 0
    return min(MAX_URGENCY, by_time + by_deadline + by_stake)

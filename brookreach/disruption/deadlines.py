"""Timers: what time alone will change, as rows in the order of their times, so the next one is the first row.

What a timer means is known to the application, which handles those that are due. A timer that no longer matters may
stay: its handler looks at the state as it is.
"""

from __future__ import annotations

from enum import StrEnum

from brookreach.coordination.state_machine.application import StagedChanges, View
from brookreach.disruption.internal_tables import TIMERS, TimerRow, first_row, iterate_rows

MAX_TIMERS_PER_RECORD = 32  # the others are due at once, in the next record
TIME_DIGITS = 16  # keys order by time as text


class TimerKind(StrEnum):
    """What a timer does when it is due; its name says to which permit, target or build."""

    SET_OVERDUE = "late"
    FORGET_PERMIT = "forget"
    FORGET_TARGET = "node"
    FORGET_VOTES = "votes"
    ADVANCE_STAGE = "stage"
    CONTINUE_BATCH = "draw"
    GRANT_WAITING = "serve"


def _key(deadline_ms: int, kind: TimerKind, name: str) -> str:
    return f"{deadline_ms:0{TIME_DIGITS}d}/{kind}/{name}"


def _deadline_of(key: str) -> int:
    return int(key[:TIME_DIGITS])


def schedule(draft: StagedChanges, deadline_ms: int, kind: TimerKind, name: str) -> None:
    """Adds a timer; the same one again changes nothing."""
    draft.put(TIMERS, _key(deadline_ms, kind, name), TimerRow(str(kind), name))


def cancel(draft: StagedChanges, deadline_ms: int, kind: TimerKind, name: str) -> None:
    """Removes a timer, if there is one."""
    draft.put(TIMERS, _key(deadline_ms, kind, name), None)


def next_timer_ms(view: View) -> int | None:
    """When the next timer is due; None: there is none."""
    first = first_row(view, TIMERS)
    return _deadline_of(first[0]) if first else None


def pop_expired(draft: StagedChanges, now_ms: int) -> list[TimerRow]:
    """Removes and returns timers that are due, at most `MAX_TIMERS_PER_RECORD`."""
    expired: list[tuple[str, TimerRow]] = []
    for key, row in iterate_rows(draft, TIMERS):
        if _deadline_of(key) > now_ms or len(expired) == MAX_TIMERS_PER_RECORD:
            break
        expired.append((key, row))
    for key, _ in expired:
        draft.put(TIMERS, key, None)
    return [row for _, row in expired]

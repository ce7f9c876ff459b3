"""What time alone will do: reconcile a gang, place what waits, give up on the agent of a node.

It owns the timers and each gang's next reconciliation; nothing else puts these rows.
"""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.coordination.state_machine.application import StagedChanges, View
from brookreach.disruption.internal_tables import first_row, iterate_rows
from brookreach.gang_scheduling.tables import RECONCILE_TIMES, TIMERS, ReconcileTimeRow, TimerRow
from brookreach.gang_scheduling.totals import read_totals, set_next_round

RECONCILE_INTERVAL_MS = 30_000
"""A gang that holds capacity is reconciled no later than this after the last time; `ReconcileNode` comes before."""
PLACEMENT_ROUND = "@"  # the name of a round's timer; before a node's name, of its agent's ended session
TIMESTAMP_DIGITS = 16


@dataclass(frozen=True, slots=True)
class ReconcileTimer:
    """A gang is to be reconciled."""

    gang: str


@dataclass(frozen=True, slots=True)
class PlacementRoundTimer:
    """What waits is to be placed."""


@dataclass(frozen=True, slots=True)
class AgentReleaseTimer:
    """What an agent's ended session had started on its node counts as stopped."""

    node: str
    key: str  # of its timer, which its handler removes


Timer = ReconcileTimer | PlacementRoundTimer | AgentReleaseTimer


def timer_key(at_ms: int, name: str) -> str:
    """Returns the key of a timer; keys stand in the order of their moments."""
    return f"{at_ms:0{TIMESTAMP_DIGITS}d}/{name}"


def next_timer_ms(view: View) -> int | None:
    """Returns the moment of the first timer; None where there is none."""
    entry = first_row(view, TIMERS)
    return None if entry is None else _moment_ms(entry[0])


def expired_timers(view: View, now_ms: int) -> list[Timer]:
    """Returns the timers whose moment has come, in order."""
    due: list[Timer] = []
    for key, row in iterate_rows(view, TIMERS):
        if _moment_ms(key) > now_ms:
            break
        if row.name == PLACEMENT_ROUND:
            due.append(PlacementRoundTimer())
        elif row.name.startswith(PLACEMENT_ROUND):
            due.append(AgentReleaseTimer(row.name.removeprefix(PLACEMENT_ROUND), key))
        else:
            due.append(ReconcileTimer(row.name))
    return due


def _moment_ms(key: str) -> int:
    return int(key[:TIMESTAMP_DIGITS])


class GangTimers:
    """The timers as one record changes them."""

    def __init__(self, changes: StagedChanges, now_ms: int) -> None:
        self._changes = changes
        self._now_ms = now_ms

    def schedule_reconcile(self, gang: str, at_ms: int) -> None:
        """Reconciles a gang then, and not by time alone before; 0: not at all."""
        previous_ms = self.scheduled_reconcile_ms(gang)
        if previous_ms and previous_ms != at_ms:
            self._changes.put(TIMERS, timer_key(previous_ms, gang), None)
        if at_ms and previous_ms != at_ms:
            self._changes.put(TIMERS, timer_key(at_ms, gang), TimerRow(gang))
        self._changes.put(RECONCILE_TIMES, gang, ReconcileTimeRow(at_ms) if at_ms else None)

    def scheduled_reconcile_ms(self, gang: str) -> int:
        """Returns when a gang is reconciled next; 0: never."""
        row: ReconcileTimeRow | None = self._changes.get(RECONCILE_TIMES, gang)
        return row.at_ms if row else 0

    def next_reconcile_ms(self) -> int:
        """Returns the next full multiple of the interval, so that gangs share the record that reconciles them."""
        return (self._now_ms // RECONCILE_INTERVAL_MS + 1) * RECONCILE_INTERVAL_MS

    def schedule_round(self, at_ms: int) -> None:
        """Places what waits no later than then."""
        due_ms = read_totals(self._changes).next_round_ms
        if due_ms and due_ms <= at_ms:
            return
        if due_ms:
            self._changes.put(TIMERS, timer_key(due_ms, PLACEMENT_ROUND), None)
        self._changes.put(TIMERS, timer_key(at_ms, PLACEMENT_ROUND), TimerRow(PLACEMENT_ROUND))
        set_next_round(self._changes, at_ms)

    def finish_round(self) -> None:
        """Removes the round's timer; no round is due."""
        due_ms = read_totals(self._changes).next_round_ms
        if due_ms:
            self._changes.put(TIMERS, timer_key(due_ms, PLACEMENT_ROUND), None)
            set_next_round(self._changes, 0)

    def schedule_agent_release(self, node: str, at_ms: int) -> None:
        """Takes what the node's agent had started for stopped then."""
        name = PLACEMENT_ROUND + node
        self._changes.put(TIMERS, timer_key(at_ms, name), TimerRow(name))

    def cancel_agent_release(self, node: str, at_ms: int) -> None:
        """Removes the timer that was scheduled for `at_ms`."""
        self._changes.put(TIMERS, timer_key(at_ms, PLACEMENT_ROUND + node), None)

    def remove(self, timer: AgentReleaseTimer) -> None:
        """Removes a timer that was handled."""
        self._changes.put(TIMERS, timer.key, None)

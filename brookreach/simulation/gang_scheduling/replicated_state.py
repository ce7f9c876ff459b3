"""The replicas of a simulated cluster: one ordered table that takes records, sessions with leases, and one timer.

The application is the real one. Every change of a gang's state is checked by its transition table.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.state_machine.application import CommandRejectedError, Context, RowUpdate
from brookreach.disruption.tables import PERMITS, PermitRow
from brookreach.gang_scheduling.application import GangSchedulingApplication
from brookreach.gang_scheduling.commands import Commands
from brookreach.gang_scheduling.gang_state import GangState, check_transition
from brookreach.gang_scheduling.tables import GANGS, MEMBERS, GangRow
from brookreach.simulation.engine.ordered_tables import Ordered
from brookreach.simulation.gang_scheduling.event_queue import EventQueue
from brookreach.simulation.gang_scheduling.ground_truth import CLOCK_DRIFT, GroundTruth, PermitSpan, SessionEnd

EPOCH_MS = 1_700_000_000_000  # the agreed time when a run begins


@dataclass(frozen=True, slots=True)
class Session:
    """A session of a node's agent, and when the replicas may end it."""

    number: int
    expires_ms: float


@dataclass(frozen=True, slots=True)
class GrantedPermit:
    """A permit that stands."""

    gang: str
    node: str
    granted_ms: float


def _changes_tasks(before: GangRow, after: GangRow) -> bool:
    """Returns whether nodes' tasks may differ after a change of a gang's row."""
    previous = before.state, before.requested_epoch, before.plan_index
    return previous != (after.state, after.requested_epoch, after.plan_index)


class ReplicatedState:
    """The agreed state of a run.

    Attributes:
        application: Gang scheduling.
        view: The tables.
        granted_permits: Those that stand, by name.
        log_index: Of the last record.
    """

    def __init__(
        self,
        application: GangSchedulingApplication,
        events: EventQueue,
        truth: GroundTruth,
        lease_ms: float,
        on_tasks_changed: Callable[[str], None],
    ) -> None:
        """Starts with no rows.

        Args:
            application: Gang scheduling.
            events: Virtual time.
            truth: Where permits, sessions, gangs and rejections are recorded.
            lease_ms: Of sessions.
            on_tasks_changed: Called with a gang's name where its nodes' tasks may have changed.
        """
        self.application = application
        self.view = Ordered()
        self.granted_permits: dict[str, GrantedPermit] = {}
        self.log_index = 0
        self._events = events
        self._truth = truth
        self._granted_lease_ms = lease_ms * (1 + CLOCK_DRIFT)
        self._on_tasks_changed = on_tasks_changed
        self._sessions: dict[str, Session] = {}
        self._gang_states: dict[str, GangState] = {}
        self._next_timer_ms = float("inf")

    def propose(self, client: str, client_kind: str, session: int, command: Commands) -> str | None:
        """Proposes a command now; returns why it was rejected, None where it wasn't."""
        if client_kind == "agent" and not self._is_open(client, session):
            return "no session"
        context = self._next_context(client, client_kind, session)
        try:
            updates = self.application.apply(self.view, command, context)
        except CommandRejectedError as rejection:
            name = wire_name(command)
            self._truth.rejections[name] = self._truth.rejections.get(name, 0) + 1
            return str(rejection)
        self._take(updates)
        return None

    def _next_context(self, client: str = "", client_kind: str = "", session: int = 0) -> Context:
        self.log_index += 1
        return Context(self.log_index, EPOCH_MS + int(self._events.now_ms), client, client_kind, session)

    def _take(self, updates: Sequence[RowUpdate]) -> None:
        self.view.apply_updates(updates)
        touched: dict[str, None] = {}
        for update in updates:
            if update.table == PERMITS:
                self._record_permit(update)
            elif update.table == MEMBERS:
                touched[update.key.partition("/")[0]] = None
            elif update.table == GANGS and self._record_gang(update):
                touched[update.key] = None
        for gang in touched:
            self._on_tasks_changed(gang)
        self._schedule_timer()

    def _record_gang(self, update: RowUpdate) -> bool:
        """Records a gang's row; returns whether tasks may differ."""
        before, after = self._truth.gangs.get(update.key), update.row
        if not isinstance(after, GangRow):
            check_transition(update.key, self._gang_states.pop(update.key, None), None)
            return before is not None
        check_transition(update.key, self._gang_states.get(update.key), after.state)
        self._gang_states[update.key] = after.state
        self._truth.gangs[update.key] = after
        return before is None or _changes_tasks(before, after)

    def _record_permit(self, update: RowUpdate) -> None:
        row = update.row
        if isinstance(row, PermitRow) and row.state == "given":
            permit = GrantedPermit(row.requested_by, row.target, self._events.now_ms)
            self.granted_permits.setdefault(update.key, permit)
        elif update.key in self.granted_permits:
            ended = self.granted_permits.pop(update.key)
            self._truth.permits.append(PermitSpan(ended.gang, ended.node, ended.granted_ms, self._events.now_ms))

    def _schedule_timer(self) -> None:
        due_ms = self.application.next_timer_ms(self.view)
        if due_ms is not None and due_ms - EPOCH_MS < self._next_timer_ms:
            self._next_timer_ms = max(self._events.now_ms, float(due_ms - EPOCH_MS))
            self._events.schedule(self._next_timer_ms - self._events.now_ms, self._run_timer, self._next_timer_ms)

    def _run_timer(self, due_ms: float) -> None:
        if due_ms != self._next_timer_ms:
            return
        self._next_timer_ms = float("inf")
        self._take(self.application.advance_time(self.view, self._next_context()))

    # --- sessions ---

    def _is_open(self, node: str, session: int) -> bool:
        held = self._sessions.get(node)
        return (held.number if held else 0) == session

    def renew_session(self, node: str, session: int) -> int | None:
        """Renews a session, or opens one for 0 and ends the older of its name; None where it has ended."""
        held = self._sessions.get(node)
        if session == 0:
            if held is not None:
                self._end_session(node)
            self.log_index += 1
            session = self.log_index
            self._events.schedule(self._granted_lease_ms, self._expire, node, session)
        elif held is None or held.number != session:
            return None
        self._sessions[node] = Session(session, self._events.now_ms + self._granted_lease_ms)
        return session

    def _end_session(self, node: str) -> None:
        session = self._sessions.pop(node)
        self._truth.session_ends.append(SessionEnd(node, self._events.now_ms))
        context = self._next_context(node, "agent", session.number)
        self._take(self.application.end_session(self.view, context))

    def _expire(self, node: str, session: int) -> None:
        held = self._sessions.get(node)
        if held is None or held.number != session:
            return
        if held.expires_ms <= self._events.now_ms:
            self._end_session(node)
        else:
            self._events.schedule(held.expires_ms - self._events.now_ms, self._expire, node, session)

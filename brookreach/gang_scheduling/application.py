"""APPLICATION: gang scheduling as an application of the replicated state machine.

Each record is checked, taken as fact, and the gangs that it touches are reconciled. What becomes of a gang is decided
in `reconcile` and below.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from brookreach.coordination.state_machine.application import Context, Row, RowUpdate, View
from brookreach.gang_scheduling import (
    agent_reports,
    carbon_placement,
    checkpoints,
    operator_commands,
    recovery,
    tables,
    timers,
)
from brookreach.gang_scheduling import commands as gang_commands
from brookreach.gang_scheduling.departures import departure_ms
from brookreach.gang_scheduling.disruption_permits import DisruptionPermits, PermitProvider
from brookreach.gang_scheduling.gang_state import FINAL_STATES
from brookreach.gang_scheduling.queue import PreferPlacement, place_waiting
from brookreach.gang_scheduling.reconcile import reconcile
from brookreach.gang_scheduling.timers import AgentReleaseTimer, PlacementRoundTimer, ReconcileTimer
from brookreach.gang_scheduling.totals import read_totals
from brookreach.gang_scheduling.transaction import Transaction

URGENT_DEPARTURE_MS = 60_000  # a node that leaves sooner has its gangs reconciled at once
SECOND_MS = 1000


class GangSchedulingApplication:
    """A `coordination.state_machine.application.Application`."""

    name = "gangs"
    version = 1
    commands: Any = gang_commands.Commands  # a union of types, as the codec takes it
    tables: Mapping[str, type[Row]] = {
        tables.GANGS: tables.GangRow,
        tables.MEMBERS: tables.MemberRow,
        tables.RESERVED_CAPACITY: tables.ReservedCapacityRow,
        tables.SLOTS: tables.SlotRow,
        tables.AGENTS: tables.AgentRow,
        tables.QUEUE: tables.QueueRow,
        tables.TIMERS: tables.TimerRow,
        tables.RECONCILE_TIMES: tables.ReconcileTimeRow,
        tables.TOTALS: tables.TotalsRow,
    }

    def __init__(self, permits: PermitProvider, prefer: PreferPlacement | None = None) -> None:
        self.permits = permits
        self.prefer = prefer

    def apply(self, view: View, order: gang_commands.Commands, context: Context) -> list[RowUpdate]:
        """Returns what a command changes.

        Raises:
            CommandRejectedError: if the state or the sender does not allow it.
        """
        gang_commands.check_sender(order, context)
        transaction = Transaction(view, context, self.permits)
        _reconcile_all(transaction, _apply_command(transaction, order))
        return transaction.effective_updates()

    def next_timer_ms(self, view: View) -> int | None:
        """Returns when time alone next changes something; None: never."""
        return timers.next_timer_ms(view)

    def advance_time(self, view: View, context: Context) -> list[RowUpdate]:
        """Returns what has changed by time alone until `context.now_ms`."""
        transaction = Transaction(view, context, self.permits)
        for timer in timers.expired_timers(view, context.now_ms):
            match timer:
                case ReconcileTimer(gang=gang):
                    _reconcile_gang(transaction, gang)
                case AgentReleaseTimer(node=node):
                    transaction.timers.remove(timer)
                    _reconcile_all(transaction, agent_reports.release_agent_members(transaction, node))
                case PlacementRoundTimer():
                    pass  # run below, once, after all gangs that are due
        round_ms = read_totals(transaction.changes).next_round_ms
        if round_ms and round_ms <= context.now_ms:
            place_waiting(transaction, self.prefer)
        return transaction.effective_updates()

    def end_session(self, view: View, context: Context) -> list[RowUpdate]:
        """Returns what changes as the session `context.session` of `context.client` ends."""
        if context.client_kind != "agent":
            return []
        transaction = Transaction(view, context, self.permits)
        agent = transaction.agent(context.client)
        if agent is None or agent.session != context.session:
            return []
        for lost in agent_reports.end_session(transaction, agent):
            recovery.handle_lost_members(transaction, lost.gang, lost.numbers, lost.reason, has_exited=False)
            _reconcile_gang(transaction, lost.gang)
        return transaction.effective_updates()


def _apply_command(transaction: Transaction, command: gang_commands.Commands) -> Iterable[str]:
    """Takes a command as fact and returns the gangs that are to be reconciled now."""
    touched: Iterable[str] = []
    match command:
        case gang_commands.SubmitGang():
            operator_commands.submit(transaction, command)
        case gang_commands.CancelGang():
            operator_commands.cancel(transaction, command)
            touched = [command.gang]
        case gang_commands.RegisterAgent():
            touched = agent_reports.register(transaction, command)
        case gang_commands.ConfirmCheckpoint():
            touched = [command.gang] if checkpoints.confirm(transaction, command) else []
        case gang_commands.ReportStarted():
            touched = agent_reports.report_started(transaction, command)
        case gang_commands.ReportStopped() | gang_commands.ReportFailed():
            touched = agent_reports.report_exited(transaction, command)
        case gang_commands.ReportCosts():
            agent_reports.report_costs(transaction, command)
        case gang_commands.ReconcileNode():
            touched = _reconcile_node(transaction, command.node)
    return touched


def _reconcile_all(transaction: Transaction, gangs: Iterable[str]) -> None:
    for gang in dict.fromkeys(gangs):
        _reconcile_gang(transaction, gang)


def _reconcile_gang(transaction: Transaction, gang: str) -> None:
    """Reconciles a gang, and never twice by time alone at the same moment."""
    if transaction.find_gang(gang) is None:
        return
    reconcile(transaction, gang)
    row = transaction.find_gang(gang)
    if row is None:
        return
    if row.state in FINAL_STATES:
        carbon_placement.release_reservation(transaction, gang, row)
    if 0 < transaction.timers.scheduled_reconcile_ms(gang) <= transaction.now_ms:
        transaction.timers.schedule_reconcile(gang, transaction.timers.next_reconcile_ms())


def _reconcile_node(transaction: Transaction, node: str) -> list[str]:
    """Returns the gangs on a node that are to be reconciled now.

    Where there is time, all whose nodes changed within one second are reconciled together, with one reading of the
    nodes.
    """
    gangs = list(dict.fromkeys(key.gang for key in transaction.members_on_node(node)))
    leaves_ms = departure_ms(transaction.node(node), transaction.now_ms)
    if leaves_ms <= transaction.now_ms + URGENT_DEPARTURE_MS:
        return gangs
    next_second_ms = (transaction.now_ms // SECOND_MS + 1) * SECOND_MS
    for gang in gangs:
        due_ms = transaction.timers.scheduled_reconcile_ms(gang)
        at_ms = min(due_ms, next_second_ms) if due_ms else next_second_ms
        transaction.timers.schedule_reconcile(gang, at_ms)
    return []


APPLICATION = GangSchedulingApplication(DisruptionPermits(), carbon_placement.prefer)

"""The application of planned disruptions: hands each command and timer to the module that handles it.

It owns no rule. Halts concern both permits and releases, so they meet here.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any  # a union of types has no type of its own

from brookreach.coordination.state_machine.application import (
    Command,
    CommandRejectedError,
    Context,
    Row,
    RowUpdate,
    StagedChanges,
    View,
)
from brookreach.disruption import (
    budgets,
    commands,
    deadlines,
    halt,
    internal_tables,
    liveness,
    permit_grants,
    permit_requests,
    permits,
    releases,
    tables,
    votes,
)
from brookreach.disruption.deadlines import TimerKind
from brookreach.disruption.internal_tables import TimerRow
from brookreach.disruption.states import PermitAction


def effective_updates(draft: StagedChanges) -> list[RowUpdate]:
    """The updates without those that leave a row as it is."""
    return [update for update in draft.updates() if draft.base.get(update.table, update.key) != update.row]


class DisruptionApplication:
    """Budgets, permits, halts and releases as an application of the replicated state machine."""

    name = "outages"
    version = 1
    commands: Any = commands.Commands
    tables: Mapping[str, type[Row]] = {
        tables.NODES: tables.NodeRow,
        tables.BALANCERS: tables.BalancerRow,
        tables.PERMITS: tables.PermitRow,
        tables.HALT: tables.HaltRow,
        tables.RELEASES: tables.ReleaseRow,
        tables.BUDGETS: tables.BudgetRow,
        tables.BUILD_ASSIGNMENTS: tables.BuildAssignmentRow,
        internal_tables.COUNTS: internal_tables.CountRow,
        internal_tables.OPEN_PERMITS: internal_tables.OpenPermitsRow,
        internal_tables.QUEUE_ENTRIES: internal_tables.QueueEntryRow,
        internal_tables.QUEUES: internal_tables.QueueRow,
        internal_tables.GRANTED_PERMITS: internal_tables.GrantedPermitRow,
        internal_tables.ROLLOUT_ORDER: internal_tables.RolloutOrderRow,
        internal_tables.TIMERS: internal_tables.TimerRow,
        internal_tables.PROGRESS: internal_tables.ProgressRow,
        internal_tables.VOTES: internal_tables.VoteRow,
    }

    def apply(self, view: View, command: Command, context: Context) -> list[RowUpdate]:
        """What the command changes.

        Raises:
            CommandRejectedError: the state or the sender does not allow it.
        """
        commands.check_sender(command, context)
        draft = StagedChanges(view)
        match command:
            case commands.RequestDrain() | commands.RequestRestart() | commands.WithdrawPermit():
                _apply_permit_command(draft, command, context)
            case commands.StartRelease() | commands.RollBackRelease() | commands.CastVote():
                _apply_release_command(draft, command, context)
            case commands.SetBudgets():
                budgets.set_budgets(draft, command)
                permit_grants.grant_waiting(draft, context)
            case commands.Halt():
                halt.start_halt(draft, context, context.client, command.reason, command.allows_rollback)
                releases.pause_all(draft)
            case commands.Resume():
                halt.resume(draft, command.fence)
                releases.resume_all(draft, context)
                permit_grants.grant_waiting(draft, context)
            case _:
                _apply_target_command(draft, command, context)
        return effective_updates(draft)

    def next_timer_ms(self, view: View) -> int | None:
        """When time alone next changes something; None: never."""
        return deadlines.next_timer_ms(view)

    def advance_time(self, view: View, context: Context) -> list[RowUpdate]:
        """What timers change that are due by `context.now_ms`."""
        draft = StagedChanges(view)
        for timer in deadlines.pop_expired(draft, context.now_ms):
            _handle_timer(draft, context, timer)
        permit_grants.grant_waiting(draft, context)
        return effective_updates(draft)

    def end_session(self, view: View, context: Context) -> list[RowUpdate]:
        """What the end of the session of `context.client` changes."""
        draft = StagedChanges(view)
        liveness.end_session(draft, context)
        return effective_updates(draft)


def _apply_permit_command(
    draft: StagedChanges,
    command: commands.RequestDrain | commands.RequestRestart | commands.WithdrawPermit,
    context: Context,
) -> None:
    match command:
        case commands.RequestDrain(name=name, node=node, urgency=urgency, reason=reason):
            permit_requests.request(draft, context, name, PermitAction.DRAIN, node, urgency, reason)
        case commands.RequestRestart(name=name, balancer=balancer, urgency=urgency, reason=reason):
            permit_requests.request(draft, context, name, PermitAction.RESTART, balancer, urgency, reason)
        case commands.WithdrawPermit(name=name, reason=reason):
            _check_withdrawal(draft, name, context)
            permit_requests.withdraw(draft, context, name, reason)


def _apply_release_command(
    draft: StagedChanges,
    command: commands.StartRelease | commands.RollBackRelease | commands.CastVote,
    context: Context,
) -> None:
    match command:
        case commands.StartRelease():
            releases.start(draft, command, context)
        case commands.RollBackRelease():
            releases.roll_back(draft, command, context)
        case commands.CastVote():
            votes.cast_vote(draft, command, context)


def _apply_target_command(draft: StagedChanges, command: Command, context: Context) -> None:
    match command:
        case commands.ReportNode():
            liveness.report_node(draft, command, context)
        case commands.ReportBalancer():
            liveness.report_balancer(draft, command, context)
        case commands.Decommission():
            liveness.decommission(draft, command, context)
        case commands.AnnounceRetirement() | commands.WithdrawRetirement():
            liveness.set_retirement(draft, command)


def _check_withdrawal(draft: StagedChanges, name: str, context: Context) -> None:
    """Gangs withdraw migrations themselves, and a balancer only what is for itself."""
    permit = permits.find_permit(draft, name)
    if permit is None:
        return
    if permit.action == PermitAction.MIGRATE:
        raise CommandRejectedError(f"{name} is a gang's move: its gang takes it back")
    if context.client_kind == "marshal" and permit.target != context.client:
        raise CommandRejectedError(f"{name} is of {permit.target}: {context.client} may take back its own only")


def _handle_timer(draft: StagedChanges, context: Context, timer: TimerRow) -> None:
    match TimerKind(timer.kind):
        case TimerKind.SET_OVERDUE:
            permits.set_overdue(draft, timer.name)
        case TimerKind.FORGET_PERMIT:
            permits.forget(draft, timer.name)
        case TimerKind.FORGET_TARGET:
            liveness.forget_decommissioned(draft, context, timer.name)
        case TimerKind.FORGET_VOTES:
            votes.remove_votes(draft, context, int(timer.name))
        case TimerKind.ADVANCE_STAGE:
            releases.advance(draft, context, int(timer.name))
        case TimerKind.CONTINUE_BATCH:
            releases.continue_batch(draft, context, int(timer.name))
        case TimerKind.GRANT_WAITING:
            pass  # done after every batch of timers


APPLICATION = DisruptionApplication()

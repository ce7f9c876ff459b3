"""What nodes' agents report: their sessions, their members and measured costs; and the end of a session.

It must never take an agent's word for a node that is not its own, nor for a session that is not the registered one.
Functions return the gangs that are to be reconciled. Texts of rejections are replicated state and must stay.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from msgspec.structs import replace

from brookreach.coordination.state_machine.application import CommandRejectedError
from brookreach.gang_scheduling import checkpoint_interval, members, recovery, transitions
from brookreach.gang_scheduling.commands import RegisterAgent, ReportCosts, ReportFailed, ReportStarted, ReportStopped
from brookreach.gang_scheduling.gang_state import FINAL_STATES, GangState, MemberState
from brookreach.gang_scheduling.tables import AGENTS, QUEUE, AgentRow, MemberRow
from brookreach.gang_scheduling.transaction import Transaction


def register(transaction: Transaction, command: RegisterAgent) -> list[str]:
    """Registers the session of a node's agent; the next one only after the one before has ended.

    Raises:
        CommandRejectedError: if the node's incarnation is another, or another session is registered.
    """
    agent, session = transaction.context.client, transaction.context.session
    incarnation = command.node_incarnation
    node = transaction.node(agent)
    if node is None:
        raise CommandRejectedError(f"{agent}: life {incarnation}; no such node")
    if node.incarnation != incarnation:
        raise CommandRejectedError(f"{agent}: life {incarnation}; its life is {node.incarnation}")
    registered = transaction.agent(agent)
    if registered is not None and registered.session:
        if registered.session != session:
            raise CommandRejectedError(
                f"{agent}: session {registered.session} carries out its orders and has not ended"
            )
        if registered.node_incarnation != incarnation:
            raise CommandRejectedError(
                f"{agent}: session {session} spoke for life {registered.node_incarnation};"
                f" life {incarnation} begins its own"
            )
        return []
    gangs = release_agent_members(transaction, agent)
    transaction.changes.put(AGENTS, agent, AgentRow(session, incarnation))
    if transaction.changes.base.count(QUEUE):
        transaction.timers.schedule_round(transaction.now_ms)
    return gangs


def release_agent_members(transaction: Transaction, node: str) -> list[str]:
    """Takes what an ended session had started on its node for stopped: by time, or as the next session registers."""
    agent = transaction.agent(node)
    if agent is None or agent.session:
        return []
    transaction.timers.cancel_agent_release(node, agent.ended_ms + members.RELEASE_DELAY_MS)
    transaction.changes.put(AGENTS, node, None)
    gangs = []
    for key in transaction.members_on_node(node):
        if transaction.member(key.gang, key.number).previous_node == node:
            recovery.release_member(transaction, key.gang, key.number)
            gangs.append(key.gang)
    return list(dict.fromkeys(gangs))


@dataclass(frozen=True, slots=True)
class LostMembers:
    """Members of one gang that can't be counted on any more."""

    gang: str
    numbers: tuple[int, ...]
    reason: str


def end_session(transaction: Transaction, agent: AgentRow) -> list[LostMembers]:
    """Ends the registered session of a node's agent and returns the members that are lost by that.

    What they hold is released after `members.RELEASE_DELAY_MS`.
    """
    node = transaction.context.client
    ended_ms = transaction.now_ms
    transaction.changes.put(AGENTS, node, AgentRow(0, agent.node_incarnation, ended_ms))
    transaction.timers.schedule_agent_release(node, ended_ms + members.RELEASE_DELAY_MS)
    fallen: dict[str, list[int]] = defaultdict(list)
    for key in transaction.members_on_node(node):
        member = transaction.member(key.gang, key.number)
        if _is_lost_with_node(member, node):
            fallen[key.gang].append(key.number)
        elif member.next_node == node:
            transaction.put_member(key.gang, key.number, members.cancel_reservation(member))
    reason = f"the agent of {node} is gone"
    return [LostMembers(gang, tuple(numbers), reason) for gang, numbers in fallen.items()]


def _is_lost_with_node(member: MemberRow, node: str) -> bool:
    """Returns whether a member is to run on this node, or may."""
    if member.node == node:
        return True
    active = members.active_incarnation(member)
    return active is not None and active.node == node and member.state != MemberState.FENCING


def report_started(transaction: Transaction, command: ReportStarted) -> list[str]:
    """Notes that a member is restored.

    Raises:
        CommandRejectedError: if it is not where the member is to run.
    """
    transaction.sender_registration()
    transaction.gang(command.gang)
    member = transaction.member(command.gang, command.member)
    _check_runs_here(transaction, member, command)
    if member.state != MemberState.STARTING:
        return []
    running = replace(member, state=MemberState.RUNNING)
    transaction.put_member(command.gang, command.member, running)
    return [command.gang]


def report_exited(transaction: Transaction, command: ReportStopped | ReportFailed) -> list[str]:
    """Notes that a member ended, as it was to or by itself.

    Raises:
        CommandRejectedError: if it is not where the member is to run or to stop.
    """
    transaction.sender_registration()
    transaction.gang(command.gang)
    member = transaction.member(command.gang, command.member)
    if _is_stopping_here(transaction, member, command):
        recovery.release_member(transaction, command.gang, command.member)
        return [command.gang]
    _check_runs_here(transaction, member, command)
    _count_failure(transaction, command)
    node = transaction.context.client
    reason = f"member {command.member} on {node}: {_exit_reason(command)}"
    recovery.handle_lost_members(transaction, command.gang, [command.member], reason, has_exited=True)
    return [command.gang]


def _is_stopping_here(transaction: Transaction, member: MemberRow, command: ReportStopped | ReportFailed) -> bool:
    return (
        member.state == MemberState.FENCING
        and member.previous_node == transaction.context.client
        and command.fencing_token >= member.previous_fencing_token
    )


def _check_runs_here(
    transaction: Transaction, member: MemberRow, command: ReportStarted | ReportStopped | ReportFailed
) -> None:
    """Checks that a report is of the incarnation that may live.

    Raises:
        CommandRejectedError: if it is not.
    """
    node = transaction.context.client
    active = members.active_incarnation(member)
    if active is None or active.node != node or active.fencing_token != command.fencing_token:
        raise CommandRejectedError(
            f"{command.gang}/{command.member}: fence {command.fencing_token} on {node} is not where it runs;"
            " nothing changes"
        )


def _exit_reason(command: ReportStopped | ReportFailed) -> str:
    return command.reason if isinstance(command, ReportFailed) else "stopped without an order"


def _count_failure(transaction: Transaction, command: ReportStopped | ReportFailed) -> None:
    """Counts a member's end by itself; a gang that falls again and again has failed."""
    failures = transaction.gang(command.gang).failures + 1
    row = transaction.change_gang(command.gang, failures=failures)
    if failures < transitions.MAX_FAILURES or row.state == GangState.WAITING or row.state in FINAL_STATES:
        return
    reason = f"fell {failures} times since epoch {row.epoch}; last: {_exit_reason(command)}"
    transitions.finish(transaction, command.gang, GangState.FAILED, reason)


def report_costs(transaction: Transaction, command: ReportCosts) -> None:
    """Updates the estimates of costs.

    Raises:
        CommandRejectedError: if the agent runs no member of the gang.
    """
    transaction.sender_registration()
    row = transaction.gang(command.gang)
    node = transaction.context.client
    if not any(member.node == node for member in transaction.members_of(command.gang).values()):
        raise CommandRejectedError(f"{command.gang}: no member of it is on {node}")
    transaction.change_gang(
        command.gang,
        checkpoint_cost_ms=checkpoint_interval.updated_cost_ms(row.checkpoint_cost_ms, command.checkpoint_cost_ms),
        restore_cost_ms=checkpoint_interval.updated_cost_ms(row.restore_cost_ms, command.restore_cost_ms),
    )

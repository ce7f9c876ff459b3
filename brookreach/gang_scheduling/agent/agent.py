"""A node's agent without I/O: tasks and the node's own events in; actions on the node, replies and reports out.

It owns the session and its lease. Everything that works does so by a grant that ends with the lease, by the node's own
clock: an agent that was stopped can't prolong it, and what it had started stops by itself. It must never start anything
without a lease.
"""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.gang_scheduling.agent.member_supervisor import MemberSupervisor
from brookreach.gang_scheduling.agent.outputs import AgentOutputs
from brookreach.gang_scheduling.agent_tasks import AgentTask, TaskKind
from brookreach.gang_scheduling.commands import RegisterAgent, ReportFailed
from brookreach.gang_scheduling.member_key import MemberKey


@dataclass(frozen=True, slots=True)
class UnreportedExit:
    """An incarnation that ended while no lease was held."""

    key: MemberKey
    fencing_token: int


class GangAgent:
    """One node's agent. Times are of the node's monotonic clock, in ms.

    Attributes:
        session: Of the agent with the replicas; 0: none.
        has_lease: Whether the session's lease stands.
        members: Incarnations on the node.
        outputs: What is to be carried out, reported and replied.
    """

    def __init__(self, node: str, node_incarnation: int, now_ms: float, registration_delay_ms: float) -> None:
        """Starts without a session.

        Args:
            node: The node's name.
            node_incarnation: Of the node.
            now_ms: By the node's clock.
            registration_delay_ms: For so long it does not register, so that whatever an earlier process of it had
                started has run out of its grant (a lease by this clock).
        """
        self.session = 0
        self.has_lease = False
        self.outputs = AgentOutputs()
        self.members = MemberSupervisor(node, node_incarnation, self.outputs)
        self._node_incarnation = node_incarnation
        self._register_from_ms = now_ms + registration_delay_ms
        self._lease_until_ms = 0.0
        self._unreported_exits: list[UnreportedExit] = []

    # --- the lease ---

    def on_lease_renewed(self, now_ms: float, session: int, until_ms: float) -> None:
        """Takes a renewal: nothing is to work past `until_ms`. Another session starts anew."""
        self.check_lease(now_ms)
        if session != self.session:
            self.on_session_lost()
            self.session = session
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        self.has_lease = now_ms < self._lease_until_ms
        if self.has_lease:
            self.outputs.reports += [
                ReportFailed(exited.key.gang, exited.key.number, exited.fencing_token, "its lease ran out")
                for exited in self._unreported_exits
            ]
            self._unreported_exits = []
        self.members.set_grant(self._lease_until_ms)

    def on_session_lost(self) -> None:
        """Ends all that the session had started: nobody counts on it any more."""
        self._kill_all()
        self.session = 0
        self.has_lease = False
        self._lease_until_ms = 0.0
        self._unreported_exits = []

    def check_lease(self, now_ms: float) -> None:
        """Ends all that runs if the lease has run out; to be called first of all whenever the process wakes.

        The replicas may not have ended the session, and a late renewal go on with it: then what was stopped is
        reported.
        """
        if self.has_lease and now_ms >= self._lease_until_ms:
            self.has_lease = False
            self._kill_all()

    def may_register(self, now_ms: float) -> bool:
        """Returns whether the quiet time is over and nothing of an earlier session lives."""
        return now_ms >= self._register_from_ms and self.has_lease and not self.members.running

    def registration(self) -> RegisterAgent:
        """Returns the command that registers the session."""
        return RegisterAgent(self._node_incarnation)

    def _kill_all(self) -> None:
        for task in self.members.clear_pending_starts():
            key = MemberKey(task.gang, task.member)
            self._unreported_exits.append(UnreportedExit(key, task.fencing_token))
        self.members.kill_all()

    # --- tasks ---

    def handle_task(self, now_ms: float, task: AgentTask) -> None:
        """Carries out a task, once however often it comes; one whose time is over has no effect."""
        self.check_lease(now_ms)
        replies = self.outputs.replies
        if replies.is_final(task.token):
            replies.repeat(task.token)
            self.members.repeat_report(task)
        elif not self._is_for_this_session(task):
            replies.postpone(task.token, f"session {task.session} life {task.node_incarnation}; not mine")
        elif task.kind == TaskKind.START:
            self.members.handle_start(task)
        elif task.kind == TaskKind.STOP:
            self.members.handle_stop(task)
        else:
            self.members.handle_active_task(task)

    def _is_for_this_session(self, task: AgentTask) -> bool:
        is_same = task.session == self.session and task.node_incarnation == self._node_incarnation
        return self.has_lease and is_same

    # --- the node's events ---

    def on_member_loaded(self, key: MemberKey, fencing_token: int) -> None:
        """Notes that an incarnation is restored."""
        self.members.on_loaded(key, fencing_token)

    def on_checkpoint_saved(self, key: MemberKey, fencing_token: int, epoch: int, work_ms: int) -> None:
        """Notes that an incarnation's work is stored, away from the node."""
        self.members.on_saved(key, fencing_token, epoch, work_ms)

    def on_member_exited(self, key: MemberKey, fencing_token: int, reason: str) -> None:
        """Notes that an incarnation has ended, by a kill or by itself: only now may anybody hear that it did."""
        process = self.members.remove(key, fencing_token)
        if process is None:
            return
        if self.has_lease:
            self.members.report_end(key, process, reason)
        else:
            self._unreported_exits.append(UnreportedExit(key, fencing_token))
        self.members.start_pending(key)

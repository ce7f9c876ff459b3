"""How a leader takes clients' commands: once each, in the order of their numbers."""

from __future__ import annotations

from collections.abc import Sequence

from brookreach.coordination.protocol import messages
from brookreach.coordination.server.errors import InvalidRequestError
from brookreach.coordination.server.leader_context import LeaderContext
from brookreach.coordination.server.membership_commands import members_after
from brookreach.coordination.server.proposals import InFlightProposal
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.applied_command import AppliedCommand


class ProposalHandler:
    """The proposals of clients, during one term."""

    def __init__(self, context: LeaderContext, configured_replicas: Sequence[str]):
        self._context = context
        self._configured_replicas = configured_replicas

    def is_next(self, source: str, request: messages.ProposeRequest) -> bool:
        """Whether the request is a new one, with the number that follows the last of its session."""
        last = self._context.machine.view.get(sessions.ANSWERS, source)
        if last is None or last.session != request.session or request.application == sessions.MEMBERSHIP:
            return False
        return bool(request.seq == last.seq + self._context.in_flight.count(request.session) + 1)

    def propose(self, now: float, source: str, request: messages.ProposeRequest) -> None:
        """Put a new command into the log, or answer a repeated one as it was answered first."""
        context = self._context
        last = context.machine.view.get(sessions.ANSWERS, source)
        if last is None or last.session != request.session:
            context.reject_session(source, request, request.session)
        elif context.in_flight.contains(request.session, request.seq):
            pass  # a repeated request: the first will be answered
        elif request.application == sessions.MEMBERSHIP:
            self._change_members(now, source, request)
        elif self._is_retry(request, last):
            context.replies.send(source, messages.ProposeReply(request.seq, last.index, last.ok, last.text))
        elif not self.is_next(source, request):
            text = f"question {request.seq} after {last.seq}"
            context.replies.reject(source, request, "out of order", text)
        else:
            self._propose_new(now, source, request)

    @staticmethod
    def _is_retry(request: messages.ProposeRequest, last: sessions.AnswerRow) -> bool:
        if request.seq != last.seq:
            return False
        return last.digest == sessions.request_digest(request.application, request.version, request.body)

    def _propose_new(self, now: float, source: str, request: messages.ProposeRequest) -> None:
        context = self._context
        rejection = context.machine.check_proposal(request.application, request.version, request.body)
        if rejection is not None:
            reason, text = rejection
            context.replies.reject(source, request, reason, text)
            return
        client_kind = context.machine.view.get(sessions.SESSIONS, source).kind
        record = sessions.encode_proposal(request, context.term.clock.read(now), source, client_kind)
        index = context.raft.propose(now, record)
        context.track(request, index, InFlightProposal(source, request.session, request.seq))

    def _change_members(self, now: float, source: str, request: messages.ProposeRequest) -> None:
        """Change the cluster's members, for an operator.

        The state machine knows nothing of such requests, so they don't count among those of the session: they must
        be its last. A change that is so already is answered by a record that changes nothing.
        """
        context = self._context
        members = context.raft.members
        try:
            self._require_operator(source, request)
            changed = members_after(members, self._configured_replicas, request.body)
        except InvalidRequestError as error:
            context.replies.reject(source, request, "refused", str(error))
            return
        at_ms = context.term.clock.read(now)
        if set(changed) == set(members):
            index = context.term.propose(now, sessions.TimePassed())
        else:
            index = context.raft.change_members(now, changed, at_ms)
        context.track(request, index, InFlightProposal(source, request.session, request.seq))

    def _require_operator(self, source: str, request: messages.ProposeRequest) -> None:
        client_kind = self._context.machine.view.get(sessions.SESSIONS, source).kind
        if client_kind != "operator" or not request.seq:
            raise InvalidRequestError("operators may move seats")

    def on_applied(self, proposal: InFlightProposal, result: AppliedCommand) -> None:
        """Answer the client whose command was applied."""
        context = self._context
        reply: messages.Body
        if result.rejection:
            retry_after_ms = int(context.timing.heartbeat_ms)
            reply = messages.RequestRejected(proposal.seq, result.rejection, result.text, "", retry_after_ms)
        else:
            reply = messages.ProposeReply(proposal.seq, result.index, result.ok, result.text)
        context.replies.send(proposal.source, reply)

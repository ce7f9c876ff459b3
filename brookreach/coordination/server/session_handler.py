"""How a leader opens, renews and closes clients' sessions.

A session has one client's name, and a client one session. A client that comes without its session gets another one
only once the lease of the first has ended: two processes of one name may be running.
"""

from __future__ import annotations

from brookreach.coordination.protocol import messages
from brookreach.coordination.server.leader_context import LeaderContext
from brookreach.coordination.server.proposals import InFlightProposal
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.applied_command import AppliedCommand

LEFT = "left"  # the reason of a SessionEnded; replicated, so it never changes


class SessionHandler:
    """The sessions, during one term.

    Attributes:
        connected: Sessions by the clients that opened or used them on their present connection.
    """

    def __init__(self, context: LeaderContext):
        self._context = context
        self.connected: dict[str, int] = {}

    def is_alive(self, now: float, source: str, session: int) -> bool:
        """Whether this is the client's session, and its lease has not ended."""
        is_holder = self._context.machine.holder(session) == source
        return is_holder and not self._context.term.leases.expired(now, session)

    # --- Opening ---

    def open(self, now: float, source: str, request: messages.OpenSession) -> None:
        """Open a session, or go on with the one that the request names."""
        replies = self._context.replies
        if request.client != source:
            replies.reject(source, request, "refused", f"{source} may not join as {request.client}")
        elif request.version > sessions.VERSION:
            text = f"version {request.version}; {sessions.VERSION} is known here"
            replies.reject(source, request, "too new", text)
        elif request.session:
            self._resume(now, source, request)
        elif not self._context.in_flight.is_opening(source):  # else a repeated request: the first will be answered
            self._open_new(now, source, request)

    def _resume(self, now: float, source: str, request: messages.OpenSession) -> None:
        row = self._context.machine.view.get(sessions.SESSIONS, source)
        if row is not None and row.kind == request.kind and self.is_alive(now, source, request.session):
            self._context.term.leases.renew(now, row.session)
            self._confirm_open(now, source, row.session)
        else:
            self._context.reject_session(source, request, request.session)

    def _open_new(self, now: float, source: str, request: messages.OpenSession) -> None:
        context = self._context
        held = context.machine.session(source)
        if not held or context.term.leases.expired(now, held):
            index = context.term.propose(now, sessions.SessionStarted(source, request.kind))
            context.track(request, index, InFlightProposal(source, held, 0))
        elif self.connected.get(source) != held:  # else a repeated request that was answered
            remaining_ms = context.term.leases.remaining_ms(now, held)
            text = f"{source} has session {held} yet"
            context.replies.reject(source, request, "busy", text, retry_after_ms=remaining_ms + 1.0)

    def _confirm_open(self, now: float, source: str, session: int) -> None:
        self.connected[source] = session
        lease_ms = int(self._context.timing.lease_ms)
        at_ms = self._context.term.clock.read(now)
        self._context.replies.send(source, messages.SessionOpened(session, lease_ms, at_ms))

    def on_open_applied(self, now: float, proposal: InFlightProposal, result: AppliedCommand) -> None:
        """Answer the client whose SessionStarted was applied, if it is still connected."""
        context = self._context
        is_connected = context.in_flight.finish_opening(proposal.source)
        if result.ok:
            context.term.leases.remove(proposal.session)
            context.term.leases.renew(now, result.session)
        if not is_connected:
            return
        if result.ok:
            self._confirm_open(now, proposal.source, result.session)
        else:
            reason = result.rejection or "refused"
            retry_after_ms = int(context.timing.lease_ms)
            rejection = messages.RequestRejected(0, reason, result.text, "", retry_after_ms)
            context.replies.send(proposal.source, rejection)

    # --- Renewing and closing ---

    def keep_alive(self, now: float, source: str, request: messages.KeepAlive) -> None:
        """Renew the lease of a session that is alive."""
        context = self._context
        context.term.leases.renew(now, request.session)
        lease_ms = int(context.timing.lease_ms)
        reply = messages.KeepAliveReply(request.seq, lease_ms, context.term.clock.read(now))
        context.replies.send(source, reply)

    def close(self, now: float, source: str, session: int) -> bool:
        """End the client's session; False: it is not the client's, or nothing can be proposed now."""
        context = self._context
        if context.machine.holder(session) != source:
            return False
        if context.term.propose(now, sessions.SessionEnded(session, LEFT)) is None:
            return False
        context.term.leases.remove(session)
        return True

"""What a leader does for clients during one term: sessions, proposals, reads and watches.

A proposal is answered once it is applied. Everything else is answered after a round of messages that shows that this
replica still led when the request came. What waits here ends with the term: a client repeats its request, under the
same number, to the next leader. Watches are served by the leader alone, too: a client has one connection, and needs
the leader for its lease.
"""

from __future__ import annotations

from collections.abc import Sequence

from brookreach.coordination.protocol import messages
from brookreach.coordination.raft.node import RaftNode
from brookreach.coordination.server.errors import InvalidRequestError
from brookreach.coordination.server.leader_context import LeaderContext
from brookreach.coordination.server.leader_term import LeaderTerm
from brookreach.coordination.server.leadership_barrier import LeadershipBarrier
from brookreach.coordination.server.proposal_handler import ProposalHandler
from brookreach.coordination.server.proposals import InFlightProposals
from brookreach.coordination.server.reads import read_rows
from brookreach.coordination.server.replies import ClientReplies
from brookreach.coordination.server.session_handler import SessionHandler
from brookreach.coordination.server.watches import WatchService
from brookreach.coordination.state_machine.applied_command import AppliedCommand
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.timing import Timing


class Leader:
    """One term.

    Attributes:
        barrier: The requests that wait until the leadership is confirmed.
    """

    def __init__(
        self,
        now: float,
        raft: RaftNode,
        machine: StateMachine,
        watches: WatchService,
        timing: Timing,
        configured_replicas: Sequence[str],
        replies: ClientReplies,
    ):
        self.barrier = LeadershipBarrier(raft)
        self._machine = machine
        self._watches = watches
        self._timing = timing
        self._replies = replies
        self._term = LeaderTerm(now, raft, machine, timing)
        self._in_flight = InFlightProposals()
        self._context = LeaderContext(raft, machine, timing, self._term, self._in_flight, self.barrier, replies)
        self._sessions = SessionHandler(self._context)
        self._proposals = ProposalHandler(self._context, configured_replicas)

    @property
    def term(self) -> int:
        """The term's number."""
        return self._term.number

    @property
    def is_open(self) -> bool:
        """Whether all entries of earlier terms are applied."""
        return self._term.is_open

    @property
    def connected_clients(self) -> list[str]:
        """The clients that have opened or used their session on the present connection."""
        return list(self._sessions.connected)

    # --- Requests ---

    def handle_message(self, now: float, source: str, body: messages.Body) -> None:
        """Take a client's request."""
        if self._needs_no_barrier(source, body):
            self._handle(now, source, body)
        elif len(self.barrier) >= self._timing.max_pending_proposals:
            self._context.reject_busy(source, body)
        else:
            self.barrier.add(source, body)

    def _needs_no_barrier(self, source: str, body: messages.Body) -> bool:
        """Whether the request is only proposed now, and answered once it is applied."""
        if not self.is_open:
            return False
        match body:
            case messages.OpenSession(session=0) | messages.CloseSession():
                return True
            case messages.ProposeRequest():
                return self._proposals.is_next(source, body)
            case _:
                return False

    def begin_round(self, now: float) -> None:
        """Begin to confirm the leadership for the requests that wait."""
        self.barrier.begin_round(now)

    def on_round_confirmed(self, now: float, ticket: int) -> None:
        """Handle the requests of a round: this replica led when they came, and what was committed then is applied."""
        for request in self.barrier.release(ticket):
            self._handle(now, request.source, request.body)

    def _handle(self, now: float, source: str, body: messages.Body) -> None:
        match body:
            case messages.OpenSession():
                self._sessions.open(now, source, body)
            case messages.CloseSession():
                if self._sessions.close(now, source, body.session):
                    self.on_disconnect(source)
            case messages.ProposeRequest():
                self._proposals.propose(now, source, body)
            case messages.ReadRequest():
                self._read(source, body)
            case messages.KeepAlive() | messages.WatchRequest():
                if self._sessions.is_alive(now, source, body.session):
                    self._handle_in_session(now, source, body)
                else:
                    self._context.reject_session(source, body, body.session)

    def _handle_in_session(self, now: float, source: str, body: messages.KeepAlive | messages.WatchRequest) -> None:
        if isinstance(body, messages.KeepAlive):
            self._sessions.keep_alive(now, source, body)
            return
        defect = self._watches.watch(source, body.tables, body.since)
        if defect is not None:
            self._replies.reject(source, body, "refused", defect)
        else:
            self._sessions.connected[source] = body.session

    def _read(self, source: str, request: messages.ReadRequest) -> None:
        session = self._sessions.connected.get(source, 0)
        if self._machine.holder(session) != source:
            self._context.reject_session(source, request, 0)
            return
        try:
            parts = read_rows(self._machine.view, request)
        except InvalidRequestError as error:
            self._replies.reject(source, request, "refused", str(error))
            return
        for position, rows in enumerate(parts, start=1):
            is_last = position == len(parts)
            self._replies.send(source, messages.ReadReply(request.seq, self._machine.applied, is_last, rows))

    # --- Events ---

    def on_applied(self, now: float, entry: messages.Entry, result: AppliedCommand) -> None:
        """Answer the client that waits for an entry that was applied."""
        self._term.on_applied(now, entry)
        proposal = self._in_flight.remove(entry.index)
        if proposal is None:
            if result.session:  # a SessionEnded
                self._term.leases.remove(result.session)
        elif proposal.seq:
            self._proposals.on_applied(proposal, result)
        else:
            self._sessions.on_open_applied(now, proposal, result)

    def on_disconnect(self, source: str) -> None:
        """Forget a client's connection; its session goes on as long as its lease."""
        self._sessions.connected.pop(source, None)
        self._watches.remove(source)
        self._in_flight.on_disconnect(source)

    def on_leadership_lost(self, new_leader: str) -> None:
        """Tell all clients that wait for something to ask elsewhere; `new_leader` is "" if none is known."""
        waiting = [*self._sessions.connected, *self._in_flight.sources(), *self.barrier.sources()]
        retry_after_ms = int(self._timing.heartbeat_ms)
        for source in dict.fromkeys(waiting):
            self._watches.remove(source)
            rejection = messages.RequestRejected(0, "not leader", "no longer", new_leader, retry_after_ms)
            self._replies.send(source, rejection)

    def tick(self, now: float) -> None:
        """Propose what is due."""
        self._term.tick(now)

    def next_wakeup_ms(self) -> float | None:
        """Return when to call `tick` next, or None if nothing will be due."""
        return self._term.next_wakeup_ms()

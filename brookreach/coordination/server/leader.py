"""What a leader does with clients in one term: the agreed time, sessions, questions, what is read and
watched.

It owns what stands between a question and its answer, and is gone with the lead: a client asks again
elsewhere, under the same number. It must never answer by a lead that may have ended: what is proposed is
answered when it is applied, everything else after a round of the keepers that was begun since it was heard.
Watches, too, are served by the leader alone: a client has one connection, and its lease needs the leader
anyway.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from brookreach.coordination.ports import AppliedCommand
from brookreach.coordination.protocol import messages
from brookreach.coordination.raft.node import RaftNode
from brookreach.coordination.server.leader_term import LeaderTerm
from brookreach.coordination.server.proposals import (
    InFlightProposal,
    InFlightProposals,
    InvalidRequestError,
    Say,
    members_after,
    read_rows,
    reject,
)
from brookreach.coordination.server.watches import Watches
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.state_machine.sessions import ANSWERS, MEMBERSHIP, SESSIONS
from brookreach.coordination.timing import Timing


class Leader(LeaderTerm):
    """`keepers` are those that the file names: a seat is for one of them."""

    def __init__(
        self,
        now: float,
        raft: RaftNode,
        machine: StateMachine,
        watches: Watches,
        timing: Timing,
        keepers: Sequence[str],
        say: Say,
    ):
        super().__init__(now, raft, machine, timing)
        self.watches = watches
        self.keepers, self.say, self.reject = keepers, say, partial(reject, say)
        self.here: dict[str, int] = {}  # sessions by clients that joined on their present connection
        self.flights = InFlightProposals()
        self.asked: list[tuple[str, messages.Body]] = []  # until the next round
        self.round, self.in_round = 0, list[tuple[str, messages.Body]]()

    # --- what is heard ---

    def handle_message(self, now: float, source: str, body: messages.Body) -> None:
        match body:
            case messages.OpenSession(session=0) | messages.CloseSession() if self.open:
                self._sure(now, source, body)
            case messages.ProposeRequest() if self.open and self._is_next(source, body):
                self._sure(now, source, body)
            case _ if len(self.asked) >= self.timing.max_pending_proposals:
                self._busy(source, body)
            case _:
                self.asked.append((source, body))

    def begin_round(self, now: float) -> None:
        """One at a time, for all that was heard before it."""
        if self.asked and not self.round and (ticket := self.raft.request_read(now)):
            self.round, self.in_round, self.asked = ticket, self.asked, []

    def confirmed(self, now: float, ticket: int) -> None:
        """This keeper led after all of the round was heard, and what was committed until then is applied."""
        if ticket == self.round:
            sure, self.in_round, self.round = self.in_round, [], 0
            for source, body in sure:
                self._sure(now, source, body)

    def _sure(self, now: float, source: str, body: messages.Body) -> None:
        match body:
            case messages.OpenSession():
                self._join(now, source, body)
            case messages.ProposeRequest():
                self._ask(now, source, body)
            case messages.ReadRequest():
                self._read(source, body)
            case messages.CloseSession(session=session):
                ended = sessions.SessionEnded(session, "left")
                if self.machine.holder(session) == source and self._propose(now, ended):
                    self.leases.remove(session)  # it lives no more
                    self.client_disconnected(source)
            case messages.KeepAlive(session=session) | messages.WatchRequest(session=session):
                if not self._lives(now, source, session):
                    self._no_session(source, body, session)
                elif isinstance(body, messages.KeepAlive):
                    self.leases.renew(now, session)
                    self.say(source, messages.KeepAliveReply(body.seq, int(self.timing.lease_ms), self.clock.at(now)))
                elif wrong := self.watches.watch(source, body.tables, body.since):
                    self.reject(source, body, "refused", wrong)
                else:
                    self.here[source] = session

    def client_disconnected(self, source: str) -> None:
        """Its connection ended. Its session goes on, as long as its lease."""
        self.here.pop(source, None)
        self.watches.gone(source)
        self.flights.left(source)

    def over(self, leader: str) -> None:
        """The lead ended: who waits for anything here has to ask elsewhere."""
        for source in dict.fromkeys(
            [*self.here, *self.flights.sources(), *(source for source, _ in self.in_round + self.asked)]
        ):
            self.watches.gone(source)
            self.say(
                source, messages.RequestRejected(0, "not leader", "no longer", leader, int(self.timing.heartbeat_ms))
            )

    def _no_session(self, source: str, body: messages.Body, session: int) -> None:
        self.reject(source, body, "no session", f"session {session} is none of {source}")

    def _busy(self, source: str, body: messages.Body) -> None:
        text = f"{len(self.flights)} records and {len(self.asked)} questions wait"
        self.reject(source, body, "busy", text, "", 4 * self.timing.heartbeat_ms)

    # --- sessions ---

    def _join(self, now: float, source: str, join: messages.OpenSession) -> None:
        held, row = self.machine.session(source), self.machine.view.get(SESSIONS, source)
        if join.client != source:
            self.reject(source, join, "refused", f"{source} may not join as {join.client}")
        elif join.version > sessions.VERSION:
            self.reject(source, join, "too new", f"version {join.version}; {sessions.VERSION} is known here")
        elif join.session:
            if row is not None and row.kind == join.kind and self._lives(now, source, join.session):
                self.leases.renew(now, held)
                self._joined(now, source, held)
            else:
                self._no_session(source, join, join.session)
        elif self.flights.joins(source):
            pass  # said twice: the first will be answered
        elif held and not self.leases.expired(now, held):
            if self.here.get(source) != held:  # else said twice; another process of that name may act yet
                left_ms = self.leases.remaining_ms(now, held)
                self.reject(source, join, "busy", f"{source} has session {held} yet", "", left_ms + 1.0)
        else:
            place = self._propose(now, sessions.SessionStarted(source, join.kind))
            self._fly(source, join, place, InFlightProposal(source, held, 0))

    def _lives(self, now: float, source: str, session: int) -> bool:
        return self.machine.holder(session) == source and not self.leases.expired(now, session)

    def _joined(self, now: float, source: str, session: int) -> None:
        self.here[source] = session
        self.say(source, messages.SessionOpened(session, int(self.timing.lease_ms), self.clock.at(now)))

    # --- questions ---

    def _is_next(self, source: str, ask: messages.ProposeRequest) -> bool:
        last = self.machine.view.get(ANSWERS, source)
        return (
            last is not None
            and last.session == ask.session
            and ask.application != MEMBERSHIP
            and ask.seq == last.seq + self.flights.of(ask.session) + 1
        )

    def _ask(self, now: float, source: str, ask: messages.ProposeRequest) -> None:
        last = self.machine.view.get(ANSWERS, source)
        if last is None or last.session != ask.session:
            self._no_session(source, ask, ask.session)
        elif self.flights.has(ask.session, ask.seq):
            pass  # said twice: the first will be answered
        elif ask.application == MEMBERSHIP:
            self._seats(now, source, ask)
        elif ask.seq == last.seq and last.digest == sessions.request_digest(ask.application, ask.version, ask.body):
            self.say(source, messages.ProposeReply(ask.seq, last.index, last.ok, last.text))
        elif not self._is_next(source, ask):
            self.reject(source, ask, "out of order", f"question {ask.seq} after {last.seq}")
        elif misfit := self.machine.check_proposal(ask.application, ask.version, ask.body):
            self.reject(source, ask, *misfit)
        else:
            kind = self.machine.view.get(SESSIONS, source).kind
            octets = sessions.encode_proposal(ask, self.clock.at(now), source, kind)
            self._fly(source, ask, self.raft.propose(now, octets), InFlightProposal(source, ask.session, ask.seq))

    def _fly(self, source: str, body: messages.Body, place: int | None, one: InFlightProposal) -> None:
        if place is None:  # the log is full, or the lead is being handed over
            self._busy(source, body)
        else:
            self.flights.begin(place, one)

    def _seats(self, now: float, source: str, ask: messages.ProposeRequest) -> None:
        """Beside a session's count of questions, since the machine knows of none: a session's last one. What
        is so already is answered by a record that changes nothing."""
        try:
            if self.machine.view.get(SESSIONS, source).kind != "operator" or not ask.seq:
                raise InvalidRequestError("operators may move seats")
            seats = members_after(self.raft.members, self.keepers, ask.body)
        except InvalidRequestError as error:
            return self.reject(source, ask, "refused", str(error))
        so_already, at_ms = set(seats) == set(self.raft.members), self.clock.at(now)
        place = self._propose(now, sessions.TimePassed()) if so_already else self.raft.change_members(now, seats, at_ms)
        self._fly(source, ask, place, InFlightProposal(source, ask.session, ask.seq))

    def _read(self, source: str, read: messages.ReadRequest) -> None:
        if self.machine.holder(self.here.get(source, 0)) != source:
            return self._no_session(source, read, 0)
        try:
            parts = read_rows(self.machine.view, read)
        except InvalidRequestError as error:
            return self.reject(source, read, "refused", str(error))
        for nth, part in enumerate(parts):
            self.say(source, messages.ReadReply(read.seq, self.machine.applied, nth + 1 == len(parts), part))

    # --- what was applied ---

    def applied(self, now: float, entry: messages.Entry, done: AppliedCommand) -> None:
        if not self.open and entry.term == self.term:
            self._open(now)
        if entry.index == self.passing:
            self.passing = 0
        one = self.flights.end(entry.index)
        if one is None:
            if done.session:  # an Ended
                self.leases.remove(done.session)
        elif not one.seq:
            waits, lease_ms = self.flights.waits(one.source), self.timing.lease_ms
            if done.ok:
                self.leases.remove(one.session)
                self.leases.renew(now, done.session)
            if waits and done.ok:
                self._joined(now, one.source, done.session)
            elif waits:
                self.say(
                    one.source, messages.RequestRejected(0, done.rejection or "refused", done.text, "", int(lease_ms))
                )
        elif done.rejection:
            self.say(
                one.source,
                messages.RequestRejected(one.seq, done.rejection, done.text, "", int(self.timing.heartbeat_ms)),
            )
        else:
            self.say(one.source, messages.ProposeReply(one.seq, done.index, done.ok, done.text))

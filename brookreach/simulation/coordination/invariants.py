"""Checks the rules of the coordination service from what clients, links and disks saw. It influences nothing.

A reference model applies each committed entry once, in the order of the log: states, clients' caches and rows that
were read are compared with its, index by index. Times are true time, which no process knows.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.log_record import LogRecord
from brookreach.coordination.state_machine.application import Application, View
from brookreach.simulation.coordination.record_invariants import CommandRule
from brookreach.simulation.coordination.reference_model import (
    ClientHistory,
    PendingRead,
    ProposalRecord,
    ReferenceModel,
    Reply,
    table_digest,
    view_digest,
)
from brookreach.simulation.coordination.rules import Rule, RuleRecorder

_log_record_decoder = msgspec.msgpack.Decoder(LogRecord)


class InvariantChecker:
    """Observes one run.

    Attributes:
        last_acknowledged_index: The newest index that any client was told of.
    """

    def __init__(
        self,
        applications: Sequence[Application],
        recorder: RuleRecorder,
        command_rules: Sequence[CommandRule] = (),
    ):
        self.last_acknowledged_index = 0
        self._recorder = recorder
        self._command_rules = command_rules
        self._reference = ReferenceModel(applications)
        self._clients: dict[str, ClientHistory] = {}
        self._last_acknowledged_sent_ms = -1.0  # when the newest acknowledged proposal was first sent
        self._newest_leader = (0, "")  # the newest term in which entries were sent, and by whom
        self._promises: dict[tuple[str, str, int], str] = {}

    @property
    def leader(self) -> str:
        """The replica that sent entries in the newest term."""
        return self._newest_leader[1]

    def record_check(self, rule: str) -> None:
        """Count that a rule was checked."""
        self._recorder.record_check(rule)

    # --- replicas ---

    def on_entry_applied(self, at_ms: float, replica: str, entry: messages.Entry) -> None:
        """Check that all replicas apply the same entry at an index, and apply it to the reference model."""
        self.record_check(Rule.ONE_ENTRY_PER_INDEX)
        known = self._reference.entries.get(entry.index)
        next_index = self._reference.last_index + 1
        if known is None and entry.index != next_index:
            text = f"{replica} applies {entry.index}, and nobody has applied {next_index}"
            self._recorder.record_violation(Rule.ONE_ENTRY_PER_INDEX, at_ms, text)
        elif known is None:
            applied, rows_before = self._reference.apply(entry)
            for command_rule in self._command_rules:
                command_rule(at_ms, applied, rows_before)
        elif known != entry:
            text = (
                f"{replica} applies another record at {entry.index}: term {entry.term}, where term {known.term} stands"
            )
            self._recorder.record_violation(Rule.ONE_ENTRY_PER_INDEX, at_ms, text)

    def check_replica_state(self, at_ms: float, replica: str, index: int, view: View) -> None:
        """Compare all tables of a replica with the reference model at its index."""
        tables = self._reference.digests[0]
        self._compare(Rule.SAME_STATE_AT_INDEX, at_ms, replica, index, view, tables)

    def check_cache(self, at_ms: float, client: str, index: int, view: View, tables: Iterable[str]) -> None:
        """Compare a client's cached tables with the reference model at its index."""
        self._compare(Rule.CACHES_MATCH_STATE, at_ms, client, index, view, tables)

    def _compare(self, rule: Rule, at_ms: float, name: str, index: int, view: View, tables: Iterable[str]) -> None:
        self.record_check(rule)
        expected = self._reference.digests.get(index)
        if expected is None:
            self._recorder.record_violation(rule, at_ms, f"{name} stands at {index}, which no keeper has applied")
            return
        for table in tables:
            if view_digest(view, table) != expected[table]:
                text = f"{name} at {index}: table {table} is not what the log gives"
                self._recorder.record_violation(rule, at_ms, text)

    # --- messages ---

    def on_client_started(self, client: str) -> None:
        """Forget the last incarnation of a client: the new one knows nothing of its proposals."""
        self._clients[client] = ClientHistory()

    def on_frame_sent(self, at_ms: float, source: str, target: str, body: messages.Body) -> None:
        """Record what clients ask, and check what replicas promise."""
        history = self._clients.setdefault(source, ClientHistory())
        match body:
            case messages.ProposeRequest():
                history.session = body.session
                history.proposals.setdefault((body.session, body.seq), ProposalRecord(body.body, at_ms))
            case messages.ReadRequest():
                history.reads.setdefault(body.seq, PendingRead(body, self.last_acknowledged_index))
            case messages.RequestVoteReply() if body.vote_granted and not body.pre_vote:
                self._check_promise(at_ms, Rule.ONE_VOTE_PER_TERM, source, body.term, target)
            case messages.AppendEntries() | messages.InstallSnapshot():
                self._check_promise(at_ms, Rule.ONE_LEADER_PER_TERM, "the group", body.term, source)
                self._newest_leader = max(self._newest_leader, (body.term, source))
            case messages.ProposeReply() if body.ok:
                self._check_acknowledgement_sent(at_ms, source, body)

    def _check_promise(self, at_ms: float, rule: Rule, promiser: str, term: int, promised_to: str) -> None:
        """In one term a promise is made to one process only."""
        self.record_check(rule)
        first = self._promises.setdefault((rule, promiser, term), promised_to)
        if first != promised_to:
            text = f"{promiser}, term {term}: {first}, then {promised_to}"
            self._recorder.record_violation(rule, at_ms, text)

    def _check_acknowledgement_sent(self, at_ms: float, replica: str, reply: messages.ProposeReply) -> None:
        self.record_check(Rule.NO_EARLY_ACKNOWLEDGEMENT)
        if reply.index > self._reference.last_index:
            text = f"{replica} says {reply.index} is done"
            self._recorder.record_violation(Rule.NO_EARLY_ACKNOWLEDGEMENT, at_ms, text)

    def on_frame_received(self, at_ms: float, source: str, target: str, body: messages.Body) -> None:  # noqa: ARG002
        """Check what clients are answered. `source` is a part of the observer's interface."""
        history = self._clients.get(target)
        if history is None:
            return
        match body:
            case messages.ProposeReply():
                self._check_reply(at_ms, target, history, body)
            case messages.ReadReply():
                self._check_read(at_ms, target, history, body)

    def _check_reply(self, at_ms: float, client: str, history: ClientHistory, message: messages.ProposeReply) -> None:
        proposal = history.proposals.get((history.session, message.seq))
        if proposal is None:
            return  # of an earlier incarnation
        self.record_check(Rule.ONE_REPLY_PER_REQUEST)
        reply = Reply(message.index, message.ok, message.text)
        if proposal.reply is not None and proposal.reply != reply:
            text = f"{client} {message.seq}: {proposal.reply}, then {reply}"
            self._recorder.record_violation(Rule.ONE_REPLY_PER_REQUEST, at_ms, text)
        proposal.reply = reply
        self.record_check(Rule.ACKNOWLEDGED_IS_DURABLE)
        if not self._is_logged(client, history.session, message, proposal):
            text = f"{client} was told that its {message.seq} stands at {message.index}, where it does not"
            self._recorder.record_violation(Rule.ACKNOWLEDGED_IS_DURABLE, at_ms, text)
        self.last_acknowledged_index = max(self.last_acknowledged_index, message.index)
        self._last_acknowledged_sent_ms = max(self._last_acknowledged_sent_ms, proposal.sent_at_ms)

    def _is_logged(self, client: str, session: int, reply: messages.ProposeReply, proposal: ProposalRecord) -> bool:
        """Whether the log has a client's proposal at the index of its reply."""
        entry = self._reference.entries.get(reply.index)
        if entry is None or not entry.octets:
            return False
        logged = _log_record_decoder.decode(entry.octets)
        return (logged.client, logged.body) == (client, proposal.body) and (logged.session, logged.seq) == (
            session,
            reply.seq,
        )

    def _check_read(self, at_ms: float, client: str, history: ClientHistory, reply: messages.ReadReply) -> None:
        read = history.reads.get(reply.seq)
        if read is None:
            return
        read.rows.extend(reply.rows)
        if not reply.last:
            return
        del history.reads[reply.seq]
        self.record_check(Rule.READS_ARE_FRESH)
        if reply.index < read.min_index:
            text = f"{client} read at {reply.index} what was asked after {read.min_index} had been acknowledged"
            self._recorder.record_violation(Rule.READS_ARE_FRESH, at_ms, text)
        self.record_check(Rule.READS_MATCH_STATE)
        expected = self._reference.digests.get(reply.index)
        rows = {row.key: row.octets or b"" for row in read.rows}
        is_whole_table = not read.request.prefix
        if expected is None or (is_whole_table and table_digest(rows.items()) != expected[read.request.table]):
            text = f"{client} read {read.request.table} at {reply.index}"
            self._recorder.record_violation(Rule.READS_MATCH_STATE, at_ms, text)

    def check_holder(self, at_ms: float, client: str, table: str, resource: str, fence: int) -> None:
        """A client acts as only the holder of a resource may. A later holder has a greater fence."""
        self.record_check(Rule.ONE_HOLDER)
        row: Any = self._reference.view.get(table, resource)  # any: the type of the row is the application's
        if row is None or row.holder != client or row.fence != fence:
            held = "nobody" if row is None else f"{row.holder}, fence {row.fence}"
            text = f"{client} acts on {resource}, fence {fence}: {held} holds it"
            self._recorder.record_violation(Rule.ONE_HOLDER, at_ms, text)

    # --- processes ---

    def on_process_failed(self, at_ms: float, name: str, error: BaseException) -> None:
        """A process ended by an error of the program."""
        text = f"{name}: {type(error).__name__}: {error}"
        self._recorder.record_violation(Rule.NO_PROCESS_FAILS, at_ms, text)

    def check_progress(self, at_ms: float, since_ms: float, within_ms: float) -> None:
        """At the end of a run: something that was proposed after `since_ms` was acknowledged."""
        self.record_check(Rule.GROUP_MAKES_PROGRESS)
        if self._last_acknowledged_sent_ms < since_ms:
            text = f"nothing asked since {since_ms:.0f} ms was acknowledged within {within_ms:.0f} ms"
            self._recorder.record_violation(Rule.GROUP_MAKES_PROGRESS, at_ms, text)

"""What must hold of any run, from what clients, links and disks saw. It steers nothing and mends nothing.

A `StateMachine` of its own takes each record in the order of the log, never a snapshot: states, mirrors and rows
read are compared with its, place by place. Times here are true time, which no process knows.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.log_record import LogRecord
from brookreach.coordination.state_machine.application import Application, View
from brookreach.coordination.state_machine.applied_command import AppliedCommand
from brookreach.simulation.coordination.reference_model import Asked, Caller, Reference, digest, view_digest

Say = Callable[[str, float, str], None]
Look = Callable[[str], None]
Rule = Callable[[float, AppliedCommand, Mapping[tuple[str, str], bytes | None]], None]

_stamped = msgspec.msgpack.Decoder(LogRecord)


class Checkers:
    def __init__(self, pieces: Sequence[Application], say: Say, look: Look, rules: Sequence[Rule] = ()):
        self.say, self.looked, self.rules = say, look, rules
        self.reference = Reference(pieces)
        self.callers: dict[str, Caller] = {}
        self.acknowledged = 0  # the newest place that any client was told of
        self.newest_ack = -1.0  # true time at which the newest acknowledged record was first asked
        self.leading = (0, "")  # the newest term in which somebody sent entries, and who
        self.promises: dict[tuple[str, str, int], str] = {}

    @property
    def leader(self) -> str:
        return self.leading[1]

    # --- keepers ---

    def applied(self, now: float, keeper: str, entry: messages.Entry) -> None:
        """A keeper takes this as agreed."""
        self.looked("one record a place")
        known = self.reference.entries.get(entry.index)
        if known is None:
            if entry.index != self.reference.last + 1:
                return self.say(
                    "one record a place",
                    now,
                    f"{keeper} applies {entry.index}, and nobody has applied {self.reference.last + 1}",
                )
            applied, old = self.reference.take(entry)
            for rule in self.rules:
                rule(now, applied, old)
        elif known != entry:
            self.say(
                "one record a place",
                now,
                f"{keeper} applies another record at {entry.index}: term {entry.term}, where term {known.term} stands",
            )

    def state(self, now: float, keeper: str, index: int, view: View) -> None:
        self.looked("same state at one place")
        self.compare("same state at one place", now, keeper, index, view, self.reference.at[0])

    def mirror(self, now: float, client: str, index: int, view: View, tables: Iterable[str]) -> None:
        self.looked("mirrors are the state")
        self.compare("mirrors are the state", now, client, index, view, tables)

    def compare(self, rule: str, now: float, who: str, index: int, view: View, tables: Iterable[str]) -> None:
        if index not in self.reference.at:
            return self.say(rule, now, f"{who} stands at {index}, which no keeper has applied")
        for table in tables:
            if view_digest(view, table) != self.reference.at[index][table]:
                self.say(rule, now, f"{who} at {index}: table {table} is not what the log gives")

    # --- clients ---

    def began(self, client: str) -> None:
        """A new life of a client knows nothing of the questions of the last."""
        self.callers[client] = Caller()

    def sent(self, now: float, source: str, target: str, body: messages.Body) -> None:
        caller = self.callers.setdefault(source, Caller())
        match body:
            case messages.ProposeRequest():
                caller.session = body.session
                caller.asked.setdefault((body.session, body.seq), Asked(body.body, now))
            case messages.ReadRequest():
                caller.reads.setdefault(body.seq, (body, self.acknowledged))
            case messages.RequestVoteReply() if body.vote_granted and not body.pre_vote:
                self.promised(now, "one vote a term", source, body.term, target)
            case messages.AppendEntries() | messages.InstallSnapshot():
                self.promised(now, "one leader a term", "the group", body.term, source)
                self.leading = max(self.leading, (body.term, source))
            case messages.ProposeReply() if body.ok:
                self.looked("nobody says done before it is")
                if body.index > self.reference.last:
                    self.say("nobody says done before it is", now, f"{source} says {body.index} is done")

    def promised(self, now: float, rule: str, who: str, term: int, to: str) -> None:
        self.looked(rule)
        first = self.promises.setdefault((rule, who, term), to)
        if first != to:
            self.say(rule, now, f"{who}, term {term}: {first}, then {to}")

    def heard(self, now: float, source: str, target: str, body: messages.Body) -> None:
        caller = self.callers.get(target)
        if caller is None:
            return
        match body:
            case messages.ProposeReply():
                self.done(now, target, caller, body)
            case messages.ReadReply():
                self.rows(now, target, caller, body)

    def done(self, now: float, client: str, caller: Caller, done: messages.ProposeReply) -> None:
        asked = caller.asked.get((caller.session, done.seq))
        if asked is None:
            return  # of an earlier life
        self.looked("one answer a question")
        answer = (done.index, done.ok, done.text)
        if asked.answer is not None and asked.answer != answer:
            self.say("one answer a question", now, f"{client} {done.seq}: {asked.answer}, then {answer}")
        asked.answer = answer
        self.looked("no acknowledged record lost")
        stamped = self.stamped(done.index)
        if (
            stamped is None
            or stamped.client != client
            or stamped.body != asked.record
            or (stamped.session, stamped.seq) != (caller.session, done.seq)
        ):
            self.say(
                "no acknowledged record lost",
                now,
                f"{client} was told that its {done.seq} stands at {done.index}, where it does not",
            )
        self.acknowledged = max(self.acknowledged, done.index)
        self.newest_ack = max(self.newest_ack, asked.at_ms)

    def stamped(self, index: int) -> LogRecord | None:
        entry = self.reference.entries.get(index)
        return None if entry is None or not entry.octets else _stamped.decode(entry.octets)

    def rows(self, now: float, client: str, caller: Caller, rows: messages.ReadReply) -> None:
        if rows.seq not in caller.reads:
            return
        read, least = caller.reads[rows.seq]
        parts = caller.parts.setdefault(rows.seq, [])
        parts.extend(rows.rows)
        if not rows.last:
            return
        del caller.reads[rows.seq], caller.parts[rows.seq]
        self.looked("reads are fresh")
        if rows.index < least:
            self.say(
                "reads are fresh",
                now,
                f"{client} read at {rows.index} what was asked after {least} had been acknowledged",
            )
        self.looked("rows read are the state")
        at = self.reference.at.get(rows.index)
        held = {one.key: one.octets or b"" for one in parts}
        if at is None or (not read.prefix and digest(held.items()) != at[read.table]):
            self.say("rows read are the state", now, f"{client} read {read.table} at {rows.index}")

    def acted(self, now: float, client: str, table: str, what: str, fence: int) -> None:
        """A client did what only the holder may. Whoever got it later was given it at a later place."""
        self.looked("one holder at an instant")
        row: Any = self.reference.machine.view.get(table, what)
        if row is None or row.by != client or row.fence != fence:
            held = "nobody" if row is None else f"{row.by}, fence {row.fence}"
            self.say("one holder at an instant", now, f"{client} acts on {what}, fence {fence}: {held} holds it")

    # --- processes ---

    def gone(self, now: float, who: str, error: BaseException) -> None:
        self.say("no process gone", now, f"{who}: {type(error).__name__}: {error}")

    def went_on(self, now: float, since: float, within: float) -> None:
        """At the end: something asked after `since` was acknowledged."""
        self.looked("the group goes on")
        if self.newest_ack < since:
            self.say(
                "the group goes on",
                now,
                f"nothing asked since {since:.0f} ms was acknowledged within {within:.0f} ms",
            )

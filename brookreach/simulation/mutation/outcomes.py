"""What came of each changed message, and the table of it. It judges by rules stated here, never by what came
out.

A changed message of a sender that holds the group's key is a lie of one of ours. The group is built for
processes
that stop, forget nothing that they confirmed, and say what is so: `TRUSTED` names, field by field, whose
word a
reader can't check. A rule broken by such a word stands in a column of its own, never among the harmless. A
process that ends without a word, or a group that doesn't go on, is a defect whoever said what.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.tags import wire_name
from brookreach.simulation.engine.transit import Frame, Reaction
from brookreach.simulation.mutation.mutators import FAMILIES, Change

READER, STATE, HARMLESS, TRUST, DEFECT = (
    "refused by reader",
    "refused by state",
    "harmless",
    "trusted sender",
    "DEFECT",
)
COLUMNS = (READER, STATE, HARMLESS, TRUST, DEFECT)

ALL = "all"
TRUSTED: dict[str, tuple[frozenset[str] | str, str]] = {
    "AskVote": (
        frozenset(("term", "last_index", "last_term")),
        "how new its log is, only the one who stands knows",
    ),
    "Vote": (frozenset(("term", "pre_vote", "vote_granted")), "whether it gave its vote, only the voter knows"),
    "Append": (ALL, "what the log is, the leader says"),
    "Appended": (frozenset(("term", "ok", "index", "round")), "what is on its disk, only the follower knows"),
    "Part": (ALL, "what the state was, the leader says"),
    "PartGot": (frozenset(("term", "index", "offset", "round")), "what it holds, only the follower knows"),
    "Joined": (ALL, "a client can't check what a keeper says"),
    "Done": (ALL, "a client can't check what a keeper says"),
    "Rows": (ALL, "a client can't check what a keeper says"),
    "Renewed": (ALL, "a client can't check what a keeper says"),
    "Changes": (ALL, "a client can't check what a keeper says"),
    "Whole": (ALL, "a client can't check what a keeper says"),
    "Sorry": (ALL, "a client can't check what a keeper says"),
    "Ask": (frozenset(("seq",)), "which of its own questions it asks, the client says"),
    "Join": (frozenset(("session",)), "whether it lived before, the client says"),
}
NEVER = ("no process gone", "the group goes on")  # whoever said what
HALTED = "ReplicaHaltedError"  # how a part ends that reads a record which nobody but a lying leader writes


def moved_fields(frame: Frame, change: Change) -> set[str]:
    """What the changed words say otherwise; a way of sending is no field."""
    names = set[str]()
    for one in change.instead:
        if one.source:
            names.add("its sender")
        if one.body is not None and type(one.body) is not type(frame.body):
            names.add("its kind")
        elif one.body is not None:
            names |= {
                name for name in frame.body.__struct_fields__ if getattr(one.body, name) != getattr(frame.body, name)
            }
    return names


def within_trust(frame: Frame, change: Change, broken: Iterable[tuple[str, str]]) -> bool:
    """Whether this message's sender may say so, in a group that trusts its own."""
    fields = moved_fields(frame, change)
    if not fields or change.family == "of an earlier term":
        return False  # the network may do that to anyone
    for rule, text in broken:
        if rule in NEVER and not (rule == NEVER[0] and f" {HALTED}:" in text):
            return False
    if fields == {"its sender"}:
        return True  # whoever has the key may speak for any
    trusted, _ = TRUSTED.get(wire_name(frame.body), (frozenset(), ""))
    return trusted == ALL or fields <= set(trusted)


def verdict(frame: Frame, change: Change, reaction: Reaction | None, broken: Iterable[tuple[str, str]]) -> str:
    broken = list(broken)
    if broken:
        return TRUST if within_trust(frame, change, broken) else DEFECT
    if reaction is None:
        return HARMLESS  # never came to be read
    if reaction.refused:
        return READER
    if change.plain:
        return DEFECT  # bytes or values that no reader may take
    if any(map(refusal, reaction.said)) or not (reaction.said or reaction.changed):
        return STATE
    return HARMLESS


def refusal(body: messages.Body) -> bool:
    match body:
        case messages.RequestRejected():
            return True
        case messages.ProposeReply() | messages.AppendEntriesReply():
            return not body.ok
        case messages.RequestVoteReply():
            return not body.vote_granted
    return False


class Table:
    """How often each came of each kind of message under each family of changes."""

    def __init__(self) -> None:
        self.cells: Counter[tuple[str, str, str]] = Counter()  # message, family, column
        self.ways: Counter[tuple[str, str, str]] = Counter()  # message, change, column
        self.names: Counter[str] = Counter()  # of the readers' refusals
        self.trusted: dict[tuple[str, str], Counter[str]] = {}  # message, change: rules broken

    def add(self, frame: Frame, change: Change, column: str, refused: str, rules: Iterable[str]) -> None:
        message = wire_name(frame.body)
        self.cells[message, change.family, column] += 1
        self.ways[message, change.name, column] += 1
        if refused:
            self.names[refused] += 1
        if column == TRUST:
            self.trusted.setdefault((message, change.name), Counter()).update(set(rules))

    def total(self, column: str) -> int:
        return sum(count for (_, _, one), count in self.cells.items() if one == column)

    def told(self) -> dict[str, Any]:
        kinds = [wire_name(kind) for kind in messages.ALL_MESSAGES]
        return {
            "played": sum(self.cells.values()),
            "by column": {column: self.total(column) for column in COLUMNS},
            "refusals by name": dict(sorted(self.names.items())),
            "messages never said": [kind for kind in kinds if not any(one == kind for one, _, _ in self.cells)],
            "table": [self.row(kind, family) for kind in kinds for family in FAMILIES if self.seen(kind, family)],
            "trusted": {
                f"{message} {way}": dict(sorted(rules.items()))
                for (message, way), rules in sorted(self.trusted.items())
            },
            "ways": {
                f"{message} {way}: {column}": count for (message, way, column), count in sorted(self.ways.items())
            },
        }

    def seen(self, kind: str, family: str) -> bool:
        return any(self.cells[kind, family, column] for column in COLUMNS)

    def row(self, kind: str, family: str) -> list[Any]:
        return [kind, family, *(self.cells[kind, family, column] for column in COLUMNS)]

    def lines(self) -> list[str]:
        """The table for people: a message's rows, then whose word was trusted."""
        told = self.told()
        head = f"{'message':<10} {'change':<22}" + "".join(f"{column:>19}" for column in COLUMNS)
        rows = [
            f"{row[0]:<10} {row[1]:<22}" + "".join(f"{count or '.':>19}" for count in row[2:]) for row in told["table"]
        ]
        trusted = [f"  trusted: {way}: {', '.join(rules)}" for way, rules in told["trusted"].items()]
        why = sorted({(message, TRUSTED[message][1]) for message, _ in self.trusted if message in TRUSTED})
        return [head, *rows, *trusted, *(f"  {message}: {reason}" for message, reason in why)]

"""Judges what came of each mutated message by rules that are stated here, never by what came out.

A mutated message from a sender that holds the group's key is a false statement of a member. The group is built for
processes that stop, forget nothing that they confirmed, and tell the truth: `TRUSTED_FIELDS` names what a receiver
can't verify. A rule that such a statement violates has a column of its own and never counts as harmless. A process
that ends by an error, or a group that makes no progress, is a defect whoever said what.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.tags import wire_name
from brookreach.simulation.coordination.rules import Rule, RuleViolation
from brookreach.simulation.engine.links import FrameReaction, SentFrame
from brookreach.simulation.mutation.mutation import Family, Mutation


class Outcome(StrEnum):
    """What came of a mutated message, by the text that reports print."""

    REJECTED_BY_READER = "refused by reader"
    REJECTED_BY_STATE = "refused by state"
    HARMLESS = "harmless"
    TRUSTED_SENDER = "trusted sender"
    DEFECT = "DEFECT"


@dataclass(frozen=True, slots=True)
class TrustedFields:
    """Fields of a message that its receiver has to believe; None for all of them."""

    names: frozenset[str] | None
    reason: str

    def cover(self, names: set[str]) -> bool:
        """Whether all of these fields have to be believed."""
        return self.names is None or names <= self.names


_FROM_LEADER = "what the log is, the leader says"
_FROM_SERVER = TrustedFields(None, "a client can't check what a keeper says")

TRUSTED_FIELDS: dict[str, TrustedFields] = {
    "AskVote": TrustedFields(
        frozenset(("term", "last_index", "last_term")), "how new its log is, only the one who stands knows"
    ),
    "Vote": TrustedFields(
        frozenset(("term", "pre_vote", "vote_granted")), "whether it gave its vote, only the voter knows"
    ),
    "Append": TrustedFields(None, _FROM_LEADER),
    "Appended": TrustedFields(
        frozenset(("term", "ok", "index", "round")), "what is on its disk, only the follower knows"
    ),
    "Part": TrustedFields(None, "what the state was, the leader says"),
    "PartGot": TrustedFields(frozenset(("term", "index", "offset", "round")), "what it holds, only the follower knows"),
    "Joined": _FROM_SERVER,
    "Done": _FROM_SERVER,
    "Rows": _FROM_SERVER,
    "Renewed": _FROM_SERVER,
    "Changes": _FROM_SERVER,
    "Whole": _FROM_SERVER,
    "Sorry": _FROM_SERVER,
    "Ask": TrustedFields(frozenset(("seq",)), "which of its own questions it asks, the client says"),
    "Join": TrustedFields(frozenset(("session",)), "whether it lived before, the client says"),
}
"""By the message's name on the wire."""

NEVER_EXCUSED = (Rule.NO_PROCESS_FAILS, Rule.GROUP_MAKES_PROGRESS)
HALTED_ERROR = "ReplicaHaltedError"  # raised by a record that only a lying leader writes
SENDER = "its sender"
KIND = "its kind"


def mutated_fields(frame: SentFrame, mutation: Mutation) -> set[str]:
    """Return the fields that say something else than before; delivery is no field."""
    fields: set[str] = set()
    for substitute in mutation.substitutes:
        if substitute.source:
            fields.add(SENDER)
        if substitute.body is not None:
            fields |= _differing_fields(frame.body, substitute.body)
    return fields


def _differing_fields(original: messages.Body, mutated: messages.Body) -> set[str]:
    if type(mutated) is not type(original):
        return {KIND}
    return {name for name in original.__struct_fields__ if getattr(mutated, name) != getattr(original, name)}


def is_within_trust(frame: SentFrame, mutation: Mutation, violations: Iterable[RuleViolation]) -> bool:
    """Whether the violations follow from a statement that a group has to believe of its members."""
    fields = mutated_fields(frame, mutation)
    if not fields or mutation.family is Family.EARLIER_TERM:
        return False  # the network may do that to anyone
    for violation in violations:
        is_halt = violation.rule == Rule.NO_PROCESS_FAILS and f" {HALTED_ERROR}:" in violation.text
        if violation.rule in NEVER_EXCUSED and not is_halt:
            return False
    if fields == {SENDER}:
        return True  # whoever has the key may speak for any member
    trusted = TRUSTED_FIELDS.get(wire_name(frame.body))
    return trusted is not None and trusted.cover(fields)


def judge(
    frame: SentFrame, mutation: Mutation, reaction: FrameReaction | None, violations: Sequence[RuleViolation]
) -> Outcome:
    """Return the outcome of one mutation.

    Args:
        frame: The frame as it was sent.
        mutation: What was sent instead.
        reaction: What its receiver did at once; None if it was never received.
        violations: The rules that did not hold in the run.
    """
    if violations:
        return Outcome.TRUSTED_SENDER if is_within_trust(frame, mutation, violations) else Outcome.DEFECT
    if reaction is None:
        return Outcome.HARMLESS
    if reaction.rejection:
        return Outcome.REJECTED_BY_READER
    if mutation.must_be_rejected:
        return Outcome.DEFECT
    has_effect = bool(reaction.replies) or reaction.state_changed
    if any(map(is_rejection, reaction.replies)) or not has_effect:
        return Outcome.REJECTED_BY_STATE
    return Outcome.HARMLESS


def is_rejection(body: messages.Body) -> bool:
    """Whether a message tells its receiver that something was not accepted."""
    match body:
        case messages.RequestRejected():
            return True
        case messages.ProposeReply() | messages.AppendEntriesReply():
            return not body.ok
        case messages.RequestVoteReply():
            return not body.vote_granted
    return False

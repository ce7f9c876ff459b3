"""A mutation of one message: what is sent in its place, and how reports name it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from brookreach.simulation.engine.links import SubstituteFrame


class Family(StrEnum):
    """The kind of a mutation, by the text that reports print, in the order of their table."""

    NEIGHBOUR = "neighbour"
    EXTREME = "extreme"
    OUT_OF_BOUNDS = "past its bounds"
    OTHER_CHOICE = "other word"
    EMPTIED = "emptied"
    LIST = "list"
    TRUNCATED = "cut short"
    BIT_FLIP = "a bit"
    BIT_FLIP_RESEALED = "a bit, sealed again"
    WRONG_SEAL = "old seal"
    OTHER_SENDER = "other sender"
    OTHER_GROUP = "other group"
    OTHER_RECEIVER = "for another"
    DUPLICATED = "doubled"
    DROPPED = "dropped"
    DELAYED = "late"
    DELAYED_BY_TERM = "late by a term"
    EARLIER_TERM = "of an earlier term"


@dataclass(frozen=True, slots=True)
class Mutation:
    """One mutation of one frame.

    Attributes:
        family: Its kind.
        path: The path of the mutated field; empty for the frame as a whole.
        description: What was done to it.
        substitutes: What is sent instead of the frame.
        must_be_rejected: Whether no receiver may accept it.
    """

    family: Family
    path: str
    description: str
    substitutes: tuple[SubstituteFrame, ...]
    must_be_rejected: bool = False

    @property
    def name(self) -> str:
        """What reports call it."""
        return f"{self.path} {self.description}".strip()

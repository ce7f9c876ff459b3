"""Errors of the coordination package: one hierarchy below `CoordinationError`.

An error that tells of a value from outside says which value it was and what is allowed.
"""

from __future__ import annotations

from typing import Literal

InvalidFrameReason = Literal[
    "too long",
    "bad seal",
    "unreadable",
    "other version",
    "other group",
    "not for me",
    "not its to say",
]


class CoordinationError(Exception):
    """Base class of every error that the coordination package raises."""


class CommandRejectedError(CoordinationError):
    """The state does not allow a command. The text is for the operator or client that proposed it.

    It is part of the replicated state (the proposal's answer), so it is the same on every replica.
    """


class ReplicaHaltedError(CoordinationError):
    """A replica can't go on from its log or from a snapshot; its process ends instead of skipping an entry."""


class RowTooLargeError(CoordinationError):
    """A row or key that no message can carry. The command that would store it is rejected."""


class InvalidRowError(CoordinationError):
    """A row that is not of its table's type: a defect of an application, or data of a later version."""


class InvalidFrameError(CoordinationError, ValueError):
    """A frame or message that is dropped without any effect.

    Attributes:
        name: The reason, under which such frames are counted.
    """

    def __init__(self, name: InvalidFrameReason, text: str):
        super().__init__(f"{name}: {text}")
        self.name = name


class FrameTooLongError(CoordinationError):
    """A length prefix that no frame has: where the next frame begins can't be known, so the connection ends."""


class StorageError(CoordinationError):
    """A replica's storage can't be read or written, is corrupt, or belongs to another replica or cluster.

    A replica must stop on this error: it can no longer keep what it has promised.
    """

"""A node's log file: one JSON line for each thing that began or ended there, on the disk before anybody is told of it.

`at` and `until` are the machine's monotonic clock in ms, the same for all nodes of one machine.
"""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from types import TracebackType
from typing import Self

from brookreach.coordination.clock import now_ms
from brookreach.gang_scheduling.member_key import MemberKey

FILE_MODE = 0o644


class LogEvent(StrEnum):
    """What a line tells of an incarnation."""

    START = "start"
    GRANT = "grant"  # it may work longer
    RUN = "go"
    SAVED = "saved"
    STOP = "stop"


@dataclass(slots=True)
class PlayedIncarnation:
    """One incarnation whose work is played.

    Attributes:
        key: The member.
        fencing_token: It was started under.
        epoch: It was started from, or saved last.
        grant_until_ms: Nothing of it works past this moment.
        work_ms: Work that it goes on from.
        working_since_ms: None where it is paused.
    """

    key: MemberKey
    fencing_token: int
    epoch: int
    grant_until_ms: float
    work_ms: float
    working_since_ms: float | None = None

    def pause(self, at_ms: float) -> None:
        """Counts the work done up to now."""
        if self.working_since_ms is not None:
            self.work_ms += min(at_ms, self.grant_until_ms) - self.working_since_ms
            self.working_since_ms = None


class NodeLog:
    """A file that is appended to; a context manager that closes it."""

    def __init__(self, path: Path) -> None:
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, FILE_MODE)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        os.close(self._descriptor)

    def write(self, event: LogEvent, incarnation: PlayedIncarnation, why: str = "") -> None:
        """Writes a line and waits until it is on the disk."""
        line = {
            "what": event,
            "at": now_ms(),
            "gang": incarnation.key.gang,
            "member": incarnation.key.number,
            "fence": incarnation.fencing_token,
            "epoch": incarnation.epoch,
            "until": incarnation.grant_until_ms,
        }
        if why:
            line["why"] = why
        os.write(self._descriptor, (json.dumps(line) + "\n").encode())
        os.fsync(self._descriptor)

"""Faults of a simulation: what happens to which processes or links, from when and for how long.

A fault names what it affects and nothing of what that means; the simulation carries it out.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

LEADER = "leader"  # in a fault's targets: the replica that leads when the fault begins


class FaultKind(StrEnum):
    """What a fault does. The values are part of a run's trace."""

    CUT = "cut"  # one direction between two processes passes nothing
    PARTITION = "halves"  # no frame passes between the targets and the others
    SLOW = "slow"  # frames take up to `size` ms longer
    LOSSY = "lossy"  # `size` percent of the frames are dropped
    DUPLICATES = "doubles"  # half of the frames come twice, half of them late
    KILL = "kill"  # as by SIGKILL, at the fault's crash point; the disk stays as confirmed
    PAUSE = "stop"  # as by SIGSTOP
    TERMINATE = "end"  # as by SIGTERM
    CLOCK_JUMP = "jump"  # the wall clock moves by `size` ms
    DISK_FULL = "full"  # no save succeeds
    DISK_LOST = "emptied"  # killed, and started again without a disk
    DISK_ROLLED_BACK = "older"  # killed, and started again with the disk of `size` saves ago


class CrashPoint(StrEnum):
    """When a replica that is to be killed dies. The values are part of a run's trace."""

    IMMEDIATELY = ""
    BEFORE_SAVE = "before"  # in its next save, before that is durable
    AFTER_SAVE = "after"  # in its next save, after that is durable, before anything is sent
    AFTER_PROMISE = "promise"  # once it has sent what a new term on its disk allows
    AFTER_FIRST_ENTRY = "first"  # with the entry that begins its leadership on its own disk alone


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        at_ms: The true time at which it begins.
        kind: What it does.
        targets: The processes that it affects, or those on one side of the affected links.
        others: The processes on the other side of the links; empty unless links are affected.
        duration_ms: How long it lasts.
        size: In ms, percent or saves, as its kind says.
        crash_point: When a killed process dies.
    """

    at_ms: int
    kind: FaultKind
    targets: tuple[str, ...]
    others: tuple[str, ...] = ()
    duration_ms: int = 0
    size: int = 0
    crash_point: CrashPoint = CrashPoint.IMMEDIATELY

    def describe(self) -> str:
        """Return the fault as one line of a trace."""
        text = f"{self.at_ms} ms {self.kind} {', '.join(self.targets)}"
        if self.others:
            text += f" and {', '.join(self.others)}"
        text += f" for {self.duration_ms} ms"
        if self.crash_point:
            text += f" {self.crash_point}"
        if self.size:
            text += f" {self.size}"
        return text

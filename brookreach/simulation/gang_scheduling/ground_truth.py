"""What truly happened in a simulated cluster. Only invariants and bounds read it.

Nothing here must ever be told to the application or to an agent.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brookreach.gang_scheduling.tables import GangRow

CLOCK_DRIFT = 0.01  # between any two clocks, as a fraction


@dataclass
class IncarnationRecord:
    """One incarnation of a member as it truly lived. Moments are of the cluster's clock, in ms."""

    gang: str
    member: int
    node: str
    fencing_token: int
    epoch: int  # that it was started from
    start_ms: float
    loaded_ms: float | None = None
    end_ms: float | None = None
    end_reason: str = ""

    def end_or(self, now_ms: float) -> float:
        """Returns when it ended, `now_ms` where it still lives."""
        return self.end_ms if self.end_ms is not None else now_ms


@dataclass(frozen=True, slots=True)
class PermitSpan:
    """A permit as it was granted and ended."""

    gang: str
    node: str
    start_ms: float
    end_ms: float


@dataclass(frozen=True, slots=True)
class SessionEnd:
    """A session of a node's agent that the replicas ended."""

    node: str
    at_ms: float


@dataclass(frozen=True, slots=True)
class Notice:
    """A notice as it was given: when, and for when by the agreed time; 0 withdraws the one before."""

    given_ms: float
    retires_ms: int


@dataclass(frozen=True, slots=True)
class CheckpointId:
    """A checkpoint of a gang."""

    gang: str
    epoch: int


@dataclass
class GroundTruth:
    """The record of one run.

    Attributes:
        incarnations: In the order of their starts.
        checkpointed_work_ms: By checkpoint and member.
        permits: Those that have ended.
        session_ends: In order.
        notices: By node, in order.
        gangs: Rows as put last; what was submitted stays the same.
        done_ms: When each gang was done.
        rejections: Their number, by the command's name on the wire.
    """

    incarnations: list[IncarnationRecord] = field(default_factory=list)
    checkpointed_work_ms: dict[CheckpointId, dict[int, int]] = field(default_factory=dict)
    permits: list[PermitSpan] = field(default_factory=list)
    session_ends: list[SessionEnd] = field(default_factory=list)
    notices: dict[str, list[Notice]] = field(default_factory=dict)
    gangs: dict[str, GangRow] = field(default_factory=dict)
    done_ms: dict[str, float] = field(default_factory=dict)
    rejections: dict[str, int] = field(default_factory=dict)

    def checkpointed_by_members(self, gang: str, epoch: int) -> dict[int, int]:
        """Returns the work that each member saved with a checkpoint."""
        return self.checkpointed_work_ms.get(CheckpointId(gang, epoch), {})

    def announced_retirement(self, node: str, at_ms: float) -> int:
        """Returns for when the node's retirement was announced by then; 0 for none."""
        retires_ms = 0
        for notice in self.notices.get(node, []):
            if notice.given_ms <= at_ms:
                retires_ms = notice.retires_ms
        return retires_ms

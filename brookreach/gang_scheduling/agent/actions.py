"""What an agent tells its node to do. Times are of the node's own monotonic clock, in ms."""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.gang_scheduling.member_key import MemberKey


@dataclass(frozen=True, slots=True)
class StartMember:
    """Start an incarnation and restore it from `epoch`; nothing of it may work past `grant_until_ms`."""

    key: MemberKey
    fencing_token: int
    epoch: int
    grant_until_ms: float


@dataclass(frozen=True, slots=True)
class RunMember:
    """Begin to work, or go on with it; `epoch` is the last checkpoint requested."""

    key: MemberKey
    fencing_token: int
    epoch: int


@dataclass(frozen=True, slots=True)
class SaveCheckpoint:
    """Pause and save the work as `epoch`."""

    key: MemberKey
    fencing_token: int
    epoch: int


@dataclass(frozen=True, slots=True)
class KillMember:
    """End an incarnation."""

    key: MemberKey
    fencing_token: int


@dataclass(frozen=True, slots=True)
class ExtendGrants:
    """All incarnations of this process may work up to this moment."""

    grant_until_ms: float


NodeAction = StartMember | RunMember | SaveCheckpoint | KillMember | ExtendGrants
MemberAction = StartMember | RunMember | SaveCheckpoint | KillMember

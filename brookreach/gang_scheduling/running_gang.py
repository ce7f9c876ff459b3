"""The facts about a running gang, its members' nodes and the cluster that `migration` decides on."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class MemberOnNode:
    """Where one member works, and when that node will not be there (0: it stays)."""

    number: int
    node: str
    departure_ms: int


@dataclass(frozen=True, slots=True)
class RunningGang:
    """A running gang at one moment."""

    name: str
    now_ms: int
    remaining_ms: int  # work to do
    end_ms: int  # when it could be done, where it is
    unsaved_ms: int  # work since the last complete checkpoint
    checkpoint_requested_ms: int  # when the last checkpoint was requested
    checkpoint_cost_ms: int
    restore_cost_ms: int
    interval_ms: int  # between checkpoints
    has_permits: bool = False  # requested or granted

    @property
    def next_checkpoint_ms(self) -> int:
        """When the next checkpoint is due, were there no notice."""
        return self.now_ms + max(0, self.interval_ms - self.unsaved_ms)

    @property
    def migration_cost_ms(self) -> int:
        """The time that a move of any member takes."""
        return self.checkpoint_cost_ms + self.restore_cost_ms

    @property
    def is_checkpoint_worthwhile(self) -> bool:
        """Whether enough work remains for a checkpoint besides the last one."""
        return self.remaining_ms > self.interval_ms // 2


class MigrationConditions(Protocol):
    """What a decision asks about the cluster."""

    @property
    def granted_ms(self) -> Mapping[str, int]:
        """Since when permits are granted, by node."""
        ...

    def has_capacity_elsewhere(self, numbers: Sequence[int]) -> bool:
        """Returns whether there is capacity for these members on other nodes."""
        ...

    def needs_permit(self, node: str) -> bool:
        """Returns whether a member needs a permit to leave this node."""
        ...

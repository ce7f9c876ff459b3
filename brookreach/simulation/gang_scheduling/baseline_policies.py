"""Baselines: gang scheduling with one decision replaced."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from types import ModuleType
from typing import Any

from brookreach.disruption.states import TargetStatus
from brookreach.disruption.tables import NodeRow
from brookreach.gang_scheduling import departures, migration, placement
from brookreach.gang_scheduling.migration import Step, StepKind
from brookreach.gang_scheduling.running_gang import MemberOnNode, MigrationConditions, RunningGang
from brookreach.simulation.gang_scheduling.defects import without_notices

Decide = Callable[[RunningGang, Sequence[MemberOnNode], MigrationConditions], Step]
Departure = Callable[[NodeRow | None, int], int]


@dataclass(frozen=True, slots=True)
class Patch:
    """A function of a module, and what makes another of it."""

    module: ModuleType
    name: str
    replacement: Callable[[Any], Any]  # a function of whatever type stands there


@contextlib.contextmanager
def apply_patches(patches: Sequence[Patch]) -> Iterator[None]:
    """Replaces functions for the time of a context."""
    originals = [getattr(patch.module, patch.name) for patch in patches]
    for patch, original in zip(patches, originals, strict=True):
        setattr(patch.module, patch.name, patch.replacement(original))
    try:
        yield
    finally:
        for patch, original in zip(patches, originals, strict=True):
            setattr(patch.module, patch.name, original)


def _without_future(right: Departure) -> Departure:
    def departure_ms(row: NodeRow | None, now_ms: int) -> int:
        known_ms = right(row, now_ms)
        return known_ms if known_ms and known_ms <= now_ms else 0

    return departure_ms


def _any_ready(_right: Callable[..., bool]) -> Callable[..., bool]:
    def is_schedulable(row: NodeRow | None, _now_ms: int, _end_ms: int) -> bool:
        return row is not None and row.status == TargetStatus.READY

    return is_schedulable


@dataclass(frozen=True, slots=True)
class _HeardNotice:
    gang: str
    node: str
    departure_ms: int


def _checkpoint_at_each_notice(right: Decide) -> Decide:
    """Checkpoints at each notice as it is heard; the members stay until their node goes."""
    heard: set[_HeardNotice] = set()

    def decide(gang: RunningGang, members: Sequence[MemberOnNode], conditions: MigrationConditions) -> Step:
        coming = [member for member in members if member.departure_ms > gang.now_ms]
        fresh = {_HeardNotice(gang.name, member.node, member.departure_ms) for member in coming} - heard
        if fresh:
            heard.update(fresh)
            return Step(StepKind.CHECKPOINT, (), gang.now_ms, "a notice")
        staying = [replace(member, departure_ms=0) if member in coming else member for member in members]
        step = right(gang, staying, conditions)
        return replace(step, wake_ms=min([step.wake_ms, *(member.departure_ms for member in coming)]))

    return decide


def _migrate_all(right: Decide) -> Decide:
    """Moves all members whenever one must."""

    def decide(gang: RunningGang, members: Sequence[MemberOnNode], conditions: MigrationConditions) -> Step:
        departures_ms = [
            member.departure_ms for member in members if member.departure_ms and member.departure_ms < gang.end_ms
        ]
        if departures_ms:
            members = [replace(member, departure_ms=min(departures_ms)) for member in members]
        return right(gang, members, conditions)

    return decide


BASELINES: dict[str, Sequence[Patch]] = {
    "piece": (),
    "no notice heard": (
        Patch(departures, "departure_ms", _without_future),
        Patch(placement, "is_schedulable", _any_ready),
        Patch(placement, "NodeCapacity", without_notices),
    ),
    "checkpoint at each notice": (Patch(migration, "decide", _checkpoint_at_each_notice),),
    "never in part": (Patch(migration, "decide", _migrate_all),),
}
"""By the name in the table; "piece" is gang scheduling as it is."""

"""Combinations of faults that threaten one guarantee each, and the themes that a run's faults are drawn from."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

from brookreach.simulation.engine.faults import FaultKind


class Scenario(StrEnum):
    """A combination of faults that threatens one guarantee. Each `FaultKind` stands for itself as well."""

    RIVALS = "rivals"  # the leader goes, all replicas are slow to each other, and each dies once after a promise
    CHURN = "churn"  # leaders die one after the other, each with entries that few others have
    PROMISE = "promise"  # a replica dies once it has sent what a new term allows
    LEADER_KILLED = "leader killed"
    LEADER_PAUSED = "leader stopped"
    ISOLATED = "alone"  # one process is cut off from all others
    FROZEN = "frozen"  # one is paused, and cut off from all until a little after it resumes


THEMES: Mapping[str, tuple[FaultKind | Scenario, ...]] = {
    "all": (
        FaultKind.CUT,
        FaultKind.PARTITION,
        FaultKind.SLOW,
        FaultKind.LOSSY,
        FaultKind.DUPLICATES,
        FaultKind.KILL,
        FaultKind.PAUSE,
        FaultKind.TERMINATE,
        FaultKind.CLOCK_JUMP,
        FaultKind.DISK_FULL,
        FaultKind.DISK_LOST,
    ),
    "elections": (
        Scenario.RIVALS,
        Scenario.CHURN,
        Scenario.PROMISE,
        Scenario.LEADER_KILLED,
        Scenario.LEADER_PAUSED,
        FaultKind.LOSSY,
    ),
    "leases": (
        Scenario.ISOLATED,
        Scenario.ISOLATED,
        Scenario.FROZEN,
        Scenario.FROZEN,
        Scenario.LEADER_KILLED,
        FaultKind.SLOW,
    ),
    "disks": (
        FaultKind.KILL,
        FaultKind.KILL,
        FaultKind.DISK_FULL,
        FaultKind.DISK_LOST,
        FaultKind.TERMINATE,
        Scenario.LEADER_KILLED,
        Scenario.PROMISE,
    ),
}
"""What the faults of one run are drawn from; a run has one theme."""

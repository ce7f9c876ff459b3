"""Bounds of lost work and missed deadlines, from a run's placing before the notices, for each gang by itself."""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from dataclasses import dataclass

from brookreach.disruption.states import TargetStatus
from brookreach.disruption.tables import NODES
from brookreach.gang_scheduling.checkpoint_interval import PRIOR_MEMBER_MTBF_MS
from brookreach.gang_scheduling.tables import GANGS, GangRow
from brookreach.simulation.gang_scheduling.cluster_model import ClusterModel
from brookreach.simulation.gang_scheduling.ground_truth import IncarnationRecord
from brookreach.simulation.gang_scheduling.replicated_state import EPOCH_MS

NODE_CAPACITY = 8  # of the scenario's nodes
MAX_CHECKPOINTS = 99
MAX_GANGS_FOR_SUBSETS = 14  # beyond that no bound of missed deadlines is computed
FOREVER_MS = 1 << 60


@dataclass(frozen=True, slots=True)
class Bounds:
    """The least that could be lost, in ms of members, and the fewest deadlines that could be missed.

    Attributes:
        foresees_all_ms: Loads, one last checkpoint, a load for a node that has to be left, a checkpoint and a load for
            each failure.
        foresees_notices_ms: The same for notices; for failures what Young and Daly show that they cost at least on
            average: a bound over many seeds, not of each.
        missed: Deadlines.
    """

    foresees_all_ms: int
    foresees_notices_ms: int
    missed: int


def compute_bounds(cluster: ClusterModel) -> Bounds:
    """Returns the bounds, of lost work for gangs that are done."""
    foresees_all_ms = 0.0
    foresees_notices_ms = 0.0
    for name, row in cluster.state.view.rows(GANGS):
        if name not in cluster.truth.done_ms:
            continue
        first = _first_incarnations(cluster, name)
        must_leave = any(_retired_before_end(cluster, row, record) for record in first)
        has_failed = any(record.end_reason == "failed" for record in first)
        loads_ms = row.restore_cost_ms + must_leave * row.restore_cost_ms
        failure_ms = has_failed * (row.checkpoint_cost_ms + row.restore_cost_ms)
        foresees_all_ms += row.member_count * (loads_ms + row.checkpoint_cost_ms + failure_ms)
        foresees_notices_ms += row.member_count * (loads_ms + _checkpoints_and_failures_ms(row))
    return Bounds(int(foresees_all_ms), int(foresees_notices_ms), _least_missed(cluster))


def _checkpoints_and_failures_ms(row: GangRow) -> float:
    """Returns the cost at the best number of checkpoints, the last one among them.

    Failures cost half a span of work and a load each, on the fewest nodes that the gang could stand on.
    """
    work_ms = float(row.work_ms)
    nodes = -(-row.member_count * row.member_capacity // NODE_CAPACITY)
    mtbf_ms = PRIOR_MEMBER_MTBF_MS / nodes
    return min(
        count * row.checkpoint_cost_ms + work_ms / mtbf_ms * (work_ms / count / 2.0 + row.restore_cost_ms)
        for count in range(1, MAX_CHECKPOINTS + 1)
    )


def _first_incarnations(cluster: ClusterModel, gang: str) -> list[IncarnationRecord]:
    """Returns each member's first incarnation that was restored."""
    first: dict[int, IncarnationRecord] = {}
    for record in cluster.truth.incarnations:
        if record.gang == gang and record.loaded_ms is not None:
            first.setdefault(record.member, record)
    return list(first.values())


def _retired_before_end(cluster: ClusterModel, row: GangRow, record: IncarnationRecord) -> bool:
    """Returns whether the node retired before the gang could have been done on it."""
    end_ms = EPOCH_MS + record.start_ms + row.restore_cost_ms + row.work_ms
    node = cluster.state.view.get(NODES, record.node)
    return bool(node.retires_ms) and node.status == TargetStatus.DECOMMISSIONED and node.retires_ms < end_ms


@dataclass(frozen=True, slots=True)
class _NodeSpan:
    """A node's capacity, and until when it stands."""

    capacity: int
    end_ms: int


def _least_missed(cluster: ClusterModel) -> int:
    """Returns the fewest deadlines that could be missed, over all subsets of gangs.

    The most gangs are kept whose work fits, by each deadline, into all capacity that there is until then.
    """
    gangs = [row for _, row in cluster.state.view.rows(GANGS)]
    if len(gangs) > MAX_GANGS_FOR_SUBSETS:
        return 0
    nodes = [
        _NodeSpan(row.capacity, row.retires_ms if row.status == TargetStatus.DECOMMISSIONED else FOREVER_MS)
        for _, row in cluster.state.view.rows(NODES)
    ]
    for size in range(len(gangs), -1, -1):
        if any(_fit(kept, nodes) for kept in itertools.combinations(gangs, size)):
            return len(gangs) - size
    return len(gangs)


def _fit(gangs: Sequence[GangRow], nodes: Sequence[_NodeSpan]) -> bool:
    for deadline_ms in {gang.deadline_ms for gang in gangs}:
        available = sum(node.capacity * max(0, min(deadline_ms, node.end_ms) - EPOCH_MS) for node in nodes)
        due = [gang for gang in gangs if gang.deadline_ms <= deadline_ms]
        if sum(gang.member_count * gang.member_capacity * gang.work_ms for gang in due) > available:
            return False
    return True

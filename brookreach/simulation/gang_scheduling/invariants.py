"""The invariants of gang scheduling, checked on what truly happened: incarnations, checkpoints, notices, permits.

They must never read what the application's rows say of members; only which gangs ended, since those may be stopped.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import pairwise

from brookreach.disruption.tables import NODES
from brookreach.gang_scheduling import placement
from brookreach.gang_scheduling.gang_state import FINAL_STATES, GangState
from brookreach.gang_scheduling.member_key import MemberKey
from brookreach.gang_scheduling.node_search import PlacementRequest, find_nodes
from brookreach.gang_scheduling.tables import GANGS, RESERVED_CAPACITY, SLOTS, GangRow
from brookreach.simulation.gang_scheduling import permit_invariant
from brookreach.simulation.gang_scheduling.cluster_model import ClusterModel
from brookreach.simulation.gang_scheduling.findings import Findings
from brookreach.simulation.gang_scheduling.ground_truth import IncarnationRecord
from brookreach.simulation.gang_scheduling.replicated_state import EPOCH_MS

MAX_PARTIAL_MS = 120_000 + 30_000 + 60_000  # to be placed, to give up a checkpoint, and until all are released
NOTICE_KNOWN_AFTER_MS = 45_000.0  # by then the application knows a notice, and tasks from before it are over


@dataclass(frozen=True, slots=True)
class Change:
    """By how much a sum changes at a moment; sorted by both."""

    at_ms: float
    amount: int


@dataclass(frozen=True, slots=True)
class Span:
    """From a moment to another."""

    start_ms: float
    end_ms: float


def check(cluster: ClusterModel, findings: Findings) -> None:
    """Checks all that must hold at any time."""
    by_member: dict[MemberKey, list[IncarnationRecord]] = defaultdict(list)
    for record in cluster.truth.incarnations:
        by_member[MemberKey(record.gang, record.member)].append(record)
    for records in by_member.values():
        records.sort(key=lambda record: (record.start_ms, record.fencing_token))
        _check_one_incarnation(records, findings)
    _check_complete_epochs(cluster, findings)
    for records in by_member.values():
        _check_targets(cluster, records, findings)
    permit_invariant.check(cluster, by_member, findings)
    _check_partial_placement(cluster, findings)
    _check_capacity(cluster, findings)
    _check_sums(cluster, findings)


def _check_one_incarnation(records: Sequence[IncarnationRecord], findings: Findings) -> None:
    findings.checked("one incarnation", len(records))
    for earlier, later in pairwise(records):
        if earlier.end_ms is None or earlier.end_ms > later.start_ms:
            text = (
                f"{earlier.node} fence {earlier.fencing_token} works on,"
                f" {later.node} fence {later.fencing_token} starts"
            )
            findings.violated("one incarnation", later.start_ms, f"{later.gang}/{later.member}: {text}")


def _check_complete_epochs(cluster: ClusterModel, findings: Findings) -> None:
    for record in cluster.truth.incarnations:
        if not record.epoch:
            continue
        findings.checked("epochs are whole")
        saved = cluster.truth.checkpointed_by_members(record.gang, record.epoch)
        member_count = cluster.truth.gangs[record.gang].member_count
        if len(saved) < member_count:
            text = f"starts from epoch {record.epoch}, kept by {sorted(saved)} of {member_count}"
            findings.violated("epochs are whole", record.start_ms, f"{record.gang}/{record.member} {text}")


def _check_targets(cluster: ClusterModel, records: Sequence[IncarnationRecord], findings: Findings) -> None:
    """Checks that one member never starts on another node that was known to retire."""
    previous_node = ""
    for record in records:
        if record.node != previous_node:
            findings.checked("no target that retires")
            _check_target(cluster, record, findings)
        previous_node = record.node


def _check_target(cluster: ClusterModel, record: IncarnationRecord, findings: Findings) -> None:
    truth = cluster.truth
    known_ms = truth.announced_retirement(record.node, record.start_ms - NOTICE_KNOWN_AFTER_MS)
    retires_ms = truth.announced_retirement(record.node, record.start_ms)
    saved = truth.checkpointed_by_members(record.gang, record.epoch)
    # no sooner, wherever it runs
    end_ms = record.start_ms + truth.gangs[record.gang].work_ms - min(saved.values(), default=0)
    needed_until_ms = EPOCH_MS + min(record.start_ms + placement.HORIZON_MS, end_ms)
    if known_ms and known_ms == retires_ms and retires_ms < needed_until_ms:
        text = f"{record.gang}/{record.member} on {record.node}, out at {retires_ms - EPOCH_MS}"
        findings.violated("no target that retires", record.start_ms, text)


def _check_partial_placement(cluster: ClusterModel, findings: Findings) -> None:
    """Checks that no gang has some members there and others not for longer than stated."""
    changes: dict[str, list[Change]] = defaultdict(list)
    for record in cluster.truth.incarnations:
        loaded_ms = record.loaded_ms if record.loaded_ms is not None else record.end_ms or cluster.now_ms
        changes[record.gang].append(Change(loaded_ms, 1))
        changes[record.gang].append(Change(record.end_or(cluster.now_ms), -1))
    for gang, row in cluster.truth.gangs.items():
        findings.checked("no gang placed in part")
        limit_ms = MAX_PARTIAL_MS + 4 * row.checkpoint_cost_ms + 2 * row.restore_cost_ms
        for span in _partial_spans(changes[gang], row.member_count, cluster.now_ms):
            duration_ms = span.end_ms - span.start_ms
            if duration_ms > limit_ms:
                text = f"{gang}: some of {row.member_count} for {duration_ms:.0f} ms"
                findings.violated("no gang placed in part", span.end_ms, text)


def _partial_spans(changes: list[Change], member_count: int, end_ms: float) -> Iterator[Span]:
    """Returns the spans in which some but not all members are there."""
    present = 0
    start_ms = 0.0
    for change in sorted(changes, key=lambda change: (change.at_ms, change.amount)):
        was_partial = 0 < present < member_count
        present += change.amount
        is_partial = 0 < present < member_count
        if was_partial and not is_partial:
            yield Span(start_ms, change.at_ms)
        elif is_partial and not was_partial:
            start_ms = change.at_ms
    if 0 < present < member_count:
        yield Span(start_ms, end_ms)


def _check_capacity(cluster: ClusterModel, findings: Findings) -> None:
    changes: dict[str, list[Change]] = defaultdict(list)
    for record in cluster.truth.incarnations:
        capacity = cluster.truth.gangs[record.gang].member_capacity
        changes[record.node].append(Change(record.start_ms, capacity))
        changes[record.node].append(Change(record.end_or(cluster.now_ms + 1.0), -capacity))
    for node, of_node in changes.items():
        findings.checked("no room taken twice")
        available = cluster.state.view.get(NODES, node).capacity
        used = 0
        for change in sorted(of_node, key=lambda change: (change.at_ms, change.amount)):
            used += change.amount
            if used > available:
                findings.violated("no room taken twice", change.at_ms, f"{node}: {used} of {available}")
                break


def _check_sums(cluster: ClusterModel, findings: Findings) -> None:
    """Checks the rows that follow from others."""
    findings.checked("sums of room")
    sums: dict[str, int] = defaultdict(int)
    for key, slot in cluster.state.view.rows(SLOTS):
        sums[key.split("/")[0]] += slot.capacity
    reserved = {node: row.reserved for node, row in cluster.state.view.rows(RESERVED_CAPACITY)}
    if dict(sums) != reserved:
        findings.violated("sums of room", cluster.now_ms, f"places {dict(sums)}, rooms {reserved}")


def check_progress(cluster: ClusterModel, findings: Findings) -> None:
    """Checks that, with quiet for long, each gang is done, or waits for capacity that isn't there and says so."""
    for gang, row in cluster.state.view.rows(GANGS):
        findings.checked("all get on")
        says_so = row.state == GangState.WAITING and "room" in row.reason
        if row.state in FINAL_STATES or (says_so and not _fits(cluster, row)):
            continue
        text = f"{gang}: {row.state} since {row.since_ms - EPOCH_MS}: {row.reason}"
        findings.violated("all get on", cluster.now_ms, text)


def _fits(cluster: ClusterModel, row: GangRow) -> bool:
    index = placement.CapacityIndex(cluster.state.view, EPOCH_MS + int(cluster.now_ms))
    return find_nodes(index, PlacementRequest(row, row.member_count, end_ms=0)) is not None

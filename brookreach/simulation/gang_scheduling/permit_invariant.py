"""The invariant of permits: where a member of a complete gang is taken off a node that stands, a permit stood then."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from itertools import pairwise

from brookreach.gang_scheduling.member_key import MemberKey
from brookreach.simulation.gang_scheduling.cluster_model import ClusterModel
from brookreach.simulation.gang_scheduling.findings import Findings
from brookreach.simulation.gang_scheduling.ground_truth import IncarnationRecord, PermitSpan
from brookreach.simulation.gang_scheduling.replicated_state import EPOCH_MS

RULE = "a permit for each move"
TASK_DELAY_MS = 5000.0  # the task that stops a member was made no longer before its end
SESSION_DOUBT_MS = 40_000.0  # a session that ended no longer before may have been the reason

Incarnations = Mapping[MemberKey, Sequence[IncarnationRecord]]


def check(cluster: ClusterModel, by_member: Incarnations, findings: Findings) -> None:
    """Checks each move; `by_member` has each member's incarnations in the order of their starts."""
    permits = _permits_by_gang_and_node(cluster)
    for key, records in by_member.items():
        for earlier, later in pairwise(records):
            ended_ms = _migrated_ms(cluster, earlier, later)
            if ended_ms is None or not _was_complete(cluster, by_member, key.gang, ended_ms):
                continue
            findings.checked(RULE)
            retires_ms = cluster.truth.announced_retirement(earlier.node, ended_ms)
            if retires_ms and EPOCH_MS + ended_ms >= retires_ms:
                continue
            spans = permits[key.gang, earlier.node]
            if not any(span.start_ms <= ended_ms <= span.end_ms + TASK_DELAY_MS for span in spans):
                text = f"{key.gang}/{key.number} is taken off {earlier.node}, which stands"
                findings.violated(RULE, ended_ms, text)


def _permits_by_gang_and_node(cluster: ClusterModel) -> dict[tuple[str, str], list[PermitSpan]]:
    permits: dict[tuple[str, str], list[PermitSpan]] = defaultdict(list)
    for span in cluster.truth.permits:
        permits[span.gang, span.node].append(span)
    for permit in cluster.state.granted_permits.values():
        span = PermitSpan(permit.gang, permit.node, permit.granted_ms, float("inf"))
        permits[permit.gang, permit.node].append(span)
    return permits


def _migrated_ms(cluster: ClusterModel, earlier: IncarnationRecord, later: IncarnationRecord) -> float | None:
    """Returns when a member was stopped to run on another node, its gang not done yet; None where it wasn't."""
    if earlier.end_ms is None or earlier.end_reason != "killed" or later.node == earlier.node:
        return None
    done_ms = cluster.truth.done_ms.get(earlier.gang)
    if done_ms is not None and earlier.end_ms >= done_ms:
        return None
    return earlier.end_ms


def _was_complete(cluster: ClusterModel, by_member: Incarnations, gang: str, at_ms: float) -> bool:
    """Returns whether all members lived, loaded, up to the task that stopped one, and no agent was thought gone."""
    before_ms = at_ms - TASK_DELAY_MS
    nodes = set()
    for number in range(cluster.truth.gangs[gang].member_count):
        records = by_member.get(MemberKey(gang, number), ())
        living = [record for record in records if _lives(record, before_ms, at_ms)]
        if not living:
            return False
        nodes.add(living[0].node)
    doubted = {end.node for end in cluster.truth.session_ends if before_ms - SESSION_DOUBT_MS <= end.at_ms <= at_ms}
    return not nodes & doubted


def _lives(record: IncarnationRecord, loaded_by_ms: float, at_ms: float) -> bool:
    is_loaded = record.loaded_ms is not None and record.loaded_ms <= loaded_by_ms
    return is_loaded and (record.end_ms or at_ms) >= at_ms

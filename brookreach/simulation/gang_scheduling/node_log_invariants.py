"""The invariants of gang scheduling, checked on the logs of nodes' agents."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise

from brookreach.gang_scheduling.member_key import MemberKey
from brookreach.simulation.gang_scheduling.ground_truth import CheckpointId
from brookreach.simulation.gang_scheduling.node_logs import IncarnationSpan, NodeLogs, Overrun
from brookreach.simulation.processes.application_drill import Town

MAX_LATENESS_MS = 1000.0  # how late a process may look at its clock on a busy machine


@dataclass(frozen=True, slots=True)
class Pause:
    """A span in which a node's process was stopped, and so nothing worked there."""

    start_ms: float
    end_ms: float


def check_node_logs(
    cluster: Town, logs: NodeLogs, member_counts: Mapping[str, int], pauses: Mapping[str, Sequence[Pause]]
) -> None:
    """Checks all invariants.

    Args:
        cluster: Takes what was checked and what was found.
        logs: Of all nodes.
        member_counts: By gang.
        pauses: By node.
    """
    for overrun in logs.overruns:
        _check_grant(cluster, overrun, pauses.get(overrun.node, ()))
    for key, spans in sorted(logs.spans.items()):
        for earlier, later in pairwise(spans):
            _check_successor(cluster, key, earlier, later)
        for span in spans:
            if span.epoch:
                _check_epoch(cluster, key, span, logs, member_counts[key.gang])


def _check_grant(cluster: Town, overrun: Overrun, pauses: Sequence[Pause]) -> None:
    was_paused = any(
        pause.start_ms <= overrun.end_ms and overrun.grant_end_ms <= pause.end_ms + MAX_LATENESS_MS for pause in pauses
    )
    cluster.look(
        "nothing works past its grant",
        was_paused or overrun.end_ms <= overrun.grant_end_ms + MAX_LATENESS_MS,
        lambda: (
            f"fence {overrun.fencing_token} on {overrun.node} ended at {overrun.end_ms:.0f},"
            f" its grant at {overrun.grant_end_ms:.0f}"
        ),
    )


def _check_successor(cluster: Town, key: MemberKey, earlier: IncarnationSpan, later: IncarnationSpan) -> None:
    def text() -> str:
        return f"{key.gang}/{key.number}: {earlier}, then {later}"

    cluster.look("one incarnation of a member at an instant", later.start_ms >= earlier.end_ms, text)
    cluster.look("a member's fence grows", later.fencing_token > earlier.fencing_token, text)


def _check_epoch(cluster: Town, key: MemberKey, span: IncarnationSpan, logs: NodeLogs, member_count: int) -> None:
    saved_ms = logs.saved_ms.get(CheckpointId(key.gang, span.epoch), {})
    saved_before = [number for number in range(member_count) if saved_ms.get(number, span.start_ms) < span.start_ms]
    cluster.look(
        "starts from what all kept",
        len(saved_before) == member_count,
        lambda: f"{key.gang}/{key.number} starts from epoch {span.epoch}: {span}, kept {saved_ms}",
    )

"""What nodes' agents wrote into their logs: which incarnations worked where, and until when at the latest.

All nodes of a drill are on one machine and write its one monotonic clock, so their instants can be compared.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from brookreach.gang_scheduling.agent.node_log import LogEvent
from brookreach.gang_scheduling.member_key import MemberKey
from brookreach.simulation.gang_scheduling.ground_truth import CheckpointId


class LogLine(msgspec.Struct, frozen=True):
    """One line of a node's log."""

    what: LogEvent
    at: float
    gang: str
    member: int
    fence: int
    epoch: int
    until: float


@dataclass(slots=True)
class IncarnationSpan:
    """One incarnation.

    Attributes:
        end_ms: The last instant at which it may have worked.
        has_exited: Whether its end was written.
    """

    node: str
    fencing_token: int
    epoch: int
    start_ms: float
    end_ms: float
    has_exited: bool = False


@dataclass(frozen=True, slots=True)
class Overrun:
    """An incarnation that may have worked past its grant."""

    node: str
    fencing_token: int
    grant_end_ms: float
    end_ms: float


@dataclass(slots=True)
class NodeLogs:
    """The logs of all nodes.

    Attributes:
        spans: Incarnations of each member, in the order of their starts.
        saved_ms: When each member saved a checkpoint.
        overruns: Incarnations that may have worked past their grants.
        lines: How many were read.
    """

    spans: dict[MemberKey, list[IncarnationSpan]] = field(default_factory=dict)
    saved_ms: dict[CheckpointId, dict[int, float]] = field(default_factory=dict)
    overruns: list[Overrun] = field(default_factory=list)
    lines: int = 0


def read_node_logs(folder: Path, kills_ms: Mapping[str, Sequence[float]], now_ms: float) -> NodeLogs:
    """Reads the logs of all nodes.

    Args:
        folder: With NODE.jsonl for each.
        kills_ms: When each node's process was killed, with all that it played.
        now_ms: What has no end works at this moment.
    """
    logs = NodeLogs()
    for path in sorted(folder.glob("*.jsonl")):
        kills = kills_ms.get(path.stem, ())
        for text in path.read_text().splitlines():
            logs.lines += 1
            _take_line(logs, path.stem, msgspec.convert(json.loads(text), LogLine), kills)
    for spans in logs.spans.values():
        spans.sort(key=lambda span: span.start_ms)
        for span in spans:
            was_killed = any(kill_ms >= span.start_ms for kill_ms in kills_ms.get(span.node, ()))
            if not span.has_exited and not was_killed and now_ms > span.end_ms:
                logs.overruns.append(Overrun(span.node, span.fencing_token, span.end_ms, now_ms))
    return logs


def _take_line(logs: NodeLogs, node: str, line: LogLine, kills_ms: Sequence[float]) -> None:
    spans = logs.spans.setdefault(MemberKey(line.gang, line.member), [])
    if line.what == LogEvent.START:
        end_ms = _latest_end_ms(line, line.at, kills_ms)
        spans.append(IncarnationSpan(node, line.fence, line.epoch, line.at, end_ms))
        return
    span = next(span for span in reversed(spans) if span.node == node and span.fencing_token == line.fence)
    match line.what:
        case LogEvent.GRANT:
            span.end_ms = _latest_end_ms(line, span.start_ms, kills_ms)
        case LogEvent.STOP:
            if line.at > span.end_ms:  # or a process that was stopped wrote late: its grant had ended before
                logs.overruns.append(Overrun(node, span.fencing_token, span.end_ms, line.at))
            span.end_ms = min(span.end_ms, line.at)
            span.has_exited = True
        case LogEvent.SAVED:
            saved_ms = logs.saved_ms.setdefault(CheckpointId(line.gang, line.epoch), {})
            saved_ms.setdefault(line.member, line.at)


def _latest_end_ms(line: LogLine, start_ms: float, kills_ms: Sequence[float]) -> float:
    return min([line.until, *(kill_ms for kill_ms in kills_ms if kill_ms >= start_ms)])

"""Rules of gangs by the files that nodes' agents wrote: what worked where, and until when at the latest.

All nodes of a drill are on one machine and write its one monotonic clock, so their instants can be compared.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from brookreach.simulation.processes.application_drill import ProcessCluster

Member = tuple[str, int]
LATE_MS = 1000.0  # how late a process may look at its clock on a busy machine


@dataclass(slots=True)
class Span:
    """One incarnation. `end`: the last instant at which it may have worked."""

    node: str
    fence: int
    epoch: int
    start: float
    end: float
    ended: bool = False


@dataclass(slots=True)
class Found:
    spans: dict[Member, list[Span]] = field(default_factory=dict)
    saved: dict[tuple[str, int], dict[int, float]] = field(default_factory=dict)  # when, by member
    over: list[tuple[str, int, float, float]] = field(default_factory=list)  # node, fence, grant's end, stop
    lines: int = 0


def read(folder: Path, killed: Mapping[str, Sequence[float]], now: float) -> Found:
    """`killed`: when each node's process was, with all that it played; what has no end works at `now`."""
    found = Found()
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_text().splitlines():
            found.lines += 1
            _take(found, path.stem, json.loads(line), killed.get(path.stem, ()))
    for spans in found.spans.values():
        spans.sort(key=lambda one: one.start)
        found.over += [
            (one.node, one.fence, one.end, now)
            for one in spans
            if not one.ended and now > one.end and all(at < one.start for at in killed.get(one.node, ()))
        ]
    return found


def _take(found: Found, node: str, told: Mapping[str, Any], killed: Sequence[float]) -> None:
    spans = found.spans.setdefault((told["gang"], told["member"]), [])
    if told["what"] == "start":
        spans.append(Span(node, told["fence"], told["epoch"], told["at"], _end(told, told["at"], killed)))
        return
    mine = next(one for one in reversed(spans) if (one.node, one.fence) == (node, told["fence"]))
    if told["what"] == "grant":
        mine.end = _end(told, mine.start, killed)
    elif told["what"] == "stop":  # a process that was stopped writes so late: its grant ended before
        if told["at"] > mine.end:
            found.over.append((node, mine.fence, mine.end, told["at"]))
        mine.end, mine.ended = min(mine.end, told["at"]), True
    elif told["what"] == "saved":
        found.saved.setdefault((told["gang"], told["epoch"]), {}).setdefault(told["member"], told["at"])


def _end(told: Mapping[str, Any], start: float, killed: Sequence[float]) -> float:
    return float(min([told["until"], *(one for one in killed if one >= start)]))


def check(
    town: ProcessCluster, found: Found, members: Mapping[str, int], paused: Mapping[str, Sequence[tuple[float, float]]]
) -> None:
    """`members` by gang; `paused`: when each node's process was stopped, and so nothing worked there."""
    for node, fence, until, stop in found.over:
        slept = any(begin <= stop and until <= end + LATE_MS for begin, end in paused.get(node, ()))
        town.check(
            "nothing works past its grant",
            slept or stop <= until + LATE_MS,
            lambda node=node, fence=fence, until=until, stop=stop: (
                f"fence {fence} on {node} ended at {stop:.0f}, its grant at {until:.0f}"
            ),
        )
    for (gang, member), spans in sorted(found.spans.items()):
        for before, after in zip(spans, spans[1:], strict=False):
            town.check(
                "one incarnation of a member at an instant",
                after.start >= before.end,
                lambda gang=gang, member=member, before=before, after=after: f"{gang}/{member}: {before}, then {after}",
            )
            town.check(
                "a member's fence grows",
                after.fence > before.fence,
                lambda gang=gang, member=member, before=before, after=after: f"{gang}/{member}: {before}, then {after}",
            )
        for span in spans:
            if span.epoch:
                saved = found.saved.get((gang, span.epoch), {})
                whole = [one for one in range(members[gang]) if saved.get(one, span.start) < span.start]
                town.check(
                    "starts from what all kept",
                    len(whole) == members[gang],
                    lambda gang=gang, member=member, span=span, saved=saved: (
                        f"{gang}/{member} starts from epoch {span.epoch}: {span}, kept {saved}"
                    ),
                )

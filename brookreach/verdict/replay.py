"""Judges a record of a wave again, under its own stated rates or others, and shows what was found.

It must never change a record, nor apply another rule than the balancer's own canary analysis.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from brookreach import interface as ifc
from brookreach.policy.canary_analysis import CanaryAnalysis
from brookreach.policy.common import NEVER_EXECUTED
from brookreach.verdict.notes import Note, Wave


@dataclass(frozen=True)
class Point:
    """A chart's level at a time, in ms after the offer."""

    at_ms: float
    level: float


@dataclass
class Side:
    """Outcomes of one build by method, and which nodes gave them."""

    count: int = 0
    failed: int = 0
    total_ms: float = 0.0

    def rate(self) -> float:
        return self.failed / self.count if self.count else 0.0


@dataclass
class Verdict:
    """What a replay found of one build: all that a person needs to see why."""

    build: int
    marshal: str
    offered_ms: float
    voted: list[tuple[float, str]]
    crossed: str
    crossed_ms: float | None
    threshold: float
    levels: dict[str, list[Point]]
    trust: dict[str, float]
    trial: dict[str, Side]
    earlier: dict[str, Side]
    nodes: dict[int, Side]


def _play(analysis: CanaryAnalysis, wave: Wave, note: Note, entry: ifc.NodeEntry | None) -> None:
    match note.what:
        case "L":
            analysis.update_nodes([wave.entries[index] for index in note.nodes])
        case "N" if note.news is not None:
            analysis.update_rollout(note.now, note.news)
        case "R":
            analysis.handle_vote_reply(note.now, ifc.Outcome(note.ending))
        case "T" if note.tally is not None:
            analysis.record_counts(note.now, note.tally)
        case "D":
            analysis.evaluate(note.now)
        case "O" if entry is not None and analysis.baselines:
            analysis.record_outcome(
                note.now,
                entry,
                note.method,
                note.sent,
                ifc.Outcome(note.ending),
                note.took,
                note.unit,
                note.flow,
            )


def chart_name(wave: Wave, key: tuple[int, str]) -> str:
    method, stream = key
    return f"{'all' if method < 0 else wave.start.methods[method].name} {stream}"


def replay(wave: Wave, stated: ifc.ErrorRateTargets | None = None) -> Verdict:
    """Judge a record again, under its own stated rates or others. News stay as they came."""
    start = replace(wave.start, stated=stated) if stated else wave.start
    acts: list[ifc.Action] = []
    analysis = CanaryAnalysis(deque(), acts, start)
    offered = next((note.now for note in wave.notes if note.news and note.news.build == wave.build), 0.0)
    found = Verdict(wave.build, wave.name, offered, [], "", None, 0.0, {}, {}, {}, {}, {})
    names = [method.name for method in start.methods]
    for note in wave.notes:
        entry = wave.entries[note.nodes[0]] if note.what == "O" else None
        old = {key: chart.level for key, chart in analysis.charts.items()}
        _play(analysis, wave, note, entry)
        if entry is not None and note.ending not in NEVER_EXECUTED:
            _count(found, wave, note, entry, names[note.method], start)
        if analysis.status is not None and analysis.status.build == wave.build:
            for key, chart in analysis.charts.items():
                if chart.level != old.get(key):
                    levels = found.levels.setdefault(chart_name(wave, key), [])
                    levels.append(Point(note.now - offered, chart.level))
        for act in acts:
            if isinstance(act, ifc.Vote) and act.build == wave.build:
                found.voted.append((note.now - offered, f"{act.verdict.name} stage {act.stage}"))
            elif isinstance(act, ifc.LogLine) and act.text.startswith(f"back {wave.build}:") and not found.crossed:
                found.crossed, found.crossed_ms = act.text, note.now - offered
        acts.clear()
    found.threshold = analysis.thresholds.local
    found.trust = {chart_name(wave, key): chart.cumulative_sum for key, chart in analysis.charts.items()}
    return found


def _count(
    found: Verdict, wave: Wave, note: Note, entry: ifc.NodeEntry, name: str, start: ifc.BalancerSettings
) -> None:
    failed = note.ending != ifc.Outcome.OK or note.took > start.methods[note.method].soft_ms
    trial = entry.build == wave.build
    sides = [(found.trial if trial else found.earlier).setdefault(name, Side())]
    if trial:
        sides.append(found.nodes.setdefault(entry.node, Side()))
    for side in sides:
        side.count, side.failed = side.count + 1, side.failed + failed
        side.total_ms += note.took


def show(found: Verdict, most_votes: int = 12) -> str:
    """A verdict as lines for people."""
    lines = [
        f"build {found.build} as {found.marshal} judged it, times from its offer",
        f"threshold {found.threshold:.2f}",
    ]
    if found.crossed and found.crossed_ms is not None:
        lines.append(f"crossed after {found.crossed_ms / 1000.0:.1f} s: {found.crossed.split(': ', 1)[1]}")
    else:
        lines.append("no chart has crossed")
    lines.append(
        f"{'method':14} {'earlier':>8} {'failed':>7} {'mean ms':>8} | {'trial':>6} {'failed':>7} {'mean ms':>8}"
    )
    for name in sorted({*found.earlier, *found.trial}):
        old, new = found.earlier.get(name, Side()), found.trial.get(name, Side())
        lines.append(
            f"{name:14} {old.count:8} {old.rate():7.3f} {old.total_ms / max(1, old.count):8.0f} | "
            f"{new.count:6} {new.rate():7.3f} {new.total_ms / max(1, new.count):8.0f}"
        )
    lines.append(
        "trial nodes: "
        + (
            ", ".join(f"{node} {side.failed} of {side.count}" for node, side in sorted(found.nodes.items()))
            or "none seen"
        )
    )
    for name, levels in sorted(found.levels.items(), key=lambda item: -max(p.level for p in item[1])):
        top = max(levels, key=lambda point: point.level)
        lines.append(
            f"{name:26} highest {top.level:6.2f} at {top.at_ms / 1000.0:5.1f} s, "
            f"trust {found.trust.get(name, 0.0):7.2f}"
        )
    last = None
    shown = 0
    for at, vote in found.voted:
        if vote != last and shown < most_votes:
            lines.append(f"voted {vote} at {at / 1000.0:.1f} s")
            shown += 1
        last = vote
    return "\n".join(lines)


def told(found: Verdict) -> dict[str, Any]:
    """A verdict as plain values, for JSON."""
    return msgspec.to_builtins(found)  # type: ignore[no-any-return]

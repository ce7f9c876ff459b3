"""Judges a record of a wave again, under its own stated rates or others, and shows what was found.

It must never change a record, nor judge by another rule than the marshal's own judge.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from brookreach import interface as ifc
from brookreach.policy.canary_analysis import CanaryAnalysis
from brookreach.policy.common import NEVER_EXECUTED
from brookreach.verdict.wave_records import Note, Wave


@dataclass(frozen=True)
class LevelSample:
    """A chart's level at a time, in ms after the offer."""

    at_ms: float
    level: float


@dataclass
class OutcomeSummary:
    """Outcomes of one build by method, and which nodes gave them."""

    count: int = 0
    failed: int = 0
    total_ms: float = 0.0

    def rate(self) -> float:
        return self.failed / self.count if self.count else 0.0


@dataclass
class ReplayedVerdict:
    """What a replay found of one build: all that a person needs to see why."""

    build: int
    marshal: str
    offered_ms: float
    voted: list[tuple[float, str]]
    crossed: str
    crossed_ms: float | None
    threshold: float
    levels: dict[str, list[LevelSample]]
    trust: dict[str, float]
    trial: dict[str, OutcomeSummary]
    earlier: dict[str, OutcomeSummary]
    nodes: dict[int, OutcomeSummary]


def _play(judge: CanaryAnalysis, wave: Wave, note: Note, entry: ifc.NodeEntry | None) -> None:
    match note.what:
        case "L":
            judge.update_nodes([wave.entries[index] for index in note.entry_indices])
        case "N" if note.status is not None:
            judge.update_rollout(note.time_ms, note.status)
        case "R":
            judge.handle_vote_reply(note.time_ms, ifc.Outcome(note.outcome))
        case "T" if note.counts is not None:
            judge.record_counts(note.time_ms, note.counts)
        case "D":
            judge.evaluate(note.time_ms)
        case "O" if entry is not None and judge.baselines:
            judge.record_outcome(
                note.time_ms,
                entry,
                note.method,
                note.sent_ms,
                ifc.Outcome(note.outcome),
                note.duration_ms,
                note.cost,
                note.rpcs_per_s,
            )


def chart_name(wave: Wave, key: tuple[int, str]) -> str:
    method, stream = key
    return f"{'all' if method < 0 else wave.settings.methods[method].name} {stream}"


def replay(wave: Wave, stated: ifc.ErrorRateTargets | None = None) -> ReplayedVerdict:
    """Judge a record again, under its own stated rates or others. News stay as they came."""
    start = replace(wave.settings, stated=stated) if stated else wave.settings
    acts: list[ifc.Action] = []
    judge = CanaryAnalysis(deque(), acts, start)
    offered = next((note.time_ms for note in wave.notes if note.status and note.status.build == wave.build), 0.0)
    found = ReplayedVerdict(wave.build, wave.name, offered, [], "", None, 0.0, {}, {}, {}, {}, {})
    names = [method.name for method in start.methods]
    for note in wave.notes:
        entry = wave.entries[note.entry_indices[0]] if note.what == "O" else None
        old = {key: chart.level for key, chart in judge.charts.items()}
        _play(judge, wave, note, entry)
        if entry is not None and note.outcome not in NEVER_EXECUTED:
            _count(found, wave, note, entry, names[note.method], start)
        if judge.status is not None and judge.status.build == wave.build:
            for key, chart in judge.charts.items():
                if chart.level != old.get(key):
                    levels = found.levels.setdefault(chart_name(wave, key), [])
                    levels.append(LevelSample(note.time_ms - offered, chart.level))
        for act in acts:
            if isinstance(act, ifc.Vote) and act.build == wave.build:
                found.voted.append((note.time_ms - offered, f"{act.verdict.name} stage {act.stage}"))
            elif isinstance(act, ifc.LogLine) and act.text.startswith(f"back {wave.build}:") and not found.crossed:
                found.crossed, found.crossed_ms = act.text, note.time_ms - offered
        acts.clear()
    found.threshold = judge.thresholds.local
    found.trust = {chart_name(wave, key): chart.cumulative_sum for key, chart in judge.charts.items()}
    return found


def _count(
    found: ReplayedVerdict, wave: Wave, note: Note, entry: ifc.NodeEntry, name: str, start: ifc.BalancerSettings
) -> None:
    failed = note.outcome != ifc.Outcome.OK or note.duration_ms > start.methods[note.method].soft_ms
    trial = entry.build == wave.build
    sides = [(found.trial if trial else found.earlier).setdefault(name, OutcomeSummary())]
    if trial:
        sides.append(found.nodes.setdefault(entry.node, OutcomeSummary()))
    for side in sides:
        side.count, side.failed = side.count + 1, side.failed + failed
        side.total_ms += note.duration_ms


def format_verdict(found: ReplayedVerdict, most_votes: int = 12) -> str:
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
        old, new = found.earlier.get(name, OutcomeSummary()), found.trial.get(name, OutcomeSummary())
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


def to_builtins(found: ReplayedVerdict) -> dict[str, Any]:
    """A verdict as plain values, for JSON."""
    return msgspec.to_builtins(found)  # type: ignore[no-any-return]

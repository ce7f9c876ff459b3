"""Analyses a recorded rollout again, at its own error rates or others, and shows what was found.

A record is never changed, and no other rule is applied than the balancer's own canary analysis.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from brookreach import interface as ifc
from brookreach.policy.canary_analysis import CanaryAnalysis
from brookreach.policy.common import NEVER_EXECUTED
from brookreach.verdict.wave_records import Note, Wave

MAX_SHOWN_VOTES = 12


@dataclass(frozen=True)
class LevelSample:
    """A chart's level at a time, in ms after the build was offered. The fields are printed as JSON."""

    at_ms: float
    level: float


@dataclass
class OutcomeSummary:
    """Outcomes of one build, by method or by node. The fields are printed as JSON.

    Attributes:
        count: How many there were.
        failed: How many of them were errors or came after the soft deadline.
        total_ms: Their durations together.
    """

    count: int = 0
    failed: int = 0
    total_ms: float = 0.0

    def rate(self) -> float:
        """Return the failure rate; 0 without outcomes."""
        return self.failed / self.count if self.count else 0.0

    def mean_ms(self) -> float:
        """Return the mean duration; 0 without outcomes."""
        return self.total_ms / max(1, self.count)


@dataclass
class ReplayedVerdict:
    """What a replay found of one build. The fields are printed as JSON.

    Attributes:
        build: The candidate build.
        marshal: The balancer's name.
        offered_ms: When the build was offered, by the balancer's clock.
        voted: Each vote with its time (ms after the offer).
        crossed: The log line of the chart that crossed its threshold; empty for none.
        crossed_ms: When that was (ms after the offer).
        threshold: Of this balancer's charts.
        levels: By chart: the levels that it took.
        trust: By chart: the sum of all its steps.
        trial: By method: the candidate's outcomes.
        earlier: By method: the baseline's outcomes.
        nodes: By node: the candidate's outcomes.
    """

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


def chart_name(wave: Wave, key: tuple[int, str]) -> str:
    """Return the name under which the chart of a method and a stream is shown."""
    method, stream = key
    return f"{'all' if method < 0 else wave.settings.methods[method].name} {stream}"


def replay(wave: Wave, stated: ifc.ErrorRateTargets | None = None) -> ReplayedVerdict:
    """Analyse a record again, at its own error rates or at those in `stated`. Rollout statuses stay as recorded."""
    settings = replace(wave.settings, stated=stated) if stated else wave.settings
    actions: list[ifc.Action] = []
    analysis = CanaryAnalysis(deque(), actions, settings)
    offered_ms = next((note.time_ms for note in wave.notes if note.status and note.status.build == wave.build), 0.0)
    found = ReplayedVerdict(
        build=wave.build,
        marshal=wave.name,
        offered_ms=offered_ms,
        voted=[],
        crossed="",
        crossed_ms=None,
        threshold=0.0,
        levels={},
        trust={},
        trial={},
        earlier={},
        nodes={},
    )
    for note in wave.notes:
        entry = wave.entries[note.entry_indices[0]] if note.what == "O" else None
        old_levels = {key: chart.level for key, chart in analysis.charts.items()}
        _apply(analysis, wave, note, entry)
        if entry is not None and note.outcome not in NEVER_EXECUTED:
            _count_outcome(found, note, entry, settings.methods[note.method])
        if analysis.status is not None and analysis.status.build == wave.build:
            _sample_levels(found, wave, note, analysis, old_levels)
        _collect_actions(found, note, actions)
        actions.clear()
    found.threshold = analysis.thresholds.local
    found.trust = {chart_name(wave, key): chart.cumulative_sum for key, chart in analysis.charts.items()}
    return found


def _apply(analysis: CanaryAnalysis, wave: Wave, note: Note, entry: ifc.NodeEntry | None) -> None:
    """Give one note to the analysis."""
    match note.what:
        case "L":
            analysis.update_nodes([wave.entries[index] for index in note.entry_indices])
        case "N" if note.status is not None:
            analysis.update_rollout(note.time_ms, note.status)
        case "R":
            analysis.handle_vote_reply(note.time_ms, ifc.Outcome(note.outcome))
        case "T" if note.counts is not None:
            analysis.record_counts(note.time_ms, note.counts)
        case "D":
            analysis.evaluate(note.time_ms)
        case "O" if entry is not None and analysis.baselines:
            analysis.record_outcome(
                note.time_ms,
                entry,
                note.method,
                note.sent_ms,
                ifc.Outcome(note.outcome),
                note.duration_ms,
                note.cost_ms,
                note.rpcs_per_s,
            )


def _count_outcome(found: ReplayedVerdict, note: Note, entry: ifc.NodeEntry, method: ifc.Method) -> None:
    is_failure = note.outcome != ifc.Outcome.OK or note.duration_ms > method.soft_ms
    is_candidate = entry.build == found.build
    by_method = found.trial if is_candidate else found.earlier
    summaries = [by_method.setdefault(method.name, OutcomeSummary())]
    if is_candidate:
        summaries.append(found.nodes.setdefault(entry.node, OutcomeSummary()))
    for summary in summaries:
        summary.count += 1
        summary.failed += is_failure
        summary.total_ms += note.duration_ms


def _sample_levels(
    found: ReplayedVerdict,
    wave: Wave,
    note: Note,
    analysis: CanaryAnalysis,
    old_levels: dict[tuple[int, str], float],
) -> None:
    """Add a sample for each chart whose level a note has changed."""
    for key, chart in analysis.charts.items():
        if chart.level != old_levels.get(key):
            samples = found.levels.setdefault(chart_name(wave, key), [])
            samples.append(LevelSample(note.time_ms - found.offered_ms, chart.level))


def _collect_actions(found: ReplayedVerdict, note: Note, actions: list[ifc.Action]) -> None:
    """Add the votes that a note has led to, and the first line of a chart that crossed."""
    after_ms = note.time_ms - found.offered_ms
    for action in actions:
        if isinstance(action, ifc.Vote) and action.build == found.build:
            found.voted.append((after_ms, f"{action.verdict.name} stage {action.stage}"))
        elif isinstance(action, ifc.LogLine) and action.text.startswith(f"back {found.build}:") and not found.crossed:
            found.crossed = action.text
            found.crossed_ms = after_ms


def format_verdict(found: ReplayedVerdict, max_votes: int = MAX_SHOWN_VOTES) -> str:
    """Return a verdict as lines for people, with the first `max_votes` votes that differ from the one before."""
    nodes = ", ".join(f"{node} {summary.failed} of {summary.count}" for node, summary in sorted(found.nodes.items()))
    lines = [
        f"build {found.build} as {found.marshal} judged it, times from its offer",
        f"threshold {found.threshold:.2f}",
        _crossing_line(found),
        f"{'method':14} {'earlier':>8} {'failed':>7} {'mean ms':>8} | {'trial':>6} {'failed':>7} {'mean ms':>8}",
        *_method_lines(found),
        f"trial nodes: {nodes or 'none seen'}",
        *_chart_lines(found),
        *_vote_lines(found, max_votes),
    ]
    return "\n".join(lines)


def _crossing_line(found: ReplayedVerdict) -> str:
    if found.crossed and found.crossed_ms is not None:
        return f"crossed after {found.crossed_ms / 1000.0:.1f} s: {found.crossed.split(': ', 1)[1]}"
    return "no chart has crossed"


def _method_lines(found: ReplayedVerdict) -> Iterator[str]:
    for name in sorted({*found.earlier, *found.trial}):
        old = found.earlier.get(name, OutcomeSummary())
        new = found.trial.get(name, OutcomeSummary())
        yield (
            f"{name:14} {old.count:8} {old.rate():7.3f} {old.mean_ms():8.0f} | "
            f"{new.count:6} {new.rate():7.3f} {new.mean_ms():8.0f}"
        )


def _chart_lines(found: ReplayedVerdict) -> Iterator[str]:
    """Yield a line for each chart, the highest first."""
    for name, samples in sorted(found.levels.items(), key=lambda item: -max(sample.level for sample in item[1])):
        top = max(samples, key=lambda sample: sample.level)
        yield (
            f"{name:26} highest {top.level:6.2f} at {top.at_ms / 1000.0:5.1f} s, "
            f"trust {found.trust.get(name, 0.0):7.2f}"
        )


def _vote_lines(found: ReplayedVerdict, max_votes: int) -> list[str]:
    lines: list[str] = []
    last = None
    for at_ms, vote in found.voted:
        if vote != last and len(lines) < max_votes:
            lines.append(f"voted {vote} at {at_ms / 1000.0:.1f} s")
        last = vote
    return lines


def to_builtins(found: ReplayedVerdict) -> dict[str, Any]:
    """Return a verdict as plain values, for JSON. Any: each field has its own type."""
    values: dict[str, Any] = msgspec.to_builtins(found)
    return values

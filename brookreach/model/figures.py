"""Plots of plans, records and experiments. It reads what others worked out; matplotlib is imported here
only.
"""

from __future__ import annotations

import statistics
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib.figure import Figure  # noqa: E402

from brookreach import interface as ifc  # noqa: E402
from brookreach.model import experiment  # noqa: E402
from brookreach.verdict import error_rates, replay  # noqa: E402
from brookreach.verdict.plan import plan_stages  # noqa: E402
from brookreach.verdict.plan_records import BaselineTraffic, validate  # noqa: E402


def operating(start: ifc.BalancerSettings, seen: BaselineTraffic) -> Figure:
    """The chance of a release by the size of each effect, with the stated rates as lines."""
    validate(start, seen)
    judge = error_rates.make_analysis(start, seen)
    outcomes = sum(stage.outcomes for stage in plan_stages(start, judge, seen))
    figure = Figure(figsize=(9.0, 4.0), layout="constrained")
    left, right = figure.subplots(1, 2, sharey=True)
    for what in ["all", *(method.name for method in start.methods)]:
        sizes = [0.005, *error_rates.RATE_INCREASES]
        left.plot(
            sizes,
            [error_rates.evaluate_effect(start, judge, seen, outcomes, what, size).miss for size in sizes],
            marker=".",
            label=what,
        )
    works = [1.05, 1.1, *error_rates.WORK_RATIOS]
    right.plot(
        works,
        [error_rates.evaluate_effect(start, judge, seen, outcomes, "work", size).miss for size in works],
        marker=".",
        label="work",
    )
    for side, label in (
        (left, "more failures than the earlier build"),
        (right, "times the earlier build's work"),
    ):
        side.axhline(start.stated.miss, color="grey", linestyle=":", label="stated miss")
        side.set_xlabel(label)
        side.legend()
    left.set_ylabel("chance of a release (chain)")
    return figure


def levels(found: replay.ReplayedVerdict) -> Figure:
    """Every chart's level by time after the offer."""
    figure = Figure(figsize=(9.0, 4.0), layout="constrained")
    axes = figure.subplots()
    for name, points in sorted(found.levels.items()):
        axes.step([p.at_ms / 1000.0 for p in points], [p.level for p in points], where="post", label=name)
    axes.axhline(found.threshold, color="black", linestyle=":", label="threshold")
    for at, vote in found.voted[:1] + [
        v for before, v in zip(found.voted, found.voted[1:], strict=False) if before[1] != v[1]
    ]:
        axes.axvline(at / 1000.0, color="grey", linewidth=0.8)
        axes.text(at / 1000.0, found.threshold, f" {vote}", rotation=90, va="top", fontsize=7)
    axes.set_xlabel("s after the offer")
    axes.set_ylabel("level")
    axes.set_title(f"build {found.build} at {found.marshal}")
    axes.legend(fontsize=7)
    return figure


def _cases(sets: dict[str, list[dict[str, Any]]]) -> list[str]:
    return list(dict.fromkeys(row["case"] for rows in sets.values() for row in rows))


def delays(sets: dict[str, list[dict[str, Any]]], title: str) -> Figure:
    """Median and quartiles of the time to the end, good builds' releases and bad ones' way back."""
    figure = Figure(figsize=(9.0, 7.0), layout="constrained")
    axes = figure.subplots()
    names = _cases(sets)
    for at, (label, rows) in enumerate(sets.items()):
        places, middles, lows, highs = [], [], [], []
        for place, name in enumerate(names):
            times = [
                row["ended_ms"] / 1000.0
                for row in rows
                if row["case"] == name and row["ended"] == ("back" if row["bad"] else "released")
            ]
            if len(times) < 4:
                continue
            low, middle, high = statistics.quantiles(times, n=4)
            places.append(place + 0.25 * at)
            middles.append(middle)
            lows.append(middle - low)
            highs.append(high - middle)
        axes.errorbar(middles, places, xerr=[lows, highs], fmt="o", markersize=4, label=label)
    axes.set_yticks(range(len(names)), names, fontsize=8)
    axes.invert_yaxis()
    axes.set_xlabel("s after the offer: median, quartiles (right endings only)")
    axes.set_title(title)
    axes.legend()
    return figure


def errors(sets: dict[str, list[dict[str, Any]]]) -> Figure:
    """The share of wrong endings by case with Wilson's intervals."""
    figure = Figure(figsize=(9.0, 7.0), layout="constrained")
    axes = figure.subplots()
    names = _cases(sets)
    for at, (label, rows) in enumerate(sets.items()):
        summed = {row["case"]: row for row in experiment.summary(rows)}
        places = [place + 0.25 * at for place, name in enumerate(names) if name in summed]
        some = [summed[name] for name in names if name in summed]
        axes.errorbar(
            [row["share"] for row in some],
            places,
            fmt="o",
            markersize=4,
            label=label,
            xerr=[
                [max(0.0, row["share"] - row["low"]) for row in some],
                [max(0.0, row["high"] - row["share"]) for row in some],
            ],
        )
    axes.axvline(0.05, color="grey", linestyle=":")
    axes.set_yticks(range(len(names)), names, fontsize=8)
    axes.invert_yaxis()
    axes.set_xlabel("good builds sent back, bad ones released: share with 95% interval")
    axes.legend()
    return figure

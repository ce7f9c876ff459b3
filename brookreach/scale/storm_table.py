"""Runs of `scale storm` as a table, with lines and squares fitted over the number of marshals, as JSON and a plot."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from brookreach.scale.control_table import MB, slope_told
from brookreach.scale.figures import Slope, fit
from brookreach.scale.storm import StormRun

LEAST_FOR_SQUARE = 3  # sizes


def slopes(runs: Sequence[StormRun]) -> list[Slope]:
    """Of each phase: all bytes and all rows about marshals, over marshals and, with three sizes, their square."""
    found = []
    for what in dict.fromkeys(run.what for run in runs):
        own = [run for run in runs if run.what == what]
        if len(own) < 2:
            continue
        sizes = [{"marshals": float(run.marshals)} for run in own]
        if len(own) >= LEAST_FOR_SQUARE:
            sizes = [size | {"marshals squared": size["marshals"] ** 2} for size in sizes]
        found.append(fit(f"{what}: bytes", "bytes", sizes, [run.bytes_in for run in own]))
        found.append(fit(f"{what}: rows about marshals", "rows", sizes, [run.marshal_rows for run in own]))
    return found


def told(runs: Sequence[StormRun], seed: int) -> dict[str, Any]:
    """All of it, for --json."""
    return {
        "seed": seed,
        "runs": [msgspec.structs.asdict(run) for run in runs],
        "slopes": [slope_told(one) for one in slopes(runs)],
    }


def text(runs: Sequence[StormRun]) -> str:
    """Markdown: a line a phase and size, then the fitted figures."""
    lines = [
        "| marshals | nodes | what | bytes in all | worst 100 ms | a marshal | rows | of them about marshals "
        "| until the last, ms | sessions lost | leader's memory at most, MB |",
        "| --- " * 11 + "|",
    ]
    for run in runs:
        until = "-" if run.until_all_ms is None else f"{run.until_all_ms:,.0f}"
        lines.append(
            f"| {run.marshals:,} | {run.nodes:,} | {run.what} | {run.bytes_in:,} | {run.worst_bytes:,} "
            f"| {run.bytes_in / run.marshals:,.0f} | {run.rows:,} | {run.marshal_rows:,} | {until} "
            f"| {run.sessions_lost:,} | {run.leader_most_bytes / MB:.0f} |"
        )
    found = slopes(runs)
    if not found:
        return "\n".join([*lines, "", "No slopes: they take two sizes or more."])
    lines += ["", "| fitted over marshals | constant | a marshal | a marshal squared | R2 |", "| --- " * 5 + "|"]
    for one in found:
        per, square = (one.per_unit.get(axis) for axis in ("marshals", "marshals squared"))
        cells = " | ".join("-" if value is None else f"{value:.4g}" for value in (one.constant, per, square))
        lines.append(f"| {one.name} | {cells} | {one.explained:.3f} |")
    return "\n".join(lines)


def draw(runs: Sequence[StormRun], path: Path) -> None:
    """Bytes of each phase over the number of marshals; needs matplotlib."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for what in dict.fromkeys(run.what for run in runs):
        own = [run for run in runs if run.what == what]
        axes.plot([run.marshals for run in own], [run.bytes_in / MB for run in own], "o-", label=what)
    axes.set_xlabel("marshals")
    axes.set_ylabel("MB to all marshals")
    axes.set_yscale("log")
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)

"""Runs of `scale control` as a table, with slopes fitted over the number of marshals, as JSON and as a plot."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from brookreach.scale.control import ControlRun
from brookreach.scale.control_day import DAY_S, FULL_DAY
from brookreach.scale.figures import Slope, fit

KB, MB = 1_000.0, 1_000_000.0


class Column(NamedTuple):
    """One figure of a run: its heading, its unit, how it is printed, and its value."""

    name: str
    unit: str
    form: str
    value: Callable[[ControlRun], float]


COLUMNS = (
    Column("idle: to a marshal", "bytes/s", ",.0f", lambda run: run.idle_bytes_in),
    Column("from one", "bytes/s", ",.0f", lambda run: run.idle_bytes_out),
    Column("pressed: to one", "bytes/s", ",.0f", lambda run: run.bytes_in),
    Column("from one", "bytes/s", ",.0f", lambda run: run.bytes_out),
    Column("to one a record", "bytes", ",.0f", lambda run: run.bytes_a_record),
    Column("to one at a day's rate", "bytes/s", ",.0f", lambda run: run.day_bytes_in),
    Column("leader: idle", "% of a core", ".1f", lambda run: 100.0 * run.idle_leader_share),
    Column("leader: pressed", "% of a core", ".1f", lambda run: 100.0 * run.leader_share),
    Column("leader: a record and marshal", "us", ".0f", lambda run: run.leader_us_a_telling),
    Column("marshal: idle", "% of a core", ".3f", lambda run: 100.0 * run.idle_marshal_share),
    Column("marshal: pressed", "% of a core", ".3f", lambda run: 100.0 * run.marshal_share),
    Column("marshal: a record", "us", ".0f", lambda run: run.marshal_us_a_record),
    Column("memory of a marshal", "MB", ".2f", lambda run: run.resident_bytes / MB),
    Column("the last has a change: median", "ms", ",.0f", lambda run: run.last_ms_median),
    Column("worst", "ms", ",.0f", lambda run: run.last_ms_worst),
)
FITTED = (4, 6, 7, 8, 11, 12, 13, 14)  # of COLUMNS


def slopes(runs: Sequence[ControlRun]) -> list[Slope]:
    """Straight lines over the number of marshals, of what has figures at two sizes or more."""
    found = []
    for column in (COLUMNS[at] for at in FITTED):
        points = [(run.marshals, column.value(run)) for run in runs if math.isfinite(column.value(run))]
        if len(points) > 1:
            sizes = [{"marshals": float(size)} for size, _ in points]
            found.append(fit(column.name, column.unit, sizes, [value for _, value in points]))
    return found


def told(runs: Sequence[ControlRun], seed: int) -> dict[str, Any]:
    """All of it, for --json."""
    return {
        "seed": seed,
        "day": {"records": FULL_DAY.records, "seconds": DAY_S},
        "runs": [
            msgspec.structs.asdict(run) | {"records_a_second": run.records_a_second, "day_bytes_in": run.day_bytes_in}
            for run in runs
        ],
        "slopes": [slope_told(one) for one in slopes(runs)],
    }


def slope_told(slope: Slope) -> dict[str, Any]:
    return {
        "name": slope.name,
        "unit": slope.unit,
        "constant": slope.constant,
        "per_unit": slope.per_unit,
        "explained": slope.explained,
        "points": slope.points,
    }


def text(runs: Sequence[ControlRun]) -> str:
    """Markdown: a column a size, then the fitted lines."""
    heads = " | ".join(f"{run.marshals:,}" for run in runs)
    lines = [f"| marshals | {heads} | unit |", "| --- " * (len(runs) + 2) + "|"]
    counted: tuple[tuple[str, str, Callable[[ControlRun], float]], ...] = (
        ("nodes", ",", lambda run: run.nodes),
        ("keepers", ",", lambda run: run.keepers),
        ("configuration changes", ",", lambda run: run.changes),
        ("records in all", ",", lambda run: run.records),
        ("records a second", ".1f", lambda run: run.records_a_second),
        ("rows told to a marshal a record", ".2f", lambda run: run.rows_a_record),
        ("records that were not agreed", ",", lambda run: run.failed),
        ("changes that not all had", ",", lambda run: run.unreached),
        ("sessions lost", ",", lambda run: run.sessions_lost),
    )
    lines += [row(name, form, "", [value(run) for run in runs]) for name, form, value in counted]
    lines += [row(one.name, one.form, one.unit, [one.value(run) for run in runs]) for one in COLUMNS]
    return "\n".join([*lines, "", *slopes_text(slopes(runs))])


def row(name: str, form: str, unit: str, values: Sequence[float]) -> str:
    cells = " | ".join(format(value, form) if math.isfinite(value) else "-" for value in values)
    return f"| {name} | {cells} | {unit} |"


def slopes_text(found: Sequence[Slope]) -> list[str]:
    if not found:
        return ["No slopes: they take two sizes or more."]
    lines = ["| fitted over marshals | unit | constant | a marshal | R2 | points |", "| --- " * 6 + "|"]
    for one in found:
        per = ", ".join(f"{value:.4g}" for value in one.per_unit.values())
        lines.append(f"| {one.name} | {one.unit} | {one.constant:.4g} | {per} | {one.explained:.3f} | {one.points} |")
    return lines


def draw(runs: Sequence[ControlRun], path: Path) -> None:
    """Points and fitted lines; needs matplotlib."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    shown = [COLUMNS[at] for at in (4, 7, 8, 12)]
    figure, fields = pyplot.subplots(2, 2, figsize=(9, 6.5))
    lines = {(one.name, one.unit): one for one in slopes(runs)}
    for axes, column in zip(fields.flat, shown, strict=True):
        points = [(run.marshals, column.value(run)) for run in runs if math.isfinite(column.value(run))]
        axes.plot([size for size, _ in points], [value for _, value in points], "o")
        slope = lines.get((column.name, column.unit))
        if slope is not None:
            ends = [0, max(size for size, _ in points)]
            axes.plot(ends, [slope.at({"marshals": float(end)}) for end in ends], "-", linewidth=1)
        axes.set_title(column.name, fontsize=9)
        axes.set_xlabel("marshals")
        axes.set_ylabel(column.unit)
        axes.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)

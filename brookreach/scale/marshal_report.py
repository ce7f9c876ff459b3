"""What `brookreach scale marshal` found, as tables: for a terminal and, the same, for docs/measured."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from brookreach.scale.figures import Slope
from brookreach.scale.marshal_decisions import Cost, SizedCosts
from brookreach.scale.marshal_run import Report
from brookreach.scale.marshal_sizes import Size
from brookreach.scale.marshal_slopes import COST_FIGURES

AXES = ("nodes", "methods", "tenants")


def text(report: Report) -> str:
    build = "compiled" if report.compiled else "source, not compiled"
    head = f"{report.command}\nseed {report.seed}, {report.rpcs} RPCs a row and situation, decisions: {build}"
    parts = [head]
    for place, cost in enumerate(report.timed[0].costs if report.timed else []):
        parts.append(f"{cost.situation}: processor microseconds, and times the first row's in brackets")
        parts.append(_costs(report.timed, place))
    for place, cost in enumerate(report.counted[0].costs if report.counted else []):
        parts.append(f"{cost.situation}: work counted, calls and lines of the decisions")
        parts.append(_costs(report.counted, place))
    parts += ["lists, processor milliseconds without sockets", _lists(report)]
    parts += ["one process of the program", _processes(report)]
    parts += ["slopes: value = constant + each slope x its size", _slopes(report.slopes)]
    return "\n\n".join(parts)


def _costs(rows: Sequence[SizedCosts], place: int) -> str:
    def cell(of: Callable[[Cost], float | None], row: SizedCosts) -> str:
        return beside(of(row.costs[place]), of(rows[0].costs[place]))

    names = [name for name, of in COST_FIGURES.items() if any(of(row.costs[place]) is not None for row in rows)]
    lines = [[*_size(row.size), *(cell(COST_FIGURES[name], row) for name in names)] for row in rows]
    return table([*AXES, *names], lines)


def _lists(report: Report) -> str:
    names = ["start", "whole: bytes", "read", "decide", "next RPC", "one change: read", "decide", "next RPC"]
    first = report.lists[0]
    lines = []
    for one in report.lists:
        lines.append(
            [
                *_size(one.size),
                beside(one.start_ms, first.start_ms),
                f"{one.whole.body_bytes:,}",
                beside(one.whole.read_ms, first.whole.read_ms),
                beside(one.whole.decide_ms, first.whole.decide_ms),
                beside(one.whole.next_rpc_ms, first.whole.next_rpc_ms),
                beside(one.change.read_ms, first.change.read_ms),
                beside(one.change.decide_ms, first.change.decide_ms),
                beside(one.change.next_rpc_ms, first.change.next_rpc_ms),
            ]
        )
    return table([*AXES, *names], lines)


def _processes(report: Report) -> str:
    names = [
        "first answer s",
        "processor s to it",
        "idle MB",
        "at most MB",
        "idle % of a core",
        "one change ms",
        "whole list ms",
        "calls for the whole",
    ]
    first = report.processes[0]
    lines = []
    for one in report.processes:
        changes, wholes = one.changes, one.wholes
        lines.append(
            [
                *_size(one.size),
                beside(one.first_answer_s, first.first_answer_s),
                beside(one.start_cpu_s, first.start_cpu_s),
                beside(one.idle_mb, first.idle_mb),
                beside(one.peak_mb, first.peak_mb),
                beside(100.0 * one.idle_cpu, 100.0 * first.idle_cpu),
                figure(changes.ms(one.idle_cpu)) if changes else "no watch",
                figure(wholes.ms(one.idle_cpu)) if wholes else "no watch",
                str(one.whole_calls),
            ]
        )
    return table([*AXES, *names], lines)


def _slopes(slopes: Sequence[Slope]) -> str:
    lines = []
    for slope in slopes:
        per = [f"{slope.per_unit[axis]:.4g}" if axis in slope.per_unit else "-" for axis in AXES]
        lines.append([slope.name, slope.unit, f"{slope.constant:.4g}", *per, f"{slope.explained:.3f}"])
    return table(["what", "unit", "constant", *(f"a {axis[:-1]}" for axis in AXES), "explained"], lines)


def _size(size: Size) -> list[str]:
    return [f"{size.nodes:,}", f"{size.methods:,}", f"{size.tenants:,}"]


def beside(value: float | None, first: float | None) -> str:
    """A figure, and how many times the first row's it is."""
    if value is None:
        return "-"
    return f"{figure(value)} ({value / first:.2f})" if first else figure(value)


def figure(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100.0 else f"{value:.3g}"


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """As Markdown words it, so that a page can hold it as printed."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)

"""The tables of a capacity file as markdown, and figures in units that people read."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from brookreach.capacity import arithmetic, model
from brookreach.capacity.arithmetic import Row

PREFIXES = ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k"))
SHORT_TIMES = ((1.0, "s"), (1e-3, "ms"), (1e-6, "us"), (1e-9, "ns"))
NONE_GIVEN = "none given"
BEGIN, END = "<!-- capacity: begin -->", "<!-- capacity: end -->"  # around the tables in a page


class NoMarkers(ValueError):
    """A page that does not hold both markers once, in their order."""


def quantity(value: float, unit: str) -> str:
    """As 1.25 MB/s, 604 us, 31% of a core, 12,000."""
    if not math.isfinite(value):
        return "without bound"
    if unit == "seconds":
        return _seconds(value)
    if unit == "share":
        return f"{100.0 * value:.3g}% of a core" if value < 10.0 else f"{value:,.3g} cores"
    if unit in ("bytes", "bytes/s"):
        return _prefixed(value) + ("B" if unit == "bytes" else "B/s")
    return f"{_number(value)}{'/s' if unit == '1/s' else ''}"


def _seconds(value: float) -> str:
    for size, name in SHORT_TIMES:
        if value >= size:
            return f"{_number(value / size)} {name}"
    return f"{value:.3g} s"


def _prefixed(value: float) -> str:
    for size, name in PREFIXES:
        if value >= size:
            return f"{value / size:.3g} {name}" if value < 1000.0 * size else f"{value / size:,.0f} {name}"
    return f"{value:.3g} "


def _number(value: float) -> str:
    return f"{value:,.0f}" if value >= 1000.0 else f"{value:.3g}"


def ratio_text(ratio: float | None) -> str:
    if ratio is None:
        return ""
    if not math.isfinite(ratio):
        return "without bound"
    return f"{ratio:,.0f}" if ratio >= 100.0 else f"{ratio:.2g}" if ratio < 10.0 else f"{ratio:.3g}"


def mechanism_text(mechanism: str, lacks: str) -> str:
    shown = mechanism if mechanism == model.MISSING else f"`{mechanism}`"
    if not lacks:
        return shown
    return f"{shown}: {lacks}" if mechanism == model.MISSING else f"{shown}; missing: {lacks}"


def table(head: Sequence[str], lines: Iterable[Sequence[str]]) -> str:
    rows = [f"| {' | '.join(head)} |", f"|{' --- |' * len(head)}"]
    return "\n".join([*rows, *(f"| {' | '.join(line)} |" for line in lines)])


def _budget_text(row: Row) -> str:
    return NONE_GIVEN if row.budget is None else quantity(row.budget, row.unit)


def _place(row: Row) -> tuple[str, str, str, str]:
    """The first cells of each table of figures."""
    return ratio_text(row.ratio), row.role, row.situation, row.resource


def figures_table(rows: Iterable[Row]) -> str:
    """Each figure, in the order it is handed in."""
    head = ("ratio", "role", "situation", "resource", "what", "figure", "budget", "mark", "mechanism", "if doubled")
    lines = [
        (
            *_place(row),
            f"{row.what}: {row.formula}",
            quantity(row.value, row.unit),
            _budget_text(row),
            row.evidence,
            mechanism_text(row.mechanism, row.lacks),
            f"x {row.doubled:.2g}",
        )
        for row in rows
    ]
    return table(head, lines)


def sums_table(rows: Iterable[Row]) -> str:
    """Sums by role; the largest part is named."""
    head = ("ratio", "role", "situation", "resource", "sum", "budget", "parts", "largest part", "mark", "if doubled")
    lines = [
        (
            *_place(row),
            quantity(row.value, row.unit),
            _budget_text(row),
            str(row.parts),
            row.what,
            row.evidence,
            f"x {row.doubled:.2g}",
        )
        for row in rows
    ]
    return table(head, lines)


def states_table(rows: Iterable[arithmetic.StateRow]) -> str:
    head = ("role", "rows", "how many", "bytes each", "together", "mark", "mechanism")
    lines = [
        (
            row.role,
            row.rows,
            quantity(row.count, "count"),
            quantity(row.bytes_each, "bytes"),
            quantity(row.total_bytes, "bytes"),
            row.evidence,
            mechanism_text(row.mechanism, ""),
        )
        for row in rows
    ]
    return table(head, lines)


def coverage_table(capacity: model.Capacity) -> str:
    """For each role and resource, in how many situations it has a figure: what nobody has looked at shows as none."""
    resources = list(model.UNITS)
    lines = []
    for role in model.ROLES:
        found = [
            {one.situation for one in capacity.group if (one.role, one.resource) == (role, it)} for it in resources
        ]
        lines.append((role, *(str(len(situations)) if situations else "none" for situations in found)))
    return table(("role", *resources), lines)


def sizes_table(capacity: model.Capacity) -> str:
    lines = [(f"`{name}`", f"{size.value:,.6g}", size.origin, size.note) for name, size in capacity.size.items()]
    return table(("size", "value", "from", "note"), lines)


def slopes_table(capacity: model.Capacity) -> str:
    lines = [
        (f"`{name}`", quantity(slope.value, slope.unit), slope.kind, slope.source)
        for name, slope in capacity.slope.items()
    ]
    return table(("slope", "value", "mark", "source"), lines)


def budgets_table(capacity: model.Capacity) -> str:
    values = arithmetic.values_of(capacity)
    lines = [
        (f"`{name}`", quantity(arithmetic.total(budget.terms, values), budget.unit), budget.origin, budget.note)
        for name, budget in capacity.budget.items()
    ]
    return table(("budget", "value", "from", "note"), lines)


def page(capacity: model.Capacity, role: str | None = None) -> str:
    """All tables, as docs/CAPACITY.md embeds them; of one role only the figures, sums and state."""
    rows = [row for row in arithmetic.rows_of(capacity) if role in (None, row.role)]
    states = [row for row in arithmetic.states_of(capacity) if role in (None, row.role)]
    parts = [
        ("Sums by role", sums_table(arithmetic.sums_of(rows))),
        ("Figures", figures_table(rows)),
        ("State that a process holds", states_table(states)),
    ]
    if role is None:
        parts += [
            (f"Situations with a figure, of {len(model.SITUATIONS)}", coverage_table(capacity)),
            ("Budgets", budgets_table(capacity)),
            ("Sizes", sizes_table(capacity)),
            ("Slopes", slopes_table(capacity)),
        ]
    return "\n\n".join(f"### {title}\n\n{text}" for title, text in parts)


def embedded(text: str, tables: str) -> str:
    """A page's text with these tables between its markers; raises NoMarkers."""
    if text.count(BEGIN) != 1 or text.count(END) != 1 or text.index(END) < text.index(BEGIN):
        raise NoMarkers(f"{text.count(BEGIN)} of {BEGIN}, {text.count(END)} of {END}; one each in this order is needed")
    before, after = text[: text.index(BEGIN)], text[text.index(END) :]
    return f"{before}{BEGIN}\n\n{tables}\n\n{after}"


def lines(rows: Sequence[Row]) -> str:
    """Figures for a terminal: aligned, without the formula."""
    cells = [("ratio", "role", "situation", "resource", "figure", "budget", "mark", "what")]
    cells += [
        (
            *_place(row),
            quantity(row.value, row.unit),
            _budget_text(row),
            row.evidence,
            row.what,
        )
        for row in rows
    ]
    widths = [max(len(line[at]) for line in cells) for at in range(len(cells[0]))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip() for line in cells
    )

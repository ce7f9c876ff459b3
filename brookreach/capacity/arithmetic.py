"""Figures from sizes and slopes: plain functions, free of I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from msgspec import structs

from brookreach.capacity import model

DOUBLED = 2.0


@dataclass(frozen=True, slots=True)
class Row:
    """A figure, or a sum of figures, at the file's sizes."""

    role: str
    resource: str
    situation: str
    what: str
    value: float
    unit: str
    budget: float | None  # None: none given
    budget_name: str
    evidence: str
    mechanism: str
    lacks: str
    formula: str
    doubled: float  # the value, as a multiple, when the fleet doubles
    parts: int = 1

    @property
    def ratio(self) -> float | None:
        """Of its budget; None where none is given."""
        if self.budget is None:
            return None
        if not self.budget:
            return math.inf if self.value else 0.0
        return self.value / self.budget


@dataclass(frozen=True, slots=True)
class StateRow:
    """Rows that a process holds, at the file's sizes."""

    role: str
    rows: str
    count: float
    bytes_each: float
    evidence: str
    mechanism: str

    @property
    def total_bytes(self) -> float:
        return self.count * self.bytes_each


def values_of(capacity: model.Capacity) -> dict[str, float]:
    """Each named size and slope."""
    sizes = {name: size.value for name, size in capacity.size.items()}
    return sizes | {name: slope.value for name, slope in capacity.slope.items()}


def total(terms: Iterable[model.Term], values: Mapping[str, float]) -> float:
    """The sum of the terms; a division by a size that is 0 is infinite."""
    return math.fsum(product(term, values) for term in terms)


def product(term: model.Term, values: Mapping[str, float]) -> float:
    result = term.coefficient
    for name, power in term.powers.items():
        if values[name] == 0.0 and power < 0:
            return math.inf
        result *= values[name] ** power
    return result


def evidence_of(terms: Iterable[model.Term], capacity: model.Capacity) -> str:
    """The weakest of what stands in a formula: an assumed size makes a guess of it.

    `measured` is only what is one measured slope as it stands; a measured slope times a size is derived.
    """
    terms = tuple(terms)
    names = {name for term in terms for name in term.powers}
    slopes = [capacity.slope[name].kind for name in names if name in capacity.slope]
    origins = [capacity.size[name].origin for name in names if name in capacity.size]
    if "guessed" in slopes or "assumed" in origins:
        return "guessed"
    alone = len(terms) == 1 and terms[0].coefficient == 1.0 and list(terms[0].powers.values()) == [1]
    return "measured" if alone and slopes == ["measured"] else "derived"


def formula_of(terms: Iterable[model.Term]) -> str:
    return " + ".join(_product_text(term) for term in terms)


def _product_text(term: model.Term) -> str:
    above = [_power_text(name, power) for name, power in term.powers.items() if power > 0]
    below = [_power_text(name, -power) for name, power in term.powers.items() if power < 0]
    if term.coefficient != 1.0 or not above:
        above.insert(0, f"{term.coefficient:g}")
    return " / ".join([" x ".join(above), *below])


def _power_text(name: str, power: int) -> str:
    return name if power == 1 else f"{name}^{power}"


def doubled_values(capacity: model.Capacity) -> dict[str, float]:
    """Values of a fleet that is twice as large."""
    factors = {name: DOUBLED for name, size in capacity.size.items() if size.grows}
    return {name: value * factors.get(name, 1.0) for name, value in values_of(capacity).items()}


def with_sizes(capacity: model.Capacity, changed: Mapping[str, float]) -> model.Capacity:
    """The same with other sizes; raises KeyError for a name that is none."""
    sizes = dict(capacity.size)
    for name, value in changed.items():
        sizes[name] = structs.replace(sizes[name], value=value)
    return structs.replace(capacity, size=sizes)


def rows_of(capacity: model.Capacity) -> list[Row]:
    """Each figure of the file, worst ratio first."""
    values, doubled = values_of(capacity), doubled_values(capacity)
    return worst_first(
        _row(group, figure, capacity, values, doubled) for group in capacity.group for figure in group.figures
    )


def _row(
    group: model.Group,
    figure: model.Figure,
    capacity: model.Capacity,
    values: Mapping[str, float],
    doubled: Mapping[str, float],
) -> Row:
    value = total(figure.terms, values)
    budget = capacity.budget[group.budget] if group.budget else None
    return Row(
        role=group.role,
        resource=group.resource,
        situation=group.situation,
        what=figure.what,
        value=value,
        unit=model.UNITS[group.resource],
        budget=None if budget is None else total(budget.terms, values),
        budget_name=group.budget,
        evidence=evidence_of(figure.terms, capacity),
        mechanism=figure.mechanism,
        lacks=figure.lacks,
        formula=formula_of(figure.terms),
        doubled=_multiple(total(figure.terms, doubled), value),
    )


def _multiple(larger: float, value: float) -> float:
    """1 where there is nothing, or no bound, to multiply."""
    return larger / value if value and math.isfinite(value) else 1.0


def sums_of(rows: Iterable[Row]) -> list[Row]:
    """By role, resource, situation and budget: the sum of those that add up, the worst of the others."""
    groups: dict[tuple[str, str, str, str], list[Row]] = {}
    for row in rows:
        groups.setdefault((row.role, row.resource, row.situation, row.budget_name), []).append(row)
    return worst_first(_sum(group) for group in groups.values())


def _sum(group: list[Row]) -> Row:
    worst = max(group, key=lambda row: row.value)
    if worst.resource in model.NOT_SUMMED or len(group) == 1:
        return replace(worst, parts=len(group))
    value = math.fsum(row.value for row in group)
    grown = math.fsum(row.value * row.doubled for row in group)
    marks = [row.evidence for row in group]
    return replace(
        worst,
        value=value,
        evidence="guessed" if "guessed" in marks else "derived",
        doubled=_multiple(grown, value),
        parts=len(group),
    )


def worst_first(rows: Iterable[Row]) -> list[Row]:
    """By ratio; those without a budget come last, by role."""

    def order(row: Row) -> tuple[float, int, str, str, float]:
        ratio = -1.0 if row.ratio is None else row.ratio
        return -ratio, model.ROLES.index(row.role), row.situation, row.resource, -row.value

    return sorted(rows, key=order)


def states_of(capacity: model.Capacity) -> list[StateRow]:
    """Largest first."""
    values = values_of(capacity)
    rows = [
        StateRow(
            role=state.role,
            rows=state.rows,
            count=total(state.count, values),
            bytes_each=values[state.bytes_each],
            evidence=evidence_of((*state.count, model.Term({state.bytes_each: 1})), capacity),
            mechanism=state.mechanism,
        )
        for state in capacity.state
    ]
    return sorted(rows, key=lambda row: -row.total_bytes)

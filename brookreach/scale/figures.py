"""Percentiles of measured values, and straight lines fitted to them by size."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np

MIDDLE, HIGH, HIGHEST = 50.0, 99.0, 99.9


@dataclass(frozen=True, slots=True)
class Percentiles:
    """What 50, 99 and 99.9 of 100 values do not exceed, in the values' own unit."""

    count: int
    p50: float
    p99: float
    p999: float


@dataclass(frozen=True, slots=True)
class Slope:
    """`value = constant + sum of per_unit[axis] x size[axis]`, fitted by least squares.

    `explained` is the coefficient of determination: 1 where the line goes through all points; 0 where it says no
    more than their mean does. An axis that has one size only among the points is left out of `per_unit`.
    """

    name: str
    unit: str
    constant: float
    per_unit: dict[str, float]
    explained: float
    points: int

    def at(self, size: Mapping[str, float]) -> float:
        """The line's value at a size, of which every axis in `per_unit` is told."""
        return self.constant + sum(per * size[axis] for axis, per in self.per_unit.items())


def percentiles(values: Sequence[float]) -> Percentiles:
    """Raises ValueError where there are none."""
    if not values:
        raise ValueError("no values to take percentiles of")
    p50, p99, p999 = np.percentile(np.asarray(values, dtype=float), [MIDDLE, HIGH, HIGHEST], method="higher")
    return Percentiles(len(values), float(p50), float(p99), float(p999))


def fit(name: str, unit: str, sizes: Sequence[Mapping[str, float]], values: Sequence[float]) -> Slope:
    """The line through `values`, each measured at the size of the same place; the sizes have the same axes.

    Raises ValueError where there are fewer points than unknowns, or where sizes grow together, so that nobody
    could say which of them a value grows with.
    """
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes for {len(values)} values")
    axes = [axis for axis in (sizes[0] if sizes else {}) if len({size[axis] for size in sizes}) > 1]
    table = np.array([[1.0, *(size[axis] for axis in axes)] for size in sizes], dtype=float).reshape(len(sizes), -1)
    scale = np.abs(table).max(axis=0, initial=1.0)  # else sizes of 1 and of 49,000 would be of unlike precision
    wanted = np.asarray(values, dtype=float)
    found, _, rank, _ = np.linalg.lstsq(table / scale, wanted, rcond=None)
    if rank < 1 + len(axes):
        raise ValueError(f"{len(values)} points can't tell {', '.join(['a constant', *axes])} apart")
    constant, *per = (float(one) for one in found / scale)
    left = float(((table @ (found / scale) - wanted) ** 2).sum())
    whole = float(((wanted - wanted.mean()) ** 2).sum())
    explained = 1.0 - left / whole if whole > 0.0 else 1.0
    return Slope(name, unit, constant, dict(zip(axes, per, strict=True)), explained, len(values))

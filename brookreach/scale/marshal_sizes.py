"""The sizes that one marshal is measured at: how many nodes, methods and tenants it is told of."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# Bounds of a run, so that a slip of the finger does not fill a machine.
MOST = {"nodes": 20_000, "methods": 10_000, "tenants": 200_000}
LEAST = {"nodes": 2, "methods": 1, "tenants": 0}


class BadSize(Exception):
    """Why a size can't be measured, in one line."""


@dataclass(frozen=True, slots=True, order=True)
class Size:
    nodes: int
    methods: int
    tenants: int

    def axes(self) -> dict[str, float]:
        return {"nodes": self.nodes, "methods": self.methods, "tenants": self.tenants}


@dataclass(frozen=True, slots=True)
class Grid:
    """The sizes of each axis, each ascending. Raises BadSize for one that is out of bounds or told twice."""

    nodes: tuple[int, ...]
    methods: tuple[int, ...]
    tenants: tuple[int, ...]

    def __post_init__(self) -> None:
        for axis in MOST:
            _check(axis, getattr(self, axis))

    def full(self) -> list[Size]:
        return [Size(n, m, t) for n in self.nodes for m in self.methods for t in self.tenants]

    def axes(self) -> list[Size]:
        """Each axis by itself beside the least of the others, and the largest of all together."""
        least = Size(self.nodes[0], self.methods[0], self.tenants[0])
        return sorted(
            {Size(n, least.methods, least.tenants) for n in self.nodes}
            | {Size(least.nodes, m, least.tenants) for m in self.methods}
            | {Size(least.nodes, least.methods, t) for t in self.tenants}
            | {Size(self.nodes[-1], self.methods[-1], self.tenants[-1])}
        )


def _check(axis: str, sizes: Sequence[int]) -> None:
    allowed = f"whole numbers from {LEAST[axis]} to {MOST[axis]:,}, ascending, are allowed"
    if not sizes:
        raise BadSize(f"--{axis} holds no size; {allowed}")
    for size in sizes:
        if not LEAST[axis] <= size <= MOST[axis]:
            raise BadSize(f"--{axis} holds {size}; {allowed}")
    if list(sizes) != sorted(set(sizes)):
        raise BadSize(f"--{axis} is {','.join(map(str, sizes))}; {allowed}")


def parse(axis: str, text: str) -> tuple[int, ...]:
    """Sizes of one axis as the command line words them: `150,1000`. Raises BadSize."""
    parts = [part.strip() for part in text.split(",")]
    for part in parts:
        if not (part.isascii() and part.isdigit() and len(part) < 10):
            raise BadSize(f"--{axis} holds {part[:40]!r}; whole numbers with commas between them are allowed")
    return tuple(int(part) for part in parts)

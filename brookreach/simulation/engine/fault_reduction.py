"""Reduces the faults of a failing run to as few as still make it fail (delta debugging, Zeller and Hildebrandt)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from brookreach.simulation.engine.faults import Fault

MAX_RUNS = 120


def reduce_faults(
    faults: Sequence[Fault], fails: Callable[[list[Fault]], bool], max_runs: int = MAX_RUNS
) -> tuple[list[Fault], int]:
    """Leave out faults, first half of them at a time and in the end each by itself.

    Args:
        faults: The faults of a run that fails.
        fails: Runs with the given faults and tells whether that fails in the same way.
        max_runs: How often `fails` may be called.

    Returns:
        Faults with which the run still fails, and how often `fails` was called.
    """
    remaining = list(faults)
    runs = 0
    chunk_size = max(1, len(remaining) // 2)
    while remaining and runs < max_runs:
        start = 0
        reduced = False
        while start < len(remaining) and runs < max_runs:
            candidate = remaining[:start] + remaining[start + chunk_size :]
            runs += 1
            if fails(candidate):
                remaining = candidate
                reduced = True
            else:
                start += chunk_size
        if chunk_size == 1 and not reduced:
            break
        chunk_size = max(1, chunk_size // 2)
    return remaining, runs

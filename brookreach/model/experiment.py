"""Many waves over many processes: by case and seed, resumable, with the intervals of what was counted."""

from __future__ import annotations

import json
import math
import multiprocessing
import os
import statistics
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any

from brookreach.model.case import CASES
from brookreach.model.world import Wave


def play(work: tuple[str, int]) -> dict[str, Any]:
    """One wave as a row; its processor time is in it, so that long cases are seen."""
    name, seed = work
    began = time.process_time()
    row = Wave(CASES[name], seed).run().row()
    return row | {"cpu_s": round(time.process_time() - began, 2)}


def work_of(names: Sequence[str], seed: int, seeds: int) -> list[tuple[str, int]]:
    """All waves, seed by seed, so that a run that is cut off has seen each case alike."""
    return [(name, one) for one in range(seed, seed + seeds) for name in names]


def read_rows(path: Path) -> list[dict[str, Any]]:
    """Rows of an earlier run; a last line that was cut off is left out."""
    rows = []
    for line in path.read_text().splitlines() if path.exists() else ():
        try:
            rows.append(json.loads(line))
        except ValueError:
            continue
    return rows


def run(
    works: Iterable[tuple[str, int]],
    jobs: int,
    path: Path | None = None,
    progress: Callable[[int, int], None] | None = None,
) -> list[dict[str, Any]]:
    """Play what `path` doesn't hold yet; each row is written to it as it comes."""
    rows = read_rows(path) if path else []
    held = {(row["case"], row["seed"]) for row in rows}
    todo = [work for work in works if work not in held]
    wanted = set(todo) | held
    rows = [row for row in rows if (row["case"], row["seed"]) in wanted]
    for row in _played(todo, jobs):
        rows.append(row)
        if path:
            with path.open("a") as file:
                file.write(json.dumps(row) + "\n")
        if progress:
            progress(len(rows), len(held) + len(todo))
    return rows


def _played(todo: list[tuple[str, int]], jobs: int) -> Iterator[dict[str, Any]]:
    if jobs <= 1 or len(todo) < 2:
        yield from map(play, todo)
        return
    with multiprocessing.get_context("spawn").Pool(min(jobs, os.cpu_count() or 1)) as pool:
        yield from pool.imap_unordered(play, todo, chunksize=1)


def interval(hits: int, count: int, z: float = 1.96) -> tuple[float, float]:
    """Wilson's interval of a share; 0 to 1 where nothing was counted."""
    if count == 0:
        return 0.0, 1.0
    share, extra = hits / count, z * z / count
    mid = (share + extra / 2) / (1 + extra)
    half = z * math.sqrt(share * (1 - share) / count + extra / (4 * count)) / (1 + extra)
    return max(0.0, mid - half), min(1.0, mid + half)


def _median(values: list[float]) -> float | None:
    return round(statistics.median(values), 1) if values else None


def summary(rows: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """By case: waves, the error of its kind with its interval, times to the end by how it ended."""
    by_case: dict[str, list[dict[str, Any]]] = {}
    for row in rows:
        by_case.setdefault(row["case"], []).append(row)
    out = []
    for name, some in by_case.items():
        ended = {how: [row for row in some if row["ended"] == how] for how in ("back", "released", "open")}
        bad = some[0]["bad"]
        errors = len(ended["released"] if bad else ended["back"])
        if bad and CASES[name].after_ms:  # it went bad after its release: still there at the end is the error
            errors = sum(row["ended"] != "back" for row in some)
        low, high = interval(errors, len(some))
        out.append(
            {
                "case": name,
                "bad": bad,
                "waves": len(some),
                "errors": errors,
                "share": round(errors / len(some), 4),
                "low": round(low, 4),
                "high": round(high, 4),
                "open": len(ended["open"]),
                "back_ms": _median([row["ended_ms"] for row in ended["back"]]),
                "released_ms": _median([row["ended_ms"] for row in ended["released"]]),
                "harmed": round(sum(row["harmed"] for row in some) / max(1, sum(row["rpcs"] for row in some)), 4),
                "in_time": round(sum(row["in_time"] for row in some) / max(1, sum(row["rpcs"] for row in some)), 4),
            }
        )
    return out


def table(summed: Iterable[dict[str, Any]]) -> str:
    """The summary as plain lines."""
    head = (
        f"{'case':26} {'kind':5} {'waves':>6} {'errors':>7} {'share':>7} {'95%':>15} {'open':>5} "
        f"{'back s':>7} {'released s':>10} {'harmed':>7} {'in time':>8}"
    )
    lines = [head]
    for row in summed:
        back, released = (f"{row[key] / 1000.0:.1f}" if row[key] else "-" for key in ("back_ms", "released_ms"))
        between = f"{row['low']:.3f}-{row['high']:.3f}"
        lines.append(
            f"{row['case']:26} {'bad' if row['bad'] else 'good':5} {row['waves']:6} {row['errors']:7} "
            f"{row['share']:7.3f} {between:>15} {row['open']:5} {back:>7} {released:>10} "
            f"{row['harmed']:7.4f} {row['in_time']:8.3f}"
        )
    return "\n".join(lines)

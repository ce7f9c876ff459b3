"""Every figure that a run measures, by name, and the line through its values at all sizes."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from brookreach.scale.figures import Slope, fit
from brookreach.scale.marshal_decisions import Cost, SizedCosts
from brookreach.scale.marshal_lists import ListCosts
from brookreach.scale.marshal_process import ProcessCost
from brookreach.scale.marshal_sizes import Size

COST_FIGURES: dict[str, Callable[[Cost], float | None]] = {
    "rpc p50": lambda cost: cost.rpc.p50,
    "rpc p99": lambda cost: cost.rpc.p99,
    "rpc p99.9": lambda cost: cost.rpc.p999,
    "rpc mean": lambda cost: cost.rpc_mean,
    "rpc with a second pick": lambda cost: cost.rpc_again,
    "beat": lambda cost: cost.beat,
    "list change": lambda cost: cost.list_change,
}
LIST_FIGURES: dict[str, tuple[str, Callable[[ListCosts], float]]] = {
    "configuration": ("bytes", lambda cost: cost.configuration_bytes),
    "start of all parts": ("ms", lambda cost: cost.start_ms),
    "whole list": ("bytes", lambda cost: cost.whole.body_bytes),
    "whole list: read": ("ms", lambda cost: cost.whole.read_ms),
    "whole list: decide": ("ms", lambda cost: cost.whole.decide_ms),
    "whole list: next RPC": ("ms", lambda cost: cost.whole.next_rpc_ms),
    "one change: read": ("ms", lambda cost: cost.change.read_ms),
    "one change: decide": ("ms", lambda cost: cost.change.decide_ms),
    "one change: next RPC": ("ms", lambda cost: cost.change.next_rpc_ms),
}
PROCESS_FIGURES: dict[str, tuple[str, Callable[[ProcessCost], float | None]]] = {
    "process: first answer": ("s", lambda cost: cost.first_answer_s),
    "process: processor time to it": ("s", lambda cost: cost.start_cpu_s),
    "process: memory idle": ("MB", lambda cost: cost.idle_mb),
    "process: memory at most": ("MB", lambda cost: cost.peak_mb),
    "process: idle": ("core", lambda cost: cost.idle_cpu),
    "process: one change": ("ms", lambda cost: cost.changes.ms(cost.idle_cpu) if cost.changes else None),
    "process: whole list": ("ms", lambda cost: cost.wholes.ms(cost.idle_cpu) if cost.wholes else None),
}


def decision_slopes(rows: Sequence[SizedCosts], unit: str) -> list[Slope]:
    """By situation, of each figure of `Cost` that all rows have."""
    slopes = []
    for place, first in enumerate(rows[0].costs if rows else []):
        for name, of in COST_FIGURES.items():
            values = [of(row.costs[place]) for row in rows]
            known = [value for value in values if value is not None]
            if len(known) == len(values):
                slopes += _fitted(f"{first.situation}: {name}", unit, [row.size for row in rows], known)
    return slopes


def part_slopes(lists: Sequence[ListCosts], processes: Sequence[ProcessCost]) -> list[Slope]:
    slopes = []
    for name, (unit, of_list) in LIST_FIGURES.items():
        slopes += _fitted(name, unit, [one.size for one in lists], [of_list(one) for one in lists])
    for name, (unit, of_process) in PROCESS_FIGURES.items():
        pairs = [(one.size, of_process(one)) for one in processes]
        known = [(size, value) for size, value in pairs if value is not None]
        slopes += _fitted(name, unit, [size for size, _ in known], [value for _, value in known])
    return slopes


def _fitted(name: str, unit: str, sizes: Sequence[Size], values: Sequence[float]) -> list[Slope]:
    """Nothing where the sizes measured can't tell the axes apart."""
    try:
        return [fit(name, unit, [size.axes() for size in sizes], values)]
    except ValueError:
        return []

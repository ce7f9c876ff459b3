"""What one real marshal's decisions cost: an RPC, a beat, a list, in time or in work counted."""

from __future__ import annotations

import gc
import statistics
import time
from collections.abc import Sequence
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass

from brookreach.balancer_settings_reader import read_balancer_settings
from brookreach.scale import marshal_configuration as configured
from brookreach.scale.figures import Percentiles, percentiles
from brookreach.scale.marshal_load import Load, Meter
from brookreach.scale.marshal_situations import SITUATIONS, Situation
from brookreach.scale.marshal_sizes import Size
from brookreach.scale.marshal_work import Counter

WARM_UP_RPCS = 1000  # some six seconds: past the period that exposure is counted over
WARM_UP_PER_METHOD = 3  # where RPCs are judged: most methods have been, before anything is measured
GARBAGE = 20_000  # as net/limits has it
ROUNDS = 2  # other work on the machine only ever adds to a time
NS_PER_US = 1000.0


@dataclass(frozen=True, slots=True)
class Cost:
    """Of one situation, in microseconds or in calls and lines: `rpc` by RPC; beats and lists as means of one."""

    situation: str
    rpc: Percentiles
    rpc_mean: float
    rpc_again: float | None  # the median of those that had a second pick, where there are any
    beat: float
    list_change: float | None  # where lists changed
    answered: float  # of the RPCs


@dataclass(frozen=True, slots=True)
class SizedCosts:
    """Of one size, each situation in the order of `SITUATIONS`."""

    size: Size
    costs: list[Cost]


def timed(size: Size, rpcs: int, seed: int) -> list[Cost]:
    """Processor microseconds of this thread; of each figure the least of so many rounds, which take turns."""
    rounds = [
        [_cost(situation, size, rpcs, seed, time.thread_time_ns, NS_PER_US) for situation in SITUATIONS]
        for _ in range(ROUNDS)
    ]
    return [_least(costs) for costs in zip(*rounds, strict=True)]


def counted(size: Size, rpcs: int, seed: int) -> list[Cost]:
    """Calls and lines of the uncompiled decisions. Raises NotCountable."""
    counter = Counter()
    return [_cost(situation, size, rpcs, seed, counter.read, 1.0, counter) for situation in SITUATIONS]


def _cost(
    kind: type[Situation],
    size: Size,
    rpcs: int,
    seed: int,
    meter: Meter,
    unit: float,
    metered: AbstractContextManager[object] | None = None,
) -> Cost:
    """`metered` is entered for what is measured, and not for what warms up."""
    start = read_balancer_settings(seed, configured.settings(size))
    load = Load(start, kind(size, start), seed, meter)
    gc.collect()
    gc.freeze()  # as a marshal does at its start
    gc.set_threshold(GARBAGE)
    load.run(max(WARM_UP_RPCS, WARM_UP_PER_METHOD * size.methods * kind.judged))
    load.spent.beats.clear()
    load.spent.lists.clear()
    answered = load.answered
    with metered or nullcontext():
        numbers = load.run(rpcs)
    spent = [load.spent.rpcs[rpc] / unit for rpc in numbers]
    again = [load.spent.rpcs[rpc] / unit for rpc in numbers if rpc in load.again]
    lists = load.spent.lists
    return Cost(
        situation=kind.name,
        rpc=percentiles(spent),
        rpc_mean=statistics.fmean(spent),
        rpc_again=statistics.median(again) if again else None,
        beat=statistics.fmean(load.spent.beats) / unit,
        list_change=statistics.fmean(lists) / unit if lists else None,
        answered=(load.answered - answered) / rpcs,
    )


def _least(costs: Sequence[Cost]) -> Cost:
    """All rounds have the same RPCs, by their seed."""
    one = costs[0]
    rpc = Percentiles(
        one.rpc.count,
        min(cost.rpc.p50 for cost in costs),
        min(cost.rpc.p99 for cost in costs),
        min(cost.rpc.p999 for cost in costs),
    )
    return Cost(
        situation=one.situation,
        rpc=rpc,
        rpc_mean=min(cost.rpc_mean for cost in costs),
        rpc_again=_least_of([cost.rpc_again for cost in costs]),
        beat=min(cost.beat for cost in costs),
        list_change=_least_of([cost.list_change for cost in costs]),
        answered=one.answered,
    )


def _least_of(values: Sequence[float | None]) -> float | None:
    return min((value for value in values if value is not None), default=None)

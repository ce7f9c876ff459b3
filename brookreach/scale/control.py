"""What control costs: bytes, processor time and memory of keepers and marshals while a day's changes are agreed.

It owns one run at each size, in which idle seconds and busy ones are told apart, and what is worked out of them.
"""

from __future__ import annotations

import math
import statistics
import tempfile
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import anyio
import msgspec

from brookreach.coordination.clock import now_ms
from brookreach.scale.control_cluster import AT_ONCE, Cluster, Size, open_cluster
from brookreach.scale.control_day import DAY_S, FULL_DAY, Agreed, Day, Outcome, play
from brookreach.scale.hollow_protocol import Figures, Step

QUIET_S, REACHED_S = 3.0, 60.0
TELLINGS_A_SECOND = 1_000  # records x marshals; by it the seconds of a share are chosen, so that one core is enough


class ControlRun(msgspec.Struct, frozen=True):
    """One size. Shares are of one core; bytes are those of a marshal's connection, without the headers of TCP."""

    marshals: int
    nodes: int
    keepers: int
    changes: int  # configuration changes that were agreed
    records: int  # of all kinds that were agreed
    failed: int  # asked and not agreed
    seconds: float
    idle_bytes_in: float  # to a marshal, a second
    idle_bytes_out: float
    bytes_in: float  # the same while the changes come
    bytes_out: float
    bytes_a_record: float  # to a marshal, beyond the idle ones
    rows_a_record: float  # told to a marshal: below one where several records came in one message
    idle_leader_share: float  # not a number where another keeper came to lead meanwhile, as the next two
    leader_share: float
    leader_us_a_record: float  # beyond the idle share
    idle_marshal_share: float
    marshal_share: float
    marshal_us_a_record: float
    resident_bytes: float  # of a marshal, beyond those of its process before it started
    last_ms_median: float  # from asked until the last marshal had it, over the configuration changes
    last_ms_worst: float
    unreached: int  # configuration changes that some marshal did not have in the time
    sessions_lost: int

    @property
    def disturbed(self) -> bool:
        """The machine was too busy for leases to hold or for all to hear: its figures are no slopes' points."""
        return bool(self.failed or self.unreached or self.sessions_lost)

    @property
    def records_a_second(self) -> float:
        return self.records / self.seconds

    @property
    def day_bytes_in(self) -> float:
        """To a marshal, a second, at the rate of a whole day that is not pressed."""
        return self.idle_bytes_in + self.bytes_a_record * FULL_DAY.records / DAY_S


@dataclass(frozen=True, slots=True)
class Window:
    """What was counted at an instant, over all marshals, and of the leader."""

    at_ms: float
    processor_s: float
    bytes_in: int
    bytes_out: int
    rows: int
    leader: str
    leader_s: float


async def window(cluster: Cluster, reports: Sequence[Figures]) -> Window:
    leader = await cluster.leader()
    return Window(
        now_ms(),
        sum(one.processor_s for one in reports),
        sum(one.bytes_in for one in reports),
        sum(one.bytes_out for one in reports),
        sum(sum(one.rows.values()) for one in reports),
        leader,
        cluster.usage(leader).processor_s,
    )


def last_ms(steps: Sequence[Sequence[Step]], change: Agreed) -> float | None:
    """From asked until the slowest marshal of the slowest process had it; None: not all came to have it."""
    reached = []
    for own in steps:
        found = next((step.at_ms for step in own if step.index >= change.index and step.at_ms >= change.asked_ms), None)
        if found is None:
            return None
        reached.append(found)
    return max(reached) - change.asked_ms


def seconds_for(size: Size, day: Day) -> float:
    """So that leader and marshals keep up, on one core."""
    return max(5.0, day.records * size.marshals / TELLINGS_A_SECOND)


async def run_size(size: Size, day: Day, idle_s: float, seconds: float, seed: int) -> ControlRun:
    """Raises NotSettled, NotHeard, ChildFailed."""
    with tempfile.TemporaryDirectory(prefix="brookreach-scale-") as folder:
        async with open_cluster(Path(folder), size, seed) as cluster:
            return await _measured(cluster, day, idle_s, seconds, seed)


async def _measured(cluster: Cluster, day: Day, idle_s: float, seconds: float, seed: int) -> ControlRun:
    resident = sum(one.resident_bytes for one in await cluster.reports())
    await cluster.begin(AT_ONCE)
    await cluster.all_up_to_date()
    await anyio.sleep(QUIET_S)
    reports = await cluster.reports()
    resident = sum(one.resident_bytes for one in reports) - resident
    before = await window(cluster, reports)
    await anyio.sleep(idle_s)
    reports = await cluster.reports()
    quiet = await window(cluster, reports)
    outcome = await play(cluster, day, seconds, seed)
    steps = await _reached(cluster, outcome)
    reports = await cluster.reports()
    after = await window(cluster, reports)
    lost = sum(one.sessions_lost for one in reports)
    return worked_out(cluster.size, (before, quiet, after), outcome, steps, resident, lost)


async def _reached(cluster: Cluster, outcome: Outcome) -> list[list[Step]]:
    """Each process's steps, until all marshals have the last change, or REACHED_S."""
    target = max((one.index for one in outcome.changes), default=0)
    steps: list[list[Step]] = [[] for _ in cluster.hollow]
    with anyio.move_on_after(REACHED_S):
        while True:
            for own, report in zip(steps, await cluster.reports(), strict=True):
                own += report.steps
            if all(own and own[-1].index >= target for own in steps):
                break
            await anyio.sleep(0.1)
    return steps


def worked_out(
    size: Size,
    windows: tuple[Window, Window, Window],
    outcome: Outcome,
    steps: Sequence[Sequence[Step]],
    resident: int,
    sessions_lost: int,
) -> ControlRun:
    before, quiet, after = windows
    idle_s, busy_s = ((end.at_ms - start.at_ms) / 1000.0 for start, end in ((before, quiet), (quiet, after)))
    marshals, records = size.marshals, max(1, outcome.agreed)

    def rates(value: Callable[[Window], float]) -> tuple[float, float]:
        """A second, idle and busy."""
        return (value(quiet) - value(before)) / idle_s, (value(after) - value(quiet)) / busy_s

    idle_in, busy_in = rates(lambda one: one.bytes_in / marshals)
    idle_out, busy_out = rates(lambda one: one.bytes_out / marshals)
    idle_marshal, busy_marshal = rates(lambda one: one.processor_s / marshals)
    one_led = len({one.leader for one in windows}) == 1
    idle_leader, busy_leader = rates(lambda one: one.leader_s if one_led else math.nan)
    times = [last_ms(steps, one) for one in outcome.changes]
    reached = [one for one in times if one is not None]
    return ControlRun(
        marshals=marshals,
        nodes=size.nodes,
        keepers=size.keepers,
        changes=len(outcome.changes),
        records=outcome.agreed,
        failed=len(outcome.failed),
        seconds=busy_s,
        idle_bytes_in=idle_in,
        idle_bytes_out=idle_out,
        bytes_in=busy_in,
        bytes_out=busy_out,
        bytes_a_record=(busy_in - idle_in) * busy_s / records,
        rows_a_record=(after.rows - quiet.rows) / records / marshals,
        idle_leader_share=idle_leader,
        leader_share=busy_leader,
        leader_us_a_record=(busy_leader - idle_leader) * busy_s * 1e6 / records,
        idle_marshal_share=idle_marshal,
        marshal_share=busy_marshal,
        marshal_us_a_record=(busy_marshal - idle_marshal) * busy_s * 1e6 / records,
        resident_bytes=resident / marshals,
        last_ms_median=statistics.median(reached) if reached else math.nan,
        last_ms_worst=max(reached, default=math.nan),
        unreached=len(times) - len(reached),
        sessions_lost=sessions_lost,
    )


def run(
    sizes: Sequence[Size],
    day: Day,
    idle_s: float,
    seconds: float | None,
    seed: int,
    progress: Callable[[int, int], None],
) -> Iterator[ControlRun]:
    """Each size in turn; raises NotSettled, NotHeard, ChildFailed."""
    for done, size in enumerate(sizes):
        progress(done, len(sizes))
        yield anyio.run(run_size, size, day, idle_s, seconds or seconds_for(size, day), seed)
    progress(len(sizes), len(sizes))

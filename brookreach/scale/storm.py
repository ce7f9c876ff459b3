"""What comes over a group at once: all marshals anew, a leader's end, a zone or a region gone and back.

It owns the four scenarios, and what of each is counted: bytes on the lines of all marshals in the worst 100 ms, time
until all are up to date, sessions lost. Links are cut in the relay only.
"""

from __future__ import annotations

import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator, Sequence
from pathlib import Path

import anyio
import msgspec

from brookreach.coordination.client.errors import ClusterUnreachableError
from brookreach.coordination.clock import now_ms
from brookreach.disruption.commands import BudgetEntry, SetBudgets
from brookreach.disruption.states import TargetKind
from brookreach.disruption.tables import BALANCERS
from brookreach.scale.control_cluster import AT_ONCE, DRIVER, Cluster, Size, open_cluster
from brookreach.scale.control_day import change
from brookreach.scale.hollow_protocol import Figures

QUIET_S = 2.0  # after the last marshal is up to date: what is told of it to the others
APART_S, CHANGES = 6.0, 10  # how long regions are cut from each other, and what changes meanwhile
TRIES = 5


class StormRun(msgspec.Struct, frozen=True):
    """One phase of a scenario. Bytes are received by marshals, without the headers of TCP."""

    what: str
    marshals: int
    nodes: int
    keepers: int
    bytes_in: int
    worst_bytes: int  # in 100 ms, on the lines of all marshals together
    rows: int  # told to all marshals together that differ from what they held
    marshal_rows: int  # of these, rows about marshals
    until_all_ms: float | None  # from the event until the last is up to date; None: nobody comes back in this phase
    sessions_lost: int
    leader_most_bytes: int  # the leader's resident memory at its most, since its start


Totals = tuple[int, int, int, int]


def totals(reports: Sequence[Figures]) -> Totals:
    """Bytes, rows, rows about marshals, sessions lost; over the processes of one round of reports."""
    return (
        sum(one.bytes_in for one in reports),
        sum(sum(one.rows.values()) for one in reports),
        sum(one.rows.get(BALANCERS, 0) for one in reports),
        sum(one.sessions_lost for one in reports),
    )


def worst(reports: Sequence[Figures]) -> int:
    """The most bytes that were received in one bucket of time."""
    buckets: Counter[int] = Counter()
    for one in reports:
        buckets.update(one.buckets)
    return max(buckets.values(), default=0)


class Phase:
    """What is counted from `begin` to `end`, over the processes that run."""

    def __init__(self, cluster: Cluster, what: str):
        self.cluster, self.what = cluster, what
        self.before: Totals = (0, 0, 0, 0)
        self.began_ms = 0.0

    async def begin(self) -> None:
        self.before = totals(await self.cluster.reports())
        self.began_ms = now_ms()

    async def end(self, returns: bool = True) -> StormRun:
        """Waits until all are up to date where they `return`; raises NotSettled."""
        cluster = self.cluster
        reports = await cluster.all_up_to_date() if returns else []
        until = max((one.up_to_date_ms for one in reports), default=0.0) - self.began_ms
        await anyio.sleep(QUIET_S)
        last = await cluster.reports()
        reports += last
        bytes_in, rows, marshal_rows, lost = (now - then for now, then in zip(totals(last), self.before, strict=True))
        size = cluster.size
        return StormRun(
            what=self.what,
            marshals=size.marshals,
            nodes=size.nodes,
            keepers=size.keepers,
            bytes_in=bytes_in,
            worst_bytes=worst(reports),
            rows=rows,
            marshal_rows=marshal_rows,
            until_all_ms=until if returns else None,
            sessions_lost=lost,
            leader_most_bytes=cluster.usage(await cluster.leader()).most_resident_bytes,
        )


async def stands(cluster: Cluster) -> None:
    """All marshals are up to date and nothing more is told."""
    await cluster.begin(AT_ONCE)
    await cluster.all_up_to_date()
    await anyio.sleep(QUIET_S)


async def start(cluster: Cluster) -> list[StormRun]:
    phase = Phase(cluster, "all come anew")
    await phase.begin()
    await cluster.begin(0)
    return [await phase.end()]


async def leader(cluster: Cluster) -> list[StormRun]:
    await stands(cluster)
    phase, killed = Phase(cluster, "all return, the leader was killed"), await cluster.leader()
    await phase.begin()
    cluster.children.all[killed].kill()
    await cluster.mark(gone=killed)
    return [await phase.end()]


async def zone(cluster: Cluster) -> list[StormRun]:
    await stands(cluster)
    gone, others = cluster.hollow[0], cluster.hollow[1:]
    cluster.hollow = others
    away = Phase(cluster, "a zone's marshals are gone")
    await away.begin()
    await gone.kill()
    await anyio.sleep(2.0 * cluster.size.lease_ms / 1000.0)
    first = await away.end(returns=False)
    await gone.start()
    cluster.hollow = [gone, *others]
    back = Phase(cluster, "the zone's marshals come back")
    await back.begin()
    await gone.begin(0)
    return [first, await back.end()]


async def regions(cluster: Cluster) -> list[StormRun]:
    """The second region has the last keeper, so the first has the quorum and goes on."""
    assert cluster.relay is not None
    await stands(cluster)
    zones = cluster.size.zones
    near = [*zones[: len(zones) // 2], DRIVER, *cluster.keepers[:-1]]
    far = [*zones[len(zones) // 2 :], cluster.keepers[-1]]
    ways = cluster.relay.between(near, far) + cluster.relay.between(far, near)
    apart = Phase(cluster, "regions cut from each other")
    await apart.begin()
    for way in ways:
        way.cut = True
    await anyio.sleep(APART_S)
    await cluster.asked(SetBudgets((BudgetEntry(TargetKind.NODE, "all", 0, 0),)))
    indexes = [await _agreed(cluster, number) for number in range(CHANGES)]
    first = await apart.end(returns=False)
    together = Phase(cluster, "regions reach each other again")
    await together.begin()
    for way in ways:
        way.calm()
    await cluster.mark(index=max(indexes))
    return [first, await together.end()]


async def _agreed(cluster: Cluster, number: int) -> int:
    for _ in range(TRIES):
        try:
            return (await cluster.asked(change(number, cluster.size.nodes))).index
        except ClusterUnreachableError:
            continue
    raise ClusterUnreachableError(f"change {number} was not answered {TRIES} times")


SCENARIOS: dict[str, Callable[[Cluster], Awaitable[list[StormRun]]]] = {
    "start": start,
    "leader": leader,
    "zone": zone,
    "regions": regions,
}


async def run_size(what: str, size: Size, seed: int) -> list[StormRun]:
    """Raises NotSettled, NotHeard, ChildFailed."""
    with tempfile.TemporaryDirectory(prefix="brookreach-scale-") as folder:
        async with open_cluster(Path(folder), size, seed, relayed=what == "regions") as cluster:
            return await SCENARIOS[what](cluster)


def run(
    whats: Sequence[str], sizes: Sequence[Size], seed: int, progress: Callable[[int, int], None]
) -> Iterator[StormRun]:
    """Each scenario at each size; raises NotSettled, NotHeard, ChildFailed."""
    plays = [(what, size) for what in whats for size in sizes]
    for done, (what, size) in enumerate(plays):
        progress(done, len(plays))
        yield from anyio.run(run_size, what, size, seed)
    progress(len(plays), len(plays))

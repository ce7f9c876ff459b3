"""Measures placement at full size and compares it with a fleet in which each balancer holds everything.

Run it as `python -m brookreach.simulation.subsetting.full_size`. The sizes of services are drawn with a seed from a
long-tailed distribution. No sockets are used, and times are the CPU time of this process.
"""

from __future__ import annotations

import json
import random
import statistics
import time
import tracemalloc
from collections.abc import Sequence
from typing import Any

import click
import msgspec

from brookreach.simulation.subsetting.full_size_fleet import ZONES, FleetSizes, generate_fleet
from brookreach.subsetting import demand
from brookreach.subsetting.endpoint_subset import Endpoint, assign_subsets
from brookreach.subsetting.fleet_view import Balancer, FleetView, diff_views, make_view
from brookreach.subsetting.handover import SubsetHandover
from brookreach.subsetting.incremental_placement import IncrementalPlacer
from brookreach.subsetting.placement import Placement
from brookreach.subsetting.settings import Settings

LEASE_MS = 1_000_000
DAILY_BUDGET_S = 0.042 * 86_400  # 4.2% of a core
# A node's row takes 163 bytes as JSON (1.96 MB for 12,000); the other rows are estimated to be no longer.
NODE_BYTES = 163
ROUTE_BYTES = 160
TENANT_BYTES = 80
SERVICE_BYTES = 120

Figures = dict[str, Any]
"""An object of the printed JSON: values by key."""


def measure(sizes: FleetSizes, seed: int, changes: int, settings: Settings) -> Figures:
    """Returns all figures for one generated fleet."""
    view = generate_fleet(sizes, seed)
    placer = IncrementalPlacer(settings)
    started = time.process_time()
    placement = placer.update(view)
    placement_s = time.process_time() - started
    return {
        "sizes": msgspec.to_builtins(sizes),
        "seed": seed,
        "assignments": sum(map(len, placement.holders.values())),
        "short services": len(placement.shortfalls),
        "marshals of a service": _distribution([len(names) for names in placement.holders.values()]),
        "rows held": measure_held_rows(view, placer, settings),
        "whole placement, s of processor": round(placement_s, 3),
        "one change": measure_changes(view, placer, placement, changes, random.Random(seed)),
        "through one marshal's state": measure_handover(view, changes, random.Random(seed), settings),
        "view, bytes on the line": len(msgspec.msgpack.encode(view)),
        "memory, bytes": measure_memory(view, settings),
        "RPCs a second, a service and marshal": measure_rates(view, placement, sizes),
        "largest service": measure_largest_service(view, placement, settings),
    }


def measure_held_rows(view: FleetView, placer: IncrementalPlacer, settings: Settings) -> Figures:
    """Returns the distribution of rows per balancer, the cap, and the rows if each balancer held everything."""
    loads = [placer.load(balancer.name) for balancer in view.balancers]
    everything = demand.Load(
        services=len(view.services),
        nodes=sum(service.nodes for service in view.services),
        routes=sum(service.routes for service in view.services),
        tenants=sum(service.tenants for service in view.services),
        milli_rpcs=sum(service.rpcs for service in view.services) * 1000 // max(1, len(view.balancers)),
    )
    limit = demand.capacity_limit(settings.caps, 1)
    figures: Figures = {}
    for index, kind in enumerate(demand.Load._fields):
        row = _distribution([load[index] for load in loads])
        row |= {"cap": limit[index], "each holds all": everything[index]}
        row["most over mean"] = round(row["most"] / row["mean"], 2)
        figures[kind] = row
    start_bytes = _distribution([initial_bytes(load) for load in loads])
    figures["bytes told at the start"] = start_bytes | {"each holds all": initial_bytes(everything)}
    return figures


def initial_bytes(load: demand.Load) -> int:
    """Returns how many bytes of rows a balancer with this load is sent when it starts."""
    return (
        load.services * SERVICE_BYTES
        + load.nodes * NODE_BYTES
        + load.routes * ROUTE_BYTES
        + load.tenants * TENANT_BYTES
    )


def measure_changes(
    view: FleetView, placer: IncrementalPlacer, placement: Placement, changes: int, random_source: random.Random
) -> Figures:
    """Returns the cost and the churn when random balancers leave and rejoin, one at a time."""
    shares: list[float] = []
    services: list[int] = []
    hashes: list[int] = []
    times_s: list[float] = []
    for version in range(changes):
        leaving = random_source.choice(view.balancers)
        rest = make_view(version, [row for row in view.balancers if row is not leaving], view.services)
        for next_view in (rest, view):
            services_before = placer.work.services_placed
            hashes_before = placer.work.hashes
            started = time.process_time()
            changed = placer.update(next_view)
            times_s.append(time.process_time() - started)
            services.append(placer.work.services_placed - services_before)
            hashes.append(placer.work.hashes - hashes_before)
            if next_view is rest:
                own = max(1, 2 * len(placement.services_of(leaving.name)))
                shares.append(_moved_assignments(placement, changed) / own)
    return {
        "changes": 2 * changes,
        "assignments moved over its own": _distribution(shares),
        "services placed again": _distribution(services),
        "hashes": _distribution(hashes),
        "ms of processor": _distribution([seconds * 1000 for seconds in times_s]),
        "changes a day within the budget": round(DAILY_BUDGET_S / statistics.fmean(times_s)),
    }


def _moved_assignments(before: Placement, after: Placement) -> int:
    """Returns how many assignments were added and removed."""
    return sum(len(set(before.holders[name]) ^ set(after.holders[name])) for name in before.holders)


def measure_handover(view: FleetView, changes: int, random_source: random.Random, settings: Settings) -> Figures:
    """Returns the CPU time of a change at one balancer: applying it, updating the placement, making effects."""
    handover = SubsetHandover(view.balancers[0].name, settings)
    handover.lease_renewed(1, LEASE_MS)
    handover.full_view_received(view, 0)
    members_ms: list[float] = []
    sessions_ms: list[float] = []
    for _ in range(changes):
        leaving = random_source.choice(view.balancers[1:])
        restarted = msgspec.structs.replace(leaving, session=2)
        rest = [balancer for balancer in view.balancers if balancer is not leaving]
        members_ms.append(_change_ms(handover, rest, view))
        members_ms.append(_change_ms(handover, [*rest, leaving], view))
        sessions_ms.append(_change_ms(handover, [*rest, restarted], view))
    return {
        "ms, a member came or went": _distribution(members_ms),
        "ms, a restart within the hold-down": _distribution(sessions_ms),
    }


def _change_ms(handover: SubsetHandover, balancers: list[Balancer], view: FleetView) -> float:
    next_view = make_view(handover.view.version + 1, balancers, view.services)
    change = diff_views(handover.view, next_view)
    started = time.process_time()
    handover.view_change_received(change, 0)
    return (time.process_time() - started) * 1000


def measure_memory(view: FleetView, settings: Settings) -> int:
    """Returns the bytes that `tracemalloc` counts for the decoded view and the placer."""
    encoded = msgspec.msgpack.encode(view)
    tracemalloc.start()
    decoded = msgspec.msgpack.decode(encoded, type=FleetView)
    placer = IncrementalPlacer(settings)
    placement = placer.update(decoded)
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del placement
    return allocated


def measure_rates(view: FleetView, placement: Placement, sizes: FleetSizes) -> Figures:
    """Returns the RPCs per second of a service on a balancer, the sample on which releases are judged."""
    rates = [service.rpcs / max(1, len(placement.holders[service.name])) for service in view.services]
    undivided = sizes.rpcs / sizes.balancers / sizes.services
    return _distribution(rates) | {"each holds all, mean": round(undivided, 2)}


def measure_largest_service(view: FleetView, placement: Placement, settings: Settings) -> Figures:
    """Returns the distribution of the largest service's endpoints, spread evenly over the zones, to balancers."""
    service = max(view.services, key=lambda service: service.nodes)
    endpoints = [Endpoint(f"node-{index:05}", *ZONES[index % len(ZONES)]) for index in range(service.nodes)]
    assigned = assign_subsets(service.name, placement.holders[service.name], endpoints, settings.subset)
    subsets = list(assigned.endpoints_by_balancer.values())
    holders = dict.fromkeys((endpoint.name for endpoint in endpoints), 0)
    for names in subsets:
        for name in names:
            holders[name] += 1
    zone_of = {endpoint.name: endpoint.zone for endpoint in endpoints}
    zone_sizes = [sum(1 for name in names if zone_of[name] == zone) for names in subsets for _, zone in ZONES]
    return {
        "nodes": service.nodes,
        "marshals": len(subsets),
        "nodes of a marshal": _distribution([len(names) for names in subsets]),
        "marshals of a node": _distribution(list(holders.values())),
        "nodes of one zone on a marshal": _distribution(zone_sizes),
    }


def _distribution(values: Sequence[float]) -> Figures:
    return {"least": round(min(values), 2), "mean": round(statistics.fmean(values), 2), "most": round(max(values), 2)}


@click.command()
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--changes", type=click.IntRange(1, 10_000), default=100, show_default=True)
@click.option("--times", type=click.IntRange(1, 4), default=1, show_default=True, help="All sizes so many times.")
def main(seed: int, changes: int, times: int) -> None:
    """Print one object."""
    click.echo(json.dumps(measure(FleetSizes().scaled(times), seed, changes, Settings()), indent=1))


if __name__ == "__main__":
    main()

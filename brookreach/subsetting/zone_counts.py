"""How many of a service's marshals stand in each zone."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from brookreach.subsetting import rendezvous

Zone = tuple[str, str]
"""Region and zone."""


def zone_order(service: str, zones: Sequence[Zone]) -> list[Zone]:
    """Regions by turns, so that the first few zones lie in as many regions as there are."""
    by_region: dict[str, list[tuple[int, str]]] = {}
    for region, zone in sorted(zones):
        key = rendezvous.key_of("zone", service, region)
        by_region.setdefault(region, []).append((rendezvous.score(key, zone.encode(), 1), zone))
    region_key = rendezvous.key_of("region", service)
    regions = sorted(by_region, key=lambda one: (rendezvous.score(region_key, one.encode(), 1), one))
    for ranked in by_region.values():
        ranked.sort()
    longest = max(map(len, by_region.values()), default=0)
    return [
        (region, by_region[region][turn][1])
        for turn in range(longest)
        for region in regions
        if turn < len(by_region[region])
    ]


def quotas(order: Sequence[Zone], wanted: int, members: Mapping[Zone, int]) -> dict[Zone, int]:
    """One marshal a zone by turns; a zone that has no more is passed over. Zones differ by at most one
    unless one of them runs out."""
    dealt = dict.fromkeys(order, 0)
    left = min(wanted, sum(members[zone] for zone in order))
    while left:
        for zone in order:
            if left and dealt[zone] < members[zone]:
                dealt[zone] += 1
                left -= 1
    return dealt

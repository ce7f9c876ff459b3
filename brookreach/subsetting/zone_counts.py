"""How many balancers of a service each zone provides."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from brookreach.subsetting import rendezvous
from brookreach.subsetting.fleet_view import Locality


def order_zones(service: str, localities: Sequence[tuple[str, str]]) -> list[Locality]:
    """Returns the zones with their regions alternating, so that the first zones cover as many regions as possible."""
    scored_zones: dict[str, list[tuple[int, str]]] = {}
    for region, zone in sorted(localities):
        key = rendezvous.make_key("zone", service, region)
        scored_zones.setdefault(region, []).append((rendezvous.score(key, zone.encode(), 1), zone))
    zones = {region: [zone for _, zone in sorted(scored)] for region, scored in scored_zones.items()}
    region_key = rendezvous.make_key("region", service)
    regions = sorted(zones, key=lambda region: (rendezvous.score(region_key, region.encode(), 1), region))
    max_zones = max(map(len, zones.values()), default=0)
    return [
        Locality(region, zones[region][rank])
        for rank in range(max_zones)
        for region in regions
        if rank < len(zones[region])
    ]


def zone_quotas(order: Sequence[Locality], required: int, members: Mapping[Locality, int]) -> dict[Locality, int]:
    """Returns how many balancers each zone provides, assigned round-robin; zones without spare members are skipped.

    Quotas differ by at most one, except for zones that have too few members.
    """
    quotas = dict.fromkeys(order, 0)
    remaining = min(required, sum(members[zone] for zone in order))
    while remaining:
        for zone in order:
            if remaining and quotas[zone] < members[zone]:
                quotas[zone] += 1
                remaining -= 1
    return quotas

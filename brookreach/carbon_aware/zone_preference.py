"""Chooses the zones that a marshal prefers for flexible methods, among equally good nodes. Does no I/O.

A marshal requests calls for the next slot (`RequestFlexibleCalls`). The state machine grants them in the cleanest
zones first, from the quotas that operators set for all marshals together. Granted calls are sent to those zones; the
rest is distributed by the usual shares. A zone never gets more than was granted beyond its usual share, and a zone
without a usual share gets nothing, so drains, caps, cold budgets and halts stay in effect.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from brookreach.carbon_aware.cost_curve import active_curve, active_version
from brookreach.carbon_aware.reservations import ReservedInterval, reserved_calls
from brookreach.carbon_aware.tables import (
    RESERVATIONS,
    SLOT_MS,
    SLOT_TOTALS,
    ZONE_QUOTAS,
    ReservationRow,
    slot_totals_key,
)
from brookreach.coordination.state_machine.application import View

TOTAL_WEIGHT = 10_000  # sum of the weights of all zones
MIN_ADVANTAGE_PERMILLE = 20  # a zone is preferred only if it is cleaner than the mean by more than this


def grant_calls(
    view: View, now_ms: int, holder: str, slot: int, calls_per_s: int, zones: Iterable[str]
) -> dict[str, int]:
    """Returns how many of `calls_per_s` may go to each zone in a slot, the cleanest zones first.

    Calls that others have reserved in a zone stay theirs. For a later slot, the schedule has to be active at the
    beginning of that slot.
    """
    curve = active_curve(view, max(now_ms, slot * SLOT_MS))
    known = sorted(zone for zone in zones if zone in curve.intervals)
    costs = {zone: curve.slot_costs(zone, slot, 1)[0] for zone in known}
    total_cost = sum(costs.values())
    granted: dict[str, int] = {}
    remaining = calls_per_s
    for zone in sorted(known, key=lambda zone: (costs[zone], zone)):
        if costs[zone] * 1000 * len(known) >= total_cost * (1000 - MIN_ADVANTAGE_PERMILLE):
            break
        amount = min(remaining, _unreserved_calls(view, zone, slot, holder))
        if amount > 0:
            granted[zone] = amount
            remaining -= amount
    return granted


def _unreserved_calls(view: View, zone: str, slot: int, holder: str) -> int:
    """Returns the part of the zone's quota that no other holder has reserved."""
    quota = view.get(ZONE_QUOTAS, zone)
    total = view.get(SLOT_TOTALS, slot_totals_key(slot, zone))
    allowed: int = quota.calls_per_s if quota else 0
    reserved: int = total.calls_per_s if total else 0
    return allowed - reserved + reserved_calls(view, zone, slot, holder)


def zone_weights(
    view: View, now_ms: int, holder: str, usual_shares: Mapping[str, int], calls_per_s: int
) -> dict[str, int]:
    """Returns the weights by which flexible calls are distributed among zones; they add up to `TOTAL_WEIGHT`.

    If all usual shares are 0, all weights are 0.

    Args:
        view: The replicated state.
        now_ms: The agreed time.
        holder: The marshal's client name.
        usual_shares: Integers in proportion to the calls that each zone gets without a schedule. A zone whose nodes
            the marshal may not use has 0.
        calls_per_s: Flexible calls per second that the marshal has to send.

    Returns:
        Weights by zone; those of the usual shares if no schedule is active or nothing was granted.
    """
    preferred = _granted_weights(view, now_ms, holder, usual_shares, calls_per_s)
    return _add_usual_shares(preferred, usual_shares, TOTAL_WEIGHT - sum(preferred.values()))


def _granted_weights(
    view: View, now_ms: int, holder: str, usual_shares: Mapping[str, int], calls_per_s: int
) -> dict[str, int]:
    slot = now_ms // SLOT_MS
    reservation: ReservationRow | None = view.get(RESERVATIONS, holder)
    version = active_version(view, now_ms)
    if calls_per_s <= 0 or not version or reservation is None or reservation.schedule_version != version:
        return {}
    weights: dict[str, int] = {}
    remaining = calls_per_s
    for fields in reservation.intervals:  # the cleanest zones first
        interval = ReservedInterval(*fields)
        if not interval.first_slot <= slot < interval.end_slot or usual_shares.get(interval.zone, 0) <= 0:
            continue
        amount = min(remaining, interval.amount)
        weights[interval.zone] = amount * TOTAL_WEIGHT // calls_per_s
        remaining -= amount
    return weights


def _add_usual_shares(preferred: Mapping[str, int], usual_shares: Mapping[str, int], remaining: int) -> dict[str, int]:
    """Distributes `remaining` by the usual shares; units lost by rounding down go to the greatest remainders."""
    total_share = sum(usual_shares.values())
    zones = sorted(usual_shares)
    if total_share <= 0:
        return dict.fromkeys(zones, 0)
    weights = {zone: preferred.get(zone, 0) + remaining * usual_shares[zone] // total_share for zone in zones}
    missing = TOTAL_WEIGHT - sum(weights.values())
    by_remainder = sorted(zones, key=lambda zone: (-(remaining * usual_shares[zone] % total_share), zone))
    for zone in by_remainder[:missing]:
        weights[zone] += 1
    return weights

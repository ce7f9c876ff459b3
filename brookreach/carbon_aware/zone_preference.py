"""Zones that a marshal prefers for flexible methods, among nodes that are equally good. No I/O.

A marshal asks for calls in the next slot (`RequestFlexibleCalls`). The state machine grants them in the cleanest
zones first, out of the quotas that operators set for all marshals together. What is granted is sent there; the
rest goes by the usual shares. A zone never gets more than was granted beyond its usual share, and a zone without a
usual share gets nothing: so drains, caps, cold budgets and halts hold.
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

TOTAL_WEIGHT = 10_000  # what the weights of all zones add up to
MIN_ADVANTAGE_PERMILLE = 20  # by which a zone has to be cleaner than the mean to be preferred


def grant_calls(
    view: View, now_ms: int, holder: str, slot: int, calls_per_s: int, zones: Iterable[str]
) -> dict[str, int]:
    """Returns how many of `calls_per_s` may go to which zone in a slot, the cleanest zones first.

    What others have reserved there is left to them. Whether a schedule is active is looked at for the slot.
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
    """Returns what of the zone's quota nobody but `holder` has reserved."""
    quota = view.get(ZONE_QUOTAS, zone)
    total = view.get(SLOT_TOTALS, slot_totals_key(slot, zone))
    allowed: int = quota.calls_per_s if quota else 0
    reserved: int = total.calls_per_s if total else 0
    return allowed - reserved + reserved_calls(view, zone, slot, holder)


def zone_weights(
    view: View, now_ms: int, holder: str, usual_shares: Mapping[str, int], calls_per_s: int
) -> dict[str, int]:
    """Returns how to share flexible calls among zones, as weights that add up to `TOTAL_WEIGHT`.

    Args:
        view: The replicated state.
        now_ms: The agreed time.
        holder: The marshal's client name.
        usual_shares: Whole numbers in proportion to what each zone gets without a schedule. A zone whose nodes the
            marshal may not use has 0.
        calls_per_s: The flexible calls that the marshal has to send.

    Returns:
        The usual shares where no schedule is active or nothing was granted.
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
    """Adds `remaining` by the usual shares; what rounding down leaves goes to the greatest remainders."""
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

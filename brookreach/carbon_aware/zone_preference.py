"""Which zones a marshal prefers for flexible methods, among nodes that are equally good. Pure.

A marshal asks for room in the next slot (`Steer`); the state grants it from the cleanest zone on, out of what
operators offer there to all marshals together. What is granted is sent there, the rest goes as it would
anyhow. It must never give a zone more than was granted beyond its usual share, nor anything to a zone without
one: that is how drains, caps, cold budgets and halts come in.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from brookreach.carbon_aware import cost_curve as curves
from brookreach.carbon_aware.reservations import reserved_calls
from brookreach.carbon_aware.tables import (
    RESERVATIONS,
    SLOT_MS,
    SLOT_TOTALS,
    ZONE_QUOTAS,
    ReservationRow,
    slot_totals_key,
)
from brookreach.coordination.state_machine.application import View

TOTAL_WEIGHT = 10_000  # weights add up to it
MARGIN = 20  # thousandths that a zone is cleaner than the mean of all, or it counts as alike


def grant_calls(view: View, at_ms: int, who: str, slot: int, calls: int, zones: Iterable[str]) -> dict[str, int]:
    """What of `calls` a second may go where in a slot, cleanest first, beside what others hold there."""
    at = max(at_ms, slot * SLOT_MS)  # of the next slot: whether the schedule is in force then
    curve = curves.active_curve(view, at)
    known = sorted(zone for zone in zones if zone in curve.spans)
    costs = {zone: curve.slots(zone, slot, 1)[0] for zone in known}
    given: dict[str, int] = {}
    for zone in sorted(known, key=lambda zone: (costs[zone], zone)):
        if costs[zone] * 1000 * len(known) >= sum(costs.values()) * (1000 - MARGIN):
            break
        offer, load = view.get(ZONE_QUOTAS, zone), view.get(SLOT_TOTALS, slot_totals_key(slot, zone))
        free = (offer.calls if offer else 0) - (load.calls if load else 0) + reserved_calls(view, zone, slot, who)
        part = min(calls, free)
        if part > 0:
            given[zone] = part
            calls -= part
    return given


def zone_weights(view: View, at_ms: int, who: str, usual: Mapping[str, int], calls: int) -> dict[str, int]:
    """By zone, adding up to `WHOLE`: how to share `calls` flexible calls a second.

    `usual`: the shares (any whole numbers) by which the marshal would go without power; a zone whose nodes it
    may not use has 0. Without a schedule in force, or without a grant, the answer is the usual shares.
    """
    slot, lean = at_ms // SLOT_MS, {}
    held: ReservationRow | None = view.get(RESERVATIONS, who)
    row = curves.active_schedule(view, at_ms)
    if calls > 0 and row is not None and held is not None and held.version == row.version:
        rest = calls
        for zone, first, end, room in held.spans:  # the cleanest first
            if not first <= slot < end or usual.get(zone, 0) <= 0:
                continue
            part = min(rest, room)
            lean[zone] = part * TOTAL_WEIGHT // calls
            rest -= part
    return _with_rest(lean, usual, TOTAL_WEIGHT - sum(lean.values()))


def _with_rest(lean: Mapping[str, int], usual: Mapping[str, int], rest: int) -> dict[str, int]:
    """`rest` shared out by the usual shares; what rounding leaves goes to the greatest remainders."""
    whole = sum(usual.values())
    if whole <= 0:
        return dict.fromkeys(sorted(usual), 0)
    shares = {zone: lean.get(zone, 0) + rest * usual[zone] // whole for zone in sorted(usual)}
    short = TOTAL_WEIGHT - sum(shares.values())
    for zone in sorted(usual, key=lambda zone: (-(rest * usual[zone] % whole), zone))[:short]:
        shares[zone] += 1
    return shares

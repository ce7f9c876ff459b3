"""Defects that are injected into subsetting; the invariants of the drill have to detect each of them."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import structs

from brookreach.simulation.defect import Defect, Defects
from brookreach.simulation.subsetting import fleet_model
from brookreach.subsetting import demand, handover
from brookreach.subsetting.demand import Load
from brookreach.subsetting.hold_down import HoldDown
from brookreach.subsetting.settings import Caps, Times


def _ignore_caps(correct: Callable[[Caps, int], Load]) -> Callable[[Caps, int], Load]:
    return lambda caps, weight: correct(caps, weight * 1000)


def _skip_hold_down(correct: type[HoldDown]) -> Callable[[Times], HoldDown]:
    return lambda times: correct(structs.replace(times, removal_hold_ms=0, join_hold_ms=0, resize_hold_ms=0))


DEFECTS: Defects = {
    "no-hold-down": Defect(fleet_model, "HoldDown", _skip_hold_down),
    "break-before-make": Defect(handover, "may_drain", lambda _correct: lambda _missing: True),
    "gap-taken-as-whole": Defect(handover, "is_successor", lambda _correct: lambda _view, _change: True),
    "cap-ignored": Defect(demand, "capacity_limit", _ignore_caps),
    "two-answers-are-enough": Defect(handover, "may_drain", lambda _correct: lambda missing: len(missing) <= 4),
}

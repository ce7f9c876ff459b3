"""Placement: which marshals hold which services, a pure function of the view and the settings.

Services are placed one after another in the order of their names' hashes. Each goes, zone by zone, down the list of
the zone's marshals by weighted rendezvous score and takes those that stay within their caps; what a zone has no room
for goes to the best of the others. The caps are hard: a service that finds no room has fewer marshals and is named
in `Placement.short`.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from brookreach.scope.settings import Settings
from brookreach.scope.view import View


class Short(msgspec.Struct, frozen=True):
    """A service with fewer marshals than it wants: there are no more, or their caps leave no room."""

    wanted: int
    placed: int


class Placement(msgspec.Struct, frozen=True):
    """Names in order; a service that nobody holds has an empty row."""

    holders: Mapping[str, tuple[str, ...]]
    short: Mapping[str, Short]

    def of(self, marshal: str) -> tuple[str, ...]:
        """One marshal's own services, in order."""
        return tuple(sorted(service for service, names in self.holders.items() if marshal in names))


def place(view: View, settings: Settings) -> Placement:
    """From nothing. `Placer` comes to the same from the placement before, with less work."""
    from brookreach.scope.placer import Placer

    return Placer(settings).take(view)

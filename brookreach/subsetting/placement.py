"""What a placement says: the marshals of each service, and services that have fewer than they want."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec


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

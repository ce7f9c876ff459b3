"""Rules of power by an onlooker's mirror: what is in force is a whole version that somebody closed.

It knows what operators of the drill sent, and never asks a process for more than its mirror is told.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from brookreach.carbon_aware.tables import CURRENT, HOLDS, OFFERS, RESERVED, SCHEDULES, CurrentRow, version_key
from brookreach.coordination.client.events import RowsChanged
from brookreach.coordination.state_machine.application import View
from brookreach.simulation.processes.application_drill import ProcessCluster

Spans = tuple[tuple[str, int, int, int], ...]


@dataclass(slots=True)
class Sent:
    """A version as it is meant, by whom it was sent; `closed`: from then on it may be in force."""

    spans: Spans
    closed: bool = False
    tellers: set[str] = field(default_factory=set)


class Watch:
    def __init__(self, town: ProcessCluster, mirror: View):
        self.town, self.mirror = town, mirror
        self.index = self.version = self.fence = 0
        self.sent: dict[int, Sent] = {}

    def changed(self, event: RowsChanged) -> None:
        self.town.check(
            "a mirror never goes back", event.index >= self.index, lambda: f"{event.index} after {self.index}"
        )
        self.index = event.index
        row: CurrentRow | None = self.mirror.get(CURRENT, "all")
        if row is not None:
            self.in_force(row)
        else:
            self.town.check("what is in force stays agreed", not self.version, lambda: f"{self.version} is gone")
        self.calls()

    def in_force(self, row: CurrentRow) -> None:
        town, sent = self.town, self.sent.get(row.version)
        town.check("only what was closed is in force", sent is not None and sent.closed, lambda: f"{row}")
        rows = self.mirror.rows(SCHEDULES, version_key(row.version) + "/")
        stands = sorted((key.split("/")[1], one.from_ms, one.to_ms, one.grams) for key, one in rows)
        town.check(
            "what is in force is whole",
            sent is not None and stands == sorted(sent.spans),
            lambda: f"version {row.version} at {self.index}: {len(stands)} rows, not as sent",
        )
        grows = (row.version, row.fence) == (self.version, self.fence) or (
            row.version > self.version and row.fence > self.fence
        )
        town.check("versions and fences grow", grows, lambda: f"{self.version}, {self.fence}, then {row}")
        self.version, self.fence = row.version, row.fence

    def calls(self) -> None:
        """What marshals hold together is never more than a zone offers."""
        held: Counter[tuple[str, str]] = Counter()
        callers = {name for name, row in self.mirror.rows(HOLDS) if row.calls}
        for key, row in self.mirror.rows(RESERVED):
            zone, slot, who = key.split("/")
            if who in callers:
                held[zone, slot] += row.room
        for (zone, slot), calls in sorted(held.items()):
            offer = self.mirror.get(OFFERS, zone)
            self.town.check(
                "steered calls within what is offered",
                offer is not None and calls <= offer.calls,
                lambda zone=zone, slot=slot, calls=calls, offer=offer: f"zone {zone}, slot {slot}: {calls} of {offer}",
            )

"""Rules of the scope, looked at from outside: who serves what at each instant, who died, and what was configured.

Nothing here reads a marshal's state beyond which services it serves, nor the placement, but for the one that stands
when all has come to rest.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brookreach.simulation.report import Report, Violation
from brookreach.subsetting.fleet_view import Marshal, Service
from brookreach.subsetting.settings import Settings

HELD_WITHIN_MS = 9_000  # a new service is in force


@dataclass
class Tracked:
    """One configured service."""

    service: Service
    since_ms: int
    covered: bool = False  # it was served by enough once
    serving: set[str] = field(default_factory=set)
    lost: dict[str, int] = field(default_factory=dict)  # served it and died or fell asleep: when


class Rules:
    """`excuse_ms`: how long a marshal that died is an excuse for a service with fewer."""

    def __init__(self, report: Report, seed: int, settings: Settings, excuse_ms: int):
        self._report, self._seed, self._settings, self._excuse_ms = report, seed, settings, excuse_ms
        self._tracked: dict[str, Tracked] = {}
        self._still: dict[str, set[str]] | None = None  # by marshal: all it may serve while nothing is to move
        self._died: dict[str, int] = {}  # by marshal: when last
        self.moves = 0

    # --- what happens ---

    def configured(self, service: Service, now_ms: int) -> None:
        old = self._tracked.get(service.name)
        if old:
            old.service = service
        else:
            self._tracked[service.name] = Tracked(service, now_ms)

    def ended(self, name: str) -> None:
        self._tracked.pop(name, None)

    def serves(self, marshal: str, services: set[str], now_ms: int) -> None:
        """All that this marshal serves from now on, while it lives."""
        self._look_still(marshal, services, now_ms)
        for name, tracked in self._tracked.items():
            before = marshal in tracked.serving
            if name in services:
                tracked.serving.add(marshal)
                tracked.lost.pop(marshal, None)
                self.moves += not before
            elif before:
                tracked.serving.discard(marshal)
                self.moves += 1
                self._look(tracked, now_ms)

    def lost(self, marshal: str, now_ms: int) -> None:
        """It died or sleeps."""
        self._died[marshal] = now_ms
        for tracked in self._tracked.values():
            if marshal in tracked.serving:
                tracked.serving.discard(marshal)
                tracked.lost[marshal] = now_ms

    # --- rules ---

    def look(self, now_ms: int) -> None:
        """At intervals, for excuses that end without anything happening."""
        for tracked in self._tracked.values():
            self._look(tracked, now_ms)

    def _look(self, tracked: Tracked, now_ms: int) -> None:
        least = self._settings.spread.marshals
        excused = sum(1 for when in tracked.lost.values() if now_ms - when <= self._excuse_ms)
        count = len(tracked.serving)
        if not tracked.covered:
            tracked.covered = count >= least
            late = now_ms - tracked.since_ms > HELD_WITHIN_MS
            if late and not tracked.covered:
                self._look_new(tracked, now_ms)
            return
        self._report.record_check("coverage")
        if count + excused < least:
            text = f"{count} marshals serve it, {least} are the least, {excused} died lately"
            self._broken("coverage", tracked, now_ms, text)

    def _look_new(self, tracked: Tracked, now_ms: int) -> None:
        """It may be placed on some that died lately, though they never served it."""
        died = {name for name, when in self._died.items() if now_ms - when <= self._excuse_ms}
        least, count = self._settings.spread.marshals, len(tracked.serving)
        self._report.record_check("new service")
        if count + len(died - tracked.serving) < least:
            self._broken("new service", tracked, now_ms, f"{count} serve it after {HELD_WITHIN_MS} ms")

    def begin_still(self) -> None:
        """From now on nothing is to move, though marshals restart."""
        self._still = {}
        for name, tracked in self._tracked.items():
            for marshal in tracked.serving:
                self._still.setdefault(marshal, set()).add(name)

    def end_still(self) -> None:
        self._still = None

    def _look_still(self, marshal: str, services: set[str], now_ms: int) -> None:
        if self._still is None:
            return
        self._report.record_check("stillness")
        more = services - self._still.get(marshal, set())
        if more:
            name = min(more)
            self._broken("stillness", self._tracked[name], now_ms, f"{marshal} took it on while others restarted")

    def at_rest(self, row: Marshal, services: set[str], placed: set[str], now_ms: int) -> None:
        """Serves exactly what the agreed view places on it, within the caps as the settings give them."""
        marshal = row.name
        self._report.record_check("agreement")
        if services != placed:
            text = f"{marshal} serves {sorted(services)}, placed on it are {sorted(placed)}"
            self._report.add_violation(Violation("agreement", marshal, self._seed, now_ms, text))
        self._report.record_check("caps")
        caps, rows = self._settings.caps, [self._tracked[name].service for name in services if name in self._tracked]
        nodes = sum(min(row.nodes, self._settings.subset.nodes) for row in rows)
        tenants, routes = sum(row.tenants for row in rows), sum(row.routes for row in rows)
        for what, amount, most in (
            ("services", len(services), caps.services),
            ("nodes", nodes, caps.nodes),
            ("routes", routes, caps.routes),
            ("tenants", tenants, caps.tenants),
        ):
            if amount > most * row.weight:
                text = f"{marshal} holds {amount} {what}, {most * row.weight} are allowed"
                self._report.add_violation(Violation("caps", marshal, self._seed, now_ms, text))

    def _broken(self, rule: str, tracked: Tracked, now_ms: int, text: str) -> None:
        self._report.add_violation(Violation(rule, tracked.service.name, self._seed, now_ms, text))

"""The settled view: the agreed fleet with its flapping taken out, in numbered versions.

This is the part of the agreed state that all marshals' placements are made of: a function of records and of the times
that stand in them. A session that ends stays in the view until `times.gone_ms` have passed, a new marshal waits for
`times.join_ms`, another size for `times.size_ms`; whoever is back, or another size that is undone, before its time has
changed nothing. What falls due together becomes one version. A new service and one that is gone wait for the next
version only, because a service without marshals serves nobody.
"""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.subsetting.fleet_view import Marshal, Service, View, view_of
from brookreach.subsetting.settings import Times


@dataclass(slots=True)
class Waiting:
    """What a row is to become (None: it goes), and when."""

    row: Marshal | Service | None
    due_ms: int


class Settling:
    """Hears records in the agreed order; `tick` gives the next version, when there is one."""

    def __init__(self, times: Times, view: View | None = None):
        self._times = times
        self._version = view.version if view else 0
        self._marshals = {one.name: one for one in view.marshals} if view else {}
        self._services = {one.name: one for one in view.services} if view else {}
        self._waiting_marshals: dict[str, Waiting] = {}
        self._waiting_services: dict[str, Waiting] = {}
        self._fresh = False  # a session changed: told without a hold-down, for it moves nothing

    @property
    def view(self) -> View:
        return view_of(self._version, list(self._marshals.values()), list(self._services.values()))

    # --- records ---

    def joined(self, marshal: Marshal, now_ms: int) -> None:
        """A session that began or says another size or place of itself."""
        settled = self._marshals.get(marshal.name)
        if settled is None:
            self._wait(self._waiting_marshals, marshal.name, marshal, now_ms + self._times.join_ms)
            return
        if (settled.place, settled.weight) == (marshal.place, marshal.weight):
            self._waiting_marshals.pop(marshal.name, None)
        else:
            self._wait(self._waiting_marshals, marshal.name, marshal, now_ms + self._times.size_ms)
        if settled.session != marshal.session:
            old = self._marshals[marshal.name]
            self._marshals[marshal.name] = Marshal(old.name, old.region, old.zone, old.weight, marshal.session)
            self._fresh = True

    def left(self, name: str, now_ms: int) -> None:
        """Its session ended: the lease ran out, or it took leave."""
        if name in self._marshals:
            self._wait(self._waiting_marshals, name, None, now_ms + self._times.gone_ms)
        else:
            self._waiting_marshals.pop(name, None)

    def sized(self, service: Service, now_ms: int) -> None:
        """A service is new or its sizes are others."""
        settled = self._services.get(service.name)
        if settled is None:
            self._wait(self._waiting_services, service.name, service, now_ms)
        elif settled == service:
            self._waiting_services.pop(service.name, None)
        else:
            self._wait(self._waiting_services, service.name, service, now_ms + self._times.size_ms)

    def ended(self, service: str, now_ms: int) -> None:
        """The service is no longer configured."""
        if service in self._services:
            self._wait(self._waiting_services, service, None, now_ms)
        else:
            self._waiting_services.pop(service, None)

    def _wait(self, waiting: dict[str, Waiting], name: str, row: Marshal | Service | None, due_ms: int) -> None:
        """One that is said again keeps its time, so a size that never rests is taken as it stands then."""
        old = waiting.get(name)
        keeps = old is not None and (old.row is None) == (row is None)
        waiting[name] = Waiting(row, old.due_ms if old and keeps else due_ms)

    # --- versions ---

    def due_ms(self) -> int | None:
        """When the next version is, in whole batches; None: nothing waits."""
        times = [one.due_ms for one in (*self._waiting_marshals.values(), *self._waiting_services.values())]
        if self._fresh:
            return 0
        return _whole_batch(min(times), self._times.batch_ms) if times else None

    def tick(self, now_ms: int) -> View | None:
        """The next version, if anything fell due; `now_ms` stands in the record."""
        due = self.due_ms()
        if due is None or now_ms < due:
            return None
        _take(self._marshals, self._waiting_marshals, now_ms)
        _take(self._services, self._waiting_services, now_ms)
        self._fresh = False
        self._version += 1
        return self.view


def _whole_batch(due_ms: int, batch_ms: int) -> int:
    return -(-due_ms // batch_ms) * batch_ms


def _take(rows: dict, waiting: dict[str, Waiting], now_ms: int) -> None:
    for name in sorted(name for name, one in waiting.items() if one.due_ms <= now_ms):
        row = waiting.pop(name).row
        if row is None:
            rows.pop(name, None)
        else:
            rows[name] = row

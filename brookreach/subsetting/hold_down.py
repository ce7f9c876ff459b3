"""Hold-down: the agreed fleet without its flapping, in numbered versions.

This is the part of the agreed state that all balancers' placements are made of: a function of records and of the times
in them. A session that ends stays in the view for `times.gone_ms`, a new balancer waits for `times.join_ms`, another
size for `times.size_ms`; a balancer that is back, or a size that is undone, before its time has changed nothing.
Changes that fall due together become one version. A new service and a removed one wait for the next version only,
because a service without balancers serves nobody.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from msgspec import structs

from brookreach.subsetting.demand import ceil_divide
from brookreach.subsetting.fleet_view import Balancer, FleetView, Service, make_view
from brookreach.subsetting.settings import Times

RowT = TypeVar("RowT", Balancer, Service)


@dataclass(slots=True)
class PendingChange(Generic[RowT]):
    """What a row is to become (None: it is removed), and when."""

    row: RowT | None
    due_ms: int


class _HeldRows(Generic[RowT]):
    """Rows of one kind, and their pending changes."""

    def __init__(self, rows: dict[str, RowT]) -> None:
        self.current: dict[str, RowT] = rows
        self.pending: dict[str, PendingChange[RowT]] = {}

    def schedule(self, name: str, row: RowT | None, due_ms: int) -> None:
        """Schedules a change; one that is repeated keeps its time, so a size that never settles is taken at last."""
        earlier = self.pending.get(name)
        if earlier is not None and (earlier.row is None) == (row is None):
            self.pending[name] = PendingChange(row, earlier.due_ms)
        else:
            self.pending[name] = PendingChange(row, due_ms)

    def cancel(self, name: str) -> None:
        """Drops a pending change."""
        self.pending.pop(name, None)

    def apply_due(self, now_ms: int) -> None:
        """Applies the changes that are due."""
        for name in sorted(name for name, change in self.pending.items() if change.due_ms <= now_ms):
            row = self.pending.pop(name).row
            if row is None:
                self.current.pop(name, None)
            else:
                self.current[name] = row


class HoldDown:
    """Takes records in the agreed order; `next_version` returns the next view when there is one."""

    def __init__(self, times: Times, view: FleetView | None = None) -> None:
        start = view or FleetView()
        self._times = times
        self._version = start.version
        self._balancers: _HeldRows[Balancer] = _HeldRows({balancer.name: balancer for balancer in start.balancers})
        self._services: _HeldRows[Service] = _HeldRows({service.name: service for service in start.services})
        self._has_new_session = False  # published without hold-down, for it moves nothing

    @property
    def view(self) -> FleetView:
        """The present version."""
        return make_view(self._version, self._balancers.current.values(), self._services.current.values())

    # --- records ---

    def session_started(self, balancer: Balancer, now_ms: int) -> None:
        """A session began, or its balancer reports another size or place."""
        current = self._balancers.current.get(balancer.name)
        if current is None:
            self._balancers.schedule(balancer.name, balancer, now_ms + self._times.join_hold_ms)
            return
        if (current.locality, current.weight) == (balancer.locality, balancer.weight):
            self._balancers.cancel(balancer.name)
        else:
            self._balancers.schedule(balancer.name, balancer, now_ms + self._times.resize_hold_ms)
        if current.session != balancer.session:
            self._balancers.current[balancer.name] = structs.replace(current, session=balancer.session)
            self._has_new_session = True

    def session_ended(self, name: str, now_ms: int) -> None:
        """The balancer's session ended: its lease expired, or it left."""
        if name in self._balancers.current:
            self._balancers.schedule(name, None, now_ms + self._times.removal_hold_ms)
        else:
            self._balancers.cancel(name)

    def service_changed(self, service: Service, now_ms: int) -> None:
        """A service is new, or its sizes differ."""
        current = self._services.current.get(service.name)
        if current is None:
            self._services.schedule(service.name, service, now_ms)
        elif current == service:
            self._services.cancel(service.name)
        else:
            self._services.schedule(service.name, service, now_ms + self._times.resize_hold_ms)

    def service_removed(self, service: str, now_ms: int) -> None:
        """The service is no longer configured."""
        if service in self._services.current:
            self._services.schedule(service, None, now_ms)
        else:
            self._services.cancel(service)

    # --- versions ---

    def next_due_ms(self) -> int | None:
        """Returns when the next version is due, at the end of a batch; None: nothing is pending."""
        if self._has_new_session:
            return 0
        times = [change.due_ms for change in self._balancers.pending.values()]
        times += [change.due_ms for change in self._services.pending.values()]
        if not times:
            return None
        batch_ms = self._times.batch_interval_ms
        return ceil_divide(min(times), batch_ms) * batch_ms

    def next_version(self, now_ms: int) -> FleetView | None:
        """Returns the next version if one is due; `now_ms` is the time of the record."""
        due_ms = self.next_due_ms()
        if due_ms is None or now_ms < due_ms:
            return None
        self._balancers.apply_due(now_ms)
        self._services.apply_due(now_ms)
        self._has_new_session = False
        self._version += 1
        return self.view

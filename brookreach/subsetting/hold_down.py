"""Hold-down: delays membership and size changes so that flapping does not move services, and numbers the versions.

This is the part of the replicated state from which all balancers compute their placements. It depends only on the
records of the log and the times in them. A balancer whose session ended stays in the view for `times.gone_ms`, a new
balancer is added after `times.join_ms`, and a changed size takes effect after `times.size_ms`. A balancer that returns
or a size that is reverted before then changes nothing. Changes that are due within one batch become one version. New
and removed services wait only for the next version, because a service without balancers serves no RPCs.
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
    """The value that a row will take at `due_ms`; None: the row is removed."""

    row: RowT | None
    due_ms: int


class _HeldRows(Generic[RowT]):
    """The rows of one kind (balancers or services), and their pending changes."""

    def __init__(self, rows: dict[str, RowT]) -> None:
        self.current: dict[str, RowT] = rows
        self.pending: dict[str, PendingChange[RowT]] = {}

    def schedule(self, name: str, row: RowT | None, due_ms: int) -> None:
        """Schedules a change; a repeated one keeps its due time, so a size that keeps changing still takes effect."""
        pending = self.pending.get(name)
        if pending is not None and (pending.row is None) == (row is None):
            self.pending[name] = PendingChange(row, pending.due_ms)
        else:
            self.pending[name] = PendingChange(row, due_ms)

    def cancel(self, name: str) -> None:
        """Discards the pending change of this row, if there is one."""
        self.pending.pop(name, None)

    def apply_due(self, now_ms: int) -> None:
        """Applies the changes that are due, in the order of their names."""
        for name in sorted(name for name, change in self.pending.items() if change.due_ms <= now_ms):
            row = self.pending.pop(name).row
            if row is None:
                self.current.pop(name, None)
            else:
                self.current[name] = row


class HoldDown:
    """Applies records in the order of the replicated log; `next_version` returns the next view once it is due."""

    def __init__(self, times: Times, view: FleetView | None = None) -> None:
        start = view or FleetView()
        self._times = times
        self._version = start.version
        self._balancers: _HeldRows[Balancer] = _HeldRows({balancer.name: balancer for balancer in start.balancers})
        self._services: _HeldRows[Service] = _HeldRows({service.name: service for service in start.services})
        self._has_new_session = False  # published without hold-down, because it moves no services

    @property
    def view(self) -> FleetView:
        """The current version of the view."""
        return make_view(self._version, self._balancers.current.values(), self._services.current.values())

    # --- records ---

    def session_started(self, balancer: Balancer, now_ms: int) -> None:
        """Handles the start of a session, or a balancer that reports another weight or locality."""
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
        """Handles the end of a balancer's session: its lease expired, or it left."""
        if name in self._balancers.current:
            self._balancers.schedule(name, None, now_ms + self._times.removal_hold_ms)
        else:
            self._balancers.cancel(name)

    def service_changed(self, service: Service, now_ms: int) -> None:
        """Handles a new service, or a service whose sizes changed."""
        current = self._services.current.get(service.name)
        if current is None:
            self._services.schedule(service.name, service, now_ms)
        elif current == service:
            self._services.cancel(service.name)
        else:
            self._services.schedule(service.name, service, now_ms + self._times.resize_hold_ms)

    def service_removed(self, service: str, now_ms: int) -> None:
        """Handles the removal of a service from the configuration."""
        if service in self._services.current:
            self._services.schedule(service, None, now_ms)
        else:
            self._services.cancel(service)

    # --- versions ---

    def next_due_ms(self) -> int | None:
        """Returns when the next version is due, rounded up to the end of a batch; None: no change is pending."""
        if self._has_new_session:
            return 0
        times = [change.due_ms for change in self._balancers.pending.values()]
        times += [change.due_ms for change in self._services.pending.values()]
        if not times:
            return None
        batch_ms = self._times.batch_interval_ms
        return ceil_divide(min(times), batch_ms) * batch_ms

    def next_version(self, now_ms: int) -> FleetView | None:
        """Returns the next version if one is due, otherwise None; `now_ms` is the time of the log record."""
        due_ms = self.next_due_ms()
        if due_ms is None or now_ms < due_ms:
            return None
        self._balancers.apply_due(now_ms)
        self._services.apply_due(now_ms)
        self._has_new_session = False
        self._version += 1
        return self.view

"""Runs one balancer for each instance that the simulator's wire names; instances share nothing."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

from brookreach.balancer_settings_reader import us_to_ms
from brookreach.interface import Action, BalancerSettings, DecisionFault, NodeEntry
from brookreach.policy.balancer import Balancer
from brookreach.simulator_adapter.frame_codec import WireError, read_frame, write_frame
from brookreach.simulator_adapter.translation import (
    Record,
    entry_from,
    event_from,
    record_from,
    settings_from,
)


class InstanceHost:
    """The balancers of all instances."""

    def __init__(self) -> None:
        self.balancers: dict[int, tuple[Balancer, BalancerSettings]] = {}
        self.node_lists: dict[int, tuple[NodeEntry, ...]] = {}

    def answer(self, clock_us: int, events: list[Record]) -> list[Record]:
        """Handle a batch of events and return the actions. Raises WireError for a value that the wire has not."""
        now_ms = us_to_ms(clock_us)
        actions: list[Record] = []
        for name, fields in events:
            if name == "Pool":
                self.node_lists[fields[0]] = tuple(map(entry_from, fields[1]))
                continue
            instance, event_fields = fields[0], fields[1:]
            if name == "Exit":
                # Its actions of this batch are dropped with it.
                self.balancers.pop(instance, None)
                actions = [record for record in actions if record[1][0] != instance]
                continue
            actions.extend(
                record_from(instance, action) for action in self._handle(now_ms, name, instance, event_fields)
            )
        return actions

    def _handle(self, now_ms: float, name: str, instance: int, fields: tuple[Any, ...]) -> list[Action]:
        try:
            if name == "Up":
                settings = settings_from(fields[0], fields[1])
            elif instance not in self.balancers:
                return []  # for a balancer that has ended
            else:
                balancer, settings = self.balancers[instance]
                event = event_from(name, fields, settings.reports, self.node_lists)
        except (KeyError, ValueError) as error:
            raise WireError(f"{name} for instance {instance}: unexpected value {error}") from None
        try:
            if name == "Up":
                balancer = Balancer(settings)
                self.balancers[instance] = balancer, settings
                return balancer.begin(now_ms)
            return balancer.handle(now_ms, event)
        except Exception as error:  # the balancer failed: the wire wants one Crash with its text
            return [_fault(error)]


def _fault(error: Exception) -> DecisionFault:
    """Return a fault that names the exception, and the function and line that raised it."""
    trace = error.__traceback__
    while trace and trace.tb_next:
        trace = trace.tb_next
    where = f" at {trace.tb_frame.f_code.co_name}:{trace.tb_lineno}" if trace else ""
    return DecisionFault(f"{type(error).__name__}: {error}{where}")


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer batches until the input ends; return the exit code."""
    host = InstanceHost()
    try:
        while (frame := read_frame(source)) is not None:
            number, clock_us, events = frame
            write_frame(sink, number, host.answer(clock_us, events))
    except WireError as error:
        print(f"simulator_adapter: {error}", file=sys.stderr)
        return 2
    return 0

"""Hosts one marshal for each instance the wire names; they share nothing."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

from brookreach.interface import Action, BalancerSettings, DecisionFault, NodeEntry
from brookreach.policy.balancer import Balancer
from brookreach.simulator_adapter.frame_codec import WireError, read_frame, write_frame
from brookreach.simulator_adapter.translation import (
    Record,
    entry_from,
    event_from,
    record_from,
    settings_from,
    us_to_ms,
)


class InstanceHost:
    def __init__(self) -> None:
        self.lives: dict[int, tuple[Balancer, BalancerSettings]] = {}
        self.pools: dict[int, tuple[NodeEntry, ...]] = {}

    def answer(self, clock_us: int, events: list[Record]) -> list[Record]:
        now = us_to_ms(clock_us)
        out: list[Record] = []
        for name, fields in events:
            if name == "Pool":
                self.pools[fields[0]] = tuple(map(entry_from, fields[1]))
                continue
            instance, rest = fields[0], fields[1:]
            if name == "Exit":
                # What it said in this batch dies with it.
                self.lives.pop(instance, None)
                out = [record for record in out if record[1][0] != instance]
                continue
            out.extend(record_from(instance, action) for action in self._one(now, name, instance, rest))
        return out

    def _one(self, now: float, name: str, instance: int, rest: tuple[Any, ...]) -> list[Action]:
        try:
            if name == "Up":
                start = settings_from(rest[0], rest[1])
            elif instance not in self.lives:
                return []  # of an earlier life
            else:
                marshal, start = self.lives[instance]
                event = event_from(name, rest, start.reports, self.pools)
        except (KeyError, ValueError) as error:
            raise WireError(f"{name} for instance {instance}: unexpected value {error}") from None
        try:
            if name == "Up":
                marshal = Balancer(start)
                self.lives[instance] = marshal, start
                return marshal.begin(now)
            return marshal.handle(now, event)
        except Exception as error:  # the module failed: the wire wants one Crash with its text
            return [_fault(error)]


def _fault(error: Exception) -> DecisionFault:
    trace = error.__traceback__
    while trace and trace.tb_next:
        trace = trace.tb_next
    where = f" at {trace.tb_frame.f_code.co_name}:{trace.tb_lineno}" if trace else ""
    return DecisionFault(f"{type(error).__name__}: {error}{where}")


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer batches until the input ends; the exit code."""
    host = InstanceHost()
    try:
        while (frame := read_frame(source)) is not None:
            number, clock_us, events = frame
            write_frame(sink, number, host.answer(clock_us, events))
    except WireError as error:
        print(f"simulator_adapter: {error}", file=sys.stderr)
        return 2
    return 0

"""What must hold of the pieces' own records, each judged as the log has it. The machine they are read from
is the checkers' own; a rule sees one record's changes and the rows before it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from brookreach.coordination.state_machine.application import Row
from brookreach.coordination.state_machine.applied_command import AppliedCommand
from brookreach.disruption import tables as outages
from brookreach.simulation.coordination import sample_application

Say = Callable[[str, float, str], None]
Look = Callable[[str], None]
Old = Mapping[tuple[str, str], bytes | None]


def row(kind: type[Row], octets: bytes | None) -> Any:
    return None if octets is None else msgspec.msgpack.decode(octets, type=kind)


class ToyRules:
    """Each token once; fences of one thing grow."""

    def __init__(self, say: Say, look: Look):
        self.say, self.look = say, look
        self.fences: dict[str, int] = {}

    def __call__(self, now: float, applied: AppliedCommand, old: Old) -> None:
        for one in applied.changes:
            if one.table == sample_application.MARKS and one.octets is not None:
                self.look("records apply once")
                times = row(sample_application.MarkRow, one.octets).times
                if times != 1:
                    self.say("records apply once", now, f"{one.key} at {applied.index}: {times} times")
            if one.table == sample_application.HOLDS and one.octets is not None:
                self.look("fences grow")
                held, last = row(sample_application.HoldRow, one.octets), self.fences.get(one.key, 0)
                if held.fence <= last:
                    self.say("fences grow", now, f"{one.key}: fence {held.fence} after {last}")
                self.fences[one.key] = held.fence


class HaltRules:
    """From the record that halts to the one that resumes: no permit given, no stage opened."""

    def __init__(self, say: Say, look: Look):
        self.say, self.look = say, look
        self.halted = False

    def __call__(self, now: float, applied: AppliedCommand, old: Old) -> None:
        halt = [one for one in applied.changes if one.table == outages.HALT]
        if self.halted and not halt:
            for one in applied.changes:
                self.change(now, applied.index, one.table, one.key, one.octets, old.get((one.table, one.key)))
        for one in halt:
            self.halted = one.octets is not None

    def change(self, now: float, index: int, table: str, key: str, octets: bytes | None, before: bytes | None) -> None:
        if table == outages.PERMITS:
            self.look("halt obeyed")
            was, new = row(outages.PermitRow, before), row(outages.PermitRow, octets)
            if new is not None and new.state == "given" and (was is None or was.state != "given"):
                self.say("halt obeyed", now, f"permit {key} is given at {index}, under a halt")
        if table == outages.RELEASES:
            self.look("halt obeyed")
            was, new = row(outages.ReleaseRow, before), row(outages.ReleaseRow, octets)
            if new is not None and new.stage > (was.stage if was is not None else 0):
                self.say("halt obeyed", now, f"release {key} opens stage {new.stage} at {index}, under a halt")

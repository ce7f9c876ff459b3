"""Rules on the commands of applications, each judged as the log has it.

A rule sees the changes of one command, applied by the checker's own state machine, and the changed rows before it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Row
from brookreach.coordination.state_machine.applied_command import AppliedCommand
from brookreach.disruption import tables as disruption_tables
from brookreach.simulation.coordination import sample_application
from brookreach.simulation.coordination.reference_model import RowsBefore
from brookreach.simulation.coordination.rules import Rule, RuleRecorder

CommandRule = Callable[[float, AppliedCommand, RowsBefore], None]
"""Takes the true time, what a command changed, and the changed rows before it."""


def decode_row(kind: type[Row], octets: bytes | None) -> Any:
    """Decode a row, None if there is none. Any: the row is of the type that is given."""
    return None if octets is None else msgspec.msgpack.decode(octets, type=kind)


class SampleApplicationRules:
    """Each token is added once, and the fences of one lock increase."""

    def __init__(self, recorder: RuleRecorder):
        self._recorder = recorder
        self._last_fences: dict[str, int] = {}

    def __call__(self, at_ms: float, applied: AppliedCommand, rows_before: RowsBefore) -> None:  # noqa: ARG002
        """Check one command. `rows_before` is a part of the interface of rules."""
        for change in applied.changes:
            if change.octets is None:
                continue
            if change.table == sample_application.MARKS:
                self._check_mark(at_ms, applied.index, change.key, change.octets)
            elif change.table == sample_application.LOCKS:
                self._check_lock(at_ms, change.key, change.octets)

    def _check_mark(self, at_ms: float, index: int, token: str, octets: bytes) -> None:
        self._recorder.record_check(Rule.COMMANDS_APPLY_ONCE)
        times = decode_row(sample_application.MarkRow, octets).times
        if times != 1:
            text = f"{token} at {index}: {times} times"
            self._recorder.record_violation(Rule.COMMANDS_APPLY_ONCE, at_ms, text)

    def _check_lock(self, at_ms: float, resource: str, octets: bytes) -> None:
        self._recorder.record_check(Rule.FENCES_INCREASE)
        fence = decode_row(sample_application.LockRow, octets).fence
        last_fence = self._last_fences.get(resource, 0)
        if fence <= last_fence:
            text = f"{resource}: fence {fence} after {last_fence}"
            self._recorder.record_violation(Rule.FENCES_INCREASE, at_ms, text)
        self._last_fences[resource] = fence


class HaltRules:
    """From the command that halts to the one that resumes, no permit is granted and no stage is opened."""

    def __init__(self, recorder: RuleRecorder):
        self._recorder = recorder
        self._is_halted = False

    def __call__(self, at_ms: float, applied: AppliedCommand, rows_before: RowsBefore) -> None:
        """Check one command."""
        halts = [change for change in applied.changes if change.table == disruption_tables.HALT]
        if self._is_halted and not halts:
            for change in applied.changes:
                row_before = rows_before.get((change.table, change.key))
                self._check_change(at_ms, applied.index, change, row_before)
        for change in halts:
            self._is_halted = change.octets is not None

    def _check_change(self, at_ms: float, index: int, change: messages.RowChange, row_before: bytes | None) -> None:
        if change.table == disruption_tables.PERMITS:
            self._recorder.record_check(Rule.HALT_IS_OBEYED)
            old = decode_row(disruption_tables.PermitRow, row_before)
            new = decode_row(disruption_tables.PermitRow, change.octets)
            if new is not None and new.state == "given" and (old is None or old.state != "given"):
                text = f"permit {change.key} is given at {index}, under a halt"
                self._recorder.record_violation(Rule.HALT_IS_OBEYED, at_ms, text)
        if change.table == disruption_tables.RELEASES:
            self._recorder.record_check(Rule.HALT_IS_OBEYED)
            old = decode_row(disruption_tables.ReleaseRow, row_before)
            new = decode_row(disruption_tables.ReleaseRow, change.octets)
            if new is not None and new.stage > (old.stage if old is not None else 0):
                text = f"release {change.key} opens stage {new.stage} at {index}, under a halt"
                self._recorder.record_violation(Rule.HALT_IS_OBEYED, at_ms, text)

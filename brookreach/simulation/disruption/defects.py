"""Defects that the simulated drill can inject; its invariants must find each of them."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any  # a defect replaces a function of any form

from msgspec import structs

from brookreach.coordination.state_machine.application import CommandRejectedError, StagedChanges
from brookreach.disruption import halt, permits, releases, targets
from brookreach.disruption.states import ACTIVE_STATES, PermitState, TargetStatus
from brookreach.disruption.tables import HALT, BalancerRow, NodeRow, PermitRow
from brookreach.simulation.defect import Plants
from brookreach.simulation.disruption import sequential_group

Target = NodeRow | BalancerRow
Function = Callable[..., Any]


def _as_if_ready(row: Target) -> Target:
    return structs.replace(row, status=TargetStatus.READY)


def _ignore_unplanned_outages(original: Function) -> Function:
    def is_unavailable(row: Target, target_permits: Sequence[tuple[str, PermitRow]]) -> bool:
        return bool(original(_as_if_ready(row), target_permits))

    return is_unavailable


def _end_overdue_permits(_original: Function) -> Function:
    def set_overdue(draft: StagedChanges, name: str) -> None:
        permit = permits.find_permit(draft, name)
        if permit is not None and permit.state in ACTIVE_STATES:
            overdue_ms = permit.granted_ms + permits.OVERDUE_AFTER_MS
            permits.finish(draft, overdue_ms, name, PermitState.ENDED, "timed out")

    return set_overdue


def _forget_halts_in_snapshots(_original: Function) -> Function:
    def snapshot_tables(tables: Mapping[str, Any]) -> Mapping[str, Any]:
        return {name: row_type for name, row_type in tables.items() if name != HALT}

    return snapshot_tables


def _resume_by_any_fence(_original: Function) -> Function:
    def resume(draft: StagedChanges, fence: int) -> None:  # noqa: ARG001  # the form of what it replaces
        if halt.current_halt(draft) is None:
            raise CommandRejectedError("nothing is halted")
        draft.put(HALT, halt.HALT_KEY, None)

    return resume


def _allow_rolled_back_builds(_original: Function) -> Function:
    return lambda _view, _command: None


def _return_in_same_incarnation(_original: Function) -> Function:
    def has_target_returned(_permit: PermitRow, row: Target, _applied_index: int) -> bool:
        return row.status == TargetStatus.READY

    return has_target_returned


def _return_before_warm(original: Function) -> Function:
    def has_target_returned(permit: PermitRow, row: Target, applied_index: int) -> bool:
        return bool(original(permit, _as_if_ready(row), applied_index))

    return has_target_returned


PLANTS: Plants = {
    "planned-only": (targets, "is_unavailable", _ignore_unplanned_outages),
    "timed-out": (permits, "set_overdue", _end_overdue_permits),
    "halt-forgotten": (sequential_group, "snapshot_tables", _forget_halts_in_snapshots),
    "any-fence": (halt, "resume", _resume_by_any_fence),
    "sent-back-returns": (releases, "check_startable", _allow_rolled_back_builds),
    "old-life-is-back": (permits, "has_target_returned", _return_in_same_incarnation),
    "cold-is-back": (permits, "has_target_returned", _return_before_warm),
}

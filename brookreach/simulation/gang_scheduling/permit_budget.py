"""Permits by one number of moves at once: the least that disruption promises."""

from __future__ import annotations

from msgspec.structs import replace

from brookreach.coordination.state_machine.application import Context, StagedChanges
from brookreach.disruption import states
from brookreach.disruption.states import PermitAction
from brookreach.disruption.tables import PERMITS, PermitRow
from brookreach.gang_scheduling.disruption_permits import PermitState, PermitStatus


class PermitBudget:
    """A `gang_scheduling.disruption_permits.PermitProvider`: most urgent first, then oldest."""

    def __init__(self, max_granted: int) -> None:
        self._max_granted = max_granted

    def request(
        self, draft: StagedChanges, context: Context, name: str, node: str, urgency: int, reason: str
    ) -> str | None:
        """Waits for a permit; it is never refused."""
        gang = name.split(":")[1]
        draft.put(
            PERMITS,
            name,
            PermitRow(
                PermitAction.MIGRATE, node, gang, urgency, context.now_ms, states.PermitState.WAITING, reason=reason
            ),
        )
        self._grant(draft, context)
        return None

    def status(self, draft: StagedChanges, name: str) -> PermitStatus:
        """Returns how far the permit is."""
        row: PermitRow | None = draft.get(PERMITS, name)
        if row is None:
            return PermitStatus(PermitState.ABSENT)
        if not row.granted_ms:
            return PermitStatus(PermitState.WAITING)
        return PermitStatus(PermitState.GRANTED, row.granted_ms)

    def end(self, draft: StagedChanges, context: Context, name: str, reason: str) -> None:  # noqa: ARG002  a provider's
        """Ends the permit, and grants others."""
        draft.put(PERMITS, name, None)
        self._grant(draft, context)

    def _grant(self, draft: StagedChanges, context: Context) -> None:
        rows = list(draft.rows(PERMITS))
        free = self._max_granted - sum(row.state == "given" for _, row in rows)
        waiting = sorted((-row.urgency, row.requested_ms, name) for name, row in rows if row.state == "waiting")
        for _, _, name in waiting[: max(0, free)]:
            row = draft.get(PERMITS, name)
            granted = replace(row, state=states.PermitState.GRANTED, granted_ms=context.now_ms, fence=context.index)
            draft.put(PERMITS, name, granted)

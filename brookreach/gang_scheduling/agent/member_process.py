"""One incarnation of a member on a node, as its agent knows it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from brookreach.gang_scheduling.errors import IllegalTransitionError


class ProcessState(Enum):
    """How far an incarnation is."""

    LOADING = "loading"
    READY = "ready"  # restored, waits for the other members
    WORKING = "working"
    SAVING = "saving"
    SAVED = "saved"  # waits for the other members
    DYING = "dying"


ALLOWED_TRANSITIONS = {
    ProcessState.LOADING: (ProcessState.READY, ProcessState.DYING),
    ProcessState.READY: (ProcessState.WORKING, ProcessState.SAVING, ProcessState.DYING),
    ProcessState.WORKING: (ProcessState.WORKING, ProcessState.SAVING, ProcessState.DYING),
    ProcessState.SAVING: (ProcessState.SAVED, ProcessState.SAVING, ProcessState.WORKING, ProcessState.DYING),
    ProcessState.SAVED: (ProcessState.WORKING, ProcessState.SAVING, ProcessState.DYING),
    ProcessState.DYING: (),
}


@dataclass(slots=True)
class MemberProcess:
    """One incarnation.

    Attributes:
        fencing_token: It was started under.
        epoch: The newest that it was asked to save, or was told is over.
        state: How far it is.
        waiting_tokens: Of tasks that are answered when the step under way ends.
        checkpointed_work_ms: In the epoch that it saved last.
    """

    fencing_token: int
    epoch: int
    state: ProcessState = ProcessState.LOADING
    waiting_tokens: list[str] = field(default_factory=list)
    checkpointed_work_ms: int = 0

    def enter(self, state: ProcessState) -> None:
        """Changes the state.

        Raises:
            IllegalTransitionError: if the present state does not allow it; the agent checks before.
        """
        allowed = ALLOWED_TRANSITIONS[self.state]
        if state not in allowed:
            names = ", ".join(other.value for other in allowed) or "none"
            raise IllegalTransitionError(f"{self.state.value} to {state.value}; allowed: {names}")
        self.state = state

    def add_waiting(self, token: str) -> None:
        """Has a task answered when the step under way ends; once, however often it comes."""
        if token not in self.waiting_tokens:
            self.waiting_tokens.append(token)

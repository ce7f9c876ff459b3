"""The states of a gang and of a member, and which state of a gang may follow which.

The values are stored in rows and printed by commands, so they must never change.
"""

from __future__ import annotations

from enum import StrEnum

from brookreach.gang_scheduling.errors import IllegalTransitionError


class GangState(StrEnum):
    """How far a gang is; in alphabetical order, as the samples of stored rows are."""

    CHECKPOINTING = "checkpointing"  # all members pause and save their work
    DONE = "done"
    FAILED = "failed"
    MOVING = "moving"  # some members start elsewhere, the others are paused
    PLACING = "placing"  # all members have slots, some do not run yet
    RUNNING = "running"
    WAITING = "waiting"  # no member is to run


class MemberState(StrEnum):
    """What a member is to do, as far as its agents have reported; in alphabetical order."""

    FENCING = "fencing"  # an incarnation on the previous node has to end first
    NONE = "none"  # never placed
    RUNNING = "running"
    STARTING = "starting"
    STOPPED = "stopped"


FINAL_STATES = (GangState.DONE, GangState.FAILED)

ALLOWED_TRANSITIONS = {
    GangState.WAITING: (GangState.PLACING, GangState.FAILED),
    GangState.PLACING: (GangState.RUNNING, GangState.WAITING, GangState.FAILED),
    GangState.RUNNING: (GangState.CHECKPOINTING, GangState.MOVING, GangState.WAITING, GangState.FAILED),
    GangState.CHECKPOINTING: (
        GangState.RUNNING,
        GangState.MOVING,
        GangState.WAITING,
        GangState.DONE,
        GangState.FAILED,
    ),
    GangState.MOVING: (GangState.RUNNING, GangState.WAITING, GangState.FAILED),
    GangState.DONE: (),
    GangState.FAILED: (),
}


def check_transition(gang: str, previous: GangState | None, new: GangState | None) -> None:
    """Checks one change between the state before a record and after it.

    One record may take a gang through two steps: the states between are not seen, so each pair of steps is allowed.

    Args:
        gang: The gang's name, for the error.
        previous: The state before; None where the gang did not exist.
        new: The state after; None where its rows were removed.

    Raises:
        IllegalTransitionError: if no two steps lead from `previous` to `new`.
    """
    if previous == new:
        return
    if new is None and previous in FINAL_STATES:
        return
    reachable = _reachable_in_one_record(previous) if new is not None else set()
    if new not in reachable:
        allowed = ", ".join(sorted(reachable)) or "none"
        raise IllegalTransitionError(f"{gang}: {previous or 'new'} to {new or 'removed'}; allowed: {allowed}")


def _reachable_in_one_record(state: GangState | None) -> set[GangState]:
    next_states = ALLOWED_TRANSITIONS[state] if state is not None else (GangState.WAITING,)
    reachable = set(next_states)
    for between in next_states:
        reachable.update(ALLOWED_TRANSITIONS[between])
    return reachable

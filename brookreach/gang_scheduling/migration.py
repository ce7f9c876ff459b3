"""What a running gang does next about its checkpoints and the notices on its nodes. Pure: facts in, one
step out.

It owns when to checkpoint, which members leave, and when it is better to go back to the last checkpoint. It
must never start to leave a node that stands without a permit, nor ask for a checkpoint that can't end in
time where the work it would keep is to be lost with a node anyway.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Literal

from brookreach.disruption.tables import NodeRow
from brookreach.gang_scheduling.tables import GangRow

AHEAD_MS = 1_800_000  # a notice farther off than this waits for the next checkpoint that is due anyway
DRAIN_MS = 60_000  # what a node that drains is taken to stand for, from then on
HOLD_MS = 5_000  # the least that permits given are held for others that are not; else what a move costs
SPARE_MS = 2_000  # between the end of a checkpoint and the node's

Act = Literal["go on", "ask", "save", "leave", "go back"]


@dataclass(frozen=True, slots=True)
class Post:
    """Where one member works, and when that node will not be there (0: it stays)."""

    number: int
    node: str
    leave_ms: int


@dataclass(frozen=True, slots=True)
class Sight:
    """A running gang at one moment."""

    now: int
    left_ms: int  # work to do
    finish_ms: int  # when it could be done, where it is
    unsaved_ms: int  # work since the last whole checkpoint
    asked_ms: int  # when the last checkpoint was asked for
    cost_ms: int
    load_ms: int
    interval_ms: int
    asked: bool = False  # permits are asked for already
    gang: str = ""


@dataclass(frozen=True, slots=True)
class Step:
    """`leave`: checkpoint, then the movers go. `go back`: the movers go now, the gang to its last epoch."""

    act: Act
    movers: tuple[int, ...]
    wake_ms: int
    reason: str


def leaves_ms(row: NodeRow | None, now: int) -> int:
    """When a node will not be there for work that runs on it; 0: no such time is known. `down` is what
    marshals see: the agent's session says whether work goes on there.
    """
    if row is None or row.status == "gone":
        return now
    drains = row.since_ms + DRAIN_MS if row.status == "draining" else 0
    told = [at for at in (drains, row.retires_ms) if at]
    return min(told) if told else 0


def needs_permit(row: NodeRow | None, now: int) -> bool:
    """Not off a node that is out already: gone, past its time, or drained (which has a permit of its own)."""
    if row is None or row.status in ("gone", "draining"):
        return False
    return not row.retires_ms or row.retires_ms > now


def save_by_ms(leave_ms: int, cost_ms: int) -> int:
    """The last moment to ask for a checkpoint that ends before the node does."""
    return leave_ms - cost_ms - SPARE_MS - cost_ms // 4


def begin_ms(sight: Sight, leave_ms: int) -> int:
    """From when on it tries to leave: far from the notice only together with a checkpoint that is due
    anyway.
    """
    ahead = max(AHEAD_MS, 8 * (sight.cost_ms + sight.load_ms))
    due = sight.now + max(0, sight.interval_ms - sight.unsaved_ms)
    return max(sight.now, min(due, leave_ms - ahead))


def decide(
    sight: Sight,
    posts: Sequence[Post],
    given_ms: Mapping[str, int],
    room: Callable[[tuple[int, ...]], bool],
    free_to_go: Callable[[str], bool],
) -> Step:
    """`given_ms`: permits that are given, by node; `free_to_go`: nodes that need none; `room`: is there
    any for these members elsewhere.
    """
    due = sight.now + max(0, sight.interval_ms - sight.unsaved_ms)
    leaving = sorted(
        (one for one in posts if one.leave_ms and one.leave_ms < sight.finish_ms),
        key=lambda one: (one.leave_ms, one.number),
    )
    if leaving and leaving[0].leave_ms <= sight.now:
        over = tuple(one.number for one in leaving if one.leave_ms <= sight.now)
        nodes = ", ".join(dict.fromkeys(one.node for one in leaving if one.leave_ms <= sight.now))
        return Step("go back", over, sight.now, f"{nodes} out: back to the last checkpoint")
    if sight.left_ms <= 0:
        return Step("save", (), sight.now, "last checkpoint: all work is done")
    wake = [due, sight.now + sight.left_ms]
    if leaving:
        step = _leave(sight, leaving, given_ms, room, free_to_go, wake)
        overdue = sight.unsaved_ms >= sight.interval_ms + HOLD_MS and sight.left_ms > sight.interval_ms // 2
        if step is not None and not (step.act == "ask" and overdue):
            return step
    if due <= sight.now and sight.left_ms > sight.interval_ms // 2:
        return Step("save", (), sight.now, f"checkpoint after {sight.unsaved_ms} ms of work")
    later = [at for at in wake if at > sight.now]
    return Step("go on", (), min(later) if later else sight.now + sight.cost_ms, "")


def _leave(
    sight: Sight,
    leaving: Sequence[Post],
    given_ms: Mapping[str, int],
    room: Callable[[tuple[int, ...]], bool],
    free_to_go: Callable[[str], bool],
    wake: list[int],
) -> Step | None:
    """A step because of notices; None: not yet, `wake` says when to look again."""
    now, first = sight.now, leaving[0]
    save_by = save_by_ms(first.leave_ms, sight.cost_ms)
    begin = begin_ms(sight, first.leave_ms)
    wake += [begin, save_by, first.leave_ms]
    movers: tuple[int, ...] = ()
    why = f"{first.node} leaves at {first.leave_ms}"
    if begin <= now or sight.asked:
        movers = tuple(one.number for one in leaving)  # all at once: a later move would cost as much again
        hold = 0 if save_by - SPARE_MS <= now else max(HOLD_MS, sight.cost_ms + sight.load_ms)
        may = _may_go(leaving, given_ms, free_to_go, now - hold)
        waits = sight.asked and not may  # then nothing is looked for
        if not waits and not room(may or movers):
            must = first.leave_ms + sight.cost_ms + sight.load_ms + SPARE_MS
            movers = tuple(one.number for one in leaving if one.leave_ms <= must)
            may = tuple(one for one in may if one in movers)
            if not room(may or movers):
                movers, may, why = (), (), f"{why}; no room for it elsewhere"
        if may and now <= save_by:
            return Step("leave", may, now, f"{why}: checkpoint, then members {_told(may)} move")
        if may:
            return Step("go back", may, now, f"{why}, before a checkpoint could end: back to the last one")
    kept = save_by - sight.cost_ms - SPARE_MS <= sight.asked_ms
    if save_by <= now <= first.leave_ms - sight.cost_ms and not kept and sight.unsaved_ms > sight.cost_ms:
        return Step("save", (), now, f"{why}, no leave to move yet: checkpoint while it stands")
    if movers:
        wake.append(now + HOLD_MS)
        return Step("ask", movers, min(at for at in wake if at > now), f"{why}: asks to move")
    return None


def _may_go(
    movers: Sequence[Post], given_ms: Mapping[str, int], free_to_go: Callable[[str], bool], before: int
) -> tuple[int, ...]:
    """All of them once all may; those that may, where the others have kept them waiting since `before`."""
    may = [one for one in movers if free_to_go(one.node) or one.node in given_ms]
    if len(may) == len(movers):
        return tuple(one.number for one in may)
    held = [given_ms[one.node] for one in may if one.node in given_ms]
    if may and (not held or min(held) <= before):
        return tuple(one.number for one in may)
    return ()


def _told(numbers: Sequence[int]) -> str:
    return ", ".join(str(one) for one in numbers)


def urgency(row: GangRow, sight: Sight, leave_ms: int) -> int:
    """0 to 9 for a permit: how soon the node goes beside what a move takes, and what is lost if it goes
    first: the deadline, or more work than a move costs.
    """
    span = sight.cost_ms + sight.load_ms
    slack = save_by_ms(leave_ms, sight.cost_ms) - sight.now
    first = 6 if slack <= 4 * span else 4 if slack <= 16 * span else 2
    stake = sight.unsaved_ms + max(0, leave_ms - sight.now)
    missed = bool(row.deadline_ms) and sight.finish_ms <= row.deadline_ms < sight.finish_ms + stake + span
    return min(9, first + (2 if missed else 0) + (1 if stake > 4 * span else 0))

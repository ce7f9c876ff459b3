"""The tables of gangs. Times are the agreed time in ms; work is ms of the whole gang's running."""

from __future__ import annotations

from typing import Literal

from brookreach.coordination.state_machine.application import Row

GANGS, MEMBERS, RESERVED_CAPACITY = "gangs", "members", "rooms"
SLOTS, AGENTS, QUEUE, TIMERS, RECONCILE_TIMES, TOTALS = (
    "gang-places",
    "gang-hands",
    "gang-queue",
    "gang-dues",
    "gang-wakes",
    "gang-sums",
)

GangState = Literal["waiting", "placing", "running", "checkpointing", "moving", "done", "failed"]


class GangRow(Row, frozen=True):
    """What the operator asked for, and how far it is. `epoch` is the last checkpoint that all confirmed."""

    members: int
    room: int  # of each member
    work_ms: int  # in all
    cost_ms: int  # of a checkpoint, measured
    load_ms: int  # of going on from one
    deadline_ms: int
    zones: tuple[str, ...]  # allowed; none: all
    builds: tuple[int, ...]
    flexible: bool
    state: GangState
    since_ms: int
    kept_ms: int = 0  # work in the last whole checkpoint
    done_ms: int = 0  # work done since, at `since_ms`
    epoch: int = 0
    asked_epoch: int = 0
    asked_ms: int = 0
    lost_ms: int = 0  # work done twice, up to now
    order: int = 0  # the log's place of the last plan that holds
    reason: str = ""
    submitted_ms: int = 0
    latest_ms: int = 0  # its place in the queue: when it has to begin
    tries: int = 0  # times it fell since its last whole checkpoint
    permits: tuple[str, ...] = ()  # asked for or held, by name
    fell: str = ""  # why it last went back or was broken off


class MemberRow(Row, frozen=True):
    """By "gang/number": where it is to run and under which fence; `at` and `held` are as its agent said."""

    node: str
    life: int  # of the node
    fence: int
    state: Literal["none", "fencing", "starting", "running", "stopped"]
    epoch: int  # the last that it confirmed
    old_node: str = ""  # what must have let go before the new one starts
    old_fence: int = 0
    old_life: int = 0
    next_node: str = ""  # room held there, for when the checkpoint under way is whole
    next_life: int = 0
    work_ms: int = 0  # as it confirmed with `epoch`


class ReservedCapacityRow(Row, frozen=True):
    """By node: room that gangs hold or have reserved there."""

    taken: int


class SlotRow(Row, frozen=True):
    """By "node/gang/number": one member's room on a node; all of a node's together are its RoomRow."""

    room: int


class AgentRow(Row, frozen=True):
    """By node: the one session of its agent that may carry out orders, and the node's life it spoke for."""

    session: int  # 0: ended, at `ended_ms`; what it started may work for `seats.LET_GO_MS` more
    life: int
    ended_ms: int = 0


class QueueRow(Row, frozen=True):
    """By "latest begin/gang": a gang that waits for room."""

    since_ms: int


class TimerRow(Row, frozen=True):
    """By "time/name": a gang to be looked at then; "time/@" is a round of placing, "time/@node" a hand
    that ended.
    """

    name: str


class ReconcileTimeRow(Row, frozen=True):
    """By gang: its place in DUES. Not in its own row, which agents watch, and which a look alone leaves
    as it is.
    """

    at_ms: int


class TotalsRow(Row, frozen=True):
    """Stands at key "all": what the whole fleet's gangs have measured, and when the next round is."""

    ran_ms: int = 0  # of members, summed
    failures: int = 0  # members lost without notice
    round_ms: int = 0

"""The tables of gang scheduling.

Moments are the agreed time in ms; work is ms of the whole gang's running. Rows are stored by the position of their
fields. A field's encoded name is what `brookreach fleet show` prints and must stay.
"""

from __future__ import annotations

import msgspec

from brookreach.coordination.state_machine.application import Row
from brookreach.gang_scheduling.gang_state import GangState, MemberState

GANGS = "gangs"
MEMBERS = "members"
RESERVED_CAPACITY = "rooms"
SLOTS = "gang-places"
AGENTS = "gang-hands"
QUEUE = "gang-queue"
TIMERS = "gang-dues"
RECONCILE_TIMES = "gang-wakes"
TOTALS = "gang-sums"

TOTALS_KEY = "all"


class GangRow(Row, frozen=True):
    """What the operator asked for, and how far the gang is, by its name."""

    member_count: int = msgspec.field(name="members")
    member_capacity: int = msgspec.field(name="room")  # that each member takes of its node
    work_ms: int  # in all
    checkpoint_cost_ms: int = msgspec.field(name="cost_ms")  # as measured last
    restore_cost_ms: int = msgspec.field(name="load_ms")  # of starting from a checkpoint
    deadline_ms: int
    zones: tuple[str, ...]  # allowed; none: all
    builds: tuple[int, ...]
    flexible: bool
    state: GangState
    since_ms: int  # of the state
    checkpointed_work_ms: int = msgspec.field(name="kept_ms", default=0)  # in the last complete checkpoint
    unsaved_work_ms: int = msgspec.field(name="done_ms", default=0)  # since that checkpoint, up to `since_ms`
    epoch: int = 0  # of the last checkpoint that all members confirmed
    requested_epoch: int = msgspec.field(name="asked_epoch", default=0)
    requested_ms: int = msgspec.field(name="asked_ms", default=0)  # when the last checkpoint was requested
    lost_work_ms: int = msgspec.field(name="lost_ms", default=0)  # done twice, up to now
    plan_index: int = msgspec.field(name="order", default=0)  # log index of the plan that holds
    reason: str = ""
    submitted_ms: int = 0
    latest_start_ms: int = msgspec.field(name="latest_ms", default=0)  # its position in the queue
    failures: int = msgspec.field(name="tries", default=0)  # since its last complete checkpoint
    permits: tuple[str, ...] = ()  # names of those requested or granted
    last_failure: str = msgspec.field(name="fell", default="")  # why it last went back or was broken off


class MemberRow(Row, frozen=True):
    """Where a member is to run and under which fencing token, by "gang/number"."""

    node: str
    node_incarnation: int = msgspec.field(name="life")
    fencing_token: int = msgspec.field(name="fence")
    state: MemberState
    confirmed_epoch: int = msgspec.field(name="epoch")
    previous_node: str = msgspec.field(name="old_node", default="")  # has to release it before `node` starts it
    previous_fencing_token: int = msgspec.field(name="old_fence", default=0)
    previous_node_incarnation: int = msgspec.field(name="old_life", default=0)
    next_node: str = ""  # reserved there, for when the checkpoint under way is complete
    next_node_incarnation: int = msgspec.field(name="next_life", default=0)
    confirmed_work_ms: int = msgspec.field(name="work_ms", default=0)  # with `confirmed_epoch`


class ReservedCapacityRow(Row, frozen=True):
    """The capacity that gangs have reserved on a node, by the node's name."""

    reserved: int = msgspec.field(name="taken")


class SlotRow(Row, frozen=True):
    """One member's reservation on a node, by "node/gang/number"; a node's slots add up to its reserved capacity."""

    capacity: int = msgspec.field(name="room")


class AgentRow(Row, frozen=True):
    """The one session of a node's agent that may carry out tasks, by the node's name."""

    session: int  # 0: ended, at `ended_ms`; what it started may work for `members.RELEASE_DELAY_MS` more
    node_incarnation: int = msgspec.field(name="life")
    ended_ms: int = 0


class QueueRow(Row, frozen=True):
    """A gang that waits for capacity, by "latest start/gang"."""

    since_ms: int


class TimerRow(Row, frozen=True):
    """What is due at a moment, by "time/name".

    The name is a gang's, to be reconciled; "@" for a round of placement; "@node" for an agent's session that ended.
    """

    name: str


class ReconcileTimeRow(Row, frozen=True):
    """When a gang is reconciled next, by its name.

    It stands apart from the gang's own row, which agents watch and which a reconciliation may leave as it is.
    """

    at_ms: int


class TotalsRow(Row, frozen=True):
    """What all gangs together have measured, and when the next round of placement is; at `TOTALS_KEY`."""

    member_run_ms: int = msgspec.field(name="ran_ms", default=0)  # summed over members
    failures: int = 0  # members lost without notice
    next_round_ms: int = msgspec.field(name="round_ms", default=0)  # 0: none is due

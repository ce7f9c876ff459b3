"""One record's changes to the tables of gang scheduling, so that sums and indexes never disagree.

It owns what follows from other rows: the slots and what is reserved on each node, and the queue. Nothing else puts
these rows. It must never decide what is to become of a gang.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import cached_property

from msgspec.structs import replace

from brookreach.coordination.state_machine.application import (
    CommandRejectedError,
    Context,
    RowUpdate,
    StagedChanges,
    View,
)
from brookreach.disruption.tables import NODES, NodeRow
from brookreach.gang_scheduling import members
from brookreach.gang_scheduling.disruption_permits import PermitProvider
from brookreach.gang_scheduling.gang_state import GangState
from brookreach.gang_scheduling.member_key import MemberKey
from brookreach.gang_scheduling.placement import CapacityIndex
from brookreach.gang_scheduling.tables import (
    AGENTS,
    GANGS,
    MEMBERS,
    QUEUE,
    RESERVED_CAPACITY,
    SLOTS,
    AgentRow,
    GangRow,
    MemberRow,
    QueueRow,
    ReservedCapacityRow,
    SlotRow,
)
from brookreach.gang_scheduling.timers import GangTimers, timer_key

MAX_PERMIT_REASON_LENGTH = 200


class Transaction:
    """The state as one record changes it.

    Attributes:
        context: Of the record.
        changes: The rows with what the record has changed so far.
        permits: By which members may be moved off nodes that stand.
        now_ms: The agreed time of the record.
        log_index: The record's, and so the fencing token of what it starts.
        timers: What time alone will do.
    """

    def __init__(self, view: View, context: Context, permits: PermitProvider) -> None:
        self.context = context
        self.changes = StagedChanges(view)
        self.permits = permits
        self.now_ms = context.now_ms
        self.log_index = context.index
        self.timers = GangTimers(self.changes, self.now_ms)
        self._capacity: CapacityIndex | None = None

    @property
    def capacity(self) -> CapacityIndex:
        """All targets, read once for a record; what it has reserved before is taken from them."""
        if self._capacity is None:
            self._capacity = CapacityIndex(self.changes, self.now_ms)
        return self._capacity

    @cached_property
    def waiting_count(self) -> int:
        """How many gangs wait, as the record's first question found it."""
        return self.changes.count(QUEUE)

    # --- rows as they stand ---

    def find_gang(self, name: str) -> GangRow | None:
        """Returns a gang's row; None where there is none."""
        row: GangRow | None = self.changes.get(GANGS, name)
        return row

    def gang(self, name: str) -> GangRow:
        """Returns a gang's row.

        Raises:
            CommandRejectedError: if there is none.
        """
        row = self.find_gang(name)
        if row is None:
            raise CommandRejectedError(f"no gang {name!r}")
        return row

    def member(self, gang: str, number: int) -> MemberRow:
        """Returns a member's row; `members.UNASSIGNED` where it was never placed."""
        row: MemberRow | None = self.changes.get(MEMBERS, MemberKey(gang, number).text)
        return members.UNASSIGNED if row is None else row

    def members_of(self, gang: str) -> dict[int, MemberRow]:
        """Returns all of a gang's members by their numbers, in order."""
        return {number: self.member(gang, number) for number in range(self.gang(gang).member_count)}

    def node(self, name: str) -> NodeRow | None:
        """Returns a node's row, which disruption owns."""
        row: NodeRow | None = self.changes.get(NODES, name)
        return row

    def agent(self, node: str) -> AgentRow | None:
        """Returns the registration of a node's agent."""
        row: AgentRow | None = self.changes.get(AGENTS, node)
        return row

    def members_on_node(self, node: str) -> list[MemberKey]:
        """Returns each member that holds capacity there, in order."""
        found = []
        for key, _ in self.changes.rows(SLOTS, f"{node}/"):
            _, gang, number = key.split("/")
            found.append(MemberKey(gang, int(number)))
        return found

    def sender_registration(self) -> AgentRow:
        """Returns the registration of the agent that sent this record.

        Raises:
            CommandRejectedError: if its session is not the one that carries out tasks on its node.
        """
        row = self.agent(self.context.client)
        if row is None or row.session != self.context.session or not row.session:
            sender = f"{self.context.client}: session {self.context.session}"
            raise CommandRejectedError(f"{sender} has not said Here, or was ended")
        return row

    # --- changes of gangs and members ---

    def put_member(self, gang: str, number: int, row: MemberRow) -> None:
        """Puts a member's row, and reserves or gives back the capacity on each node that it holds."""
        key = MemberKey(gang, number)
        capacity = self.gang(gang).member_capacity
        before = members.reserved_nodes(self.member(gang, number))
        after = members.reserved_nodes(row)
        for node in before:
            if node not in after:
                self._put_slot(node, key, None)
                self._reserve(node, -capacity)
        for node in after:
            if node not in before:
                self._put_slot(node, key, SlotRow(capacity))
                self._reserve(node, capacity)
        self.changes.put(MEMBERS, key.text, None if row == members.UNASSIGNED else row)

    def _put_slot(self, node: str, key: MemberKey, row: SlotRow | None) -> None:
        self.changes.put(SLOTS, f"{node}/{key.text}", row)

    def _reserve(self, node: str, capacity: int) -> None:
        held: ReservedCapacityRow | None = self.changes.get(RESERVED_CAPACITY, node)
        reserved = (held.reserved if held else 0) + capacity
        self.changes.put(RESERVED_CAPACITY, node, ReservedCapacityRow(reserved) if reserved else None)
        if self._capacity is not None:
            self._capacity.allocate(node, capacity)
        if capacity < 0 and self.changes.base.count(QUEUE):
            self.timers.schedule_round(self.now_ms)

    def put_gang(self, name: str, row: GangRow) -> None:
        """Puts a gang's row, and its entry in the queue."""
        previous = self.find_gang(name)
        previous_entry = _queue_key(name, previous) if previous is not None else None
        entry = _queue_key(name, row)
        if previous_entry is not None and previous_entry != entry:
            self.changes.put(QUEUE, previous_entry, None)
        if entry is not None and previous_entry != entry:
            self.changes.put(QUEUE, entry, QueueRow(row.since_ms))
            self.timers.schedule_round(self.now_ms)
        self.changes.put(GANGS, name, row)

    def change_gang(self, name: str, reconcile_ms: int | None = None, **fields: object) -> GangRow:
        """Changes some fields of a gang's row; where nothing differs, the row isn't put.

        Args:
            name: The gang's.
            reconcile_ms: When it is reconciled next, 0 for never; None leaves that as it is.
            **fields: The row's, by attribute.
        """
        previous = self.gang(name)
        row = replace(previous, **fields)
        if row != previous:
            self.put_gang(name, row)
        if reconcile_ms is not None:
            self.timers.schedule_reconcile(name, reconcile_ms)
        return row

    def remove_gang(self, name: str) -> None:
        """Removes the rows of a gang that has ended, once no node is held for it."""
        for number in self.members_of(name):
            self.put_member(name, number, members.UNASSIGNED)
        self.timers.schedule_reconcile(name, 0)
        self.changes.put(GANGS, name, None)

    def end_permits(self, names: Iterable[str], reason: str) -> None:
        """Ends permits that are not needed any more."""
        for name in names:
            self.permits.end(self.changes, self.context, name, reason[:MAX_PERMIT_REASON_LENGTH])

    def effective_updates(self) -> list[RowUpdate]:
        """Returns what the record changes, without rows that were put back as they were."""
        before = self.changes.base
        return [update for update in self.changes.updates() if before.get(update.table, update.key) != update.row]


def _queue_key(name: str, row: GangRow) -> str | None:
    """Returns the key of a gang's entry in the queue; None where it doesn't wait."""
    return timer_key(row.latest_start_ms, name) if row.state == GangState.WAITING else None

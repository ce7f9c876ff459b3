"""Which waiting gangs are placed, in which order, and which may go first without keeping another waiting longer.

It owns the rounds of placement, which backfill as EASY does (Lifka, "The ANL/IBM SP scheduling system", 1995): the
first in order for which there is no capacity gets a reservation of what will be free by the time when enough others
have ended; whoever comes after it runs only beside that, or ends before. It must never place a gang in part, nor
let one that came later push that reservation back.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from brookreach.gang_scheduling import estimates, transitions
from brookreach.gang_scheduling.gang_state import GangState
from brookreach.gang_scheduling.node_search import PlacementRequest, find_nodes
from brookreach.gang_scheduling.placement import CapacityIndex, NodeCapacity, is_allowed
from brookreach.gang_scheduling.tables import QUEUE, SLOTS, GangRow
from brookreach.gang_scheduling.transaction import Transaction

ROUND_INTERVAL_MS = 5_000  # while any gang waits
MINUTE_MS = 60_000
OCCUPYING_STATES = (GangState.PLACING, GangState.RUNNING, GangState.CHECKPOINTING, GangState.MOVING)


@dataclass(frozen=True, slots=True)
class PlacementPreference:
    """Where and from when on a gang is to begin; no zones: any."""

    zones: tuple[str, ...]
    start_ms: int


PreferPlacement = Callable[[Transaction, str, GangRow], PlacementPreference]


@dataclass(slots=True)
class BackfillReservation:
    """Capacity held for one gang: what is free of it now is taken from the index, so that others plan beside it.

    Attributes:
        gang: The gang's name.
        at_ms: When all of it will be free.
        capacity_by_node: What the gang will take; nothing where others' end makes no room for it.
    """

    gang: str
    at_ms: int
    capacity_by_node: dict[str, int] = field(default_factory=dict)
    _held_now: dict[str, int] = field(default_factory=dict)

    def hold(self, index: CapacityIndex) -> None:
        """Takes what is free of it now from the index."""
        for name, capacity in self.capacity_by_node.items():
            node = index.nodes.get(name)
            held = min(capacity, max(0, node.free)) if node else 0
            if held:
                self._held_now[name] = held
                index.allocate(name, held)

    def release(self, index: CapacityIndex) -> None:
        """Gives what is held back to the index, for a gang that ends before `at_ms`."""
        for name, capacity in self._held_now.items():
            index.allocate(name, -capacity)
        self._held_now = {}


def place_waiting(transaction: Transaction, prefer: PreferPlacement | None = None) -> None:
    """Runs one round of placement; `prefer` is asked for flexible gangs."""
    transaction.timers.finish_round()
    placement_round = _PlacementRound(transaction)
    for key, _ in list(transaction.changes.rows(QUEUE)):
        name = key.partition("/")[2]
        placement_round.visit(name, _preference(transaction, name, prefer))
    if placement_round.has_waiting:
        transaction.timers.schedule_round(transaction.now_ms + ROUND_INTERVAL_MS)


def _preference(transaction: Transaction, name: str, prefer: PreferPlacement | None) -> PlacementPreference:
    row = transaction.gang(name)
    if prefer is None or not row.flexible:
        return PlacementPreference((), transaction.now_ms)
    return prefer(transaction, name, row)


class _PlacementRound:
    """One pass over the queue, in order."""

    def __init__(self, transaction: Transaction) -> None:
        self.has_waiting = False
        self._transaction = transaction
        self._reservation: BackfillReservation | None = None

    def visit(self, name: str, preference: PlacementPreference) -> None:
        """Places a gang or notes why it waits."""
        transaction = self._transaction
        row = transaction.gang(name)
        if preference.start_ms > transaction.now_ms and row.latest_start_ms > transaction.now_ms:
            self._note_waiting(name, row, f"waits until {preference.start_ms} for cleaner power")
            return
        end_ms = estimates.expected_end_after_restore_ms(transaction, row)
        request = PlacementRequest(row, row.member_count, end_ms, preference.zones)
        if self._place(name, request):
            return
        if self._reservation is not None:
            self._note_waiting(name, row, f"waits for room, behind {self._reservation.gang}")
            return
        self._reservation = _reserve_for(transaction, name, row)
        self._note_waiting(name, row, _why_waiting(transaction, row, self._reservation))

    def _place(self, name: str, request: PlacementRequest) -> bool:
        transaction = self._transaction
        found = find_nodes(transaction.capacity, request)
        if found is not None:
            transitions.place(transaction, name, found)
            return True
        reservation = self._reservation
        if reservation is None or request.end_ms > reservation.at_ms:
            return False
        reservation.release(transaction.capacity)
        found = find_nodes(transaction.capacity, request)
        if found is not None:
            transitions.place(transaction, name, found)
        reservation.hold(transaction.capacity)
        return found is not None

    def _note_waiting(self, name: str, row: GangRow, reason: str) -> None:
        self.has_waiting = True
        if row.reason != reason:
            self._transaction.change_gang(name, reason=reason)


def _why_waiting(transaction: Transaction, row: GangRow, reservation: BackfillReservation) -> str:
    """Returns a text that does not change while nothing does."""
    fitting = sum(
        max(0, node.free) // row.member_capacity
        for node in transaction.capacity.nodes.values()
        if is_allowed(row, node.zone, node.build) and not node.retires_ms
    )
    wanted = f"waits for room: {row.member_count} members of {row.member_capacity} each"
    places = f"{wanted}, {fitting} places on nodes that stay"
    if not reservation.capacity_by_node:
        return f"{places}, and none by others' end"
    full_minute_ms = (reservation.at_ms // MINUTE_MS + 1) * MINUTE_MS
    return f"{places}; room by {full_minute_ms}"


def _reserve_for(transaction: Transaction, name: str, row: GangRow) -> BackfillReservation:
    """Finds when there will be capacity if all that runs ends when it is expected to, and where."""
    later = CapacityIndex(transaction.changes, transaction.now_ms)
    held_by_gang = _held_by_gang(transaction)
    duration_ms = estimates.expected_end_after_restore_ms(transaction, row) - transaction.now_ms
    for release_ms, other in sorted((_release_ms(transaction, other), other) for other in held_by_gang):
        for held in held_by_gang[other]:
            later.allocate(held.node, -held.capacity)
        request = PlacementRequest(row, row.member_count, release_ms + duration_ms)
        found = find_nodes(later, request)
        if found is not None:
            reservation = BackfillReservation(name, release_ms, _capacity_by_node(row, found))
            reservation.hold(transaction.capacity)
            return reservation
    return BackfillReservation(name, transaction.now_ms)


@dataclass(frozen=True, slots=True)
class _HeldCapacity:
    node: str
    capacity: int


def _held_by_gang(transaction: Transaction) -> dict[str, list[_HeldCapacity]]:
    held: dict[str, list[_HeldCapacity]] = defaultdict(list)
    for key, slot in transaction.changes.rows(SLOTS):
        node, gang, _ = key.split("/")
        held[gang].append(_HeldCapacity(node, slot.capacity))
    return held


def _capacity_by_node(row: GangRow, found: list[NodeCapacity]) -> dict[str, int]:
    capacity: dict[str, int] = defaultdict(int)
    for node in found:
        capacity[node.node] += row.member_capacity
    return dict(capacity)


def _release_ms(transaction: Transaction, name: str) -> int:
    """Returns when a gang's capacity is free: of one that is being stopped, soon."""
    row = transaction.gang(name)
    if row.state not in OCCUPYING_STATES:
        return transaction.now_ms
    return estimates.expected_end_ms(transaction, row)

"""Where and when a flexible gang that waits is to begin, by the carbon-aware scheduler.

It owns what that scheduler is told of a gang and of the capacity there is. It must never hold a gang back where no
schedule is agreed, nor longer than its deadline allows; nor plan for so many in one record that a replica is held up.
"""

from __future__ import annotations

import zlib

from brookreach.carbon_aware.placement import FlexibleJob
from brookreach.carbon_aware.reservations import release, reserve, upcoming_intervals
from brookreach.carbon_aware.scheduler import choose_placement
from brookreach.carbon_aware.tables import ACTIVE_SCHEDULE, RESERVATIONS, SLOT_MS, ReservationRow
from brookreach.gang_scheduling import estimates
from brookreach.gang_scheduling.gang_state import FINAL_STATES, GangState
from brookreach.gang_scheduling.queue import ROUND_INTERVAL_MS, PlacementPreference
from brookreach.gang_scheduling.tables import GANGS, GangRow
from brookreach.gang_scheduling.transaction import Transaction

MAX_PLANS_PER_RECORD = 4  # on average: each can take 20 ms, and a leader not heard for 300 is replaced
SCHEDULE_KEY = "all"


def reservation_owner(name: str) -> str:
    """Returns the name under which a gang's capacity is reserved with the carbon-aware scheduler."""
    return f"gang:{name}"


def free_by_zone(transaction: Transaction) -> dict[str, int]:
    """Returns the capacity for flexible work: what is free, and what flexible gangs hold."""
    free: dict[str, int] = {}
    for node in transaction.capacity.nodes.values():
        if not node.retires_ms:
            free[node.zone] = free.get(node.zone, 0) + max(0, node.free)
    for name, row in transaction.changes.rows(GANGS):
        if not row.flexible or row.state == GangState.WAITING or row.state in FINAL_STATES:
            continue
        for member in transaction.members_of(name).values():
            placed_on = transaction.node(member.node) if member.node else None
            if placed_on is not None and placed_on.zone in free:
                free[placed_on.zone] += row.member_capacity
    return free


def prefer(transaction: Transaction, name: str, row: GangRow) -> PlacementPreference:
    """Returns the zone and the start that the scheduler chooses; it is reserved, so that the next gang counts it.

    One run of all the gang's work is planned: nothing pauses or moves a running gang for power, so a plan of several
    runs would reserve what never comes.
    """
    if transaction.changes.get(ACTIVE_SCHEDULE, SCHEDULE_KEY) is None:
        return PlacementPreference((), transaction.now_ms)
    if not is_turn_of(transaction, name):
        return preference_as_reserved(transaction, name)
    job = _flexible_job(transaction, name, row)
    choice = choose_placement(transaction.changes, transaction.now_ms, job, free_by_zone(transaction))
    updates = reserve(transaction.changes, transaction.now_ms, job.holder, job.capacity, choice.intervals)
    transaction.changes.apply_updates(updates)
    if not choice.zone:
        return PlacementPreference((), transaction.now_ms)
    return PlacementPreference((choice.zone,), choice.start_ms)


def _flexible_job(transaction: Transaction, name: str, row: GangRow) -> FlexibleJob:
    migration_cost_ms = row.restore_cost_ms + row.checkpoint_cost_ms
    duration_ms = estimates.remaining_work_ms(row, transaction.now_ms) + migration_cost_ms
    return FlexibleJob(
        reservation_owner(name),
        row.member_count * row.member_capacity,
        duration_ms,
        row.deadline_ms or row.latest_start_ms + duration_ms,
        row.zones,
        migration_cost_ms,
        duration_ms,
    )


def is_turn_of(transaction: Transaction, name: str) -> bool:
    """Returns whether a plan is made for this gang now.

    Among many that wait each is asked about once in so many rounds, always in the same ones.
    """
    turns = -(-transaction.waiting_count // MAX_PLANS_PER_RECORD)
    if turns <= 1:
        return True
    return zlib.crc32(name.encode()) % turns == transaction.now_ms // ROUND_INTERVAL_MS % turns


def preference_as_reserved(transaction: Transaction, name: str) -> PlacementPreference:
    """Returns the preference by what the gang has reserved; without, it waits for its turn.

    It stays the same for the slot, and so does the reason that operators read.
    """
    slot = transaction.now_ms // SLOT_MS
    held: ReservationRow | None = transaction.changes.get(RESERVATIONS, reservation_owner(name))
    intervals = upcoming_intervals(held.intervals, slot) if held is not None else ()
    if not intervals:
        return PlacementPreference((), (slot + 1) * SLOT_MS)
    zone, first_slot, *_ = intervals[0]
    return PlacementPreference((zone,), max(transaction.now_ms, first_slot * SLOT_MS))


def release_reservation(transaction: Transaction, name: str, row: GangRow) -> None:
    """Gives what an ended gang has reserved to others."""
    if row.flexible:
        transaction.changes.apply_updates(release(transaction.changes, reservation_owner(name)))

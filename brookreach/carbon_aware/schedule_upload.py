"""Applies the commands that upload, commit and drop schedules to the replicated state. Does no I/O.

A schedule arrives in parts. It has no effect until it is committed, which requires that it is complete and has the
announced digest. Every process then uses it from the same log index on.
"""

from __future__ import annotations

import msgspec

from brookreach.carbon_aware.commands import BeginUpload, CommitSchedule, DropSchedule, UploadIntervals
from brookreach.carbon_aware.schedule import (
    MAX_INTERVALS,
    IntensityInterval,
    find_problems,
    format_time,
    schedule_digest,
)
from brookreach.carbon_aware.tables import (
    ACTIVE_KEY,
    ACTIVE_SCHEDULE,
    SCHEDULE_DRAFTS,
    SCHEDULE_INTERVALS,
    ZONE_QUOTAS,
    ActiveScheduleRow,
    IntensityRow,
    ScheduleDraftRow,
    ZoneQuotaRow,
    version_key,
)
from brookreach.coordination.state_machine.application import CommandRejectedError, Context, StagedChanges, View


def begin_upload(changes: StagedChanges, command: BeginUpload, context: Context) -> None:
    """Begins a draft; raises CommandRejectedError if it is invalid or another operator has a draft of that version."""
    _check_announcement(changes, command)
    key = version_key(command.version)
    for other_key, draft in list(changes.rows(SCHEDULE_DRAFTS)):
        if other_key == key and draft.operator != context.client:
            raise CommandRejectedError(
                f"version {command.version} is being sent by {draft.operator}; drop it or take another"
            )
        if draft.operator == context.client:  # one draft per operator, so that abandoned drafts do not accumulate
            remove_draft(changes, other_key)
    draft = ScheduleDraftRow(
        digest=command.digest,
        zones=command.zones,
        from_ms=command.from_ms,
        until_ms=command.until_ms,
        parts_received=0,
        intervals_received=0,
        operator=context.client,
        session=context.session,
    )
    changes.put(SCHEDULE_DRAFTS, key, draft)


def add_intervals(changes: StagedChanges, command: UploadIntervals, context: Context) -> None:
    """Adds the next part to the operator's draft; raises CommandRejectedError if it does not fit the draft."""
    draft = _draft_of(changes, command.version, context)
    if command.part != draft.parts_received:
        raise CommandRejectedError(
            f"part {command.part} of version {command.version}; part {draft.parts_received} is next"
        )
    total = draft.intervals_received + len(command.intervals)
    if total > MAX_INTERVALS:
        raise CommandRejectedError(f"over {MAX_INTERVALS} rows in version {command.version}")
    key = version_key(command.version)
    zones = [zone for zone, _ in draft.zones]
    for index, (zone, from_ms, to_ms, grams) in enumerate(command.intervals, draft.intervals_received):
        if zone not in zones:
            raise CommandRejectedError(f"zone {zone!r} is not one of version {command.version}: {', '.join(zones)}")
        changes.put(SCHEDULE_INTERVALS, f"{key}/{zone}/{index:05d}", IntensityRow(from_ms, to_ms, grams))
    received = msgspec.structs.replace(draft, parts_received=draft.parts_received + 1, intervals_received=total)
    changes.put(SCHEDULE_DRAFTS, key, received)


def commit_schedule(changes: StagedChanges, command: CommitSchedule, context: Context) -> None:
    """Makes the operator's draft the active schedule; raises CommandRejectedError unless it is complete and valid."""
    draft = _draft_of(changes, command.version, context)
    replaced = _check_newer(changes, command.version)
    digest = _check_complete(changes, command, draft, context.now_ms)
    if replaced is not None:
        _remove_intervals(changes, version_key(replaced.version))
    key = version_key(command.version)
    for other_key, _ in list(changes.rows(SCHEDULE_DRAFTS)):
        if other_key < key:
            remove_draft(changes, other_key)  # a version below the active one cannot be committed
    changes.put(SCHEDULE_DRAFTS, key, None)
    for zone, _ in list(changes.rows(ZONE_QUOTAS)):
        changes.put(ZONE_QUOTAS, zone, None)
    for zone, calls_per_s in draft.zones:
        changes.put(ZONE_QUOTAS, zone, ZoneQuotaRow(calls_per_s))
    active = ActiveScheduleRow(
        version=command.version,
        digest=digest,
        until_ms=draft.until_ms,
        fencing_token=context.index,
        operator=context.client,
        from_ms=draft.from_ms,
    )
    changes.put(ACTIVE_SCHEDULE, ACTIVE_KEY, active)


def drop_schedule(changes: StagedChanges, command: DropSchedule, context: Context) -> None:
    """Removes a draft or ends the active schedule; raises CommandRejectedError if the version is neither."""
    key = version_key(command.version)
    active: ActiveScheduleRow | None = changes.get(ACTIVE_SCHEDULE, ACTIVE_KEY)
    if changes.get(SCHEDULE_DRAFTS, key) is not None:
        remove_draft(changes, key)
    elif active is not None and active.version == command.version:
        _remove_intervals(changes, key)
        reason = f"dropped by {context.client} at {format_time(context.now_ms)}"
        until_ms = min(active.until_ms, context.now_ms)
        dropped = msgspec.structs.replace(active, end_reason=reason, until_ms=until_ms)
        changes.put(ACTIVE_SCHEDULE, ACTIVE_KEY, dropped)
    else:
        raise CommandRejectedError(f"version {command.version} is neither agreed nor being sent")


def remove_draft(changes: StagedChanges, key: str) -> None:
    """Removes a draft and the intervals received for it."""
    changes.put(SCHEDULE_DRAFTS, key, None)
    _remove_intervals(changes, key)


def _remove_intervals(changes: StagedChanges, key: str) -> None:
    for interval_key, _ in changes.rows(SCHEDULE_INTERVALS, key + "/"):
        changes.put(SCHEDULE_INTERVALS, interval_key, None)


def _check_announcement(view: View, command: BeginUpload) -> None:
    _check_newer(view, command.version)
    if not command.from_ms < command.until_ms:
        raise CommandRejectedError(
            f"from {format_time(command.from_ms)} to {format_time(command.until_ms)}; some time is needed"
        )
    if len({zone for zone, _ in command.zones}) < len(command.zones):
        raise CommandRejectedError("a zone stands twice in it")


def _check_newer(view: View, version: int) -> ActiveScheduleRow | None:
    """Returns the schedule that `version` would replace; raises CommandRejectedError unless `version` is newer."""
    active: ActiveScheduleRow | None = view.get(ACTIVE_SCHEDULE, ACTIVE_KEY)
    if active is not None and version <= active.version:
        raise CommandRejectedError(f"version {version}; version {active.version} is agreed; only more is allowed")
    return active


def _draft_of(view: View, version: int, context: Context) -> ScheduleDraftRow:
    draft: ScheduleDraftRow | None = view.get(SCHEDULE_DRAFTS, version_key(version))
    if draft is None:
        raise CommandRejectedError(f"version {version} is not being sent; it has to begin first")
    if draft.operator != context.client:
        raise CommandRejectedError(f"version {version} is being sent by {draft.operator}, not by {context.client}")
    return draft


def _check_complete(view: View, command: CommitSchedule, draft: ScheduleDraftRow, now_ms: int) -> str:
    """Returns the digest of the received schedule; raises CommandRejectedError if it cannot be committed."""
    version = command.version
    intervals = _stored_intervals(view, version)
    digest = schedule_digest(version, draft.zones, intervals)
    if not digest == draft.digest == command.digest:
        raise CommandRejectedError(
            f"version {version} is not whole: {len(intervals)} rows of digest {digest[:12]}, "
            f"begun as {draft.digest[:12]}, closed as {command.digest[:12]}"
        )
    for problem in find_problems([zone for zone, _ in draft.zones], intervals):
        location = "" if problem.interval_index is None else f", row {problem.interval_index}"
        raise CommandRejectedError(f"version {version}{location}: {problem.text}")
    first_ms = min(interval.from_ms for interval in intervals)
    last_ms = max(interval.to_ms for interval in intervals)
    if (first_ms, last_ms) != (draft.from_ms, draft.until_ms):
        announced = f"{format_time(draft.from_ms)} to {format_time(draft.until_ms)}"
        raise CommandRejectedError(f"version {version} was begun for {announced}")
    if draft.until_ms <= now_ms:
        raise CommandRejectedError(
            f"version {version} ended at {format_time(draft.until_ms)}; it is {format_time(now_ms)}"
        )
    return digest


def _stored_intervals(view: View, version: int) -> list[IntensityInterval]:
    rows = view.rows(SCHEDULE_INTERVALS, version_key(version) + "/")
    return [IntensityInterval(key.split("/")[1], row.from_ms, row.to_ms, row.grams) for key, row in rows]

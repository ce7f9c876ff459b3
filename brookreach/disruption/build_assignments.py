"""Which nodes are to run which build: assigned for a stage, unassigned in reverse, and reconciled until they do.

This module owns the rows that agents follow and the restarts that wait for them. It never restarts a node: that takes
a permit, by the same queue and budgets as every other planned disruption. Nodes are taken by buckets of a digest of
their names, beginning elsewhere for each build: zones and services are mixed, and other nodes are first.
"""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import structs

from brookreach.coordination.state_machine.application import Context, StagedChanges, View
from brookreach.disruption import deadlines, permits, targets
from brookreach.disruption.deadlines import TimerKind
from brookreach.disruption.internal_tables import PROGRESS, ROLLOUT_ORDER, ProgressRow, iterate_rows
from brookreach.disruption.states import ROLLBACK_STATES, ReleaseState, TargetKind, TargetStatus
from brookreach.disruption.tables import (
    BUILD_ASSIGNMENTS,
    NODES,
    RELEASES,
    BuildAssignmentRow,
    NodeRow,
    ReleaseRow,
)

BUCKETS = 256  # of node names
BUCKET_OFFSET_PER_BUILD = 101  # by how many buckets the next build begins elsewhere
MAX_NODES_PER_RECORD = 96  # assigned or unassigned; the others at once in the next record
MAX_RESTART_ATTEMPTS = 3  # of one node for one assignment; then it waits for an operator


def stage_size(thousandths: int, total: int) -> int:
    """Nodes of a stage, rounded as the platform's stages are: up, from a hundredth of a node on."""
    return -((10 - thousandths * total) // 1000)


def find_release(view: View, build: int) -> ReleaseRow | None:
    """The release of the build; None: there is none."""
    row: ReleaseRow | None = view.get(RELEASES, str(build))
    return row


def find_assignment(view: View, node: str) -> BuildAssignmentRow | None:
    """What the node is to run; None: whatever it runs."""
    row: BuildAssignmentRow | None = view.get(BUILD_ASSIGNMENTS, node)
    return row


def last_stable_build(view: View, build: int) -> int:
    """The build itself, or the latest before it that was not rolled back. See `releases.roll_back`: no cycle."""
    while (release := find_release(view, build)) is not None and release.state in ROLLBACK_STATES:
        build = release.previous_build
    return build


def get_progress(view: View, build: int) -> ProgressRow:
    """The progress of the build's release, which is known to exist."""
    row: ProgressRow = view.get(PROGRESS, str(build))
    return row


def save_progress(draft: StagedChanges, build: int, progress: ProgressRow) -> None:
    """Replaces the progress of the build's release."""
    draft.put(PROGRESS, str(build), progress)


def _nodes_of_bucket(view: View, build: int, position: int) -> Iterator[str]:
    """Nodes of the bucket at this position in the build's order."""
    bucket = (build * BUCKET_OFFSET_PER_BUILD + position) % BUCKETS
    for _, row in iterate_rows(view, ROLLOUT_ORDER, f"{bucket:02x}/"):
        yield row.node


def assign_stage(draft: StagedChanges, context: Context, build: int) -> None:
    """Assigns more nodes to the open stage, until it has its target or all nodes were looked at."""
    remaining = MAX_NODES_PER_RECORD
    progress = get_progress(draft, build)
    while progress.assigning and remaining:
        if progress.assigned >= progress.target_nodes or progress.cursor == BUCKETS:
            save_progress(draft, build, structs.replace(progress, assigning=False))
            return
        bucket = _nodes_of_bucket(draft, build, progress.cursor)
        candidates = [node for node in bucket if not _is_assigned(draft, node, build)]
        selected = candidates[: min(remaining, progress.target_nodes - progress.assigned)]
        for node in selected:
            _assign(draft, node, BuildAssignmentRow(build, build))
            reconcile_node(draft, context, node)
        remaining -= len(selected)
        progress = get_progress(draft, build)
        if len(selected) == len(candidates):
            progress = structs.replace(progress, cursor=progress.cursor + 1)
            save_progress(draft, build, progress)
    if progress.assigning:
        deadlines.schedule(draft, context.now_ms, TimerKind.CONTINUE_BATCH, str(build))


def unassign_for_rollback(draft: StagedChanges, context: Context, build: int) -> None:
    """Rolls nodes back, the last assigned first. Only those that run the build, or may start it, restart."""
    remaining = MAX_NODES_PER_RECORD
    progress = get_progress(draft, build)
    while progress.assigning and remaining:
        if not progress.cursor:
            save_progress(draft, build, structs.replace(progress, assigning=False))
            return
        bucket = list(_nodes_of_bucket(draft, build, progress.cursor - 1))
        candidates = [node for node in reversed(bucket) if _needs_rollback(draft, node, build)]
        for node in candidates[:remaining]:
            _roll_back_node(draft, node, build)
            reconcile_node(draft, context, node)
        if len(candidates) <= remaining:
            progress = get_progress(draft, build)
            progress = structs.replace(progress, cursor=progress.cursor - 1)
            save_progress(draft, build, progress)
        remaining -= min(remaining, len(candidates))
    if progress.assigning:
        deadlines.schedule(draft, context.now_ms, TimerKind.CONTINUE_BATCH, str(build))


def _roll_back_node(draft: StagedChanges, name: str, build: int) -> None:
    """Assigns the last good build where the node runs this one or may start it, else nothing."""
    node: NodeRow = draft.get(NODES, name)
    if node.build == build or _is_restarting(draft, name):
        _assign(draft, name, BuildAssignmentRow(last_stable_build(draft, build), build))
    else:
        _assign(draft, name, None)


def _restart_rank(view: View, context: Context, node: str, build: int, rollback: bool) -> int:
    """By the order of buckets, whenever a node comes to it: what was assigned last is rolled back first."""
    release = find_release(view, build)
    is_open = release is not None and release.state != ReleaseState.RELEASED
    since_ms = release.since_ms if release is not None and is_open else context.now_ms
    position = (int(targets.bucket(node), 16) - build * BUCKET_OFFSET_PER_BUILD) % BUCKETS
    if rollback:
        return since_ms + BUCKETS - position
    return since_ms + targets.urgency_delay_ms(targets.ROLLOUT_URGENCY) + position


def _is_assigned(view: View, node: str, build: int) -> bool:
    assignment = find_assignment(view, node)
    return assignment is not None and assignment.build == build == assignment.release


def _needs_rollback(view: View, name: str, build: int) -> bool:
    """Whether the rollback of `build` concerns the node, and hasn't reached it yet."""
    if _is_assigned(view, name, build):
        return True
    assignment = find_assignment(view, name)
    node: NodeRow = view.get(NODES, name)
    return node.build == build and (assignment is None or assignment.build == build)


def _is_restarting(view: View, node: str) -> bool:
    """Whether it has a permit for a restart that a release wanted."""
    pending = targets.open_permits(view, TargetKind.NODE, node)
    return any(name.startswith(permits.RELEASE_PREFIX) for name in pending.names)


def _assign(draft: StagedChanges, node: str, assignment: BuildAssignmentRow | None) -> None:
    """A new assignment; a restart that waited for the old one waits no more."""
    targets.remove_from_indexes(draft, TargetKind.NODE, node)
    draft.put(BUILD_ASSIGNMENTS, node, assignment)
    pending = targets.open_permits(draft, TargetKind.NODE, node)
    without_restart = structs.replace(pending, restart_rank=0, rollback=False)
    targets.save_open_permits(draft, TargetKind.NODE, node, without_restart)
    targets.add_to_indexes(draft, TargetKind.NODE, node)


def reconcile_node(draft: StagedChanges, context: Context, name: str) -> None:
    """After any change of the node: decides what it is to run, and queues a restart if it doesn't."""
    node: NodeRow | None = draft.get(NODES, name)
    if node is None or node.status == TargetStatus.DECOMMISSIONED:
        return
    assignment = _corrected_assignment(draft, name, node)
    if assignment is None:
        return
    pending = targets.open_permits(draft, TargetKind.NODE, name)
    wants_restart = (
        assignment.build != node.build
        and assignment.attempts < MAX_RESTART_ATTEMPTS
        and not _is_restarting(draft, name)
    )
    if wants_restart == bool(pending.restart_rank):
        return
    restart_rank = 0
    rollback = False
    if wants_restart:
        rollback = assignment.build != assignment.release
        restart_rank = _restart_rank(draft, context, name, assignment.release, rollback)
    targets.remove_from_indexes(draft, TargetKind.NODE, name)
    changed = structs.replace(pending, restart_rank=restart_rank, rollback=rollback)
    targets.save_open_permits(draft, TargetKind.NODE, name, changed)
    targets.add_to_indexes(draft, TargetKind.NODE, name)


def _corrected_assignment(draft: StagedChanges, name: str, node: NodeRow) -> BuildAssignmentRow | None:
    """The node's assignment; a new one where its build is not released to it or was rolled back."""
    assignment = find_assignment(draft, name)
    release = find_release(draft, assignment.build if assignment else node.build)
    if release is None:
        return assignment
    is_unreleased = assignment is None and release.state != ReleaseState.RELEASED
    is_rolled_back = assignment is not None and release.state in ROLLBACK_STATES
    if is_unreleased or is_rolled_back:
        assignment = BuildAssignmentRow(last_stable_build(draft, release.previous_build), release.build)
        _assign(draft, name, assignment)
    return assignment

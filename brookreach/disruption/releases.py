"""Staged releases, where no platform does them: started, advanced stage by stage, rolled back.

A stage opens only when all nodes of the one before have been ready and warm on the build for the soak time, its
votes are there and nothing is halted. A build that was rolled back keeps its row for good, and whatever names it
later is rejected.
"""

from __future__ import annotations

from msgspec import structs

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, StagedChanges, View
from brookreach.disruption import budgets, build_assignments, deadlines, halt, permit_grants, permits
from brookreach.disruption.build_assignments import find_release, get_progress, save_progress
from brookreach.disruption.commands import RollBackRelease, StartRelease
from brookreach.disruption.deadlines import TimerKind
from brookreach.disruption.internal_tables import ProgressRow, iterate_rows
from brookreach.disruption.states import (
    RELEASE_TRANSITIONS,
    ROLLBACK_STATES,
    ReleaseState,
    TargetKind,
    checked_transition,
)
from brookreach.disruption.tables import RELEASES, ReleaseRow

ALL_THOUSANDTHS = 1000


def traffic_cap(view: View, build: int) -> int:
    """Share of the picks, in thousandths, that balancers may send to nodes of the build."""
    release = find_release(view, build)
    if release is None or release.state == ReleaseState.RELEASED:
        return ALL_THOUSANDTHS
    if release.state in ROLLBACK_STATES or not release.stage:
        return 0
    return release.traffic_caps[release.stage - 1]


def _save(draft: StagedChanges, release: ReleaseRow) -> None:
    draft.put(RELEASES, str(release.build), release)


def _change_state(
    draft: StagedChanges, context: Context, release: ReleaseRow, state: ReleaseState, reason: str | None = None
) -> None:
    changed = structs.replace(
        release,
        state=checked_transition(RELEASE_TRANSITIONS, release.state, state),
        since_ms=context.now_ms,
        reason=release.reason if reason is None else reason,
    )
    _save(draft, changed)


def check_startable(view: View, command: StartRelease) -> None:
    """Checks the build and the one to roll back to, and that no other release is open.

    Raises:
        CommandRejectedError: one of these does not hold.
    """
    known = find_release(view, command.build)
    previous = find_release(view, command.previous_build)
    if known is not None:
        never = " and never returns" if known.state in ROLLBACK_STATES else ""
        raise CommandRejectedError(
            f"build {command.build} is {known.state}{never}: release a build with another number"
        )
    previous_is_unreleased = previous is not None and previous.state != ReleaseState.RELEASED
    if command.build == command.previous_build or previous_is_unreleased:
        problem = previous.state if previous else "the same"
        raise CommandRejectedError(
            f"earlier build {command.previous_build} is {problem}: one that runs well is needed to go back to"
        )
    for _, other in iterate_rows(view, RELEASES):
        if other.state not in (ReleaseState.RELEASED, ReleaseState.ROLLED_BACK):
            raise CommandRejectedError(f"build {other.build} is {other.state}: one release at a time")


def _check_stages(command: StartRelease) -> None:
    shares = list(command.node_shares)
    caps = command.traffic_caps
    if len(caps) != len(shares):
        raise CommandRejectedError(f"{len(caps)} caps for {len(shares)} shares: one for each stage")
    if shares != sorted(set(shares)) or shares[-1] != ALL_THOUSANDTHS:
        raise CommandRejectedError(f"shares {shares}: each greater than the one before, the last 1000")


def start(draft: StagedChanges, command: StartRelease, context: Context) -> None:
    """Starts a release and opens its first stage.

    Raises:
        CommandRejectedError: the fleet is halted, or the command does not fit the fleet or other releases.
    """
    current_halt = halt.current_halt(draft)
    if current_halt is not None:
        raise CommandRejectedError(
            f"halt {current_halt.fence} by {current_halt.by} stands ({current_halt.reason}): no stage opens"
        )
    check_startable(draft, command)
    _check_stages(command)
    nodes = budgets.outage_count(draft, TargetKind.NODE, budgets.ALL_SCOPE).total
    if not nodes or budgets.find_budget(draft, TargetKind.NODE, budgets.ALL_SCOPE) is None:
        raise CommandRejectedError("no node is known, or nodes have no budget for scope all: none could restart")
    release = ReleaseRow(
        build=command.build,
        previous_build=command.previous_build,
        node_shares=command.node_shares,
        traffic_caps=command.traffic_caps,
        state=ReleaseState.ROLLING_OUT,
        stage=0,
        since_ms=context.now_ms,
        soak_ms=command.soak_ms,
        rollback_votes_needed=command.rollback_votes_needed,
        promote_votes_needed=command.promote_votes_needed,
        fence=context.index,
    )
    save_progress(draft, command.build, ProgressRow())
    _open_next_stage(draft, context, release)
    permit_grants.grant_waiting(draft, context)


def _open_next_stage(draft: StagedChanges, context: Context, release: ReleaseRow) -> None:
    release = structs.replace(release, stage=release.stage + 1, since_ms=context.now_ms)
    _save(draft, release)
    progress = get_progress(draft, release.build)
    total = budgets.outage_count(draft, TargetKind.NODE, budgets.ALL_SCOPE).total
    nodes = build_assignments.stage_size(release.node_shares[release.stage - 1], total)
    progress = structs.replace(
        progress,
        target_nodes=max(nodes, progress.assigned),
        cursor=0,
        assigning=True,
        all_ready_ms=0,
        promote_votes=0,
    )
    save_progress(draft, release.build, progress)
    build_assignments.assign_stage(draft, context, release.build)
    advance(draft, context, release.build)


def advance_after_node_change(draft: StagedChanges, context: Context, builds: set[int], node: str) -> None:
    """Advances releases that a changed node concerns: those of `builds`, which it ran or runs, and its own."""
    assignment = build_assignments.find_assignment(draft, node)
    if assignment is not None:
        builds = builds | {assignment.release}
    for build in sorted(builds):
        advance(draft, context, build)


def advance(draft: StagedChanges, context: Context, build: int) -> None:
    """Advances the build's release where its stage or its rollback is complete."""
    release = find_release(draft, build)
    if release is None:
        return
    if release.state == ReleaseState.ROLLING_BACK:
        _advance_rollback(draft, context, release)
    elif release.state == ReleaseState.ROLLING_OUT and halt.current_halt(draft) is None:
        _advance_rollout(draft, context, release)


def _advance_rollback(draft: StagedChanges, context: Context, release: ReleaseRow) -> None:
    """It is complete when all nodes were looked at and none runs the build any more."""
    running = budgets.outage_count(draft, TargetKind.NODE, f"build:{release.build}").total
    if not get_progress(draft, release.build).assigning and not running:
        _change_state(draft, context, release, ReleaseState.ROLLED_BACK)
        _schedule_forgetting_votes(draft, context, release.build)


def _advance_rollout(draft: StagedChanges, context: Context, release: ReleaseRow) -> None:
    """The next stage opens, or the build is released, when the soak time is over and the votes are there."""
    build = release.build
    progress = get_progress(draft, build)
    if progress.assigning or progress.ready < progress.assigned:
        save_progress(draft, build, structs.replace(progress, all_ready_ms=0))
        return
    if not progress.all_ready_ms:
        progress = structs.replace(progress, all_ready_ms=context.now_ms)
        save_progress(draft, build, progress)
        deadlines.schedule(draft, context.now_ms + release.soak_ms, TimerKind.ADVANCE_STAGE, str(build))
    is_soaked = context.now_ms >= progress.all_ready_ms + release.soak_ms
    if not is_soaked or progress.promote_votes < release.promote_votes_needed:
        return
    if release.stage < len(release.node_shares):
        _open_next_stage(draft, context, release)
        return
    _change_state(draft, context, release, ReleaseState.RELEASED)
    _schedule_forgetting_votes(draft, context, build)


def _schedule_forgetting_votes(draft: StagedChanges, context: Context, build: int) -> None:
    deadlines.schedule(draft, context.now_ms + permits.RETENTION_MS, TimerKind.FORGET_VOTES, str(build))


def roll_back(draft: StagedChanges, command: RollBackRelease, context: Context) -> None:
    """Rolls a release back from any stage, also after the last, but never to a build that was rolled back.

    Raises:
        CommandRejectedError: the build is in no release, rolled back already, or not the latest one.
    """
    release = find_release(draft, command.build)
    if release is None or release.state in ROLLBACK_STATES:
        raise CommandRejectedError(f"build {command.build} is {release.state if release else 'in no release'}")
    for _, other in iterate_rows(draft, RELEASES):
        if other.fence > release.fence and other.state != ReleaseState.ROLLED_BACK:
            raise CommandRejectedError(f"build {other.build} came after it and is {other.state}: send that back first")
    previous = find_release(draft, release.previous_build)
    if previous is not None and previous.state in ROLLBACK_STATES:
        raise CommandRejectedError(
            f"its earlier build {previous.build} is {previous.state}: release a good build instead"
        )
    start_rollback(draft, context, release, f"sent back by {context.client}: {command.reason}")
    permit_grants.grant_waiting(draft, context)


def start_rollback(draft: StagedChanges, context: Context, release: ReleaseRow, reason: str) -> None:
    """Begins to roll the release's nodes back, the last assigned first."""
    _change_state(draft, context, release, ReleaseState.ROLLING_BACK, reason)
    progress = structs.replace(
        get_progress(draft, release.build), cursor=build_assignments.BUCKETS, assigning=True, all_ready_ms=0
    )
    save_progress(draft, release.build, progress)
    build_assignments.unassign_for_rollback(draft, context, release.build)
    advance(draft, context, release.build)


def pause_all(draft: StagedChanges) -> None:
    """The fleet was halted."""
    for _, release in iterate_rows(draft, RELEASES):
        if release.state == ReleaseState.ROLLING_OUT:
            state = checked_transition(RELEASE_TRANSITIONS, release.state, ReleaseState.HALTED)
            _save(draft, structs.replace(release, state=state))


def resume_all(draft: StagedChanges, context: Context) -> None:
    """The halt was removed. The soak time begins anew: nobody knows what went on meanwhile."""
    for _, release in iterate_rows(draft, RELEASES):
        if release.state == ReleaseState.HALTED:
            _change_state(draft, context, release, ReleaseState.ROLLING_OUT)
            save_progress(draft, release.build, structs.replace(get_progress(draft, release.build), all_ready_ms=0))
            continue_batch(draft, context, release.build)


def continue_batch(draft: StagedChanges, context: Context, build: int) -> None:
    """The next nodes of a stage, or of a rollback."""
    release = find_release(draft, build)
    if release is not None and release.state == ReleaseState.ROLLING_OUT:
        build_assignments.assign_stage(draft, context, build)
    elif release is not None and release.state == ReleaseState.ROLLING_BACK:
        build_assignments.unassign_for_rollback(draft, context, build)
    advance(draft, context, build)

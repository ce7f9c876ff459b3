"""Balancers' votes on a release: counted, acted on, and forgotten long after the release."""

from __future__ import annotations

from itertools import islice

from msgspec import structs

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, StagedChanges
from brookreach.disruption import deadlines, halt, permit_grants, releases
from brookreach.disruption.build_assignments import find_release, get_progress, save_progress
from brookreach.disruption.commands import CastVote
from brookreach.disruption.deadlines import TimerKind
from brookreach.disruption.internal_tables import VOTES, VoteRow, iterate_rows
from brookreach.disruption.states import ReleaseState, Verdict
from brookreach.disruption.tables import ReleaseRow

MAX_VOTES_REMOVED_PER_RECORD = 256
HALTED_BY_VOTES = "verdict"  # stored as who halted the fleet


def cast_vote(draft: StagedChanges, command: CastVote, context: Context) -> None:
    """Counts one vote a balancer: to roll back whatever stage it was meant for, to promote in the open one.

    Raises:
        CommandRejectedError: no vote is open for the build and stage.
    """
    release = _votable_release(draft, command)
    key = f"{command.build}/{context.client}"
    existing: VoteRow | None = draft.get(VOTES, key)
    if existing is not None and existing.verdict == Verdict.ROLL_BACK:
        return
    progress = get_progress(draft, command.build)
    was_promote = existing is not None and existing.stage == release.stage and existing.verdict == Verdict.PROMOTE
    is_promote = command.verdict == Verdict.PROMOTE
    is_rollback = command.verdict == Verdict.ROLL_BACK
    progress = structs.replace(
        progress,
        promote_votes=progress.promote_votes - was_promote + is_promote,
        rollback_votes=progress.rollback_votes + is_rollback,
    )
    draft.put(VOTES, key, VoteRow(command.stage, str(command.verdict), context.session))
    save_progress(draft, command.build, progress)
    if progress.rollback_votes >= release.rollback_votes_needed:
        votes = progress.rollback_votes
        reason = f"build {command.build}: {votes} marshals voted back, the last {context.client}"
        halt.start_halt(draft, context, HALTED_BY_VOTES, reason, allows_rollback=True)
        releases.start_rollback(draft, context, release, reason)
    else:
        releases.advance(draft, context, command.build)
    permit_grants.grant_waiting(draft, context)


def _votable_release(draft: StagedChanges, command: CastVote) -> ReleaseRow:
    release = find_release(draft, command.build)
    if release is None or release.state not in (ReleaseState.ROLLING_OUT, ReleaseState.HALTED):
        state = release.state if release else "in no release"
        raise CommandRejectedError(f"build {command.build} is {state}: no vote is open")
    is_for_past_stage = command.stage < release.stage and command.verdict != Verdict.ROLL_BACK
    if command.stage > release.stage or is_for_past_stage:
        vote = f"{command.verdict} for stage {command.stage} of build {command.build}"
        raise CommandRejectedError(f"{vote}: stage {release.stage} is open")
    return release


def remove_votes(draft: StagedChanges, context: Context, build: int) -> None:
    """Forgets the votes of a release that has been over for long; its row stays."""
    keys = [key for key, _ in islice(iterate_rows(draft, VOTES, f"{build}/"), MAX_VOTES_REMOVED_PER_RECORD + 1)]
    for key in keys[:MAX_VOTES_REMOVED_PER_RECORD]:
        draft.put(VOTES, key, None)
    if len(keys) > MAX_VOTES_REMOVED_PER_RECORD:
        deadlines.schedule(draft, context.now_ms, TimerKind.FORGET_VOTES, str(build))

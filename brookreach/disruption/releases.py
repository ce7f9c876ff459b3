"""Releases by stages, where no platform does it: opened, held, sent back.

It owns the rows of releases and the marshals' voices. A stage opens only when all nodes of the one before
have been ready and warm on the build for the wait, the voices for it are there and nothing is halted. A build
that was sent back keeps its row for good, and whatever names it later is refused.
"""

from __future__ import annotations

from msgspec import structs

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, StagedChanges, View
from brookreach.disruption import budgets, build_assignments, deadlines, halt, permits
from brookreach.disruption.build_assignments import WAY_BACK, progress_of, release_of
from brookreach.disruption.commands import BeginRelease, SendBack, Voted
from brookreach.disruption.internal_tables import PROGRESS, VOTES, ProgressRow, VoteRow, ordered
from brookreach.disruption.tables import ASSIGNED, RELEASES, AssignRow, ReleaseRow

MOST_FORGOTTEN = 256  # voices in one record


def cap(view: View, build: int) -> int:
    """Share of the picks, in thousandths, that marshals may send to nodes of the build."""
    release = release_of(view, build)
    if release is None or release.state == "released":
        return 1000
    return 0 if release.state in WAY_BACK or not release.stage else release.caps[release.stage - 1]


def _put(draft: StagedChanges, release: ReleaseRow) -> None:
    draft.put(RELEASES, str(release.build), release)


def may_begin(view: View, order: BeginRelease) -> None:
    """Refused where the build or the one to go back to is not fit for it, or another release is open."""
    known, earlier = release_of(view, order.build), release_of(view, order.earlier)
    if known is not None:
        never = " and never returns" if known.state in WAY_BACK else ""
        raise CommandRejectedError(f"build {order.build} is {known.state}{never}: release a build with another number")
    if order.build == order.earlier or (earlier is not None and earlier.state != "released"):
        what = earlier.state if earlier else "the same"
        raise CommandRejectedError(
            f"earlier build {order.earlier} is {what}: one that runs well is needed to go back to"
        )
    for _, other in ordered(view, RELEASES):
        if other.state not in ("released", "sent back"):
            raise CommandRejectedError(f"build {other.build} is {other.state}: one release at a time")


def begin(draft: StagedChanges, order: BeginRelease, context: Context) -> None:
    stands = halt.halted(draft)
    if stands is not None:
        raise CommandRejectedError(f"halt {stands.fence} by {stands.by} stands ({stands.reason}): no stage opens")
    may_begin(draft, order)
    if len(order.caps) != len(order.shares):
        raise CommandRejectedError(f"{len(order.caps)} caps for {len(order.shares)} shares: one for each stage")
    if list(order.shares) != sorted(set(order.shares)) or order.shares[-1] != 1000:
        raise CommandRejectedError(f"shares {list(order.shares)}: each greater than the one before, the last 1000")
    if not budgets.count(draft, "node", "all").total or budgets.limit(draft, "node", "all") is None:
        raise CommandRejectedError("no node is known, or nodes have no budget for scope all: none could restart")
    release = ReleaseRow(
        order.build,
        order.earlier,
        order.shares,
        order.caps,
        "on",
        0,
        context.now_ms,
        order.wait_ms,
        order.back_votes,
        order.on_votes,
        context.index,
    )
    draft.put(PROGRESS, str(order.build), ProgressRow())
    _open(draft, context, release)
    permits.serve(draft, context)


def _open(draft: StagedChanges, context: Context, release: ReleaseRow) -> None:
    """The next stage."""
    release = structs.replace(release, stage=release.stage + 1, since_ms=context.now_ms)
    _put(draft, release)
    progress = progress_of(draft, release.build)
    nodes = build_assignments.share(release.shares[release.stage - 1], budgets.count(draft, "node", "all").total)
    progress = structs.replace(progress, target=max(nodes, progress.drawn), cursor=0, drawing=True, there_ms=0, on=0)
    draft.put(PROGRESS, str(release.build), progress)
    build_assignments.draw(draft, context, release.build)
    check(draft, context, release.build)


def touched(draft: StagedChanges, context: Context, builds: set[int], node: str) -> None:
    """The node changed; it ran or runs one of `builds`."""
    assign: AssignRow | None = draft.get(ASSIGNED, node)
    for build in sorted(builds | ({assign.release} if assign else set())):
        check(draft, context, build)


def check(draft: StagedChanges, context: Context, build: int) -> None:
    """Whether the stage is whole, for how long, and what follows from it."""
    release = release_of(draft, build)
    if release is None:
        return
    progress = progress_of(draft, build)
    if release.state == "going back":
        if not progress.drawing and not budgets.count(draft, "node", f"build:{build}").total:
            _put(draft, structs.replace(release, state="sent back", since_ms=context.now_ms))
            deadlines.at(draft, context.now_ms + permits.KEEP_MS, deadlines.VOTES, str(build))
        return
    if release.state != "on" or halt.halted(draft) is not None:
        return
    if progress.drawing or progress.there < progress.drawn:
        draft.put(PROGRESS, str(build), structs.replace(progress, there_ms=0))
        return
    if not progress.there_ms:
        progress = structs.replace(progress, there_ms=context.now_ms)
        draft.put(PROGRESS, str(build), progress)
        deadlines.at(draft, context.now_ms + release.wait_ms, deadlines.STAGE, str(build))
    if context.now_ms < progress.there_ms + release.wait_ms or progress.on < release.on_votes:
        return
    if release.stage < len(release.shares):
        _open(draft, context, release)
        return
    _put(draft, structs.replace(release, state="released", since_ms=context.now_ms))
    deadlines.at(draft, context.now_ms + permits.KEEP_MS, deadlines.VOTES, str(build))


def voted(draft: StagedChanges, order: Voted, context: Context) -> None:
    """One voice a marshal. A back vote counts whatever stage it was meant for, an on vote in the one open."""
    release = release_of(draft, order.build)
    if release is None or release.state not in ("on", "halted"):
        state = release.state if release else "in no release"
        raise CommandRejectedError(f"build {order.build} is {state}: no vote is open")
    if order.stage > release.stage or (order.stage < release.stage and order.verdict != "back"):
        what = f"{order.verdict} for stage {order.stage} of build {order.build}"
        raise CommandRejectedError(f"{what}: stage {release.stage} is open")
    key = f"{order.build}/{context.client}"
    old: VoteRow | None = draft.get(VOTES, key)
    if old is not None and old.verdict == "back":
        return
    progress = progress_of(draft, order.build)
    was_on = old is not None and old.stage == release.stage and old.verdict == "on"
    on = progress.on - was_on + (order.verdict == "on")
    progress = structs.replace(progress, on=on, back=progress.back + (order.verdict == "back"))
    draft.put(VOTES, key, VoteRow(order.stage, order.verdict, context.session))
    draft.put(PROGRESS, str(order.build), progress)
    if progress.back >= release.back_votes:
        reason = f"build {order.build}: {progress.back} marshals voted back, the last {context.client}"
        halt.halt(draft, context, "verdict", reason, way_back=True)
        _back(draft, context, release, reason)
    else:
        check(draft, context, order.build)
    permits.serve(draft, context)


def send_back(draft: StagedChanges, order: SendBack, context: Context) -> None:
    """From any stage, also after the last. Never to a build that was sent back itself: no circle."""
    release = release_of(draft, order.build)
    if release is None or release.state in WAY_BACK:
        raise CommandRejectedError(f"build {order.build} is {release.state if release else 'in no release'}")
    for _, other in ordered(draft, RELEASES):
        if other.fence > release.fence and other.state != "sent back":
            raise CommandRejectedError(f"build {other.build} came after it and is {other.state}: send that back first")
    earlier = release_of(draft, release.earlier)
    if earlier is not None and earlier.state in WAY_BACK:
        raise CommandRejectedError(
            f"its earlier build {earlier.build} is {earlier.state}: release a good build instead"
        )
    _back(draft, context, release, f"sent back by {context.client}: {order.reason}")
    permits.serve(draft, context)


def _back(draft: StagedChanges, context: Context, release: ReleaseRow, reason: str) -> None:
    _put(draft, structs.replace(release, state="going back", since_ms=context.now_ms, reason=reason))
    progress = structs.replace(
        progress_of(draft, release.build), cursor=build_assignments.BUCKETS, drawing=True, there_ms=0
    )
    draft.put(PROGRESS, str(release.build), progress)
    build_assignments.undraw(draft, context, release.build)
    check(draft, context, release.build)


def hold(draft: StagedChanges) -> None:
    """A halt was agreed."""
    for _, release in ordered(draft, RELEASES):
        if release.state == "on":
            _put(draft, structs.replace(release, state="halted"))


def go_on(draft: StagedChanges, context: Context) -> None:
    """The halt was lifted. The wait begins anew: nobody knows what went on meanwhile."""
    for _, release in ordered(draft, RELEASES):
        if release.state == "halted":
            _put(draft, structs.replace(release, state="on", since_ms=context.now_ms))
            progress = structs.replace(progress_of(draft, release.build), there_ms=0)
            draft.put(PROGRESS, str(release.build), progress)
            more(draft, context, release.build)


def more(draft: StagedChanges, context: Context, build: int) -> None:
    """The next batch of a stage, or of the way back."""
    release = release_of(draft, build)
    if release is not None and release.state == "on":
        build_assignments.draw(draft, context, build)
    elif release is not None and release.state == "going back":
        build_assignments.undraw(draft, context, build)
    check(draft, context, build)


def forget(draft: StagedChanges, context: Context, build: int) -> None:
    """Voices of a release that has been over for long; its row stays."""
    for nth, (key, _) in enumerate(list(ordered(draft, VOTES, f"{build}/"))):
        if nth == MOST_FORGOTTEN:
            deadlines.at(draft, context.now_ms, deadlines.VOTES, str(build))
            return
        draft.put(VOTES, key, None)

"""Which nodes are to run which build: drawn for a stage, given back in reverse, and followed until they do.

It owns the rows that agents follow and the restarts that wait for them. It never restarts a node: that takes
a permit, in the same queue and budgets as every other planned outage. Nodes are drawn by buckets of a digest
of their names, begun elsewhere for each build: zones and services are mixed, and other nodes are first.
"""

from __future__ import annotations

from msgspec import structs

from brookreach.coordination.state_machine.application import Context, StagedChanges, View
from brookreach.disruption import deadlines, targets
from brookreach.disruption.internal_tables import DRAWS, PROGRESS, ProgressRow, ordered
from brookreach.disruption.tables import ASSIGNED, NODES, RELEASES, AssignRow, NodeRow, ReleaseRow

BUCKETS, SPREAD = 256, 101  # of names; by how many buckets the next build begins elsewhere
BATCH = 96  # nodes drawn or given back in one record; the rest at once in the next
MOST_TRIES = 3  # restarts of one node for one assignment; then it waits for an operator
WAY_BACK = ("going back", "sent back")


def share(thousandths: int, total: int) -> int:
    """Nodes of a stage, rounded as the platform's stages are: up, from a hundredth of a node on."""
    return -((10 - thousandths * total) // 1000)


def release_of(view: View, build: int) -> ReleaseRow | None:
    found: ReleaseRow | None = view.get(RELEASES, str(build))
    return found


def good(view: View, build: int) -> int:
    """The build itself, or the one before it that was not sent back. No circle: see `releases.send_back`."""
    while (release := release_of(view, build)) is not None and release.state in WAY_BACK:
        build = release.earlier
    return build


def progress_of(view: View, build: int) -> ProgressRow:
    found: ProgressRow = view.get(PROGRESS, str(build))
    return found


def _bucket(build: int, nth: int) -> str:
    return f"{(build * SPREAD + nth) % BUCKETS:02x}/"


def draw(draft: StagedChanges, context: Context, build: int) -> None:
    """More nodes for the stage that is open, until it has its target or all were looked at."""
    left = BATCH
    progress = progress_of(draft, build)
    while progress.drawing and left:
        if progress.drawn >= progress.target or progress.cursor == BUCKETS:
            progress = structs.replace(progress, drawing=False)
            draft.put(PROGRESS, str(build), progress)
            return
        names = [row.node for _, row in ordered(draft, DRAWS, _bucket(build, progress.cursor))]
        names = [name for name in names if not _drawn(draft, name, build)]
        some = names[: min(left, progress.target - progress.drawn)]
        for name in some:
            _assign(draft, name, AssignRow(build, build))
            follow(draft, context, name)
        left -= len(some)
        progress = progress_of(draft, build)
        if len(some) == len(names):
            progress = structs.replace(progress, cursor=progress.cursor + 1)
            draft.put(PROGRESS, str(build), progress)
    if progress.drawing:
        deadlines.at(draft, context.now_ms, deadlines.DRAW, str(build))


def undraw(draft: StagedChanges, context: Context, build: int) -> None:
    """The way back: the last drawn first. Only nodes that run the build, or may come up with it, restart."""
    left = BATCH
    progress = progress_of(draft, build)
    while progress.drawing and left:
        if not progress.cursor:
            progress = structs.replace(progress, drawing=False)
            draft.put(PROGRESS, str(build), progress)
            return
        names = [row.node for _, row in ordered(draft, DRAWS, _bucket(build, progress.cursor - 1))]
        names = [name for name in reversed(names) if _touches(draft, name, build)]
        for name in names[:left]:
            node: NodeRow = draft.get(NODES, name)
            may_come = node.build == build or _in_flight(draft, name)
            _assign(draft, name, AssignRow(good(draft, build), build) if may_come else None)
            follow(draft, context, name)
        if len(names) <= left:
            progress = structs.replace(progress_of(draft, build), cursor=progress.cursor - 1)
            draft.put(PROGRESS, str(build), progress)
        left -= min(left, len(names))
    if progress.drawing:
        deadlines.at(draft, context.now_ms, deadlines.DRAW, str(build))


def _rank(view: View, context: Context, name: str, build: int, back: bool) -> int:
    """By the draw, whenever a node comes to it: what was opened last goes back first."""
    release = release_of(view, build)
    open_since = release is not None and release.state != "released"
    since_ms = release.since_ms if release is not None and open_since else context.now_ms
    nth = (int(targets.bucket(name), 16) - build * SPREAD) % BUCKETS
    if back:
        return since_ms + BUCKETS - nth
    return since_ms + (9 - targets.ON_URGENCY) * targets.STEP_MS + nth


def _drawn(view: View, name: str, build: int) -> bool:
    assign: AssignRow | None = view.get(ASSIGNED, name)
    return assign is not None and assign.build == build == assign.release


def _touches(view: View, name: str, build: int) -> bool:
    """Whether the way back of `build` has anything to do with the node, and hasn't done it yet."""
    if _drawn(view, name, build):
        return True
    assign: AssignRow | None = view.get(ASSIGNED, name)
    node: NodeRow = view.get(NODES, name)
    return node.build == build and (assign is None or assign.build == build)


def _in_flight(view: View, name: str) -> bool:
    """Whether it is out for a restart that a release wanted."""
    return any(one.startswith("release:") for one, _ in targets.permits_of(view, "node", name))


def _assign(draft: StagedChanges, name: str, assign: AssignRow | None) -> None:
    """A new assignment; a restart that waited for the old one waits no more."""
    targets.lift(draft, "node", name)
    draft.put(ASSIGNED, name, assign)
    standing = targets.opened(draft, "node", name)
    targets.put_opened(draft, "node", name, structs.replace(standing, move=0, back=False))
    targets.lay(draft, "node", name)


def follow(draft: StagedChanges, context: Context, name: str) -> None:
    """After anything about the node: what it is to run, and a restart in the queue if it doesn't.

    A node that comes with a build whose release doesn't have it, or that was sent back, goes to the earlier.
    """
    node: NodeRow | None = draft.get(NODES, name)
    if node is None or node.standing == "gone":
        return
    assign: AssignRow | None = draft.get(ASSIGNED, name)
    release = release_of(draft, assign.build if assign else node.build)
    astray = assign is None and release is not None and release.state != "released"
    stale = assign is not None and release is not None and release.state in WAY_BACK
    if release is not None and (astray or stale):
        assign = AssignRow(good(draft, release.earlier), release.build)
        _assign(draft, name, assign)
    if assign is None:
        return
    standing = targets.opened(draft, "node", name)
    wanted = assign.build != node.build and assign.tries < MOST_TRIES and not _in_flight(draft, name)
    if wanted == bool(standing.move):
        return
    move, back = 0, False
    if wanted:
        back = assign.build != assign.release
        move = _rank(draft, context, name, assign.release, back)
    targets.lift(draft, "node", name)
    targets.put_opened(draft, "node", name, structs.replace(standing, move=move, back=back))
    targets.lay(draft, "node", name)

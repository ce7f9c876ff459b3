"""What a release must meet to be started or rolled back, by its command and the other releases."""

from __future__ import annotations

from brookreach.coordination.state_machine.application import CommandRejectedError, View
from brookreach.disruption.build_assignments import find_release
from brookreach.disruption.commands import RollBackRelease, StartRelease
from brookreach.disruption.internal_tables import iterate_rows
from brookreach.disruption.states import ROLLBACK_STATES, ReleaseState
from brookreach.disruption.tables import RELEASES, ReleaseRow

ALL_THOUSANDTHS = 1000


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


def check_stages(command: StartRelease) -> None:
    """Checks that there is a cap for each share, and that shares grow up to all nodes.

    Raises:
        CommandRejectedError: one of these does not hold.
    """
    shares = list(command.node_shares)
    caps = command.traffic_caps
    if len(caps) != len(shares):
        raise CommandRejectedError(f"{len(caps)} caps for {len(shares)} shares: one for each stage")
    if shares != sorted(set(shares)) or shares[-1] != ALL_THOUSANDTHS:
        raise CommandRejectedError(f"shares {shares}: each greater than the one before, the last 1000")


def check_rollback(view: View, command: RollBackRelease) -> ReleaseRow:
    """Returns the release to roll back, whose later ones were rolled back already.

    Raises:
        CommandRejectedError: the build is in no release, rolled back already, or not the latest one.
    """
    release = find_release(view, command.build)
    if release is None or release.state in ROLLBACK_STATES:
        raise CommandRejectedError(f"build {command.build} is {release.state if release else 'in no release'}")
    for _, other in iterate_rows(view, RELEASES):
        if other.fence > release.fence and other.state != ReleaseState.ROLLED_BACK:
            raise CommandRejectedError(f"build {other.build} came after it and is {other.state}: send that back first")
    previous = find_release(view, release.previous_build)
    if previous is not None and previous.state in ROLLBACK_STATES:
        raise CommandRejectedError(
            f"its earlier build {previous.build} is {previous.state}: release a good build instead"
        )
    return release

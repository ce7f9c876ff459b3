"""Tables of planned disruptions that other applications read. Times are the agreed time in ms; 0 is not yet.

Rows are stored by position: their fields can be neither reordered nor removed. The name that a field had before it was
renamed is the key by which `brookreach fleet show --json` prints it.
"""

from __future__ import annotations

import msgspec

from brookreach.coordination.state_machine.application import Row
from brookreach.disruption.states import PermitAction, PermitState, ReleaseState, TargetKind, TargetStatus

NODES = "nodes"
BALANCERS = "marshals"
PERMITS = "permits"
HALT = "halt"
RELEASES = "releases"
BUDGETS = "budgets"
BUILD_ASSIGNMENTS = "assigned"


class NodeRow(Row, frozen=True):
    """A node as its agent reports it, by its name.

    Attributes:
        zone: The zone it stands in.
        build: The build that it runs.
        service: The service it belongs to.
        capacity: What long jobs may take of it, in the operators' own unit.
        status: As last reported, or down since its agent's session ended.
        since_ms: When it took that status.
        incarnation: Counts its starts; a fencing token is for one incarnation.
        warm_since_ms: When it was first seen warm after its last start.
        retires_ms: From then on it is no longer there; 0: no retirement is announced.
        session: Of the agent that last reported it.
    """

    zone: str
    build: int
    service: str
    capacity: int = msgspec.field(name="room")
    status: TargetStatus = msgspec.field(name="standing")
    since_ms: int
    incarnation: int = msgspec.field(name="life")
    warm_since_ms: int = msgspec.field(name="warm_ms", default=0)
    retires_ms: int = 0
    session: int = 0


class BalancerRow(Row, frozen=True):
    """A balancer as it reports itself, by its name. Its session is its incarnation."""

    zone: str
    build: int
    service: str
    status: TargetStatus = msgspec.field(name="standing")
    since_ms: int
    session: int


class PermitRow(Row, frozen=True):
    """One planned disruption, by its name, from the request to its end.

    Attributes:
        action: What may be done to the target.
        target: The node or balancer.
        requested_by: The client that asked; "" for a release.
        urgency: 0 to 9; each step is worth a wait of `targets.MS_PER_URGENCY`.
        requested_ms: When it was asked for.
        state: Changes by `states.PERMIT_TRANSITIONS`.
        fence: The log index where it was granted, as a fencing token.
        granted_ms: When it was granted.
        ended_ms: When it ended or was withdrawn.
        incarnation: The target's when it was granted; a later one has to be seen warm.
        reason: The requester's, or why it ended.
        withdrawn_index: The log index where it was withdrawn after it was granted; 0: it was not.
        overdue: It has been out so long that nothing waits for it; it counts as unavailable all the same.
    """

    action: PermitAction = msgspec.field(name="what")
    target: str
    requested_by: str = msgspec.field(name="by")
    urgency: int
    requested_ms: int = msgspec.field(name="asked_ms")
    state: PermitState
    fence: int = 0
    granted_ms: int = msgspec.field(name="given_ms", default=0)
    ended_ms: int = 0
    incarnation: int = msgspec.field(name="life", default=0)
    reason: str = ""
    withdrawn_index: int = msgspec.field(name="back", default=0)
    overdue: bool = msgspec.field(name="late", default=False)


class HaltRow(Row, frozen=True):
    """Stands at `halt.HALT_KEY` while the fleet is halted. Only a resume that names `fence` removes it.

    Attributes:
        fence: The log index where the halt began.
        by: The operator, or "verdict" where balancers voted for a rollback.
        at_ms: When it began.
        reason: The operator's, or the votes that caused it.
        allows_rollback: Nodes of a build that is rolled back may still be restarted into the previous one.
    """

    fence: int
    by: str
    at_ms: int
    reason: str
    allows_rollback: bool = msgspec.field(name="way_back", default=False)


class BudgetRow(Row, frozen=True):
    """A disruption budget, by "kind/scope" (scope "all", "zone:1", "build:7", "service:x")."""

    kind: TargetKind
    max_unavailable: int = msgspec.field(name="most_out")
    min_ready: int = msgspec.field(name="least_ready")


class ReleaseRow(Row, frozen=True):
    """An agreed release, by its build.

    Attributes:
        build: The build that is released.
        previous_build: The one to roll back to.
        node_shares: Nodes of each stage, in thousandths of all.
        traffic_caps: Picks that nodes of the build may have in each stage, in thousandths.
        state: Changes by `states.RELEASE_TRANSITIONS`.
        stage: How many stages are open; 0 is none.
        since_ms: When it took that state or stage.
        soak_ms: How long all nodes of a stage must be ready before the next one opens.
        rollback_votes_needed: Balancers whose votes roll it back.
        promote_votes_needed: Balancers whose votes a stage needs.
        fence: The log index where it was started.
        reason: Why it was rolled back.
    """

    build: int
    previous_build: int = msgspec.field(name="earlier")
    node_shares: tuple[int, ...] = msgspec.field(name="shares")
    traffic_caps: tuple[int, ...] = msgspec.field(name="caps")
    state: ReleaseState
    stage: int
    since_ms: int
    soak_ms: int = msgspec.field(name="wait_ms")
    rollback_votes_needed: int = msgspec.field(name="back_votes")
    promote_votes_needed: int = msgspec.field(name="on_votes")
    fence: int
    reason: str = ""


class BuildAssignmentRow(Row, frozen=True):
    """By node: the build that its agent starts next time. It is no leave to restart, which takes a permit.

    Attributes:
        build: The build to start.
        release: The release that assigned it; where that is another build's, the assignment is a rollback.
        attempts: Permits granted for it.
    """

    build: int
    release: int
    attempts: int = msgspec.field(name="tries", default=0)

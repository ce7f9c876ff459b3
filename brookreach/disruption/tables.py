"""The tables of outages, which other pieces read. Times are the agreed time in ms; 0 stands for not yet."""

from __future__ import annotations

from typing import Literal

from brookreach.coordination.state_machine.application import Row

NODES, MARSHALS, PERMITS, HALT, RELEASES, BUDGETS, ASSIGNED = (
    "nodes",
    "marshals",
    "permits",
    "halt",
    "releases",
    "budgets",
    "assigned",
)

Standing = Literal["ready", "cold", "draining", "down", "gone"]


class NodeRow(Row, frozen=True):
    """A node as agents and marshals see it. `life` counts its starts: a fence names one life of it.

    `room` is what long jobs may take of it, in the operators' own unit. From `retires_ms` on it is no longer
    there (0: no notice). `warm_ms`: when it is seen warm after its last start.
    """

    zone: str
    build: int
    service: str
    room: int
    standing: Standing
    since_ms: int
    life: int
    warm_ms: int = 0
    retires_ms: int = 0
    session: int = 0  # of the agent that last spoke for it


class MarshalRow(Row, frozen=True):
    zone: str
    build: int
    service: str
    standing: Standing
    since_ms: int
    session: int


class PermitRow(Row, frozen=True):
    """One planned outage, by its name, from asked to ended. Its fence is the log's place where it was given.

    A drain of a node, a restart of a marshal, a move of a gang's member (which may leave its node).
    """

    what: Literal["drain", "restart", "move"]
    target: str  # the node or marshal
    by: str
    urgency: int  # 0 to 9
    asked_ms: int
    state: Literal["waiting", "given", "returning", "ended", "taken back"]
    fence: int = 0
    given_ms: int = 0
    ended_ms: int = 0
    life: int = 0  # of the target, when it was given: another one has to be seen warm
    reason: str = ""
    back: int = 0  # the log's place where it was taken back after it was given; 0: not
    late: bool = False  # out for so long that nobody waits for it any more; it counts as out all the same


class HaltRow(Row, frozen=True):
    """Stands at key "all" while the fleet is halted. Only a resume that names `fence` lifts it."""

    fence: int
    by: str
    at_ms: int
    reason: str
    way_back: bool = False  # nodes of a build that was sent back may still be restarted into the earlier one


class BudgetRow(Row, frozen=True):
    """By "kind/scope" (scope "all", "zone:1", "build:7", "service:x"): most out at once, least ready."""

    kind: Literal["node", "marshal"]
    most_out: int
    least_ready: int


class ReleaseRow(Row, frozen=True):
    """An agreed release, by its build. `stage` is how many stages are open; 0 is none."""

    build: int
    earlier: int
    shares: tuple[int, ...]  # of the nodes, in thousandths, by stage
    caps: tuple[int, ...]  # of picks, in thousandths
    state: Literal["waiting", "on", "halted", "going back", "sent back", "released"]
    stage: int
    since_ms: int
    wait_ms: int  # before on
    back_votes: int
    on_votes: int
    fence: int
    reason: str = ""


class AssignRow(Row, frozen=True):
    """By node: the build that its agent starts next time. `release`: whose; where not its own, a way back.

    A row is no leave to restart: that is a permit.
    """

    build: int
    release: int
    tries: int = 0  # permits given for it

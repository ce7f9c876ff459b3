"""Events: what a protocol's adapter tells the decision code of one balancer.

Times are milliseconds (float); ids of RPCs, nodes and keys are kept as the protocol gave them. msgspec writes
`NodeEntry`, `RolloutStatus` and `OutcomeCounts` by their fields' names into stored records of verdicts: these fields
keep their names, however they read.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from brookreach.enumerations import ListKind, LoadMetric, NodeState, Outcome, RolloutPhase


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One node as discovery lists it.

    Attributes:
        node: Its number.
        state: Whether it may get picks.
        started_ms: When its process started; 0: long ago.
        build: Number of the build that it runs.
        zone: Index among the settings' zones.
        cell: Its cell, for methods whose idempotency tokens are known in one cell only.
        kind: Index among the settings' kinds of machines.
        size: Its capacity relative to others.
    """

    node: int
    state: NodeState
    started_ms: float
    build: int
    zone: int
    cell: int
    kind: int
    size: float


@dataclass(frozen=True, slots=True)
class NodeList:
    """A list of nodes, or a change of it; `kind` says which."""

    kind: ListKind
    version: int
    entries: tuple[NodeEntry, ...]


@dataclass(frozen=True, slots=True)
class RpcReceived:
    """A client's RPC.

    Attributes:
        rpc_id: Its number, by which all that follows names it.
        method: Index among the settings' methods.
        tenant: Index among the settings' tenants.
        key: Equal for RPCs that belong together; 0: none.
        deadline_ms: When it has to be answered.
        cost_ms: The client's estimate of the work; None: there is none.
        is_retry: Whether the client has sent it before.
        is_write: Whether it writes.
        unread_ms: How long it may have waited before it was read.
        client_id: The id that its client gave it; empty where ids never come again.
    """

    rpc_id: int
    method: int
    tenant: int
    key: int
    deadline_ms: float
    cost_ms: float | None
    is_retry: bool
    is_write: bool
    unread_ms: float = 0.0
    client_id: bytes = b""


@dataclass(frozen=True, slots=True)
class DeadlineShortened:
    """An open RPC has to be answered sooner than was said: answers to other RPCs wait for its own."""

    rpc_id: int
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class RpcCancelled:
    """The client of an RPC has gone: no answer is wanted any more."""

    rpc_id: int


@dataclass(frozen=True, slots=True)
class PickEnded:
    """A pick has its outcome.

    Attributes:
        pick_index: Of the picks of this RPC, from 0.
        is_final: Whether the RPC has its answer.
        duration_ms: From the pick to its outcome.
        load: The node's load report; empty: there is none.
    """

    rpc_id: int
    pick_index: int
    node: int
    outcome: Outcome
    is_final: bool
    duration_ms: float
    load: Mapping[LoadMetric, float]


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe has its outcome."""

    node: int
    outcome: Outcome
    duration_ms: float
    load: Mapping[LoadMetric, float]


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first part of a streamed answer has come, `duration_ms` after its pick."""

    rpc_id: int
    pick_index: int
    node: int
    duration_ms: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer that was set with this token has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """State of the rollout as the platform tells it.

    Attributes:
        reply: Whether this is the answer to a vote.
        ending: Outcome of the call; the other fields hold only where it is OK.
        stage: Index of the rollout stage.
        cap: Cap on picks at the build on trial, as a share of RPCs.
        age_ms: How long ago the platform observed it.
        build: Number of the build that is rolled out.
    """

    reply: bool
    ending: Outcome
    stage: int
    cap: float
    phase: RolloutPhase
    age_ms: float
    build: int


@dataclass(frozen=True, slots=True)
class OutcomeCounts:
    """What the platform counted of one build's picks of one method, over all balancers, in one period.

    Attributes:
        age_ms: How long ago the period ended.
        failed: How many of the `count` picks failed.
        mean_ms: Mean duration of those that did not fail.
    """

    build: int
    method: int
    age_ms: float
    failed: int
    count: int
    mean_ms: float


@dataclass(frozen=True, slots=True)
class DisputedAnswer:
    """An answer that a node gave `age_ms` ago has been disputed."""

    node: int
    method: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another balancer."""

    peer: int
    payload: bytes


Event = (
    NodeList
    | RpcReceived
    | DeadlineShortened
    | RpcCancelled
    | PickEnded
    | ProbeEnded
    | StreamStarted
    | TimerFired
    | RolloutStatus
    | OutcomeCounts
    | DisputedAnswer
    | PeerMessage
)

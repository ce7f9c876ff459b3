"""What a marshal is told and what it may do, whichever protocol carries it.

Times are milliseconds (float). Ids of RPCs, nodes and keys are kept as the protocol gave them.
Nothing here decides anything: a protocol's adapter fills these types in, `brookreach.policy` acts on them.
Enumerations and the records of the start stand in modules of their own and are part of the interface.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from brookreach.balancer_settings import (
    AllowedActions,
    BalancerSettings,
    ErrorRateTargets,
    Exposure,
    FleetPosition,
    Method,
    Prices,
    RolloutSettings,
    SafetyLimits,
    Tenant,
    Voting,
)
from brookreach.enumerations import (
    DedupScope,
    Idempotency,
    ListKind,
    LoadMetric,
    NodeState,
    Outcome,
    PromotionGate,
    RolloutPhase,
    Verdict,
)

# --- events ---


@dataclass(frozen=True, slots=True)
class NodeEntry:
    node: int
    state: NodeState
    started_ms: float  # 0: long ago
    build: int
    zone: int
    cell: int
    kind: int
    size: float


@dataclass(frozen=True, slots=True)
class NodeList:
    kind: ListKind
    version: int
    entries: tuple[NodeEntry, ...]


@dataclass(frozen=True, slots=True)
class RpcReceived:
    """A client's RPC, to be answered by `deadline_ms`. It may have come `unread_ms` before it was read."""

    rpc_id: int
    method: int
    tenant: int
    key: int
    deadline_ms: float
    cost_ms: float | None
    is_retry: bool
    is_write: bool
    unread_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class DeadlineShortened:
    """An open RPC has to be answered by `deadline_ms`, sooner than was said: other answers wait for its own."""

    rpc_id: int
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class RpcCancelled:
    rpc_id: int


@dataclass(frozen=True, slots=True)
class PickEnded:
    rpc_id: int
    pick_index: int
    node: int
    outcome: Outcome
    is_final: bool
    duration_ms: float
    load: Mapping[LoadMetric, float]


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    node: int
    outcome: Outcome
    duration_ms: float
    load: Mapping[LoadMetric, float]


@dataclass(frozen=True, slots=True)
class StreamStarted:
    rpc_id: int
    pick_index: int
    node: int
    duration_ms: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    reply: bool
    ending: Outcome
    stage: int
    cap: float
    phase: RolloutPhase
    age_ms: float
    build: int


@dataclass(frozen=True, slots=True)
class OutcomeCounts:
    build: int
    method: int
    age_ms: float
    failed: int
    count: int
    mean_ms: float


@dataclass(frozen=True, slots=True)
class DisputedAnswer:
    node: int
    method: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class PeerMessage:
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


# --- actions ---


@dataclass(frozen=True, slots=True)
class Pick:
    """One RPC to one node. Past `write_ms` the query's last byte may not be written any more: the pick ends
    as one that never ran. It goes over no connection whose last answer is less than `rest_ms` old."""

    rpc_id: int
    node: int
    timeout_ms: float
    write_within_ms: float = math.inf
    min_idle_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PushBack:
    rpc_id: int
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Abort:
    rpc_id: int


@dataclass(frozen=True, slots=True)
class CancelPick:
    rpc_id: int
    pick_index: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    node: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    node: int


@dataclass(frozen=True, slots=True)
class Vote:
    verdict: Verdict
    stage: int
    build: int


@dataclass(frozen=True, slots=True)
class FetchNodeList:
    pass


@dataclass(frozen=True, slots=True)
class WatchNodeList:
    enabled: bool


@dataclass(frozen=True, slots=True)
class SendToPeer:
    peer: int | None  # None: all
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogLine:
    text: str


@dataclass(frozen=True, slots=True)
class DecisionFault:
    """The decision code failed; only an adapter says this."""

    text: str


Action = (
    Pick
    | PushBack
    | Abort
    | CancelPick
    | SetTimer
    | Probe
    | CloseIdle
    | Vote
    | FetchNodeList
    | WatchNodeList
    | SendToPeer
    | LogLine
    | DecisionFault
)

"""Actions: what the decision code of one balancer asks a protocol's adapter to do.

Times are milliseconds (float); ids of RPCs and nodes are those of the events.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from brookreach.enumerations import Verdict


@dataclass(frozen=True, slots=True)
class Pick:
    """Send an RPC to a node.

    Attributes:
        timeout_ms: After this the pick ends as timed out.
        write_within_ms: If the query's last byte is not written by then, it is not written any more and the pick ends
            as one that was not executed.
        min_idle_ms: No connection is used whose last answer is less than this old.
    """

    rpc_id: int
    node: int
    timeout_ms: float
    write_within_ms: float = math.inf
    min_idle_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PushBack:
    """Answer an RPC with the refusal that the client may send it again; `retry_after_ms` later, if that is above 0."""

    rpc_id: int
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Abort:
    """Answer an RPC with an error, which leaves open whether it was executed."""

    rpc_id: int


@dataclass(frozen=True, slots=True)
class CancelPick:
    """Cancel a pick of an RPC."""

    rpc_id: int
    pick_index: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send `TimerFired` with this token after the delay."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Send a node a query that does nothing."""

    node: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a node."""

    node: int


@dataclass(frozen=True, slots=True)
class Vote:
    """Vote on a build at a rollout stage; the answer comes as a `RolloutStatus`."""

    verdict: Verdict
    stage: int
    build: int


@dataclass(frozen=True, slots=True)
class FetchNodeList:
    """Fetch the whole list of nodes."""


@dataclass(frozen=True, slots=True)
class WatchNodeList:
    """Start or stop to watch the list of nodes for changes."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to another balancer, or to all of them where `peer` is None."""

    peer: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class DecisionFault:
    """The decision code failed. Adapters make this themselves; decisions never contain it."""

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

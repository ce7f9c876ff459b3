"""The records that assignments are made from and of: nodes as seen, endpoints, clusters, routes, uses of proxies."""

from __future__ import annotations

from dataclasses import dataclass

from brookreach import interface as ifc


@dataclass(frozen=True)
class NodeAddress:
    """Where a node listens, by its id as discovery gives it."""

    node: int
    address: str
    port: int


@dataclass(frozen=True)
class NodeView:
    """One node as the module sees it. `doubt` is 0 (well) to 1 (shunned); `slow` its time over the usual."""

    entry: ifc.NodeEntry
    doubt: float
    slow: float


@dataclass(frozen=True)
class BalancerView:
    """What the module decides at one time."""

    at_ms: float
    news: ifc.RolloutStatus | None
    nodes: tuple[NodeView, ...]
    rate: float = 0.0  # cost a ms and unit of size that warm nodes are seen to carry
    fresh: bool = True  # False: from a snapshot, discovery is gone


@dataclass(frozen=True)
class Endpoint:
    """One line of an assignment."""

    node: int
    address: str
    port: int
    zone: int
    weight: int  # 1 to 1000
    degraded: bool


@dataclass(frozen=True)
class ClusterAssignment:
    """The endpoints of one build; `drop_share` is the share of RPCs that the cluster must refuse by itself."""

    name: str
    endpoints: tuple[Endpoint, ...]
    drop_share: float = 0.0


@dataclass(frozen=True)
class MethodRoute:
    """One method's route: shares of clusters in millionths, adding up to a million, and what may be
    repeated.
    """

    method: str
    weighted_clusters: tuple[tuple[str, int], ...]
    timeout_ms: float
    per_try_timeout_ms: float
    max_retries: int  # picks after the first
    retry_on: tuple[str, ...]


@dataclass(frozen=True)
class Assignment:
    """All that one proxy is told. Two servers with the same view and facts make the same."""

    clusters: tuple[ClusterAssignment, ...]
    routes: tuple[MethodRoute, ...]


@dataclass(frozen=True)
class ProxyLoad:
    """What is known of one proxy: RPCs a second by its reports, and the trial shares that it may still
    use.
    """

    rpcs_per_s: float
    trial_shares: tuple[float, ...]  # the ACKed one, and all told since

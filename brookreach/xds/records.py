"""The records that assignments are made from and made of.

`BalancerView`, `NodeView` and `NodeAddress` are stored under the names of their fields; see `store`.
"""

from __future__ import annotations

from dataclasses import dataclass

from brookreach import interface as ifc


@dataclass(frozen=True)
class NodeAddress:
    """Where a node listens.

    Attributes:
        node: The node's id in the discovery's list.
        address: Its IP address.
        port: Its port.
    """

    node: int
    address: str
    port: int


@dataclass(frozen=True)
class NodeView:
    """One node as the balancer sees it.

    Attributes:
        entry: The node's entry in the discovery's list.
        doubt: From 0, nothing speaks against the node, to 1, it is shunned.
        slow: Its times relative to the usual ones.
    """

    entry: ifc.NodeEntry
    doubt: float
    slow: float


@dataclass(frozen=True)
class BalancerView:
    """What the balancer knows at one time.

    Attributes:
        at_ms: The time.
        news: The rollout's status; None if none is known.
        nodes: All nodes.
        rate: The cost a ms and unit of size that warm nodes are seen to carry.
        fresh: False for a stored view, served while discovery is not heard.
    """

    at_ms: float
    news: ifc.RolloutStatus | None
    nodes: tuple[NodeView, ...]
    rate: float = 0.0
    fresh: bool = True


@dataclass(frozen=True)
class Endpoint:
    """An assigned node.

    Attributes:
        node: The node's id.
        address: Its IP address.
        port: Its port.
        zone: The index of its zone.
        weight: Its share of the cluster's RPCs relative to the other endpoints, 1 to 1000.
        degraded: Whether it is used only where no other endpoint is left.
    """

    node: int
    address: str
    port: int
    zone: int
    weight: int
    degraded: bool


@dataclass(frozen=True)
class ClusterAssignment:
    """The endpoints of one build, or of all builds that are not on trial.

    Attributes:
        name: The cluster's name, without a method.
        endpoints: The assigned nodes.
        drop_share: The share of RPCs that the cluster has to drop by itself.
    """

    name: str
    endpoints: tuple[Endpoint, ...]
    drop_share: float = 0.0


@dataclass(frozen=True)
class MethodRoute:
    """The route of one method.

    Attributes:
        method: The method's name.
        weighted_clusters: Clusters with their shares in millionths, which add up to a million.
        timeout_ms: For the whole RPC.
        per_try_timeout_ms: For one pick.
        max_retries: Picks after the first.
        retry_on: The failures that are retried, in Envoy's words.
    """

    method: str
    weighted_clusters: tuple[tuple[str, int], ...]
    timeout_ms: float
    per_try_timeout_ms: float
    max_retries: int
    retry_on: tuple[str, ...]


@dataclass(frozen=True)
class Assignment:
    """All that one proxy is sent. Servers with the same view and settings make the same."""

    clusters: tuple[ClusterAssignment, ...]
    routes: tuple[MethodRoute, ...]


@dataclass(frozen=True)
class ProxyLoad:
    """What is known of one proxy.

    Attributes:
        rpcs_per_s: Its load by its reports.
        trial_shares: The trial shares that it may still use: the ACKed one and all that were sent since.
    """

    rpcs_per_s: float
    trial_shares: tuple[float, ...]

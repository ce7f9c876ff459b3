"""Turns a view of the balancer into what proxies are assigned. No I/O, no clock, no random draws.

A proxy draws the cluster of each RPC by itself, so that its picks are not counted one by one as a balancer counts its
own. The rules are kept by what is assigned: the trial build's share of a route (see `trial_exposure`), the weights of
endpoints, the nodes left out, and what may be retried. Retries at a proxy stay in the cluster that the RPC was drawn
for. A route with a trial share therefore has none: they would be further picks at the trial build, and further picks go
to an earlier build.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from brookreach import interface as ifc
from brookreach.policy.common import is_candidate, slow_start_factor
from brookreach.policy.tracked_node import SLOW_START_SHARE
from brookreach.xds.records import (
    Assignment,
    BalancerView,
    ClusterAssignment,
    Endpoint,
    MethodRoute,
    NodeAddress,
    NodeView,
    ProxyLoad,
)
from brookreach.xds.trial_exposure import compensated_share, trial_share

EARLIER_CLUSTER = "earlier"
"""The cluster of all builds that are not on trial."""

SHARE_DENOMINATOR = 1_000_000
MAX_WEIGHT = 1000
EXCLUDING_DOUBT = 1.0
DEGRADED_DOUBT = 0.5
MIN_RATE_SHARE = 0.5
"""The RPCs that come in a window are taken as at least this part of the last: they may halve within one."""

RETRY_ON = ("connect-failure", "refused-stream", "reset", "5xx")


def cluster_name(build: int, trial: bool) -> str:
    """Return the name of a build's cluster."""
    return f"build-{build}" if trial else EARLIER_CLUSTER


def endpoint_weight(view: NodeView, now: float, guards: ifc.SafetyLimits) -> float:
    """Return what a node can do beside others: its size and slow start, less for doubt and slowness; 0: none."""
    if view.entry.state != ifc.NodeState.READY or view.doubt >= EXCLUDING_DOUBT:
        return 0.0
    return view.entry.size * slow_start_factor(view.entry, now, guards) * (1.0 - view.doubt) / max(1.0, view.slow)


def assign_cluster(
    name: str,
    nodes: Sequence[NodeView],
    addresses: Mapping[int, NodeAddress],
    now: float,
    guards: ifc.SafetyLimits,
    rate: float,
    load: float,
) -> ClusterAssignment:
    """Return the weighted endpoints of a cluster.

    Where even by its weight a cold node would get more than it may, the cluster drops the excess by itself: that bounds
    the sum of what all proxies send, whichever sends.

    Args:
        name: The cluster's name.
        nodes: The nodes of its builds.
        addresses: Where nodes listen; a node without an address is left out.
        now: The time in ms.
        guards: The limits for cold nodes.
        rate: The cost a ms and unit of size that warm nodes carry.
        load: The cost a ms that all proxies send to the cluster.
    """
    candidates = [(view, endpoint_weight(view, now, guards)) for view in nodes if view.entry.node in addresses]
    weighted = [(view, weight) for view, weight in candidates if weight > 0.0]
    if not weighted:  # shunned nodes are better than none, but never ones that drain or are gone
        weighted = [
            (view, view.entry.size * slow_start_factor(view.entry, now, guards))
            for view, _ in candidates
            if view.entry.state == ifc.NodeState.READY
        ]
    total = math.fsum(weight for _, weight in weighted)
    largest = max((weight for _, weight in weighted), default=1.0)
    endpoints = []
    drop_share = 0.0
    for view, weight in sorted(weighted, key=lambda pair: _socket_address(addresses[pair[0].entry.node])):
        address = addresses[view.entry.node]
        relative_weight = max(1, min(MAX_WEIGHT, round(MAX_WEIGHT * weight / largest)))
        is_degraded = view.doubt >= DEGRADED_DOUBT
        endpoints.append(
            Endpoint(address.node, address.address, address.port, view.entry.zone, relative_weight, is_degraded)
        )
        slow_start = slow_start_factor(view.entry, now, guards)
        if slow_start < 1.0 and rate > 0.0 and load > 0.0:
            allowed = SLOW_START_SHARE * guards.fall_multiple * slow_start * rate * view.entry.size
            received = load * weight / total
            drop_share = max(drop_share, 1.0 - allowed / received if received > allowed else 0.0)
    return ClusterAssignment(name, tuple(endpoints), min(1.0, drop_share))


def _socket_address(address: NodeAddress) -> tuple[str, int]:
    return address.address, address.port


def retries_of(method: ifc.Method, permits: ifc.AllowedActions) -> tuple[int, tuple[str, ...], float]:
    """Return the retries of a method at proxies, on which failures, and the timeout of one pick in ms.

    A non-idempotent method is never retried: that a pick never ran is shown to the proxy only, not to us. A tokened one
    is retried within its window, and only where all nodes recognise its repeats, since a proxy chooses the next node by
    itself.
    """
    max_retries = max(0, permits.max_picks - 1)
    if method.repeat == ifc.Idempotency.NON_IDEMPOTENT or max_retries == 0:
        return 0, (), method.hard_ms
    if method.repeat == ifc.Idempotency.TOKENED:
        if method.group != ifc.DedupScope.ALL or method.token_ms <= 0.0:
            return 0, (), method.hard_ms
        # All picks have to begin within the window: as many as fit into it one after the other.
        pick_ms = min(method.soft_ms, method.token_ms / (max_retries + 1))
        fitting = int(method.hard_ms // max(1.0, pick_ms)) - 1 if pick_ms < method.hard_ms else 0
        return min(max_retries, fitting), RETRY_ON, pick_ms
    pick_ms = min(method.soft_ms, method.hard_ms / (max_retries + 1))
    return max_retries, RETRY_ON, pick_ms


def assign(
    view: BalancerView,
    start: ifc.BalancerSettings,
    addresses: Mapping[int, NodeAddress],
    proxies: Mapping[str, ProxyLoad],
    cost: float = 1.0,
) -> Assignment:
    """Return the assignment of an up-to-date proxy.

    Args:
        view: What the balancer knows.
        start: The balancer's settings.
        addresses: Where nodes listen; a node without an address is left out.
        proxies: All proxies that may still route.
        cost: The mean cost of an RPC, in the balancer's units.
    """
    nodes_by_build: dict[int, list[NodeView]] = {}  # 0: all builds that are not on trial
    for node in view.nodes:
        build = node.entry.build if is_candidate(view.news, node.entry.build) else 0
        nodes_by_build.setdefault(build, []).append(node)
    total = math.fsum(proxy.rpcs_per_s for proxy in proxies.values())
    min_rpcs = MIN_RATE_SHARE * total * start.exposure.window_ms / 1000.0
    clusters: dict[int, ClusterAssignment] = {}
    routes = []
    shares: dict[str, dict[int, float]] = {}
    for method in start.methods:
        shares[method.name] = {
            build: compensated_share(trial_share(method, start, view.news, build, min_rpcs), proxies)
            for build in nodes_by_build
            if build and view.fresh
        }
    for build, nodes in sorted(nodes_by_build.items()):
        name = cluster_name(build, build != 0)
        share = max((by_build.get(build, 0.0) for by_build in shares.values()), default=0.0) if build else 1.0
        load = total * share * cost / 1000.0
        clusters[build] = assign_cluster(name, nodes, addresses, view.at_ms, start.guards, view.rate, load)
    earlier = clusters.get(0, ClusterAssignment(EARLIER_CLUSTER, ()))
    for method in start.methods:
        trial_clusters = [
            (clusters[build].name, int(share * SHARE_DENOMINATOR))
            for build, share in shares[method.name].items()
            if clusters[build].endpoints and share > 0.0
        ]
        max_retries, retry_on, pick_ms = retries_of(method, start.permits)
        if trial_clusters:
            max_retries, retry_on, pick_ms = 0, (), method.hard_ms
        weighted = tuple(_complete_shares(trial_clusters, bool(earlier.endpoints)))
        routes.append(MethodRoute(method.name, weighted, method.hard_ms, pick_ms, max_retries, retry_on))
    on_trial_clusters = [cluster for build, cluster in sorted(clusters.items()) if build]
    return Assignment((earlier, *on_trial_clusters), tuple(routes))


def _complete_shares(trial_clusters: list[tuple[str, int]], has_earlier: bool) -> list[tuple[str, int]]:
    """Return shares that add up to `SHARE_DENOMINATOR`; the earlier builds get the rest.

    They get it even without a node, and it is refused there: the cap is a rule, an answer is not.
    """
    total = sum(share for _, share in trial_clusters)
    if total > SHARE_DENOMINATOR:
        trial_clusters = [(name, share * SHARE_DENOMINATOR // total) for name, share in trial_clusters]
    rest = SHARE_DENOMINATOR - sum(share for _, share in trial_clusters)
    if not rest and not has_earlier:
        return trial_clusters
    return [(EARLIER_CLUSTER, rest), *((name, share) for name, share in trial_clusters if share > 0)]


def removed_nodes(before: Assignment, after: Assignment) -> set[int]:
    """Return the nodes that are no longer assigned; such a change is not delayed."""

    def nodes(assignment: Assignment) -> set[int]:
        return {endpoint.node for cluster in assignment.clusters for endpoint in cluster.endpoints}

    return nodes(before) - nodes(after)


def is_urgent(before: Assignment | None, after: Assignment) -> bool:
    """Return whether a change has to be sent at once: drains and falling trial shares; weights can wait."""
    if before is None or removed_nodes(before, after):
        return True
    old = {(route.method, name): share for route in before.routes for name, share in route.weighted_clusters}
    new = {(route.method, name): share for route in after.routes for name, share in route.weighted_clusters}
    return any(key[1] != EARLIER_CLUSTER and new.get(key, 0) < share for key, share in old.items())

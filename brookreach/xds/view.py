"""The module's state as a view: what it knows of nodes, and the news it stands by. It changes nothing."""

from __future__ import annotations

from brookreach import interface as ifc
from brookreach.policy.balancer import Balancer
from brookreach.xds.records import BalancerView, NodeView


def balancer_view(marshal: Balancer, now: float) -> BalancerView:
    """A shunned node has a doubt of 1; one with odds against it, a part of it."""
    desk = marshal.request_router
    nodes = []
    for node in desk.nodes.values():
        doubt = 1.0 if now < node.ejected_until_ms else min(0.9, 0.9 * node.failure_score / node.ejection_score)
        # Before its first answers a cold node's slowness is a guess of the module's own placing.
        slow = node.latency_ratio if node.recent_picks else 1.0
        nodes.append(NodeView(node.entry, doubt, slow))
    nodes.sort(key=lambda one: one.entry.node)
    news: ifc.RolloutStatus | None = desk.status
    return BalancerView(now, news, tuple(nodes), desk.warm_throughput)

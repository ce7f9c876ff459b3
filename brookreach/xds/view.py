"""Reads a view of the nodes and the rollout from the balancer's state. It changes nothing."""

from __future__ import annotations

from brookreach import interface as ifc
from brookreach.policy.balancer import Balancer
from brookreach.xds.records import BalancerView, NodeView

SHUNNED_DOUBT = 1.0
MAX_USABLE_DOUBT = 0.9
"""Doubt of a node whose evidence is just short of having it shunned."""

NORMAL_SLOWNESS = 1.0


def balancer_view(balancer: Balancer, now: float) -> BalancerView:
    """Return the view at a time: a shunned node has a doubt of 1, one with evidence against it a part of it."""
    router = balancer.request_router
    nodes = []
    for node in router.nodes.values():
        if now < node.ejected_until_ms:
            doubt = SHUNNED_DOUBT
        else:
            doubt = min(MAX_USABLE_DOUBT, MAX_USABLE_DOUBT * node.failure_score / node.ejection_score)
        # Before the first answers a cold node's slowness is a guess that only serves the balancer's own picks.
        slow = node.latency_ratio if node.recent_picks else NORMAL_SLOWNESS
        nodes.append(NodeView(node.entry, doubt, slow))
    nodes.sort(key=lambda view: view.entry.node)
    news: ifc.RolloutStatus | None = router.status
    return BalancerView(now, news, tuple(nodes), router.warm_throughput)

"""What proxies are told: a view of the module turned into assignments. No I/O, no clock, no chance.

A proxy draws by itself for each RPC, so nobody counts its picks one by one as a marshal does. The rules are
kept by what it is told: the trial build's share of a route, weights of endpoints, who is left out, what may
be repeated.

The trial share. Over a window all proxies together may have free + cap x N picks at the trial build, N the
RPCs that they take. With a share p each, picks are binomial: about N p, and Z times its root by chance.
N p + Z root(N p) <= free + cap N holds for every N, known or not, if p <= cap k / (1 + k), with
k = 4 free / Z^2. Where N is known to be at least n, p may be larger: the root of the same with n, and never
over the cap. A cap of 1 binds nobody. Repeats at a proxy stay in the cluster that the RPC was drawn for, so
a route with a trial share has none: they would be further picks at the trial build, and further picks go to
the earlier one.
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

MAX_DEVIATIONS = 4.0  # of the normal: one window in 30,000 by chance, at the worst N
EARLIER_CLUSTER = "earlier"


SHARE_DENOMINATOR = 1_000_000


def cluster_name(build: int, trial: bool) -> str:
    return f"build-{build}" if trial else EARLIER_CLUSTER


def safe_trial_share(cap: float, free: float, least: float) -> float:
    """The share that keeps free + cap x N for all N of `least` RPCs a window and more, but for Z deviations.

    Free picks of 0 leave a share only where enough RPCs are known to come.
    """
    if cap <= 0.0:
        return 0.0
    if cap >= 1.0:
        return 1.0
    k = 4.0 * free / (MAX_DEVIATIONS * MAX_DEVIATIONS)
    share = cap * k / (1.0 + k)
    if least > 0.0:
        # N p + MAX_DEVIATIONS root(N p) = free + cap N at N = least, for root(N p).
        room = free + cap * least
        root = 0.5 * (math.sqrt(MAX_DEVIATIONS * MAX_DEVIATIONS + 4.0 * room) - MAX_DEVIATIONS)
        more = root * root / least
        # The tightest N for a share p is p (MAX_DEVIATIONS / 2 (cap - p))^2: it holds where that is under least.
        if more < cap and MAX_DEVIATIONS * math.sqrt(more) <= 2.0 * (cap - more) * math.sqrt(least):
            share = max(share, more)
    return min(cap, share)


def compensated_share(want: float, proxies: Mapping[str, ProxyLoad]) -> float:
    """What proxies that are up to date may have, so that with what others may still use the whole is `want`.

    A proxy that has not ACKed a lower share is taken at the largest that it was ever told since.
    """
    total = math.fsum(use.rpcs_per_s for use in proxies.values())
    if want <= 0.0 or total <= 0.0:
        return max(0.0, want)
    behind = {name: use for name, use in proxies.items() if use.trial_shares and max(use.trial_shares) > want}
    if not behind:
        return want
    used = math.fsum(use.rpcs_per_s * max(use.trial_shares) for use in behind.values())
    rest = total - math.fsum(use.rpcs_per_s for use in behind.values())
    return max(0.0, min(want, (want * total - used) / rest)) if rest > 0.0 else 0.0


def endpoint_weight(view: NodeView, now: float, guards: ifc.SafetyLimits) -> float:
    """What a node can do beside others: size and warmth, less with doubt and slowness; 0: not to be used."""
    if view.entry.state != ifc.NodeState.READY or view.doubt >= 1.0:
        return 0.0
    return view.entry.size * slow_start_factor(view.entry, now, guards) * (1.0 - view.doubt) / max(1.0, view.slow)


def assign_cluster(
    name: str,
    nodes: Sequence[NodeView],
    seats: Mapping[int, NodeAddress],
    now: float,
    guards: ifc.SafetyLimits,
    rate: float,
    asked: float,
) -> ClusterAssignment:
    """Endpoints by weight. `asked` is the cost a ms that the proxies send to this cluster.

    Where even by weight a cold node would get over its part of the rule, the cluster refuses the rest: the
    sum of what all proxies send it is bounded, whoever sends.
    """
    able = [(view, endpoint_weight(view, now, guards)) for view in nodes if view.entry.node in seats]
    used = [(view, weight) for view, weight in able if weight > 0.0]
    if not used:  # better a sick node than none: but never one that drains or is gone
        used = [
            (view, view.entry.size * slow_start_factor(view.entry, now, guards))
            for view, _ in able
            if view.entry.state == ifc.NodeState.READY
        ]
    total = math.fsum(weight for _, weight in used)
    top = max((weight for _, weight in used), default=1.0)
    endpoints = []
    shed = 0.0
    for view, weight in sorted(
        used, key=lambda pair: (seats[pair[0].entry.node].address, seats[pair[0].entry.node].port)
    ):
        seat = seats[view.entry.node]
        endpoints.append(
            Endpoint(
                seat.node,
                seat.address,
                seat.port,
                view.entry.zone,
                max(1, min(1000, round(1000.0 * weight / top))),
                view.doubt >= 0.5,
            )
        )
        warm = slow_start_factor(view.entry, now, guards)
        if warm < 1.0 and rate > 0.0 and asked > 0.0:
            room = SLOW_START_SHARE * guards.fall_multiple * warm * rate * view.entry.size
            gets = asked * weight / total
            shed = max(shed, 1.0 - room / gets if gets > room else 0.0)
    return ClusterAssignment(name, tuple(endpoints), min(1.0, shed))


def retries_of(method: ifc.Method, permits: ifc.AllowedActions) -> tuple[int, tuple[str, ...], float]:
    """Further picks at a proxy, on what, and the time of one pick.

    Non-idempotent: none, ever: a proxy's proof that a pick never ran is not ours. Tokened: within its window
    and only where all nodes drop its repeats, since a proxy chooses the next node by itself.
    """
    most = max(0, permits.max_picks - 1)
    if method.repeat == ifc.Idempotency.NON_IDEMPOTENT or most == 0:
        return 0, (), method.hard_ms
    on: tuple[str, ...] = ("connect-failure", "refused-stream", "reset", "5xx")
    if method.repeat == ifc.Idempotency.TOKENED:
        if method.group != ifc.DedupScope.ALL or method.token_ms <= 0.0:
            return 0, (), method.hard_ms
        # All picks begin within the window: so many of one pick's time fit before it.
        each = min(method.soft_ms, method.token_ms / (most + 1))
        return min(most, int(method.hard_ms // max(1.0, each)) - 1 if each < method.hard_ms else 0), on, each
    each = min(method.soft_ms, method.hard_ms / (most + 1))
    return most, on, each


def trial_share(
    method: ifc.Method, start: ifc.BalancerSettings, news: ifc.RolloutStatus | None, build: int, least: float
) -> float:
    """The share of one route that the build on trial may have before others' use is taken off."""
    if news is None or news.phase in (ifc.RolloutPhase.GOING_BACK, ifc.RolloutPhase.WITHDRAWN):
        return 0.0
    stage, cap = (news.stage, news.cap) if build == news.build else (0, (start.exposure.caps or (0.0,))[0])
    if stage < start.exposure.closed_stages and method.repeat != ifc.Idempotency.IDEMPOTENT:
        return 0.0
    if start.exposure.one_way:
        return 0.0  # which keys have been answered by the new build is not known at proxies
    # Counted by method, each has its own free picks and a part of the RPCs that is not known.
    one_count = not start.exposure.by_method or len(start.methods) == 1
    return safe_trial_share(cap, start.exposure.free, least if one_count else 0.0)


def assign(
    view: BalancerView,
    start: ifc.BalancerSettings,
    seats: Mapping[int, NodeAddress],
    proxies: Mapping[str, ProxyLoad],
    cost: float = 1.0,
) -> Assignment:
    """The assignment of an up-to-date proxy. `cost` is the mean cost of an RPC in the module's units."""
    builds: dict[int, list[NodeView]] = {}
    for node in view.nodes:
        build = node.entry.build if is_candidate(view.news, node.entry.build) else 0
        builds.setdefault(build, []).append(node)
    total = math.fsum(use.rpcs_per_s for use in proxies.values())
    least = 0.5 * total * start.exposure.window_ms / 1000.0  # what they took may halve within a window
    sets: dict[int, ClusterAssignment] = {}
    routes = []
    shares: dict[str, dict[int, float]] = {}
    for method in start.methods:
        shares[method.name] = {
            build: compensated_share(trial_share(method, start, view.news, build, least), proxies)
            for build in builds
            if build and view.fresh
        }
    for build, nodes in sorted(builds.items()):
        name = cluster_name(build, build != 0)
        part = max((own.get(build, 0.0) for own in shares.values()), default=0.0) if build else 1.0
        sets[build] = assign_cluster(
            name, nodes, seats, view.at_ms, start.guards, view.rate, total * part * cost / 1000.0
        )
    earlier = sets.get(0, ClusterAssignment(EARLIER_CLUSTER, ()))
    for method in start.methods:
        repeats, on, each = retries_of(method, start.permits)
        parts = []
        for build, share in shares[method.name].items():
            if sets[build].endpoints and share > 0.0:
                parts.append((sets[build].name, int(share * SHARE_DENOMINATOR)))
        if parts:
            repeats, on, each = 0, (), method.hard_ms
        parts = _whole(parts, bool(earlier.endpoints))
        routes.append(MethodRoute(method.name, tuple(parts), method.hard_ms, each, repeats, on))
    kept = [earlier, *(one for build, one in sorted(sets.items()) if build)]
    return Assignment(tuple(kept), tuple(routes))


def _whole(parts: list[tuple[str, int]], earlier: bool) -> list[tuple[str, int]]:
    """Shares adding up to a million; the earlier builds have the rest.

    Without an earlier node the rest goes to it all the same, and is refused there: the cap is a rule, an
    answer isn't.
    """
    over = sum(share for _, share in parts)
    if over > SHARE_DENOMINATOR:
        parts = [(name, share * SHARE_DENOMINATOR // over) for name, share in parts]
    rest = SHARE_DENOMINATOR - sum(share for _, share in parts)
    if not rest and not earlier:
        return parts
    return [(EARLIER_CLUSTER, rest), *((name, share) for name, share in parts if share > 0)]


def removed_nodes(before: Assignment, after: Assignment) -> set[int]:
    """Nodes that were assigned and are no longer: such a change waits for nothing."""

    def nodes(one: Assignment) -> set[int]:
        return {end.node for cluster in one.clusters for end in cluster.endpoints}

    return nodes(before) - nodes(after)


def is_urgent(before: Assignment | None, after: Assignment) -> bool:
    """Drains and falling trial shares go out at once; warmth and weights may be merged."""
    if before is None or removed_nodes(before, after):
        return True
    old = {(route.method, name): share for route in before.routes for name, share in route.weighted_clusters}
    new = {(route.method, name): share for route in after.routes for name, share in route.weighted_clusters}
    return any(key[1] != EARLIER_CLUSTER and new.get(key, 0) < share for key, share in old.items())

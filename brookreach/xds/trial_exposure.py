"""Which share of a route a build on trial may have at proxies. No I/O, no clock, no random draws.

Over a window all proxies together may make free + cap x N picks at the trial build, N being the RPCs that they take.
With a share p of each RPC the picks are binomial: about N p, and up to Z times the root of N p more by chance. Then N p
+ Z root(N p) <= free + cap N holds for every N, known or not, if p <= cap k / (1 + k) with k = 4 free / Z^2. Where N is
known to be at least n, p may be larger: what solves the same with n, but never over the cap. A cap of 1 binds nobody. Z
is `MAX_DEVIATIONS`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from brookreach import interface as ifc
from brookreach.xds.records import ProxyLoad

MAX_DEVIATIONS = 4.0
"""Standard deviations of the normal distribution: at the worst N one window in 30,000 exceeds the rule by chance."""


def safe_trial_share(cap: float, free: float, min_rpcs: float) -> float:
    """Return the share that keeps free + cap x N, but for `MAX_DEVIATIONS`, for all N of `min_rpcs` and more.

    Args:
        cap: The share of the RPCs that may be picks at the trial build.
        free: Picks that are allowed beside the cap. With 0 there is a share only if enough RPCs are known to come.
        min_rpcs: RPCs that are known to come in a window; 0 if nothing is known.
    """
    if cap <= 0.0:
        return 0.0
    if cap >= 1.0:
        return 1.0
    k = 4.0 * free / (MAX_DEVIATIONS * MAX_DEVIATIONS)
    share = cap * k / (1.0 + k)
    if min_rpcs > 0.0:
        # Solves N p + Z root(N p) = free + cap N at N = min_rpcs for root(N p).
        allowed = free + cap * min_rpcs
        root = 0.5 * (math.sqrt(MAX_DEVIATIONS * MAX_DEVIATIONS + 4.0 * allowed) - MAX_DEVIATIONS)
        larger = root * root / min_rpcs
        # The tightest N for a share p is p (Z / 2 (cap - p))^2: the share holds if that is below min_rpcs.
        if larger < cap and MAX_DEVIATIONS * math.sqrt(larger) <= 2.0 * (cap - larger) * math.sqrt(min_rpcs):
            share = max(share, larger)
    return min(cap, share)


def compensated_share(wanted: float, proxies: Mapping[str, ProxyLoad]) -> float:
    """Return the share for up-to-date proxies that brings all proxies together to the wanted share.

    A proxy that has not ACKed a lower share counts with the largest one that it was sent since its last ACK.
    """
    total = math.fsum(proxy.rpcs_per_s for proxy in proxies.values())
    if wanted <= 0.0 or total <= 0.0:
        return max(0.0, wanted)
    behind = {name: proxy for name, proxy in proxies.items() if proxy.trial_shares and max(proxy.trial_shares) > wanted}
    if not behind:
        return wanted
    used = math.fsum(proxy.rpcs_per_s * max(proxy.trial_shares) for proxy in behind.values())
    up_to_date = total - math.fsum(proxy.rpcs_per_s for proxy in behind.values())
    if up_to_date <= 0.0:
        return 0.0
    return max(0.0, min(wanted, (wanted * total - used) / up_to_date))


def trial_share(
    method: ifc.Method, start: ifc.BalancerSettings, news: ifc.RolloutStatus | None, build: int, min_rpcs: float
) -> float:
    """Return a method's share for a build on trial, before the use of proxies that are behind is taken off.

    Args:
        method: The route's method.
        start: The balancer's settings.
        news: The rollout's status; None if none is known.
        build: The build on trial.
        min_rpcs: RPCs of all methods that are known to come in a window.
    """
    if news is None or news.phase in (ifc.RolloutPhase.GOING_BACK, ifc.RolloutPhase.WITHDRAWN):
        return 0.0
    if build == news.build:
        stage = news.stage
        cap = news.cap
    else:
        stage = 0
        cap = (start.exposure.caps or (0.0,))[0]
    if stage < start.exposure.closed_stages and method.repeat != ifc.Idempotency.IDEMPOTENT:
        return 0.0
    if start.exposure.one_way:
        return 0.0  # proxies don't know which keys the new build has answered
    # Counted by method, each method has its own free picks and an unknown part of the RPCs.
    counted_together = not start.exposure.by_method or len(start.methods) == 1
    return safe_trial_share(cap, start.exposure.free, min_rpcs if counted_together else 0.0)

"""The control service's state: the view as it stands, what proxies hold, when the next snapshot goes out.

No I/O: `now` is handed in. Urgent changes (drains, falling trial shares) are published at once, others are
merged for `merge_ms`. A proxy that is gone may go on with what it was told last, so it counts for
`proxy_ttl_ms`.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from brookreach import interface as ifc
from brookreach.xds import assign, resources
from brookreach.xds.messages import RDS, DiscoveryResponse, Limits, Snapshot
from brookreach.xds.records import Assignment, BalancerView, ClusterAssignment, NodeAddress, ProxyLoad
from brookreach.xds.stream import AdsStream


@dataclass
class Proxy:
    """One proxy by its node id, over its streams."""

    name: str
    sessions: list[AdsStream] = field(default_factory=list)
    rate: float = 0.0  # RPCs a second by its last sound report
    last_shares: tuple[float, ...] = ()  # when its last stream ended
    left_at: float = math.inf

    def trial_shares(self, trial_share_of: Callable[[str], float]) -> tuple[float, ...]:
        shares = {trial_share_of(version) for one in self.sessions for version in one.usable_versions(RDS)}
        return tuple(sorted(shares | set(self.last_shares)))


class SnapshotCache:
    """All of it. `publish` gives the snapshot that every session is held against."""

    def __init__(
        self,
        start: ifc.BalancerSettings,
        zones: Sequence[str],
        instance_id: str,
        merge_ms: float = 100.0,
        proxy_ttl_ms: float = 300_000.0,
        removal_grace_ms: float = 30_000.0,
        max_proxies: int = 4096,
    ):
        self.start, self.zones, self.instance_id = start, zones, instance_id
        self.merge_ms, self.proxy_ttl_ms, self.removal_grace_ms, self.max_proxies = (
            merge_ms,
            proxy_ttl_ms,
            removal_grace_ms,
            max_proxies,
        )
        self.proxies: dict[str, Proxy] = {}
        self.view: BalancerView | None = None
        self.addresses: Mapping[int, NodeAddress] = {}
        self.assignment: Assignment | None = None
        self.snapshot: Snapshot | None = None
        self.publish_at = math.inf
        self.removal_times: dict[str, float] = {}  # clusters that went: until when they stand empty
        self.share_by_version: OrderedDict[str, float] = OrderedDict()  # by routes' version: the largest trial share

    # --- proxies ---

    def open_stream(self, now: float, name: str, delta: bool, limits: Limits | None = None) -> AdsStream | None:
        """A stream begins; None where there are too many proxies."""
        self.expire_proxies(now)
        if name not in self.proxies and len(self.proxies) >= self.max_proxies:
            return None
        proxy = self.proxies.setdefault(name, Proxy(name))
        session = AdsStream(delta, self.instance_id, limits)
        proxy.sessions.append(session)
        proxy.left_at = math.inf
        return session

    def close_stream(self, now: float, name: str, session: AdsStream) -> None:
        proxy = self.proxies.get(name)
        if proxy is None or session not in proxy.sessions:
            return
        shares = proxy.trial_shares(self.trial_share_of)
        proxy.sessions.remove(session)
        if not proxy.sessions:
            proxy.left_at, proxy.last_shares = now, shares

    def expire_proxies(self, now: float) -> None:
        for name in [n for n, proxy in self.proxies.items() if now > proxy.left_at + self.proxy_ttl_ms]:
            del self.proxies[name]

    def handle_ack(self, now: float, name: str) -> None:
        """A proxy has ACKed: what an earlier stream of it was told is over once this one's routes stand."""
        proxy = self.proxies.get(name)
        if proxy is None or self.snapshot is None:
            return
        if proxy.last_shares and any(one.is_acked(RDS, self.snapshot) for one in proxy.sessions):
            proxy.last_shares = ()
        self.schedule_publish(now, False)

    def record_load(self, name: str, rate: float) -> None:
        if name in self.proxies:
            self.proxies[name].rate = rate

    def trial_share_of(self, version: str) -> float:
        """The largest trial share of a version of the routes; what is not known counts as the cap of all."""
        return self.share_by_version.get(version, 1.0)

    def proxy_loads(self) -> dict[str, ProxyLoad]:
        return {
            name: ProxyLoad(proxy.rate, proxy.trial_shares(self.trial_share_of)) for name, proxy in self.proxies.items()
        }

    # --- the view ---

    def update(self, now: float, view: BalancerView, addresses: Mapping[int, NodeAddress]) -> bool:
        """A new view; whether it must go out at once."""
        self.view, self.addresses = view, addresses
        made = self.make_assignment(now)
        hurry = assign.is_urgent(self.assignment, made)
        if made != self.assignment:
            self.schedule_publish(now, hurry)
        return hurry

    def schedule_publish(self, now: float, hurry: bool) -> None:
        self.publish_at = now if hurry else min(self.publish_at, now + self.merge_ms)

    def make_assignment(self, now: float) -> Assignment:
        assert self.view is not None
        made = assign.assign(replace(self.view, at_ms=now), self.start, self.addresses, self.proxy_loads())
        names = {one.name for one in made.clusters}
        for one in self.assignment.clusters if self.assignment else ():
            if one.name not in names:
                # Routes under way still name it: it stands, empty, until they are surely gone.
                until = self.removal_times.setdefault(one.name, now + self.removal_grace_ms)
                if now < until:
                    made = replace(made, clusters=(*made.clusters, ClusterAssignment(one.name, ())))
        self.removal_times = {n: until for n, until in self.removal_times.items() if n not in names and now < until}
        return made

    def publish(self, now: float) -> Snapshot | None:
        """The snapshot if it is due and differs; else None."""
        if self.view is None or now < self.publish_at:
            return None
        self.publish_at = min(self.removal_times.values(), default=math.inf)
        made = self.make_assignment(now)
        if made == self.assignment:
            return None
        before = self.snapshot
        self.assignment, self.snapshot = made, resources.make_snapshot(made, self.zones)
        if before is not None and before.versions == self.snapshot.versions:
            return None
        parts = [
            part for route in made.routes for name, part in route.weighted_clusters if name != assign.EARLIER_CLUSTER
        ]
        version = self.snapshot.of(RDS)[resources.ROUTE_CONFIGURATION_NAME].version
        self.share_by_version[version] = max(parts, default=0) / assign.SHARE_DENOMINATOR
        self.share_by_version.move_to_end(version)
        while len(self.share_by_version) > 1024:
            self.share_by_version.popitem(last=False)
        return self.snapshot

    def pending_responses(self, session: AdsStream) -> list[DiscoveryResponse]:
        """What this stream is to be told now."""
        return session.pending_responses(self.snapshot) if self.snapshot is not None else []

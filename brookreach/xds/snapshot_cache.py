"""The control plane's state: the current view, the proxies with their streams, and when the next snapshot is published.

There is no I/O, and `now` is an argument. Urgent changes (drains, falling trial shares) are published at once, others
are merged for `merge_ms`. A proxy that has disconnected may go on routing by what it was sent last, so that it counts
for `proxy_ttl_ms`.
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

MAX_REMEMBERED_VERSIONS = 1024
UNKNOWN_VERSION_SHARE = 1.0


@dataclass
class Proxy:
    """One proxy, known by its node id.

    Attributes:
        name: The node id.
        streams: Its open streams.
        rate: RPCs a second in its last valid load report.
        last_shares: The trial shares that it could use when its last stream ended.
        left_at: When its last stream ended, in ms; infinite while one is open.
    """

    name: str
    streams: list[AdsStream] = field(default_factory=list)
    rate: float = 0.0
    last_shares: tuple[float, ...] = ()
    left_at: float = math.inf

    def trial_shares(self, trial_share_of: Callable[[str], float]) -> tuple[float, ...]:
        """Return the trial shares that it may use, in ascending order.

        Args:
            trial_share_of: Gives the trial share of a version of the routes.
        """
        shares = {trial_share_of(version) for stream in self.streams for version in stream.usable_versions(RDS)}
        return tuple(sorted(shares | set(self.last_shares)))


class SnapshotCache:
    """The current snapshot and the proxies that it is sent to.

    Attributes:
        start: The balancer's settings.
        zones: Names of zones by their index.
        instance_id: Of this server, unlike that of any other; see `AdsStream`.
        merge_ms: How long changes that are not urgent are merged.
        proxy_ttl_ms: How long a disconnected proxy counts.
        removal_grace_ms: How long a removed cluster is kept without endpoints.
        max_proxies: Proxies that are known at a time.
        proxies: By node id.
        view: The latest view.
        addresses: Where nodes listen, by node.
        assignment: What the snapshot was made from.
        snapshot: The published one, to which every stream is brought.
        publish_at: When the next snapshot is due, in ms; infinite while there is no change.
        removal_times: By cluster: until when it is kept without endpoints.
        share_by_version: By version of the routes: their largest trial share.
    """

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
        self.start = start
        self.zones = zones
        self.instance_id = instance_id
        self.merge_ms = merge_ms
        self.proxy_ttl_ms = proxy_ttl_ms
        self.removal_grace_ms = removal_grace_ms
        self.max_proxies = max_proxies
        self.proxies: dict[str, Proxy] = {}
        self.view: BalancerView | None = None
        self.addresses: Mapping[int, NodeAddress] = {}
        self.assignment: Assignment | None = None
        self.snapshot: Snapshot | None = None
        self.publish_at = math.inf
        self.removal_times: dict[str, float] = {}
        self.share_by_version: OrderedDict[str, float] = OrderedDict()

    def open_stream(self, now: float, name: str, delta: bool, limits: Limits | None = None) -> AdsStream | None:
        """Open a stream of a proxy; return None if it is not known and there are too many others."""
        self.expire_proxies(now)
        if name not in self.proxies and len(self.proxies) >= self.max_proxies:
            return None
        proxy = self.proxies.setdefault(name, Proxy(name))
        stream = AdsStream(delta, self.instance_id, limits)
        proxy.streams.append(stream)
        proxy.left_at = math.inf
        return stream

    def close_stream(self, now: float, name: str, stream: AdsStream) -> None:
        """Close a stream; after its last one the proxy counts for a while with the trial shares that it could use."""
        proxy = self.proxies.get(name)
        if proxy is None or stream not in proxy.streams:
            return
        shares = proxy.trial_shares(self.trial_share_of)
        proxy.streams.remove(stream)
        if not proxy.streams:
            proxy.left_at = now
            proxy.last_shares = shares

    def expire_proxies(self, now: float) -> None:
        """Remove the proxies that disconnected more than `proxy_ttl_ms` ago."""
        for name in [name for name, proxy in self.proxies.items() if now > proxy.left_at + self.proxy_ttl_ms]:
            del self.proxies[name]

    def handle_ack(self, now: float, name: str) -> None:
        """Take note that a proxy has ACKed or NACKed: what other proxies may use can change by it.

        Once it has ACKed the newest routes on a stream, the shares of its earlier streams no longer count.
        """
        proxy = self.proxies.get(name)
        if proxy is None or self.snapshot is None:
            return
        if proxy.last_shares and any(stream.is_acked(RDS, self.snapshot) for stream in proxy.streams):
            proxy.last_shares = ()
        self.schedule_publish(now, False)

    def record_load(self, name: str, rate: float) -> None:
        """Set the RPCs a second that a proxy reports."""
        if name in self.proxies:
            self.proxies[name].rate = rate

    def trial_share_of(self, version: str) -> float:
        """Return the largest trial share of a version of the routes; an unknown version counts as all RPCs."""
        return self.share_by_version.get(version, UNKNOWN_VERSION_SHARE)

    def proxy_loads(self) -> dict[str, ProxyLoad]:
        """Return the load and the usable trial shares of each proxy."""
        return {
            name: ProxyLoad(proxy.rate, proxy.trial_shares(self.trial_share_of)) for name, proxy in self.proxies.items()
        }

    def update(self, now: float, view: BalancerView, addresses: Mapping[int, NodeAddress]) -> bool:
        """Set the view and schedule what it changes; return whether that has to be published at once."""
        self.view = view
        self.addresses = addresses
        assignment = self.make_assignment(now)
        urgent = assign.is_urgent(self.assignment, assignment)
        if assignment != self.assignment:
            self.schedule_publish(now, urgent)
        return urgent

    def schedule_publish(self, now: float, urgent: bool) -> None:
        """Schedule the next snapshot: now if it is urgent, else once changes have been merged."""
        self.publish_at = now if urgent else min(self.publish_at, now + self.merge_ms)

    def make_assignment(self, now: float) -> Assignment:
        """Return the assignment for the current view, with removed clusters that are still kept."""
        assert self.view is not None
        assignment = assign.assign(replace(self.view, at_ms=now), self.start, self.addresses, self.proxy_loads())
        names = {cluster.name for cluster in assignment.clusters}
        for cluster in self.assignment.clusters if self.assignment else ():
            if cluster.name not in names:
                # Routes that are still in use name it: it stays without endpoints until they are surely replaced.
                until = self.removal_times.setdefault(cluster.name, now + self.removal_grace_ms)
                if now < until:
                    kept = ClusterAssignment(cluster.name, ())
                    assignment = replace(assignment, clusters=(*assignment.clusters, kept))
        self.removal_times = {
            name: until for name, until in self.removal_times.items() if name not in names and now < until
        }
        return assignment

    def publish(self, now: float) -> Snapshot | None:
        """Make the snapshot if it is due; return it if it differs from the one before, else None."""
        if self.view is None or now < self.publish_at:
            return None
        self.publish_at = min(self.removal_times.values(), default=math.inf)
        assignment = self.make_assignment(now)
        if assignment == self.assignment:
            return None
        previous = self.snapshot
        self.assignment = assignment
        self.snapshot = resources.make_snapshot(assignment, self.zones)
        if previous is not None and previous.versions == self.snapshot.versions:
            return None
        self._remember_trial_share(assignment, self.snapshot)
        return self.snapshot

    def _remember_trial_share(self, assignment: Assignment, snapshot: Snapshot) -> None:
        """Store the largest trial share of the routes by their version."""
        shares = [
            share
            for route in assignment.routes
            for name, share in route.weighted_clusters
            if name != assign.EARLIER_CLUSTER
        ]
        version = snapshot.of(RDS)[resources.ROUTE_CONFIGURATION_NAME].version
        self.share_by_version[version] = max(shares, default=0) / assign.SHARE_DENOMINATOR
        self.share_by_version.move_to_end(version)
        while len(self.share_by_version) > MAX_REMEMBERED_VERSIONS:
            self.share_by_version.popitem(last=False)

    def pending_responses(self, stream: AdsStream) -> list[DiscoveryResponse]:
        """Return what a stream may be sent now."""
        return stream.pending_responses(self.snapshot) if self.snapshot is not None else []

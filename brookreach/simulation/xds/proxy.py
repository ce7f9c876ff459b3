"""A simulated proxy: the client's side of the discovery protocol, and routing by what it was sent last."""

from __future__ import annotations

from typing import TYPE_CHECKING

from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2

from brookreach.simulation.xds import checks
from brookreach.simulation.xds.payloads import unpack_payload
from brookreach.xds import assign, messages, resources
from brookreach.xds.messages import CDS, EDS, RDS, DiscoveryRequest, DiscoveryResponse
from brookreach.xds.stream import AdsStream

if TYPE_CHECKING:
    from brookreach.simulation.xds.fleet_simulation import FleetSimulation

NACK_PROBABILITY = 0.02
MIN_DELAY_MS = 1.0
MAX_DELAY_MS = 80.0


class SimulatedProxy:
    """One proxy.

    Attributes:
        name: Its node id.
        simulation: The simulation that it belongs to.
        delta: Whether it uses the delta variant of the protocol.
        rate: RPCs a second.
        stream: Its open stream, if any.
        resources: What it routes by: version and payload by type URL and name.
        muted: Whether it takes no responses for now.
    """

    def __init__(self, name: str, simulation: FleetSimulation, delta: bool, rate: float):
        self.name = name
        self.simulation = simulation
        self.delta = delta
        self.rate = rate
        self.stream: AdsStream | None = None
        self.resources: dict[str, dict[str, tuple[str, bytes]]] = {}
        self.muted = False
        self._has_endpoints: dict[str, tuple[str, bool]] = {}  # by cluster: for a version of its endpoints
        self._routes: tuple[str, dict[str, list[tuple[str, int]]]] = ("", {})  # by method: for a version of the routes

    def connect(self) -> None:
        """Open a stream and subscribe to all types, with what is still held from an earlier stream."""
        self.stream = self.simulation.cache.open_stream(self.simulation.now, self.name, self.delta)
        assert self.stream is not None
        for url in messages.UPDATE_ORDER:
            held = self.resources.get(url, {}) if self.delta else {}
            initial = {name: version for name, (version, _) in held.items()}
            names = () if url in messages.WILDCARD_TYPES else tuple(self._subscribed_names(url))
            if self.delta:
                self.stream.handle_request(DiscoveryRequest(url, subscribe=names, initial_resource_versions=initial))
            else:
                self.stream.handle_request(DiscoveryRequest(url, resource_names=names))
        self.flush()

    def disconnect(self) -> None:
        """Close the stream, if one is open."""
        if self.stream is not None:
            self.simulation.cache.close_stream(self.simulation.now, self.name, self.stream)
            self.stream = None

    def flush(self) -> None:
        """Check and send the responses that are due; they arrive after a delay."""
        if self.stream is None:
            return
        for response in self.simulation.cache.pending_responses(self.stream):
            checks.check_response(self.simulation, self, response)
            delay_ms = self.simulation.random.uniform(MIN_DELAY_MS, MAX_DELAY_MS)
            self.simulation.schedule(delay_ms, self._receive, self.stream, response)

    def _receive(self, stream: AdsStream, response: DiscoveryResponse) -> None:
        """Take a response in and ACK it, or NACK it now and then."""
        if stream is not self.stream or self.muted:
            return
        url = response.type_url
        if self.simulation.random.random() < NACK_PROBABILITY:
            names = self._requested_names(url)
            stream.handle_request(
                DiscoveryRequest(url, response.nonce, resource_names=names, error_detail="13 can't use it")
            )
            self.flush()
            return
        held = self.resources.setdefault(url, {})
        if not self.delta and url in messages.WILDCARD_TYPES:
            held.clear()
        for name in response.removed_resources:
            held.pop(name, None)
        held.update({resource.name: (resource.version, resource.payload) for resource in response.resources})
        names = self._requested_names(url)
        stream.handle_request(DiscoveryRequest(url, response.nonce, response.version_info, resource_names=names))
        if url == CDS:
            self._subscribe_to_endpoints(stream)
        self.simulation.cache.handle_ack(self.simulation.now, self.name)
        self.flush()

    def _subscribed_names(self, url: str) -> list[str]:
        if url == RDS:
            return [resources.ROUTE_CONFIGURATION_NAME]
        return sorted({assign.EARLIER_CLUSTER, *self.resources.get(EDS, {}), *self._cluster_names()})

    def _requested_names(self, url: str) -> tuple[str, ...]:
        """Return the names that a request lists: the whole subscription, or none where only changes are told."""
        return () if self.delta or url in messages.WILDCARD_TYPES else tuple(self._subscribed_names(url))

    def _cluster_names(self) -> set[str]:
        """Return the names under which the held clusters have their endpoints."""
        return {name.split("/")[0] for name in self.resources.get(CDS, {})}

    def _subscribe_to_endpoints(self, stream: AdsStream) -> None:
        """Bring the subscription of endpoints to the held clusters."""
        subscription = stream.subscriptions[EDS]
        names = self._cluster_names()
        if self.delta:
            added = tuple(sorted(names - subscription.names))
            removed = tuple(sorted(subscription.names - names))
            if added or removed:
                stream.handle_request(DiscoveryRequest(EDS, subscribe=added, unsubscribe=removed))
            for name in removed:
                self.resources.get(EDS, {}).pop(name, None)
        else:
            nonce = subscription.last_nonce
            stream.handle_request(DiscoveryRequest(EDS, nonce, resource_names=tuple(self._subscribed_names(EDS))))

    def draw_cluster(self, method: str) -> str:
        """Draw the cluster that an RPC of a method goes to; empty if it is refused here."""
        version, payload = self.resources.get(RDS, {}).get(resources.ROUTE_CONFIGURATION_NAME, ("", b""))
        if not version:
            return ""
        if self._routes[0] != version:
            routes = {}
            for route in unpack_payload(route_pb2.RouteConfiguration, payload).virtual_hosts[0].routes:
                weighted = route.route.weighted_clusters.clusters
                routes[route.name] = [(cluster.name, cluster.weight.value) for cluster in weighted]
            self._routes = version, routes
        clusters = self._routes[1].get(method, [])
        drawn = self.simulation.random.random() * sum(share for _, share in clusters)
        for name, share in clusters:
            drawn -= share
            if drawn < 0.0:
                cluster = name.split("/")[0]
                return cluster if self._holds_endpoint(cluster) else ""
        return ""

    def _holds_endpoint(self, cluster: str) -> bool:
        """Return whether it holds an endpoint of a cluster: after a NACK, routes may name an empty one."""
        version, payload = self.resources.get(EDS, {}).get(cluster, ("", b""))
        if self._has_endpoints.get(cluster, ("", False))[0] != version:
            message = unpack_payload(endpoint_pb2.ClusterLoadAssignment, payload) if payload else None
            self._has_endpoints[cluster] = version, bool(message and message.endpoints)
        return self._has_endpoints.get(cluster, ("", False))[1]

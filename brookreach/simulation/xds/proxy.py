"""A scripted proxy: the client's side of the protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2

from brookreach.simulation.xds import checks
from brookreach.simulation.xds.payload import message
from brookreach.xds import assign, messages, resources
from brookreach.xds.messages import CDS, EDS, RDS, DiscoveryRequest, DiscoveryResponse
from brookreach.xds.stream import AdsStream

if TYPE_CHECKING:
    from brookreach.simulation.xds.world import World


class StandIn:
    """One proxy. `held` is what it would route by: resources by type and name."""

    def __init__(self, name: str, world: World, delta: bool, rate: float):
        self.name, self.world, self.delta, self.rate = name, world, delta, rate
        self.session: AdsStream | None = None
        self.held: dict[str, dict[str, tuple[str, bytes]]] = {}
        self.mute = False
        self.reach_cache: dict[str, tuple[str, bool]] = {}
        self.route_cache: tuple[str, dict[str, list[tuple[str, int]]]] = ("", {})

    def connect(self) -> None:
        self.session = self.world.cache.open_stream(self.world.now, self.name, self.delta)
        assert self.session is not None
        for url in messages.UPDATE_ORDER:
            initial = {name: version for name, (version, _) in self.held.get(url, {}).items()} if self.delta else {}
            names = () if url in messages.WILDCARD_TYPES else tuple(self.names_of(url))
            if self.delta:
                self.session.handle_request(DiscoveryRequest(url, subscribe=names, initial_resource_versions=initial))
            else:
                self.session.handle_request(DiscoveryRequest(url, resource_names=names))
        self.flush()

    def names_of(self, url: str) -> list[str]:
        return (
            [resources.ROUTE_CONFIGURATION_NAME]
            if url == RDS
            else sorted({assign.EARLIER_CLUSTER, *self.held.get(EDS, {}), *self.wanted})
        )

    @property
    def wanted(self) -> set[str]:
        return {name.split("/")[0] for name in self.held.get(CDS, {})}

    def drop(self) -> None:
        if self.session is not None:
            self.world.cache.close_stream(self.world.now, self.name, self.session)
            self.session = None

    def flush(self) -> None:
        """Answers that are due go out now, and arrive later."""
        if self.session is None:
            return
        for answer in self.world.cache.pending_responses(self.session):
            checks.sent(self.world, self, answer)
            self.world.at(self.world.chance.uniform(1.0, 80.0), self.arrive, self.session, answer)

    def arrive(self, session: AdsStream, answer: DiscoveryResponse) -> None:
        if session is not self.session or self.mute:
            return
        if self.world.chance.random() < 0.02:
            session.handle_request(
                DiscoveryRequest(
                    answer.type_url,
                    answer.nonce,
                    resource_names=self.asked(answer.type_url),
                    error_detail="13 can't use it",
                )
            )
            return self.flush()
        held = self.held.setdefault(answer.type_url, {})
        if not self.delta and answer.type_url in messages.WILDCARD_TYPES:
            held.clear()
        for name in answer.removed_resources:
            held.pop(name, None)
        held.update({one.name: (one.version, one.payload) for one in answer.resources})
        session.handle_request(
            DiscoveryRequest(
                answer.type_url, answer.nonce, answer.version_info, resource_names=self.asked(answer.type_url)
            )
        )
        if answer.type_url == CDS:
            self.follow_endpoints(session)
        self.world.cache.handle_ack(self.world.now, self.name)
        self.flush()

    def asked(self, url: str) -> tuple[str, ...]:
        return () if self.delta or url in messages.WILDCARD_TYPES else tuple(self.names_of(url))

    def follow_endpoints(self, session: AdsStream) -> None:
        kind = session.subscriptions[EDS]
        names = self.wanted
        if self.delta:
            new, old = tuple(sorted(names - kind.names)), tuple(sorted(kind.names - names))
            if new or old:
                session.handle_request(DiscoveryRequest(EDS, subscribe=new, unsubscribe=old))
            for name in old:
                self.held.get(EDS, {}).pop(name, None)
        else:
            session.handle_request(DiscoveryRequest(EDS, kind.last_nonce, resource_names=tuple(self.names_of(EDS))))

    def draws(self, method: str) -> str:
        """The build that an RPC of the method goes to, by what was told last."""
        version, payload = self.held.get(RDS, {}).get(resources.ROUTE_CONFIGURATION_NAME, ("", b""))
        if not version:
            return ""
        if self.route_cache[0] != version:
            table = {}
            for route in message(route_pb2.RouteConfiguration, payload).virtual_hosts[0].routes:
                table[route.name] = [(one.name, one.weight.value) for one in route.route.weighted_clusters.clusters]
            self.route_cache = version, table
        parts = self.route_cache[1].get(method, [])
        drawn = self.world.chance.random() * sum(share for _, share in parts)
        for name, share in parts:
            drawn -= share
            if drawn < 0.0:
                build = name.split("/")[0]
                return build if self.reaches(build) else ""
        return ""

    def reaches(self, build: str) -> bool:
        """Whether it holds an endpoint of the build: what it NACKed may name a cluster that stands empty."""
        version, payload = self.held.get(EDS, {}).get(build, ("", b""))
        if self.reach_cache.get(build, ("", False))[0] != version:
            made = message(endpoint_pb2.ClusterLoadAssignment, payload) if payload else None
            self.reach_cache[build] = version, bool(made and made.endpoints)
        return self.reach_cache.get(build, ("", False))[1]

"""An assignment as the published v3 types: clusters, endpoints, a listener, a route configuration.

Payloads are serialised deterministically and versions are digests of them, so that any server on the same
input gives the same versions, and one that has restarted never gives an old version to something new. A
cluster stands for a build and a method, so that load reports tell both; the clusters of a build share its
endpoints.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from typing import Any

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import address_pb2, config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import api_listener_pb2, listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2 as hcm_pb2
from google.protobuf import any_pb2, duration_pb2, wrappers_pb2

from brookreach.xds.messages import CDS, EDS, LDS, RDS, Resource, Snapshot
from brookreach.xds.records import Assignment, ClusterAssignment, Endpoint, MethodRoute

LISTENER_NAME, ROUTE_CONFIGURATION_NAME = "brookreach", "brookreach-routes"
METHOD_HEADER = "x-brookreach-method"


def _any(message: Any) -> any_pb2.Any:
    held = any_pb2.Any()
    held.Pack(message, deterministic=True)
    return held


def _ms(value: float) -> duration_pb2.Duration:
    whole = max(0, round(value * 1000.0))
    return duration_pb2.Duration(seconds=whole // 1_000_000, nanos=whole % 1_000_000 * 1000)


def _ads() -> config_source_pb2.ConfigSource:
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
    )


def cluster_resource_name(build: str, method: str) -> str:
    return f"{build}/{method}"


def make_cluster(one: ClusterAssignment, method: str) -> cluster_pb2.Cluster:
    """Endpoints come by EDS; the LB keeps to weights within a locality, and reports load."""
    return cluster_pb2.Cluster(
        name=cluster_resource_name(one.name, method),
        type=cluster_pb2.Cluster.EDS,
        connect_timeout=_ms(250.0),
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=_ads(), service_name=one.name),
        lb_policy=cluster_pb2.Cluster.LEAST_REQUEST,
        lrs_server=config_source_pb2.ConfigSource(
            self=config_source_pb2.SelfConfigSource(), resource_api_version=config_source_pb2.V3
        ),
    )


def make_load_assignment(one: ClusterAssignment, zones: Sequence[str]) -> endpoint_pb2.ClusterLoadAssignment:
    """By locality; sick endpoints a priority lower; what must be refused as an overload drop."""
    places: dict[tuple[int, int], list[Endpoint]] = {}
    least = min((int(end.degraded) for end in one.endpoints), default=0)  # priorities begin at 0 without a gap
    for end in one.endpoints:
        places.setdefault((int(end.degraded) - least, end.zone), []).append(end)
    made = endpoint_pb2.ClusterLoadAssignment(cluster_name=one.name)
    for (priority, zone), some in sorted(places.items()):
        place = made.endpoints.add(priority=priority)
        place.locality.zone = zones[zone] if 0 <= zone < len(zones) else f"zone-{zone}"
        place.load_balancing_weight.value = sum(end.weight for end in some)
        for end in some:
            place.lb_endpoints.append(
                endpoint_components_pb2.LbEndpoint(
                    endpoint=endpoint_components_pb2.Endpoint(
                        address=address_pb2.Address(
                            socket_address=address_pb2.SocketAddress(address=end.address, port_value=end.port)
                        )
                    ),
                    health_status=health_check_pb2.DEGRADED if end.degraded else health_check_pb2.HEALTHY,
                    load_balancing_weight=wrappers_pb2.UInt32Value(value=end.weight),
                )
            )
    if one.drop_share > 0.0:
        drop = made.policy.drop_overloads.add(category="cold")
        drop.drop_percentage.numerator = min(1_000_000, round(one.drop_share * 1_000_000))
        drop.drop_percentage.denominator = 2  # of a million
    return made


def make_route_configuration(some: Sequence[MethodRoute]) -> route_pb2.RouteConfiguration:
    """A route for each method, matched by a header; hedging is never told."""
    made = route_pb2.RouteConfiguration(name=ROUTE_CONFIGURATION_NAME)
    host = made.virtual_hosts.add(name="all", domains=["*"])
    for one in some:
        route = host.routes.add(name=one.method)
        route.match.prefix = "/"
        header = route.match.headers.add(name=METHOD_HEADER)
        header.string_match.exact = one.method
        for name, share in one.weighted_clusters:
            route.route.weighted_clusters.clusters.add(
                name=cluster_resource_name(name, one.method), weight=wrappers_pb2.UInt32Value(value=share)
            )
        route.route.timeout.CopyFrom(_ms(one.timeout_ms))
        if one.max_retries > 0:
            policy = route.route.retry_policy
            policy.retry_on = ",".join(one.retry_on)
            policy.num_retries.value = one.max_retries
            policy.per_try_timeout.CopyFrom(_ms(one.per_try_timeout_ms))
            policy.retry_host_predicate.add(name="envoy.retry_host_predicates.previous_hosts")
            policy.host_selection_retry_max_attempts = 5
    # What names no method of ours is not routed: nobody could say whether it may run twice.
    rest = host.routes.add(name="unknown")
    rest.match.prefix = "/"
    rest.direct_response.status = 400
    return made


def make_listener() -> listener_pb2.Listener:
    """An API listener: proxies that listen by themselves put their own in front."""
    manager = hcm_pb2.HttpConnectionManager(
        stat_prefix="brookreach", rds=hcm_pb2.Rds(config_source=_ads(), route_config_name=ROUTE_CONFIGURATION_NAME)
    )
    manager.http_filters.add(name="envoy.filters.http.router", typed_config=_any(router_pb2.Router()))
    return listener_pb2.Listener(
        name=LISTENER_NAME, api_listener=api_listener_pb2.ApiListener(api_listener=_any(manager))
    )


def digest(octets: bytes) -> str:
    return hashlib.blake2b(octets, digest_size=12).hexdigest()


def make_resource(name: str, message: Any) -> Resource:
    """A message as a resource whose version is its content's digest."""
    payload = _any(message).SerializeToString(deterministic=True)
    return Resource(name, digest(payload), payload)


def make_snapshot(one: Assignment, zones: Sequence[str]) -> Snapshot:
    """All resources of an assignment."""
    kinds: dict[str, dict[str, Resource]] = {CDS: {}, EDS: {}, LDS: {}, RDS: {}}
    for held in one.clusters:
        for route in one.routes:
            name = cluster_resource_name(held.name, route.method)
            kinds[CDS][name] = make_resource(name, make_cluster(held, route.method))
        kinds[EDS][held.name] = make_resource(held.name, make_load_assignment(held, zones))
    kinds[LDS][LISTENER_NAME] = make_resource(LISTENER_NAME, make_listener())
    kinds[RDS][ROUTE_CONFIGURATION_NAME] = make_resource(ROUTE_CONFIGURATION_NAME, make_route_configuration(one.routes))
    versions = {
        url: digest("".join(f"{name}={r.version};" for name, r in sorted(some.items())).encode())
        for url, some in kinds.items()
    }
    return Snapshot(versions, kinds)

"""An assignment as resources of the published v3 types: clusters, endpoints, a listener, a route configuration.

Payloads are serialised deterministically, and versions are digests of them: any server gives the same versions for the
same input, and one that has restarted never gives an old version to something new. There is a cluster for each build
and method, so that load reports tell both; the clusters of a build share its endpoints.
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
from envoy.type.v3 import percent_pb2
from google.protobuf import any_pb2, duration_pb2, wrappers_pb2

from brookreach.xds.messages import CDS, EDS, LDS, RDS, Resource, Snapshot
from brookreach.xds.records import Assignment, ClusterAssignment, Endpoint, MethodRoute

LISTENER_NAME = "brookreach"
ROUTE_CONFIGURATION_NAME = "brookreach-routes"
METHOD_HEADER = "x-brookreach-method"
"""The request header by which a proxy finds the route of a method."""

CONNECT_TIMEOUT_MS = 250.0
HOST_SELECTION_ATTEMPTS = 5
"""How often a retry draws another host where it drew one that was tried before."""

DROP_DENOMINATOR = 1_000_000
DIGEST_BYTES = 12


def _any(message: Any) -> any_pb2.Any:  # any: the protobuf messages are not typed
    packed = any_pb2.Any()
    packed.Pack(message, deterministic=True)
    return packed


def _duration(milliseconds: float) -> duration_pb2.Duration:
    microseconds = max(0, round(milliseconds * 1000.0))
    return duration_pb2.Duration(seconds=microseconds // 1_000_000, nanos=microseconds % 1_000_000 * 1000)


def _ads_source() -> config_source_pb2.ConfigSource:
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
    )


def cluster_resource_name(cluster: str, method: str) -> str:
    """Return the name of the CDS resource for one method of an assigned cluster."""
    return f"{cluster}/{method}"


def make_cluster(assigned: ClusterAssignment, method: str) -> cluster_pb2.Cluster:
    """Return a cluster with endpoints by EDS; proxies balance by weight within a locality, and report load here."""
    return cluster_pb2.Cluster(
        name=cluster_resource_name(assigned.name, method),
        type=cluster_pb2.Cluster.EDS,
        connect_timeout=_duration(CONNECT_TIMEOUT_MS),
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=_ads_source(), service_name=assigned.name),
        lb_policy=cluster_pb2.Cluster.LEAST_REQUEST,
        lrs_server=config_source_pb2.ConfigSource(
            self=config_source_pb2.SelfConfigSource(), resource_api_version=config_source_pb2.V3
        ),
    )


def _make_endpoint(endpoint: Endpoint) -> endpoint_components_pb2.LbEndpoint:
    socket_address = address_pb2.SocketAddress(address=endpoint.address, port_value=endpoint.port)
    return endpoint_components_pb2.LbEndpoint(
        endpoint=endpoint_components_pb2.Endpoint(address=address_pb2.Address(socket_address=socket_address)),
        health_status=health_check_pb2.DEGRADED if endpoint.degraded else health_check_pb2.HEALTHY,
        load_balancing_weight=wrappers_pb2.UInt32Value(value=endpoint.weight),
    )


def make_load_assignment(assigned: ClusterAssignment, zones: Sequence[str]) -> endpoint_pb2.ClusterLoadAssignment:
    """Return the endpoints by locality, degraded ones a priority lower, with the share to drop as an overload."""
    localities: dict[tuple[int, int], list[Endpoint]] = {}
    # Priorities have to begin at 0 without a gap, also where all endpoints are degraded.
    first_priority = min((int(endpoint.degraded) for endpoint in assigned.endpoints), default=0)
    for endpoint in assigned.endpoints:
        localities.setdefault((int(endpoint.degraded) - first_priority, endpoint.zone), []).append(endpoint)
    message = endpoint_pb2.ClusterLoadAssignment(cluster_name=assigned.name)
    for (priority, zone), endpoints in sorted(localities.items()):
        locality = message.endpoints.add(priority=priority)
        locality.locality.zone = zones[zone] if 0 <= zone < len(zones) else f"zone-{zone}"
        locality.load_balancing_weight.value = sum(endpoint.weight for endpoint in endpoints)
        for endpoint in endpoints:
            locality.lb_endpoints.append(_make_endpoint(endpoint))
    if assigned.drop_share > 0.0:
        drop = message.policy.drop_overloads.add(category="cold")
        drop.drop_percentage.numerator = min(DROP_DENOMINATOR, round(assigned.drop_share * DROP_DENOMINATOR))
        drop.drop_percentage.denominator = percent_pb2.FractionalPercent.MILLION
    return message


def make_route_configuration(method_routes: Sequence[MethodRoute]) -> route_pb2.RouteConfiguration:
    """Return a route for each method, matched by a header. Hedging is never configured."""
    message = route_pb2.RouteConfiguration(name=ROUTE_CONFIGURATION_NAME)
    host = message.virtual_hosts.add(name="all", domains=["*"])
    for method_route in method_routes:
        route = host.routes.add(name=method_route.method)
        route.match.prefix = "/"
        header = route.match.headers.add(name=METHOD_HEADER)
        header.string_match.exact = method_route.method
        for name, share in method_route.weighted_clusters:
            route.route.weighted_clusters.clusters.add(
                name=cluster_resource_name(name, method_route.method), weight=wrappers_pb2.UInt32Value(value=share)
            )
        route.route.timeout.CopyFrom(_duration(method_route.timeout_ms))
        if method_route.max_retries > 0:
            policy = route.route.retry_policy
            policy.retry_on = ",".join(method_route.retry_on)
            policy.num_retries.value = method_route.max_retries
            policy.per_try_timeout.CopyFrom(_duration(method_route.per_try_timeout_ms))
            policy.retry_host_predicate.add(name="envoy.retry_host_predicates.previous_hosts")
            policy.host_selection_retry_max_attempts = HOST_SELECTION_ATTEMPTS
    # An RPC without a known method is refused: nobody could say whether it may run twice.
    rest = host.routes.add(name="unknown")
    rest.match.prefix = "/"
    rest.direct_response.status = 400
    return message


def make_listener() -> listener_pb2.Listener:
    """Return an API listener; proxies that listen on sockets put their own listeners in front of it."""
    manager = hcm_pb2.HttpConnectionManager(
        stat_prefix="brookreach",
        rds=hcm_pb2.Rds(config_source=_ads_source(), route_config_name=ROUTE_CONFIGURATION_NAME),
    )
    manager.http_filters.add(name="envoy.filters.http.router", typed_config=_any(router_pb2.Router()))
    api_listener = api_listener_pb2.ApiListener(api_listener=_any(manager))
    return listener_pb2.Listener(name=LISTENER_NAME, api_listener=api_listener)


def digest(data: bytes) -> str:
    """Return the digest that is used as a version."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def make_resource(name: str, message: Any) -> Resource:
    """Return a protobuf message as a resource whose version is the digest of its payload."""
    payload = _any(message).SerializeToString(deterministic=True)
    return Resource(name, digest(payload), payload)


def make_snapshot(assignment: Assignment, zones: Sequence[str]) -> Snapshot:
    """Return all resources of an assignment.

    Args:
        assignment: What is assigned.
        zones: Names of zones by their index.
    """
    by_type: dict[str, dict[str, Resource]] = {CDS: {}, EDS: {}, LDS: {}, RDS: {}}
    for assigned in assignment.clusters:
        for route in assignment.routes:
            name = cluster_resource_name(assigned.name, route.method)
            by_type[CDS][name] = make_resource(name, make_cluster(assigned, route.method))
        by_type[EDS][assigned.name] = make_resource(assigned.name, make_load_assignment(assigned, zones))
    by_type[LDS][LISTENER_NAME] = make_resource(LISTENER_NAME, make_listener())
    by_type[RDS][ROUTE_CONFIGURATION_NAME] = make_resource(
        ROUTE_CONFIGURATION_NAME, make_route_configuration(assignment.routes)
    )
    versions = {
        url: digest("".join(f"{name}={resource.version};" for name, resource in sorted(resources.items())).encode())
        for url, resources in by_type.items()
    }
    return Snapshot(versions, by_type)

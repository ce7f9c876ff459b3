"""The rules of the drill, checked as responses are sent and as RPCs are routed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2

from brookreach import interface as ifc
from brookreach.simulation.xds.payloads import unpack_payload
from brookreach.xds.messages import CDS, EDS, LDS, RDS, DiscoveryResponse

if TYPE_CHECKING:
    from brookreach.simulation.xds.fleet_simulation import FleetSimulation
    from brookreach.simulation.xds.proxy import SimulatedProxy

EXPOSURE_RULE = "exposure over all proxies"
VERSION_RULE = "one content a version"
ENDPOINTS_RULE = "endpoints after their cluster"
ROUTES_RULE = "routes after their clusters"
REMOVED_NODE_RULE = "nothing to a gone node"
RETRY_RULE = "no repeats of what must not run twice"

NON_IDEMPOTENT_METHOD = "immatricola"
DRAIN_GRACE_MS = 250.0
"""How long after its drain a node may still be assigned."""

EXPOSURE_WINDOW_MS = 4000.0
CAP_GRACE_MS = 4000.0
"""How long a cap counts beyond the window: a lower one binds only proxies that have heard of it."""

FIRST_NODE_PORT = 9000
"""The port of node n is this plus n."""


def check_exposure(simulation: FleetSimulation) -> None:
    """Check the trial picks of all proxies in the last window against the highest cap of the last seconds."""
    simulation.record_check(EXPOSURE_RULE)
    for times in (simulation.rpc_times, simulation.trial_pick_times):
        while times and times[0] <= simulation.now - EXPOSURE_WINDOW_MS:
            times.popleft()
    caps = simulation.caps
    while len(caps) > 1 and caps[1][0] < simulation.now - EXPOSURE_WINDOW_MS - CAP_GRACE_MS:
        caps.popleft()
    cap = max(cap for _, cap in caps)
    free = simulation.start.exposure.free
    picks = len(simulation.trial_pick_times)
    rpcs = len(simulation.rpc_times)
    if picks > free + cap * rpcs:
        simulation.report_violation(EXPOSURE_RULE, simulation.now, f"{picks} picks, cap {cap:g} of {rpcs} RPCs")


def check_response(simulation: FleetSimulation, proxy: SimulatedProxy, response: DiscoveryResponse) -> None:
    """Check a response as it is sent, and record its names."""
    simulation.response_count += 1
    for resource in response.resources:
        simulation.record_check(VERSION_RULE)
        key = response.type_url, resource.name, resource.version
        if simulation.payload_by_version.setdefault(key, resource.payload) != resource.payload:
            text = f"{resource.name} {resource.version} has two"
            simulation.report_violation(VERSION_RULE, simulation.now, text)
    stream = f"{proxy.name}.{id(proxy.stream)}"
    sent = simulation.sent_names.setdefault(stream, {CDS: set(), EDS: set(), LDS: set()})
    names = {resource.name for resource in response.resources}
    held = set(proxy.resources.get(CDS, {})) if proxy.delta else set()
    if response.type_url == CDS:
        sent[CDS] |= names
    elif response.type_url == EDS:
        _check_endpoints(simulation, response)
        simulation.record_check(ENDPOINTS_RULE)
        known = {name.split("/")[0] for name in sent[CDS] | held}
        if not names <= known:
            text = f"{proxy.name}: {sorted(names - known)}"
            simulation.report_violation(ENDPOINTS_RULE, simulation.now, text)
    elif response.type_url == RDS:
        _check_routes(simulation, proxy, response, sent[CDS] | held)


def _check_endpoints(simulation: FleetSimulation, response: DiscoveryResponse) -> None:
    """Check that no node is assigned that has been draining or gone for longer than the grace."""
    simulation.record_check(REMOVED_NODE_RULE)
    for resource in response.resources:
        assignment = unpack_payload(endpoint_pb2.ClusterLoadAssignment, resource.payload)
        endpoints = [endpoint for locality in assignment.endpoints for endpoint in locality.lb_endpoints]
        for endpoint in endpoints:
            node = endpoint.endpoint.address.socket_address.port_value - FIRST_NODE_PORT
            entry, since = simulation.entries[node]
            if entry.state != ifc.NodeState.READY and simulation.now > since + DRAIN_GRACE_MS:
                text = f"node {node}, {entry.state.name} for {simulation.now - since:.0f} ms, is assigned"
                simulation.report_violation(REMOVED_NODE_RULE, simulation.now, text)


def _check_routes(
    simulation: FleetSimulation, proxy: SimulatedProxy, response: DiscoveryResponse, clusters: set[str]
) -> None:
    """Check that routes name only known clusters and retry no method that must not run twice."""
    for resource in response.resources:
        for route in unpack_payload(route_pb2.RouteConfiguration, resource.payload).virtual_hosts[0].routes:
            simulation.record_check(ROUTES_RULE)
            named = {cluster.name for cluster in route.route.weighted_clusters.clusters}
            if not named <= clusters:
                text = f"{proxy.name}: {sorted(named - clusters)}"
                simulation.report_violation(ROUTES_RULE, simulation.now, text)
            simulation.record_check(RETRY_RULE)
            if route.name == NON_IDEMPOTENT_METHOD and route.route.retry_policy.retry_on:
                text = f"{NON_IDEMPOTENT_METHOD} has a retry policy"
                simulation.report_violation(RETRY_RULE, simulation.now, text)

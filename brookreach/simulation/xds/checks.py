"""The rules that the drill checks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2

from brookreach import interface as ifc
from brookreach.simulation.xds.payload import message
from brookreach.xds.messages import CDS, EDS, LDS, RDS, DiscoveryResponse

if TYPE_CHECKING:
    from brookreach.simulation.xds.proxy import StandIn
    from brookreach.simulation.xds.world import World

GRACE_MS, WINDOW_MS = 250.0, 4000.0


def exposed(world: World) -> None:
    """A lower cap binds those who can be told; the window looks at the highest of the last seconds."""
    world.look("exposure over all proxies")
    for times in (world.taken, world.trial):
        while times and times[0] <= world.now - WINDOW_MS:
            times.popleft()
    while len(world.caps) > 1 and world.caps[1][0] < world.now - WINDOW_MS - 4000.0:
        world.caps.popleft()
    cap = max(cap for _, cap in world.caps)
    free = world.start.exposure.free
    if len(world.trial) > free + cap * len(world.taken):
        world.say(
            "exposure over all proxies",
            world.now,
            f"{len(world.trial)} picks, cap {cap:g} of {len(world.taken)} RPCs",
        )


def sent(world: World, proxy: StandIn, answer: DiscoveryResponse) -> None:
    world.answers += 1
    for one in answer.resources:
        world.look("one content a version")
        key = answer.type_url, one.name, one.version
        if world.contents.setdefault(key, one.payload) != one.payload:
            world.say("one content a version", world.now, f"{one.name} {one.version} has two")
    told = world.told.setdefault(f"{proxy.name}.{id(proxy.session)}", {CDS: set(), EDS: set(), LDS: set()})
    names = {one.name for one in answer.resources}
    held = set(proxy.held.get(CDS, {})) if proxy.delta else set()
    if answer.type_url == CDS:
        told[CDS] |= names
    elif answer.type_url == EDS:
        endpoints(world, answer)
        world.look("endpoints after their cluster")
        known = {name.split("/")[0] for name in told[CDS] | held}
        if not names <= known:
            world.say("endpoints after their cluster", world.now, f"{proxy.name}: {sorted(names - known)}")
    elif answer.type_url == RDS:
        routes(world, proxy, answer, told[CDS] | held)


def endpoints(world: World, answer: DiscoveryResponse) -> None:
    world.look("nothing to a gone node")
    for one in answer.resources:
        for place in message(endpoint_pb2.ClusterLoadAssignment, one.payload).endpoints:
            for end in place.lb_endpoints:
                node = end.endpoint.address.socket_address.port_value - 9000
                entry, since = world.states[node]
                if entry.state != ifc.NodeState.READY and world.now > since + GRACE_MS:
                    world.say(
                        "nothing to a gone node",
                        world.now,
                        f"node {node}, {entry.state.name} for {world.now - since:.0f} ms, is assigned",
                    )


def routes(world: World, proxy: StandIn, answer: DiscoveryResponse, told: set[str]) -> None:
    for one in answer.resources:
        for route in message(route_pb2.RouteConfiguration, one.payload).virtual_hosts[0].routes:
            world.look("routes after their clusters")
            named = {part.name for part in route.route.weighted_clusters.clusters}
            if not named <= told:
                world.say("routes after their clusters", world.now, f"{proxy.name}: {sorted(named - told)}")
            world.look("no repeats of what must not run twice")
            if route.name == "immatricola" and route.route.retry_policy.retry_on:
                world.say("no repeats of what must not run twice", world.now, "immatricola has a retry policy")

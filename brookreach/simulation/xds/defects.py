"""Defects that the drill plants, to show that its rules find them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from brookreach import interface as ifc
from brookreach.simulation.defect import Defect, Defects
from brookreach.xds import assign, resources, stream, trial_exposure
from brookreach.xds.messages import CDS, EDS, LDS, RDS, Resource
from brookreach.xds.records import NodeView

EXCESSIVE_SHARE_FACTOR = 1.6
MAX_REUSED_VERSIONS = 5

EndpointWeight = Callable[[NodeView, float, ifc.SafetyLimits], float]
MakeResource = Callable[[str, Any], Resource]  # any: the protobuf messages are not typed
TrialShare = Callable[[float, float, float], float]


def _weigh_draining_nodes(weight: EndpointWeight) -> EndpointWeight:
    """Return a weight that takes every node as ready, so that drains are never noticed."""

    def defective_weight(view: NodeView, now: float, guards: ifc.SafetyLimits) -> float:
        entry = view.entry
        ready = ifc.NodeEntry(
            entry.node,
            ifc.NodeState.READY,
            entry.started_ms,
            entry.build,
            entry.zone,
            entry.cell,
            entry.kind,
            entry.size,
        )
        return float(weight(NodeView(ready, view.doubt, view.slow), now, guards))

    return defective_weight


def _reuse_versions(make_resource: MakeResource) -> MakeResource:
    """Return a function that counts versions up, and begins again, as a server would that keeps no state."""
    last_versions: dict[str, tuple[str, int]] = {}

    def defective_resource(name: str, message: Any) -> Resource:
        resource = make_resource(name, message)
        last, count = last_versions.get(name, ("", 0))
        if last != resource.version:
            count = count % MAX_REUSED_VERSIONS + 1
        last_versions[name] = resource.version, count
        return Resource(name, str(count), resource.payload)

    return defective_resource


def _exceed_share(_share: TrialShare) -> TrialShare:
    """Return a share over the cap, as if each proxy had the whole of it."""
    return lambda cap, _free, _min_rpcs: min(1.0, EXCESSIVE_SHARE_FACTOR * cap)


def _send_routes_first(_order: tuple[str, ...]) -> tuple[str, ...]:
    """Return an order in which routes name clusters that a proxy doesn't know yet."""
    return RDS, EDS, LDS, CDS


DEFECTS: Defects = {
    "late-drain": Defect(assign, "endpoint_weight", _weigh_draining_nodes),
    "version-reused": Defect(resources, "make_resource", _reuse_versions),
    "cap-not-divided": Defect(trial_exposure, "safe_trial_share", _exceed_share),
    "routes-first": Defect(stream, "UPDATE_ORDER", _send_routes_first),
}

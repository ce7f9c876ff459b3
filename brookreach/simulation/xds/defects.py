"""Planted defects."""

from __future__ import annotations

from typing import Any

from brookreach import interface as ifc
from brookreach.simulation.defect import Defect, Defects
from brookreach.xds import assign, messages, resources, stream, trial_exposure
from brookreach.xds.messages import CDS, EDS, LDS, RDS
from brookreach.xds.records import NodeView


def _late_drain(weight: Any) -> Any:
    def late(view: NodeView, now: float, guards: ifc.SafetyLimits) -> float:
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

    return late


def _reused(right: Any) -> Any:
    """Versions counted from 1 in each life, as a server would that keeps no state."""
    counts: dict[str, tuple[str, int]] = {}

    def resource(name: str, made: Any) -> messages.Resource:
        one = right(name, made)
        last, count = counts.get(name, ("", 0))
        if last != one.version:
            count = count % 5 + 1
        counts[name] = one.version, count
        return messages.Resource(name, str(count), one.payload)

    return resource


def _undivided(right: Any) -> Any:
    return lambda cap, free, least: min(1.0, 1.6 * cap)


DEFECTS: Defects = {
    "late-drain": Defect(assign, "endpoint_weight", _late_drain),
    "version-reused": Defect(resources, "make_resource", _reused),
    "cap-not-divided": Defect(trial_exposure, "safe_trial_share", _undivided),
    "routes-first": Defect(stream, "UPDATE_ORDER", lambda right: (RDS, EDS, LDS, CDS)),
}

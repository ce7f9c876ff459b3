"""Defects of canary analysis that can be planted, each to be found by one rule of the drill."""

from __future__ import annotations

from typing import Any

from brookreach import interface as ifc
from brookreach.policy import balancer, canary_analysis, canary_charts, cusum
from brookreach.simulation.defect import Defect, Defects

EARLY_MS = 2000.0


class ChartWithoutFloor(cusum.CusumChart):
    """Falls below 0, so that good outcomes delay the alarm on later bad ones."""

    def add(self, step: float, node: int, max_per_node: float) -> None:
        """Add one step without the bound at 0."""
        super().add(step, node, max_per_node)
        self.level = min(self.level, self.cumulative_sum)


class ThresholdOfOneBalancer(canary_analysis.CanaryAnalysis):
    """Forgets that each of the balancers may raise a false alarm."""

    def set_thresholds(self, rpcs_per_s: float) -> None:
        """Set the threshold as if there were one balancer."""
        super().set_thresholds(rpcs_per_s)
        self.thresholds.local = self.thresholds.fleet


class SwappedBuilds(canary_analysis.CanaryAnalysis):
    """Takes the baseline's outcomes for the candidate's and the other way round."""

    def record_outcome(self, now: float, entry: ifc.NodeEntry, *rest: Any) -> None:
        """Record an outcome for the other build. Any: the further arguments are passed on."""
        status = self.status
        if status is not None and entry.build in (status.build, status.build - 1):
            entry = ifc.NodeEntry(
                entry.node,
                entry.state,
                entry.started_ms,
                2 * status.build - 1 - entry.build,
                entry.zone,
                entry.cell,
                entry.kind,
                entry.size,
            )
        super().record_outcome(now, entry, *rest)


class EarlyPromotion(canary_analysis.CanaryAnalysis):
    """Votes for promotion before the candidate's nodes are warm."""

    def choose_verdict(self, now: float, status: ifc.RolloutStatus) -> ifc.Verdict:
        """Return the vote that is due `EARLY_MS` later."""
        return super().choose_verdict(now + EARLY_MS, status)


DEFECTS: Defects = {
    "floorless": Defect(canary_charts, "CusumChart", lambda _: ChartWithoutFloor),
    "no-marshals": Defect(balancer, "CanaryAnalysis", lambda _: ThresholdOfOneBalancer),
    "swapped": Defect(balancer, "CanaryAnalysis", lambda _: SwappedBuilds),
    "hasty": Defect(balancer, "CanaryAnalysis", lambda _: EarlyPromotion),
}

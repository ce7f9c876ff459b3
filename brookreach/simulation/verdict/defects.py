"""The defects that can be planted."""

from __future__ import annotations

from typing import Any

from brookreach import interface as ifc
from brookreach.policy import balancer, canary_analysis, canary_charts, cusum
from brookreach.simulation.defect import Defect, Defects


class Floorless(cusum.CusumChart):
    def add(self, step: float, node: int, max_per_node: float) -> None:
        super().add(step, node, max_per_node)
        self.level = min(self.level, self.cumulative_sum)


class NoMarshals(canary_analysis.CanaryAnalysis):
    def set_thresholds(self, rpcs_per_s: float) -> None:
        super().set_thresholds(rpcs_per_s)
        self.thresholds.local = self.thresholds.fleet


class Swapped(canary_analysis.CanaryAnalysis):
    def record_outcome(self, now: float, entry: ifc.NodeEntry, *rest: Any) -> None:
        news = self.status
        if news is not None and entry.build in (news.build, news.build - 1):
            entry = ifc.NodeEntry(
                entry.node,
                entry.state,
                entry.started_ms,
                2 * news.build - 1 - entry.build,
                entry.zone,
                entry.cell,
                entry.kind,
                entry.size,
            )
        super().record_outcome(now, entry, *rest)


class Hasty(canary_analysis.CanaryAnalysis):
    def choose_verdict(self, now: float, status: ifc.RolloutStatus) -> ifc.Verdict:
        return super().choose_verdict(now + 2000.0, status)


DEFECTS: Defects = {
    "floorless": Defect(canary_charts, "CusumChart", lambda right: Floorless),
    "no-marshals": Defect(balancer, "CanaryAnalysis", lambda right: NoMarshals),
    "swapped": Defect(balancer, "CanaryAnalysis", lambda right: Swapped),
    "hasty": Defect(balancer, "CanaryAnalysis", lambda right: Hasty),
}

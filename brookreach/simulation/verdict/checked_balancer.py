"""A marshal of the drill, its charts and votes checked."""

from __future__ import annotations

import math
from collections.abc import Callable

from brookreach import interface as ifc
from brookreach.policy import common, cusum
from brookreach.policy.balancer import Balancer
from brookreach.simulation.verdict.routing_rules import Rules, Say


class Checked:
    """A marshal under the rules; the model's world takes it for the marshal itself."""

    def __init__(self, start: ifc.BalancerSettings, say: Say, look: Callable[[str], None]):
        self.start, self.say, self.look = start, say, look
        self.inner, self.rules = Balancer(start), Rules(start, say, look)
        self.top = 0.0  # the highest share of its threshold that a chart has had
        self.build = -1

    def begin(self, now: float) -> list[ifc.Action]:
        return self.inner.begin(now)

    def handle(self, now: float, event: ifc.Event) -> list[ifc.Action]:
        entry = method = None
        if isinstance(event, ifc.PickEnded):
            rpc = self.inner.request_router.rpcs.get(event.rpc_id)
            if rpc is not None and event.pick_index < len(rpc.picks):
                entry, method = rpc.picks[event.pick_index][0], rpc.method
        before = self.levels()
        flow = self.inner.canary_analysis.rpcs_per_s
        self.rules.event(now, event)
        actions = self.inner.handle(now, event)
        after = self.levels()
        self.charts(now, flow)
        if isinstance(event, ifc.PickEnded) and entry is not None and method is not None:
            self.moved(now, event, entry, method, before, after)
        for action in actions:
            self.rules.action(now, action)
            if isinstance(action, ifc.Vote):
                self.voted(now, action)
        return actions

    def levels(self) -> dict[tuple[int, str], float]:
        return {key: chart.level for key, chart in self.inner.canary_analysis.charts.items()}

    def charts(self, now: float, flow: float) -> None:
        judged, facts = self.inner.canary_analysis, self.start
        self.look("charts stand at 0 or above")
        for key, chart in judged.charts.items():
            if chart.level < 0.0:
                self.say("charts stand at 0 or above", now, f"chart {key} stands at {chart.level:.2f}")
            self.top = max(self.top, chart.level / chart.threshold)
            least = math.log(cusum.MIN_BASELINE_RATE) if key[1] == "failures" else 0.0
            if "tallied" not in key[1] and not least - 1e-6 <= chart.threshold - judged.thresholds.local <= 1e-6:
                self.say("thresholds as stated", now, f"chart {key} has {chart.threshold:.3f}")
        if judged.status is not None and judged.status.build != self.build:
            self.build, self.top = judged.status.build, 0.0
            self.look("thresholds as stated")
            # Worked out anew from the design page: log target + log marshals - log weight.
            seconds = 2.0 * common.WARM_UP_MS / 1000.0
            target = max(100.0, flow * math.fsum(min(1.0, c) for c in facts.exposure.caps) * seconds)
            weight = (0.25 if common.is_low_traffic(facts) else 0.5) / (len(facts.methods) + 1)
            wanted = math.log(target / facts.stated.false_alarm) + math.log(facts.place.marshals) - math.log(weight)
            if abs(wanted - judged.thresholds.local) > 1e-6:
                self.say(
                    "thresholds as stated", now, f"it stands at {judged.thresholds.local:.3f}, stated {wanted:.3f}"
                )

    def moved(
        self,
        now: float,
        event: ifc.PickEnded,
        entry: ifc.NodeEntry,
        method: int,
        before: dict[tuple[int, str], float],
        after: dict[tuple[int, str], float],
    ) -> None:
        news = self.inner.canary_analysis.status
        if news is None:
            return
        self.look("only the trial build moves charts")
        if entry.build < news.build:
            changed = [key for key in after if after[key] != before.get(key, 0.0)]
            if changed:
                self.say("only the trial build moves charts", now, f"build {entry.build} moved {changed}")
            return
        self.look("errors raise, answers lower")
        soft = self.start.methods[method].soft_ms
        for key in after:
            if key[1] != "failures":
                continue
            old = before.get(key, 0.0)
            if event.outcome == ifc.Outcome.ERROR and after[key] < old - 1e-9:
                self.say("errors raise, answers lower", now, f"an error lowered {key}")
            if event.outcome == ifc.Outcome.OK and event.duration_ms <= soft and after[key] > old + 1e-9:
                self.say("errors raise, answers lower", now, f"a good answer raised {key}")

    def voted(self, now: float, vote: ifc.Vote) -> None:
        if vote.verdict == ifc.Verdict.BACK:
            self.look("back from a crossed chart")
            if self.top < 1.0 - 1e-9:
                self.say(
                    "back from a crossed chart",
                    now,
                    f"the highest chart stood at {self.top:.2f} of its threshold",
                )
        if vote.verdict == ifc.Verdict.ON:
            self.look("on not before 3 s")
            starts = [
                entry.started_ms
                for entry, _ in self.rules.states.values()
                if entry.build == vote.build and entry.state == ifc.NodeState.READY
            ]
            if starts and now < max(starts) + 3000.0:
                self.say("on not before 3 s", now, f"on {now - max(starts):.0f} ms after the newest start")

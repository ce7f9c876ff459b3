"""The drill of the judging: waves in the model, each marshal wrapped by checkers of their own.

The checkers look at what goes in and comes out of a marshal, and at its charts before and after each event.
Rules of the charts: never under 0; thresholds by the stated rates, the marshals and the weights; no outcome
of the earlier build moves them; an error of the trial build lowers none, a good answer raises no failures.
Of the votes: back only from a chart at its threshold, on not before 3 s. Of the routing: exposure by window,
one final answer, drains, effects. Over all seeds: error rates within the stated ones.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import Any

from brookreach import interface as ifc
from brookreach.model.case import CASES
from brookreach.model.experiment import interval
from brookreach.model.world import Wave
from brookreach.policy import balancer, canary_analysis, canary_charts, common, cusum
from brookreach.policy.balancer import Balancer
from brookreach.simulation.defect import Defect, Defects, inject_defect
from brookreach.simulation.report import Report, Violation

DRILLED = ("good", "good-busy-0.8", "good-crawler", "good-restarts", "all+20", "scheda+36", "work-2.5")
NEVER_RAN = (ifc.Outcome.FULL, ifc.Outcome.NO_CONNECT, ifc.Outcome.MOOT)


Say = Callable[[str, float, str], None]


class Rules:
    """What one marshal may do, kept apart from its own bookkeeping."""

    def __init__(self, start: ifc.BalancerSettings, say: Say, look: Callable[[str], None]):
        self.start, self.say, self.look = start, say, look
        self.news: ifc.RolloutStatus | None = None
        self.states: dict[int, tuple[ifc.NodeEntry, float]] = {}  # node: entry, when its state was told
        self.rpcs: dict[int, tuple[int, bool]] = {}  # RPC: method, whether answered
        self.picks: dict[int, list[ifc.Outcome | None]] = {}
        self.taken: deque[float] = deque()
        self.trial: deque[tuple[float, int]] = deque()
        self.cap_fell = -math.inf

    def event(self, now: float, event: ifc.Event) -> None:
        match event:
            case ifc.NodeList():
                if event.kind in (ifc.ListKind.FULL, ifc.ListKind.CACHED):
                    kept = {entry.node for entry in event.entries}
                    self.states = {n: s for n, s in self.states.items() if n in kept}
                for entry in event.entries:
                    old = self.states.get(entry.node)
                    told = old[1] if old and old[0].state == entry.state else now
                    self.states[entry.node] = entry, told
            case ifc.RpcReceived():
                self.rpcs[event.rpc_id] = event.method, False
                self.taken.append(now)
            case ifc.PickEnded():
                if event.rpc_id in self.picks and event.pick_index < len(self.picks[event.rpc_id]):
                    self.picks[event.rpc_id][event.pick_index] = event.outcome
                if event.is_final:
                    self.answered(now, event.rpc_id, "ok")
            case ifc.RolloutStatus() if event.ending == ifc.Outcome.OK:
                if self.news is None or event.cap < self.news.cap or event.build != self.news.build:
                    self.cap_fell = now
                self.news = event

    def answered(self, now: float, rpc: int, how: str) -> None:
        self.look("one final answer")
        method, done = self.rpcs.get(rpc, (0, True))
        if done:
            self.say("one final answer", now, f"RPC {rpc} has one and gets {how}")
        self.rpcs[rpc] = method, True

    def action(self, now: float, action: ifc.Action) -> None:
        match action:
            case ifc.Pick():
                self.pick(now, action)
            case ifc.PushBack() | ifc.Abort():
                self.answered(now, action.rpc_id, type(action).__name__)

    def pick(self, now: float, pick: ifc.Pick) -> None:
        entry, told = self.states.get(pick.node, (None, -math.inf))
        self.look("drains")
        if entry is None or (entry.state != ifc.NodeState.READY and now > told + self.start.guards.drain_grace_ms):
            self.say("drains", now, f"RPC {pick.rpc_id} goes to node {pick.node}, which is not ready")
        self.look("effects")
        method, done = self.rpcs.get(pick.rpc_id, (0, True))
        if done:
            self.say("effects", now, f"RPC {pick.rpc_id} was answered and is picked again")
        ran = [ending for ending in self.picks.get(pick.rpc_id, []) if ending not in NEVER_RAN]
        if ran and self.start.methods[method].repeat == ifc.Idempotency.NON_IDEMPOTENT:
            self.say("effects", now, f"RPC {pick.rpc_id} may have run and must not run twice")
        self.picks.setdefault(pick.rpc_id, []).append(None)
        if entry is not None and self.on_trial(entry.build):
            self.exposed(now, entry.build)

    def on_trial(self, build: int) -> bool:
        news = self.news
        return news is None or build > news.build or (build == news.build and news.phase != ifc.RolloutPhase.RELEASED)

    def exposed(self, now: float, build: int) -> None:
        self.look("exposure")
        span = self.start.exposure.window_ms
        self.trial.append((now, build))
        while self.trial and self.trial[0][0] <= now - span:
            self.trial.popleft()
        while self.taken and self.taken[0] <= now - span:
            self.taken.popleft()
        count = sum(one == build for _, one in self.trial)
        cap = self.news.cap if self.news and build == self.news.build else self.start.exposure.caps[0]
        if now < self.cap_fell + self.start.guards.drain_grace_ms:
            return  # a lower cap binds once the grace has passed
        if count > self.start.exposure.free + cap * len(self.taken) + 1e-6:
            self.say("exposure", now, f"{count} picks at build {build}, cap {cap:g} of {len(self.taken)} RPCs")


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
        analysis, facts = self.inner.canary_analysis, self.start
        self.look("charts stand at 0 or above")
        for key, chart in analysis.charts.items():
            if chart.level < 0.0:
                self.say("charts stand at 0 or above", now, f"chart {key} stands at {chart.level:.2f}")
            self.top = max(self.top, chart.level / chart.threshold)
            least = math.log(cusum.MIN_BASELINE_RATE) if key[1] == "failures" else 0.0
            if "tallied" not in key[1] and not least - 1e-6 <= chart.threshold - analysis.thresholds.local <= 1e-6:
                self.say("thresholds as stated", now, f"chart {key} has {chart.threshold:.3f}")
        if analysis.status is not None and analysis.status.build != self.build:
            self.build, self.top = analysis.status.build, 0.0
            self.look("thresholds as stated")
            # Worked out anew from the design page: log target + log marshals - log weight.
            seconds = 2.0 * common.WARM_UP_MS / 1000.0
            target = max(100.0, flow * math.fsum(min(1.0, c) for c in facts.exposure.caps) * seconds)
            weight = (0.25 if common.is_low_traffic(facts) else 0.5) / (len(facts.methods) + 1)
            wanted = math.log(target / facts.stated.false_alarm) + math.log(facts.place.marshals) - math.log(weight)
            if abs(wanted - analysis.thresholds.local) > 1e-6:
                self.say(
                    "thresholds as stated", now, f"it stands at {analysis.thresholds.local:.3f}, stated {wanted:.3f}"
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


# --- planted defects ---


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


def run(
    seed: int,
    seeds: int,
    plant: str = "",
    names: tuple[str, ...] = DRILLED,
    progress: Callable[[int, int], None] | None = None,
) -> Report:
    """Play `seeds` waves of each case; with a planted defect it ends at the first seed that shows it."""
    report = Report("verdict", seed, seeds, plant)
    errors: dict[str, list[int]] = {}
    with inject_defect(DEFECTS, plant):
        for one in report.iterate_seeds(progress):
            for name in names:
                case = CASES[name]

                def say(rule: str, now: float, text: str, name: str = name, one: int = one) -> None:
                    report.add_violation(Violation(rule, name, one, now, text))

                def made(start: ifc.BalancerSettings, say: Say = say) -> Checked:
                    return Checked(start, say, report.record_check)

                out = Wave(case, one, make=made).run()
                wrong = out.ended == ("released" if case.bad else "back")
                errors.setdefault(name, []).append(wrong)
    _rates(report, errors)
    return report


def _rates(report: Report, errors: dict[str, list[int]]) -> None:
    for name, wrong in errors.items():
        case = CASES[name]
        stated = case.miss if case.bad else case.false_alarm
        low, high = interval(sum(wrong), len(wrong))
        kind = "released" if case.bad else "sent back"
        report.figures[f"{name} {kind}"] = f"{sum(wrong)} of {len(wrong)} ({low:.3f} to {high:.3f})"
        report.record_check("error rates as stated")
        if low > stated:
            report.add_violation(
                Violation(
                    "error rates as stated",
                    name,
                    report.seed,
                    0.0,
                    f"{sum(wrong)} of {len(wrong)} {kind}, stated {stated:g}",
                )
            )

"""Invariants between processes, by what an observer's cache, agents' logs and nodes saw; nothing else is asked.

A permit's fence is the log index where it was granted, a halt's the one where it began, and agents log at which index
each change of their node was agreed: so what was unavailable at any index is known without clocks.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from brookreach.coordination.client.events import RowsChanged
from brookreach.coordination.state_machine.application import View
from brookreach.disruption.halt import current_halt
from brookreach.disruption.states import ACTIVE_STATES, PermitAction, TargetStatus
from brookreach.disruption.tables import NODES, PERMITS, PermitRow
from brookreach.simulation.processes.application_drill import BEGINS, Town

DRAIN_GRACE_S = 0.25  # rule 3: from being told of a drain to the last new query
LOG_DELAY_S = 0.1  # how far a log's line may be behind what it tells of
MAX_RESTARTING_BALANCERS = 1
NEARBY_INDEXES = 20  # of reports that a violation's text lists
SHOWN_CALLS = 3
REPORT_PATTERN = re.compile(r"(\S+) (ready|draining|down), life (\d+), agreed at place (\d+)")
DRAIN_PATTERN = re.compile(r"fleet: (\S+) drains, agreed")
DRAIN_END_PATTERN = re.compile(r"fleet: (\S+) is as discovery has it")


class Call(NamedTuple):
    """A query that a node received from a balancer."""

    at_s: float
    node: str
    balancer: str


class NodeReport(NamedTuple):
    """An agent's report that was agreed at a log index; reports order by it."""

    log_index: int
    node: str
    status: str
    incarnation: int


class DrainKey(NamedTuple):
    """A node's drain as one balancer was told of it."""

    balancer: str
    node: str


class DrainWindow(NamedTuple):
    """When a balancer was told of a drain, and that it is over; by its log."""

    start_s: float
    end_s: float


@dataclass(frozen=True)
class NodeBudgets:
    """Most nodes unavailable at once, by scope ("all", "zone:a"), and the zone of each node."""

    max_unavailable: Mapping[str, int]
    zones: Mapping[str, str]

    def allow(self, nodes: Sequence[str]) -> bool:
        """Whether these nodes, each once, may be unavailable together."""
        if len(set(nodes)) != len(nodes) or len(nodes) > self.max_unavailable["all"]:
            return False
        zones = [self.zones[node] for node in nodes]
        return all(zones.count(zone) <= self.max_unavailable[f"zone:{zone}"] for zone in zones)


class DisruptionObserver:
    """Follows the cached tables of a client that only watches, and checks logs and queries at the end."""

    def __init__(self, town: Town, budgets: NodeBudgets, cache: View):
        self.town = town
        self.budgets = budgets
        self.cache = cache
        self.index = 0
        self.permits: dict[str, PermitRow] = {}
        self.halt_fences: set[int] = set()
        self.ready_indexes: dict[tuple[str, int], int] = {}  # by node and incarnation: where it was first seen ready
        self.calls: list[Call] = []

    # --- by the cache ---

    def on_rows_changed(self, event: RowsChanged) -> None:
        """Checks the cache at another log index."""
        self.town.look(
            "a mirror never goes back", event.index >= self.index, lambda: f"{event.index} after {self.index}"
        )
        self.index = event.index
        permits: dict[str, PermitRow] = dict(self.cache.rows(PERMITS))
        for name, permit in permits.items():
            self._check_fence(name, permit)
        self.town.look(
            "no permit forgotten",
            permits.keys() >= self.permits.keys(),
            lambda: f"at {event.index}: {sorted(self.permits.keys() - permits.keys())} are missing",
        )
        self.permits = permits
        self._check_budgets()
        for name, node in self.cache.rows(NODES):
            if node.status == TargetStatus.READY:
                self.ready_indexes.setdefault((name, node.incarnation), event.index)
        self._check_halt()

    def _check_fence(self, name: str, permit: PermitRow) -> None:
        previous = self.permits.get(name)
        if previous == permit:
            return
        if previous is not None and previous.fence:
            self.town.look(
                "a fence stands",
                permit.fence == previous.fence,
                lambda: f"{name}: {previous.fence}, then {permit.fence}",
            )
        elif permit.fence:
            others = [
                other.fence
                for other_name, other in self.permits.items()
                if other_name != name and other.target == permit.target
            ]
            self.town.look(
                "a target's fence grows",
                permit.fence > max(others, default=0),
                lambda: f"{name} for {permit.target}: {permit.fence} after {others}",
            )

    def _check_budgets(self) -> None:
        active = {name: permit for name, permit in self.permits.items() if permit.state in ACTIVE_STATES}
        nodes = [permit.target for permit in active.values() if permit.action == PermitAction.DRAIN]
        restarts = [name for name, permit in active.items() if permit.action == PermitAction.RESTART]
        self.town.look(
            "permits by the budgets",
            self.budgets.allow(nodes) and len(restarts) <= MAX_RESTARTING_BALANCERS,
            lambda: f"at {self.index}: nodes {nodes}, restarts {restarts} of {self.budgets.max_unavailable}",
        )

    def _check_halt(self) -> None:
        halt = current_halt(self.cache)
        if halt is None:
            return
        self.halt_fences.add(halt.fence)
        granted = [name for name, permit in self.permits.items() if halt.fence < permit.fence <= self.index]
        self.town.look(
            "nothing is given during a halt",
            not granted,
            lambda: f"halt {halt.fence} stands at {self.index}; {granted} were given after it",
        )

    # --- at the end, by logs and nodes ---

    def check_reports(self) -> None:
        """Agents' reports in the log's order: a node drains by a permit of its incarnation, within the budgets.

        An agent whose session ends never hears that its report was agreed: its node's row shows that.
        """
        reports = self._reports()
        unavailable: dict[str, int] = {}  # by node: the incarnation in which it left
        for report in reports:
            if report.status == TargetStatus.READY:
                if unavailable.get(report.node, report.incarnation) < report.incarnation:
                    del unavailable[report.node]
            else:
                unavailable[report.node] = report.incarnation
            self._check_unavailable(report, dict(unavailable), reports)
            if report.status == TargetStatus.DRAINING:
                self._check_drain(report)

    def _reports(self) -> list[NodeReport]:
        matches = [match for line in self.town.lines if (match := REPORT_PATTERN.search(line.text))]
        reports = [NodeReport(int(match[4]), match[1], match[2], int(match[3])) for match in matches]
        reports += [
            NodeReport(index, node, TargetStatus.READY, incarnation)
            for (node, incarnation), index in self.ready_indexes.items()
        ]
        return sorted(reports)

    def _check_unavailable(
        self, report: NodeReport, unavailable: Mapping[str, int], reports: Sequence[NodeReport]
    ) -> None:
        def text() -> str:
            nearby = [tuple(other) for other in reports if abs(other.log_index - report.log_index) < NEARBY_INDEXES]
            return f"at {report.log_index}: {unavailable} are out of {self.budgets.max_unavailable}; {nearby}"

        self.town.look("nodes out by the budgets", self.budgets.allow(sorted(unavailable)), text)

    def _check_drain(self, report: NodeReport) -> None:
        self.town.count("drains played")
        expected = (PermitAction.DRAIN, report.node, report.incarnation)
        permits = [
            permit for permit in self.permits.values() if (permit.action, permit.target, permit.incarnation) == expected
        ]
        self.town.look(
            "no node goes without a permit",
            any(0 < permit.fence < report.log_index for permit in permits),
            lambda: f"{report.node}, life {report.incarnation}, drains at place {report.log_index}: {permits}",
        )

    def check_calls(self) -> None:
        """A balancer sends no new query to a node from DRAIN_GRACE_S after it was told of its drain."""
        windows = self._drain_windows()
        slack_s = self.town.late_s
        late: list[tuple[Call, float]] = []
        for call in self.calls:
            for window in windows.get(DrainKey(call.balancer, call.node), ()):
                last_allowed_s = window.start_s + DRAIN_GRACE_S + slack_s
                if last_allowed_s < call.at_s < window.end_s - LOG_DELAY_S - slack_s:
                    late.append((call, round(call.at_s - window.start_s, 3)))
        self.town.report.looked("nothing new 250 ms after told", sum(len(found) for found in windows.values()))
        if late:
            self.town.say("nothing new 250 ms after told", f"{len(late)} queries: {late[:SHOWN_CALLS]}")

    def _drain_windows(self) -> dict[DrainKey, list[DrainWindow]]:
        """By balancer and node, from the balancers' logs; a drain that a log leaves open has no window."""
        windows: dict[DrainKey, list[DrainWindow]] = {}
        begins_s: dict[DrainKey, float] = {}

        def close(key: DrainKey, end_s: float) -> None:
            windows.setdefault(key, []).append(DrainWindow(begins_s.pop(key), end_s))

        for line in self.town.lines:
            if line.text == BEGINS:  # another process of this name: it has been told of nothing yet
                for key in [key for key in begins_s if key.balancer == line.who]:
                    close(key, line.at)
            if match := DRAIN_PATTERN.search(line.text):
                begins_s.setdefault(DrainKey(line.who, match[1]), line.at)
            elif match := DRAIN_END_PATTERN.search(line.text):
                key = DrainKey(line.who, match[1])
                if key in begins_s:
                    close(key, line.at)
        return windows

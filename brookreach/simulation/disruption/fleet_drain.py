"""How long a whole fleet takes to drain, beside the least that its budgets allow. In virtual time.

    python -m brookreach.simulation.disruption.fleet_drain SEEDS [NODES [SIGMA]]

Each node is out for a time of its own, drawn by the seed (lognormal: a minute in the median; with SIGMA 0.5 a
few take five times as long), which nobody knows before. The least time is the greatest, over scopes with a
budget, of the outages in that scope laid end to end and divided by the places it has.
"""

from __future__ import annotations

import heapq
import random
import statistics
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass

from brookreach.coordination.state_machine.application import Command
from brookreach.disruption import commands, queue
from brookreach.disruption.states import PermitState, TargetKind, TargetStatus
from brookreach.disruption.tables import PERMITS, PermitRow
from brookreach.simulation.defect import Plants, planted
from brookreach.simulation.disruption.errors import CommandNotAcceptedError, OpenPermitsError
from brookreach.simulation.disruption.sequential_group import AppliedStep, SequentialGroup

MAX_TIME_RATIO = 1.2
ZONES = 4
SERVICES = 3
START_MS = 1000
DEFAULT_NODES = 200
DEFAULT_SIGMA = 0.5
MEDIAN_OUTAGE_LOG_MS = 11.0  # a minute
RECORDS_PER_NODE = 3
URGENCY = 5
BY_AGE_ALONE: Plants = {"by age": (queue, "_queue_loads", lambda _original: lambda *_: {})}


@dataclass(frozen=True)
class Placement:
    """Where a node stands."""

    zone: str
    service: str


@dataclass(frozen=True)
class DrainTimes:
    """Times of a whole fleet's drain, over the least: until the last node left, and until it was back."""

    until_returned: float
    until_departed: float


class FleetDrain:
    """A fleet of which all nodes are drained at once."""

    def __init__(self, seed: int, nodes: int, sigma: float):
        self.random = random.Random(seed)
        self.group = SequentialGroup()
        self.placements: dict[str, Placement] = {}
        for number in range(nodes):
            service = f"s{self.random.randrange(SERVICES)}"
            self.placements[f"n{number:05d}"] = Placement(f"z{number * ZONES // nodes}", service)
        self.outages_ms = {
            name: int(self.random.lognormvariate(MEDIAN_OUTAGE_LOG_MS, sigma)) for name in self.placements
        }
        for name in self.placements:
            self.group.begin_session(name)
            self._report(START_MS, name, incarnation=1)
        self.places = {"all": max(4, nodes // 20)}
        self.places |= {f"zone:z{number}": max(1, self.places["all"] // 3) for number in range(ZONES)}
        self.places |= {f"service:s{number}": max(1, self.places["all"] // 2) for number in range(SERVICES)}
        entries = (commands.BudgetEntry(TargetKind.NODE, scope, places, 0) for scope, places in self.places.items())
        self._propose(START_MS, commands.SetBudgets(tuple(entries)))
        self.granted: list[str] = []
        self.group.on_step = self._note_grants

    def run(self, shuffled: bool) -> DrainTimes:
        """Drains all nodes, asked for zone by zone or in a random order.

        Raises:
            PermitsNotEndedError: a permit is open after all nodes returned.
        """
        names = list(self.placements)
        if shuffled:
            self.random.shuffle(names)
        for name in names:
            self._propose(START_MS, commands.RequestDrain(f"drain-{name}", name, URGENCY, "all"))
        outages: list[tuple[int, str]] = []  # a heap: when the node is back
        now_ms = last_departure_ms = START_MS
        while self.granted or outages:
            while self.granted:
                name = self.granted.pop()
                last_departure_ms = now_ms
                heapq.heappush(outages, (now_ms + self.outages_ms[name], name))
            now_ms, name = heapq.heappop(outages)
            self._report(now_ms, name, incarnation=2)
        self._check_no_open_permits()
        minimum_ms = self._minimum_time_ms()
        return DrainTimes((now_ms - START_MS) / minimum_ms, (last_departure_ms - START_MS) / minimum_ms)

    def _minimum_time_ms(self) -> float:
        work_ms = dict.fromkeys(self.places, 0)
        for name, placement in self.placements.items():
            for scope in ("all", f"zone:{placement.zone}", f"service:{placement.service}"):
                work_ms[scope] += self.outages_ms[name]
        minimum_by_scope = [work_ms[scope] / self.places[scope] for scope in self.places]
        return max(*minimum_by_scope, *self.outages_ms.values())

    def _check_no_open_permits(self) -> None:
        states = {permit.state for _, permit in self.group.view.rows(PERMITS)}
        if states != {PermitState.ENDED}:
            raise OpenPermitsError(f"permits are {sorted(states)} after the drain; all must be {PermitState.ENDED}")

    def _note_grants(self, step: AppliedStep) -> None:
        for update in step.updates:
            if isinstance(update.row, PermitRow) and update.row.state == PermitState.GRANTED:
                self.granted.append(update.row.target)

    def _propose(self, at_ms: int, command: Command, client: str = "ann", client_kind: str = "operator") -> None:
        rejection = self.group.propose(at_ms, client, client_kind, command)
        if rejection:
            raise CommandNotAcceptedError(f"{command} was rejected: {rejection}")

    def _report(self, at_ms: int, name: str, incarnation: int) -> None:
        placement = self.placements[name]
        report = commands.ReportNode(
            node=name,
            zone=placement.zone,
            build=1,
            service=placement.service,
            capacity=0,
            status=TargetStatus.READY,
            incarnation=incarnation,
            warm=True,
            applied_index=self.group.index,
        )
        self._propose(at_ms, report, name, "agent")


def drain_time_ratios(
    seed: int, nodes: int = DEFAULT_NODES, shuffled: bool = False, sigma: float = DEFAULT_SIGMA
) -> DrainTimes:
    """Times of the drain of one fleet, over the least."""
    return FleetDrain(seed, nodes, sigma).run(shuffled)


def main() -> None:
    """Prints the times by the queue's order as built and by age alone."""
    seeds = int(sys.argv[1])
    nodes = int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_NODES
    sigma = float(sys.argv[3]) if len(sys.argv) > 3 else DEFAULT_SIGMA
    print(f"{nodes} nodes, {seeds} seeds, sigma {sigma}; over the least, till the last is back, till it went")
    for order, plant in (("as built", ""), ("by age alone", "by age")):
        for shuffled in (False, True):
            began = time.process_time()
            with planted(BY_AGE_ALONE, plant):
                ratios = [drain_time_ratios(seed, nodes, shuffled, sigma) for seed in range(1, seeds + 1)]
            record_ms = (time.process_time() - began) * 1000 / seeds / (RECORDS_PER_NODE * nodes)
            requested = "asked by chance" if shuffled else "asked zone by zone"
            print(f"{order}, {requested}: {_summary(ratios)}; a record {record_ms:.3f} ms")


def _summary(ratios: Sequence[DrainTimes]) -> str:
    returned = [ratio.until_returned for ratio in ratios]
    departed = [ratio.until_departed for ratio in ratios]
    return (
        f"back {statistics.median(returned):.3f}, worst {max(returned):.3f}; "
        f"went {statistics.median(departed):.3f}, worst {max(departed):.3f}"
    )


if __name__ == "__main__":
    main()

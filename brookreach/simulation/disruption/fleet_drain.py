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
from typing import Any

from brookreach.disruption import commands, queue, tables
from brookreach.simulation.defect import Defect, inject_defect
from brookreach.simulation.disruption.sequential_group import Group, Step

MOST_OVER = 1.2
ZONES, SERVICES = 4, 3


def over_bound(seed: int, nodes: int = 200, spread: bool = False, sigma: float = 0.5) -> tuple[float, float]:
    """Time until the last one was back, and until the last one went, over the least.

    All are asked for at once, zone by zone, or (`spread`) in an order of chance.
    """
    chance = random.Random(seed)
    group = Group()
    where: dict[str, tuple[str, str]] = {}
    for at in range(nodes):
        where[f"n{at:05d}"] = f"z{at * ZONES // nodes}", f"s{chance.randrange(SERVICES)}"
    takes = {name: int(chance.lognormvariate(11.0, sigma)) for name in where}  # a minute is usual
    for name in where:
        _seen(group, 1000, name, where[name], 1, group.begin(name))
    places = {"all": max(4, nodes // 20)}
    places |= {f"zone:z{at}": max(1, places["all"] // 3) for at in range(ZONES)}
    places |= {f"service:s{at}": max(1, places["all"] // 2) for at in range(SERVICES)}
    lines = tuple(commands.BudgetFor("node", scope, most, 0) for scope, most in places.items())
    _ask(group, 1000, commands.SetBudgets(lines))
    given: list[str] = []
    group.heard = lambda step: given.extend(_given(step))
    names = list(where)
    if spread:
        chance.shuffle(names)
    for name in names:
        _ask(group, 1000, commands.AskDrain(f"drain-{name}", name, 5, "all"))
    out: list[tuple[int, str]] = []
    now = last = 1000
    while given or out:
        while given:
            name, last = given.pop(), now
            heapq.heappush(out, (now + takes[name], name))
        now, name = heapq.heappop(out)
        _seen(group, now, name, where[name], 2, group.sessions[name])
    states = {row.state for _, row in group.view.rows(tables.PERMITS)}
    assert states == {"ended"}, states
    work = dict.fromkeys(places, 0)
    for name, (zone, service) in where.items():
        for scope in ("all", f"zone:{zone}", f"service:{service}"):
            work[scope] += takes[name]
    least = max(*(work[scope] / places[scope] for scope in places), max(takes.values()))
    return (now - 1000) / least, (last - 1000) / least


def _given(step: Step) -> list[str]:
    changed: list[Any] = [put.row for put in step.updates if put.table == tables.PERMITS and put.row is not None]
    return [row.target for row in changed if row.state == "given"]


def _ask(group: Group, at_ms: int, order: commands.Orders) -> None:
    refused = group.ask(at_ms, "ann", "operator", order)
    assert not refused, refused


def _seen(group: Group, at_ms: int, name: str, where: tuple[str, str], life: int, session: int) -> None:
    zone, service = where
    seen = commands.NodeSeen(name, zone, 1, service, 0, "ready", life, True, group.index)
    refused = group.ask(at_ms, name, "agent", seen)
    assert not refused, refused


def main() -> None:
    seeds, nodes = int(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 200
    sigma = float(sys.argv[3]) if len(sys.argv) > 3 else 0.5
    print(f"{nodes} nodes, {seeds} seeds, sigma {sigma}; over the least, till the last is back, till it went")
    for way, plant in (("as built", ""), ("by age alone", "by age")):
        for spread in (False, True):
            began = time.process_time()
            with inject_defect({"by age": Defect(queue, "_loads", lambda right: lambda *_: {})}, plant):
                ratios = [over_bound(seed, nodes, spread, sigma) for seed in range(1, seeds + 1)]
            record_ms = (time.process_time() - began) * 1000 / seeds / (3 * nodes)
            asked = "asked by chance" if spread else "asked zone by zone"
            back, went = ([one[at] for one in ratios] for at in (0, 1))
            print(
                f"{way}, {asked}: back {statistics.median(back):.3f}, worst {max(back):.3f}; "
                f"went {statistics.median(went):.3f}, worst {max(went):.3f}; a record {record_ms:.3f} ms"
            )


if __name__ == "__main__":
    main()

"""Rules of outages by what an onlooker's mirror, agents' logs and nodes saw; it never asks for more.

A permit's fence is the log's place where it was given, a halt's the place where it began, and agents say at
which place each change of their node was agreed: so what was out at any place is known without clocks.
"""

from __future__ import annotations

import re
from typing import Any, NamedTuple

from brookreach.coordination.client.events import RowsChanged
from brookreach.coordination.state_machine.application import View
from brookreach.disruption.states import ACTIVE_STATES
from brookreach.disruption.tables import HALT, NODES, PERMITS, HaltRow, PermitRow
from brookreach.simulation.processes.application_drill import BEGINS, Town

GRACE_S, BACK_S = 0.25, 0.1  # rule 3; how far a log's line may be behind what it tells of
ACT = re.compile(r"(\S+) (ready|draining|down), life (\d+), agreed at place (\d+)")
DRAINS = re.compile(r"fleet: (\S+) drains, agreed")
STANDS = re.compile(r"fleet: (\S+) is as discovery has it")


class Call(NamedTuple):
    """A query that a node heard."""

    at: float
    node: str
    marshal: str


class Watch:
    """`most` by scope of nodes ("all", "zone:a"); `zones` by node."""

    def __init__(self, town: Town, most: dict[str, int], zones: dict[str, str], mirror: View):
        self.town, self.most, self.zones, self.mirror = town, most, zones, mirror
        self.index = 0
        self.seen: dict[str, PermitRow] = {}
        self.halts: set[int] = set()
        self.back: dict[tuple[str, int], int] = {}  # by node and life: from which place on it is seen ready
        self.calls: list[Call] = []

    # --- by the mirror ---

    def changed(self, event: RowsChanged) -> None:
        town = self.town
        town.look("a mirror never goes back", event.index >= self.index, lambda: f"{event.index} after {self.index}")
        self.index = event.index
        rows: dict[str, PermitRow] = dict(self.mirror.rows(PERMITS))
        for name, row in rows.items():
            self.permit(name, row)
        town.look(
            "no permit forgotten",
            rows.keys() >= self.seen.keys(),
            lambda: f"at {event.index}: {sorted(self.seen.keys() - rows.keys())} are missing",
        )
        self.seen = rows
        self.budgets(rows)
        for name, node in self.mirror.rows(NODES):
            if node.status == "ready":
                self.back.setdefault((name, node.incarnation), event.index)
        halt: HaltRow | None = self.mirror.get(HALT, "all")
        if halt is not None:
            self.halts.add(halt.fence)
            against = [name for name, row in rows.items() if halt.fence < row.fence <= event.index]
            town.look(
                "nothing is given during a halt",
                not against,
                lambda: f"halt {halt.fence} stands at {event.index}; {against} were given after it",
            )

    def permit(self, name: str, row: PermitRow) -> None:
        before = self.seen.get(name)
        if before == row:
            return
        if before is not None and before.fence:
            self.town.look(
                "a fence stands", row.fence == before.fence, lambda: f"{name}: {before.fence}, then {row.fence}"
            )
        elif row.fence:
            others = [one.fence for other, one in self.seen.items() if other != name and one.target == row.target]
            self.town.look(
                "a target's fence grows",
                row.fence > max(others, default=0),
                lambda: f"{name} for {row.target}: {row.fence} after {others}",
            )

    def budgets(self, rows: dict[str, PermitRow]) -> None:
        out = [(name, row) for name, row in rows.items() if row.state in ACTIVE_STATES]
        nodes = [row.target for _, row in out if row.action == "drain"]
        marshals = [name for name, row in out if row.action == "restart"]
        self.town.look(
            "permits by the budgets",
            self.within(nodes) and len(marshals) <= 1,
            lambda: f"at {self.index}: nodes {nodes}, restarts {marshals} of {self.most}",
        )

    def within(self, nodes: list[str]) -> bool:
        if len(set(nodes)) != len(nodes) or len(nodes) > self.most["all"]:
            return False
        zones = [self.zones[one] for one in nodes]
        return all(zones.count(zone) <= self.most[f"zone:{zone}"] for zone in zones)

    # --- at the end, by logs and nodes ---

    def acts(self) -> None:
        """Agents' acts in the log's order: who goes has a permit for this life, and budgets hold at each.

        An agent whose session ends never hears that its word was agreed: its node's row shows that.
        """
        said = [
            (int(found[4]), found[1], found[2], int(found[3]))
            for line in self.town.lines
            if (found := ACT.search(line.text))
        ]
        said += [(place, node, "ready", life) for (node, life), place in self.back.items()]
        out: dict[str, int] = {}  # with the life in which it went
        for place, node, standing, life in sorted(said):
            if standing == "ready" and out.get(node, life) < life:
                del out[node]
            elif standing != "ready":
                out[node] = life
            self.town.look(
                "nodes out by the budgets",
                self.within(sorted(out)),
                lambda place=place, out=dict(out): (
                    f"at {place}: {out} are out of {self.most}; "
                    f"{[one for one in sorted(said) if abs(one[0] - place) < 20]}"
                ),
            )
            if standing == "draining":
                self.town.count("drains played")
                mine = [
                    row
                    for row in self.seen.values()
                    if (row.action, row.target, row.incarnation) == ("drain", node, life)
                ]
                self.town.look(
                    "no node goes without a permit",
                    any(0 < row.fence < place for row in mine),
                    lambda place=place, node=node, life=life, mine=mine: (
                        f"{node}, life {life}, drains at place {place}: {mine}"
                    ),
                )

    def told(self) -> None:
        """Nothing new goes to a node from GRACE_S after its marshal was told until it is told otherwise."""
        windows: dict[tuple[str, str], list[tuple[float, float]]] = {}
        open_: dict[tuple[str, str], float] = {}
        for line in self.town.lines:
            if line.text == BEGINS:  # another process by this name: it has been told of nothing yet
                for key in [one for one in open_ if one[0] == line.who]:
                    windows.setdefault(key, []).append((open_.pop(key), line.at))
            if found := DRAINS.search(line.text):
                open_.setdefault((line.who, found[1]), line.at)
            elif (found := STANDS.search(line.text)) and (key := (line.who, found[1])) in open_:
                windows.setdefault(key, []).append((open_.pop(key), line.at))
        slack = self.town.late_s
        late: list[Any] = []
        for call in self.calls:
            for began, ended in windows.get((call.marshal, call.node), ()):
                if began + GRACE_S + slack < call.at < ended - BACK_S - slack:
                    late.append((call, round(call.at - began, 3)))
        count = sum(len(one) for one in windows.values())
        self.town.report.looked("nothing new 250 ms after told", count)
        if late:
            self.town.say("nothing new 250 ms after told", f"{len(late)} queries: {late[:3]}")

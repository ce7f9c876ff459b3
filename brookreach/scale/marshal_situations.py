"""What goes on around a marshal while it takes RPCs: nothing, a trial, restarts, drains."""

from __future__ import annotations

from dataclasses import replace

from brookreach import interface as ifc
from brookreach.scale import marshal_configuration as configured
from brookreach.scale.marshal_sizes import Size

COLD_SHARE = 0.02  # of the nodes, at any time
DRAINED_SHARE = 0.005  # of the nodes, that begin to drain at each change of the list
DRAINS_EVERY_MS, DRAIN_CHANGES = 500.0, 4  # a node is gone so many changes after its drain began


class Situation:
    """Nothing goes on: the build is released, all nodes are ready and warm, and no list comes."""

    name = "quiet"
    every_ms: float | None = None  # between changes of the list
    judged = False  # whether RPCs are judged by method, so that each method has to be warmed up
    build = configured.RELEASED_BUILD
    phase = ifc.RolloutPhase.RELEASED
    stage = len(configured.STAGE_SHARES) - 1

    def __init__(self, size: Size, start: ifc.BalancerSettings) -> None:
        self.size, self.start = size, start
        self.entries = [self.entry(number) for number in range(1, size.nodes + 1)]

    def entry(self, node: int) -> ifc.NodeEntry:
        return ifc.NodeEntry(
            node=node,
            state=ifc.NodeState.READY,
            started_ms=0.0,
            build=configured.RELEASED_BUILD,
            zone=node % len(configured.ZONES),
            cell=node % (4 * len(configured.ZONES)),
            kind=0,
            size=1.0,
        )

    def news(self, reply: bool = False) -> ifc.RolloutStatus:
        return ifc.RolloutStatus(reply, ifc.Outcome.OK, self.stage, 1.0, self.phase, 0.0, self.build)

    def change(self, now: float) -> tuple[ifc.NodeEntry, ...]:
        """The rows of the next change of the list; asked for each `every_ms`."""
        return ()


class Trial(Situation):
    """Three quarters of the nodes run a build that is on trial, so that the median RPC runs on it."""

    name = "on trial"
    judged = True
    build, phase, stage = configured.NEW_BUILD, ifc.RolloutPhase.ON_TRIAL, configured.TRIAL_STAGE

    def entry(self, node: int) -> ifc.NodeEntry:
        plain = super().entry(node)
        return replace(plain, build=configured.NEW_BUILD) if node % 4 else plain


class Cold(Situation):
    """Of each 100 nodes 2 have restarted and are not warm yet; as they warm up, the next ones restart."""

    name = "2% cold"

    def __init__(self, size: Size, start: ifc.BalancerSettings) -> None:
        super().__init__(size, start)
        self.every_ms = start.guards.warm_ms
        self.next = 0

    def change(self, now: float) -> tuple[ifc.NodeEntry, ...]:
        count = max(1, round(COLD_SHARE * len(self.entries)))
        places = [(self.next + step) % len(self.entries) for step in range(count)]
        self.next = (self.next + count) % len(self.entries)
        return tuple(replace(self.entries[place], started_ms=now) for place in places)


class Drains(Situation):
    """Nodes drain and go, and as many warm ones come in their place."""

    name = "drains"
    every_ms = DRAINS_EVERY_MS

    def __init__(self, size: Size, start: ifc.BalancerSettings) -> None:
        super().__init__(size, start)
        self.draining: list[list[ifc.NodeEntry]] = []
        self.made = size.nodes

    def change(self, now: float) -> tuple[ifc.NodeEntry, ...]:
        count = max(1, round(DRAINED_SHARE * self.size.nodes))
        begun, self.entries = self.entries[:count], self.entries[count:]
        self.draining.append([replace(entry, state=ifc.NodeState.DRAINING) for entry in begun])
        gone, come = list[ifc.NodeEntry](), list[ifc.NodeEntry]()
        if len(self.draining) > DRAIN_CHANGES:
            gone = [replace(entry, state=ifc.NodeState.GONE) for entry in self.draining.pop(0)]
            come = [self.entry(self.made + step) for step in range(1, len(gone) + 1)]
        self.made += len(come)
        self.entries += come
        return (*self.draining[-1], *gone, *come)


SITUATIONS: tuple[type[Situation], ...] = (Situation, Trial, Cold, Drains)

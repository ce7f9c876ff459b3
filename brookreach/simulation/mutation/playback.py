"""The run that the drill of changed messages plays: what happens in it, and what goes on being checked."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from brookreach.coordination.timing import Timing
from brookreach.simulation.coordination.drill import Case
from brookreach.simulation.engine.faults import Fault
from brookreach.simulation.engine.transit import Frame, Sent

AFTER_MS, GOES_ON_MS, LOOK_MS = (
    1700.0,
    900.0,
    100.0,
)  # a play ends so long after its change; it has to go on before
EVERY_MS = 250.0  # between a client's questions
MOST_S = 30  # of real time for one play, past which it hangs
STEPS = (
    (800.0, "stop the leader", 600.0),
    (1500.0, "stop a follower", 900.0),
    (2600.0, "hand over", 300.0),
    (3000.0, "a client leaves", 0.0),
)
RUN_MS = 3400.0
TIMING = Timing(
    heartbeat_ms=50.0,
    election_timeout_ms=250.0,
    lease_ms=1000.0,
    drift=0.05,
    max_pending_proposals=256,
    snapshot_interval_entries=8,
)
MOST = 3  # plays of one kind of change of one kind of message, by default


class Play:
    """The run, as recorded and as played again: the same steps, whoever leads by then."""

    def __init__(self, seed: int, watch: Callable[[Frame], Sequence[Sent] | None]):
        self.broken: list[tuple[str, str]] = []
        self.checked: dict[str, int] = {}
        self.case = Case(
            seed,
            self.say,
            self.look,
            watch,
            keepers=3,
            clients=3,
            readers=0,
            every_ms=EVERY_MS,
            timing=TIMING,
        )
        self.until = RUN_MS + AFTER_MS
        self.terms: list[tuple[float, int]] = []

    def say(self, rule: str, now: float, text: str) -> None:
        self.broken.append((rule, text))

    def look(self, rule: str) -> None:
        self.checked[rule] = self.checked.get(rule, 0) + 1

    def run(self) -> None:
        world, steps = self.case.world, list(STEPS)
        for party in world.parties.values():
            party.start()
        while world.now < self.until:
            world.play(min(self.until, world.now + LOOK_MS))
            self.case.look()
            term = max(party.keeper.raft.term for party in self.case.keeper_parties())
            if not self.terms or term > self.terms[-1][1]:
                self.terms.append((world.now, term))
            while steps and steps[0][0] <= world.now:
                self.step(*steps.pop(0)[1:])
        self.case.checkers.went_on(world.now, self.until - GOES_ON_MS, GOES_ON_MS)

    def step(self, what: str, for_ms: float) -> None:
        keepers = self.case.keeper_parties()
        leading = [party for party in keepers if party.up and party.keeper.is_leader]
        at, leader = int(self.case.world.now), leading[0] if leading else keepers[0]
        follower = next(party for party in keepers if party is not leader)
        match what:
            case "stop the leader":
                self.case.world.plan([Fault(at, "stop", (leader.name,), (), int(for_ms))])
            case "stop a follower":
                self.case.world.plan([Fault(at, "stop", (follower.name,), (), int(for_ms))])
            case "hand over":
                self.case.world.plan([Fault(at, "end", (leader.name,), (), int(for_ms))])
            case "a client leaves":
                self.case.world.plan([Fault(at, "end", (self.case.clients[-1],), (), int(for_ms))])

    def ends_after(self, at: float) -> float:
        """Far enough from a change, and from what the run itself does, that the group has to be going on."""
        until = at + AFTER_MS
        for began, _, for_ms in STEPS:
            if began <= until < began + for_ms + GOES_ON_MS * 1.5:
                until = began + for_ms + GOES_ON_MS * 1.5
        return min(until, RUN_MS + AFTER_MS)

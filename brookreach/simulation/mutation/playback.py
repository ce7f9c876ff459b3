"""The run that the drill of changed messages records and repeats: what happens in it, and what is checked."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from brookreach.coordination.timing import Timing
from brookreach.simulation.coordination.cluster_run import ClusterOptions, ClusterRun
from brookreach.simulation.coordination.rules import RuleRecorder
from brookreach.simulation.engine.faults import Fault, FaultKind
from brookreach.simulation.engine.links import FrameInterceptor

TIMING = Timing(
    heartbeat_ms=50.0,
    election_timeout_ms=250.0,
    lease_ms=1000.0,
    drift=0.05,
    max_pending_proposals=256,
    snapshot_interval_entries=8,
)
OPTIONS = ClusterOptions(replicas=3, clients=3, readers=0, request_interval_ms=250.0, timing=TIMING)
RUN_MS = 3400.0
RUN_AFTER_MUTATION_MS = 1700.0
PROGRESS_MS = 900.0  # at the end of a run: within it the group has to make progress
CHECK_INTERVAL_MS = 100.0


class Action(StrEnum):
    """What happens in the run besides the clients' requests."""

    PAUSE_LEADER = "pause the leader"
    PAUSE_FOLLOWER = "pause a follower"
    TERMINATE_LEADER = "terminate the leader"
    TERMINATE_CLIENT = "terminate a client"


@dataclass(frozen=True, slots=True)
class Step:
    """An action of the run."""

    at_ms: float
    action: Action
    duration_ms: float


STEPS = (
    Step(800.0, Action.PAUSE_LEADER, 600.0),
    Step(1500.0, Action.PAUSE_FOLLOWER, 900.0),
    Step(2600.0, Action.TERMINATE_LEADER, 300.0),
    Step(3000.0, Action.TERMINATE_CLIENT, 0.0),
)


class ScriptedRun:
    """One run, recorded or repeated: the same steps, whoever leads by then.

    Attributes:
        cluster: The simulated cluster.
        end_ms: When the run ends; a mutation moves it.
        term_starts_ms: When each term after the first was first seen.
    """

    def __init__(self, seed: int, intercept: FrameInterceptor):
        self.cluster = ClusterRun(seed, OPTIONS, intercept)
        self.end_ms = RUN_MS + RUN_AFTER_MUTATION_MS
        self.term_starts_ms: list[float] = []
        self._last_term: int | None = None

    @property
    def recorder(self) -> RuleRecorder:
        """The checks and violations of this run."""
        return self.cluster.recorder

    def run(self) -> None:
        """Run until `end_ms`."""
        simulation = self.cluster.simulation
        simulation.start_all()
        steps = list(STEPS)
        while simulation.now_ms < self.end_ms:
            simulation.run_until(min(self.end_ms, simulation.now_ms + CHECK_INTERVAL_MS))
            self.cluster.check_states()
            self._note_term()
            while steps and steps[0].at_ms <= simulation.now_ms:
                self._begin(steps.pop(0))
        self.cluster.checker.check_progress(simulation.now_ms, self.end_ms - PROGRESS_MS, PROGRESS_MS)

    def _note_term(self) -> None:
        term = max(process.replica.raft.term for process in self.cluster.replicas())
        if self._last_term is not None and term > self._last_term:
            self.term_starts_ms.append(self.cluster.simulation.now_ms)
        self._last_term = term if self._last_term is None else max(term, self._last_term)

    def _begin(self, step: Step) -> None:
        simulation = self.cluster.simulation
        replicas = list(self.cluster.replicas())
        leaders = [process for process in replicas if process.is_running and process.replica.is_leader]
        leader = leaders[0] if leaders else replicas[0]
        follower = next(process for process in replicas if process is not leader)
        kinds_and_targets = {
            Action.PAUSE_LEADER: (FaultKind.PAUSE, leader.name),
            Action.PAUSE_FOLLOWER: (FaultKind.PAUSE, follower.name),
            Action.TERMINATE_LEADER: (FaultKind.TERMINATE, leader.name),
            Action.TERMINATE_CLIENT: (FaultKind.TERMINATE, self.cluster.client_names[-1]),
        }
        kind, target = kinds_and_targets[step.action]
        simulation.plan([Fault(int(simulation.now_ms), kind, (target,), (), int(step.duration_ms))])

    def end_after(self, mutated_at_ms: float) -> float:
        """Return when to end: far enough from a mutation and from the steps, so that there has to be progress."""
        end_ms = mutated_at_ms + RUN_AFTER_MUTATION_MS
        for step in STEPS:
            settled_ms = step.at_ms + step.duration_ms + PROGRESS_MS * 1.5
            if step.at_ms <= end_ms < settled_ms:
                end_ms = settled_ms
        return min(end_ms, RUN_MS + RUN_AFTER_MUTATION_MS)

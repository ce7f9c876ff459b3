"""One simulated cluster of the coordination service with its clients, and the checks of its run."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from brookreach.coordination.timing import Timing
from brookreach.simulation.coordination import sample_application
from brookreach.simulation.coordination.client_script import SampleClientScript
from brookreach.simulation.coordination.invariants import InvariantChecker
from brookreach.simulation.coordination.pinned_reader import PinnedReader
from brookreach.simulation.coordination.record_invariants import SampleApplicationRules
from brookreach.simulation.coordination.rules import Rule, RuleRecorder
from brookreach.simulation.engine import fault_planner
from brookreach.simulation.engine.client_process import SimulatedClient
from brookreach.simulation.engine.faults import Fault
from brookreach.simulation.engine.links import FrameInterceptor
from brookreach.simulation.engine.replica_process import SimulatedReplica
from brookreach.simulation.engine.simulation import Simulation

TIMING = Timing(
    heartbeat_ms=50.0,
    election_timeout_ms=250.0,
    lease_ms=1000.0,
    drift=0.05,
    max_pending_proposals=256,
    snapshot_interval_entries=40,
)
FAULTS_END_MS = 6000  # all faults are over by then
RECOVERY_MS = 6000  # after the faults: the group has to accept commands again, and all have to agree
CHECK_INTERVAL_MS = 250
MAX_SCENARIOS = 12
REPLICA_COUNTS = (3, 3, 5)


@dataclass(frozen=True, slots=True)
class ClusterOptions:
    """Who takes part in a run.

    Attributes:
        replicas: Their number; drawn from the seed if it is 0.
        clients: Their number.
        readers: How many of the replicas have a reader that stays with them.
        request_interval_ms: The mean time between two requests of a client.
        timing: The times of the group.
    """

    replicas: int = 0
    clients: int = 4
    readers: int = 3
    request_interval_ms: float = 120.0
    timing: Timing = TIMING


DEFAULT_OPTIONS = ClusterOptions()


class ClusterRun:
    """One run of one seed.

    Attributes:
        replica_names: The members of the group.
        client_names: The clients with a script.
        recorder: The checks and violations of this run.
        checker: What observes it.
        simulation: Its processes and network.
        faults: The faults that its seed plans.
    """

    def __init__(
        self,
        seed: int,
        options: ClusterOptions = DEFAULT_OPTIONS,
        intercept: FrameInterceptor | None = None,
        keep_trace: bool = False,
    ):
        rng = random.Random(f"{seed} case")
        replicas = options.replicas or rng.choice(REPLICA_COUNTS)
        self.replica_names = tuple(f"k{number}" for number in range(1, replicas + 1))
        self.client_names = tuple(f"c{number}" for number in range(1, options.clients + 1))
        self.recorder = RuleRecorder()
        application = sample_application.APPLICATION
        command_rules = (SampleApplicationRules(self.recorder),)
        self.checker = InvariantChecker((application,), self.recorder, command_rules)
        self.simulation = Simulation(seed, self.checker, intercept, keep_trace)
        self._add_processes(seed, options)
        self.faults = fault_planner.plan_faults(
            rng, self.replica_names, self.client_names, FAULTS_END_MS, MAX_SCENARIOS
        )

    def _add_processes(self, seed: int, options: ClusterOptions) -> None:
        application = sample_application.APPLICATION
        environment = self.simulation.environment
        members = self.replica_names
        for name in members:
            self.simulation.add(SimulatedReplica(environment, name, options.timing, members, (application,)))
        for name in self.client_names:
            rng = random.Random(f"{seed} script {name}")
            script = SampleClientScript(rng, self.checker, options.request_interval_ms)
            client = SimulatedClient(environment, name, options.timing, members, dict(application.tables), script)
            self.simulation.add(client)
        for name in members[: options.readers]:
            reader = PinnedReader(environment, f"r.{name}", options.timing, name, sample_application.COUNTERS)
            self.simulation.add(reader)

    def replicas(self) -> Iterator[SimulatedReplica]:
        """Yield the replicas, running or not."""
        for process in self.simulation.processes.values():
            if isinstance(process, SimulatedReplica):
                yield process

    def run(self, faults: Sequence[Fault], faults_end_ms: int = FAULTS_END_MS, recovery_ms: int = RECOVERY_MS) -> None:
        """Run from the start to the end, with all checks."""
        simulation = self.simulation
        simulation.plan(faults)
        simulation.start_all()
        index_before = 0
        for until_ms in range(CHECK_INTERVAL_MS, faults_end_ms + recovery_ms + 1, CHECK_INTERVAL_MS):
            index_before = self.checker.last_acknowledged_index
            simulation.run_until(float(until_ms))
            self.check_states()
        self.checker.check_progress(simulation.now_ms, float(faults_end_ms), float(recovery_ms))
        self._check_caught_up(index_before)

    def check_states(self) -> None:
        """Compare the state of each running process with the reference model."""
        now_ms = self.simulation.now_ms
        for process in self.simulation.processes.values():
            if not process.is_running:
                continue
            if isinstance(process, SimulatedReplica) and not process.has_lost_disk:
                machine = process.replica.machine
                self.checker.check_replica_state(now_ms, process.name, machine.applied, machine.view)
            elif isinstance(process, SimulatedClient) and process.applied_index():
                cache = process.client.cache
                self.checker.check_cache(now_ms, process.name, cache.index, cache, process.tables)

    def _check_caught_up(self, index: int) -> None:
        """Long after the last fault all run, and have reached what was acknowledged a check ago."""
        for process in self.simulation.processes.values():
            self.recorder.record_check(Rule.ALL_CATCH_UP)
            if isinstance(process, SimulatedReplica) and process.has_lost_disk:
                continue
            applied_index = process.applied_index()
            if not process.is_running:
                self._report_lagging(f"{process.name} does not run")
            elif applied_index is not None and applied_index < index:
                self._report_lagging(f"{process.name} stands at {applied_index}, {index} was acknowledged")

    def _report_lagging(self, text: str) -> None:
        self.recorder.record_violation(Rule.ALL_CATCH_UP, self.simulation.now_ms, text)

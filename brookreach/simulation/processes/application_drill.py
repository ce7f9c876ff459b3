"""What drills of applications between processes share: replicas behind a relay, their logs, faults and rules.

It starts and ends the processes and reads what they log while they run. It never looks into a process; what is asked
of them is in `operators`.
"""

from __future__ import annotations

import random
import re
import signal
from collections.abc import Callable, Sequence
from pathlib import Path

import anyio

from brookreach.simulation.processes.cluster_configuration import ClusterConfiguration
from brookreach.simulation.processes.operators import GROUP_TIMING, POLL_INTERVAL_S, PROGRESS_TIMEOUT_S
from brookreach.simulation.processes.process_logs import RESTART_MARKER, LogLine, LogReader
from brookreach.simulation.processes.program import BOOTSTRAP_TIMEOUT_S, ProgramProcess, ProgramProcesses
from brookreach.simulation.processes.relay import Impairment, Relay, RelayLink
from brookreach.simulation.report import Report, Violation

REPLICAS = ("k1", "k2", "k3")
TIMING_SETTINGS = (
    f"beat_ms = {GROUP_TIMING.heartbeat_ms}",
    f"election_ms = {GROUP_TIMING.election_timeout_ms}",
    f"lease_ms = {GROUP_TIMING.lease_ms}",
)
DEFECT_MARKERS = ("fault", "Traceback")
LEADER_PATTERN = r"leads, term (\d+)|(follows) "
LOG_TAIL_IN_VIOLATION = 160  # characters of each process
MAX_VIOLATION_TEXT = 3000
NO_PROCESS_ENDS_RULE = "no process gone"
SIGTERM_RULE = "SIGTERM ends it with 0"
NO_DEFECT_RULE = "no defect logged"
POLL_DELAY_FIGURE = "kept from looking, s"


class ProcessCluster:
    """The replicas of one seed, and the other processes that a drill adds.

    Attributes:
        report: What is found goes there.
        processes: All processes.
        ports: Free ports.
        folder: Where files and logs stand.
        group: The group's addresses.
        configuration_files: By name: the group's file as that process sees it.
        relay: All connections to replicas lead through it.
        all_names: Replicas and all who connect to them.
        log_lines: What all processes have logged.
        started_at: When the run began, by anyio's clock; 0 before.
        max_poll_delay_s: How long this process itself was kept from reading logs.
        rng: Of the drill.
    """

    def __init__(
        self, seed: int, folder: Path, processes: ProgramProcesses, report: Report, case: str, clients: Sequence[str]
    ):
        self.report = report
        self.processes = processes
        self.ports = processes.ports
        self.folder = folder
        self.rng = random.Random(f"{seed} {case}")
        self.group = ClusterConfiguration(folder, REPLICAS, clients, self.ports)
        self.all_names = (*REPLICAS, *clients)
        self.configuration_files = {name: str(self.group.write_file(name, TIMING_SETTINGS)) for name in self.all_names}
        self.relay = Relay(self.group.relay_endpoints(), seed)
        self.log_lines: list[LogLine] = []
        self.started_at = 0.0
        self.max_poll_delay_s = 0.0
        self._seed = seed
        self._case = case
        self._log_reader = LogReader()
        for name in REPLICAS:
            self._start_replica(name)

    def _start_replica(self, name: str) -> None:
        file = self.configuration_files[name]
        bootstrap = ("fleet", "found", file, "--keeper", name)
        ProgramProcess(f"{name}.found", self.folder / name, bootstrap).run_to_completion(BOOTSTRAP_TIMEOUT_S)
        self.add(name, "fleet", "keep", file, "--keeper", name)

    def add(self, name: str, *arguments: str) -> ProgramProcess:
        """Start a process of the program; return it."""
        process = self.processes.add(ProgramProcess(name, self.folder / name, arguments))
        process.start()
        return process

    # --- findings ---

    def report_violation(self, rule: str, text: str) -> None:
        """Add a violation to the report."""
        at_ms = (anyio.current_time() - self.started_at) * 1000.0 if self.started_at else 0.0
        self.report.add_violation(Violation(rule, self._case, self._seed, at_ms, text))

    def check(self, rule: str, holds: bool, describe: Callable[[], str]) -> None:
        """Record a check; report a violation if the rule doesn't hold."""
        self.report.record_check(rule)
        if not holds:
            self.report_violation(rule, describe())

    def increment_figure(self, name: str, by: int = 1) -> None:
        """Add to a figure of the report."""
        self.report.figures[name] = self.report.figures.get(name, 0) + by

    # --- logs ---

    async def follow_logs(self) -> None:
        """Read new lines of all logs until cancelled."""
        last = anyio.current_time()
        while True:
            self.read_logs()
            await anyio.sleep(POLL_INTERVAL_S)
            now = anyio.current_time()
            self.max_poll_delay_s = max(self.max_poll_delay_s, now - last - POLL_INTERVAL_S)
            last = now

    def read_logs(self) -> None:
        """Read the complete lines that were logged since the last time."""
        now = anyio.current_time()
        for name, process in self.processes.by_name.items():
            self.log_lines += [LogLine(now, name, text) for text in self._log_reader.new_lines(process.log_path)]

    def find_in_log(self, name: str, pattern: str) -> list[re.Match[str]]:
        """Return the matches of a pattern in the lines of a process, at most one of each line."""
        found = (re.search(pattern, line.text) for line in self.log_lines if line.who == name)
        return [match for match in found if match is not None]

    def find_leader(self) -> str:
        """Return the running replica that by the logs leads in the newest term; the first one if none does."""
        leaders: dict[int, str] = {}
        for name in REPLICAS:
            matches = self.find_in_log(name, LEADER_PATTERN)
            process = self.processes.by_name[name]
            if matches and matches[-1][1] and process.is_running and not process.is_paused:
                leaders[int(matches[-1][1])] = name
        return leaders[max(leaders)] if leaders else REPLICAS[0]

    def is_listening(self, name: str) -> bool:
        """Whether a replica has logged that it listens since its last start: before that it ignores SIGTERM."""
        texts = [line.text for line in self.log_lines if line.who == name]
        last_start = max((index for index, text in enumerate(texts) if text == RESTART_MARKER), default=-1)
        return any(f"{name} listens," in text for text in texts[last_start + 1 :])

    # --- faults ---

    def links_between(self, sources: Sequence[str], targets: Sequence[str]) -> list[RelayLink]:
        """Return the links from any of the sources to any of the targets."""
        return self.relay.links_between(sources, targets)

    async def impair_links(self, links: Sequence[RelayLink], duration_s: float, impairment: Impairment) -> None:
        """Impair links for some time."""
        for link in links:
            link.impair(impairment)
        await anyio.sleep(duration_s)
        for link in links:
            link.reset()

    async def kill_and_restart(self, names: Sequence[str], downtime_s: float) -> None:
        """Kill processes and start them again later."""
        for name in names:
            self.processes.by_name[name].kill()
        await anyio.sleep(downtime_s)
        self.restart(names)

    def restart(self, names: Sequence[str]) -> None:
        """Start processes that have ended; their logs are marked."""
        self.read_logs()
        for name in names:
            self.log_lines.append(LogLine(anyio.current_time(), name, RESTART_MARKER))
            self.processes.by_name[name].start()

    async def pause(self, name: str, duration_s: float) -> None:
        """Stop a process by SIGSTOP for some time."""
        self.processes.by_name[name].pause()
        await anyio.sleep(duration_s)
        self.processes.by_name[name].resume()

    def heal(self) -> None:
        """End all faults: no link is impaired, all processes run."""
        for link in self.relay.links.values():
            link.reset()
        for process in self.processes.by_name.values():
            process.resume()
            process.start()

    # --- rules of all drills ---

    async def wait_until(
        self,
        condition: Callable[[], object],
        rule: str,
        timeout_s: float = PROGRESS_TIMEOUT_S,
        why: Callable[[], str] = lambda: "",
    ) -> bool:
        """Wait for a condition; return False and report a violation if it isn't met in time.

        Args:
            condition: Polled until it is true.
            rule: That it is met in time.
            timeout_s: How long it may take.
            why: Describes what is missing.
        """
        self.report.record_check(rule)
        with anyio.move_on_after(timeout_s):
            while not condition():
                await anyio.sleep(POLL_INTERVAL_S)
            return True
        logs = "; ".join(
            f"{name}: {process.log_tail()[-LOG_TAIL_IN_VIOLATION:]}" for name, process in self.processes.by_name.items()
        )
        self.report_violation(rule, f"not within {timeout_s:.0f} s: {why()}; {logs}"[:MAX_VIOLATION_TEXT])
        return False

    async def shut_down(self, signalled: Sequence[str] = ()) -> None:
        """Send SIGTERM to all, replicas last: each ends with 0, none had ended by itself, no log shows a defect.

        Args:
            signalled: Stand-ins that don't handle the signal and may end by it.
        """
        others = [name for name in self.processes.by_name if name not in REPLICAS]
        for name in (*others, *REPLICAS):
            await self._terminate(name, name in signalled)
        self.read_logs()
        for line in self.log_lines:
            if any(marker in line.text for marker in DEFECT_MARKERS):
                self.report_violation(NO_DEFECT_RULE, f"{line.who}: {line.text}")
        self.report.record_check(NO_DEFECT_RULE, len(self.log_lines))
        for link in self.relay.links.values():
            for what, count in link.frame_counts.items():
                self.increment_figure(f"relay: {what}", count)
        longest_s = max(self.max_poll_delay_s, self.report.figures.get(POLL_DELAY_FIGURE, 0.0))
        self.report.figures[POLL_DELAY_FIGURE] = round(longest_s, 3)

    async def _terminate(self, name: str, may_end_by_signal: bool) -> None:
        process = self.processes.by_name[name]
        self.check(
            NO_PROCESS_ENDS_RULE,
            process.is_running and not process.unexpected_exit_codes,
            lambda: f"{name} ended itself with {process.unexpected_exit_codes}: {process.log_tail()}",
        )
        code = await anyio.to_thread.run_sync(process.terminate)
        self.check(
            SIGTERM_RULE,
            code == 0 or (may_end_by_signal and code == -signal.SIGTERM),
            lambda: f"{name} ends with {code}: {process.log_tail()}",
        )

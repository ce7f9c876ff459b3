"""Processes of the program, started by its command line, each with a folder of its own.

A drill owns the processes that it starts and their folders. It ends only these, by their ids, and never reads what
they hold in memory.
"""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Protocol

import anyio

from brookreach.simulation.processes.parent_death import ENDING_WITH_PARENT
from brookreach.simulation.processes.ports import NoFreePortError, PortAllocator
from brookreach.simulation.report import MissingReportError, Report

SHUTDOWN_TIMEOUT_S = 60.0  # after SIGTERM, on a machine that is busy with other work
BOOTSTRAP_TIMEOUT_S = 180.0  # for a command that takes a second on an idle machine
MAX_LOG_TAIL = 400  # characters


class ProgramProcess:
    """One process of the program and its restarts.

    Attributes:
        name: Names its log and, for a replica, its folder.
        folder: What it may store in.
        arguments: Its command line after `python -m brookreach`.
        process: The running process; None if there is none.
        is_paused: Whether it is stopped by SIGSTOP.
        unexpected_exit_codes: Of incarnations that ended by themselves.
        log_path: What it prints, over all incarnations.
    """

    def __init__(self, name: str, folder: Path, arguments: Sequence[str]):
        self.name = name
        self.folder = folder
        self.arguments = tuple(arguments)
        self.process: subprocess.Popen[bytes] | None = None
        self.is_paused = False
        self.unexpected_exit_codes: list[int] = []
        self.log_path = folder.parent / f"{name}.log"
        self._log_start = 0  # of its last life, in bytes
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def is_running(self) -> bool:
        """Whether it runs, paused or not; notes the exit code of one that ended by itself."""
        if self.process is not None and self.process.poll() is not None:
            self.unexpected_exit_codes.append(self.process.returncode)
            self.process = None
        return self.process is not None

    def start(self) -> None:
        """Start it, unless it runs."""
        if self.is_running:
            return
        with self.log_path.open("ab") as log:
            self._log_start = log.tell()
            self.process = subprocess.Popen(
                [*ENDING_WITH_PARENT, sys.executable, "-m", "brookreach", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_paused = False

    def run_to_completion(self, timeout_s: float) -> None:
        """Run a command that ends by itself.

        Raises:
            MissingReportError: It failed, or took longer.
        """
        self.start()
        assert self.process is not None
        command = f"`{' '.join(self.arguments)}`"
        try:
            code = self.process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            self.kill()
            raise MissingReportError(self.name, f"{command} takes longer than {timeout_s:.0f} s") from error
        if code:
            raise MissingReportError(self.name, f"{command} ends with {code}: {self.log_tail()}")

    def pause(self) -> None:
        """Stop it by SIGSTOP."""
        if self.is_running and self.process is not None:
            self.process.send_signal(signal.SIGSTOP)
            self.is_paused = True

    def resume(self) -> None:
        """Let it go on by SIGCONT."""
        if self.is_running and self.process is not None and self.is_paused:
            self.process.send_signal(signal.SIGCONT)
            self.is_paused = False

    def kill(self) -> None:
        """End it by SIGKILL."""
        if self.is_running and self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None
            self.is_paused = False

    def terminate(self) -> int | None:
        """End it by SIGTERM, as an operator does.

        Returns:
            Its exit code; None if it did not run or had to be killed.
        """
        if not self.is_running or self.process is None:
            return None
        self.resume()
        self.process.terminate()
        try:
            code = self.process.wait(SHUTDOWN_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return None
        self.process = None
        return code

    def log_tail(self) -> str:
        """Return the end of its log, for a violation's text."""
        if not self.log_path.exists():
            return ""
        return self.log_path.read_text(errors="replace")[-MAX_LOG_TAIL:].strip()

    def log_of_this_life(self) -> str:
        """Return what it has logged since its last start."""
        if not self.log_path.exists():
            return ""
        return self.log_path.read_bytes()[self._log_start :].decode(errors="replace")

    # --- its storage, while it is down ---

    def erase_storage(self) -> None:
        """Kill it and remove all that it has stored."""
        self.kill()
        shutil.rmtree(self.folder)
        self.folder.mkdir()

    def truncate_newest_file(self, fraction: float) -> str:
        """Kill it and cut off the end of its newest file, as by a power failure in the middle of a write.

        Args:
            fraction: Of the file's bytes that are lost, 0 to 1.

        Returns:
            The file's name; empty if there is none.
        """
        self.kill()
        files = [path for path in sorted(self.folder.rglob("*")) if path.is_file() and path.stat().st_size]
        if not files:
            return ""
        newest = max(files, key=lambda path: (path.stat().st_mtime_ns, path.name))
        os.truncate(newest, int(newest.stat().st_size * (1.0 - fraction)))
        return newest.name


class ProgramProcesses:
    """All processes and ports of one drill; as a context manager it ends and releases them whatever happens.

    Attributes:
        by_name: The processes, in the order in which they were added.
        ports: Loopback ports that no other drill uses.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, ProgramProcess] = {}
        self.ports = PortAllocator()

    def add(self, process: ProgramProcess) -> ProgramProcess:
        """Add a process; return it."""
        self.by_name[process.name] = process
        return process

    def __enter__(self) -> ProgramProcesses:
        return self

    def __exit__(self, *_error: object) -> None:
        for process in self.by_name.values():
            process.kill()
        self.ports.close()


class ProcessDrillRun(Protocol):
    """The run of one seed."""

    async def run(self) -> None:
        """Run to the end; what it finds goes into the report that it was made with."""
        ...


MakeRun = Callable[[int, Path, ProgramProcesses, Report], ProcessDrillRun]
"""Makes the run of a seed, in a folder, with processes of its own."""


def run_process_drill(
    name: str,
    seeds: range,
    processes: int,
    progress: Callable[[int, int], None] | None,
    make_run: MakeRun,
) -> Report:
    """Run a drill between processes, one seed after the other.

    A seed that ends by an error violates the rule that each seed reports; the others are run all the same.

    Raises:
        NoFreePortError: More processes were asked for than there are ports.
    """
    report = Report(name, seeds.start, len(seeds))
    report.figures["processes"] = processes
    for seed in report.iterate_seeds(progress):
        try:
            with tempfile.TemporaryDirectory(prefix="brookreach-drill-") as folder, ProgramProcesses() as children:
                anyio.run(make_run(seed, Path(folder), children, report).run)
        except NoFreePortError:
            raise
        except Exception as error:  # any error is reported with the drill's name and the seed
            report.add_failed_seed(name, seed, error)
    return report

"""The balancer's process: started by the deploy file's `run`, with descriptors bounded as on the platform."""

from __future__ import annotations

import json
import os
import resource
import signal
import subprocess
import sys
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio

from brookreach.simulation.balancer.record import Record, SentSignal
from brookreach.simulation.processes.parent_death import ENDING_WITH_PARENT

ROOT = Path(__file__).parents[3]
SHIM_FOLDER = Path(__file__).parent / "shim"
DEPLOY_FILE = ROOT / "deploy" / "balancer.toml"
SOURCE_COMMAND = f"exec {sys.executable} -m brookreach"
SHIM_VARIABLE = "BROOKREACH_SHIM"
POLL_S = 0.005


@dataclass(frozen=True, slots=True)
class ShimSettings:
    """What the shim does inside the process; it reads them as JSON.

    Attributes:
        seed: Of its own chance.
        failing_calls: The chance with which a system call fails, 0 to 1.
        failing_call: A kind of call, and which one of that kind fails, from 1.
        failing_accepts: How many first calls of accept fail.
        clock_steps: When the wall clock is stepped, in s after the start, and by how many s.
        defect: The name of a planted defect; empty for none.
    """

    seed: int = 0
    failing_calls: float = 0.0
    failing_accepts: int = 0
    failing_call: tuple[str, int] | None = None
    clock_steps: list[tuple[float, float]] = field(default_factory=list)
    defect: str = ""

    def as_json(self) -> str:
        """Return the text that the shim reads."""
        return json.dumps({name: getattr(self, name) for name in self.__slots__})


def run_command() -> str:
    """Return the deploy file's `run` if its build is there, else the same program from its sources."""
    built = ROOT / "build" / "lib" / "brookreach" / "__main__.py"
    if built.exists() and (ROOT / ".venv" / "bin" / "python").exists():
        return str(tomllib.loads(DEPLOY_FILE.read_text())["run"])
    return SOURCE_COMMAND


class BalancerProcess:
    """One process of the balancer.

    Attributes:
        log_path: Where its log goes; the checker does not read it.
    """

    def __init__(self, command: str, configuration: dict[str, Any], folder: Path, shim: ShimSettings, record: Record):
        self.log_path = folder / "balancer.log"
        self._configuration_path = folder / "config.json"
        self._configuration_path.write_text(json.dumps(configuration))
        self._descriptors = int(configuration["limits"]["sockets"])
        self._command, self._shim, self._record = command, shim, record
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it."""
        environment = os.environ | {
            "PROXY_CONFIG": str(self._configuration_path),
            SHIM_VARIABLE: self._shim.as_json(),
            "PYTHONPATH": os.pathsep.join((str(SHIM_FOLDER), *self._source_folder())),
        }
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [*ENDING_WITH_PARENT, "/bin/sh", "-c", self._command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, (self._descriptors, self._descriptors))

    def _source_folder(self) -> tuple[str, ...]:
        """A planted defect replaces attributes of the sources, which the compiled program does not have."""
        return (str(ROOT),) if self._command == SOURCE_COMMAND else ()

    @property
    def process_id(self) -> int:
        """Return the id of the process; 0 before its start."""
        return self._process.pid if self._process is not None else 0

    @property
    def exit_code(self) -> int | None:
        """Return its exit code; None while it runs."""
        return self._process.poll() if self._process is not None else None

    def send_signal(self, number: signal.Signals) -> None:
        """Send it a signal and note when."""
        if self._process is not None and self._process.poll() is None:
            self._record.signals.append(SentSignal(time.monotonic(), number))
            self._process.send_signal(number)

    def kill(self) -> None:
        """End it by SIGKILL and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    async def wait_until(self, at: float) -> bool:
        """Wait for its end until that time; return whether it has ended."""
        while self.exit_code is None:
            if time.monotonic() >= at:
                return False
            await anyio.sleep(min(POLL_S, max(0.0, at - time.monotonic())))
        return True

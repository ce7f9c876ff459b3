"""Writes a running balancer's records to a file.

The file is replaced as a whole, never written over. A disk that fails costs the record, not the balancer.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from brookreach import interface as ifc
from brookreach.files import replace_file
from brookreach.verdict.wave_recorder import Recorder
from brookreach.verdict.wave_records import encode

if TYPE_CHECKING:
    from brookreach.net.runtime import BalancerRuntime

LOG_KIND = "record"


class RecordWriter:
    """Passes a balancer's events and actions to a recorder, and writes its records as a rollout goes on.

    Attributes:
        recorder: Makes the records.
        path: The file.
        log: Takes the kind and the text of a log line.
        write: Replaces a file by its path and new content.
        last_state: Build, stage and phase at the last write.
        failed: Whether the last write failed; only the first failure and the first success after it are logged.
    """

    def __init__(
        self,
        recorder: Recorder,
        path: Path,
        log: Callable[[str, str], None],
        write: Callable[[Path, bytes], None] = replace_file,
    ):
        self.recorder = recorder
        self.path = path
        self.log = log
        self.write = write
        self.last_state: tuple[int, int, ifc.RolloutPhase] | None = None
        self.failed = False

    def observe(self, now: float, message: object) -> None:
        """Record one event or action at `now` (ms); write the file if it changes a build's phase or stage."""
        self.recorder.record(now, message)
        if isinstance(message, ifc.RolloutStatus) and message.ending == ifc.Outcome.OK:
            state = message.build, message.stage, message.phase
            if state != self.last_state:
                self.last_state = state
                self.save()

    def save(self) -> None:
        """Write the file, unless no rollout was recorded. An OSError is logged, not raised."""
        if not self.recorder.waves:
            return
        try:
            self.write(self.path, encode(list(self.recorder.waves)))
        except OSError as error:
            if not self.failed:
                self.log(LOG_KIND, f"{self.path} can't be written: {error.strerror}; the marshal goes on")
            self.failed = True
            return
        if self.failed:
            self.log(LOG_KIND, f"{self.path} is written again")
        self.failed = False


def record_balancer(runtime: BalancerRuntime, path: Path) -> RecordWriter:
    """Record a balancer from the next event of its driver on, into the file at `path`."""
    driver = runtime.driver
    writer = RecordWriter(Recorder(driver.settings, runtime.report.name), path, runtime.report.log)
    driver.observer = writer.observe
    if driver.rollout_status is not None:
        writer.observe(driver.clock.now_ms(), driver.rollout_status)
    return writer

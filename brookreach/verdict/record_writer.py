"""Keeps a running marshal's records in a file: the thin part with a disk.

The file is replaced as a whole, never written over. A disk that fails costs the record, not the marshal.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from brookreach import interface as ifc
from brookreach.files import replace_file
from brookreach.verdict.wave_recorder import Recorder
from brookreach.verdict.wave_records import encode


class RecordWriter:
    """Hears a marshal and writes its recorder's waves whenever a build's phase or stage changes."""

    def __init__(
        self,
        recorder: Recorder,
        path: Path,
        log: Callable[[str, str], None],
        write: Callable[[Path, bytes], None] = replace_file,
    ):
        self.recorder, self.path, self.log, self.write = recorder, path, log, write
        self.last_state: tuple[int, int, ifc.RolloutPhase] | None = None
        self.failed = False

    def observe(self, now: float, one: object) -> None:
        self.recorder.record(now, one)
        if isinstance(one, ifc.RolloutStatus) and one.ending == ifc.Outcome.OK:
            stands = one.build, one.stage, one.phase
            if stands != self.last_state:
                self.last_state = stands
                self.save()

    def save(self) -> None:
        if not self.recorder.waves:
            return
        try:
            self.write(self.path, encode(list(self.recorder.waves)))
        except OSError as error:
            if not self.failed:
                self.log("record", f"{self.path} can't be written: {error.strerror}; the marshal goes on")
            self.failed = True
            return
        if self.failed:
            self.log("record", f"{self.path} is written again")
        self.failed = False


def record_balancer(parts: Any, path: Path) -> RecordWriter:
    """Watch the driver of `parts` (a `brookreach.net.runtime.BalancerRuntime`) from its next event on."""
    driver = parts.driver
    keeper = RecordWriter(Recorder(driver.settings, parts.report.name), path, parts.report.log)
    driver.observer = keeper.observe
    if driver.rollout_status is not None:
        keeper.observe(driver.clock.now_ms(), driver.rollout_status)
    return keeper

"""The logs of processes, read while they are written."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

RESTART_MARKER = "-- begins again"  # a line of ours among those of a process


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a process's log. `at` is when it was read here, in s, a little after it was written."""

    at: float
    who: str
    text: str


class LogReader:
    """Reads logs from where it stopped the last time."""

    def __init__(self) -> None:
        self._offsets: dict[Path, int] = {}

    def new_lines(self, path: Path) -> list[str]:
        """Return the complete lines of a log that were written since the last time."""
        offset = self._offsets.get(path, 0)
        if not path.exists() or path.stat().st_size <= offset:
            return []
        with path.open("rb") as log:
            log.seek(offset)
            octets = log.read()
        complete = octets[: octets.rfind(b"\n") + 1]
        self._offsets[path] = offset + len(complete)
        return complete.decode(errors="replace").splitlines()

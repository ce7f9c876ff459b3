"""How far the machine held up a process: time that it was ready to run and had no core.

The kernel counts it in /proc/PID/schedstat (its second figure, in ns). The drill's own delay is that of its loop.
"""

from __future__ import annotations

import time
from collections import deque
from pathlib import Path

import anyio

SAMPLE_S = 0.02
WINDOW_S = 0.3


class MachineLoad:
    """Samples one process and this one's loop.

    Attributes:
        held_up_s: The most that the process waited for a core within `WINDOW_S`.
        loop_delay_s: The most by which this loop was late.
    """

    def __init__(self) -> None:
        self.held_up_s = self.loop_delay_s = 0.0

    async def sample(self, process_id: int) -> None:
        """Sample until cancelled, or until the process has ended."""
        waits_s: deque[float] = deque(maxlen=round(WINDOW_S / SAMPLE_S))
        while True:
            due_at = time.monotonic() + SAMPLE_S
            await anyio.sleep(SAMPLE_S)
            self.loop_delay_s = max(self.loop_delay_s, time.monotonic() - due_at)
            wait_s = _wait_for_cores_s(process_id)
            if wait_s is None:
                continue
            waits_s.append(wait_s)
            self.held_up_s = max(self.held_up_s, waits_s[-1] - waits_s[0])


def _wait_for_cores_s(process_id: int) -> float | None:
    try:
        figures = Path(f"/proc/{process_id}/schedstat").read_text().split()
    except OSError:  # it has ended, or the kernel does not count
        return None
    return int(figures[1]) / 1e9

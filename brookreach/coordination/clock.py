"""The clock by which a process measures leases, timeouts and deadlines."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Returns milliseconds of a clock that is never set and that goes on while the process is stopped."""
    return time.monotonic() * 1000.0

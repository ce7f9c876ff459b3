"""The one clock that the module is told.

It owns how monotonic and Unix time are tied. It must never step: a life of a marshal sees one rate.
"""

from __future__ import annotations

import time


class Clock:
    """Unix time in ms, as nodes' starts are told, read once and carried on by the monotonic clock."""

    def __init__(self) -> None:
        self.offset_ms = (time.time() - time.monotonic()) * 1000.0

    def to_unix_ms(self, monotonic: float) -> float:
        return self.offset_ms + monotonic * 1000.0

    def now_ms(self) -> float:
        return self.to_unix_ms(time.monotonic())

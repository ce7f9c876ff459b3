"""What runs beside the balancer where the platform's `run` does not have it: a client of the coordination service."""

from __future__ import annotations

from typing import Protocol


class BackgroundService(Protocol):
    """A task of what the platform's `run` does not have. It must never raise, nor make a stop wait."""

    async def run(self) -> None: ...

    def begin_shutdown(self) -> None: ...

    async def finish_shutdown(self) -> None: ...

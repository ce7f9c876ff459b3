"""A service beside the balancer that the platform's own `run` lacks: a client of the coordination service."""

from __future__ import annotations

from typing import Protocol


class BackgroundService(Protocol):
    """A task that runs beside the balancer's own. It must never raise, nor make a shutdown wait."""

    async def run(self) -> None:
        """Run until cancelled."""
        ...

    def begin_shutdown(self) -> None:
        """The process was told to stop; RPCs are still answered."""
        ...

    async def finish_shutdown(self) -> None:
        """All RPCs are answered; the process exits when this returns."""
        ...

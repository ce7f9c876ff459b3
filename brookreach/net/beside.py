"""What runs beside the balancer where the platform's `run` does not have it: a client of the coordination service."""

from __future__ import annotations

from typing import Protocol


class Beside(Protocol):
    """A task of what the platform's `run` does not have. It must never raise, nor make a stop wait."""

    async def run(self) -> None: ...

    def stops(self) -> None: ...

    async def ends(self) -> None: ...

"""What a simulation reports while it runs: the interface of the checkers, so that the engine imports none."""

from __future__ import annotations

from typing import Protocol

from brookreach.coordination.protocol import messages


class RunObserver(Protocol):
    """Receives what links, processes and disks do. It must not influence the run. Times are true time in ms."""

    @property
    def leader(self) -> str:
        """The replica that sent entries in the newest term; empty as long as none did."""
        ...

    def record_check(self, rule: str) -> None:
        """Count that a rule was checked."""
        ...

    def on_client_started(self, client: str) -> None:
        """A new incarnation of a client starts and knows nothing of the last one."""
        ...

    def on_frame_sent(self, at_ms: float, source: str, target: str, body: messages.Body) -> None:
        """A readable message leaves its sender."""
        ...

    def on_frame_received(self, at_ms: float, source: str, target: str, body: messages.Body) -> None:
        """An authenticated message reaches a process that runs."""
        ...

    def on_entry_applied(self, at_ms: float, replica: str, entry: messages.Entry) -> None:
        """A replica applies a committed entry."""
        ...

    def on_process_failed(self, at_ms: float, name: str, error: BaseException) -> None:
        """A process ended by an error that none of its faults explains."""
        ...

"""The writing half of a client connection: answers in the order of the queries, as far as the kernel takes them.

This module owns the order of the answers on a connection and what is not written yet. It reads nothing.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from brookreach.net.answers import AnswerQueue, PendingAnswer
from brookreach.net.message_buffer import MessageBuffer
from brookreach.net.poller import ENDED
from brookreach.net.stream import Stream

if TYPE_CHECKING:
    from brookreach.net.clients import Clients


class ClientWriter(Stream):
    """A client connection, as far as its answers go."""

    def __init__(self, sock: socket.socket, clients: Clients) -> None:
        inbound = MessageBuffer(clients.limits.max_message_bytes, clients.pool)
        super().__init__(clients.poller, sock, inbound, urgent_mask=ENDED)  # nothing may be begun for one that has left
        self.clients = clients
        self.answers = AnswerQueue(clients.limits, clients.memory)
        self.leaving = False  # nothing more is read, and our side is ended once all is answered

    def end(self, why: str) -> None:
        """Close the connection at once, for this reason."""
        raise NotImplementedError

    def on_stalled(self) -> None:
        """The kernel has taken a part of the answers only."""
        raise NotImplementedError

    def on_all_written(self) -> None:
        """The kernel has taken all answers that were ready."""
        raise NotImplementedError

    def on_answered(self, answer: PendingAnswer) -> None:
        """An answer has been set: write what is ready, and keep it if it has to wait."""
        self.answers.release_request(answer)
        self.flush()
        if not self.closed:
            self.answers.hold(answer)

    def flush(self) -> bool:
        """Write the answers that are ready, up to the first RPC without one; return whether there were any."""
        has_written = False
        while not (self.closed or self.unsent) and (ready := self.answers.take_ready()):
            has_written = True
            try:
                self.send(ready)
            except OSError as error:
                self.end(f"its answer can't be written: {error}")
        if self.closed:
            return has_written
        if self.unsent:
            self.on_stalled()
        elif has_written:
            self.on_all_written()
        return has_written

    def on_writable(self) -> None:
        """The kernel has taken more of the answers."""
        self.answers.note_unsent(self.unsent)
        if self.unsent:
            self.on_stalled()
        elif not self.flush():
            self.on_all_written()

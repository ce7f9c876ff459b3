"""The earliest time at which what is read of a client's connection may have arrived.

Two bounds: the last look at the connection that found nothing, and what the kernel tells of the last data on it. The
second is asked for only where the first is old: after a standstill, or behind a queue.
"""

from __future__ import annotations

import math
import socket
import struct
import time

from brookreach.net.stream import Stream

MIN_UNCERTAINTY_S = 0.1  # where the last look is more recent, its time is taken
CLOCK_TICK_S = 0.01  # of the kernel's count of milliseconds, at its coarsest
# Of `struct tcp_info` (linux/tcp.h): 8 bytes, then fields of 4 bytes; `tcpi_last_data_recv`, in ms, is the 12th.
LAST_DATA_RECEIVED = struct.Struct("@8x 11I I")


class DataArrival:
    """Dates the messages of one connection. Times are seconds of the monotonic clock.

    Attributes:
        waiting_since: Since when the connection may have waited to be accepted with data on it; infinite once what
            lay unread then is read.
    """

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.waiting_since = math.inf
        self._last_data_at = -math.inf

    def note_accepted(self, waiting_since: float) -> None:
        """The connection was accepted now, and may have waited for it since then."""
        if time.monotonic() - waiting_since > MIN_UNCERTAINTY_S:
            self.waiting_since = waiting_since

    def note_read(self) -> None:
        """What has arrived is about to be read."""
        is_uncertain = time.monotonic() - self._earliest() > MIN_UNCERTAINTY_S
        self._last_data_at = last_data_at(self.stream.sock) if is_uncertain else -math.inf

    def of_message(self) -> float:
        """Return the earliest arrival of the last byte of the message that was just taken from the buffer."""
        earliest = self._earliest()
        if self._last_data_at <= earliest or len(self.stream.inbound) or self.stream.unread_bytes():
            return earliest  # the last data may be that of a later message
        return self._last_data_at

    def _earliest(self) -> float:
        return min(self.waiting_since, self.stream.poller.events_since)


def last_data_at(sock: socket.socket) -> float:
    """Return the earliest time at which the last data on a TCP connection may have come, read or unread.

    By the monotonic clock; -inf where the kernel does not tell.
    """
    now = time.monotonic()
    try:
        answer = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
        age_ms: int = LAST_DATA_RECEIVED.unpack(answer)[-1]
    except (OSError, struct.error):
        return -math.inf
    return now - age_ms / 1000.0 - CLOCK_TICK_S

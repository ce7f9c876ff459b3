"""The first requests of new streams: how many are read at a time, and for how long.

Until its first request is complete, nothing is known of a stream's client, and gRPC keeps what has arrived of the
request, up to the longest allowed. While a stream waits for its turn, its flow-control window bounds what it sends.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio

from brookreach.xds.messages import StreamRejectedError

MAX_CONCURRENT_READS = 16
READ_TIMEOUT_S = 2.0
CROWDED_READ_TIMEOUT_S = 0.1  # while other streams wait for their turn


class FirstRequestReader:
    """Reads the first requests of all streams of a server, in the order in which the streams came."""

    def __init__(self) -> None:
        self._turns = anyio.Semaphore(MAX_CONCURRENT_READS)
        self._reads: dict[anyio.CancelScope, float] = {}  # with the time at which each began

    async def read(self, requests: AsyncIterator[bytes]) -> bytes | None:
        """Return a stream's first request, None if the stream ends without one.

        Raises:
            StreamRejectedError: The request was not complete in time.
        """
        if not self._turns.value:
            self._shorten_reads()
        async with self._turns:
            began_at = anyio.current_time()
            with anyio.CancelScope(deadline=began_at + READ_TIMEOUT_S) as scope:
                self._reads[scope] = began_at
                if self._turns.statistics().tasks_waiting:
                    self._shorten_reads()
                try:
                    return await anext(requests, None)
                finally:
                    del self._reads[scope]
        raise StreamRejectedError("UNAVAILABLE", "the first request was not complete in time")

    def _shorten_reads(self) -> None:
        """Let the reads under way end soon: another stream waits for its turn."""
        for scope, began_at in self._reads.items():
            scope.deadline = min(scope.deadline, began_at + CROWDED_READ_TIMEOUT_S)

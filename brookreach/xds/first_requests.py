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
    """Reads the first requests of all streams of a server, in the order in which the streams came.

    Attributes:
        waiting: How many streams wait for their turn.
    """

    def __init__(self) -> None:
        self.waiting = 0
        self._turns = anyio.Semaphore(MAX_CONCURRENT_READS)
        self._reads: dict[anyio.CancelScope, float] = {}  # with the time at which each began

    async def read(self, requests: AsyncIterator[bytes]) -> bytes | None:
        """Return a stream's first request, None if the stream ends without one.

        Raises:
            StreamRejectedError: The request was not complete in time.
        """
        await self._wait_for_turn()
        try:
            began_at = anyio.current_time()
            with anyio.CancelScope(deadline=began_at + READ_TIMEOUT_S) as scope:
                self._reads[scope] = began_at
                self._shorten_if_crowded()
                try:
                    return await anext(requests, None)
                finally:
                    del self._reads[scope]
        finally:
            self._turns.release()
        raise StreamRejectedError("UNAVAILABLE", "the first request was not complete in time")

    async def _wait_for_turn(self) -> None:
        self.waiting += 1
        try:
            self._shorten_if_crowded()
            await self._turns.acquire()
        finally:
            self.waiting -= 1

    def _shorten_if_crowded(self) -> None:
        if self.waiting:
            for scope, began_at in self._reads.items():
                scope.deadline = min(scope.deadline, began_at + CROWDED_READ_TIMEOUT_S)

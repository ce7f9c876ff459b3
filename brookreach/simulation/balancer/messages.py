"""Messages of PostgreSQL's protocol on one stream of a stand-in."""

from __future__ import annotations

import time

from anyio.abc import ByteStream

from brookreach.net import pgwire
from brookreach.net.message_buffer import BufferPool, MessageBuffer
from brookreach.net.result import INSERT_TAG, SELECT_TAG
from brookreach.simulation.stand_ins import into

REFUSAL = pgwire.error_response(pgwire.PUSH_BACK_SQLSTATE, "queue full")
ERROR = pgwire.error_response(b"XX000", "failed")
MAX_MESSAGE_BYTES = 1 << 20
POOL_BYTES = 1 << 22


def row_answer(value: bytes, is_insert: bool) -> bytes:
    """Return the messages of one row that holds `value`, up to ReadyForQuery."""
    body = b"\0\1" + len(value).to_bytes(4, "big") + value
    parts = [
        *pgwire.encode_message(b"T", b"\0\1data\0" + bytes(18)),
        *pgwire.encode_message(b"D", body),
        *pgwire.encode_message(b"C", INSERT_TAG if is_insert else SELECT_TAG),
    ]
    return b"".join(parts) + pgwire.READY_FOR_QUERY


class MessageStream:
    """Reads messages from a stream.

    Attributes:
        stream: The stream; whoever made it closes it.
        began_at: When the first byte of the last message was read, in s.
    """

    def __init__(self, stream: ByteStream):
        self.stream = stream
        self.began_at = 0.0
        self._inbound = MessageBuffer(MAX_MESSAGE_BYTES, BufferPool(POOL_BYTES))

    async def receive(self) -> tuple[bytes, bytes]:
        """Return the tag and the body of the next message.

        Raises:
            anyio.EndOfStream: The other side has ended the stream.
            anyio.BrokenResourceError: The connection is broken.
        """
        while True:
            if len(self._inbound) == 0:
                await self._receive_some()
            self.began_at = time.monotonic()
            message = self._inbound.next_message()
            while message is None:
                await self._receive_some()
                message = self._inbound.next_message()
            return message[0], bytes(message[1])

    async def receive_startup(self) -> bytes:
        """Return the body of the startup message."""
        body = self._inbound.next_startup_message()
        while body is None:
            await self._receive_some()
            body = self._inbound.next_startup_message()
        return bytes(body)

    async def _receive_some(self) -> None:
        into(self._inbound, await self.stream.receive())

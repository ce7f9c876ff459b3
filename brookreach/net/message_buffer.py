"""Received bytes of connections, cut into PostgreSQL's messages in place, and the memory that they share.

This module owns how much of an unfinished message is kept. It does no I/O and knows no message's meaning.
"""

from __future__ import annotations

from brookreach.net.pgwire import INT32, MESSAGE_HEADER, ProtocolViolationError

DISCARDED = memoryview(bytearray(64 * 1024))  # where all connections receive what they do not keep
SKIPPED_TAG = b"\0"  # no message has it on the wire


class BufferPool:
    """Memory, in bytes, that connections share for what does not fit into their first buffers."""

    def __init__(self, free: int) -> None:
        self.free = free


class MessageBuffer:
    """Received bytes of one connection, handed out message by message.

    A message is a pair of tag and view; the view is valid until the next call. The buffer grows with the bytes
    that have arrived, never with a length that was only claimed, as long as the pool has room, and shrinks again
    when it is empty. Where `can_skip` is set, a message that the pool has no room for is read to its end without being
    kept; the other messages of the connection stay in step.

    Args:
        limit: The longest accepted message, in bytes.
        pool: Pays for the size beyond `first`.
        first: The initial size, in bytes.
    """

    def __init__(self, limit: int, pool: BufferPool, first: int = 512):
        self.limit = limit
        self.pool = pool
        self.first = first
        self.data = bytearray(first)
        self.head = self.tail = 0
        self.can_skip = False
        self.skipped_tag = b""  # of the message that is not kept
        self.bytes_to_skip = 0  # of it, that have not arrived

    def __len__(self) -> int:
        return self.tail - self.head + len(self.skipped_tag)

    def missing_bytes(self) -> int:
        """Return how many bytes of a partial message with a tag have not arrived.

        It is 0 without one, and while its length is unknown.
        """
        if self.skipped_tag:
            return self.bytes_to_skip
        held = self.tail - self.head
        if held < MESSAGE_HEADER.size:
            return 0
        _, length = MESSAGE_HEADER.unpack_from(self.data, self.head)
        missing: int = max(0, 1 + length - held)
        return missing

    def free_space(self) -> memoryview:
        """Return where the next received bytes go. Raises ProtocolViolationError if the pool is exhausted."""
        self.shrink_if_empty()
        if self.bytes_to_skip:
            return DISCARDED[: self.bytes_to_skip]
        if self.tail == len(self.data):
            held = self.data[self.head : self.tail]
            if self.head < len(self.data) // 2:  # more than half is one unfinished message
                if self.can_skip and len(self.data) > self.pool.free:
                    self._skip_message()
                    return DISCARDED[: self.bytes_to_skip]
                self._resize(2 * len(self.data))
            self.data[: len(held)] = held
            self.head, self.tail = 0, len(held)
        return memoryview(self.data)[self.tail :]

    def shrink_if_empty(self) -> None:
        """Return the memory of messages that have been handled to the pool: others may need it before this one does."""
        if self.head == self.tail:
            self.head = self.tail = 0
            if len(self.data) > self.first:
                self._resize(self.first)

    def _skip_message(self) -> None:
        """Drop what has arrived of the unfinished message, and what will."""
        self.bytes_to_skip = self.missing_bytes()
        self.skipped_tag = bytes(self.data[self.head : self.head + 1])
        self.head = self.tail = 0
        self._resize(self.first)  # at once: it may be room for another connection's message

    def _resize(self, size: int) -> None:
        growth = size - len(self.data)
        if growth > self.pool.free:
            raise ProtocolViolationError("all room for large messages is taken")
        self.pool.free -= growth
        self.data = bytearray(size)

    def release(self) -> None:
        """Return the memory of a closed connection to the pool."""
        self.pool.free += len(self.data) - self.first
        self.data, self.first, self.head, self.tail = bytearray(), 0, 0, 0

    def received(self, count: int) -> None:
        """Count the bytes that were written into `free_space`."""
        if self.bytes_to_skip:
            self.bytes_to_skip -= count
        else:
            self.tail += count

    def _take(self, start: int, length: int) -> memoryview | None:
        """Return the body of a message whose length field stands at `start`; `length` counts itself, as on the wire.

        None while the message is incomplete. Raises ProtocolViolationError for a length that is out of bounds.
        """
        if not 4 <= length <= self.limit:
            raise ProtocolViolationError(f"a message of length {length}")
        end = start + length
        if end > self.tail:
            return None
        self.head = end
        return memoryview(self.data)[start + 4 : end]

    def next_startup_message(self) -> memoryview | None:
        """Return the body of the next message of the kind without a tag; None while it is incomplete."""
        if len(self) < 4:
            return None
        return self._take(self.head, INT32.unpack_from(self.data, self.head)[0])

    def next_message(self) -> tuple[bytes, memoryview] | None:
        """Return the tag and body of the next message; None while it is incomplete.

        In place of a message that was not kept: `SKIPPED_TAG`, and its own tag.
        """
        if self.skipped_tag:
            if self.bytes_to_skip:
                return None
            skipped = memoryview(self.skipped_tag)
            self.skipped_tag = b""
            return SKIPPED_TAG, skipped
        if len(self) < 5:
            return None
        tag, length = MESSAGE_HEADER.unpack_from(self.data, self.head)
        body = self._take(self.head + 1, length)
        return None if body is None else (tag, body)

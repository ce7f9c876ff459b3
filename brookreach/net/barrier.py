"""Barriers: harmless queries whose replies prove that every query before them has been answered. No I/O.

An answer does not name its query: it belongs to one by order alone, and on a connection that was used before, what
arrives may be a late copy of an earlier answer. A node answers in order. So each further query is followed by a
barrier, whose replies differ from those of every earlier barrier of the connection. Once they have arrived, the
query's own answer has arrived too, and if exactly one answer came before them, it is that one. How long a connection
was silent proves nothing.

This module owns the contents of barriers. It must never read or write a connection.
"""

from __future__ import annotations

from brookreach.net import pgwire

QUERIES_PER_BARRIER = 4
BARRIER_COUNT = 2**QUERIES_PER_BARRIER  # distinct barriers, and so the further queries of one connection
# Two harmless queries whose replies differ in the tag of their first message.
HARMLESS_QUERIES = (
    b"".join(pgwire.query_message(b"")),
    b"".join(pgwire.query_message(b"SET application_name TO DEFAULT")),
)
REPLY_TAGS: tuple[bytes, bytes] = pgwire.HARMLESS_REPLY_TAGS


class Barrier:
    """One of the distinct barriers of a connection.

    `queries` are the bytes to be written, `reply_tags` the tags of the first messages of their replies.

    Args:
        number: From 0 to `BARRIER_COUNT` - 1; each bit selects one of the two harmless queries.
    """

    def __init__(self, number: int) -> None:
        choices = [number >> position & 1 for position in range(QUERIES_PER_BARRIER)]
        self.queries = b"".join([HARMLESS_QUERIES[choice] for choice in choices])
        self.reply_tags = [REPLY_TAGS[choice] for choice in choices]


BARRIERS = [Barrier(number) for number in range(BARRIER_COUNT)]


class BarrierReplies:
    """Matches the messages of a connection against the replies to one barrier; `is_complete` once all have arrived."""

    def __init__(self, barrier: Barrier) -> None:
        self.barrier = barrier
        self.reply_count = 0  # replies that have arrived whole
        self.has_begun = False  # the first message of the next reply has arrived
        self.is_complete = False

    def on_message(self, tag: bytes, body: memoryview) -> None:
        """Take the next message; called by the connection until `is_complete`.

        Raises:
            SecondAnswerError: The message begins a further answer.
            OutOfOrderError: It is a reply to another barrier.
            ProtocolViolationError: It is no reply to a barrier at all.
        """
        if tag in (b"N", b"S"):
            return
        if self.has_begun and tag == b"Z" and body == b"I":
            self.has_begun = False
            self.reply_count += 1
            self.is_complete = self.reply_count == QUERIES_PER_BARRIER
        elif not self.has_begun and tag == self.barrier.reply_tags[self.reply_count]:
            self.has_begun = True
        elif pgwire.begins_answer(tag, body) and (tag, self.barrier.reply_tags[self.reply_count]) != (b"E", b"C"):
            # An error in place of the reply to SET may be the reply to SET itself.
            raise pgwire.SecondAnswerError("a second answer in front of its fence")
        elif tag in REPLY_TAGS:
            raise pgwire.OutOfOrderError("a reply of another fence")
        else:
            raise pgwire.unexpected(tag, body, "in place of a fence's reply")

"""Fences: queries that do nothing, behind one that asks; their replies prove whose answer came before them. No I/O.

An answer names no query: it belongs to one by order alone, and on a connection that was used before, what comes may be
a late copy of an earlier answer. A node answers in order. So behind each further query stands a fence whose replies no
earlier fence of the connection had: when they have come, the query's own answer has, and if exactly one answer
came before them, it is that one. How long a connection was silent proves nothing.

It owns the words of fences. It must never read or write a connection.
"""

from __future__ import annotations

from brookreach.net import pgwire

QUERIES_PER_BARRIER = 4  # queries in a fence
BARRIER_COUNT = 2**QUERIES_PER_BARRIER  # fences that differ: the further queries of one connection
# Two harmless queries whose replies can be told apart: by the tag of the reply's first message.
HARMLESS_QUERIES = (
    b"".join(pgwire.query_message(b"")),
    b"".join(pgwire.query_message(b"SET application_name TO DEFAULT")),
)
REPLY_TAGS: tuple[bytes, bytes] = pgwire.HARMLESS_REPLY_TAGS


class Barrier:
    """One of the fences of a connection: what is written, and the tags that its replies begin with."""

    def __init__(self, number: int) -> None:
        letters = [number >> at & 1 for at in range(QUERIES_PER_BARRIER)]
        self.queries = b"".join([HARMLESS_QUERIES[letter] for letter in letters])
        self.reply_tags = [REPLY_TAGS[letter] for letter in letters]


BARRIERS = [Barrier(number) for number in range(BARRIER_COUNT)]


class BarrierReplies:
    """The replies to a fence as they come, message by message. `whole` once all have come."""

    def __init__(self, barrier: Barrier) -> None:
        self.barrier = barrier
        self.reply_count, self.has_begun = 0, False
        self.is_complete = False

    def on_message(self, tag: bytes, body: memoryview) -> None:
        """Take the next message, until all are there.

        Raises ProtocolViolationError for what is none of this fence's replies.
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
            # An error in place of SET's reply may be SET's own.
            raise pgwire.SecondAnswerError("a second answer in front of its fence")
        elif tag in REPLY_TAGS:
            raise pgwire.OutOfOrderError("a reply of another fence")
        else:
            raise pgwire.unexpected(tag, body, "in place of a fence's reply")

"""Answers to messages of clients that are neither a simple query nor the end; no I/O.

This module owns what is skipped after an error in the extended protocol, which is not supported.
"""

from __future__ import annotations

from brookreach.net import pgwire

EXTENDED_TAGS = (b"P", b"B", b"D", b"E", b"C", b"H")  # of the extended protocol, all but Sync
NO_FUNCTION_CALLS = pgwire.error_response(b"0A000", "no function calls")
SIMPLE_QUERIES_ONLY = pgwire.error_response(b"0A000", "simple queries only", ready=False)


class UnsupportedMessages:
    """The state of one connection: after an error in the extended protocol, messages are skipped until Sync."""

    def __init__(self) -> None:
        self.is_skipping = False

    def answer(self, tag: bytes) -> bytes | None:
        """Return the answer to a message, None for one that is skipped. Raises ProtocolViolationError if unknown."""
        if tag == b"S":
            self.is_skipping = False
            return pgwire.READY_FOR_QUERY
        if tag == b"F":
            return NO_FUNCTION_CALLS
        if tag not in EXTENDED_TAGS:
            raise pgwire.ProtocolViolationError(f"unknown message {tag!r}")
        if self.is_skipping:
            return None
        self.is_skipping = True
        return SIMPLE_QUERIES_ONLY

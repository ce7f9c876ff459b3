"""What a client's startup message asks for, and the answer; no I/O.

This module owns the codes of startup messages. It keeps nothing of what they say: all users and databases are the
same here.
"""

from __future__ import annotations

from brookreach.net import pgwire

NO_ENCRYPTION = b"N"


def startup_answer(body: memoryview) -> bytes | None:
    """Return the answer to a startup message's body, None for a cancel request, which gets no answer.

    With STARTUP_RESPONSE the connection has started. Raises ProtocolViolationError for a code that is unknown.
    """
    code = pgwire.INT32.unpack_from(body)[0] if len(body) >= 4 else 0
    if code in (pgwire.SSL, pgwire.GSSENC):
        return NO_ENCRYPTION
    if code == pgwire.CANCEL:
        return None
    if code >> 16 == 3:
        return pgwire.STARTUP_RESPONSE
    raise pgwire.ProtocolViolationError(f"unknown startup code {code}")

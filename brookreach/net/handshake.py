"""What a client's startup message asks for, and the answer; no I/O.

It owns the codes of startup messages. It must never keep what they say: users and databases are all the same here.
"""

from __future__ import annotations

from brookreach.net import pgwire

NO_ENCRYPTION = b"N"


def startup_answer(body: memoryview) -> bytes | None:
    """The answer to a startup message's body: STARTUP_RESPONSE where the connection has started.

    None for a cancel request, which gets no answer.

    Raises ProtocolViolationError for what the protocol does not know.
    """
    code = pgwire.INT32.unpack_from(body)[0] if len(body) >= 4 else 0
    if code in (pgwire.SSL, pgwire.GSSENC):
        return NO_ENCRYPTION
    if code == pgwire.CANCEL:
        return None
    if code >> 16 == 3:
        return pgwire.STARTUP_RESPONSE
    raise pgwire.ProtocolViolationError(f"unknown startup code {code}")

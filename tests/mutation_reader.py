"""The mutation tests' own readers and writers of PostgreSQL's messages, so that faults of the balancer's own are found.

They are as strict as the protocol: an error that is not fatal is no complete answer without ReadyForQuery.
"""

import re
import struct
import zlib

WAIT = re.compile(rb"\bd=[^,\s*]*")
FRAME = struct.Struct("!ci")
WELCOME = b"".join(
    FRAME.pack(tag, 4 + len(body)) + body
    for tag, body in ((b"R", bytes(4)), (b"S", b"server_encoding\0UTF8\0"), (b"K", bytes(8)), (b"Z", b"I"))
)


EMPTY, DONE, FAILED, FATAL, READY, ROW = "empty", "done", "error", "fatal", "ready", "row"
UNREADY = "error, not ready"  # an answer only where the client has not asked to go on (Sync)
KINDS = {"": READY, "I": EMPTY, "C": DONE, "TDC": ROW, "E": FAILED}


def frame(tag, body):
    return FRAME.pack(tag, 4 + len(body)) + body


def asked(text):
    return frame(b"Q", text + b"\0")


def value(text):
    """The value that a node returns for a query, whatever its wait; no two queries have the same."""
    return b"%08x" % zlib.crc32(WAIT.sub(b"", text))


def row(text, words=None):
    """The node's messages for a query."""
    words = words or (b"INSERT 0 1\0" if text[:6].lower() == b"insert" else b"SELECT 1\0")
    made = value(text)
    return [
        frame(b"T", b"\0\1data\0" + bytes(18)),
        frame(b"D", b"\0\1" + struct.pack("!i", len(made)) + made),
        frame(b"C", words),
        frame(b"Z", b"I"),
    ]


def failure(code):
    return [frame(b"E", b"SERROR\0C" + code + b"\0Mno\0\0"), frame(b"Z", b"I")]


def frames(data, tagged=True):
    """`(tag, body)` of each complete message, then None if the rest can never become one."""
    at = 0
    while len(data) - at >= (5 if tagged else 4):
        start = at + 1 if tagged else at
        length = int.from_bytes(data[start : start + 4], "big", signed=True)
        if not 4 <= length <= 192 * 1024:
            yield None
            return
        if len(data) < start + length:
            return
        yield (data[at:start], data[start + 4 : start + length])
        at = start + length


def code(body):
    """An ErrorResponse's SQLSTATE."""
    return b"".join([field[1:] for field in body.split(b"\0") if field[:1] == b"C"][:1])


def error_kind(body, is_ready):
    """The kind of an error by both of its severity fields; one that is not fatal is complete only with ReadyForQuery."""
    severities = {field[1:] for field in body.split(b"\0") if field[:1] in (b"S", b"V")}
    if severities == {b"FATAL"}:
        return FATAL
    return FAILED if is_ready else UNREADY


def units(data, started):
    """The kind of each answer of the balancer, with its value or SQLSTATE.

    `started` tells whether a startup response comes first.
    """
    said, parts, whole = [], [], 0
    for one in frames(data):
        assert one is not None, "the marshal's own bytes are not the protocol"
        tag, body = one[0].decode("latin-1"), one[1]
        whole += 5 + len(body)
        if started:
            started = tag != "Z"
            continue
        if parts and parts[0][0] == "E" and tag != "Z":  # an error without ReadyForQuery, then the next answer
            said, parts = [*said, (error_kind(parts[0][1], False), b"")], []
        if tag != "Z":
            parts.append((tag, body))
            continue
        kind = KINDS.get("".join(part for part, _ in parts), "nonsense")
        kind = error_kind(parts[0][1], True) if kind == FAILED else kind
        told = parts[1][1][6:] if kind == ROW else code(parts[0][1]) if kind in (FAILED, FATAL) else b""
        said.append((kind, told))
        parts = []
    if parts and parts[0][0] == "E":
        said, parts = [*said, (error_kind(parts[0][1], False), b"")], []
    return said + ([("half an answer", b"")] if parts or whole < len(data) else [])

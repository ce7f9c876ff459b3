"""Messages of nodes, as bytes, and statements sent to them."""

import struct

from brookreach.net import pgwire
from brookreach.net.statement import parse_statement
from brookreach.simulation.stand_ins import ROW, WORDS

SELECTED = b"".join([*ROW, pgwire.READY_FOR_QUERY])
INSERTED = SELECTED.replace(WORDS[0], WORDS[1])
FULL = pgwire.error_response(b"53300", "queue full")
FAILED = pgwire.error_response(b"XX000", "no")


def row(value):
    """Return a complete answer with this value, followed by ReadyForQuery."""
    body = b"\0\1" + struct.pack("!i", len(value)) + value
    return b"".join([*ROW[:2], *pgwire.encode_message(b"D", body), *ROW[4:], pgwire.READY_FOR_QUERY])


def make_statement(write=False, number=1, wait=3000, method="look", code="7f"):
    kind = "INSERT INTO facts VALUES" if write else "SELECT data FROM facts WHERE code ="
    text = f"{kind} '{code}' /* id={number:x},c={method},d={wait} */"
    return parse_statement(memoryview(text.encode()), 512)


def has_effect(text):
    """Whether a query has an effect: an empty one and SET are answered at once and do nothing."""
    return bool(text) and not text.startswith(b"SET ")

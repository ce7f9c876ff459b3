"""All that the present text writes, as bytes: messages, frames, orders, rows, and the names of frame errors."""

from __future__ import annotations

import hashlib
import hmac

import msgspec

from . import samples
from . import text_under_test as text

KEY, GROUP, SENDER, RECEIVER = b"k" * 32, "group-1", "sender-1", "receiver-1"
Samples = dict[str, list[str]]  # by tag or table; octets in hex


def _hex(octets: list[bytes]) -> list[str]:
    return [one.hex() for one in octets]


def messages() -> dict[str, Samples]:
    """By who sends them, then by tag."""
    return {
        side: {text.tag(type_): _hex(samples.octets(type_)) for type_ in types}
        for side, types in text.messages().items()
    }


def orders() -> dict[str, Samples]:
    """By application, then by tag."""
    return {
        name: {text.tag(type_): _hex(samples.octets(type_)) for type_ in application.orders}
        for name, application in text.applications().items()
    }


def rows() -> dict[str, Samples]:
    """By application, then by table."""
    return {
        name: {table: _hex(samples.octets(type_)) for table, type_ in application.tables.items()}
        for name, application in text.applications().items()
    }


def versions() -> dict[str, int]:
    return {name: application.version for name, application in text.applications().items()}


def frames() -> Samples:
    """Each sample of each message, sealed, by the message's tag."""
    sealed: Samples = {}
    for types in text.messages().values():
        for type_ in types:
            bodies = [msgspec.msgpack.decode(octets, type=type_) for octets in samples.octets(type_)]
            sealed[text.tag(type_)] = [text.seal_frame(KEY, GROUP, SENDER, RECEIVER, body).hex() for body in bodies]
    return sealed


def stamps() -> list[str]:
    """How a record stands in the log."""
    return _hex(samples.octets(text.Stamp))


def refused_frames() -> dict[str, str]:
    """A frame for each name of an error but "too long", whose frame is too long to be kept."""
    type_ = text.CLIENT_MESSAGES[-1]
    body = msgspec.msgpack.decode(samples.octets(type_)[0], type=type_)
    good = text.seal_frame(KEY, GROUP, SENDER, RECEIVER, body)
    return {
        "bad seal": text.seal_frame(b"o" * 32, GROUP, SENDER, RECEIVER, body).hex(),
        "unreadable": _sealed(b"\x90").hex(),
        "other version": _sealed(b"\x95\x02" + good[18:]).hex(),
        "other group": text.seal_frame(KEY, "group-2", SENDER, RECEIVER, body).hex(),
        "not for me": text.seal_frame(KEY, GROUP, SENDER, "receiver-2", body).hex(),
        "not its to say": good.hex(),  # a client's message, opened as one among replicas
    }


def _sealed(octets: bytes) -> bytes:
    """Any octets under a good seal, computed here so that it does not depend on the present text."""

    return hmac.digest(KEY, octets, hashlib.sha256)[:16] + octets


def all_bytes() -> dict[str, object]:
    return {
        "versions": versions(),
        "messages": messages(),
        "orders": orders(),
        "rows": rows(),
        "frames": frames(),
        "stamps": stamps(),
        "refused_frames": refused_frames(),
        "frame_error_names": sorted(text.FRAME_ERROR_NAMES),
    }

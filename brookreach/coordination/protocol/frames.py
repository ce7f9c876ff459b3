"""Frames: bytes in, messages of `words` out, and back; no I/O.

A frame is sealed with the group's key, names its group, its sender and whom it is for. What does not fit all
of that raises `Refused` with a name and has no effect: nothing of it is looked at further.
"""

from __future__ import annotations

import hashlib
import hmac

import msgspec

from brookreach.coordination.protocol.messages import MOST_FRAME, TABLE, Body, Count, Name, Refused

VERSION = 1  # of frames; records have versions of their own
SEAL = 16  # bytes of HMAC-SHA-256 before a frame


class Frame(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    version: Count
    group: Name
    source: Name
    target: Name
    body: Body


_frames = msgspec.msgpack.Decoder(Frame, strict=True)
_out = msgspec.msgpack.Encoder(order="deterministic")


def sealed(key: bytes, group: str, source: str, target: str, body: Body) -> bytes:
    """A frame's bytes, without the length that a stream puts before it."""
    octets = _out.encode(Frame(VERSION, group, source, target, body))
    return hmac.digest(key, octets, hashlib.sha256)[:SEAL] + octets


def opened(key: bytes, group: str, me: str, octets: bytes, may: tuple[type, ...] = TABLE) -> Frame:
    """What `sealed` made for me, of the kinds that its sender may say; raises Refused."""
    if len(octets) > MOST_FRAME:
        raise Refused("too long", f"{len(octets)} bytes; {MOST_FRAME} are allowed")
    seal, rest = octets[:SEAL], octets[SEAL:]
    if not hmac.compare_digest(seal, hmac.digest(key, rest, hashlib.sha256)[:SEAL]):
        raise Refused("bad seal", "changed on the way, or of another key")
    try:
        frame = _frames.decode(rest)
    except (msgspec.DecodeError, RecursionError) as error:
        raise Refused("unreadable", str(error)) from None
    if frame.version != VERSION:
        raise Refused("other version", f"{frame.version}; {VERSION} is read")
    if frame.group != group:
        raise Refused("other group", frame.group)
    if frame.target != me:
        raise Refused("not for me", f"for {frame.target}")
    if not isinstance(frame.body, may):
        raise Refused("not its to say", type(frame.body).__name__)
    return frame

"""Frames: bytes in, messages of `words` out, and back; no I/O.

A frame is sealed with the group's key, names its group, its sender and whom it is for. What does not fit all
of that raises `InvalidFrameError` with a name and has no effect: nothing of it is looked at further.
"""

from __future__ import annotations

import hashlib
import hmac

import msgspec

from brookreach.coordination.errors import InvalidFrameError
from brookreach.coordination.protocol.messages import ALL_MESSAGES, MAX_FRAME_BYTES, Body, Count, Name
from brookreach.coordination.protocol.tags import wire_name

VERSION = 1  # of frames; records have versions of their own
SEAL_BYTES = 16  # bytes of HMAC-SHA-256 before a frame


class Frame(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    version: Count
    group: Name
    source: Name
    target: Name
    body: Body


_frames = msgspec.msgpack.Decoder(Frame, strict=True)
_out = msgspec.msgpack.Encoder(order="deterministic")


def seal_frame(key: bytes, group: str, source: str, target: str, body: Body) -> bytes:
    """A frame's bytes, without the length that a stream puts before it."""
    octets = _out.encode(Frame(VERSION, group, source, target, body))
    return hmac.digest(key, octets, hashlib.sha256)[:SEAL_BYTES] + octets


def open_frame(key: bytes, group: str, me: str, octets: bytes, may: tuple[type, ...] = ALL_MESSAGES) -> Frame:
    """What `seal_frame` made for me, of the kinds that its sender may say; raises InvalidFrameError."""
    if len(octets) > MAX_FRAME_BYTES:
        raise InvalidFrameError("too long", f"{len(octets)} bytes; {MAX_FRAME_BYTES} are allowed")
    seal, rest = octets[:SEAL_BYTES], octets[SEAL_BYTES:]
    if not hmac.compare_digest(seal, hmac.digest(key, rest, hashlib.sha256)[:SEAL_BYTES]):
        raise InvalidFrameError("bad seal", "changed on the way, or of another key")
    try:
        frame = _frames.decode(rest)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidFrameError("unreadable", str(error)) from None
    if frame.version != VERSION:
        raise InvalidFrameError("other version", f"{frame.version}; {VERSION} is read")
    if frame.group != group:
        raise InvalidFrameError("other group", frame.group)
    if frame.target != me:
        raise InvalidFrameError("not for me", f"for {frame.target}")
    if not isinstance(frame.body, may):
        raise InvalidFrameError("not its to say", wire_name(frame.body))
    return frame

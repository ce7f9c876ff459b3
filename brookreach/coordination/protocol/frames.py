"""Frames: messages into authenticated bytes, and back; no I/O.

A frame carries a MAC made with the cluster's key, the cluster's name, its sender and its receiver. A frame that does
not fit all of these raises `InvalidFrameError` and has no effect.
"""

from __future__ import annotations

import hashlib
import hmac

import msgspec

from brookreach.coordination.errors import InvalidFrameError
from brookreach.coordination.protocol.messages import ALL_MESSAGES, MAX_FRAME_BYTES, Body, Count, Name
from brookreach.coordination.protocol.tags import wire_name

VERSION = 1  # of frames; commands have versions of their own
SEAL_BYTES = 16  # of HMAC-SHA-256, before the frame


class Frame(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """A message with its sender and receiver; `group` is the cluster's name."""

    version: Count
    group: Name
    source: Name
    target: Name
    body: Body


_decoder = msgspec.msgpack.Decoder(Frame, strict=True)
_encoder = msgspec.msgpack.Encoder(order="deterministic")


def _mac(key: bytes, octets: bytes) -> bytes:
    return hmac.digest(key, octets, hashlib.sha256)[:SEAL_BYTES]


def seal_frame(key: bytes, group: str, source: str, target: str, body: Body) -> bytes:
    """Returns a frame's bytes, without the length that a stream puts before them."""
    octets = _encoder.encode(Frame(VERSION, group, source, target, body))
    return _mac(key, octets) + octets


def open_frame(key: bytes, group: str, receiver: str, octets: bytes, allowed: tuple[type, ...] = ALL_MESSAGES) -> Frame:
    """Returns the frame that `seal_frame` made for this receiver.

    Args:
        key: The cluster's key.
        group: The cluster's name.
        receiver: The name of this process.
        octets: The bytes as received.
        allowed: The messages that the sender may send.

    Raises:
        InvalidFrameError: The bytes are no such frame.
    """
    if len(octets) > MAX_FRAME_BYTES:
        raise InvalidFrameError("too long", f"{len(octets)} bytes; {MAX_FRAME_BYTES} are allowed")
    mac, content = octets[:SEAL_BYTES], octets[SEAL_BYTES:]
    if not hmac.compare_digest(mac, _mac(key, content)):
        raise InvalidFrameError("bad seal", "changed on the way, or of another key")
    try:
        frame = _decoder.decode(content)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidFrameError("unreadable", str(error)) from error
    if frame.version != VERSION:
        raise InvalidFrameError("other version", f"{frame.version}; {VERSION} is read")
    if frame.group != group:
        raise InvalidFrameError("other group", frame.group)
    if frame.target != receiver:
        raise InvalidFrameError("not for me", f"for {frame.target}")
    if not isinstance(frame.body, allowed):
        raise InvalidFrameError("not its to say", wire_name(frame.body))
    return frame

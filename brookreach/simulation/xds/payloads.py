"""Reads the protobuf messages that resources carry."""

from __future__ import annotations

from typing import Any

from google.protobuf import any_pb2


def unpack_payload(message_type: Any, payload: bytes) -> Any:  # any: the protobuf messages are not typed
    """Return the message of the given type that a resource's payload holds."""
    packed = any_pb2.Any.FromString(payload)
    message = message_type()
    packed.Unpack(message)
    return message

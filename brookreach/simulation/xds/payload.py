"""Messages inside resources."""

from __future__ import annotations

from typing import Any

from google.protobuf import any_pb2


def message(kind: Any, payload: bytes) -> Any:
    """The message inside a resource's payload."""
    held = any_pb2.Any.FromString(payload)
    made = kind()
    held.Unpack(made)
    return made

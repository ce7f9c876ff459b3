"""Names on the wire of messages, commands and their fields, which outlive the names of classes and attributes."""

from __future__ import annotations

from typing import Any

import msgspec


def wire_name(struct: msgspec.Struct | type[msgspec.Struct]) -> str:
    """Returns the tag of a message or command, or of its type.

    Texts that are stored, compared between replicas or printed by commands use it in place of the class's name,
    which may change from one version to the next.
    """
    return str(struct.__struct_config__.tag)


def wire_fields(struct: msgspec.Struct) -> dict[str, Any]:
    """Returns the values of a row or command by the fields' encoded names.

    Commands that print rows use it in place of the attributes' names, which may change from one version to the next.
    """
    return dict(zip(struct.__struct_encode_fields__, msgspec.structs.astuple(struct), strict=True))

"""The name of a message or command on the wire, which outlives the name of its class."""

from __future__ import annotations

import msgspec


def wire_name(struct: msgspec.Struct | type[msgspec.Struct]) -> str:
    """Returns the tag of a message or command, or of its type.

    Texts that are stored, compared between replicas or printed by commands use it in place of the class's name,
    which may change from one version to the next.
    """
    return str(struct.__struct_config__.tag)

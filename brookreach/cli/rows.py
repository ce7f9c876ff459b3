"""Rows of the replicated state as `fleet show` prints them."""

from __future__ import annotations

from typing import Any

import msgspec


def fields_by_name(row: msgspec.Struct) -> dict[str, Any]:
    """Returns a row's values by their encoded names, which outlive the names of the row's attributes.

    These names are keys of `fleet show --json`: a renamed attribute keeps its key by `msgspec.field(name=...)`.
    """
    config = zip(row.__struct_fields__, row.__struct_encode_fields__, strict=True)
    return {encoded_name: getattr(row, attribute) for attribute, encoded_name in config}

"""Reads the members of discovery's lists, plain JSON, into nodes.

This module owns the names of discovery's keys and phases. It must never keep a node.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any

from brookreach import interface as ifc
from brookreach.net.endpoint import ListedNode
from brookreach.net.stream import parse_address

NODE_STATES = {"active": ifc.NodeState.READY, "leaving": ifc.NodeState.DRAINING, "left": ifc.NodeState.GONE}
# What reading JSON that does not have the agreed form may raise; a ValueError includes the errors of json itself.
JSON_ERRORS = (LookupError, TypeError, ValueError, AttributeError, OverflowError, RecursionError)

FieldReaders = Mapping[str, Callable[[Any], Any]]


def field_readers(zones: list[str], kinds: list[str]) -> FieldReaders:
    """Return what reads each key of a member; `zones` and `kinds` are the names in the order of their numbers."""
    return {
        "phase": NODE_STATES.__getitem__,
        "up_since_ms": float,
        "size": float,
        "revision_no": int,
        "cell": int,
        "locality": {name: number for number, name in enumerate(zones)}.__getitem__,
        "flavor": {name: number for number, name in enumerate(kinds)}.__getitem__,
        "host_port": parse_address,
    }


def read_ids(members: list[Mapping[str, Any]]) -> list[str]:
    """Return the ids of a list's members in their order.

    Raises:
        ValueError: An id is no text, or is there twice; other errors are those of `JSON_ERRORS`.
    """
    ids = [member["id"] for member in members]
    if any(not isinstance(node_id, str) for node_id in ids):
        raise ValueError("an id is no text")
    if len(set(ids)) < len(ids):
        raise ValueError("members: one id twice")
    return ids


def read_member(readers: FieldReaders, number: int, member: Mapping[str, Any], is_drained: bool) -> ListedNode:
    """Read one member of a list as the node with this number; if `is_drained`, as draining where it is listed as ready.

    Raises:
        ValueError: A key is missing, can't be read or is out of range; other errors are those of `JSON_ERRORS`.
    """
    fields: dict[str, Any] = {}
    for key, read in readers.items():
        try:
            fields[key] = read(member[key])
        except JSON_ERRORS as error:
            raise ValueError(f"{key}: {member.get(key)!r:.60}: {type(error).__name__}") from None
    started_ms = fields["up_since_ms"]
    size = fields["size"]
    state = fields["phase"]
    if not 0.0 <= started_ms < math.inf or not 0.0 < size < math.inf:
        raise ValueError(f"up_since_ms {started_ms} or size {size} out of range")
    if is_drained and state == ifc.NodeState.READY:
        state = ifc.NodeState.DRAINING
    entry = ifc.NodeEntry(
        node=number,
        state=state,
        started_ms=started_ms,
        build=fields["revision_no"],
        zone=fields["locality"],
        cell=fields["cell"],
        kind=fields["flavor"],
        size=size,
    )
    return ListedNode(entry, fields["host_port"])

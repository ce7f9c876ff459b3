"""Rows of what waits, with the time since when, the oldest first."""

from __future__ import annotations

from collections import OrderedDict
from typing import TypeVar

Waiting = TypeVar("Waiting")


def older(row: OrderedDict[Waiting, float], than: float) -> list[Waiting]:
    """Return the connections that have been in a row since before `than`, the oldest first."""
    found: list[Waiting] = []
    for one, since in row.items():
        if since >= than:
            break
        found.append(one)
    return found

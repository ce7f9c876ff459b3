"""Whether a part's state has changed: a digest over all that an object holds, for the drills' tables only."""

from __future__ import annotations

import random
from typing import Any

import msgspec

PLAIN = (int, float, str, bytes, bool, type(None))


def shape(thing: Any) -> int:
    """Equal for equal states of one process; objects met twice count where they were met first."""
    seen: dict[int, int] = {}

    def walk(one: Any) -> Any:
        if isinstance(one, PLAIN):
            return one
        if isinstance(one, random.Random):
            return one.getstate()
        if id(one) in seen:
            return ("met", seen[id(one)])
        seen[id(one)] = len(seen)
        if isinstance(one, msgspec.Struct):
            return (type(one).__name__, *(walk(getattr(one, name)) for name in one.__struct_fields__))
        if isinstance(one, dict):
            return ("dict", *((walk(key), walk(value)) for key, value in one.items()))
        if isinstance(one, set | frozenset):
            return ("set", *sorted(repr(walk(item)) for item in one))
        if isinstance(one, list | tuple) or hasattr(one, "popleft"):
            return (type(one).__name__, *(walk(item) for item in one))
        held = getattr(one, "__dict__", None)
        if held is None:
            held = {
                name: getattr(one, name)
                for kind in type(one).__mro__
                for name in getattr(kind, "__slots__", ())
                if hasattr(one, name)
            }
        if callable(one) or isinstance(one, type):
            return getattr(one, "__qualname__", type(one).__name__)
        return (type(one).__name__, *((name, walk(value)) for name, value in held.items()))

    return hash(walk(thing))

"""A digest of all that an object holds, by which a drill sees whether a process has changed its state."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

import msgspec

SCALAR_TYPES = (int, float, str, bytes, bool, type(None))


def state_digest(state: Any) -> int:
    """Return a number that is equal for equal states within one process of Python.

    Objects of any type are followed through their attributes. One that is met again counts by where it was met
    first, so that cycles end.
    """
    return hash(_StateWalker().to_hashable(state))


class _StateWalker:
    """Turns a graph of objects into nested tuples."""

    def __init__(self) -> None:
        self._seen: dict[int, int] = {}

    def to_hashable(self, value: Any) -> Any:
        if isinstance(value, SCALAR_TYPES):
            return value
        if isinstance(value, random.Random):
            return value.getstate()
        if id(value) in self._seen:
            return ("seen", self._seen[id(value)])
        self._seen[id(value)] = len(self._seen)
        if isinstance(value, dict | set | frozenset | list | tuple | deque):
            return self._container_to_hashable(value)
        if callable(value):  # a class as well
            return getattr(value, "__qualname__", type(value).__name__)
        attributes = _attributes_of(value)
        return (type(value).__name__, *((name, self.to_hashable(item)) for name, item in attributes.items()))

    def _container_to_hashable(self, container: Any) -> tuple[Any, ...]:
        if isinstance(container, dict):
            return ("dict", *((self.to_hashable(key), self.to_hashable(item)) for key, item in container.items()))
        if isinstance(container, set | frozenset):
            return ("set", *sorted(repr(self.to_hashable(item)) for item in container))
        return (type(container).__name__, *(self.to_hashable(item) for item in container))


def _attributes_of(value: Any) -> dict[str, Any]:
    if isinstance(value, msgspec.Struct):
        names = value.__struct_fields__
    elif hasattr(value, "__dict__"):
        names = tuple(vars(value))
    else:
        names = tuple(name for kind in type(value).__mro__ for name in getattr(kind, "__slots__", ()))
    return {name: getattr(value, name) for name in names if hasattr(value, name)}

"""Known defects switched on for a drill, that its checkers must find."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator, Mapping
from typing import Any

Plants = Mapping[str, tuple[Any, str, Callable[[Any], Any]]]
"""By name: the module, its attribute, and what makes the defect of what is right there."""


@contextlib.contextmanager
def planted(plants: Plants, name: str) -> Iterator[None]:
    """The defect in place of what is right. Only where the module is not compiled: calls are bound there."""
    if not name:
        yield
        return
    module, attribute, defect = plants[name]
    if not str(module.__file__).endswith(".py"):
        raise ValueError("defects can't be planted in a compiled package; use the sources")
    right = getattr(module, attribute)
    setattr(module, attribute, defect(right))
    try:
        yield
    finally:
        setattr(module, attribute, right)

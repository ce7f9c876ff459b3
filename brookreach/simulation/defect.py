"""Defects that are injected into a drill's run, to prove that its checkers find them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from types import ModuleType
from typing import Any


class CompiledModuleError(ValueError):
    """The module is compiled: its calls are bound early, so that a replaced attribute would go unnoticed."""

    def __init__(self, module: ModuleType):
        super().__init__(f"{module.__name__} is compiled to {module.__file__}: defects need the Python sources")


@dataclass(frozen=True, slots=True)
class Defect:
    """A known defect, put in the place of one attribute of a module.

    Attributes:
        module: The module that uses the attribute.
        attribute: The attribute's name there; it has to exist.
        make_defective: Takes the right value and returns the defective one.
    """

    module: ModuleType
    attribute: str
    make_defective: Callable[[Any], Any]  # any: an attribute may be a class, a function or a constant


Defects = Mapping[str, Defect]
"""Defects by the name that users type after `--plant`."""


@contextlib.contextmanager
def replace_attribute(module: ModuleType, attribute: str, value: Any) -> Iterator[None]:
    """Replace an attribute of a module while the context lasts. Any: it may be a class, a function or a constant.

    Raises:
        AttributeError: The module has no such attribute.
    """
    original = getattr(module, attribute)
    setattr(module, attribute, value)
    try:
        yield
    finally:
        setattr(module, attribute, original)


@contextlib.contextmanager
def inject_defect(defects: Defects, name: str) -> Iterator[None]:
    """Replace an attribute by its defective version while the context lasts.

    Args:
        defects: The defects of the drill.
        name: The defect to inject; nothing is injected for an empty name.

    Raises:
        CompiledModuleError: The attribute's module isn't run from its sources.
        AttributeError: The module has no such attribute.
    """
    if not name:
        yield
        return
    defect = defects[name]
    if not str(defect.module.__file__).endswith(".py"):
        raise CompiledModuleError(defect.module)
    original = getattr(defect.module, defect.attribute)
    with replace_attribute(defect.module, defect.attribute, defect.make_defective(original)):
        yield

"""Typed, checked reads of one JSON object of the settings; an error names the path and what stands there.

It owns how a wrong value is worded. It must never know a setting's name, nor make up a value not told.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, TypeVar

MAX_SHOWN_CHARS = 60  # characters of a value that is not as agreed

Meaning = TypeVar("Meaning")


class SettingsError(Exception):
    """The settings are not what the users' pages word; the text says where, and what stands there."""


def abbreviated_repr(value: object) -> str:
    """A value as Python writes it, cut to what a line of the log may hold."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "..."


class SettingsObject:
    """One object of the settings and the path to it. What is read is as agreed, or raises SettingsError."""

    def __init__(self, value: object, path: str) -> None:
        if not isinstance(value, Mapping):
            raise SettingsError(f"{path} is {abbreviated_repr(value)}, not an object")
        self.values: Mapping[str, Any] = value
        self.path = path

    def invalid(self, key: str, wanted: str) -> SettingsError:
        return SettingsError(f"{self.path}.{key} is {abbreviated_repr(self.values[key])}, not {wanted}")

    def value(self, key: str) -> Any:
        if key not in self.values:
            whole, _, within = self.path.partition(".")
            lack = "lack or misname" if whole.endswith("s") else "lacks or misnames"
            raise SettingsError(f"{whole} {lack} {(within and within + '.') + key!r}")
        return self.values[key]

    def object(self, key: str) -> SettingsObject:
        return SettingsObject(self.value(key), f"{self.path}.{key}")

    def items(self, key: str) -> list[Any]:
        value = self.value(key)
        if not isinstance(value, list):
            raise self.invalid(key, "a list")
        return value

    def objects(self, key: str) -> list[SettingsObject]:
        return [SettingsObject(item, f"{self.path}.{key}[{at}]") for at, item in enumerate(self.items(key))]

    def number(self, key: str, most: float = math.inf) -> float:
        """From 0 to `most`; what JSON can't hold but Python reads, NaN and infinities, is none."""
        value = self.value(key)
        if not _is_number(value, most):
            raise self.invalid(key, "a number" + _range(most))
        return float(value)

    def ms_from_us(self, key: str) -> float:
        """A time that is told in microseconds."""
        return self.number(key) / 1000.0

    def count(self, key: str, most: float = math.inf) -> int:
        value = self.value(key)
        if not _is_number(value, most) or value != int(value):
            raise self.invalid(key, "a whole number" + _range(most))
        return int(value)

    def numbers(self, key: str, most: float) -> tuple[float, ...]:
        items = self.items(key)
        for at, item in enumerate(items):
            if not _is_number(item, most):
                raise SettingsError(f"{self.path}.{key}[{at}] is {abbreviated_repr(item)}, not a number" + _range(most))
        return tuple(float(item) for item in items)

    def texts(self, key: str) -> list[str]:
        items = self.items(key)
        for at, item in enumerate(items):
            if not isinstance(item, str):
                raise SettingsError(f"{self.path}.{key}[{at}] is {abbreviated_repr(item)}, not a text")
        return items

    def flag(self, key: str) -> bool:
        value = self.value(key)
        if not isinstance(value, bool):
            raise self.invalid(key, "true or false")
        return value

    def text(self, key: str) -> str:
        value = self.value(key)
        if not isinstance(value, str) or not value:
            raise self.invalid(key, "a text")
        return value

    def choice(self, key: str, words: Mapping[str, Meaning]) -> Meaning:
        return parse_choice(self.value(key), words, f"{self.path}.{key}")


def _range(most: float) -> str:
    return " from 0 up" if most == math.inf else f" from 0 to {most:g}"


def _is_number(value: object, most: float) -> bool:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return 0 <= value <= min(most, 1e300)  # false also for what is not a number


def parse_choice(word: object, words: Mapping[str, Meaning], path: str) -> Meaning:
    """What a word of the settings stands for. Raises SettingsError for a word that is not among `words`."""
    if not isinstance(word, str) or word not in words:
        raise SettingsError(f"{path} is {abbreviated_repr(word)}, an unknown word; known: {', '.join(words)}")
    return words[word]

"""Typed, checked reads of one JSON object of the settings; an error names the path and the value found there.

It owns the wording of errors about single values. It must never know the name of a setting, nor fill in a value that
is missing.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, TypeVar

MAX_SHOWN_CHARS = 60
MAX_NUMBER = 1e300  # a larger JSON integer may not fit into a float
US_PER_MS = 1000.0

Choice = TypeVar("Choice")


class SettingsError(Exception):
    """The settings are not as documented; the text says where, and what was found there."""


def abbreviated_repr(value: object) -> str:
    """Returns the repr of a value, cut to what a line of the log may hold."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "..."


class SettingsObject:
    """One object of the settings and its path. Each read returns a valid value or raises SettingsError.

    Attributes:
        values: The object as it was parsed from JSON.
        path: Keys and indexes that lead to the object, for errors.
    """

    def __init__(self, value: object, path: str) -> None:
        if not isinstance(value, Mapping):
            raise SettingsError(f"{path} is {abbreviated_repr(value)}, not an object")
        self.values: Mapping[str, Any] = value
        self.path = path

    def invalid(self, key: str, expected: str) -> SettingsError:
        """Returns the error for the value of `key`, which is not what is expected."""
        return SettingsError(f"{self.path}.{key} is {abbreviated_repr(self.values[key])}, not {expected}")

    def value(self, key: str) -> Any:
        """Returns the value of `key`, whatever its type."""
        if key not in self.values:
            root, _, inner_path = self.path.partition(".")
            verb = "lack or misname" if root.endswith("s") else "lacks or misnames"
            raise SettingsError(f"{root} {verb} {(inner_path and inner_path + '.') + key!r}")
        return self.values[key]

    def object(self, key: str) -> SettingsObject:
        """Returns the object at `key`."""
        return SettingsObject(self.value(key), f"{self.path}.{key}")

    def items(self, key: str) -> list[Any]:
        """Returns the list at `key`, whatever it holds."""
        value = self.value(key)
        if not isinstance(value, list):
            raise self.invalid(key, "a list")
        return value

    def objects(self, key: str) -> list[SettingsObject]:
        """Returns the objects of the list at `key`."""
        return [SettingsObject(item, f"{self.path}.{key}[{index}]") for index, item in enumerate(self.items(key))]

    def number(self, key: str, maximum: float = math.inf) -> float:
        """Returns a number from 0 to `maximum`; NaN and infinities, which Python's JSON parser accepts, are invalid."""
        value = self.value(key)
        if not _is_number(value, maximum):
            raise self.invalid(key, "a number" + _range(maximum))
        return float(value)

    def ms_from_us(self, key: str) -> float:
        """Returns a time in milliseconds that the settings give in microseconds."""
        return self.number(key) / US_PER_MS

    def count(self, key: str, maximum: float = math.inf) -> int:
        """Returns a whole number from 0 to `maximum`; it may be written with a decimal point."""
        value = self.value(key)
        if not _is_number(value, maximum) or value != int(value):
            raise self.invalid(key, "a whole number" + _range(maximum))
        return int(value)

    def numbers(self, key: str, maximum: float) -> tuple[float, ...]:
        """Returns a list of numbers from 0 to `maximum`."""
        items = self.items(key)
        for index, item in enumerate(items):
            if not _is_number(item, maximum):
                raise SettingsError(
                    f"{self.path}.{key}[{index}] is {abbreviated_repr(item)}, not a number" + _range(maximum)
                )
        return tuple(float(item) for item in items)

    def texts(self, key: str) -> list[str]:
        """Returns a list of strings, which may be empty."""
        items = self.items(key)
        for index, item in enumerate(items):
            if not isinstance(item, str):
                raise SettingsError(f"{self.path}.{key}[{index}] is {abbreviated_repr(item)}, not a text")
        return items

    def flag(self, key: str) -> bool:
        """Returns a boolean."""
        value = self.value(key)
        if not isinstance(value, bool):
            raise self.invalid(key, "true or false")
        return value

    def text(self, key: str) -> str:
        """Returns a string that is not empty."""
        value = self.value(key)
        if not isinstance(value, str) or not value:
            raise self.invalid(key, "a text")
        return value

    def choice(self, key: str, choices: Mapping[str, Choice]) -> Choice:
        """Returns what the string at `key` stands for among `choices`."""
        return parse_choice(self.value(key), choices, f"{self.path}.{key}")


def _range(maximum: float) -> str:
    return " from 0 up" if maximum == math.inf else f" from 0 to {maximum:g}"


def _is_number(value: object, maximum: float) -> bool:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return 0 <= value <= min(maximum, MAX_NUMBER)  # False for NaN too


def parse_choice(value: object, choices: Mapping[str, Choice], path: str) -> Choice:
    """Returns what a string stands for among `choices`; raises SettingsError for any other value."""
    if not isinstance(value, str) or value not in choices:
        raise SettingsError(f"{path} is {abbreviated_repr(value)}, an unknown word; known: {', '.join(choices)}")
    return choices[value]

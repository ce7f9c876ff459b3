"""Reads the configuration of one marshal from its environment and its file.

It owns what a start can be refused for before any part is built. It must never build a part or open a socket.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from brookreach.net.stream import parse_address
from brookreach.settings_object import SettingsObject


class StartupError(Exception):
    """Why the marshal can't start, in one line."""


def read_configuration(environment: Mapping[str, str]) -> dict[str, Any]:
    """The object in the file that PROXY_CONFIG names, completed from the environment. Raises StartupError."""
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise StartupError("PROXY_CONFIG is not set")
    told = read_json_object(path, "PROXY_CONFIG")
    for name in ("name", "listen", "discovery"):  # the environment says them too
        told.setdefault(name, environment.get(f"PROXY_{name.upper()}"))
    return told


def read_json_object(path: str, named: str) -> dict[str, Any]:
    """The JSON object in a file; `named` is where its path was told. Raises StartupError."""
    try:
        with open(path, "rb") as file:
            told = json.load(file)
    except OSError as error:
        raise StartupError(f"{named} can't be read: {error}") from None
    except (ValueError, RecursionError) as error:
        raise StartupError(f"{path} is not JSON: {error}") from None
    if not isinstance(told, dict):
        raise StartupError(f"{path} holds no object")
    return told


def read_address(told: SettingsObject, key: str) -> tuple[str, int]:
    """Host and port that a key words as `host:port`. Raises SettingsError."""
    try:
        return parse_address(told.text(key))
    except ValueError:
        raise told.invalid(key, "an address with a port") from None


def read_seed(told: SettingsObject) -> int:
    """The seed of the random numbers, worded in hexadecimal. Raises SettingsError."""
    try:
        return int(str(told.value("seed")), 16)
    except ValueError:
        raise told.invalid("seed", "a hexadecimal number") from None

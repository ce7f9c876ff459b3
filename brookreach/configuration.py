"""Reads the configuration of one balancer from its environment and its file.

It owns what a start can be refused for before anything is built. It must never build a component or open a socket.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from brookreach.net.stream import parse_address
from brookreach.settings_object import SettingsObject

PATH_VARIABLE = "PROXY_CONFIG"
VARIABLE_PREFIX = "PROXY_"
ENVIRONMENT_KEYS = ("name", "listen", "discovery")  # taken from the environment where the file leaves them out


class StartupError(Exception):
    """Why the balancer can't start, in one line."""


def read_configuration(environment: Mapping[str, str]) -> dict[str, Any]:
    """Returns the object in the file that PROXY_CONFIG names, completed from the environment.

    Raises:
        StartupError: PROXY_CONFIG is not set, or the file holds no JSON object.
    """
    path = environment.get(PATH_VARIABLE)
    if not path:
        raise StartupError(f"{PATH_VARIABLE} is not set")
    configuration = read_json_object(path, PATH_VARIABLE)
    for key in ENVIRONMENT_KEYS:
        configuration.setdefault(key, environment.get(f"{VARIABLE_PREFIX}{key.upper()}"))
    return configuration


def read_json_object(path: str, source: str) -> dict[str, Any]:
    """Returns the JSON object in a file.

    Args:
        path: Of the file.
        source: Where the path was given, for the error if the file can't be read.

    Raises:
        StartupError: The file can't be read, is not JSON or holds no object.
    """
    try:
        with open(path, "rb") as file:
            value = json.load(file)
    except OSError as error:
        raise StartupError(f"{source} can't be read: {error}") from None
    except (ValueError, RecursionError) as error:
        raise StartupError(f"{path} is not JSON: {error}") from None
    if not isinstance(value, dict):
        raise StartupError(f"{path} holds no object")
    return value


def read_address(settings: SettingsObject, key: str) -> tuple[str, int]:
    """Returns the host and port of a key that holds `host:port`; raises SettingsError."""
    try:
        return parse_address(settings.text(key))
    except ValueError:
        raise settings.invalid(key, "an address with a port") from None


def read_seed(settings: SettingsObject) -> int:
    """Returns the seed of the random numbers, which `seed` holds in hexadecimal; raises SettingsError."""
    try:
        return int(str(settings.value("seed")), 16)
    except ValueError:
        raise settings.invalid("seed", "a hexadecimal number") from None

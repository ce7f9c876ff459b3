"""Any file of the program, read as checked values: its kind is found by its ending and content.

An error names the file, the key's path, the value that stands there and what is allowed. Unknown keys are errors.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import msgspec

from brookreach.balancer_settings_reader import read_balancer_settings
from brookreach.cli import plan_file
from brookreach.files import MAX_CHECKSUMMED_BYTES, InvalidFileError, convert_values, read_bounded, read_toml
from brookreach.settings_object import SettingsError
from brookreach.verdict import wave_records

Values = dict[str, Any]
"""A file's values by their keys; any: each kind of file has its own."""

KindAndValues = tuple[str, Values]


def read_waves(file: Path) -> list[wave_records.Wave]:
    """Read a record of rollouts.

    Raises:
        InvalidFileError: It can't be read, or is no such record.
    """
    return _decode_waves(file, read_bounded(file, MAX_CHECKSUMMED_BYTES))


def _decode_waves(file: Path, data: bytes) -> list[wave_records.Wave]:
    try:
        return wave_records.decode(data)
    except wave_records.RecordError as error:
        raise InvalidFileError([f"{file}: {error}"]) from None


def read_file(file: Path) -> KindAndValues:
    """Return what kind of file it is, and its values.

    Raises:
        InvalidFileError: It can't be read, or holds a value that is not allowed.
    """
    if file.suffix == ".toml":
        values = read_toml(file)
        for key, read in TOML_READERS.items():
            if key in values:
                return read(file, values)
        return _read_plan(file, values)
    data = read_bounded(file, MAX_CHECKSUMMED_BYTES)
    if data.startswith(wave_records.MAGIC):
        waves = _decode_waves(file, data)
        return "a record of waves", {
            "builds": [wave.build for wave in waves],
            "notes": [len(wave.notes) for wave in waves],
        }
    return _read_balancer_configuration(file, data)


def _read_capacity(file: Path, values: Values) -> KindAndValues:
    from brookreach.capacity import read

    return "sizes and slopes", msgspec.to_builtins(read.capacity(file, values))


def _read_control_plane(file: Path, values: Values) -> KindAndValues:
    from brookreach.xds import config

    return "a control service", msgspec.to_builtins(config.parse_configuration(file, values))


def _read_cluster(file: Path, values: Values) -> KindAndValues:
    from brookreach.coordination import configuration

    return "a group of keepers", msgspec.to_builtins(configuration.read_values(file, values))


def _read_gangs(file: Path, _values: Values) -> KindAndValues:
    from brookreach.gang_scheduling import gang_file

    return "a list of gangs", {"gang": msgspec.to_builtins(gang_file.read_gang_file(file, 0))}


def _read_schedule(file: Path, values: Values) -> KindAndValues:
    from brookreach.carbon_aware import schedule_file

    return "a power schedule", msgspec.to_builtins(schedule_file.parse_schedule(file, values))


def _read_plan(file: Path, values: Values) -> KindAndValues:
    plan = convert_values(file, values, plan_file.PlanFile)
    plan_file.plan_inputs(file, plan)
    return "a plan of a wave", msgspec.to_builtins(plan)


TOML_READERS: Mapping[str, Callable[[Path, Values], KindAndValues]] = {
    "slope": _read_capacity,
    "serve": _read_control_plane,
    "group": _read_cluster,
    "gang": _read_gangs,
    "schedule": _read_schedule,
}
"""Readers of TOML files by a key that only their kind has, in the order in which they are tried."""


def _read_balancer_configuration(file: Path, data: bytes) -> KindAndValues:
    try:
        configuration = json.loads(data)
        settings = read_balancer_settings(int(str(configuration["seed"]), 16), configuration["settings"])
    except (SettingsError, KeyError, TypeError, ValueError, RecursionError) as error:
        raise InvalidFileError(
            [f"{file}: no record, and no marshal's configuration: {type(error).__name__} {error}"]
        ) from None
    return "a marshal's configuration", msgspec.to_builtins(settings)


def format_values(values: Values, path: str = "") -> str:
    """Return values by their keys' paths, a line each.

    Args:
        values: The values.
        path: Of the values themselves; empty for those of a whole file.
    """
    lines = []
    for key, value in values.items():
        value_path = f"{path}.{key}" if path else str(key)
        if isinstance(value, dict):
            lines.append(format_values(value, value_path))
        elif isinstance(value, list | tuple) and value and isinstance(value[0], dict):
            lines += [format_values(item, f"{value_path}[{index}]") for index, item in enumerate(value)]
        else:
            lines.append(f"{value_path} = {json.dumps(value)}")
    return "\n".join(lines)

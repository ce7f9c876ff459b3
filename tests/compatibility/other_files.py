"""Stored files beside those of replicas: records of waves, a control service's state, configuration files."""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import Any

import msgspec

from . import samples
from . import text_under_test as text

WAVES, SERVICE_STATE, CONFIGURATION, VALUES = "builds.waves", "view.xds", "configuration", "files.json"
DEPLOY = Path(__file__).parents[2] / "deploy"
READ_ELSEWHERE = {"balancer.toml"}  # names commands and paths for another program; no code of ours reads it


def write_all(folder: Path, waves: list[Any]) -> dict[str, Any]:
    """The files, and the values that are read from them."""
    (folder / WAVES).write_bytes(text.wave_records.encode(waves))
    state = msgspec.msgpack.decode(samples.octets(text.ServiceState)[0], type=text.ServiceState)
    (folder / SERVICE_STATE).write_bytes(text.service_store.encode(state.view, state.addresses))
    (folder / CONFIGURATION).mkdir()
    for path in [*configuration(DEPLOY), *DEPLOY.glob("*.csv")]:  # a schedule's TOML names a CSV
        shutil.copy(path, folder / CONFIGURATION)
    return values(folder)


def values(folder: Path) -> dict[str, Any]:
    """What the present text reads from the files in `folder`, as builtins."""
    view, seats = text.service_store.decode((folder / SERVICE_STATE).read_bytes())
    return {
        WAVES: text.plain(text.wave_records.decode((folder / WAVES).read_bytes())),
        SERVICE_STATE: text.plain([view, seats]),
        CONFIGURATION: {path.name: _read(path) for path in configuration(folder / CONFIGURATION)},
    }


def configuration(folder: Path) -> list[Path]:
    """The files of a folder that `brookreach check` reads: sites are read by the tests of sites."""
    found = [path for path in folder.iterdir() if path.suffix in (".toml", ".json")]
    return sorted(path for path in found if path.name not in READ_ELSEWHERE)


def _read(path: Path) -> Any:
    return text.plain(text.configuration_files.read_file(path)[1])

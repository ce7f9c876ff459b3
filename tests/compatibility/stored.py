"""The files that older versions wrote: a directory under `data/` for each commit, which is never written again."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

DATA = Path(__file__).parent / "data"
VERSIONS = tuple(sorted(path.name for path in DATA.iterdir() if path.is_dir()))
FIRST = "88569cf"


def read_json(version: str, name: str) -> Any:
    return json.loads((DATA / version / name).read_text())


def write_json(path: Path, value: object) -> None:
    path.write_text(json.dumps(value, indent=0, sort_keys=True) + "\n")

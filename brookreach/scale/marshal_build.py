"""Which build of the program is measured: the compiled one, where it holds this source, else the source."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

import brookreach
from brookreach.policy import balancer

PACKAGE = Path(brookreach.__file__).parent


@dataclass(frozen=True, slots=True)
class Build:
    """`root` is the folder that the package is imported from."""

    root: Path
    compiled: bool

    def environment(self) -> dict[str, str]:
        return os.environ | {"PYTHONPATH": str(self.root)}

    def words(self) -> str:
        return "compiled" if self.compiled else "source, not compiled"


def source() -> Build:
    """The package that this process runs."""
    return Build(PACKAGE.parent, not str(balancer.__file__).endswith(".py"))


def present() -> Build:
    """What `make build` made, if it is of this source."""
    here = source()
    made = here.root / "build" / "lib"
    if here.compiled or not list((made / PACKAGE.name / "policy").glob("balancer.*.so")):
        return here
    return Build(made, True) if _same(made / PACKAGE.name) else here


def _same(made: Path) -> bool:
    """Whether every module stands beside its compiled form as it stands here."""
    names = [path.relative_to(PACKAGE) for path in PACKAGE.rglob("*.py")]
    return all(
        (made / name).is_file() and (made / name).read_bytes() == (PACKAGE / name).read_bytes() for name in names
    )

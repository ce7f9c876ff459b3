"""Which pieces rest on the ground, in the order in which they may call each other's decisions.

The keeper, the drills and the clients' mirrors take them from here; `brookreach.coordination` itself names none.
"""

from __future__ import annotations

import importlib

from brookreach.coordination.state_machine.application import Piece

PIECES = (
    "brookreach.carbon_aware.application",
    "brookreach.disruption.application",
    "brookreach.gang_scheduling.application",
)


def pieces(names: tuple[str, ...] = PIECES) -> tuple[Piece, ...]:
    """Each module's `PIECE`."""
    return tuple(importlib.import_module(name).PIECE for name in names)

"""Which pieces rest on the ground, in the order in which they may call each other's decisions.

The keeper, the drills and the clients' mirrors take them from here; `brookreach.coordination` itself names none.
"""

from __future__ import annotations

import importlib

from brookreach.coordination.state_machine.application import Application

APPLICATION_MODULES = (
    "brookreach.carbon_aware.application",
    "brookreach.disruption.application",
    "brookreach.gang_scheduling.application",
)


def load_applications(names: tuple[str, ...] = APPLICATION_MODULES) -> tuple[Application, ...]:
    """Each module's `APPLICATION`."""
    return tuple(importlib.import_module(name).APPLICATION for name in names)

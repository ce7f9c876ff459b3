"""The installed applications, in the order in which they may call each other's decisions.

Replicas, clients' caches and simulations load them from here; `brookreach.coordination` itself names none.
"""

from __future__ import annotations

import importlib

from brookreach.coordination.state_machine.application import Application

APPLICATION_MODULES = (
    "brookreach.carbon_aware.application",
    "brookreach.disruption.application",
    "brookreach.gang_scheduling.application",
)
"""Modules with an `APPLICATION`. An application may write the tables of those before it."""


def load_applications(modules: tuple[str, ...] = APPLICATION_MODULES) -> tuple[Application, ...]:
    """Imports the modules and returns the `APPLICATION` of each, in the same order."""
    return tuple(importlib.import_module(module).APPLICATION for module in modules)

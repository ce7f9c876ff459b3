"""`brookreach`: the group that all commands hang from."""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Callable, Mapping
from typing import Any

import click

from brookreach.cli.lazy import LazyGroup

FAMILIES = {
    "run": "brookreach.cli.run:run",
    "site": "brookreach.cli.site:site",
    "check": "brookreach.cli.check:check",
    "verdict": "brookreach.cli.verdict:verdict",
    "waves": "brookreach.cli.waves:waves",
    "plot": "brookreach.cli.plot:plot",
    "drill": "brookreach.cli.drill:drill",
    "xds": "brookreach.cli.xds:xds",
    "fleet": "brookreach.cli.fleet:fleet",
    "capacity": "brookreach.cli.capacity:capacity",

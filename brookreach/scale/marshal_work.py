"""Work of the decisions counted, which is the same on every machine: functions called and lines run.

A line counts at each turn of a loop or comprehension on it, so that rows looked at are counted; what the
interpreter does in one call of its own (copying, sorting, adding up) counts as one.
"""

from __future__ import annotations

import sys
from pathlib import Path
from types import FrameType
from typing import Any

import brookreach
from brookreach.policy import (
    actor,
    balancer,
    baseline_outcomes,
    canary_analysis,
    canary_charts,
    common,
    cusum,
    node_correlation,
    node_registry,
    node_selection,
    outcome_counts,
    request_router,
    retry_rules,
    routed_rpc,
    sliding_window,
    thresholds,
    timer_tokens,
    tracked_node,
    weighted_nodes,
)

MODULES = (
    balancer,
    request_router,
    timer_tokens,
    node_registry,
    node_selection,
    tracked_node,
    retry_rules,
    canary_analysis,
    canary_charts,
    cusum,
    common,
    thresholds,
    node_correlation,
    outcome_counts,
    actor,
    routed_rpc,
    baseline_outcomes,
    sliding_window,
    weighted_nodes,
)


class NotCountable(Exception):
    """The decisions are compiled: the interpreter does not see their lines."""


class Counter:
    """Calls and lines of the modules that decide, run while it is entered. Raises NotCountable."""

    def __init__(self) -> None:
        self.count = 0
        self.files = {module.__file__ for module in MODULES}
        if any(not str(file).endswith(".py") for file in self.files):
            raise NotCountable(f"compiled in {Path(str(brookreach.__file__)).parent}: count with the source")

    def read(self) -> int:
        return self.count

    def called(self, frame: FrameType, event: str, argument: Any) -> Any:
        if frame.f_code.co_filename not in self.files:
            return None
        self.count += 1
        return self.within

    def within(self, frame: FrameType, event: str, argument: Any) -> Any:
        if event == "line":
            self.count += 1
        return self.within

    def __enter__(self) -> Counter:
        self.before = sys.gettrace()
        sys.settrace(self.called)
        return self

    def __exit__(self, *error: object) -> None:
        sys.settrace(self.before)

"""Log lines as JSON, by structlog: what `--log json` hands to `net/report.py`.

It owns the object a line is. It must never decide which lines are written; structlog is imported when asked
for.
"""

from __future__ import annotations

import sys

from brookreach.net.report import LineWriter


def structured(name: str) -> LineWriter:
    """One JSON object a line: `at`, `level`, `marshal`, `kind`, `event`; figures stay in the words."""
    import structlog

    logger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso", key="at"),
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
    ).bind(marshal=name)
    return lambda kind, text: (logger.error if kind == "fault" else logger.info)(text, kind=kind)


def writer(form: str, name: str) -> LineWriter | None:
    """What `--log` names: None for plain lines."""
    return structured(name) if form == "json" else None

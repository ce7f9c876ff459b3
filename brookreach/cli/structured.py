"""Log lines as JSON, written by structlog: the writers that `--log json` gives to `net/report.py`.

The module owns the form of a line, and must never decide which lines are written. structlog is imported only if it is
asked for.
"""

from __future__ import annotations

import sys

from brookreach.net.report import LineWriter


def json_writer(name: str) -> LineWriter:
    """Return a writer of one JSON object a line, with the keys `at`, `level`, `marshal`, `kind` and `event`.

    Figures stay in the text of the event.
    """
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


def select_writer(form: str, name: str) -> LineWriter | None:
    """Return the writer that `--log` names; None for plain lines."""
    return json_writer(name) if form == "json" else None

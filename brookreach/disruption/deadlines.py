"""What time alone will change, as rows in the order of their times; so the next one is the first row.

It owns no meaning: what is due is handed to `piece`. A time that no longer matters may stay: whoever is
called by it looks at what stands.
"""

from __future__ import annotations

from brookreach.coordination.state_machine.application import StagedChanges, View
from brookreach.disruption.internal_tables import DUE, DueRow, first, ordered

LATE, FORGET, NODE, VOTES, STAGE, DRAW, SERVE = "late", "forget", "node", "votes", "stage", "draw", "serve"
MOST_AT_ONCE = 32  # of them in one record; the rest is due at once


def _key(ms: int, what: str, name: str) -> str:
    return f"{ms:016d}/{what}/{name}"


def at(draft: StagedChanges, ms: int, what: str, name: str) -> None:
    draft.put(DUE, _key(ms, what, name), DueRow(what, name))


def off(draft: StagedChanges, ms: int, what: str, name: str) -> None:
    draft.put(DUE, _key(ms, what, name), None)


def next_ms(view: View) -> int | None:
    found = first(view, DUE)
    return int(found[0][:16]) if found else None


def taken(draft: StagedChanges, at_ms: int) -> list[DueRow]:
    """Those whose time has come, out of the table."""
    came: list[tuple[str, DueRow]] = []
    for key, row in ordered(draft, DUE):
        if int(key[:16]) > at_ms or len(came) == MOST_AT_ONCE:
            break
        came.append((key, row))
    for key, _ in came:
        draft.put(DUE, key, None)
    return [row for _, row in came]

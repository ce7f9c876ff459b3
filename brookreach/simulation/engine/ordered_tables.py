"""Tables in memory whose rows stand in the order of their keys, as those of a replica do."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from sortedcontainers import SortedDict

from brookreach.coordination.state_machine.application import RowUpdate

LAST_CHARACTER = "\U0010ffff"  # no key is longer than its prefix with this behind it


class OrderedTables:
    """A `View` of rows that an application's updates are applied to."""

    def __init__(self) -> None:
        self.tables: dict[str, SortedDict] = {}

    def get(self, table: str, key: str) -> Any:
        """Return a row, or None if there is none by that key."""
        return self.tables.get(table, {}).get(key)

    def rows(self, table: str, prefix: str = "") -> list[tuple[str, Any]]:
        """Return the rows whose keys begin with `prefix`, in the order of their keys."""
        return list(self.iterate(table, prefix))

    def iterate(self, table: str, prefix: str = "") -> Iterator[tuple[str, Any]]:
        """Yield the same rows as `rows`, each only when it is asked for."""
        rows = self.tables.get(table)
        if rows is not None:
            for key in rows.irange(prefix, prefix + LAST_CHARACTER):
                yield key, rows[key]

    def count(self, table: str) -> int:
        """Return the number of rows of a table."""
        return len(self.tables.get(table, {}))

    def apply_updates(self, updates: Iterable[RowUpdate]) -> None:
        """Apply updates in their order; an update without a row deletes it."""
        for update in updates:
            rows = self.tables.setdefault(update.table, SortedDict())
            if update.row is None:
                rows.pop(update.key, None)
            else:
                rows[update.key] = update.row

"""Tables whose rows stand in the order of their keys, as the keepers' do."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from sortedcontainers import SortedDict

from brookreach.coordination.state_machine.application import RowUpdate


class OrderedTables:
    """A `piece.View`; `walk` reads as far as it is asked to."""

    def __init__(self) -> None:
        self.tables: dict[str, SortedDict] = {}

    def get(self, table: str, key: str) -> Any:
        return self.tables.get(table, {}).get(key)

    def rows(self, table: str, prefix: str = "") -> Iterable[tuple[str, Any]]:
        return list(self.walk(table, prefix))

    def walk(self, table: str, prefix: str = "") -> Iterable[tuple[str, Any]]:
        held = self.tables.get(table)
        if held is not None:
            for key in held.irange(prefix, prefix + "\U0010ffff"):
                yield key, held[key]

    def count(self, table: str) -> int:
        return len(self.tables.get(table, {}))

    def take(self, puts: Iterable[RowUpdate]) -> None:
        for one in puts:
            held = self.tables.setdefault(one.table, SortedDict())
            if one.row is None:
                held.pop(one.key, None)
            else:
                held[one.key] = one.row

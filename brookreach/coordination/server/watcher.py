"""How far one client has been told of the tables that it watches."""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.coordination.server.change_feed import TableNames
from brookreach.coordination.server.table_copies import TableCopy


@dataclass(slots=True)
class Watcher:
    """One client's watch.

    Attributes:
        tables: The watched tables, sorted.
        since: The index that the client asked from.
        reported_index: The client was told everything up to here.
        checked_index: Nothing between `reported_index` and this concerns it.
        min_copy_index: An older copy would take the client back.
        is_new: It has had no answer yet.
        needs_copy: Changes won't do.
        copy: The copy being sent.
        next_part: The next part of it.
    """

    tables: TableNames
    since: int
    reported_index: int
    checked_index: int
    min_copy_index: int
    is_new: bool = True
    needs_copy: bool = False
    copy: TableCopy | None = None
    next_part: int = 0

    def report(self, index: int) -> None:
        """Take note that the client is told everything up to `index`."""
        self.reported_index = index
        self.checked_index = index
        self.min_copy_index = index

    def begin_copy(self, copy: TableCopy) -> None:
        """Begin to send a copy."""
        self.copy = copy
        self.next_part = 0
        self.needs_copy = False

    def require_copy(self) -> None:
        """Give up a copy that is being sent, if any, and let a new one be sent."""
        self.copy = None
        self.needs_copy = True

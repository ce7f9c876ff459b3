"""The name of one member of a gang."""

from __future__ import annotations

from typing import NamedTuple


class MemberKey(NamedTuple):
    """A member of a gang, by its number from 0 on; keys stand in the order of gangs and numbers."""

    gang: str
    number: int

    @property
    def text(self) -> str:
        """The key of its row."""
        return f"{self.gang}/{self.number:04d}"

"""The fence at a node: the highest fencing token that its agent has heard of, for each member."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container

from brookreach.gang_scheduling.member_key import MemberKey

MAX_MEMBERS = 4096


class FencingTokens:
    """The highest token of each member, in bounded memory.

    Members that were forgotten keep the highest token of any of them, so that nothing older is ever started.
    """

    def __init__(self) -> None:
        self._highest: OrderedDict[MemberKey, int] = OrderedDict()
        self._floor = 0

    def highest(self, key: MemberKey) -> int:
        """Returns the token above which an incarnation may be started."""
        return self._highest.get(key, self._floor)

    def note(self, key: MemberKey, token: int, running: Container[MemberKey]) -> None:
        """Notes a token; members that are `running` are forgotten last."""
        self._highest[key] = max(token, self._highest.get(key, 0))
        self._highest.move_to_end(key)
        while len(self._highest) > MAX_MEMBERS:
            self._forget(next((other for other in self._highest if other not in running), key))

    def _forget(self, key: MemberKey) -> None:
        self._floor = max(self._floor, self._highest.pop(key))

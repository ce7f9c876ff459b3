"""The RPCs that have no final answer yet, by their numbers.

It owns which RPCs are open and the ids that clients gave them. An RPC is taken out of the table with its answer, and so
each gets one. It must never word an answer, save for what nobody else has answered.
"""

from __future__ import annotations

from collections import Counter

from brookreach.net.answers import ABORTED, PendingAnswer
from brookreach.net.statement import InvalidStatementError, Statement


class OpenRpc:
    """An RPC that has no final answer yet, and how many picks it has had."""

    def __init__(self, statement: Statement, slot: PendingAnswer) -> None:
        self.statement, self.slot, self.picks = statement, slot, 0

    def describe_unanswered(self, why: str) -> str:
        """The line of the log for one that loses its connection."""
        return f"{self.statement.name.decode()}: no answer after {self.picks} picks, its connection ended: {why}"


class OpenRpcs:
    def __init__(self) -> None:
        self.by_id: dict[int, OpenRpc] = {}
        self.answer_counts: Counter[str] = Counter()  # final ones, by kind
        self.client_ids: set[bytes] = set()  # the ids of open RPCs, as clients gave them
        # Picks so far of RPCs whose client has left, until the module has heard of it: it may decide on more.
        self.departed_picks: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.by_id)

    def __contains__(self, number: int) -> bool:
        return number in self.by_id

    def ids(self) -> list[int]:
        return list(self.by_id)

    def get(self, number: int) -> OpenRpc | None:
        return self.by_id.get(number)

    def add(self, number: int, rpc: OpenRpc) -> None:
        """Raises InvalidStatementError where another open RPC has its id."""
        name = rpc.statement.name
        if name in self.client_ids:
            raise InvalidStatementError(b"22023", "the id of another open RPC")
        self.by_id[number] = rpc
        self.client_ids.add(name)

    def remove(self, number: int) -> OpenRpc | None:
        """Take an RPC out: None where it has been answered, or its client has left."""
        rpc = self.by_id.pop(number, None)
        if rpc is not None:
            self.client_ids.discard(rpc.statement.name)
        return rpc

    def answer(self, number: int, buffers: list[bytes | memoryview], kind: str) -> None:
        """The final answer of an RPC; nothing where it has had one, or its client has left."""
        rpc = self.remove(number)
        if rpc is not None:
            self.answer_counts[kind] += 1
            rpc.slot.answer(buffers)

    def abort_all(self) -> None:
        """Answer what is still open so that it promises nothing. The last resort: decisions answer in time."""
        for number in self.ids():
            self.answer(number, [ABORTED], "failed")

    def remove_departed(self, number: int) -> OpenRpc | None:
        """Take an RPC out whose client has left; its picks are counted on until `forget_departed`."""
        rpc = self.remove(number)
        if rpc is not None:
            self.departed_picks[number] = rpc.picks
        return rpc

    def forget_departed(self, number: int) -> None:
        """The module knows that the client has left, and decides on no further pick."""
        self.departed_picks.pop(number, None)

    def next_departed_pick(self, number: int) -> int:
        """The place, from 0, of a pick among those of an RPC whose client has left."""
        nth = self.departed_picks.get(number, 0)
        if number in self.departed_picks:
            self.departed_picks[number] = nth + 1
        return nth

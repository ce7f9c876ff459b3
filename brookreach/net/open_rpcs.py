"""The RPCs that have no final answer yet, by their ids.

This module owns which RPCs are open and the ids that clients gave them. An RPC is removed from the table with its
answer, and so each gets one. It words no answer, except to what nobody else has answered.
"""

from __future__ import annotations

from collections import Counter

from brookreach import interface as ifc
from brookreach.net.answers import ABORTED, PendingAnswer
from brookreach.net.statement import InvalidStatementError, Statement


class OpenRpc:
    """An RPC that has no final answer yet, and how many picks it has had.

    `received` is the event that the balancer has not handled yet; None once it has.
    """

    def __init__(self, statement: Statement, answer: PendingAnswer, received: ifc.RpcReceived | None = None) -> None:
        self.statement = statement
        self.answer = answer
        self.received = received
        self.picks = 0

    def take_received(self) -> ifc.RpcReceived | None:
        """Return the event for the balancer, once."""
        received = self.received
        self.received = None
        return received

    def describe_unanswered(self, why: str) -> str:
        """Return the log line for an RPC that loses its connection."""
        return f"{self.statement.name.decode()}: no answer after {self.picks} picks, its connection ended: {why}"


class OpenRpcs:
    """The table of open RPCs."""

    def __init__(self) -> None:
        self.by_id: dict[int, OpenRpc] = {}
        self.answer_counts: Counter[str] = Counter()  # final answers, by kind
        self.client_ids: set[bytes] = set()  # the ids of open RPCs, as clients gave them
        # Picks so far of RPCs whose client has left, until the balancer has been told: it may decide on more.
        self.departed_picks: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.by_id)

    def __contains__(self, rpc_id: int) -> bool:
        return rpc_id in self.by_id

    def ids(self) -> list[int]:
        """Return the ids of all open RPCs."""
        return list(self.by_id)

    def get(self, rpc_id: int) -> OpenRpc | None:
        """Return an RPC, or None if it is not open."""
        return self.by_id.get(rpc_id)

    def add(self, rpc_id: int, rpc: OpenRpc) -> None:
        """Add an RPC. Raises InvalidStatementError if another open RPC has the same client id."""
        name = rpc.statement.name
        if name in self.client_ids:
            raise InvalidStatementError(b"22023", "the id of another open RPC")
        self.by_id[rpc_id] = rpc
        self.client_ids.add(name)

    def remove(self, rpc_id: int) -> OpenRpc | None:
        """Remove and return an RPC; None if it has been answered, or its client has left."""
        rpc = self.by_id.pop(rpc_id, None)
        if rpc is not None:
            self.client_ids.discard(rpc.statement.name)
            rpc.statement.drop_text()  # picks that are out hold it as well, and write nothing of it any more
        return rpc

    def answer(self, rpc_id: int, buffers: list[bytes | memoryview], kind: str) -> None:
        """Send the final answer of an RPC; nothing if it has had one, or its client has left."""
        rpc = self.remove(rpc_id)
        if rpc is not None:
            self.answer_counts[kind] += 1
            rpc.answer.answer(buffers)

    def abort_all(self) -> None:
        """Answer what is still open with an error that promises nothing.

        This is the last resort: the balancer answers in time.
        """
        for rpc_id in self.ids():
            self.answer(rpc_id, [ABORTED], "failed")

    def remove_departed(self, rpc_id: int) -> OpenRpc | None:
        """Remove an RPC whose client has left; its picks are counted on until `forget_departed`."""
        rpc = self.remove(rpc_id)
        if rpc is not None:
            self.departed_picks[rpc_id] = rpc.picks
        return rpc

    def forget_departed(self, rpc_id: int) -> None:
        """The balancer knows that the client has left, and decides on no further pick."""
        self.departed_picks.pop(rpc_id, None)

    def next_departed_pick(self, rpc_id: int) -> int:
        """Return the index, from 0, of one more pick for an RPC whose client has left."""
        pick_index = self.departed_picks.get(rpc_id, 0)
        if rpc_id in self.departed_picks:
            self.departed_picks[rpc_id] = pick_index + 1
        return pick_index

"""Proposals between their request and the application of their entry: which client waits for which index."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class InFlightProposal:
    """A proposal that is not yet applied.

    Attributes:
        source: The client.
        session: The client's session; for a new session the older one that ends by it, or 0.
        seq: The request's number in the session; 0: the request is to open a session.
    """

    source: str
    session: int
    seq: int


class InFlightProposals:
    """The proposals of one term, by the index of their entry."""

    def __init__(self) -> None:
        self._by_index: dict[int, InFlightProposal] = {}
        self._numbers_by_session: dict[int, set[int]] = {}
        self._opening: dict[str, bool] = {}  # clients whose session is being opened; whether they are still connected

    def __len__(self) -> int:
        return len(self._by_index)

    def sources(self) -> list[str]:
        """Return the clients that wait."""
        return [proposal.source for proposal in self._by_index.values()]

    def add(self, index: int, proposal: InFlightProposal) -> None:
        """Add a proposal."""
        self._by_index[index] = proposal
        if proposal.seq:
            self._numbers_by_session.setdefault(proposal.session, set()).add(proposal.seq)
        else:
            self._opening[proposal.source] = True

    def remove(self, index: int) -> InFlightProposal | None:
        """Remove and return the proposal whose entry was applied, if it was proposed here for a client."""
        proposal = self._by_index.pop(index, None)
        if proposal is not None and proposal.seq:
            numbers = self._numbers_by_session[proposal.session]
            numbers.discard(proposal.seq)
            if not numbers:
                del self._numbers_by_session[proposal.session]
        return proposal

    def contains(self, session: int, seq: int) -> bool:
        """Whether this request waits."""
        return seq in self._numbers_by_session.get(session, ())

    def count(self, session: int) -> int:
        """Return how many requests of a session wait."""
        return len(self._numbers_by_session.get(session, ()))

    # --- Sessions being opened ---

    def is_opening(self, client: str) -> bool:
        """Whether the client's session is being opened; it is answered on the connection that asked last."""
        if client not in self._opening:
            return False
        self._opening[client] = True
        return True

    def on_disconnect(self, client: str) -> None:
        """Take note that the client's connection ended."""
        if client in self._opening:
            self._opening[client] = False

    def finish_opening(self, client: str) -> bool:
        """Take note that the session was opened, or not; returns whether the client is there to be told."""
        return self._opening.pop(client, False)

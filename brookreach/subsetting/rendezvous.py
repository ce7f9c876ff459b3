"""Weighted rendezvous hashing (Thaler and Ravishankar, 1998) in integer arithmetic.

A member of weight w has w tickets for a key, each with its own hash, and its score is the highest of these hashes. The
maximum of w uniformly distributed hashes wins with a probability proportional to w, which the usual formula achieves
with a logarithm of floats. The hash of a ticket depends only on the key, the member and the ticket's number, so a
member that joins, leaves or changes its weight changes no other member's score. The hash is 64-bit XXH3.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

SEPARATOR = b"\0"


class Member(NamedTuple):
    """A candidate to be ranked for a key."""

    name: str
    encoded_name: bytes
    weight: int


Ranking = list[tuple[int, str]]
"""Pairs of score and name in descending order; names break ties."""


def score(key: bytes, encoded_name: bytes, weight: int) -> int:
    """Returns the highest hash of the member's tickets. `key` ends in the separator (see `make_key`)."""
    text = key + encoded_name
    best: int = xxh3_64_intdigest(text, 0)
    for ticket in range(1, weight):
        best = max(best, xxh3_64_intdigest(text, ticket))
    return best


def make_key(*parts: str) -> bytes:
    """Returns a key that is unique for these parts, because no name contains a zero byte."""
    return b"".join(part.encode() + SEPARATOR for part in parts)


def rank(key: bytes, members: Iterable[Member]) -> Ranking:
    """Returns the members in descending order of score."""
    scored = [
        (xxh3_64_intdigest(key + encoded_name) if weight == 1 else score(key, encoded_name, weight), name)
        for name, encoded_name, weight in members
    ]
    scored.sort(reverse=True)
    return scored

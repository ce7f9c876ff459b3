"""Weighted rendezvous hashing in whole numbers.

A member of weight w has w tickets for a key, and its score is the best of them: the largest of w evenly distributed
hashes wins with a probability in proportion to w, as the logarithm of the usual formula does, without floats. A
ticket's hash depends on key, member and ticket only, so a member that comes or goes, or whose weight changes, changes
no score but its own. Thaler and Ravishankar (1998); the hash is XXH3 of 64 bits.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

SEPARATOR = b"\0"


class Member(NamedTuple):
    """A member to be ranked."""

    name: str
    encoded_name: bytes
    weight: int


Ranking = list[tuple[int, str]]
"""Scores and names, the best first. Equal scores are ordered by name."""


def score(key: bytes, encoded_name: bytes, weight: int) -> int:
    """Returns the best ticket's hash. `key` ends in the separator: see `make_key`."""
    text = key + encoded_name
    best: int = xxh3_64_intdigest(text, 0)
    for ticket in range(1, weight):
        best = max(best, xxh3_64_intdigest(text, ticket))
    return best


def make_key(*parts: str) -> bytes:
    """Returns a key that differs for different parts: no name contains a zero byte."""
    return b"".join(part.encode() + SEPARATOR for part in parts)


def rank(key: bytes, members: Iterable[Member]) -> Ranking:
    """Returns the members by score."""
    scored = [
        (xxh3_64_intdigest(key + encoded_name) if weight == 1 else score(key, encoded_name, weight), name)
        for name, encoded_name, weight in members
    ]
    scored.sort(reverse=True)
    return scored

"""Weighted rendezvous hashing in whole numbers.

A member of weight w has w tickets for a key and its score is the best of them: the largest of w draws out of evenly
spread hashes wins with a chance in proportion to w, as the logarithm of the usual formula does, without a float.
A ticket's hash depends on key, member and ticket only, so a member that comes or goes, or whose weight changes,
changes no score but its own. Thaler and Ravishankar (1998); xxHash's XXH3 of 64 bits.
"""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

SEPARATOR = b"\0"

Ranked = list[tuple[int, str]]
"""Scores and names, the best first. Equal scores are told apart by name."""


def score(key: bytes, name: bytes, weight: int) -> int:
    """`key` ends in the separator: see `key_of`."""
    text = key + name
    best: int = xxh3_64_intdigest(text, 0)
    for ticket in range(1, weight):
        best = max(best, xxh3_64_intdigest(text, ticket))
    return best


def key_of(*parts: str) -> bytes:
    """Parts told apart whatever they hold: no name has a zero byte in it."""
    return b"".join(part.encode() + SEPARATOR for part in parts)


def ranked(key: bytes, members: Iterable[tuple[str, bytes, int]]) -> Ranked:
    """`members`: name, name in bytes, weight."""
    scored = [
        (xxh3_64_intdigest(key + octets) if weight == 1 else score(key, octets, weight), name)
        for name, octets, weight in members
    ]
    scored.sort(reverse=True)
    return scored

"""Second answers of a node: what it says again, and how late."""

from __future__ import annotations

import random
from collections.abc import Callable

from brookreach.net import pgwire
from brookreach.simulation.balancer.messages import ERROR, REFUSAL, row_answer

CHANCE = 0.3  # with which an answer is followed by a second one
LATENESS_S = ((0.0, 0.1), (0.0, 2.0))  # one of these ranges; most connections are taken again within the first
CUT_CHANCE = 0.1  # with which the first answer lacks its end, and the second one stands in its place
OTHER_VALUE = b"another's"


def _same(answer: bytes) -> bytes:
    return answer


def _other_value(answer: bytes) -> bytes:
    return row_answer(OTHER_VALUE, b"INSERT" in answer)


def _error(_answer: bytes) -> bytes:
    return ERROR


def _refusal(_answer: bytes) -> bytes:
    return REFUSAL


def _row_behind_an_error(answer: bytes) -> bytes:
    return ERROR + answer


def _without_its_end(answer: bytes) -> bytes:
    return answer.removesuffix(pgwire.READY_FOR_QUERY)


KINDS: tuple[Callable[[bytes], bytes], ...] = (
    _same,
    _other_value,
    _error,
    _refusal,
    _row_behind_an_error,
    _without_its_end,
)


def draw_second_answer(rng: random.Random, answer: bytes) -> tuple[bytes, float, bytes]:
    """Return what is written at once, and what is written so many seconds later; nothing where it is empty."""
    if rng.random() >= CHANCE:
        return answer, 0.0, b""
    lateness_s = rng.uniform(*rng.choice(LATENESS_S))
    if rng.random() < CUT_CHANCE:
        return _without_its_end(answer), lateness_s, answer
    return answer, lateness_s, rng.choice(KINDS)(answer)

"""What is on its way between two processes of the drills' world, and how it goes there. Types; nothing
here acts.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from brookreach.coordination.protocol import messages

KEY, GROUP = b"the drills' own key, 32 bytes long", "drill"
DOUBLE, LATE = 0.0, 0.002  # shares of frames that come twice, and late, where no fault is


@dataclass(slots=True)
class Link:
    """One way from one process to another. Shares are of frames; a late frame is overtaken by others."""

    least_ms: float = 0.2
    most_ms: float = 1.5
    lossy: float = 0.0
    double: float = DOUBLE
    late: float = LATE
    late_ms: float = 30.0
    cuts: int = 0  # faults that cut it at present


@dataclass(frozen=True, slots=True)
class Frame:
    """One as it was sent. It may be changed before it is on its way."""

    nth: int
    at_ms: float
    source: str
    target: str
    body: messages.Body
    octets: bytes


@dataclass(frozen=True, slots=True)
class Parcel:
    """A frame on its way. It is lost with the reader's life, or with the connection, that it was sent to."""

    nth: int
    source: str
    octets: bytes
    life: int
    connection: int


@dataclass(frozen=True, slots=True)
class Sent:
    """What is put on the way in a frame's place; `body` None where the reader is to refuse it."""

    octets: bytes
    body: messages.Body | None
    later_ms: float = 0.0
    source: str = ""  # as if another had sent it


Tamper = Callable[[Frame], Sequence[Sent] | None]


@dataclass(slots=True)
class Reaction:
    """What the reader of a changed frame did with it at once."""

    refused: str = ""
    said: tuple[messages.Body, ...] = ()
    changed: bool = False


def clocks(chance: random.Random, drift: float) -> tuple[float, float]:
    """A rate, any two of which differ by no more than the bound, and how far the wall clock is off in ms."""
    half = math.log1p(drift) / 2.0
    apart = chance.choice((-half, half, chance.uniform(-half, half)))  # the worst is as likely as any other
    return math.exp(apart), chance.uniform(-2000.0, 2000.0)

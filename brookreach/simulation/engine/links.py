"""Links between simulated processes and the frames on them: types without behaviour."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from brookreach.coordination.protocol import messages

KEY = b"the drills' own key, 32 bytes long"
GROUP = "drill"
DEFAULT_DUPLICATE_FRACTION = 0.0
DEFAULT_LATE_FRACTION = 0.002


@dataclass(slots=True)
class Link:
    """One direction between two processes; fractions are of its frames.

    Attributes:
        min_transit_ms: The least time that a frame takes.
        max_transit_ms: The most that a frame takes, unless it is late.
        lost_fraction: Frames that are dropped.
        duplicate_fraction: Frames that are delivered twice.
        late_fraction: Frames that take up to `late_ms` longer, so that others overtake them.
        late_ms: The most by which a late frame is late.
        active_cuts: How many faults cut this link at present.
    """

    min_transit_ms: float = 0.2
    max_transit_ms: float = 1.5
    lost_fraction: float = 0.0
    duplicate_fraction: float = DEFAULT_DUPLICATE_FRACTION
    late_fraction: float = DEFAULT_LATE_FRACTION
    late_ms: float = 30.0
    active_cuts: int = 0


@dataclass(frozen=True, slots=True)
class SentFrame:
    """A frame as it was sent, before an interceptor may replace it. `number` counts all frames of a run."""

    number: int
    at_ms: float
    source: str
    target: str
    body: messages.Body
    octets: bytes


@dataclass(frozen=True, slots=True)
class FrameInTransit:
    """A frame on its way. It is lost with the receiver's incarnation, or the connection, that it was sent to."""

    number: int
    source: str
    octets: bytes
    incarnation: int
    connection: int


@dataclass(frozen=True, slots=True)
class SubstituteFrame:
    """What is sent in the place of an intercepted frame.

    Attributes:
        octets: The sealed frame, or what is sent for one.
        body: What the octets mean; None if the receiver has to reject them.
        delay_ms: Added to the transit.
        source: The process that sends it instead; empty for the one that did.
    """

    octets: bytes
    body: messages.Body | None
    delay_ms: float = 0.0
    source: str = ""


FrameInterceptor = Callable[[SentFrame], Sequence[SubstituteFrame] | None]
"""Sees each frame as it is sent; returns what is sent instead, or None to leave it as it is."""


@dataclass(slots=True)
class FrameReaction:
    """What the receiver of an intercepted frame did with it at once.

    Attributes:
        rejection: The name of the error with which it was rejected; empty if it was accepted.
        replies: What the receiver sent while it handled the frame.
        state_changed: Whether its state differs afterwards, or it has ended.
    """

    rejection: str = ""
    replies: tuple[messages.Body, ...] = ()
    state_changed: bool = False

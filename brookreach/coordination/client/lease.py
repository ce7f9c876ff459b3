"""A client's right to act, by its own clock: until when, when it is renewed, and that it never comes back.

It must never hold for longer than `lease_ms` x (1 - drift) after it sent the question that was answered last.
Joined counts for nothing here: it bears no number that ties it to one question, so it may answer an earlier
one. Only Renewed counts, and only with the number of the Renew that is out.
"""

from __future__ import annotations

import random

from brookreach.coordination.protocol import messages
from brookreach.coordination.timing import Timing

APART = 10  # a lease told so many times as long or short as our own is no lease
RENEWS = 1 << 52  # Renews are numbered from here, Asks below; the first is drawn, so that none comes twice


class Lease:
    def __init__(self, timing: Timing, chance: random.Random):
        self._own, self._share = timing.lease_ms, 1.0 - timing.drift
        self.session = 0
        self.until: float | None = None  # None: not yet renewed
        self._began = 0.0
        self._last = RENEWS + chance.getrandbits(50)
        self._out: float | None = None  # when the last Renew was sent, while it's not answered
        self._at: float | None = None  # when the next is due

    def begun(self, now: float, session: int) -> None:
        self.session, self.until, self._began = session, None, now

    def joined(self, now: float) -> None:
        self._out, self._at = None, now

    def dropped(self) -> None:
        self._out = self._at = None

    def ended(self) -> None:
        self.session, self.until = 0, None
        self.dropped()

    def holds(self, now: float) -> bool:
        return bool(self.session) and self.until is not None and now < self.until

    def ends_ms(self) -> float:
        """When the session is given up if nothing renews it."""
        return self.until if self.until is not None else self._began + self._own * self._share

    def over(self, now: float) -> bool:
        return bool(self.session) and now >= self.ends_ms()

    def wake_ms(self) -> float | None:
        return self._at

    def fly(self, now: float) -> messages.KeepAlive | None:
        if self._at is None or now < self._at:
            return None
        self._last += 1
        self._out, self._at = now, None
        return messages.KeepAlive(self.session, self._last)

    def flies(self, seq: int) -> bool:
        return self._out is not None and seq == self._last

    def absurd(self, told: int) -> bool:
        return not self._own / APART <= told <= self._own * APART

    def renewed(self, told: int) -> float:
        """The Renew that is out was answered; whoever calls this has seen that `over` is not yet so."""
        assert self._out is not None
        length, sent = min(float(told), self._own), self._out
        self._out, self._at = None, sent + length / 3
        until = sent + length * self._share
        self.until = until if self.until is None else max(self.until, until)
        return self.until

    def put_off(self, now: float, come_back_ms: int) -> None:
        self._out, self._at = None, now + min(max(come_back_ms, 1), self._own / 3)

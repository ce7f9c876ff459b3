"""The lease of a client's session, by the client's own clock.

As in Gray and Cheriton's leases, the holder counts from the moment at which it *sent* the request for renewal: the
lease never holds longer than `lease_ms` x (1 - drift) after that, so it ends before the leader may give up the session.
SessionOpened grants nothing, because it bears no number that ties it to one request and may answer an earlier one. Only
a KeepAliveReply with the number of the KeepAlive that is in flight counts. A lease that has ended never holds again.
"""

from __future__ import annotations

import random

from brookreach.coordination.client.errors import SessionNotHeldError
from brookreach.coordination.protocol import messages
from brookreach.coordination.timing import Timing

MAX_LEASE_RATIO = 10  # a granted lease so many times as long or as short as the configured one is not believed
RENEWALS_PER_LEASE = 3
# KeepAlives are numbered from here on and proposals below, so that a rejection names one of them.
FIRST_KEEP_ALIVE_NUMBER = 1 << 52
# The first number is random: a restarted client must not repeat the numbers of its earlier life.
RANDOM_NUMBER_BITS = 50


class Lease:
    """The lease of at most one session.

    Attributes:
        session: The session, or 0 without one.
    """

    def __init__(self, timing: Timing, rng: random.Random):
        self.session = 0
        self._configured_ms = timing.lease_ms
        self._safe_fraction = 1.0 - timing.drift
        self._holds_until_ms: float | None = None  # None until the first renewal
        self._started_ms = 0.0
        self._last_number = FIRST_KEEP_ALIVE_NUMBER + rng.getrandbits(RANDOM_NUMBER_BITS)
        self._sent_ms: float | None = None  # when the KeepAlive in flight was sent
        self._renewal_due_ms: float | None = None

    def start(self, now: float, session: int) -> None:
        """Begins a session, whose lease does not hold before it is renewed."""
        self.session = session
        self._holds_until_ms = None
        self._started_ms = now

    def end(self) -> None:
        """Ends the session for good."""
        self.session = 0
        self._holds_until_ms = None
        self.connection_lost()

    def connection_opened(self, now: float) -> None:
        """Makes a renewal due at once."""
        self._sent_ms = None
        self._renewal_due_ms = now

    def connection_lost(self) -> None:
        """Gives up the KeepAlive in flight; nothing is due before the next connection."""
        self._sent_ms = None
        self._renewal_due_ms = None

    def holds(self, now: float) -> bool:
        """Whether the session may be acted for at `now`."""
        return bool(self.session) and self._holds_until_ms is not None and now < self._holds_until_ms

    def fencing_token(self, now: float) -> int | None:
        """Returns the session as a fencing token, or None while the lease does not hold."""
        return self.session if self.holds(now) else None

    def require_fencing_token(self, now: float) -> int:
        """Returns the fencing token.

        Raises:
            SessionNotHeldError: The lease does not hold at `now`.
        """
        token = self.fencing_token(now)
        if token is None:
            raise SessionNotHeldError(f"no session is held at {now:.0f} ms of the client's clock")
        return token

    def expires_ms(self) -> float:
        """Returns when the session is given up unless it is renewed before."""
        if self._holds_until_ms is not None:
            return self._holds_until_ms
        return self._started_ms + self._configured_ms * self._safe_fraction

    def has_expired(self, now: float) -> bool:
        """Whether there is a session that has to be given up."""
        return bool(self.session) and now >= self.expires_ms()

    def next_wakeup_ms(self) -> float | None:
        """Returns when a renewal is due; None while one is in flight or there is no connection."""
        return self._renewal_due_ms

    def take_keep_alive(self, now: float) -> messages.KeepAlive | None:
        """Returns the KeepAlive to be sent now, if one is due."""
        if self._renewal_due_ms is None or now < self._renewal_due_ms:
            return None
        self._last_number += 1
        self._sent_ms = now
        self._renewal_due_ms = None
        return messages.KeepAlive(self.session, self._last_number)

    def is_in_flight(self, sequence_number: int) -> bool:
        """Whether the KeepAlive of that number waits for its reply."""
        return self._sent_ms is not None and sequence_number == self._last_number

    def is_out_of_bounds(self, granted_ms: int) -> bool:
        """Whether a granted lease differs too much from the configured one to be believed."""
        return not self._configured_ms / MAX_LEASE_RATIO <= granted_ms <= self._configured_ms * MAX_LEASE_RATIO

    def renew(self, granted_ms: int) -> float:
        """Takes the reply to the KeepAlive in flight, while the lease has not expired.

        Returns:
            Until when the lease holds.
        """
        assert self._sent_ms is not None, "no KeepAlive is in flight"
        sent_ms = self._sent_ms
        length_ms = min(float(granted_ms), self._configured_ms)
        self._sent_ms = None
        self._renewal_due_ms = sent_ms + length_ms / RENEWALS_PER_LEASE
        until_ms = sent_ms + length_ms * self._safe_fraction
        if self._holds_until_ms is not None:
            until_ms = max(self._holds_until_ms, until_ms)
        self._holds_until_ms = until_ms
        return until_ms

    def postpone_renewal(self, now: float, retry_after_ms: int) -> None:
        """Takes the rejection of the KeepAlive in flight by a busy leader."""
        self._sent_ms = None
        delay_ms = min(max(retry_after_ms, 1), self._configured_ms / RENEWALS_PER_LEASE)
        self._renewal_due_ms = now + delay_ms

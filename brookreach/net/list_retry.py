"""When discovery is called again after a call for the list of nodes has failed.

What is missed while calls fail counts as known a fixed time after discovery can be reached again, so calls that cost
discovery nothing are repeated at a fixed period, which leaves time for an answer. A call that discovery queued and then
failed has cost it as much as an answer: only after those do the delays grow, or many balancers would keep its queue
full for good.

This module owns the period, the growth and the randomness of the delays, on a clock that is handed in. It must never
sleep, nor make a call.
"""

from __future__ import annotations

import math
import random

from brookreach.net.backoff import GROWTH_FACTOR, MAX_JITTER, MIN_JITTER
from brookreach.net.list_call_failure import CallFailure

MIN_PERIOD_SHARE = 0.9  # a period is multiplied by a random factor between this and 1


class ListRetrySchedule:
    """The times, in seconds of a monotonic clock, at which discovery may be called.

    A process's first call is due at once. After a failure the next call is due:

    - at once, if only a kept connection had been closed, or one answer could not be read;
    - after a random part of the period, at the first failure since a call succeeded, so that balancers that lost the
      service together don't call it together, and from then on one period after the failed call's begin;
    - after a growing random delay, if the service is overloaded. It is the longest at once if the service has also
      refused a call without keeping it: then its whole queue is full.

    Args:
        period_s: The longest time between the begins of two calls that cost the service nothing.
        overload_delay_s: The delay after the first call that an overloaded service failed, before jitter.
        max_overload_delay_s: The longest such delay, before jitter.
        rng: The source of all random factors.
    """

    def __init__(
        self, period_s: float, overload_delay_s: float, max_overload_delay_s: float, rng: random.Random
    ) -> None:
        self.period_s = period_s
        self.initial_overload_delay_s = overload_delay_s
        self.max_overload_delay_s = max_overload_delay_s
        self.rng = rng
        self.reset()

    def reset(self) -> None:
        """Forget all failures: the next call goes to another address, and is due at once."""
        self.next_call_at = -math.inf
        self.last_call_at = -math.inf
        self.has_succeeded = False  # the last call
        self.is_spread = False  # calls already follow a period with a random begin
        self._forget_overload()

    def delay_s(self, now: float) -> float:
        """Return how long to wait before the next call."""
        return max(0.0, self.next_call_at - now)

    def call_started(self, now: float) -> None:
        """Record the begin of a call."""
        self.last_call_at = now

    def call_succeeded(self) -> None:
        """Record an answer that was taken over."""
        self.has_succeeded = True
        self.next_call_at = -math.inf
        self.is_spread = False
        self._forget_overload()

    def call_failed(self, failure: CallFailure, now: float) -> None:
        """Record the failure of the call begun last, and set the time of the next one."""
        is_first = self.has_succeeded
        if failure is CallFailure.STALE_CONNECTION or (is_first and failure is CallFailure.UNREADABLE):
            self.has_succeeded = False
            self.next_call_at = now
            return
        if is_first and failure is CallFailure.OVERLOADED:
            failure = CallFailure.UNREACHABLE  # a watch that had stood was ended: it was in no queue
        self.has_succeeded = False
        if failure is CallFailure.UNREACHABLE:
            self._forget_overload()
        if failure is CallFailure.REFUSED:
            self.was_refused = True
        if failure is CallFailure.OVERLOADED or (failure is CallFailure.REFUSED and self.overload_s > 0.0):
            self.next_call_at = now + self._next_overload_delay_s()
        else:
            self.next_call_at = max(now, self._next_period_end(failure, now))

    def _next_period_end(self, failure: CallFailure, now: float) -> float:
        is_first = not self.is_spread
        self.is_spread = True
        if is_first and failure is not CallFailure.SILENT:
            return now + self.period_s * self.rng.random()
        return self.last_call_at + self.period_s * self.rng.uniform(MIN_PERIOD_SHARE, 1.0)

    def _next_overload_delay_s(self) -> float:
        if self.was_refused:
            self.overload_s = self.max_overload_delay_s
        else:
            grown_s = max(GROWTH_FACTOR * self.overload_s, self.initial_overload_delay_s)
            self.overload_s = min(grown_s, self.max_overload_delay_s)
        return self.overload_s * self.rng.uniform(MIN_JITTER, MAX_JITTER)

    def _forget_overload(self) -> None:
        self.overload_s = 0.0  # the last delay, before jitter
        self.was_refused = False  # at once, since the service was last reached or out of reach

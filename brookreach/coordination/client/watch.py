"""A client's side of a watch: when it is asked for anew, and what of the answers its mirror takes.

It must never ask so often that many clients with the same trouble become a load, nor wait for ever for a
telling that was lost.
"""

from __future__ import annotations

import random
from collections import Counter

from brookreach.coordination.client.cache import TableCache
from brookreach.coordination.client.errors import RejectedUpdateError
from brookreach.coordination.client.events import RowsChanged, RowUnreadable
from brookreach.coordination.client.leader_discovery import WAIT, Pauses
from brookreach.coordination.protocol import messages
from brookreach.coordination.timing import Timing


class Watching:
    def __init__(self, mirror: TableCache, timing: Timing, chance: random.Random, refusals: Counter[str]):
        self._mirror, self._refusals = mirror, refusals
        self._lease, self._pauses = timing.lease_ms, Pauses(timing, chance)
        self._at: float | None = None  # when a Watch is due; None: all is well

    def wake_ms(self) -> float | None:
        return self._at

    def begin(self, now: float) -> None:
        """On a new connection."""
        self._at = now if self._mirror.watched else None

    def fly(self, now: float, session: int) -> messages.WatchRequest | None:
        if self._at is None or now < self._at:
            return None
        self._at = now + 2 * self._lease
        return messages.WatchRequest(session, self._mirror.begin_watch(), self._mirror.watched)

    def hear(
        self, now: float, message: messages.WatchUpdate | messages.WatchSnapshot
    ) -> list[RowsChanged | RowUnreadable]:
        mirror = self._mirror
        if not mirror.watched:
            self._refusals["not asked"] += 1
            return []
        try:
            told = (
                mirror.apply_update(message)
                if isinstance(message, messages.WatchUpdate)
                else mirror.apply_snapshot(message)
            )
        except RejectedUpdateError as error:
            self._refusals[error.reason] += 1
            if error.needs_new_watch:
                self._soon(now)
            return []
        if mirror.up_to_date:
            self._at = None
            self._pauses.reset()
        else:
            self._at = now + 2 * self._lease  # the next part
        return told

    def sorry(self, now: float, message: messages.RequestRejected) -> None:
        if self._at is None:
            self._refusals["not asked"] += 1
        elif message.reason == "busy":
            self._at = now + self._pauses.next_delay_ms(self._lease, message.retry_after_ms)
        else:  # another keeper, or this one once it is of another version, may know what it names
            self._at = now + WAIT * self._lease

    def _soon(self, now: float) -> None:
        """What did not fit before the Watch is sent changes nothing more."""
        at = now + self._pauses.next_delay_ms(self._lease)
        self._at = at if self._at is None else min(at, self._at)

"""What the balancer's actors are made of: their inboxes and the loop's order of work."""

from __future__ import annotations

from collections import deque
from typing import Any

WorkQueue = deque[Any]  # the loop's order of work: a part, once for each note in its inbox


class Actor:
    def __init__(self, due: WorkQueue):
        self.due = due
        self.inbox: deque[tuple[str, tuple[Any, ...]]] = deque()

    def send(self, note: str, *args: Any) -> None:
        self.inbox.append((note, args))
        self.due.append(self)

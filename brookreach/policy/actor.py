"""Actors: each has an inbox, and one loop delivers all messages in the order in which they were sent."""

from __future__ import annotations

from collections import deque
from typing import Any

WorkQueue = deque[Any]
"""Actors with messages to handle, in the order of sending: an actor stands here once for each of its messages."""


class Actor:
    """An object that others reach by messages. `Balancer.deliver_messages` calls the method a message names."""

    def __init__(self, work_queue: WorkQueue):
        self.work_queue = work_queue
        self.inbox: deque[tuple[str, tuple[Any, ...]]] = deque()

    def send(self, message: str, *args: Any) -> None:
        """Queues a call of the method `message` with `args`."""
        self.inbox.append((message, args))
        self.work_queue.append(self)

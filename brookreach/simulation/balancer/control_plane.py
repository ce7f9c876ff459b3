"""Discovery and the platform of one run: the list of nodes, drains, builds, and an agent that falls silent."""

from __future__ import annotations

import json
import time
from typing import Any

import anyio

from brookreach.simulation.balancer.record import Record
from brookreach.simulation.stand_ins import HttpStand

FOREVER_S = 3600.0
ACTIVE, LEAVING = "active", "leaving"


class ControlPlane:
    """Tells the balancer of nodes and builds.

    Attributes:
        members: The entries of the list, as discovery words them.
        news: The newest build's state, as the platform words it.
        is_silent: Whether the agent answers nothing.
    """

    def __init__(self, members: list[dict[str, Any]], news: dict[str, Any], record: Record):
        self.members, self.news, self.is_silent = members, news, False
        self.discovery, self.platform = HttpStand(self._list), HttpStand(self._report)
        self._record = record
        self._revision = 1
        self._changed = anyio.Event()

    def listing(self) -> dict[str, Any]:
        """Return the whole list, as discovery words it."""
        return {"revision": self._revision, "complete": True, "members": self.members}

    def drain(self, node: int) -> None:
        """List a node as draining; every watch hears of it at once."""
        self.members[node] = self.members[node] | {"phase": LEAVING}
        self._revision += 1
        self._changed.set()
        self._changed = anyio.Event()

    async def _list(self, _method: str, target: str, _body: bytes) -> tuple[int, str, bool]:
        if self.is_silent:
            await anyio.sleep(FOREVER_S)
        if "after=" in target:
            after = int(target.partition("after=")[2].partition("&")[0])
            wait_s = float(target.rpartition("=")[2]) / 1000.0
            with anyio.move_on_after(wait_s):
                while self._revision <= after:
                    await self._changed.wait()
        for node, member in enumerate(self.members):
            if member["phase"] == LEAVING:
                self._record.draining_told_at.setdefault(node, time.monotonic())
        return 200, json.dumps(self.listing()), True

    async def _report(self, _method: str, target: str, _body: bytes) -> tuple[int, str, bool]:
        if target == "/api/feed":
            return 200, json.dumps({"type": "ROLLOUT", "object": self.news}) + "\n", False
        return 200, json.dumps(self.news), True

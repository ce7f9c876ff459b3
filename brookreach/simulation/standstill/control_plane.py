"""Discovery and the platform of the standstill drill: its feed can be written to, and a vote waits for its answer."""

from __future__ import annotations

import json
import time
from typing import Any

import anyio
import anyio.abc

from brookreach.simulation.balancer.control_plane import ControlPlane
from brookreach.simulation.balancer.record import Record
from brookreach.simulation.stand_ins import GONE, HttpStand, request

FEED_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"
SIGN_OF_LIFE_S = 1.0
BROKEN_OFF = (0, "", True)  # the connection ends without an answer
FEED_PATH = "/api/feed"


class Platform(HttpStand):
    """The platform: its feed says what it is told to say; the first vote has its answer once that is allowed.

    Later votes have none.

    Attributes:
        news: The state of the newest build, as the platform words it.
        voted: Set by the first vote.
        answer_vote: Set once the first vote may be answered.
    """

    def __init__(self, news: dict[str, Any]):
        super().__init__(self._answer_vote)
        self.news = news
        self.voted, self.answer_vote = anyio.Event(), anyio.Event()
        self._feeds: set[anyio.abc.ByteStream] = set()

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Serve one connection to its end."""
        async with stream:
            try:
                method, target, body, _ = await request(stream, b"")
                if target == FEED_PATH:
                    await self._serve_feed(stream)
                    return
                _, text, _ = await self._answer_vote(method, target, body)
                await stream.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode())
            except GONE:
                return

    async def _serve_feed(self, stream: anyio.abc.ByteStream) -> None:
        await stream.send(FEED_HEAD + self._line())
        self._feeds.add(stream)
        try:
            while True:
                await anyio.sleep(SIGN_OF_LIFE_S)
                await stream.send(b"{}\n")
        finally:
            self._feeds.discard(stream)

    async def _answer_vote(self, _method: str, _target: str, _body: bytes) -> tuple[int, str, bool]:
        if self.voted.is_set():
            await anyio.sleep_forever()
        text = json.dumps(self.news)  # the state as the vote was counted
        self.voted.set()
        await self.answer_vote.wait()
        return 200, text, True

    async def tell(self, news: dict[str, Any]) -> None:
        """Write a new state to all feeds."""
        self.news = news
        for stream in list(self._feeds):
            await stream.send(self._line())

    def _line(self) -> bytes:
        return json.dumps({"type": "ROLLOUT", "object": self.news}).encode() + b"\n"


class StandstillControlPlane(ControlPlane):
    """Discovery as in the soak, with outages in which it breaks off all calls, and a platform that can be written to.

    Attributes:
        cap_0_told_at: When the feed was told that the build goes back; infinite before.
    """

    def __init__(self, members: list[dict[str, Any]], news: dict[str, Any], record: Record):
        super().__init__(members, news, record)
        self.rollout = Platform(news)
        self.platform = self.rollout
        self.cap_0_told_at = float("inf")
        self._calls: set[anyio.CancelScope] = set()

    def begin_outage(self) -> None:
        """Break off the calls for lists that are under way, and each that comes from now on."""
        self.is_silent = True
        for call in self._calls:
            call.cancel()

    def end_outage(self) -> None:
        """Answer again."""
        self.is_silent = False

    async def _list(self, method: str, target: str, body: bytes) -> tuple[int, str, bool]:
        answer = BROKEN_OFF
        if not self.is_silent:
            with anyio.CancelScope() as call:
                self._calls.add(call)
                answer = await super()._list(method, target, body)
            self._calls.discard(call)
        return answer

    async def send_back(self) -> None:
        """Tell the feed that the build on trial goes back."""
        await self.rollout.tell(self.news | {"status": "Aborting", "maxWeight": 0.0})
        self.cap_0_told_at = time.monotonic()

"""A stand-in that reads from one keeper and never moves to another: what a client with endless patience
would see.

It speaks the words itself, without the program's `Client`, so that an old leader always has somebody to
answer.
"""

from __future__ import annotations

from typing import Any

from brookreach.coordination.protocol import messages
from brookreach.coordination.timing import Timing
from brookreach.simulation.engine.process import Party
from brookreach.simulation.engine.world import World

EVERY_MS, AGAIN_MS, RENEW = 40.0, 200.0, 6  # between reads, before it joins again, reads to a Renew


class ReaderParty(Party):
    def __init__(self, world: World, name: str, timing: Timing, keeper: str, table: str):
        super().__init__(world, name, timing)
        self.target, self.table = keeper, table
        self.session = self.count = 0
        self.joins_at = 0.0

    def begin(self) -> None:
        self.world.checkers.began(self.name)
        self.session, self.joins_at = 0, self.now()
        self.later(EVERY_MS)

    def other(self, what: str, load: Any) -> None:
        if what == "lost":
            if load == (self.target, self.connection):
                self.leave()
        elif load[0] == self.life:
            self.later(EVERY_MS)
            self.turn()

    def turn(self) -> None:
        self.count += 1
        if not self.session:
            if self.now() >= self.joins_at:
                self.hang_up()
                self.connection, self.joins_at = self.connection + 1, self.now() + 4.0 * AGAIN_MS
                self.say(self.target, messages.OpenSession(self.name, "operator", 0, 1))
            return
        self.say(self.target, messages.ReadRequest(self.life << 32 | self.count, self.table, ""))
        if self.count % RENEW == 0:
            self.say(self.target, messages.KeepAlive(self.session, self.count))

    def leave(self) -> None:
        self.session, self.joins_at = 0, self.now() + AGAIN_MS

    def hear(self, source: str, body: messages.Body) -> None:
        if isinstance(body, messages.SessionOpened):
            self.session = body.session
        elif isinstance(body, messages.RequestRejected):
            self.leave()

    def fell(self) -> None:
        self.hang_up()

    def passed(self) -> None:
        """It sets no alarm."""

    def wakes(self) -> float | None:
        return None

    def part(self) -> Any:
        return self.session, self.joins_at

    def index(self) -> int:
        return self.world.checkers.acknowledged  # it holds nothing that could be behind

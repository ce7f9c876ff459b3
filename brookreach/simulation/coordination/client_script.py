"""A client's script for drills of the ground: it adds records, reads, holds things that one may hold at a
time.

It goes by the events of its `Client` alone, as any program would; what it holds it holds under the session
that asked for it. Its reads are said beside the client, which has none.
"""

from __future__ import annotations

import random
from typing import Any

from brookreach.coordination.client import events
from brookreach.coordination.client.errors import TooManyRequestsError
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Command
from brookreach.simulation.coordination import sample_application
from brookreach.simulation.coordination.invariants import Checkers
from brookreach.simulation.engine.participants import ClientParty

ACT_MS = 10.0  # how often a holder acts
THINGS = ("one", "two", "three", "four")


class Caller:
    def __init__(self, chance: random.Random, checkers: Checkers, every_ms: float):
        self.chance, self.checkers, self.every_ms = chance, checkers, every_ms
        self.count = 0
        self.asked: dict[int, Command] = {}
        self.held: dict[str, tuple[int, int]] = {}  # by thing: session, fence

    def began(self, party: ClientParty) -> None:
        self.asked, self.held = {}, {}
        party.later(self.chance.uniform(5.0, self.every_ms), "ask")
        party.later(ACT_MS, "act")

    def tick(self, party: ClientParty, load: Any) -> None:
        if load == "act":
            party.later(ACT_MS, "act")
            return self.act(party)
        party.later(self.chance.uniform(0.5, 1.5) * self.every_ms, "ask")
        self.count += 1
        dice, what = self.chance.random(), self.chance.choice(THINGS)
        if dice < 0.5:
            self.ask(party, sample_application.Add(f"{party.name}.{party.life}.{self.count}", party.name))
        elif dice < 0.7:
            self.read(party, self.chance.choice((sample_application.COUNTS, sample_application.HOLDS)))
        elif what in self.held and party.client.connected:  # cut off it acts on, as long as it may
            _, fence = self.held.pop(what)  # stops before it says so
            self.ask(party, sample_application.Drop(what, fence))
        elif what not in self.held and sample_application.Take(what) not in self.asked.values():
            self.ask(party, sample_application.Take(what))

    def ask(self, party: ClientParty, order: Command) -> None:
        try:
            self.asked[party.client.propose(party.now(), sample_application.APPLICATION.name, order)] = order
        except TooManyRequestsError:
            self.checkers.looked("a full queue says so")

    def read(self, party: ClientParty, table: str) -> None:
        if party.client.connected:
            party.say(party.client.replica, messages.ReadRequest(party.life << 32 | self.count, table, ""))

    def act(self, party: ClientParty) -> None:
        for what, (session, fence) in sorted(self.held.items()):
            if party.client.fencing_token(party.now()) == session:
                self.checkers.acted(party.world.now, party.name, sample_application.HOLDS, what, fence)

    def news(self, party: ClientParty, event: events.ClientEvent) -> None:
        match event:
            case events.SessionLost():
                self.held = {}
            case events.OutcomeUnknown():
                self.asked.pop(event.seq, None)
            case events.ReplyReceived():
                order = self.asked.pop(event.seq, None)
                if event.ok and isinstance(order, sample_application.Take):
                    self.held[order.what] = party.client.session, event.index

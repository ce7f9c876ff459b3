"""Keepers with their disks and clients with their scripts, as processes of the drills' world.

A party does what the program's own loop around the parts does, in the same order: save, send, apply. It must
never mend what a part does wrong.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any, Protocol

from brookreach.coordination.client.client import Client
from brookreach.coordination.client.events import ClientEvent
from brookreach.coordination.protocol import messages
from brookreach.coordination.raft.types import Ready
from brookreach.coordination.server.replica import Replica
from brookreach.coordination.state_machine.application import Application, Row
from brookreach.coordination.timing import Timing
from brookreach.simulation.engine.disk import MemoryDisk
from brookreach.simulation.engine.faults import Fault
from brookreach.simulation.engine.process import Party
from brookreach.simulation.engine.transit import GROUP
from brookreach.simulation.engine.world import World

MOST_TURNS = 1000  # rounds of ready and taken after one event, past which it never ends


def told(timing: Timing) -> Timing:
    """What a process is told of the group's times."""
    return timing


class KeeperParty(Party):
    keeps = True

    def __init__(self, world: World, name: str, timing: Timing, seats: tuple[str, ...], pieces: Sequence[Application]):
        super().__init__(world, name, timing)
        self.pieces, self.seats, self.disk = pieces, seats, MemoryDisk(seats, name)
        self.took = random.Random(f"{world.seed} disk {name}")
        self.lost = False  # its disk was: it is nobody now, and says nothing
        self.keeper: Replica

    def begin(self) -> None:
        self.keeper = Replica(
            self.name, self.pieces, self.disk.load(), GROUP, told(self.timing), self.chance(), self.seats
        )
        self.flush()

    def part(self) -> Any:
        return self.keeper

    def index(self) -> int:
        return self.keeper.machine.applied

    def wakes(self) -> float | None:
        return self.keeper.next_wakeup_ms()

    def passed(self) -> None:
        self.keeper.tick(self.now(), self.wall())
        self.flush()

    def hear(self, source: str, body: messages.Body) -> None:
        self.keeper.handle_message(self.now(), self.wall(), source, body)
        self.flush()

    def flush(self) -> None:
        for _ in range(MOST_TURNS):
            ready = self.keeper.ready()
            if ready == Ready():
                return
            took = 0.0
            if ready.save is not None:
                self.disk.save(ready.save)
                took = self.took.uniform(0.1, 1.0)
                if self.disk.promised:
                    self.world.at(self.world.now + 2.0 * took, self.name, "die", self.life)
            for target, body in ready.send:
                self.say(target, body, took)
            for entry in ready.apply:
                self.world.checkers.applied(self.world.now, self.name, entry)
            self.keeper.advance(self.now(), ready)
        raise RuntimeError(f"{MOST_TURNS} rounds of ready and taken without an end")

    def other(self, what: str, load: Any) -> None:
        """Beside frames and alarms: the ends of connections, and its own."""
        match what:
            case "die" if load == self.life:
                self.die("killed after a promise")
                self.world.at(self.world.now + 80.0, "", "heal", Fault(0, "kill", (self.name,)))  # if none else does
            case "closed" if self.world.hung_up(self.name, *load):
                self.keeper.client_disconnected(load[0])
                self.flush()
            case "again":
                self.keeper.client_disconnected(load)
                self.flush()

    def fell(self) -> None:
        for party in self.world.parties.values():
            if party.target == self.name:
                self.world.at(self.world.now + 1.0, party.name, "lost", (self.name, party.connection))

    def fault(self, fault: Fault) -> None:
        match fault.kind:
            case "end" if self.up:
                self.keeper.shut_down(self.now())
                self.guarded(self.flush)
            case "full":
                self.disk.full = True
            case "kill" if fault.how and self.up:
                self.disk.torn = fault.how
            case "emptied" | "older":
                if self.up:
                    self.die(fault.kind)
                if fault.kind == "emptied":
                    self.disk.empty()
                    self.lost = True
                else:
                    self.disk.go_back(fault.size)
            case _:
                super().fault(fault)

    def heal(self, fault: Fault) -> None:
        if fault.kind == "full":
            self.disk.full = False
        if fault.kind == "kill":
            self.disk.torn = ""
        if fault.kind == "end" and self.up:
            self.die("ended")
        super().heal(fault)


class Script(Protocol):
    """What a client does of its own; it learns only what was said to it."""

    def began(self, party: ClientParty) -> None: ...

    def tick(self, party: ClientParty, load: Any) -> None: ...

    def news(self, party: ClientParty, event: ClientEvent) -> None: ...


class ClientParty(Party):
    def __init__(
        self,
        world: World,
        name: str,
        timing: Timing,
        seats: tuple[str, ...],
        tables: dict[str, type[Row]],
        script: Script,
        kind: messages.ClientKind = "marshal",
    ):
        super().__init__(world, name, timing)
        self.seats, self.tables, self.script, self.kind = seats, tables, script, kind
        self.client: Client

    def fell(self) -> None:
        self.hang_up()

    def begin(self) -> None:
        self.world.checkers.began(self.name)
        self.client = Client(self.name, self.kind, self.seats, told(self.timing), self.chance(), self.tables)
        self.script.began(self)
        self.flush()

    def part(self) -> Any:
        return self.client

    def index(self) -> int:
        return self.client.cache.index

    def wakes(self) -> float | None:
        return self.client.next_wakeup_ms()

    def passed(self) -> None:
        self.client.advance_time(self.now())
        self.flush()

    def hear(self, source: str, body: messages.Body) -> None:
        self.client.handle_message(self.now(), source, body)
        self.flush()

    def other(self, what: str, load: Any) -> None:
        if what == "lost":
            if load == (self.target, self.connection):
                self.client.connection_lost(self.now())
        else:
            life, told = load
            if life == self.life:
                self.script.tick(self, told)
        self.flush()

    def fault(self, fault: Fault) -> None:
        if fault.kind == "end" and self.up:
            self.client.close(self.now())
            self.guarded(self.flush)
        else:
            super().fault(fault)

    def heal(self, fault: Fault) -> None:
        if fault.kind == "end" and self.up:
            self.die("ended")
        super().heal(fault)

    def flush(self) -> None:
        for target, body in self.client.take_outgoing():
            if isinstance(body, messages.OpenSession):
                self.hang_up()
                self.target, self.connection = target, self.connection + 1
            self.say(target, body)
        for event in self.client.take_events():
            self.script.news(self, event)

"""A network of keepers and clients under one seeded clock: every frame, clock, disk and death is an event
here.

It owns what lies between the processes and under them; what they are stands in `parties.py`. All that is said
goes through `seal.sealed` and `seal.opened`. The same seed and faults give the same trace, byte for byte. It
must never look into a process to decide what happens next.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections import Counter
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from brookreach.coordination.errors import InvalidFrameError
from brookreach.coordination.protocol import frames, messages
from brookreach.coordination.protocol.tags import wire_name
from brookreach.simulation.engine.faults import LEADER, Fault
from brookreach.simulation.engine.transit import DOUBLE, GROUP, KEY, LATE, Frame, Link, Parcel, Reaction, Sent, Tamper

if TYPE_CHECKING:
    from brookreach.simulation.coordination.invariants import Checkers
    from brookreach.simulation.engine.process import Party


class World:
    """`watch` hears every frame as it leaves and may put others in its place."""

    def __init__(self, seed: int, checkers: Checkers, watch: Tamper | None = None, keep: bool = False):
        self.seed, self.checkers, self.watch = seed, checkers, watch
        self.now = 0.0
        self.heap: list[tuple[float, int, str, str, Any]] = []
        self.count = self.frames = 0
        self.parties: dict[str, Party] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.lines: dict[tuple[str, str], int] = {}  # keeper, client: the connection there; below 0: ended
        self.chances: dict[tuple[str, str], random.Random] = {}
        self.met: dict[Fault, tuple[str, ...]] = {}
        self.refused: Counter[str] = Counter()
        self.kept: list[str] | None = [] if keep else None
        self.sum = hashlib.sha256()
        self.tampered: int | None = None  # the frame that was changed, and what came of it
        self.reaction: Reaction | None = None

    # --- time ---

    def at(self, when: float, who: str, what: str, load: Any = None) -> None:
        self.count += 1
        heapq.heappush(self.heap, (max(self.now, when), self.count, who, what, load))

    def play(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, who, what, load = heapq.heappop(self.heap)
            match what:
                case "frame":
                    self.arrive(who, load)
                case "fault":
                    self.begin(load)
                case "heal":
                    self.heal(load)
                case _:
                    self.parties[who].event(what, load)
        self.now = until

    def trace(self, who: str, what: str) -> None:
        line = f"{self.now:.3f} {who} {what}"
        self.sum.update(line.encode())
        self.sum.update(b"\n")
        if self.kept is not None:
            self.kept.append(line)

    @property
    def digest(self) -> str:
        return self.sum.hexdigest()

    # --- links ---

    def link(self, source: str, target: str) -> Link:
        return self.links.setdefault((source, target), Link())

    def chance(self, source: str, target: str) -> random.Random:
        """Each link has its own, so that a fault left out elsewhere changes little on this one."""
        if (source, target) not in self.chances:
            self.chances[source, target] = random.Random(f"{self.seed} {source} {target}")
        return self.chances[source, target]

    def send(self, source: str, target: str, body: messages.Body, after_ms: float = 0.0) -> None:
        octets = frames.seal_frame(KEY, GROUP, source, target, body)
        frame = Frame(self.frames, self.now, source, target, body, octets)
        self.frames += 1
        instead = self.watch(frame) if self.watch is not None else None
        if instead is None:
            instead = (Sent(octets, body),)
        else:
            self.tampered = frame.nth
        for one in instead:
            if one.body is not None:
                self.checkers.sent(self.now, one.source or source, target, one.body)
            self.trace(source, f"> {target} {wire_name(body)} {one.octets[: frames.SEAL_BYTES].hex()}")
            self.carry(frame.nth, one.source or source, target, one.octets, after_ms + one.later_ms)

    def carry(self, nth: int, source: str, target: str, octets: bytes, later_ms: float) -> None:
        link, chance = self.link(source, target), self.chance(source, target)
        times = 1 + (chance.random() < link.double)
        lost, late = chance.random() < link.lossy, chance.random() < link.late
        reader, connection = self.parties.get(target), self.connection(source, target)
        if link.cuts or lost or reader is None or connection is None:
            return self.trace(source, f"lost to {target}")
        parcel = Parcel(nth, source, octets, reader.life, connection)
        for _ in range(times):
            took = chance.uniform(link.least_ms, link.most_ms) + (link.late_ms * chance.random() if late else 0.0)
            self.at(self.now + took + later_ms, target, "frame", parcel)

    def connection(self, source: str, target: str) -> int | None:
        """Clients dial and keepers answer on what stands; keepers dial each other without an end."""
        sender, reader = self.parties[source], self.parties[target]
        if sender.keeps and reader.keeps:
            return 0
        if not sender.keeps:
            return sender.connection
        line = self.lines.get((source, target), 0)
        return line if line > 0 else None

    def arrive(self, target: str, parcel: Parcel) -> None:
        party, source = self.parties[target], parcel.source
        if not party.up or party.life != parcel.life:
            return self.unheard(target, parcel)
        if party.stopped:
            party.waiting.append(parcel)
            return
        if self.link(source, target).cuts or not self.stands(party, parcel):
            return
        try:
            frame = frames.open_frame(KEY, GROUP, target, parcel.octets)
            self.may(frame, party, source)
        except InvalidFrameError as error:
            self.refused[error.name] += 1
            self.trace(target, f"refused {error.name}")
            if parcel.nth == self.tampered:
                self.reaction = Reaction(refused=error.name)
            return
        self.checkers.heard(self.now, source, target, frame.body)
        party.frame(parcel.nth, source, frame.body)

    def stands(self, party: Party, parcel: Parcel) -> bool:
        """Whether the parcel's connection is the one that its reader has at present."""
        if not party.keeps:
            return (party.target, party.connection) == (parcel.source, parcel.connection)
        if self.parties[parcel.source].keeps:
            return True
        line = party.name, parcel.source
        known = self.lines.get(line, 0)
        if parcel.connection > abs(known):
            self.lines[line] = parcel.connection
            if known > 0:
                party.event("again", parcel.source)
        return parcel.connection == self.lines[line]

    def may(self, frame: frames.Frame, party: Party, source: str) -> None:
        """As a link does it: a connection has one name, and says only what that name's kind may."""
        may: tuple[type, ...] = messages.REPLICA_MESSAGES if self.parties[source].keeps else messages.CLIENT_MESSAGES
        if not party.keeps:
            may = messages.SERVER_MESSAGES
        if not isinstance(frame.body, may) or frame.source != source:
            raise InvalidFrameError("not its to say", f"{frame.source}: {wire_name(frame.body)}")

    def hung_up(self, keeper: str, client: str, connection: int) -> bool:
        """Whether the end of this connection is that of the one which stands there."""
        if self.lines.get((keeper, client)) != connection:
            return False
        self.lines[keeper, client] = -connection
        return True

    def unheard(self, target: str, parcel: Parcel) -> None:
        """Nobody listens there, or somebody new: who dialled is told so."""
        sender = self.parties[parcel.source]
        if sender.up and not sender.keeps:
            self.at(self.now + 1.0, parcel.source, "lost", (target, parcel.connection))

    # --- faults ---

    def plan(self, faults: Sequence[Fault]) -> None:
        for one in faults:
            self.at(one.at_ms, "", "fault", one)

    def named(self, fault: Fault) -> tuple[str, ...]:
        """Whom it touches. Who leads is as the links saw it when the fault began, also at its end."""
        if fault not in self.met:
            leader = self.checkers.leader or min(self.parties)
            self.met[fault] = tuple(leader if one == LEADER else one for one in fault.who)
        return self.met[fault]

    def ways(self, fault: Fault) -> list[Link]:
        ways = [(one, two) for one in self.named(fault) for two in fault.other if one != two]
        if fault.kind == "halves":
            ways += [(two, one) for one, two in ways]
        return [self.link(*way) for way in ways]

    def begin(self, fault: Fault) -> None:
        self.trace("", fault.text())
        for link in self.ways(fault):
            match fault.kind:
                case "cut" | "halves":
                    link.cuts += 1
                case "slow":
                    link.most_ms += fault.size
                case "lossy":
                    link.lossy += fault.size / 100.0
                case "doubles":
                    link.double, link.late = 0.5, 0.5
        for name in self.named(fault):
            if not fault.other:
                self.parties[name].fault(fault)
        if fault.for_ms or fault.kind != "jump":
            self.at(self.now + max(1, fault.for_ms), "", "heal", fault)

    def heal(self, fault: Fault) -> None:
        for link in self.ways(fault):
            match fault.kind:
                case "cut" | "halves":
                    link.cuts -= 1
                case "slow":
                    link.most_ms -= fault.size
                case "lossy":
                    link.lossy -= fault.size / 100.0
                case "doubles":
                    link.double, link.late = DOUBLE, LATE
        for name in self.named(fault):
            if not fault.other:
                self.parties[name].heal(fault)

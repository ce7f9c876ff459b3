"""Keepers' Raft over a network under one virtual clock: delays, drops, doubles, cuts, stops; always checked.

It owns the network's faults and what must hold of every log. It must never look at a real clock or disk.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from brookreach.coordination.protocol.messages import Body
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.raft.membership import decode_members
from brookreach.coordination.raft.node import RaftNode
from brookreach.coordination.raft.types import PendingSave
from brookreach.coordination.storage.memory import InMemoryStorage
from brookreach.coordination.timing import Timing

TIMING = Timing(snapshot_interval_entries=40)
_lists = msgspec.msgpack.Decoder(list[tuple[int, int, bytes]])


class Broken(AssertionError):
    """An invariant did not hold."""


@dataclass
class Node:
    name: str
    disk: InMemoryStorage
    raft: RaftNode = None  # type: ignore[assignment]  # None: it is down
    applied: list[tuple[int, int, bytes]] = field(default_factory=list)  # index, term, octets
    asked: dict[int, int] = field(default_factory=dict)  # ticket: the place committed when it was asked
    reads: list[int] = field(default_factory=list)
    led: int = 0  # the last term it was seen to lead


class Net:
    def __init__(self, seed: int, names: str = "abc", timing: Timing = TIMING, loss: float = 0.0, most_ms: float = 4.0):
        self.chance, self.timing = random.Random(seed), timing
        self.loss, self.most_ms, self.now, self.count = loss, most_ms, 0.0, 0
        self.queue: list[tuple[float, int, str, str, Body]] = []
        self.cuts: set[tuple[str, str]] = set()
        self.stopped: dict[str, list[tuple[str, Body]]] = {}  # who stands still: what waits for it
        self.truth: list[tuple[int, int, bytes]] = []  # what any keeper applied, by place
        self.members = tuple(names)  # as of the last of these
        self.entries: dict[tuple[int, int], tuple[int, bytes]] = {}  # place and term: the term before, octets
        self.leaders: dict[int, str] = {}
        self.crash_in_save = ""  # "before" or "after": the next save is the keeper's last act
        self.kinds: Counter[str] = Counter()  # messages by kind
        self.change: Callable[[Body], Body] = lambda body: body
        self.nodes = {name: Node(name, InMemoryStorage(tuple(names))) for name in names}
        for name in names:
            self.start(name)

    # --- keepers ---

    def start(self, name: str) -> None:
        node, kept = self.nodes[name], self.nodes[name].disk.load()
        node.raft = RaftNode(name, kept, (), self.timing, random.Random(self.chance.random()))
        node.applied = []
        node.asked.clear()
        node.raft.tick(self.now)

    def stop(self, name: str) -> None:
        self.nodes[name].raft = None  # type: ignore[assignment]

    def stand_still(self, name: str) -> None:
        """As by SIGSTOP: it hears and says nothing, and what comes for it waits in its sockets."""
        self.stopped[name] = []

    def go_on(self, name: str) -> None:
        for source, body in self.stopped.pop(name):
            self.count += 1
            heapq.heappush(self.queue, (self.now, self.count, source, name, body))

    def up(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.raft]

    def leader(self) -> Node | None:
        leads = [node for node in self.up() if node.raft.is_leader]
        return max(leads, key=lambda node: node.raft.term, default=None)

    def cut(self, *pairs: str) -> None:
        """ "ab": what a says does not come to b."""
        self.cuts |= {(pair[0], pair[1]) for pair in pairs}

    def apart(self, name: str) -> None:
        self.cut(*(name + other for other in self.nodes), *(other + name for other in self.nodes))

    # --- steps ---

    def send(self, source: str, target: str, body: Body) -> None:
        self.kinds[wire_name(body)] += 1
        body = self.change(body)
        if (source, target) in self.cuts or self.chance.random() < self.loss:
            return
        for _ in range(2 if self.chance.random() < self.loss / 2 else 1):
            self.count += 1
            at = self.now + self.chance.random() * self.most_ms
            heapq.heappush(self.queue, (at, self.count, source, target, body))

    def step(self) -> None:
        """The next message or time-out, whichever is first."""
        goes = [node for node in self.up() if node.name not in self.stopped]
        waits = [(max(self.now, node.raft.next_wakeup_ms()), node) for node in goes]
        node: Node | None
        at, node = min(waits, key=lambda one: one[0], default=(self.now + 1.0, None))
        if self.queue and self.queue[0][0] <= at:
            at, _, source, target, body = heapq.heappop(self.queue)
            self.now, node = max(self.now, at), self.nodes[target]
            if target in self.stopped:
                return self.stopped[target].append((source, body))
            if node.raft:
                node.raft.handle_message(self.now, source, body)
        else:
            self.now = at
            if node:
                node.raft.tick(at)
        if node and node.raft:
            self.drain(node)

    def drain(self, node: Node) -> None:
        raft = node.raft
        while True:
            self.check(node)
            ready = raft.ready()
            if ready.save:
                if self.crash_in_save == "before":
                    self.crash_in_save = ""
                    return self.stop(node.name)
                self._saved(node, ready.save)
                raft.on_saved(self.now)
                if self.crash_in_save == "after":
                    self.crash_in_save = ""
                    return self.stop(node.name)
            for target, body in ready.send:
                self.send(node.name, target, body)
            if ready.restore:
                node.applied = _lists.decode(ready.restore.data)
                self._agree(node, node.applied)
            for entry in ready.apply:
                one = (entry.index, entry.term, entry.octets)
                if entry.index != len(node.applied) + 1:
                    raise Broken(f"{node.name} applies {entry.index} after {len(node.applied)}")
                node.applied.append(one)
                self._agree(node, [one])
            for read in ready.reads:
                place, known = read.index, node.asked.pop(read.ticket)
                if place < known or len(node.applied) < place:
                    raise Broken(f"a read at {place} asked when {known} was committed")
                node.reads.append(place)
            if not (ready.save or ready.send or ready.apply or ready.reads or ready.restore):
                break
        if len(node.applied) - raft.state.snapshot.index >= self.timing.snapshot_interval_entries:
            raft.compact_log(len(node.applied), msgspec.msgpack.encode(node.applied))
            self.drain(node)

    def run(self, ms: float) -> Net:
        until = self.now + ms
        while self.now < until:
            self.step()
        return self

    def settle(self, ms: float = 5000.0) -> Node:
        """Until somebody leads and its first entry is committed."""
        until = self.now + ms
        while self.now < until:
            self.step()
            one = self.leader()
            if one and one.raft.replication and one.raft.commit_index >= one.raft.replication.first_index:
                return one
        raise Broken(f"no leader in {ms} ms")

    def propose(self, octets: bytes) -> int | None:
        one = self.leader()
        if one is None:
            return None
        place = one.raft.propose(self.now, octets)
        self.drain(one)
        return place

    def read(self, node: Node) -> int:
        ticket = node.raft.request_read(self.now)
        if ticket:
            node.asked[ticket] = len(self.truth)
            self.drain(node)
        return ticket

    # --- what must hold ---

    def _saved(self, node: Node, save: PendingSave) -> None:
        disk = node.disk
        disk.save(save)
        base, place = disk.snapshot.index, save.truncate_after
        term = disk.entries[place - base - 1].term if place > base else disk.snapshot.term
        for entry in save.entries:
            if entry.index - 1 >= max(base, place):
                same = self.entries.setdefault((entry.index, entry.term), (term, entry.octets))
                if same != (term, entry.octets):
                    raise Broken(f"two logs differ before place {entry.index} of term {entry.term}")
            term = entry.term

    def _agree(self, node: Node, applied: list[tuple[int, int, bytes]]) -> None:
        for one in applied:
            if one[0] > len(self.truth):
                seats = decode_members(one[2])
                if seats and len(set(self.members) ^ set(seats)) != 1:
                    raise Broken(f"seats go from {self.members} to {seats}")
                self.members = seats or self.members
                self.truth.append(one)
            elif self.truth[one[0] - 1] != one:
                raise Broken(f"{node.name} applies {one}, another {self.truth[one[0] - 1]}")

    def check(self, node: Node) -> None:
        raft = node.raft
        if not raft.is_leader or node.led == raft.term:
            return
        node.led = raft.term
        if self.leaders.setdefault(raft.term, node.name) != node.name:
            raise Broken(f"{node.name} and {self.leaders[raft.term]} lead term {raft.term}")
        log = raft.state.log
        for index, term, _ in self.truth:
            if index > log.base_index and log.term_at(index) != term:
                raise Broken(f"{node.name} leads term {raft.term} without place {index}")

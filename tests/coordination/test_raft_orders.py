"""All orders in which three replicas may receive, miss or suffer something, to a stated depth."""

import copy
import random
import unittest
from dataclasses import dataclass
from typing import Any

from brookreach.coordination.protocol.messages import (
    Body,
)
from brookreach.coordination.raft.node import RaftNode
from brookreach.coordination.raft.node_state import Role
from brookreach.coordination.raft.types import Snapshot, StoredState
from brookreach.coordination.timing import Timing

NAMES = ("a", "b", "c")
TIMING = Timing()
Said = tuple[str, str, Body]


@dataclass(frozen=True)
class World:
    """`left`: time-outs, records and restarts that may still come. A message that is never taken is lost."""

    rafts: tuple[RaftNode, ...]
    said: frozenset[Said]
    left: tuple[int, int, int]
    leaders: tuple[tuple[int, str], ...]  # by term
    truth: tuple[tuple[int, int, bytes], ...]  # what any applied, by place

    def key(self) -> Any:
        return tuple(looks(raft) for raft in self.rafts), self.said, self.left, self.leaders, self.truth


def looks(raft: RaftNode) -> Any:
    state, lead = raft.state, raft.replication
    followers = lead and tuple(
        (
            follower.next_index,
            follower.match_index,
            follower.mode,
            follower.probe_outstanding,
            follower.sent_round,
            follower.answered_round,
            len(follower.in_flight),
        )
        for follower in lead.progress.values()
    )
    return (
        state.term,
        state.voted_for,
        state.role,
        state.leader,
        tuple(state.log.entries),
        state.commit_index,
        state.last_leader_contact_at,
        frozenset(raft.election.votes) if state.role in (Role.PRE_CANDIDATE, Role.CANDIDATE) else None,
        followers,
        lead and lead.round,
    )


class Orders:
    def __init__(self, test: unittest.TestCase):
        self.test = test

    def start(self) -> World:
        rafts = tuple(
            RaftNode(name, StoredState(snapshot=Snapshot(members=NAMES)), (), TIMING, random.Random(1))
            for name in NAMES
        )
        for raft in rafts:
            raft.tick(0.0)
        return World(rafts, frozenset(), (2, 1, 1), (), ())

    def next(self, world: World) -> list[World]:
        """One step further, by each that can come next."""
        found = []
        for one in sorted(world.said, key=repr):
            nth = NAMES.index(one[1])
            found.append(
                self.after(
                    world, nth, world.said - {one}, world.left, lambda raft, o=one: raft.handle_message(0.0, o[0], o[2])
                )
            )
        outs, records, restarts = world.left
        for nth, raft in enumerate(world.rafts):
            if outs and not raft.is_leader:
                found.append(self.after(world, nth, world.said, (outs - 1, records, restarts), time_out))
            if records and raft.is_leader:
                found.append(
                    self.after(world, nth, world.said, (outs, 0, restarts), lambda raft: raft.propose(0.0, b"x"))
                )
            if restarts and raft.term:
                found.append(self.after(world, nth, world.said, (outs, records, 0), None))
        return found

    def after(self, world: World, nth: int, said: frozenset, left: tuple, do: Any) -> World:
        if do is None:
            old = world.rafts[nth].state
            kept = StoredState(old.term, old.voted_for, Snapshot(members=NAMES), tuple(old.log.entries))
            raft = RaftNode(old.name, kept, (), TIMING, random.Random(1))
            raft.tick(0.0)
        else:
            raft = copy.deepcopy(world.rafts[nth])
            do(raft)
        rafts = (*world.rafts[:nth], raft, *world.rafts[nth + 1 :])
        return self.drained(World(rafts, said, left, world.leaders, world.truth), raft)

    def drained(self, world: World, raft: RaftNode) -> World:
        me, said, truth, leaders = raft.state.name, set(world.said), list(world.truth), dict(world.leaders)
        while True:
            if raft.is_leader:
                self.test.assertEqual(leaders.setdefault(raft.term, me), me, "two lead one term")
            ready = raft.ready()
            if not (ready.save or ready.send or ready.apply):
                break
            raft.on_saved(0.0)
            said |= {(me, target, body) for target, body in ready.send}
            for entry in ready.apply:
                if entry.index > len(truth):
                    self.test.assertEqual(entry.index, len(truth) + 1)
                    truth.append((entry.index, entry.term, entry.octets))
                self.test.assertEqual(truth[entry.index - 1], (entry.index, entry.term, entry.octets), "two truths")
        if raft.is_leader and world.leaders != tuple(sorted(leaders.items())):
            for index, term, _ in truth:
                self.test.assertEqual(raft.state.log.term_at(index), term, "leads without what is committed")
        return World(world.rafts, frozenset(said), world.left, tuple(sorted(leaders.items())), tuple(truth))


def time_out(raft: RaftNode) -> None:
    raft.state.leader, raft.state.election_due = "", raft.state.now  # it has heard nothing for long
    raft.tick(raft.state.now)


def explore(test: unittest.TestCase, world: World, depth: int) -> tuple[int, int]:
    """How many different worlds there are within this many steps, and in how many of them something is committed."""
    orders, seen, edge = Orders(test), {world.key()}, [world]
    committed = 0
    for _ in range(depth):
        further = []
        for one in edge:
            for other in orders.next(one):
                key = other.key()
                if key not in seen:
                    seen.add(key)
                    further.append(other)
                    committed += bool(other.truth)
        edge = further
    return len(seen), committed


class AllOrders(unittest.TestCase):
    def test_from_the_start(self) -> None:
        worlds, _ = explore(self, Orders(self).start(), 7)  # 4,231 worlds
        self.assertGreater(worlds, 4000)

    def test_from_an_elected_leader(self) -> None:
        world, orders = Orders(self).start(), Orders(self)
        world = orders.after(world, 0, world.said, world.left, time_out)
        while world.said:  # all that is said is heard at once
            one = min(world.said, key=repr)
            world = orders.after(
                world,
                NAMES.index(one[1]),
                world.said - {one},
                world.left,
                lambda raft, o=one: raft.handle_message(0.0, o[0], o[2]),
            )
        self.assertTrue(world.rafts[0].is_leader)
        worlds, committed = explore(self, world, 6)  # 3,086 worlds
        self.assertGreater(worlds, 3000)
        self.assertGreater(committed, 3000)

"""All orders of what 3 keepers may hear, miss or suffer, to a stated depth; and what one keeper by itself must do."""

import copy
import random
import unittest
from dataclasses import dataclass
from typing import Any

from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.messages import (
    AppendEntries,
    AppendEntriesReply,
    Body,
    Entry,
    RequestVote,
    RequestVoteReply,
)
from brookreach.coordination.raft import membership
from brookreach.coordination.raft.node import RaftNode
from brookreach.coordination.raft.node_state import Role
from brookreach.coordination.raft.rejection import Rejection
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
    def test_from_the_founding(self) -> None:
        worlds, _ = explore(self, Orders(self).start(), 7)  # 4,231 worlds
        self.assertGreater(worlds, 4000)

    def test_from_a_leader_elected(self) -> None:
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


class OneKeeper(unittest.TestCase):
    def raft(self, members: tuple[str, ...] = NAMES, **stored: Any) -> RaftNode:
        raft = RaftNode("a", StoredState(snapshot=Snapshot(members=members), **stored), (), TIMING, random.Random(1))
        raft.tick(0.0)
        return raft

    def leader(self, **stored: Any) -> RaftNode:
        """Elected in the term after `stored`'s, nothing of that answered yet."""
        raft = self.raft(**stored)
        raft.tick(1000.0)
        for trial in (True, False):
            raft.ready()
            raft.on_saved(1000.0)
            raft.handle_message(1000.0, "b", RequestVoteReply(raft.term + trial, trial, True, 0))
        self.assertTrue(raft.is_leader)
        return raft

    def test_entries_of_earlier_terms_are_not_committed_by_counting(self) -> None:
        raft = self.leader(term=3, entries=(Entry(1, 1, b"x"), Entry(2, 2, b"y")))
        raft.ready()
        raft.on_saved(1000.0)
        raft.handle_message(1000.0, "b", AppendEntriesReply(4, True, 2, 0))
        self.assertEqual(raft.commit_index, 0)
        raft.handle_message(1000.0, "b", AppendEntriesReply(4, True, 3, 0))
        self.assertEqual(raft.commit_index, 3)

    def test_own_entry_counts_once_it_is_saved(self) -> None:
        raft = self.leader()
        self.assertEqual(raft.ready().save.entries, [Entry(1, 1, b"")])
        raft.handle_message(1000.0, "b", AppendEntriesReply(1, True, 1, 0))
        self.assertEqual(raft.commit_index, 0)
        self.assertFalse(raft.ready().apply)  # nor is anything handed out meanwhile
        raft.on_saved(1000.0)
        self.assertEqual((raft.commit_index, [one.index for one in raft.ready().apply]), (1, [1]))

    def test_vote_outlives_a_restart_and_counts_once(self) -> None:
        raft = self.raft(term=3, voted_for="b")
        for source, given in (("c", False), ("b", True)):
            raft.handle_message(0.0, source, RequestVote(3, 0, 0, False, False))
            self.assertEqual(raft.ready().send, [(source, RequestVoteReply(3, False, given, 0))])
            raft.on_saved(0.0)
        five = self.raft(members=("a", "b", "c", "d", "e"))
        five.tick(1000.0)
        for source in ("b", "b", "z"):
            five.handle_message(1000.0, source, RequestVoteReply(1, True, True, 0))
        self.assertEqual((five.term, five.rejections), (0, {Rejection.NOT_A_MEMBER: 1}))
        five.handle_message(1000.0, "c", RequestVoteReply(1, True, True, 0))
        self.assertEqual(five.term, 1)

    def test_seats_are_undone_with_their_entry(self) -> None:
        raft = self.raft()
        four = Entry(1, 1, membership.encode_members(("a", "b", "c", "d"), 0))
        raft.handle_message(0.0, "b", AppendEntries(1, 0, 0, 0, 1, (four,)))
        self.assertEqual(raft.members, ("a", "b", "c", "d"))
        raft.handle_message(0.0, "c", AppendEntries(2, 0, 0, 0, 1, (Entry(1, 2, b""),)))
        self.assertEqual(raft.members, NAMES)

    def test_what_no_leader_can_say_is_refused_whole(self) -> None:
        raft = self.raft(term=2, entries=(Entry(1, 1, b"x"), Entry(2, 2, b"y")))
        raft.handle_message(0.0, "b", AppendEntries(2, 2, 2, 1, 1, ()))
        bad = membership.encode_members(("a", "b"), 0)[:-1] + b"!"
        cases: tuple[tuple[str, Body, Rejection | None], ...] = (
            ("b", AppendEntries(2, 2, 2, 2, 2, (Entry(4, 2, b"z"),)), Rejection.GAP_IN_ENTRIES),
            ("b", AppendEntries(2, 2, 2, 2, 2, (Entry(3, 1, b"z"),)), Rejection.DECREASING_TERMS),
            ("b", AppendEntries(2, 2, 2, 2, 2, (Entry(3, 3, b"z"),)), Rejection.ENTRY_TERM_AHEAD),
            ("b", AppendEntries(2, 0, 1, 2, 2, ()), Rejection.IMPLAUSIBLE_PREVIOUS_ENTRY),
            ("b", AppendEntries(2, 0, 0, 2, 2, (Entry(1, 2, b"z"),)), Rejection.CONFLICTS_WITH_COMMITTED),
            ("b", AppendEntries(2, 2, 2, 2, 2, (Entry(3, 2, bad),)), Rejection.UNREADABLE_MEMBERSHIP),
            ("c", AppendEntries(2, 2, 2, 2, 2, ()), Rejection.SECOND_LEADER),
            ("c", messages.TimeoutNow(2), Rejection.NOT_THE_LEADER),
            ("b", messages.InstallSnapshot(2, 9, 3, 0, True, 1, b"z"), Rejection.IMPLAUSIBLE_SNAPSHOT),
            ("b", messages.InstallSnapshot(2, 9, 2, 0, True, 1, b"z"), Rejection.SNAPSHOT_CORRUPT),
            ("b", RequestVoteReply(2, False, True, 0), None),
            ("b", RequestVoteReply(9, False, True, 0), Rejection.UNSOLICITED_VOTE),
            ("b", RequestVote(3, 9, 3, False, True), Rejection.IMPLAUSIBLE_LOG),
            ("b", RequestVote(1 << 53, 9, 2, False, True), Rejection.IMPLAUSIBLE_TERM),
            ("b", messages.CloseSession(1), Rejection.NOT_A_REPLICA_MESSAGE),
            ("a", messages.TimeoutNow(2), Rejection.FROM_SELF),
        )
        for source, message, reason in cases:
            raft.rejections.clear()
            raft.handle_message(0.0, source, message)
            self.assertEqual(dict(raft.rejections), {reason: 1} if reason else {}, message)
            self.assertEqual((raft.term, raft.commit_index, raft.state.log.last_index), (2, 1, 2), message)

"""Raft: the hard cases one by one, on a simulated network."""

import random
import unittest

from brookreach.coordination.errors import StorageError
from brookreach.coordination.protocol import frames, messages
from brookreach.coordination.raft import membership
from brookreach.coordination.raft.node import RaftNode
from brookreach.coordination.raft.rejection import Rejection
from brookreach.coordination.raft.types import Snapshot, StoredState
from brookreach.coordination.storage.memory import InMemoryStorage
from brookreach.coordination.timing import Timing
from brookreach.model.raftnet import TIMING, Net, Node


class Elections(unittest.TestCase):
    def test_leader_that_crashes_around_its_save(self) -> None:
        for when in ("before", "after"):
            net = Net(1)
            old = net.settle()
            net.crash_in_save = when
            net.propose(b"kept or not")
            self.assertIsNone(old.raft)
            new = net.settle()
            self.assertNotEqual(new.name, old.name)
            net.start(old.name)
            net.run(500.0)
            self.assertEqual(old.applied, net.truth)
            self.assertNotIn(b"kept or not", [one[2] for one in net.truth])  # nobody had heard of it

    def test_entry_on_a_majority_survives_its_leader(self) -> None:
        net = Net(2)
        old = net.settle()
        net.cut(*(one + old.name for one in "abc"))  # the answers don't come
        net.propose(b"held by all")
        net.run(20.0)
        net.stop(old.name)
        net.cuts.clear()
        net.settle()
        self.assertIn(b"held by all", [one[2] for one in net.truth])

    def test_one_way_cuts_do_not_end_a_live_leader(self) -> None:
        for hears in (True, False):
            net = Net(3)
            old = net.settle()
            term = old.raft.term
            lost = next(one for one in "abc" if one != old.name)
            net.cut(*((lost + one) if hears else (one + lost) for one in "abc"))
            net.run(5000.0)
            self.assertTrue(old.raft.is_leader)
            self.assertEqual((old.raft.term, net.nodes[lost].raft.term), (term, term))
            net.cuts.clear()
            net.run(1000.0)
            self.assertEqual((old.raft.is_leader, old.raft.term), (True, term))

    def test_leader_without_answers_steps_down(self) -> None:
        net = Net(4)
        old = net.settle()
        net.cut(*(one + old.name for one in "abc"))
        net.run(TIMING.election_timeout_ms + 2 * TIMING.heartbeat_ms)
        self.assertFalse(old.raft.is_leader)
        net.cuts.clear()
        net.apart(old.name)
        self.assertNotEqual(net.run(1500.0).settle().name, old.name)

    def test_leadership_transfer_loses_nothing_and_is_fast(self) -> None:
        net = Net(5)
        old = net.settle()
        for nth in range(50):
            net.propose(b"%d" % nth)
        self.assertTrue(old.raft.transfer_leadership(net.now))
        self.assertIsNone(old.raft.propose(net.now, b"too late"))
        net.drain(old)
        before = net.now
        while net.leader() in (None, old):
            net.step()
        self.assertLess(net.now - before, TIMING.election_timeout_ms / 2)
        net.settle()
        self.assertEqual(sum(len(one[2]) > 0 for one in net.truth), 50)

    def test_low_median_of_the_voters_clocks(self) -> None:
        net = Net(6, "abcde")
        for nth, name in enumerate("abcde"):
            net.nodes[name].raft.wall_ms = 1000 * (nth + 1)
        low = net.settle().raft.low_median_wall_ms
        self.assertIn(low, (1000, 2000, 3000, 4000))


class MembershipChanges(unittest.TestCase):
    def test_one_at_a_time_and_none_before_the_last_is_committed(self) -> None:
        net = Net(7)
        one = net.settle().raft
        self.assertIsNone(one.change_members(net.now, ("a",)))
        self.assertIsNone(one.change_members(net.now, ("a", "b", "c", "d", "e")))
        self.assertIsNotNone(one.change_members(net.now, ("a", "b", "c", "d")))
        self.assertIsNone(one.change_members(net.now, ("a", "b", "c")))
        self.assertEqual(one.members, ("a", "b", "c", "d"))

    def test_new_member_joins_by_snapshot_and_removed_leader_steps_down(self) -> None:
        net = Net(8)
        old = net.settle()
        for nth in range(1200):
            net.propose(b"%d" % nth)
            if nth % 100 == 0:
                net.run(30.0)
        net.run(200.0)
        self.assertGreater(old.raft.state.log.base_index, 0)
        net.nodes["d"] = Node("d", InMemoryStorage(("a", "b", "c")))
        net.start("d")
        self.assertIsNotNone(old.raft.change_members(net.now, ("a", "b", "c", "d")))
        net.run(300.0)
        self.assertEqual(net.nodes["d"].applied, net.truth)
        self.assertEqual(net.nodes["d"].raft.members, ("a", "b", "c", "d"))
        rest = tuple(one for one in "abcd" if one != old.name)
        self.assertIsNotNone(old.raft.change_members(net.now, rest))
        net.drain(old)
        new = net.run(1000.0).settle()
        self.assertNotEqual(new.name, old.name)
        term = new.raft.term
        net.run(3000.0)
        self.assertEqual((new.raft.term, new.raft.members, old.raft.is_leader), (term, rest, False))

    def test_emptied_storage_takes_part_in_nothing(self) -> None:
        net = Net(9)
        one = net.settle()
        lost = next(name for name in "abc" if name != one.name)
        net.nodes[lost].disk = InMemoryStorage()
        net.start(lost)
        self.assertTrue(net.nodes[lost].raft.is_uninitialized)
        net.propose(b"by two")
        net.run(100.0)
        self.assertEqual(net.truth[-1][2], b"by two")
        third = next(name for name in "abc" if name not in (lost, one.name))
        net.stop(third)
        net.propose(b"by one is not enough")
        net.run(2000.0)
        self.assertIsNone(net.leader())
        self.assertEqual((net.truth[-1][2], net.nodes[lost].disk.saves), (b"by two", 0))
        self.assertGreater(net.nodes[lost].raft.rejections[Rejection.UNINITIALIZED], 0)

    def test_bootstrapped_with_other_members_than_configured(self) -> None:
        with self.assertRaisesRegex(
            StorageError, "bootstrapped with the members a, b, c; the configuration names a, b"
        ):
            RaftNode("a", StoredState(snapshot=Snapshot(members=("a", "b", "c"))), ("a", "b"), TIMING, random.Random(1))


class LogsAndSnapshots(unittest.TestCase):
    def behind(self, seed: int, octets: bytes = b"x") -> tuple[Net, Node, Node]:
        """A follower that was cut off while the leader compacted its log."""
        net = Net(seed)
        one = net.settle()
        late = net.nodes[next(name for name in "abc" if name != one.name)]
        net.apart(late.name)
        for nth in range(1500):
            net.propose(octets + b"%d" % nth)
            if nth % 50 == 0:
                net.run(20.0)
        net.run(100.0)
        self.assertGreater(one.raft.state.log.base_index, late.raft.state.log.last_index)
        return net, one, late

    def test_replica_that_was_cut_off_for_long_catches_up(self) -> None:
        net, one, late = self.behind(10)
        term = one.raft.term
        net.cuts.clear()
        net.run(500.0)
        self.assertEqual((late.applied, one.raft.term, one.raft.is_leader), (net.truth, term, True))

    def test_snapshot_transfer_is_resumed_and_replaced(self) -> None:
        net, one, late = self.behind(11, b"y" * 800)
        self.assertGreater(len(one.raft.state.snapshot.data), 3 * messages.MAX_SNAPSHOT_CHUNK_BYTES)
        net.cuts.clear()
        while len(late.raft.follower.snapshot_receiver.received) < messages.MAX_SNAPSHOT_CHUNK_BYTES:
            net.step()
        net.apart(late.name)
        net.run(200.0)
        net.queue.clear()
        held = len(late.raft.follower.snapshot_receiver.received)
        self.assertGreaterEqual(held, messages.MAX_SNAPSHOT_CHUNK_BYTES)
        net.cuts.clear()
        parts = net.kinds["Part"]
        while not late.applied or len(late.applied) < len(net.truth):
            net.step()
        left = len(one.raft.state.snapshot.data) - held
        self.assertLessEqual(net.kinds["Part"] - parts, left // messages.MAX_SNAPSHOT_CHUNK_BYTES + 3)
        net2, one, late = self.behind(12, b"z" * 800)
        net2.cuts.clear()
        while len(late.raft.follower.snapshot_receiver.received) < messages.MAX_SNAPSHOT_CHUNK_BYTES:
            net2.step()
        for nth in range(60):
            net2.propose(b"newer %d" % nth)  # cuts again: a newer snapshot takes the transfer's place
        net2.run(500.0)
        self.assertEqual(late.applied, net2.truth)

    def test_bounds(self) -> None:
        net = Net(13, timing=Timing(max_pending_proposals=10))
        one = net.settle()
        net.apart(one.name)
        places = [one.raft.propose(net.now, b"x") for _ in range(12)]
        self.assertEqual([place is None for place in places], [False] * 10 + [True] * 2)
        self.assertIsNone(one.raft.propose(net.now, b"x" * (messages.MAX_COMMAND_BYTES + 1)))
        self.assertIsNone(one.raft.propose(net.now, membership.encode_members(("a",), 0)))
        big = Net(14)
        one = big.settle()
        for _ in range(40):
            one.raft.propose(big.now, b"x" * messages.MAX_COMMAND_BYTES)
        for _, body in one.raft.ready().send:
            self.assertLess(len(frames.seal_frame(b"k", "g", "a", "b", body)), messages.MAX_FRAME_BYTES)

    def test_read_is_not_answered_by_a_leader_that_was_replaced(self) -> None:
        net = Net(15)
        old = net.settle()
        net.apart(old.name)
        self.assertGreater(net.read(old), 0)
        net.run(250.0)
        self.assertEqual(old.reads, [])
        net.run(2000.0)
        net.cuts.clear()
        net.run(500.0)
        self.assertEqual(old.reads, [])
        new = net.settle()
        net.read(new)
        net.run(50.0)
        self.assertEqual(len(new.reads), 1)

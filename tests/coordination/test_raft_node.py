"""What one Raft node must do by itself, message by message."""

import random
import unittest
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
from brookreach.coordination.raft.rejection import Rejection
from brookreach.coordination.raft.types import Snapshot, StoredState
from brookreach.coordination.timing import Timing

NAMES = ("a", "b", "c")
TIMING = Timing()


class SingleNode(unittest.TestCase):
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

    def test_membership_change_is_undone_with_its_entry(self) -> None:
        raft = self.raft()
        four = Entry(1, 1, membership.encode_members(("a", "b", "c", "d"), 0))
        raft.handle_message(0.0, "b", AppendEntries(1, 0, 0, 0, 1, (four,)))
        self.assertEqual(raft.members, ("a", "b", "c", "d"))
        raft.handle_message(0.0, "c", AppendEntries(2, 0, 0, 0, 1, (Entry(1, 2, b""),)))
        self.assertEqual(raft.members, NAMES)

    def test_implausible_messages_are_rejected_whole(self) -> None:
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

"""A client of the group: leases by its own clock, questions once, a mirror that is never between two states."""

import random
import unittest

import msgspec

from brookreach.coordination.client import events
from brookreach.coordination.client.errors import SessionNotHeldError, TooManyRequestsError
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import RowUpdate
from tests.coordination.client_harness import Group, client, kinds, talk
from tests.coordination.machine_harness import Add, PotRow


class SessionTest(unittest.TestCase):
    def setUp(self):
        self.group, self.one = Group(), client()

    def test_joins_renews_watches_and_is_told(self):
        self.assertEqual(self.one.next_wakeup_ms(), 0.0)
        self.assertEqual(kinds(talk(0.0, self.one, self.group)), ["Join", "Renew", "Watch"])
        self.assertEqual((self.one.require_fencing_token(2969.0), self.one.fencing_token(2970.0)), (1, None))
        self.assertEqual(self.one.next_wakeup_ms(), 1000.0)
        seq = self.one.propose(10.0, "pots", Add("a", 5))
        talk(10.0, self.one, self.group)
        self.assertEqual(self.one.cache.get("pots", "a").amount, 5)
        news = self.one.take_events()
        self.assertEqual(
            [one for one in news if isinstance(one, events.ReplyReceived)], [events.ReplyReceived(seq, True, "", 2)]
        )
        self.assertEqual(news[-1], events.RowsChanged(2, (RowUpdate("pots", "a", PotRow(5, "m1")),), False))
        self.assertEqual(kinds(talk(1000.0, self.one, self.group)), ["Renew"])
        self.assertEqual((self.one.holds_lease(3969.0), self.one.rejections), (True, {}))

    def test_finds_the_leader_by_the_name_it_is_told_and_by_turns(self):
        self.one.advance_time(0.0)
        ((first, _),) = self.one.take_outgoing()
        other = next(one for one in ("k1", "k2", "k3") if one != first)
        self.one.handle_message(1.0, first, messages.RequestRejected(0, "not leader", "", other, 0))
        self.assertEqual(self.one.next_wakeup_ms(), 1.0)
        self.one.advance_time(1.0)
        self.assertEqual(self.one.take_outgoing()[0][0], other)
        self.one.handle_message(
            2.0, other, messages.RequestRejected(0, "not leader", "", first, 0)
        )  # to and fro: with a pause
        self.assertGreater(self.one.next_wakeup_ms(), 20.0)
        tried, pauses, now = set(), [], 2.0
        for _ in range(8):
            pauses.append(self.one.next_wakeup_ms() - now)
            now = self.one.next_wakeup_ms()
            self.one.advance_time(now)
            tried.add(self.one.take_outgoing()[0][0])
            self.one.connection_lost(now)
        self.assertEqual(tried, {"k1", "k2", "k3"})
        self.assertGreater(pauses[-1], 8 * pauses[0])
        self.one.handle_message(now, "k9", messages.SessionOpened(7, 3000, 0))
        self.assertEqual((self.one.session, self.one.rejections["not asked"]), (0, 1))

    def test_stopped_for_longer_than_its_lease_does_nothing_with_it_when_it_wakes(self):
        talk(0.0, self.one, self.group)
        self.one.advance_time(1000.0)
        ((keeper, renew),) = self.one.take_outgoing()
        for now in (3970.0, 9000.0):  # the answer waited in its socket meanwhile
            self.assertFalse(self.one.holds_lease(now))
            self.one.handle_message(now, keeper, messages.KeepAliveReply(renew.seq, 3000, 1000))
            self.assertFalse(self.one.holds_lease(now))
            with self.assertRaises(SessionNotHeldError):
                self.one.require_fencing_token(now)
        self.assertIn(events.SessionLost(1, "its lease ran out"), self.one.take_events())
        self.assertEqual(kinds(message for _, message in self.one.take_outgoing()), ["Leave"])
        talk(self.one.next_wakeup_ms(), self.one, self.group)
        self.assertGreater(self.one.session, 1)

    def test_only_the_answer_to_the_renew_that_is_out_counts_and_only_in_time(self):
        talk(0.0, self.one, self.group)
        self.one.advance_time(1000.0)
        ((keeper, renew),) = self.one.take_outgoing()
        self.one.advance_time(1750.0)  # no answer: another keeper, and a Renew there
        talk(self.one.next_wakeup_ms(), self.one, Group(log=self.group.log))
        until = self.one.next_wakeup_ms() - 1000.0 + 2970.0
        self.one.advance_time(self.one.next_wakeup_ms())
        ((_, again),) = self.one.take_outgoing()
        for message in (renew, again):
            for lease_ms in (0, 299, 30_001):
                self.one.handle_message(2900.0, self.one.replica, messages.KeepAliveReply(message.seq, lease_ms, 1000))
        self.one.handle_message(2900.0, self.one.replica, messages.KeepAliveReply(renew.seq, 3000, 1000))
        self.assertEqual((self.one.holds_lease(until - 1.0), self.one.holds_lease(until)), (True, False))
        self.assertEqual((self.one.rejections["unknown seq"], self.one.rejections["absurd lease"]), (4, 3))
        self.one.handle_message(until, self.one.replica, messages.KeepAliveReply(again.seq, 3000, 1000))
        self.assertFalse(self.one.holds_lease(until))  # once ended, it stays so

    def test_a_longer_lease_than_its_own_is_no_longer(self):
        self.group.hear = lambda now, name, message, hear=self.group.hear: [
            msgspec.structs.replace(one, lease_ms=30_000)
            if isinstance(one, messages.SessionOpened | messages.KeepAliveReply)
            else one
            for one in hear(now, name, message)
        ]
        talk(0.0, self.one, self.group)
        self.assertEqual((self.one.holds_lease(2969.0), self.one.holds_lease(2970.0)), (True, False))

    def test_what_is_not_the_answer_to_its_question_is_none(self):
        talk(0.0, self.one, self.group)
        seq = self.one.propose(1.0, "pots", Add("a", 1))
        self.one.handle_message(2.0, self.one.replica, messages.ProposeReply(1, 1, True, "of an earlier session"))
        self.one.handle_message(2.0, self.one.replica, messages.ProposeReply(2, 9, True, ""))
        self.assertEqual((self.one.rejections["absurd place"], self.one.rejections["unknown seq"]), (1, 1))
        self.one.take_outgoing()
        self.one.connection_lost(3.0)  # it may have been taken; who refuses it now does not know
        self.one.advance_time(self.one.next_wakeup_ms())
        self.one.handle_message(100.0, self.one.replica, messages.SessionOpened(1, 3000, 100))
        self.one.take_events()
        self.one.handle_message(100.0, self.one.replica, messages.RequestRejected(1, "too new", "x", "", 0))
        self.assertEqual(
            self.one.take_events(), [events.SessionLost(1, "too new: x"), events.OutcomeUnknown(seq, "too new: x")]
        )

    def test_what_an_ended_session_asked_is_told_as_unknown_or_not_asked(self):
        talk(0.0, self.one, self.group)
        self.one.propose(1.0, "pots", Add("c", 1))
        talk(1.0, self.one, self.group)
        seqs = [self.one.propose(1.0, "pots", Add(pot, 1)) for pot in "ab"]
        self.one.take_outgoing()
        self.one.advance_time(5000.0)
        news = self.one.take_events()
        self.assertIn(events.OutcomeUnknown(seqs[0], "its lease ran out"), news)
        self.assertIn(events.ReplyReceived(seqs[1], False, "not asked: its lease ran out", 0), news)
        self.group.passed(9000.0)
        talk(9000.0, self.one, self.group)
        self.assertTrue(self.one.holds_lease(9000.0))
        self.assertEqual(self.group.log.amounts(), {})
        self.one.propose(9000.0, "pots", Add("d", 1))
        self.assertEqual([one.seq for one in talk(9000.0, self.one, self.group)], [1])
        self.assertEqual(self.group.log.amounts(), {"d": 1})

    def test_asks_once_whatever_is_lost_and_one_at_a_time(self):
        talk(0.0, self.one, self.group)
        seqs = [self.one.propose(1.0, "pots", Add("a", 1)) for _ in range(3)]
        ((_, ask),) = self.one.take_outgoing()
        self.group.hear(1.0, "m1", ask)  # its answer is lost with the connection
        self.one.connection_lost(2.0)
        said = talk(self.one.next_wakeup_ms(), self.one, self.group)
        self.assertEqual([one.seq for one in said if isinstance(one, messages.ProposeRequest)], [1, 2, 3])
        self.assertEqual(self.group.log.amounts(), {"a": 3})
        answered = [one for one in self.one.take_events() if isinstance(one, events.ReplyReceived)]
        self.assertEqual([one.seq for one in answered], seqs)
        self.assertTrue(all(one.ok for one in answered))

    def test_busy_waits_refused_is_final_and_the_queue_has_a_bound(self):
        one = self.one = client(max_pending=2)
        talk(0.0, one, self.group)
        self.group.busy = True
        one.propose(1.0, "pots", Add("a", 1))
        self.assertEqual(kinds(talk(1.0, one, self.group)), ["Ask"])
        one.propose(2.0, "lamps", Add("a", 1))
        with self.assertRaisesRegex(TooManyRequestsError, "2 questions wait"):
            one.propose(2.0, "pots", Add("a", 1))
        self.assertGreater(one.next_wakeup_ms(), 41.0)
        self.group.busy = False
        one.take_events()
        self.assertEqual([said.seq for said in talk(one.next_wakeup_ms(), one, self.group)], [1, 2, 2])
        self.assertEqual(
            [
                (event.seq, event.ok, event.index)
                for event in one.take_events()
                if isinstance(event, events.ReplyReceived)
            ],
            [(1, True, 2), (2, False, 0)],
        )
        third = one.propose(200.0, "pots", Add("a", 1))
        self.assertEqual(talk(200.0, one, self.group)[0].seq, 2)  # that number was free
        self.assertIn(
            (third, True),
            [(event.seq, event.ok) for event in one.take_events() if isinstance(event, events.ReplyReceived)],
        )

    def test_leaving_ends_it_at_once(self):
        talk(0.0, self.one, self.group)
        self.one.close(5.0)
        self.assertEqual((self.one.holds_lease(5.0), self.one.next_wakeup_ms()), (False, None))
        talk(5.0, self.one, self.group)
        self.assertEqual(self.group.log.machine.sessions(), ())


class ClocksTest(unittest.TestCase):
    def test_no_client_holds_what_the_group_has_ended(self):
        """Clocks apart by the drift allowed, messages late and lost, processes stopped and leaders changed."""
        held = lost = 0
        for seed in range(60):
            chance = random.Random(seed)
            group, one = Group(), client(seed=seed)
            ours, theirs = chance.choice(((1.0, 1.01), (1.01, 1.0), (1.0, 1.0)))
            post, stopped, at = [], 0, 0.0
            for _ in range(1500):
                at += chance.uniform(1.0, 30.0)
                if stopped > 0:
                    stopped -= 1
                elif chance.random() < 0.002:
                    stopped = chance.randrange(20, 400)
                if chance.random() < 0.001:
                    group.leases.reset(at * theirs, group.log.machine.sessions())
                group.passed(at * theirs)
                due = [entry for entry in post if entry[0] <= at]
                post = [entry for entry in post if entry[0] > at]
                for arrives, to, message in due:
                    if to is one and stopped:
                        post.append((arrives, to, message))
                    elif to is one:
                        one.handle_message(at * ours, one.replica, message)
                    else:
                        for answer in group.hear(at * theirs, "m1", message):
                            post += [(at + chance.uniform(1, 400), one, answer)] * chance.choice((0, 1, 1, 1, 1, 2))
                if not stopped:
                    one.advance_time(at * ours)
                    for _, message in one.take_outgoing():
                        post += [(at + chance.uniform(1, 400), group, message)] * chance.choice((0, 1, 1, 1, 1, 2))
                fence = one.fencing_token(at * ours)
                if fence is not None:
                    held += 1
                    self.assertEqual(group.log.machine.holder(fence), "m1", seed)
            lost += sum(isinstance(event, events.SessionLost) for event in one.take_events())
        self.assertGreater(held, 10_000)
        self.assertGreater(lost, 20)

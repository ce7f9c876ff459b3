"""A client: leases by its own clock, requests applied once, and events of what becomes of them."""

import unittest

import msgspec

from brookreach.coordination.client import events
from brookreach.coordination.client.errors import SessionNotHeldError, TooManyRequestsError
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import RowUpdate
from tests.coordination.client_harness import FakeLeader, exchange, make_client, wire_names
from tests.coordination.machine_harness import Add, PotRow


class SessionTest(unittest.TestCase):
    def setUp(self):
        self.leader, self.client = FakeLeader(), make_client()

    def test_opens_a_session_renews_its_lease_and_watches(self):
        self.assertEqual(self.client.next_wakeup_ms(), 0.0)
        self.assertEqual(wire_names(exchange(0.0, self.client, self.leader)), ["Join", "Renew", "Watch"])
        self.assertEqual((self.client.require_fencing_token(2969.0), self.client.fencing_token(2970.0)), (1, None))
        self.assertEqual(self.client.next_wakeup_ms(), 1000.0)
        seq = self.client.propose(10.0, "pots", Add("a", 5))
        exchange(10.0, self.client, self.leader)
        self.assertEqual(self.client.cache.get("pots", "a").amount, 5)
        taken = self.client.take_events()
        self.assertEqual(
            [event for event in taken if isinstance(event, events.ReplyReceived)],
            [events.ReplyReceived(seq, True, "", 2)],
        )
        self.assertEqual(taken[-1], events.RowsChanged(2, (RowUpdate("pots", "a", PotRow(5, "m1")),), False))
        self.assertEqual(wire_names(exchange(1000.0, self.client, self.leader)), ["Renew"])
        self.assertEqual((self.client.holds_lease(3969.0), self.client.rejections), (True, {}))

    def test_finds_the_leader_by_hints_and_in_turn(self):
        self.client.advance_time(0.0)
        ((first, _),) = self.client.take_outgoing()
        other = next(name for name in ("k1", "k2", "k3") if name != first)
        self.client.handle_message(1.0, first, messages.RequestRejected(0, "not leader", "", other, 0))
        self.assertEqual(self.client.next_wakeup_ms(), 1.0)
        self.client.advance_time(1.0)
        self.assertEqual(self.client.take_outgoing()[0][0], other)
        self.client.handle_message(
            2.0, other, messages.RequestRejected(0, "not leader", "", first, 0)
        )  # to and fro: with a pause
        self.assertGreater(self.client.next_wakeup_ms(), 20.0)
        tried, pauses, now = set(), [], 2.0
        for _ in range(8):
            pauses.append(self.client.next_wakeup_ms() - now)
            now = self.client.next_wakeup_ms()
            self.client.advance_time(now)
            tried.add(self.client.take_outgoing()[0][0])
            self.client.connection_lost(now)
        self.assertEqual(tried, {"k1", "k2", "k3"})
        self.assertGreater(pauses[-1], 8 * pauses[0])
        self.client.handle_message(now, "k9", messages.SessionOpened(7, 3000, 0))
        self.assertEqual((self.client.session, self.client.rejections["not asked"]), (0, 1))

    def test_a_process_stopped_past_its_lease_does_not_use_it_afterwards(self):
        exchange(0.0, self.client, self.leader)
        self.client.advance_time(1000.0)
        ((replica, renew),) = self.client.take_outgoing()
        for now in (3970.0, 9000.0):  # the answer waited in its socket meanwhile
            self.assertFalse(self.client.holds_lease(now))
            self.client.handle_message(now, replica, messages.KeepAliveReply(renew.seq, 3000, 1000))
            self.assertFalse(self.client.holds_lease(now))
            with self.assertRaises(SessionNotHeldError):
                self.client.require_fencing_token(now)
        self.assertIn(events.SessionLost(1, "its lease ran out"), self.client.take_events())
        self.assertEqual(wire_names(message for _, message in self.client.take_outgoing()), ["Leave"])
        exchange(self.client.next_wakeup_ms(), self.client, self.leader)
        self.assertGreater(self.client.session, 1)

    def test_only_the_reply_to_the_keep_alive_in_flight_renews_and_only_in_time(self):
        exchange(0.0, self.client, self.leader)
        self.client.advance_time(1000.0)
        ((_, renew),) = self.client.take_outgoing()
        self.client.advance_time(1750.0)  # no answer: another replica, and a Renew there
        exchange(self.client.next_wakeup_ms(), self.client, FakeLeader(log=self.leader.log))
        until = self.client.next_wakeup_ms() - 1000.0 + 2970.0
        self.client.advance_time(self.client.next_wakeup_ms())
        ((_, again),) = self.client.take_outgoing()
        for message in (renew, again):
            for lease_ms in (0, 299, 30_001):
                self.client.handle_message(
                    2900.0, self.client.replica, messages.KeepAliveReply(message.seq, lease_ms, 1000)
                )
        self.client.handle_message(2900.0, self.client.replica, messages.KeepAliveReply(renew.seq, 3000, 1000))
        self.assertEqual((self.client.holds_lease(until - 1.0), self.client.holds_lease(until)), (True, False))
        self.assertEqual((self.client.rejections["unknown seq"], self.client.rejections["absurd lease"]), (4, 3))
        self.client.handle_message(until, self.client.replica, messages.KeepAliveReply(again.seq, 3000, 1000))
        self.assertFalse(self.client.holds_lease(until))  # once ended, it stays so

    def test_a_longer_lease_than_configured_is_cut(self):
        self.leader.handle_message = lambda now, name, message, handle_message=self.leader.handle_message: [
            msgspec.structs.replace(answer, lease_ms=30_000)
            if isinstance(answer, messages.SessionOpened | messages.KeepAliveReply)
            else answer
            for answer in handle_message(now, name, message)
        ]
        exchange(0.0, self.client, self.leader)
        self.assertEqual((self.client.holds_lease(2969.0), self.client.holds_lease(2970.0)), (True, False))

    def test_replies_to_other_requests_are_rejected(self):
        exchange(0.0, self.client, self.leader)
        seq = self.client.propose(1.0, "pots", Add("a", 1))
        self.client.handle_message(2.0, self.client.replica, messages.ProposeReply(1, 1, True, "of an earlier session"))
        self.client.handle_message(2.0, self.client.replica, messages.ProposeReply(2, 9, True, ""))
        self.assertEqual((self.client.rejections["absurd place"], self.client.rejections["unknown seq"]), (1, 1))
        self.client.take_outgoing()
        self.client.connection_lost(3.0)  # it may have been taken; who refuses it now does not know
        self.client.advance_time(self.client.next_wakeup_ms())
        self.client.handle_message(100.0, self.client.replica, messages.SessionOpened(1, 3000, 100))
        self.client.take_events()
        self.client.handle_message(100.0, self.client.replica, messages.RequestRejected(1, "too new", "x", "", 0))
        self.assertEqual(
            self.client.take_events(), [events.SessionLost(1, "too new: x"), events.OutcomeUnknown(seq, "too new: x")]
        )

    def test_requests_of_an_ended_session_are_unknown_or_not_sent(self):
        exchange(0.0, self.client, self.leader)
        self.client.propose(1.0, "pots", Add("c", 1))
        exchange(1.0, self.client, self.leader)
        seqs = [self.client.propose(1.0, "pots", Add(pot, 1)) for pot in "ab"]
        self.client.take_outgoing()
        self.client.advance_time(5000.0)
        taken = self.client.take_events()
        self.assertIn(events.OutcomeUnknown(seqs[0], "its lease ran out"), taken)
        self.assertIn(events.ReplyReceived(seqs[1], False, "not asked: its lease ran out", 0), taken)
        self.leader.advance_time(9000.0)
        exchange(9000.0, self.client, self.leader)
        self.assertTrue(self.client.holds_lease(9000.0))
        self.assertEqual(self.leader.log.amounts(), {})
        self.client.propose(9000.0, "pots", Add("d", 1))
        self.assertEqual([message.seq for message in exchange(9000.0, self.client, self.leader)], [1])
        self.assertEqual(self.leader.log.amounts(), {"d": 1})

    def test_requests_are_applied_once_and_one_at_a_time_whatever_is_lost(self):
        exchange(0.0, self.client, self.leader)
        seqs = [self.client.propose(1.0, "pots", Add("a", 1)) for _ in range(3)]
        ((_, ask),) = self.client.take_outgoing()
        self.leader.handle_message(1.0, "m1", ask)  # its answer is lost with the connection
        self.client.connection_lost(2.0)
        sent = exchange(self.client.next_wakeup_ms(), self.client, self.leader)
        self.assertEqual([message.seq for message in sent if isinstance(message, messages.ProposeRequest)], [1, 2, 3])
        self.assertEqual(self.leader.log.amounts(), {"a": 3})
        answered = [event for event in self.client.take_events() if isinstance(event, events.ReplyReceived)]
        self.assertEqual([event.seq for event in answered], seqs)
        self.assertTrue(all(event.ok for event in answered))

    def test_busy_is_retried_refused_is_final_and_the_queue_is_bounded(self):
        client = self.client = make_client(max_pending=2)
        exchange(0.0, client, self.leader)
        self.leader.busy = True
        client.propose(1.0, "pots", Add("a", 1))
        self.assertEqual(wire_names(exchange(1.0, client, self.leader)), ["Ask"])
        client.propose(2.0, "lamps", Add("a", 1))
        with self.assertRaisesRegex(TooManyRequestsError, "2 requests are pending; 2 are allowed"):
            client.propose(2.0, "pots", Add("a", 1))
        self.assertGreater(client.next_wakeup_ms(), 41.0)
        self.leader.busy = False
        client.take_events()
        self.assertEqual([message.seq for message in exchange(client.next_wakeup_ms(), client, self.leader)], [1, 2, 2])
        self.assertEqual(
            [
                (event.seq, event.ok, event.index)
                for event in client.take_events()
                if isinstance(event, events.ReplyReceived)
            ],
            [(1, True, 2), (2, False, 0)],
        )
        third = client.propose(200.0, "pots", Add("a", 1))
        self.assertEqual(exchange(200.0, client, self.leader)[0].seq, 2)  # that number was free
        self.assertIn(
            (third, True),
            [(event.seq, event.ok) for event in client.take_events() if isinstance(event, events.ReplyReceived)],
        )

    def test_close_ends_the_session_at_once(self):
        exchange(0.0, self.client, self.leader)
        self.client.close(5.0)
        self.assertEqual((self.client.holds_lease(5.0), self.client.next_wakeup_ms()), (False, None))
        exchange(5.0, self.client, self.leader)
        self.assertEqual(self.leader.log.machine.sessions(), ())

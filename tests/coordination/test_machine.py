"""The state machine: equal on every replica, each request applied once, halted rather than guessing."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach.coordination.errors import ReplicaHaltedError
from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.log_record import LogRecord
from brookreach.coordination.state_machine.sessions import SessionEnded, SessionStarted, TimePassed
from tests.coordination.machine_harness import Add, Log, Odd, Take


class MachineTest(unittest.TestCase):
    def setUp(self):
        self.log = Log()
        self.machine = self.log.machine
        self.log.run(SessionStarted("m1", "marshal"), 1000)

    def assert_halts(self, pattern, octets):
        before = self.machine.snapshot()
        with self.assertRaisesRegex(ReplicaHaltedError, pattern):
            self.machine.apply(messages.Entry(self.machine.applied + 1, 1, octets))
        self.assertEqual(self.machine.snapshot(), before)

    def test_a_request_takes_effect_once_and_a_retry_gets_its_answer(self):
        first = self.log.propose("m1", 1, Add("a", 5))
        again = self.log.propose("m1", 1, Add("a", 5))
        self.assertEqual((again.index, again.ok, again.changes, again.rejection), (first.index, True, (), None))
        self.assertEqual(self.log.amounts(), {"a": 5})
        self.assertEqual([change.table for change in first.changes], ["pots"])  # answers are shown to nobody
        rejected = self.log.propose("m1", 2, Take("a", 9))
        self.assertEqual((rejected.ok, rejected.rejection), (False, None))
        self.assertIn("less than 9", rejected.text)
        self.assertEqual(self.log.propose("m1", 2, Take("a", 9)).text, rejected.text)

    def test_numbers_out_of_order_and_ended_sessions_change_nothing(self):
        self.log.propose("m1", 1, Add("a", 5))
        self.log.propose("m1", 2, Add("a", 5))
        before = self.machine.view.digest()
        for seq, command in (
            (1, Add("a", 5)),
            (4, Add("a", 5)),
            (2, Add("a", 6)),
            (0, Add("a", 5)),
            (1 << 53, Add("a", 1)),
        ):
            self.assertEqual(self.log.propose("m1", seq, command).rejection, "out of order")
        for session, client in ((0, "m1"), (2, "m1"), (1, "m2")):
            self.assertEqual(self.log.propose(client, 3, Add("a", 5), session=session).rejection, "no session")
        self.assertEqual(self.log.propose("m1", 3, TimePassed(), application="fleet").rejection, "refused")
        self.assertEqual(self.machine.view.digest(), before)
        self.assertTrue(self.log.propose("m1", 3, Add("a", 5)).ok)

    def test_a_new_session_of_a_client_ends_the_older_one_and_its_rows(self):
        self.log.propose("m1", 1, Add("a", 5))
        started = self.log.run(SessionStarted("m1", "operator"))
        self.assertEqual(self.log.amounts(), {})
        self.assertEqual(
            (self.machine.session("m1"), self.machine.holder(1), self.machine.sessions()),
            (started.index, "", (started.index,)),
        )
        self.assertEqual(self.log.propose("m1", 2, Add("a", 5), session=1).rejection, "no session")
        self.assertTrue(self.log.propose("m1", 1, Add("b", 5)).ok)
        ended = self.log.run(SessionEnded(started.index, "silent"))
        self.assertEqual({change.table for change in ended.changes}, {"pots", "sessions"})
        self.assertEqual(self.machine.sessions(), ())
        self.assertEqual(self.log.run(SessionEnded(started.index, "silent")).rejection, "no session")

    def test_agreed_time_never_goes_back_and_runs_timers(self):
        self.log.propose("m1", 1, Add("a", 1, 500), at_ms=2000)
        self.log.propose("m1", 2, Add("b", 1, 900), at_ms=1500)
        self.assertEqual((self.machine.at_ms, self.machine.next_timer_ms()), (2000, 2500))
        self.log.run(TimePassed(), 2499)
        self.assertEqual(self.log.amounts(), {"a": 1, "b": 1})
        self.log.run(TimePassed(), 2500)
        self.assertEqual((self.log.amounts(), self.machine.next_timer_ms()), ({"b": 1}, 2900))
        self.assertEqual(self.machine.view.get("lids", "pots").amount, 1)  # lids saw what pots had done

    def test_halts_with_a_clear_text_instead_of_skipping(self):
        def record(application="pots", version=1, body=b"\x80"):
            return msgspec.msgpack.encode(LogRecord(application, version, 5000, "", "", 0, 0, body))

        def misbehaving(what):
            return record(body=msgspec.msgpack.encode(Odd(what)))

        for pattern, octets in (
            ("application 'lamps'; known are fleet, pots", record("lamps")),
            ("pots has version 2; 1 to 1 are read", record(version=2)),
            ("version 0", record(version=0)),
            ("version 1, can't be decoded", record()),
            ("can't be read", b"\xc1"),
            ("ZeroDivisionError", misbehaving("raise")),
            ("may not write table 'lids'", misbehaving("stray")),
            ("no PotRow", misbehaving("float")),
        ):
            self.assert_halts(pattern, octets)
        with self.assertRaisesRegex(ReplicaHaltedError, "entry 7 of the log follows 1"):
            self.machine.apply(messages.Entry(7, 1, b""))
        self.assertEqual(self.machine.next_timer_ms(), None)

    def test_a_row_too_large_for_a_message_is_rejected_and_others_are_stored_as_decoded(self):
        self.assertIn("65536 are allowed", self.log.propose("m1", 1, Odd("large")).text)
        self.assertEqual(self.log.amounts(), {})
        self.assertIn("200 are allowed", self.log.propose("m1", 2, Add("k" * 201, 1)).text)
        self.log.propose("m1", 3, Odd("list"))
        self.assertEqual(self.machine.view.get("pots", "l").notes, ("a",))  # as a restored copy has it

    @given(
        st.binary(max_size=40)
        | st.builds(
            lambda key, amount: msgspec.msgpack.encode(Add(key, amount)),
            st.text(max_size=300),
            st.integers(-(1 << 63), 1 << 63),
        ),
        st.integers(0, 3),
        st.sampled_from(("pots", "lids", "fleet", "seats", "lamps")),
    )
    @settings(max_examples=150, deadline=None, derandomize=True)
    def test_what_check_proposal_accepts_never_halts(self, body, version, application):
        log = Log()
        log.run(SessionStarted("m1", "marshal"))
        rejection = log.machine.check_proposal(application, version, body)
        if rejection is None:
            log.propose("m1", 1, body, application=application, version=version)
        else:
            self.assertIn(rejection.reason, ("refused", "too new"))

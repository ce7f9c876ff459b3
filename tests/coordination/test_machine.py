"""The agreed state: the same on every process, once per question, halted rather than guessed."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach.coordination.errors import ReplicaHaltedError
from brookreach.coordination.ports import LogRecord
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.sessions import SessionEnded, SessionStarted, TimePassed
from tests.coordination.machine_harness import Add, Log, Odd, Take


class MachineTest(unittest.TestCase):
    def setUp(self):
        self.log = Log()
        self.machine = self.log.machine
        self.log.own(SessionStarted("m1", "marshal"), 1000)

    def halts(self, word, octets, machine=None):
        machine = machine or self.machine
        before = machine.snapshot()
        with self.assertRaisesRegex(ReplicaHaltedError, word):
            machine.apply(messages.Entry(machine.applied + 1, 1, octets))
        self.assertEqual(machine.snapshot(), before)

    def test_a_question_has_its_effect_once_and_its_answer_again(self):
        first = self.log.ask("m1", 1, Add("a", 5))
        again = self.log.ask("m1", 1, Add("a", 5))
        self.assertEqual((again.index, again.ok, again.changes, again.rejection), (first.index, True, (), None))
        self.assertEqual(self.log.pots(), {"a": 5})
        self.assertEqual([one.table for one in first.changes], ["pots"])  # answers are told to nobody
        refused = self.log.ask("m1", 2, Take("a", 9))
        self.assertEqual((refused.ok, refused.rejection), (False, None))
        self.assertIn("less than 9", refused.text)
        self.assertEqual(self.log.ask("m1", 2, Take("a", 9)).text, refused.text)

    def test_numbers_out_of_order_and_ended_sessions_change_nothing(self):
        self.log.ask("m1", 1, Add("a", 5))
        self.log.ask("m1", 2, Add("a", 5))
        before = self.machine.view.digest()
        for seq, order in (
            (1, Add("a", 5)),
            (4, Add("a", 5)),
            (2, Add("a", 6)),
            (0, Add("a", 5)),
            (1 << 53, Add("a", 1)),
        ):
            self.assertEqual(self.log.ask("m1", seq, order).rejection, "out of order")
        for session, client in ((0, "m1"), (2, "m1"), (1, "m2")):
            self.assertEqual(self.log.ask(client, 3, Add("a", 5), session=session).rejection, "no session")
        self.assertEqual(self.log.ask("m1", 3, TimePassed(), piece="fleet").rejection, "refused")
        self.assertEqual(self.machine.view.digest(), before)
        self.assertTrue(self.log.ask("m1", 3, Add("a", 5)).ok)

    def test_a_new_session_of_a_name_ends_the_older_with_what_hung_on_it(self):
        self.log.ask("m1", 1, Add("a", 5))
        began = self.log.own(SessionStarted("m1", "operator"))
        self.assertEqual(self.log.pots(), {})
        self.assertEqual(
            (self.machine.session("m1"), self.machine.holder(1), self.machine.sessions()),
            (began.index, "", (began.index,)),
        )
        self.assertEqual(self.log.ask("m1", 2, Add("a", 5), session=1).rejection, "no session")
        self.assertTrue(self.log.ask("m1", 1, Add("b", 5)).ok)
        ended = self.log.own(SessionEnded(began.index, "silent"))
        self.assertEqual({one.table for one in ended.changes}, {"pots", "sessions"})
        self.assertEqual(self.machine.sessions(), ())
        self.assertEqual(self.log.own(SessionEnded(began.index, "silent")).rejection, "no session")

    def test_agreed_time_never_goes_back_and_alone_changes_things(self):
        self.log.ask("m1", 1, Add("a", 1, 500), at_ms=2000)
        self.log.ask("m1", 2, Add("b", 1, 900), at_ms=1500)
        self.assertEqual((self.machine.at_ms, self.machine.next_timer_ms()), (2000, 2500))
        self.log.own(TimePassed(), 2499)
        self.assertEqual(self.log.pots(), {"a": 1, "b": 1})
        self.log.own(TimePassed(), 2500)
        self.assertEqual((self.log.pots(), self.machine.next_timer_ms()), ({"b": 1}, 2900))
        self.assertEqual(self.machine.view.get("lids", "pots").amount, 1)  # lids saw what pots had done

    def test_halts_with_a_clear_word_instead_of_skipping(self):
        def stamped(piece="pots", version=1, body=b"\x80"):
            return msgspec.msgpack.encode(LogRecord(piece, version, 5000, "", "", 0, 0, body))

        def odd(what):
            return stamped(body=msgspec.msgpack.encode(Odd(what)))

        for word, octets in (
            ("piece 'lamps'; known are fleet, pots", stamped("lamps")),
            ("pots has version 2; 1 to 1 are read", stamped(version=2)),
            ("version 0", stamped(version=0)),
            ("version 1, is none", stamped()),
            ("can't be read", b"\xc1"),
            ("ZeroDivisionError", odd("raise")),
            ("may not write table 'lids'", odd("stray")),
            ("no PotRow", odd("float")),
        ):
            self.halts(word, octets)
        with self.assertRaisesRegex(ReplicaHaltedError, "place 7 of the log follows 1"):
            self.machine.apply(messages.Entry(7, 1, b""))
        self.assertEqual(self.machine.next_timer_ms(), None)

    def test_what_is_too_large_for_a_message_is_refused_and_what_reads_back_stands(self):
        self.assertIn("65536 are allowed", self.log.ask("m1", 1, Odd("large")).text)
        self.assertEqual(self.log.pots(), {})
        self.assertIn("200 are allowed", self.log.ask("m1", 2, Add("k" * 201, 1)).text)
        self.log.ask("m1", 3, Odd("list"))
        self.assertEqual(self.machine.view.get("pots", "l").notes, ("a",))  # as a restored copy has it

    @given(
        st.binary(max_size=40)
        | st.builds(
            lambda key, n: msgspec.msgpack.encode(Add(key, n)), st.text(max_size=300), st.integers(-(1 << 63), 1 << 63)
        ),
        st.integers(0, 3),
        st.sampled_from(("pots", "lids", "fleet", "seats", "lamps")),
    )
    @settings(max_examples=150, deadline=None, derandomize=True)
    def test_what_misfit_lets_through_never_halts(self, body, version, piece):
        log = Log()
        log.own(SessionStarted("m1", "marshal"))
        misfit = log.machine.check_proposal(piece, version, body)
        if misfit is None:
            log.ask("m1", 1, body, piece=piece, version=version)
        else:
            self.assertIn(misfit[0], ("refused", "too new"))

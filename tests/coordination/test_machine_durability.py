"""What lasts of the agreed state: versions of records beside each other, snapshots; and the leader's leases."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach.coordination.errors import ReplicaHaltedError
from brookreach.coordination.state_machine.application import Command, RowUpdate
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.state_machine.sessions import SessionLeases, SessionStarted
from brookreach.coordination.timing import Timing
from tests.coordination.machine_harness import Add, Lids, Log, Odd, PotRow, Pots, Take, play, steps


class Add2(Command, tag="Add"):
    pot: str
    amount: int
    lasts_ms: int = 0
    note: str = ""


class PotRow2(PotRow):
    lid: bool = False


class Pots2(Pots):
    version, commands, tables = 2, Add2 | Take | Odd, {"pots": PotRow2}

    def apply(self, view, order, context):
        if not isinstance(order, Add2):
            return super().apply(view, order, context)
        held = view.get("pots", order.pot)
        return [
            RowUpdate(
                "pots",
                order.pot,
                PotRow2(
                    order.amount + (held.amount if held else 0), context.client, 0, (order.note,) if order.note else ()
                ),
            )
        ]


class VersionsTest(unittest.TestCase):
    def test_a_later_program_reads_older_records_and_snapshots_not_the_other_way(self):
        old, new = Log(StateMachine([Pots()])), Log(StateMachine([Pots2()]))
        old.own(SessionStarted("m1", "marshal"))
        old.ask("m1", 1, Add("a", 5))
        for entry in old.entries:
            new.put(entry.octets)
        self.assertEqual(new.pots(), {"a": 5})
        restored = Log(StateMachine([Pots2()]))
        restored.machine.restore(old.machine.snapshot())
        self.assertEqual(restored.machine.view.get("pots", "a"), PotRow2(5, "m1"))
        self.assertTrue(restored.ask("m1", 2, Add2("a", 1, note="x"), version=2).ok)
        before = old.machine.snapshot()
        with self.assertRaisesRegex(ReplicaHaltedError, "version 2 of piece pots, of a later program; up to 1"):
            old.machine.restore(restored.machine.snapshot())
        with self.assertRaisesRegex(ReplicaHaltedError, "pots has version 2; 1 to 1"):
            old.ask("m1", 2, Add2("a", 1, note="x"), version=2)
        self.assertEqual(old.machine.snapshot(), before)
        self.assertEqual(old.machine.check_proposal("pots", 2, b"")[0], "too new")


class SnapshotTest(unittest.TestCase):
    @given(steps, st.integers(0, 30))
    @settings(max_examples=100, deadline=None, derandomize=True)
    def test_restored_at_any_cut_the_state_goes_on_the_same(self, steps, cut):
        whole = Log()
        play(whole, steps)
        cut = min(cut, len(whole.entries))
        part, rest = StateMachine([Pots(), Lids()]), StateMachine([Pots(), Lids()])
        for entry in whole.entries[:cut]:
            part.apply(entry)
        rest.restore(part.snapshot())
        for entry in whole.entries[cut:]:
            rest.apply(entry)
        self.assertEqual(rest.snapshot(), whole.machine.snapshot())
        self.assertEqual(
            (rest.view.digest(), rest.sessions(), rest.next_timer_ms()),
            (whole.machine.view.digest(), whole.machine.sessions(), whole.machine.next_timer_ms()),
        )

    def test_a_torn_or_changed_snapshot_is_refused_and_changes_nothing(self):
        log, other = Log(), StateMachine([Pots(), Lids()])
        log.own(SessionStarted("m1", "marshal"))
        log.ask("m1", 1, Add("a", 5))
        octets, view = log.machine.snapshot(), other.view
        for at in range(len(octets)):
            with self.assertRaises(ReplicaHaltedError):
                other.restore(octets[:at] + bytes([octets[at] ^ 1]) + octets[at + 1 :])
            with self.assertRaises(ReplicaHaltedError):
                other.restore(octets[:at])
        self.assertEqual((other.applied, other.view.count("pots")), (0, 0))
        other.restore(octets)
        self.assertEqual((other.snapshot(), other.view is view), (octets, True))
        with self.assertRaisesRegex(ReplicaHaltedError, "with piece 'lids'; known are fleet, pots"):
            StateMachine([Pots()]).restore(octets)


class LeasesTest(unittest.TestCase):
    def test_none_ends_sooner_than_a_lease_and_its_drift_after_its_last_answer(self):
        book = SessionLeases(Timing(lease_ms=1000.0, drift=0.1))
        book.reset(0.0, (3, 5))
        self.assertTrue(book.renew(500.0, 3))
        self.assertEqual((book.expirations_due(1099.0), book.next_expiry_ms()), ([], 1100.0))
        self.assertEqual((book.expirations_due(1100.0), book.expirations_due(1599.0)), ([5], []))
        self.assertEqual(
            (book.remaining_ms(1000.0, 3), book.expired(1599.9, 3), book.expired(1600.0, 3)), (600.0, False, True)
        )
        self.assertFalse(book.renew(1200.0, 5))  # its end may be in the log already
        self.assertEqual(book.expirations_due(1600.0), [3])
        self.assertEqual(book.expirations_due(2200.0), [5])  # said again: it may not have been proposed
        book.remove(5)
        book.remove(3)
        self.assertEqual((book.expirations_due(9e9), book.next_expiry_ms()), ([], None))
        book.reset(5000.0, (7,))
        self.assertEqual((book.expirations_due(6099.0), book.expirations_due(6100.0)), ([], [7]))

"""Durability of the state: versions of commands beside each other, snapshots; and the leader's session leases."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach.coordination.errors import ReplicaHaltedError
from brookreach.coordination.state_machine.application import Command, RowUpdate
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.state_machine.session_leases import SessionLeases
from brookreach.coordination.state_machine.sessions import SessionStarted
from brookreach.coordination.timing import Timing
from tests.coordination.machine_harness import Add, Lids, Log, Odd, PotRow, Pots, Take, play, steps


class Add2(Command, tag="Add"):
    pot: str
    amount: int
    duration_ms: int = 0
    note: str = ""


class PotRow2(PotRow):
    lid: bool = False


class Pots2(Pots):
    version, commands, tables = 2, Add2 | Take | Odd, {"pots": PotRow2}

    def apply(self, view, command, context):
        if not isinstance(command, Add2):
            return super().apply(view, command, context)
        row = view.get("pots", command.pot)
        amount = command.amount + (row.amount if row else 0)
        notes = (command.note,) if command.note else ()
        return [RowUpdate("pots", command.pot, PotRow2(amount, context.client, 0, notes))]


class VersionsTest(unittest.TestCase):
    def test_a_later_program_reads_older_commands_and_snapshots_not_the_other_way(self):
        old, new = Log(StateMachine([Pots()])), Log(StateMachine([Pots2()]))
        old.run(SessionStarted("m1", "marshal"))
        old.propose("m1", 1, Add("a", 5))
        for entry in old.entries:
            new.append(entry.octets)
        self.assertEqual(new.amounts(), {"a": 5})
        restored = Log(StateMachine([Pots2()]))
        restored.machine.restore(old.machine.snapshot())
        self.assertEqual(restored.machine.view.get("pots", "a"), PotRow2(5, "m1"))
        self.assertTrue(restored.propose("m1", 2, Add2("a", 1, note="x"), version=2).ok)
        before = old.machine.snapshot()
        with self.assertRaisesRegex(ReplicaHaltedError, "version 2 of application pots, of a later program; up to 1"):
            old.machine.restore(restored.machine.snapshot())
        with self.assertRaisesRegex(ReplicaHaltedError, "pots has version 2; 1 to 1"):
            old.propose("m1", 2, Add2("a", 1, note="x"), version=2)
        self.assertEqual(old.machine.snapshot(), before)
        self.assertEqual(old.machine.check_proposal("pots", 2, b"")[0], "too new")


class SnapshotTest(unittest.TestCase):
    @given(steps, st.integers(0, 30))
    @settings(max_examples=100, deadline=None, derandomize=True)
    def test_restored_at_any_index_the_state_continues_the_same(self, steps, cut):
        whole = Log()
        play(whole, steps)
        cut = min(cut, len(whole.entries))
        before = StateMachine([Pots(), Lids()])
        restored = StateMachine([Pots(), Lids()])
        for entry in whole.entries[:cut]:
            before.apply(entry)
        restored.restore(before.snapshot())
        for entry in whole.entries[cut:]:
            restored.apply(entry)
        self.assertEqual(restored.snapshot(), whole.machine.snapshot())
        self.assertEqual(
            (restored.view.digest(), restored.sessions(), restored.next_timer_ms()),
            (whole.machine.view.digest(), whole.machine.sessions(), whole.machine.next_timer_ms()),
        )

    def test_a_damaged_snapshot_is_rejected_and_changes_nothing(self):
        log, other = Log(), StateMachine([Pots(), Lids()])
        log.run(SessionStarted("m1", "marshal"))
        log.propose("m1", 1, Add("a", 5))
        octets, view = log.machine.snapshot(), other.view
        for position in range(len(octets)):
            with self.assertRaises(ReplicaHaltedError):
                other.restore(octets[:position] + bytes([octets[position] ^ 1]) + octets[position + 1 :])
            with self.assertRaises(ReplicaHaltedError):
                other.restore(octets[:position])
        self.assertEqual((other.applied, other.view.count("pots")), (0, 0))
        other.restore(octets)
        self.assertEqual((other.snapshot(), other.view is view), (octets, True))
        with self.assertRaisesRegex(ReplicaHaltedError, "with application 'lids'; known are fleet, pots"):
            StateMachine([Pots()]).restore(octets)


class LeasesTest(unittest.TestCase):
    def test_no_session_expires_sooner_than_a_lease_with_drift_after_its_last_renewal(self):
        leases = SessionLeases(Timing(lease_ms=1000.0, drift=0.1))
        leases.reset(0.0, (3, 5))
        self.assertTrue(leases.renew(500.0, 3))
        self.assertEqual((leases.expirations_due(1099.0), leases.next_expiry_ms()), ([], 1100.0))
        self.assertEqual((leases.expirations_due(1100.0), leases.expirations_due(1599.0)), ([5], []))
        self.assertEqual(
            (leases.remaining_ms(1000.0, 3), leases.expired(1599.9, 3), leases.expired(1600.0, 3)), (600.0, False, True)
        )
        self.assertFalse(leases.renew(1200.0, 5))  # its end may be in the log already
        self.assertEqual(leases.expirations_due(1600.0), [3])
        self.assertEqual(leases.expirations_due(2200.0), [5])  # again: the proposal may have been lost
        leases.remove(5)
        leases.remove(3)
        self.assertEqual((leases.expirations_due(9e9), leases.next_expiry_ms()), ([], None))
        leases.reset(5000.0, (7,))
        self.assertEqual((leases.expirations_due(6099.0), leases.expirations_due(6100.0)), ([], [7]))

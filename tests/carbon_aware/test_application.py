"""Power's agreed state, where and when flexible work runs, weights by zone, and the drill with its defects."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as some

from brookreach.carbon_aware import commands, cost_curve, reservations, scheduler, zone_preference
from brookreach.carbon_aware.application import APPLICATION
from brookreach.carbon_aware.tables import CURRENT, HOLDS, LOADS, RESERVED, SCHEDULES, SLOT_MS
from brookreach.coordination.ports import AppliedCommand, LogRecord
from brookreach.coordination.protocol.messages import Entry
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.application import CommandRejectedError, Context, InMemoryView
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.simulation.carbon_aware import drill
from tests.carbon_aware.harness import BEGIN, FREE, HOUR, OPERATOR, agreed, job, said, spans


class PieceTest(unittest.TestCase):
    def test_half_sent_has_no_effect(self) -> None:
        view = agreed(a=[100, 100], b=[200, 200])
        later = list(commands.parts(2, (("a", 0), ("b", 0)), spans(a=[900, 900], b=[1, 1])))
        for order in later[:-1]:
            said(view, order)
            self.assertEqual(1, cost_curve.curve(view, BEGIN).version)
            self.assertEqual("a", scheduler.choose(view, BEGIN, job(work=1, deadline=4), FREE).zone)
        said(view, later[-1])
        self.assertEqual("b", scheduler.choose(view, BEGIN, job(work=1, deadline=4), FREE).zone)
        self.assertEqual(4, len(view.tables[SCHEDULES]))  # none of the first is left

    def test_what_is_refused_changes_nothing(self) -> None:
        view = agreed(a=[100], b=[200])
        begin, rows, commit = commands.parts(2, (("a", 0), ("b", 0)), spans(a=[1], b=[2]))
        bert = Context(8, BEGIN, "bert", "operator", 2)
        with self.assertRaisesRegex(CommandRejectedError, "has to begin first"):
            said(view, rows)
        said(view, begin)
        for order, context, text in [
            (commands.Rows(2, 1, rows.spans), OPERATOR, "part 1 of version 2; part 0 is next"),
            (commands.Rows(2, 0, (("z", 1, 2, 3),)), OPERATOR, "zone 'z' is not one of"),
            (rows, bert, "being sent by anna, not by bert"),
            (begin, bert, "being sent by anna"),
            (commit, OPERATOR, "not whole: 0 rows"),
            (commands.Begin(1, "0" * 64, (("a", 0),), 0, 1), OPERATOR, "version 1 is agreed"),
            (commands.Drop(9), OPERATOR, "neither agreed nor being sent"),
            (rows, Context(9, BEGIN, "m1", "marshal", 3), "'operator' is allowed"),
            (commands.Steer(BEGIN // SLOT_MS + 2, 5, ("a",)), Context(9, BEGIN, "m1", "marshal", 3), "slot"),
        ]:
            with self.subTest(text), self.assertRaisesRegex(CommandRejectedError, text):
                said(view, order, context)
        said(view, rows)
        with self.assertRaisesRegex(CommandRejectedError, "part 0 of version 2; part 1 is next"):  # told twice
            said(view, rows)
        with self.assertRaisesRegex(CommandRejectedError, "not whole"):
            said(view, commands.Commit(2, "0" * 64))
        with self.assertRaisesRegex(CommandRejectedError, "ended at"):
            said(view, commit, Context(9, BEGIN + HOUR, "anna", "operator", 1))
        self.assertEqual(1, view.get(CURRENT, "all").version)

    def test_a_commit_checks_by_itself(self) -> None:
        """Whatever the sender checked: here a gap."""
        view, wrong = InMemoryView(), spans(a=[1, 2, 3])[::2]
        with self.assertRaisesRegex(CommandRejectedError, "row 1: gap in zone 'a'"):
            for order in commands.parts(2, (("a", 0),), wrong):
                said(view, order)
        self.assertIsNone(view.get(CURRENT, "all"))

    def test_a_session_that_ends_takes_its_draft_and_hold(self) -> None:
        view = agreed(a=[100], b=[200])
        said(view, next(iter(commands.parts(2, (("a", 0),), spans(a=[1])))))
        marshal = Context(9, BEGIN, "m1", "marshal", 3)
        said(view, commands.Steer(BEGIN // SLOT_MS, 5, ("a", "b")), marshal)
        self.assertEqual(1, view.count(HOLDS))
        view.apply_updates(
            APPLICATION.end_session(view, Context(10, BEGIN, "m1", "marshal", 2))
        )  # an earlier one of its
        self.assertEqual(1, view.count(HOLDS))
        view.apply_updates(APPLICATION.end_session(view, marshal))
        view.apply_updates(APPLICATION.end_session(view, OPERATOR))
        self.assertEqual([0, 0, 0, 0], [view.count(name) for name in (HOLDS, LOADS, RESERVED, "schedule-drafts")])

    def test_expired_is_neutral_and_says_so(self) -> None:
        view = agreed(a=[100], b=[200])
        self.assertEqual(BEGIN + HOUR, APPLICATION.next_timer_ms(view))
        view.apply_updates(APPLICATION.advance_time(view, Context(9, BEGIN + HOUR, "", "", 0)))
        self.assertIn("expired at", view.get(CURRENT, "all").reason)
        self.assertIsNone(APPLICATION.next_timer_ms(view))
        told = scheduler.choose(view, BEGIN + HOUR, job(here="b", deadline=20), FREE)
        self.assertEqual(("b", False), (told.zone, told.moved))
        self.assertIn("schedule 1 expired at", told.why)
        self.assertEqual({"a": 5000, "b": 5000}, zone_preference.weights(view, BEGIN + HOUR, "m1", {"a": 1, "b": 1}, 9))

    def test_dropped_is_neutral_and_its_number_is_gone(self) -> None:
        view = agreed(a=[100], b=[200])
        said(view, commands.Drop(1))
        self.assertEqual((0, 0), (cost_curve.curve(view, BEGIN).version, view.count(SCHEDULES)))
        with self.assertRaises(CommandRejectedError):
            agreed(1, view, a=[100], b=[200])

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        some.lists(
            some.tuples(
                some.integers(0, 4),
                some.integers(0, 6),
                some.integers(0, 5),
                some.integers(1, 9),
                some.sampled_from("ab"),
            ),
            max_size=25,
        )
    )
    def test_loads_are_sums(self, steps: list[tuple[int, int, int, int, str]]) -> None:
        view, now = InMemoryView(), BEGIN // SLOT_MS
        for who, first, length, room, zone in steps:
            now += room == 9
            view.apply_updates(reservations.passed(view, now))
            span = (zone, now + first, now + first + length)
            view.apply_updates(reservations.take(view, now * SLOT_MS, f"gang:{who}", room, [span] if length else []))
            sums: dict[str, int] = {}
            for key, row in view.rows(RESERVED):
                at, slot, name = key.split("/")
                self.assertIsNotNone(view.get(HOLDS, name))
                self.assertGreaterEqual(int(slot), now)
                sums[f"{slot}/{at}"] = sums.get(f"{slot}/{at}", 0) + row.room
            self.assertEqual(sums, {key: row.room for key, row in view.rows(LOADS)})


class MachineTest(unittest.TestCase):
    """The same records through the ground's own machine."""

    def setUp(self) -> None:
        self.log: list[Entry] = []
        self.machine, self.seqs = StateMachine([APPLICATION]), Counter[str]()

    def put(self, at_ms: int, by: str, kind: str, order: Any, piece: str = "power") -> AppliedCommand:
        session = self.machine.session(by) if by else 0
        self.seqs[by] += 1
        stamped = LogRecord(piece, 1, at_ms, by, kind, session, self.seqs[by], msgspec.msgpack.encode(order))
        self.log.append(Entry(len(self.log) + 1, 1, msgspec.msgpack.encode(stamped)))
        return self.machine.apply(self.log[-1])

    def test_snapshot_in_the_middle_and_due_times(self) -> None:
        self.put(BEGIN, "", "", sessions.SessionStarted("anna", "operator"), "fleet")
        self.put(BEGIN, "", "", sessions.SessionStarted("m1", "marshal"), "fleet")
        for order in commands.parts(1, (("a", 9), ("b", 9)), spans(a=[100, 300], b=[200, 100])):
            self.assertTrue(self.put(BEGIN, "anna", "operator", order).ok)
        begin, rows, commit = commands.parts(2, (("a", 9),), spans(a=[7, 7]))
        self.assertTrue(self.put(BEGIN, "anna", "operator", begin).ok)
        refused = self.put(BEGIN, "m1", "marshal", rows)
        self.assertEqual((False, ()), (refused.ok, refused.changes))
        self.assertTrue(self.put(BEGIN, "m1", "marshal", commands.Steer(BEGIN // SLOT_MS, 5, ("a", "b"))).ok)
        copy, half = StateMachine([APPLICATION]), len(self.log)
        copy.restore(self.machine.snapshot())
        for at in (BEGIN + SLOT_MS, BEGIN + 2 * HOUR):
            self.assertEqual(at, self.machine.next_timer_ms())
            self.put(at, "", "", sessions.TimePassed(), "fleet")
        self.assertIsNone(self.machine.next_timer_ms())
        self.assertEqual((0, 0), (self.machine.view.count(HOLDS), self.machine.view.count(LOADS)))
        self.put(BEGIN + 2 * HOUR, "", "", sessions.SessionEnded(self.machine.session("anna"), "left"), "fleet")
        self.assertEqual((0, 4), (self.machine.view.count("schedule-drafts"), self.machine.view.count(SCHEDULES)))
        for entry in self.log[half:]:
            copy.apply(entry)
        self.assertEqual(self.machine.snapshot(), copy.snapshot())


class DrillTest(unittest.TestCase):
    def test_rules_hold(self) -> None:
        report = drill.run(1, 8)
        self.assertEqual([], report.violations)
        self.assertGreater(report.figures["moves and pauses"], 0)

    def test_planted_defects_are_found(self) -> None:
        rules = {
            "uncounted": "room",
            "half-sent": "worth it",
            "expired": "neutral without a schedule",
            "restless": "least stay",
        }
        for name in drill.DEFECTS:
            with self.subTest(name):
                report = drill.run(1, 30, name)
                self.assertFalse(report.passed)
                self.assertIn(rules.get(name, ""), {one.rule for one in report.violations} | {""})

    def test_a_seed_plays_the_same_again(self) -> None:
        self.assertEqual(drill.played(4).world.ran, drill.played(4).world.ran)


if __name__ == "__main__":
    unittest.main()

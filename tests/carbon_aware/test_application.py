"""Tests of the carbon-aware application: uploads, expiry and reservations; also the drill and its defects."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import Any

import msgspec
from hypothesis import given, settings, strategies

from brookreach.carbon_aware import commands, cost_curve, reservations, scheduler, zone_preference
from brookreach.carbon_aware.application import APPLICATION
from brookreach.carbon_aware.tables import (
    ACTIVE_SCHEDULE,
    RESERVATIONS,
    SCHEDULE_INTERVALS,
    SLOT_MS,
    SLOT_RESERVATIONS,
    SLOT_TOTALS,
)
from brookreach.coordination.protocol.log_record import LogRecord
from brookreach.coordination.protocol.messages import Entry
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.application import CommandRejectedError, Context, InMemoryView
from brookreach.coordination.state_machine.applied_command import AppliedCommand
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.simulation.carbon_aware import drill
from tests.carbon_aware.harness import (
    FREE,
    HOUR_MS,
    OPERATOR,
    START_MS,
    apply,
    hourly_intervals,
    make_job,
    with_schedule,
)


class ApplicationTest(unittest.TestCase):
    def test_partial_upload_has_no_effect(self) -> None:
        view = with_schedule(a=[100, 100], b=[200, 200])
        upload = list(commands.upload_commands(2, (("a", 0), ("b", 0)), hourly_intervals(a=[900, 900], b=[1, 1])))
        for command in upload[:-1]:
            apply(view, command)
            self.assertEqual(1, cost_curve.active_curve(view, START_MS).version)
            self.assertEqual("a", scheduler.choose_placement(view, START_MS, make_job(work=1, deadline=4), FREE).zone)
        apply(view, upload[-1])
        self.assertEqual("b", scheduler.choose_placement(view, START_MS, make_job(work=1, deadline=4), FREE).zone)
        self.assertEqual(4, len(view.tables[SCHEDULE_INTERVALS]))  # no interval of the first schedule is left

    def test_rejected_commands_change_nothing(self) -> None:
        view = with_schedule(a=[100], b=[200])
        begin, rows, commit = commands.upload_commands(2, (("a", 0), ("b", 0)), hourly_intervals(a=[1], b=[2]))
        assert isinstance(rows, commands.UploadIntervals)
        bert = Context(8, START_MS, "bert", "operator", 2)
        with self.assertRaisesRegex(CommandRejectedError, "has to begin first"):
            apply(view, rows)
        apply(view, begin)
        for command, context, text in [
            (commands.UploadIntervals(2, 1, rows.intervals), OPERATOR, "part 1 of version 2; part 0 is next"),
            (commands.UploadIntervals(2, 0, (("z", 1, 2, 3),)), OPERATOR, "zone 'z' is not one of"),
            (rows, bert, "being sent by anna, not by bert"),
            (begin, bert, "being sent by anna"),
            (commit, OPERATOR, "not whole: 0 rows"),
            (commands.BeginUpload(1, "0" * 64, (("a", 0),), 0, 1), OPERATOR, "version 1 is agreed"),
            (commands.DropSchedule(9), OPERATOR, "neither agreed nor being sent"),
            (rows, Context(9, START_MS, "m1", "marshal", 3), "'operator' is allowed"),
            (
                commands.RequestFlexibleCalls(START_MS // SLOT_MS + 2, 5, ("a",)),
                Context(9, START_MS, "m1", "marshal", 3),
                "slot",
            ),
        ]:
            with self.subTest(text), self.assertRaisesRegex(CommandRejectedError, text):
                apply(view, command, context)
        apply(view, rows)
        with self.assertRaisesRegex(CommandRejectedError, "part 0 of version 2; part 1 is next"):  # sent twice
            apply(view, rows)
        with self.assertRaisesRegex(CommandRejectedError, "not whole"):
            apply(view, commands.CommitSchedule(2, "0" * 64))
        with self.assertRaisesRegex(CommandRejectedError, "ended at"):
            apply(view, commit, Context(9, START_MS + HOUR_MS, "anna", "operator", 1))
        self.assertEqual(1, view.get(ACTIVE_SCHEDULE, "all").version)

    def test_commit_checks_the_schedule_itself(self) -> None:
        """The state machine rejects an invalid schedule, here with a gap, even if the sender did not check it."""
        view = InMemoryView()
        with_gap = hourly_intervals(a=[1, 2, 3])[::2]
        with self.assertRaisesRegex(CommandRejectedError, "row 1: gap in zone 'a'"):
            for command in commands.upload_commands(2, (("a", 0),), with_gap):
                apply(view, command)
        self.assertIsNone(view.get(ACTIVE_SCHEDULE, "all"))

    def test_ending_session_removes_its_draft_and_reservation(self) -> None:
        view = with_schedule(a=[100], b=[200])
        apply(view, next(iter(commands.upload_commands(2, (("a", 0),), hourly_intervals(a=[1])))))
        marshal = Context(9, START_MS, "m1", "marshal", 3)
        apply(view, commands.RequestFlexibleCalls(START_MS // SLOT_MS, 5, ("a", "b")), marshal)
        self.assertEqual(1, view.count(RESERVATIONS))
        view.apply_updates(
            APPLICATION.end_session(view, Context(10, START_MS, "m1", "marshal", 2))
        )  # an earlier session
        self.assertEqual(1, view.count(RESERVATIONS))
        view.apply_updates(APPLICATION.end_session(view, marshal))
        view.apply_updates(APPLICATION.end_session(view, OPERATOR))
        self.assertEqual(
            [0, 0, 0, 0],
            [view.count(name) for name in (RESERVATIONS, SLOT_TOTALS, SLOT_RESERVATIONS, "schedule-drafts")],
        )

    def test_expired_schedule_is_neutral_and_named(self) -> None:
        view = with_schedule(a=[100], b=[200])
        self.assertEqual(START_MS + HOUR_MS, APPLICATION.next_timer_ms(view))
        view.apply_updates(APPLICATION.advance_time(view, Context(9, START_MS + HOUR_MS, "", "", 0)))
        self.assertIn("expired at", view.get(ACTIVE_SCHEDULE, "all").end_reason)
        self.assertIsNone(APPLICATION.next_timer_ms(view))
        placement = scheduler.choose_placement(view, START_MS + HOUR_MS, make_job(current_zone="b", deadline=20), FREE)
        self.assertEqual(("b", False), (placement.zone, placement.is_interrupted))
        self.assertIn("schedule 1 expired at", placement.reason)
        self.assertEqual(
            {"a": 5000, "b": 5000}, zone_preference.zone_weights(view, START_MS + HOUR_MS, "m1", {"a": 1, "b": 1}, 9)
        )

    def test_dropped_schedule_is_neutral_and_its_version_is_used_up(self) -> None:
        view = with_schedule(a=[100], b=[200])
        apply(view, commands.DropSchedule(1))
        self.assertEqual((0, 0), (cost_curve.active_curve(view, START_MS).version, view.count(SCHEDULE_INTERVALS)))
        with self.assertRaises(CommandRejectedError):
            with_schedule(1, view, a=[100], b=[200])

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 4),
                strategies.integers(0, 6),
                strategies.integers(0, 5),
                strategies.integers(1, 9),
                strategies.sampled_from("ab"),
            ),
            max_size=25,
        )
    )
    def test_totals_are_sums_of_reservations(self, steps: list[tuple[int, int, int, int, str]]) -> None:
        view = InMemoryView()
        slot_now = START_MS // SLOT_MS
        for holder_index, first, length, capacity, zone in steps:
            slot_now += capacity == 9
            view.apply_updates(reservations.expire_slots(view, slot_now))
            interval = (zone, slot_now + first, slot_now + first + length)
            intervals = [interval] if length else []
            view.apply_updates(
                reservations.reserve(view, slot_now * SLOT_MS, f"gang:{holder_index}", capacity, intervals)
            )
            totals: dict[str, int] = {}
            for key, row in view.rows(SLOT_RESERVATIONS):
                row_zone, slot, holder = key.split("/")
                self.assertIsNotNone(view.get(RESERVATIONS, holder))
                self.assertGreaterEqual(int(slot), slot_now)
                totals[f"{slot}/{row_zone}"] = totals.get(f"{slot}/{row_zone}", 0) + row.amount
            self.assertEqual(totals, {key: row.capacity for key, row in view.rows(SLOT_TOTALS)})


class StateMachineTest(unittest.TestCase):
    """Applies commands through the replicated state machine."""

    def setUp(self) -> None:
        self.log: list[Entry] = []
        self.machine = StateMachine([APPLICATION])
        self.sequence_numbers = Counter[str]()

    def put(
        self, time_ms: int, client: str, client_kind: str, command: Any, application: str = "power"
    ) -> AppliedCommand:
        session = self.machine.session(client) if client else 0
        self.sequence_numbers[client] += 1
        record = LogRecord(
            application,
            1,
            time_ms,
            client,
            client_kind,
            session,
            self.sequence_numbers[client],
            msgspec.msgpack.encode(command),
        )
        self.log.append(Entry(len(self.log) + 1, 1, msgspec.msgpack.encode(record)))
        return self.machine.apply(self.log[-1])

    def test_snapshot_in_the_middle_and_timers(self) -> None:
        self.put(START_MS, "", "", sessions.SessionStarted("anna", "operator"), "fleet")
        self.put(START_MS, "", "", sessions.SessionStarted("m1", "marshal"), "fleet")
        for command in commands.upload_commands(1, (("a", 9), ("b", 9)), hourly_intervals(a=[100, 300], b=[200, 100])):
            self.assertTrue(self.put(START_MS, "anna", "operator", command).ok)
        begin, rows, _ = commands.upload_commands(2, (("a", 9),), hourly_intervals(a=[7, 7]))
        self.assertTrue(self.put(START_MS, "anna", "operator", begin).ok)
        rejected = self.put(START_MS, "m1", "marshal", rows)
        self.assertEqual((False, ()), (rejected.ok, rejected.changes))
        self.assertTrue(
            self.put(START_MS, "m1", "marshal", commands.RequestFlexibleCalls(START_MS // SLOT_MS, 5, ("a", "b"))).ok
        )
        restored = StateMachine([APPLICATION])
        entries_before = len(self.log)
        restored.restore(self.machine.snapshot())
        for timer_ms in (START_MS + SLOT_MS, START_MS + 2 * HOUR_MS):
            self.assertEqual(timer_ms, self.machine.next_timer_ms())
            self.put(timer_ms, "", "", sessions.TimePassed(), "fleet")
        self.assertIsNone(self.machine.next_timer_ms())
        self.assertEqual((0, 0), (self.machine.view.count(RESERVATIONS), self.machine.view.count(SLOT_TOTALS)))
        self.put(START_MS + 2 * HOUR_MS, "", "", sessions.SessionEnded(self.machine.session("anna"), "left"), "fleet")
        self.assertEqual(
            (0, 4), (self.machine.view.count("schedule-drafts"), self.machine.view.count(SCHEDULE_INTERVALS))
        )
        for entry in self.log[entries_before:]:
            restored.apply(entry)
        self.assertEqual(self.machine.snapshot(), restored.snapshot())


class DrillTest(unittest.TestCase):
    def test_invariants_hold(self) -> None:
        report = drill.run(1, 8)
        self.assertEqual([], report.violations)
        self.assertGreater(report.figures["moves and pauses"], 0)

    def test_injected_defects_are_found(self) -> None:
        invariants = {
            "uncounted": "room",
            "half-sent": "worth it",
            "expired": "neutral without a schedule",
            "restless": "least stay",
        }
        for name in drill.DEFECTS:
            with self.subTest(name):
                report = drill.run(1, 30, name)
                self.assertFalse(report.passed)
                self.assertIn(invariants.get(name, ""), {violation.rule for violation in report.violations} | {""})

    def test_a_seed_repeats_exactly(self) -> None:
        self.assertEqual(drill.run_seed(4).model.runs, drill.run_seed(4).model.runs)


if __name__ == "__main__":
    unittest.main()

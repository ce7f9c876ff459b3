"""Gangs: placed, checkpointed, ended; what is refused; where a member may go. By hand-made records."""

from __future__ import annotations

import unittest
from typing import Any

from msgspec.structs import replace

from brookreach.coordination.state_machine.application import CommandRejectedError, RowUpdate
from brookreach.disruption.tables import RELEASES, ReleaseRow
from brookreach.gang_scheduling import checkpoint_interval, transitions
from brookreach.gang_scheduling.agent_tasks import errands
from brookreach.gang_scheduling.commands import Cancel, Failed, Here, Measured, Started
from brookreach.gang_scheduling.tables import GANGS, MEMBERS, ROOMS, SumsRow
from tests.gang_scheduling.harness import HOUR, MINUTE, Rig, T


class Life(unittest.TestCase):
    """From waiting to done."""

    def test_placed_whole_run_and_done(self) -> None:
        rig = Rig({"n1": 2, "n2": 2})
        self.assertEqual(rig.submit(members=3, work=10 * MINUTE).state, "placing")
        self.assertEqual(rig.nodes(), ["n2", "n2", "n1"])
        rig.start()
        self.assertEqual(rig.gang().state, "running")
        rig.until("checkpointing", 11 * MINUTE)
        self.assertIn("all work is done", rig.gang().reason)
        rig.confirm_all(10 * MINUTE)
        self.assertEqual((rig.gang().state, rig.gang().kept_ms), ("done", 10 * MINUTE))
        self.assertEqual({one.kind for node in ("n1", "n2") for one in errands(rig.view, node)}, {"stop"})
        rig.start()
        self.assertEqual(rig.view.count(ROOMS), 0)
        rig.wait(8 * 24 * HOUR)
        self.assertEqual((rig.view.count(GANGS), rig.view.count(MEMBERS)), (0, 0))

    def test_an_epoch_counts_only_when_every_member_confirmed_it(self) -> None:
        rig = Rig({"n1": 1, "n2": 1})
        rig.submit(work=30 * 24 * HOUR)
        rig.start()
        rig.until("checkpointing", 24 * HOUR)
        rig.confirm(0, 5000)
        for but, word in (({"epoch": 7}, "not asked"), ({"fence": 1}, "fence 1"), ({"life": 9}, "life 9")):
            with self.assertRaisesRegex(CommandRejectedError, word):
                rig.confirm(1, 5000, **but)
        self.assertEqual((rig.gang().state, rig.gang().epoch), ("checkpointing", 0))
        rig.confirm(1, 4000)
        self.assertEqual((rig.gang().state, rig.gang().epoch, rig.gang().kept_ms), ("running", 1, 4000))

    def test_an_epoch_that_is_given_up_is_never_confirmed_later(self) -> None:
        rig = Rig({"n1": 1, "n2": 1})
        rig.submit(work=30 * 24 * HOUR)
        rig.start()
        rig.until("checkpointing", 24 * HOUR)
        rig.confirm(0, 5000)
        rig.wait(71_000)
        self.assertEqual((rig.gang().state, rig.gang().asked_epoch, rig.gang().tries), ("running", 1, 1))
        self.assertIn("members 1 did not confirm", rig.gang().reason)
        rig.until("checkpointing", 24 * HOUR)
        with self.assertRaisesRegex(CommandRejectedError, "not asked"):
            rig.confirm(1, 5000, epoch=1)
        rig.confirm_all(6000)
        self.assertEqual((rig.gang().epoch, rig.gang().kept_ms, rig.gang().tries), (2, 6000, 0))

    def test_interval_is_youngs_and_dalys(self) -> None:
        self.assertEqual(checkpoint_interval.daly_ms(10_000, 10**9), 4_465_470)
        self.assertEqual(checkpoint_interval.daly_ms(10_000, 3000), 3000)
        row = Rig({"n1": 9}).submit(members=1)
        seldom, often = SumsRow(10**12, 10), SumsRow(10**12, 1000)
        self.assertGreater(
            checkpoint_interval.interval_ms(row, seldom), 8 * checkpoint_interval.interval_ms(row, often)
        )

    def test_measured_costs_move_slowly_and_only_by_its_agents(self) -> None:
        rig = Rig({"n1": 2, "n2": 2})
        rig.submit()
        rig.say("n1", "agent", Measured("g", 20_000, 0))
        self.assertEqual((rig.gang().cost_ms, rig.gang().load_ms), (12_500, 20_000))
        with self.assertRaisesRegex(CommandRejectedError, "no member"):
            rig.say("n2", "agent", Measured("g", 1, 1))


class Refused(unittest.TestCase):
    """Words for what is not taken."""

    def test_submit_names_what_stands_there_and_what_is_allowed(self) -> None:
        rig = Rig({"n1": 4, "n2": 4})
        cases: list[tuple[dict[str, Any], str]] = [
            ({"members": 0}, "members: 0; 1 to 256"),
            ({"room": 5}, "never run together: 0 nodes"),
            ({"members": 9}, "hold 8 of them empty"),
            ({"zones": ("b",)}, r"zones \['b'\]"),
            ({"deadline_ms": T + 1000}, "soonest"),
            ({"zones": ("a", "a")}, "each may stand there once"),
        ]
        for fields, word in cases:
            with self.assertRaisesRegex(CommandRejectedError, word):
                rig.submit(**fields)
        rig.submit()
        with self.assertRaisesRegex(CommandRejectedError, "of this name stands"):
            rig.submit()
        self.assertEqual(rig.view.count(GANGS), 1)

    def test_only_its_own_agent_and_session_speaks_for_a_node(self) -> None:
        rig = Rig({"n1": 1, "n2": 1})
        rig.submit()
        fence, (its, other) = rig.member(0).fence, rig.nodes()
        for by, kind, order, word in (
            (other, "agent", Started("g", 0, fence), "not where it runs"),
            (its, "agent", Started("g", 0, fence - 1), "not where it runs"),
            (its, "marshal", Started("g", 0, fence), "is for agents"),
            (its, "agent", Cancel("g", "why"), "is for operators"),
        ):
            with self.assertRaisesRegex(CommandRejectedError, word):
                rig.say(by, kind, order)
        rig.sessions[its] += 5
        with self.assertRaisesRegex(CommandRejectedError, "has not said Here"):
            rig.say(its, "agent", Started("g", 0, fence))
        with self.assertRaisesRegex(CommandRejectedError, "has not ended"):
            rig.say(its, "agent", Here(1))

    def test_cancel_stops_members_and_then_takes_the_rows_away(self) -> None:
        rig = Rig({"n1": 2})
        rig.submit()
        rig.start()
        rig.say("ops", "operator", Cancel("g", "not wanted"))
        self.assertEqual((rig.gang().state, rig.gang().reason), ("failed", "cancelled by ops: not wanted"))
        with self.assertRaisesRegex(CommandRejectedError, "still being stopped on n1"):
            rig.say("ops", "operator", Cancel("g", "again"))
        rig.start()
        rig.say("ops", "operator", Cancel("g", "again"))
        self.assertEqual((rig.view.count(GANGS), rig.view.count(MEMBERS), rig.view.count(ROOMS)), (0, 0, 0))

    def test_a_gang_that_falls_by_itself_again_and_again_fails(self) -> None:
        rig = Rig({"n1": 2})
        rig.submit()
        for _ in range(transitions.MOST_TRIES):
            rig.start()
            rig.say("n1", "agent", Failed("g", 0, rig.member(0).fence, "no such model"))
        self.assertEqual(rig.gang().state, "failed")
        self.assertIn("fell 8 times since epoch 0; last: no such model", rig.gang().reason)


class Targets(unittest.TestCase):
    """Where a member may go."""

    def test_none_that_retires_drains_is_cold_or_on_trial_beyond_the_cap(self) -> None:
        rig = Rig({f"n{n}": 2 for n in range(1, 7)})
        rig.node("n1", retires_ms=T + HOUR)
        rig.node("n2", standing="draining")
        rig.node("n3", standing="cold")
        rig.node("n4", warm_ms=T + MINUTE)
        rig.node("n5", build=2)
        row = ReleaseRow(2, 1, (500,), (100,), "on", 1, T, 0, 0, 0, 0)
        rig.view.apply_updates([RowUpdate(RELEASES, "2", row)])
        rig.submit(members=2, work=2 * HOUR)
        self.assertEqual(rig.nodes(), ["n6", "n6"])
        rig.submit("late", members=1, work=2 * HOUR)
        self.assertEqual(rig.gang("late").state, "waiting")
        rig.wait(MINUTE + 5000)
        self.assertEqual(rig.nodes("late"), ["n4"])
        rig.view.apply_updates([RowUpdate(RELEASES, "2", replace(row, state="released"))])
        rig.submit("open", members=2)
        self.assertEqual(rig.nodes("open"), ["n5", "n5"])

    def test_a_notice_past_its_end_or_past_the_horizon_is_taken_where_nothing_else_is(self) -> None:
        rig = Rig({"n1": 2, "n2": 2})
        rig.node("n1", retires_ms=T + 10 * HOUR)
        rig.submit("long", members=2, work=100 * HOUR)
        self.assertEqual(rig.nodes("long"), ["n2", "n2"])
        rig.submit("next", members=2, work=100 * HOUR)
        self.assertEqual(rig.nodes("next"), ["n1", "n1"])

    def test_the_target_announces_its_own_retirement(self) -> None:
        rig = Rig({"n1": 1, "n2": 1, "n3": 1})
        rig.submit(members=1, work=4 * HOUR)
        rig.start()
        rig.node("n1", retires_ms=T + 20 * MINUTE)
        rig.wait(2000)
        rig.confirm_all(2000)
        self.assertEqual((rig.gang().state, rig.nodes()), ("moving", ["n2"]))
        rig.node("n2", retires_ms=T + 30 * MINUTE)
        self.assertEqual(rig.nodes(), ["n3"])
        self.assertIn("n2 to n3", rig.gang().reason)
        rig.sums()
        self.assertIsNone(rig.view.get(ROOMS, "n2"))
        rig.start()
        self.assertEqual((rig.gang().state, rig.gang().kept_ms, rig.gang().lost_ms), ("running", 2000, 0))


if __name__ == "__main__":
    unittest.main()

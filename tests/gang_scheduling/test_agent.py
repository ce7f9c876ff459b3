"""The agent at a node: fences, leases, orders by token, each by hand-made events."""

from __future__ import annotations

import unittest

from brookreach.gang_scheduling.agent.actions import (
    ExtendGrants,
    KillMember,
    MemberAction,
    RunMember,
    SaveCheckpoint,
    StartMember,
)
from brookreach.gang_scheduling.agent.agent import GangAgent
from brookreach.gang_scheduling.agent_tasks import AgentTask, TaskKind
from brookreach.gang_scheduling.commands import (
    AgentCommand,
    ConfirmCheckpoint,
    ReportFailed,
    ReportStarted,
    ReportStopped,
)
from brookreach.gang_scheduling.member_key import MemberKey

KEY = MemberKey("g", 0)


def task(kind: str, fencing_token: int, epoch: int = 0, session: int = 7, plan_index: int = 1) -> AgentTask:
    return AgentTask(TaskKind(kind), "g", 0, fencing_token, epoch, session, 1, plan_index)


class Harness:
    """An agent with session 7, whose lease ends at 3000 ms."""

    def __init__(self, registration_delay_ms: float = 0.0):
        self.agent = GangAgent("n1", 1, 0.0, registration_delay_ms)
        self.agent.on_lease_renewed(0.0, 7, 3000.0)

    def handle(self, *tasks: AgentTask, now_ms: float = 10.0) -> list[tuple[type[MemberAction], int]]:
        for one in tasks:
            self.agent.handle_task(now_ms, one)
        return self.actions()

    def actions(self) -> list[tuple[type[MemberAction], int]]:
        """Types and fencing tokens, without grants."""
        actions = self.agent.outputs.drain_actions()
        return [(type(action), action.fencing_token) for action in actions if not isinstance(action, ExtendGrants)]

    def replies(self) -> list[tuple[bool, bool]]:
        return [(reply.ok, reply.final) for reply in self.agent.outputs.replies.drain()]

    def reports(self) -> list[AgentCommand]:
        return self.agent.outputs.drain_reports()

    def start_working(self, fencing_token: int = 5) -> None:
        self.handle(task("start", fencing_token))
        self.agent.on_member_loaded(KEY, fencing_token)
        self.handle(task("go", fencing_token))
        self.replies()
        self.reports()


class FencingTest(unittest.TestCase):
    def test_repeated_start_runs_and_replies_once(self) -> None:
        harness = Harness()
        self.assertEqual(harness.handle(task("start", 5), task("start", 5)), [(StartMember, 5)])
        self.assertEqual(harness.replies(), [])
        harness.agent.on_member_loaded(KEY, 5)
        self.assertEqual((harness.replies(), harness.reports()), ([(True, True)], [ReportStarted("g", 0, 5)]))
        self.assertEqual(harness.handle(task("start", 5)), [])
        self.assertEqual((harness.replies(), harness.reports()), ([(True, True)], [ReportStarted("g", 0, 5)]))

    def test_higher_token_ends_the_older_incarnation_first(self) -> None:
        harness = Harness()
        harness.start_working(5)
        self.assertEqual(harness.handle(task("start", 9)), [(KillMember, 5)])
        self.assertEqual(harness.handle(task("start", 5), task("start", 4)), [])
        harness.agent.on_member_exited(KEY, 5, "killed")
        self.assertEqual(harness.actions(), [(StartMember, 9)])
        self.assertEqual(harness.reports(), [ReportStopped("g", 0, 5)])

    def test_stop_that_overtakes_its_start_fences_it(self) -> None:
        harness = Harness()
        self.assertEqual(harness.handle(task("stop", 5)), [])
        self.assertEqual((harness.replies(), harness.reports()), ([(True, True)], [ReportStopped("g", 0, 5)]))
        self.assertEqual(harness.handle(task("start", 5)), [])
        self.assertEqual(harness.replies(), [(False, True)])

    def test_stopped_is_reported_only_after_the_node_did(self) -> None:
        harness = Harness()
        harness.start_working(5)
        self.assertEqual(harness.handle(task("stop", 5), task("stop", 5)), [(KillMember, 5)])
        self.assertEqual((harness.replies(), harness.reports()), ([], []))
        harness.agent.on_member_exited(KEY, 5, "killed")
        self.assertEqual((harness.replies(), harness.reports()), ([(True, True)], [ReportStopped("g", 0, 5)]))

    def test_exit_without_a_task_is_a_failure(self) -> None:
        harness = Harness()
        harness.start_working(5)
        harness.agent.on_member_exited(KEY, 5, "out of memory")
        self.assertEqual(harness.reports(), [ReportFailed("g", 0, 5, "out of memory")])


class CheckpointTaskTest(unittest.TestCase):
    def test_abandoned_checkpoint_is_not_confirmed_and_older_run_has_no_effect(self) -> None:
        harness = Harness()
        harness.start_working(5)
        self.assertEqual(harness.handle(task("save", 5, 1)), [(SaveCheckpoint, 5)])
        self.assertEqual(harness.handle(task("go", 5, 0, plan_index=2)), [])
        self.assertEqual(harness.handle(task("go", 5, 1)), [(RunMember, 5)])
        harness.agent.on_checkpoint_saved(KEY, 5, 1, 900)
        self.assertEqual(harness.reports(), [])
        self.assertEqual(harness.handle(task("save", 5, 1, plan_index=3)), [])
        self.assertEqual(harness.handle(task("save", 5, 2)), [(SaveCheckpoint, 5)])
        harness.agent.on_checkpoint_saved(KEY, 5, 2, 1000)
        confirmation = ConfirmCheckpoint("g", 0, 2, "n1", 1, 5, 1000)
        self.assertEqual(harness.reports(), [confirmation])
        harness.handle(task("save", 5, 2))
        self.assertEqual(harness.reports(), [confirmation])  # it stands open still: what was said has not been taken


class LeaseTest(unittest.TestCase):
    def test_agent_paused_past_its_lease_kills_and_does_nothing_else(self) -> None:
        harness = Harness()
        harness.start_working(5)
        self.assertEqual(harness.handle(task("start", 9), now_ms=3000.0), [(KillMember, 5)])
        self.assertEqual(harness.replies(), [(False, False)])
        harness.agent.on_member_exited(KEY, 5, "killed")
        self.assertEqual((harness.actions(), harness.reports()), ([], []))

    def test_grants_end_with_the_lease_and_only_renewals_extend_them(self) -> None:
        harness = Harness()
        harness.agent.handle_task(10.0, task("start", 5))
        self.assertEqual(harness.agent.outputs.drain_actions(), [StartMember(KEY, 5, 0, 3000.0)])
        harness.agent.on_lease_renewed(900.0, 7, 3900.0)
        self.assertEqual(harness.agent.outputs.drain_actions()[-1], ExtendGrants(3900.0))

    def test_new_session_kills_everything_and_registers_after_the_last_exit(self) -> None:
        harness = Harness()
        harness.start_working(5)
        harness.agent.on_lease_renewed(100.0, 8, 3100.0)
        self.assertEqual(harness.actions(), [(KillMember, 5)])
        self.assertFalse(harness.agent.may_register(100.0))
        harness.agent.on_member_exited(KEY, 5, "killed")
        self.assertTrue(harness.agent.may_register(120.0))
        self.assertEqual(harness.handle(task("start", 6, session=7)), [])
        self.assertEqual(harness.handle(task("start", 6, session=8)), [(StartMember, 6)])

    def test_restarted_process_registers_after_older_grants_expired(self) -> None:
        harness = Harness(registration_delay_ms=3030.0)
        self.assertFalse(harness.agent.may_register(3029.0))
        harness.agent.on_lease_renewed(2900.0, 7, 5900.0)
        self.assertTrue(harness.agent.may_register(3030.0))


if __name__ == "__main__":
    unittest.main()

"""Which state may follow which, of a gang and of an incarnation on a node; and the fence's bounded memory."""

from __future__ import annotations

import unittest
from unittest import mock

from brookreach.gang_scheduling.agent import fencing
from brookreach.gang_scheduling.agent.member_process import MemberProcess, ProcessState
from brookreach.gang_scheduling.errors import IllegalTransitionError
from brookreach.gang_scheduling.gang_state import GangState, check_transition
from brookreach.gang_scheduling.member_key import MemberKey


class StateTransitionTest(unittest.TestCase):
    def test_a_record_may_take_a_gang_through_two_steps(self) -> None:
        check_transition("g", None, GangState.PLACING)
        check_transition("g", GangState.RUNNING, GangState.WAITING)
        check_transition("g", GangState.CHECKPOINTING, GangState.CHECKPOINTING)
        check_transition("g", GangState.DONE, None)

    def test_illegal_ones_name_what_is_allowed(self) -> None:
        with self.assertRaisesRegex(IllegalTransitionError, "g: done to running; allowed: none"):
            check_transition("g", GangState.DONE, GangState.RUNNING)
        with self.assertRaisesRegex(IllegalTransitionError, "g: running to removed; allowed: none"):
            check_transition("g", GangState.RUNNING, None)
        with self.assertRaisesRegex(IllegalTransitionError, "g: new to done; allowed: failed, placing, waiting"):
            check_transition("g", None, GangState.DONE)

    def test_an_incarnation_that_dies_does_nothing_more(self) -> None:
        process = MemberProcess(fencing_token=5, epoch=0)
        with self.assertRaisesRegex(IllegalTransitionError, "loading to saved; allowed: ready, dying"):
            process.enter(ProcessState.SAVED)
        process.enter(ProcessState.DYING)
        with self.assertRaisesRegex(IllegalTransitionError, "dying to ready; allowed: none"):
            process.enter(ProcessState.READY)

    def test_what_was_forgotten_is_fenced_by_the_highest_token(self) -> None:
        running, other, third = (MemberKey("g", number) for number in range(3))
        tokens = fencing.FencingTokens()
        with mock.patch.object(fencing, "MAX_MEMBERS", 2):
            tokens.note(running, 7, (running,))
            tokens.note(other, 5, (running,))
            tokens.note(third, 3, (running,))
        self.assertEqual([tokens.highest(key) for key in (running, other, third)], [7, 5, 3])
        self.assertEqual(tokens.highest(MemberKey("h", 0)), 5)


if __name__ == "__main__":
    unittest.main()

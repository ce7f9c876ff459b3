"""The newest state of a rollout holds, whichever was read last.

A balancer stood still while its vote was under way. It then read the feed, which said that the build goes back, and
behind it the answer to its vote, 0.7 s older: for up to 4.5 s it sent requests to the build that had been sent back.
"""

import itertools
import unittest
from contextlib import closing
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.net.rollout_order import RolloutOrder

from .peers_front import RELEASED, BalancerRig

STALE_MS = 10_000.0
PHASE = ifc.RolloutPhase


def state(phase, stage=2, cap=0.5, build=8, reply=False, age_ms=100.0):
    return ifc.RolloutStatus(reply, ifc.Outcome.OK, stage, cap, phase, age_ms, build)


# The states of two builds, as a platform tells them one after another.
HISTORY = (
    state(PHASE.ON_TRIAL, 0, 0.1),
    state(PHASE.ON_TRIAL, 1, 0.3),
    state(PHASE.ON_TRIAL, 3, 1.0),
    state(PHASE.GOING_BACK, 3, 0.5),
    state(PHASE.GOING_BACK, 3, 0.0),
    state(PHASE.WITHDRAWN, 3, 0.0),
    state(PHASE.ON_TRIAL, 0, 0.1, build=9),
    state(PHASE.RELEASED, 3, 1.0, build=9),
)


class RolloutOrderTest(unittest.TestCase):
    def test_states_in_their_order_hold_as_they_are_told(self):
        order = RolloutOrder(STALE_MS)
        for at, told in enumerate(HISTORY):
            self.assertIs(order.newest(float(at), told), told)
        self.assertEqual(order.stale_count, 0)

    # Guards against an answer that was held up and takes the place of newer news.
    def test_an_older_one_is_replaced_by_the_newest(self):
        for older, newer in itertools.combinations(HISTORY, 2):
            with self.subTest(older=older, newer=newer):
                order = RolloutOrder(STALE_MS)
                order.newest(0.0, newer)
                found = order.newest(700.0, replace(older, reply=True))
                self.assertEqual(found, replace(newer, reply=True, age_ms=800.0))
                self.assertEqual(order.stale_count, 1)

    def test_the_same_one_again_is_taken_with_its_own_age_and_cap(self):
        order = RolloutOrder(STALE_MS)
        order.newest(0.0, HISTORY[1])
        again = replace(HISTORY[1], age_ms=900.0, cap=0.2)
        self.assertIs(order.newest(1.0, again), again)

    # Guards against a platform that is never heard again once it has gone back to an earlier state.
    def test_an_older_one_holds_once_the_newest_was_not_told_for_long(self):
        order = RolloutOrder(STALE_MS)
        order.newest(0.0, HISTORY[-1])
        self.assertEqual(order.newest(STALE_MS - 1.0, HISTORY[0]).build, 9)
        self.assertIs(order.newest(STALE_MS, HISTORY[0]), HISTORY[0])


class DriverTest(unittest.TestCase):
    # Guards against requests to a build that was sent back, by an answer to a vote that is older than the news.
    def test_the_answer_to_a_vote_behind_newer_news(self):
        with closing(BalancerRig()) as rig:
            rig.listed(replace(RELEASED, build=7))
            heard = []
            rig.driver.observer = lambda _now, what: heard.append(what)
            rig.driver.enqueue(state(PHASE.GOING_BACK, 3, 0.0))
            rig.driver.enqueue(state(PHASE.ON_TRIAL, 3, 1.0, reply=True))
            rig.turn()
            statuses = [what for what in heard if isinstance(what, ifc.RolloutStatus)]
            self.assertEqual([(one.phase, one.cap) for one in statuses], [(PHASE.GOING_BACK, 0.0)] * 2)
            self.assertEqual([one.reply for one in statuses], [False, True])
            self.assertEqual(rig.driver.rollout_status, statuses[-1])

    def test_a_vote_without_answer_changes_no_state(self):
        with closing(BalancerRig()) as rig:
            rig.listed(replace(RELEASED, build=7))
            before = rig.driver.rollout_status
            rig.driver.enqueue(replace(state(PHASE.ON_TRIAL, build=0, reply=True), ending=ifc.Outcome.TIMEOUT))
            rig.turn()
            self.assertIs(rig.driver.rollout_status, before)


if __name__ == "__main__":
    unittest.main()

"""Timers of requests that are over are not kept until they are due, and no client's turn waits for another's rest.

Ten clients that sent sound requests without pause for 8 s, answered within milliseconds, brought a balancer of 32 MB to
34.8 MB: each request left a timer for its deadline seconds later, and one for its attempt with all that it held.
"""

import time
import unittest
from contextlib import closing

from brookreach import interface as ifc
from brookreach.net.poller import Expirable
from brookreach.net.timers import MIN_TIMERS_TO_DROP, Timers

from .peers_front import BalancerRig, look, read_answers

HOUR_MS = 3_600_000
ROUNDS = 30
REQUESTS = 32


class TimersTest(unittest.TestCase):
    def test_what_is_needed_stays_in_its_order(self):
        timers = Timers()
        for at in range(4 * MIN_TIMERS_TO_DROP, 0, -1):
            timers.schedule(float(at), at)
        timers.drop_settled(lambda target: target % 4 == 0)
        self.assertEqual([timers.pop() for _ in range(3)], [4, 8, 12])
        self.assertEqual(timers.needed_count, MIN_TIMERS_TO_DROP)

    def test_a_search_is_made_only_where_many_may_be_settled(self):
        timers = Timers()
        for at in range(MIN_TIMERS_TO_DROP - 1):
            timers.schedule(float(at), at)
        timers.drop_settled(self.fail)  # it asks of no timer
        self.assertEqual((len(timers.heap), timers.needed_count), (MIN_TIMERS_TO_DROP - 1, 0))

    def test_a_timeout_is_needed_unless_it_says_otherwise(self):
        self.assertFalse(Expirable().is_settled())


class AnsweredTest(unittest.TestCase):
    # Guards against memory that grows with the rate of requests times their deadlines.
    def test_requests_that_are_answered_leave_no_timers(self):
        with closing(BalancerRig()) as rig:
            rig.listed()
            client = rig.client()
            for first in range(1, ROUNDS * REQUESTS, REQUESTS):
                client.send(b"".join(look(first + at, HOUR_MS) for at in range(REQUESTS)))
                self.assertEqual(read_answers(client, REQUESTS), ["row"] * REQUESTS)
            rig.driver._take_turn()
            self.assertLess(len(rig.driver.timers.heap), 2 * MIN_TIMERS_TO_DROP)

    def test_those_that_are_open_are_still_ended_in_time(self):
        with closing(BalancerRig()) as rig:
            rig.listed()
            waiting, busy = rig.client(), rig.client()
            began_at = time.monotonic()
            waiting.send(look(10_000, 1500, "hang"))
            for first in range(1, 10 * REQUESTS, REQUESTS):
                busy.send(b"".join(look(first + at, HOUR_MS) for at in range(REQUESTS)))
                read_answers(busy, REQUESTS)
            rig.driver.timers.drop_settled(rig.driver._is_timer_needed)
            self.assertEqual(read_answers(waiting, 1), ["53300"])
            self.assertLess(time.monotonic() - began_at, 1.6)


class TurnsTest(unittest.TestCase):
    # Guards against clients that write ahead and keep those with one request from their turn.
    def test_what_is_left_of_some_clients_and_new_requests_of_others_are_read_by_turns(self):
        with closing(BalancerRig()) as rig:
            rig.listed()
            greedy, modest = rig.client(), rig.client()
            received = []
            rig.driver.observer = lambda _now, one: received.append(one) if isinstance(one, ifc.RpcReceived) else None
            greedy.send(b"".join(look(number, 1) for number in range(1, 2001)))
            while len(received) < 100:
                rig.driver._take_turn()
            before = len(received)
            modest.send_unread(look(5000, HOUR_MS))
            while b"5000" not in [one.client_id for one in received]:
                rig.driver._take_turn()
            self.assertLess([one.client_id for one in received].index(b"5000") - before, 100)


if __name__ == "__main__":
    unittest.main()

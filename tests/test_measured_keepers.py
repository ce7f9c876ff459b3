"""Figures of the ground: the same at each run, and they show what they are for."""

import random
import unittest
from unittest import mock

from brookreach.coordination.client.leader_discovery import LeaderDiscovery
from brookreach.coordination.state_machine.tables import Tables
from brookreach.coordination.timing import Timing
from brookreach.disruption.application import APPLICATION
from brookreach.model import keepers_load, keepers_sizes, keepers_times
from brookreach.model.keepers_crowd import fleet
from brookreach.model.keepers_wire import TURN, Uplink


class Times(unittest.TestCase):
    def test_the_same_seeds_give_the_same_figures(self):
        first, again = (keepers_times.times(3, Timing()) for _ in range(2))
        self.assertEqual(first, again)
        self.assertEqual(len(first), 2 + 2 * len(keepers_times.FAULTS))
        gaps = {keepers_times.gap("killed", seed, 3, Timing()).ms for seed in (1, 2, 3)}
        self.assertEqual(len(gaps), 3)

    def test_a_slow_election_shows(self):
        lines = keepers_times.times(3, Timing(), (3,), 3.0, ("killed", "handed over"))
        cells = [[cell.strip() for cell in line.split("|")[1:-1]] for line in lines[2:]]
        killed, handed = cells
        self.assertGreater(float(killed[6]), 2.0 * float(killed[2]))
        self.assertGreater(float(killed[2]), 250.0)  # a follower waits for an election time first
        self.assertEqual(handed[6], handed[2])  # nobody waits for one

    def test_a_leader_that_stood_still_comes_back_without_an_election(self):
        one = keepers_times.gap("stopped", 5, 3, Timing())
        self.assertEqual((one.elections, one.later), (1, 0))


class Load(unittest.TestCase):
    TIMING = Timing()

    def test_the_same_seed_gives_the_same_bytes_and_drains_cost_some(self):
        idle, busy, again = (keepers_load.traffic(4, 60, 3, self.TIMING, 1.0, 0.3, drains) for drains in (0, 10, 10))
        self.assertEqual(busy, again)
        self.assertGreater(busy[0], 1.2 * idle[0])  # each drain is told to each marshal
        self.assertLess(abs(busy[1] - idle[1]), 0.1 * idle[1])  # they say no more by it

    def test_a_slow_uplink_shows_where_all_come_at_once(self):
        fast, slow = (keepers_load.came(16, 400, 3, self.TIMING, gbit, False) for gbit in (1.0, 0.01))
        self.assertGreater(slow[0][2], fast[0][2] + 100.0)
        self.assertEqual(fast, keepers_load.came(16, 400, 3, self.TIMING, 1.0, False))
        self.assertGreater(fast[1][2], self.TIMING.election_timeout_ms)  # nobody is told before somebody leads
        self.assertEqual(fast[1][5], 0)


class Returns(unittest.TestCase):
    def test_the_next_leader_is_tried_at_once_though_the_dead_one_was_named_before(self):
        seek = LeaderDiscovery(("k1", "k2", "k3"), Timing(), random.Random(1))
        one = seek.next_replica()
        dead, new = (name for name in ("k1", "k2", "k3") if name != one)
        seek.schedule_next(10.0, 500.0, dead)
        self.assertEqual((seek.next_attempt_ms, seek.next_replica()), (10.0, dead))
        seek.schedule_next(20.0, 500.0)  # refused
        self.assertGreater(seek.next_attempt_ms, 20.0)
        while seek.next_replica() != one:
            seek.schedule_next(25.0, 500.0)  # refused, or nobody leads
        seek.schedule_next(30.0, 500.0, dead)
        self.assertGreater(seek.next_attempt_ms, 30.0)  # not to and fro
        while seek.next_replica() != one:
            seek.schedule_next(25.0, 500.0)  # refused, or nobody leads
        seek.schedule_next(400.0, 500.0, new)
        self.assertEqual((seek.next_attempt_ms, seek.next_replica()), (400.0, new))
        seek.schedule_next(401.0, 500.0, one)
        self.assertGreater(seek.next_attempt_ms, 401.0)

    def test_all_return_well_within_their_lease_as_a_leader_dies(self):
        for seed in (1, 2, 4):
            _, _, last, _, _, lost = keepers_load.came(20, 50, seed, Timing(), 1.0, False)[1]
            self.assertEqual(lost, 0)
            self.assertLess(last, 1_700.0)  # with pauses on the way to a leader that is known: 1,971 to 2,009


class Wire(unittest.TestCase):
    def test_a_line_keeps_its_order_and_a_small_frame_waits_for_one_turn_of_another(self):
        calls, came = [], []
        link = Uplink(1000.0, mock.Mock(uniform=lambda least, most: least), lambda at, call: calls.append((at, call)))
        for line, octets, name in (("a", 10 * TURN, "large"), ("a", 10, "after"), ("b", 10, "small")):
            link.put(0.0, line, octets, lambda name=name: came.append((now, name)))
        self.assertEqual(link.full(TURN), ["a"])
        while calls:
            calls.sort(key=lambda one: one[0])
            now, call = calls.pop(0)
            call()
        self.assertEqual([name for _, name in came], ["small", "large", "after"])
        self.assertLess(came[0][0], 2 * TURN / 1000.0)
        self.assertEqual(link.waits, {})


class Sizes(unittest.TestCase):
    def test_what_is_due_is_found_without_reading_all_that_will_be(self):
        view = fleet(30).view
        with mock.patch.object(Tables, "rows", side_effect=AssertionError("all rows are copied")):
            APPLICATION.next_timer_ms(view)
        self.assertEqual(list(view.iterate("nodes", "n1")), view.rows("nodes", "n1"))
        self.assertEqual(list(view.iterate("nodes")), view.rows("nodes"))
        self.assertEqual(list(view.iterate("no such table")), [])

    def test_a_snapshot_grows_with_the_fleet(self):
        small, large = (keepers_sizes.cost(nodes, 1) for nodes in (200, 400))
        self.assertGreater(large["bytes"], 1.5 * small["bytes"])
        self.assertGreater(keepers_sizes.kept(50, 1), 0.0)


if __name__ == "__main__":
    unittest.main()

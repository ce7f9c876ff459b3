"""What makes the slopes of docs/CAPACITY.md: the same at each run where it counts, and refusing what was not done."""

import unittest
from unittest import mock

from brookreach.capacity import measure, measure_anew, measure_leader, samples
from brookreach.coordination.protocol import messages
from brookreach.disruption.tables import NODES


class AnewTest(unittest.TestCase):
    def test_bytes_are_the_same_at_each_run_and_do_not_hang_on_how_many_come(self):
        first, again, more = (measure_anew.bytes_anew("agent", 30, 50, clients) for clients in (2, 2, 6))
        self.assertEqual(first, again)
        self.assertLess(abs(more - first) / first, 0.01)

    def test_a_marshal_is_told_each_row_that_it_watches(self):
        few, many = (measure_anew.bytes_anew("marshal", nodes, 0, 2) for nodes in (50, 150))
        row = (many - few) / 100
        self.assertGreater(row, 40)
        self.assertLess(row, measure.encoded_bytes(samples.NODE, "s-12345", NODES))  # its names are longer

    def test_who_is_not_told_in_time_is_no_figure(self):
        with mock.patch.object(measure_anew, "MOST_MS", 1.0), self.assertRaisesRegex(RuntimeError, "0 of 2 clients"):
            measure_anew.bytes_anew("agent", 30, 0, 2)


class MeasureTest(unittest.TestCase):
    def test_each_slope_has_a_value_and_a_unit(self):
        with mock.patch.object(messages, "MAX_ROWS", 64):
            found = measure.measured(100, measure_leader.BATCH, 1)
        self.assertEqual(len({name for name, _, _ in found}), len(found))
        for name, value, unit in found:
            self.assertGreater(value, 0.0, name)
            self.assertIn(unit, ("bytes", "seconds"), name)

    def test_memory_grows_by_what_is_held(self):
        small, large = (
            measure.grown_bytes(lambda count, size=size: [bytes(size)[:] + b"x" for _ in range(count)], 1000)
            for size in (100, 300)
        )
        self.assertAlmostEqual(large - small, 200.0, delta=20.0)

    def test_renewals_that_are_not_answered_are_no_figure(self):
        with (
            mock.patch.object(measure_leader, "confirm", lambda crowd, leader: (0.0, 0)),
            self.assertRaisesRegex(RuntimeError, "0 of 256 renewals"),
        ):
            measure_leader.renewal_seconds(measure_leader.BATCH, 1)


if __name__ == "__main__":
    unittest.main()

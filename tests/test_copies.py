"""Second copies of idempotent RPCs, where a marshal sees few: sent while answers come in time, none in a jam."""

import unittest

from brookreach import interface as ifc

from .world import World, node, start

NODES = [node(number) for number in range(1, 13)]
SOFT_MS = 1000.0  # of the one method


def calm_world():
    """A marshal of sixty that has earned second copies: 100 RPCs, all answered after 100 ms."""
    world = World(start(marshals=60, tally=2000.0, copies=True))
    world.nodes(*NODES)
    world.news(1, 2, 1.0, ifc.Phase.RELEASED)
    world.quietly(100, gap=100.0)
    return world


def answered_after(world, wait_ms):
    """One RPC whose first pick answers so late; how many picks it had. A second copy's answer comes with it."""
    rpc = world.rpc()
    world.wait(wait_ms)
    picks = len(world.open[rpc])
    world.end(rpc, took=wait_ms, nth=0)
    for nth in range(1, picks):
        world.end(rpc, ifc.Ending.CANCELLED, wait_ms, nth)
    return picks


class CopiesTest(unittest.TestCase):
    def test_one_pick_that_hangs_on_a_calm_day_has_a_copy(self):
        self.assertEqual(answered_after(calm_world(), 0.9 * SOFT_MS), 2)

    def test_a_jam_ends_copies(self):
        """All answers late: what nodes have to do must not grow by a tenth. It took one of ten before."""
        world = calm_world()
        picks = [answered_after(world, 1.1 * SOFT_MS) for _ in range(100)]
        self.assertLessEqual(sum(picks) - len(picks), 3)
        self.assertEqual(picks[-50:], [1] * 50)

    def test_a_fifth_late_is_a_jam_too(self):
        world = calm_world()
        picks = [answered_after(world, (1.1 if nth % 5 == 0 else 0.9) * SOFT_MS) for nth in range(200)]
        self.assertLessEqual(sum(picks) - len(picks), 3)

    def test_pushbacks_end_copies(self):
        world = calm_world()
        world.nodes()
        for _ in range(5):
            world.rpc()
            world.wait(SOFT_MS)
        world.nodes(*NODES)
        self.assertEqual(sum(" push back " in text for text in world.trace), 5)
        self.assertEqual(answered_after(world, 0.9 * SOFT_MS), 1)

    def test_answers_in_time_earn_them_again(self):
        world = calm_world()
        for _ in range(20):
            answered_after(world, 1.1 * SOFT_MS)
        world.quietly(20, gap=100.0)
        self.assertEqual(answered_after(world, 0.9 * SOFT_MS), 2)

    def test_few_that_hang_keep_theirs(self):
        """One RPC of twenty at a node that hangs: each has its copy, which answers in time."""
        world, copies = calm_world(), 0
        for _ in range(20):
            world.quietly(19, gap=20.0)
            rpc = world.rpc()
            world.wait(0.8 * SOFT_MS)
            copies += len(world.open[rpc]) == 2
            world.end(rpc, took=100.0)
            world.end(rpc, ifc.Ending.CANCELLED, 0.8 * SOFT_MS, 0)
        self.assertEqual(copies, 20)


if __name__ == "__main__":
    unittest.main()

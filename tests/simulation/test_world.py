"""The drills' world is the same again by its seed, its faults do what they say; the relay between two sockets."""

import random
import unittest

import anyio

from brookreach.coordination.ports import PendingSave, StorageError, StoredState
from brookreach.coordination.protocol import messages
from brookreach.simulation.coordination import drill
from brookreach.simulation.defect import inject_defect
from brookreach.simulation.engine import disk, faults
from brookreach.simulation.engine.faults import Fault
from brookreach.simulation.engine.transit import clocks
from brookreach.simulation.processes import relay
from brookreach.simulation.processes.ports import PortAllocator

WAIT_S = 180.0  # for what takes a moment on an idle machine


def entry(index, term=1, octets=b""):
    return messages.Entry(index, term, octets)


class DiskTest(unittest.TestCase):
    def test_what_a_save_leaves(self):
        one = disk.MemoryDisk(("k1",))
        one.save(PendingSave(1, "k1", 0, [entry(1), entry(2), entry(3)]))
        one.save(PendingSave(2, "", 1, [entry(2, 2)]))
        self.assertEqual(one.load(), StoredState(2, "", ("k1",), 0, 0, b"", (entry(1), entry(2, 2))))
        one.save(PendingSave(2, "", 2, [entry(3, 2)], (2, 2, ("k1", "k2"), b"state")))
        self.assertEqual(one.load(), StoredState(2, "", ("k1", "k2"), 2, 2, b"state", (entry(3, 2),)))
        with self.assertRaisesRegex(ValueError, "gap"):
            one.save(PendingSave(2, "", 3, [entry(5, 2)]))

    def test_faults(self):
        one = disk.MemoryDisk(("k1",))
        one.save(PendingSave(1, "k1", 0, [entry(1)]))
        one.full = True
        self.assertRaises(StorageError, one.save, PendingSave(2, "", 1))
        one.full, one.torn = False, "before"
        self.assertRaises(disk.Died, one.save, PendingSave(2, "", 1))
        self.assertEqual(one.load().term, 1)
        one.torn = "after"
        self.assertRaises(disk.Died, one.save, PendingSave(3, "", 1))
        self.assertEqual(one.load().term, 3)
        one.torn = "promise"
        one.save(PendingSave(3, "", 1, [entry(2, 3)]))
        self.assertFalse(one.promised)
        one.save(PendingSave(4, "k2", 2))
        self.assertTrue(one.promised)
        one.go_back(2)
        self.assertEqual((one.load().term, len(one.load().entries)), (3, 1))
        one.empty()
        self.assertEqual(one.load(), StoredState())


class WorldTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_trace(self):
        traces = []
        for seed in (3, 3, 4):
            case, broken = drill.play(seed, keep=True)
            self.assertEqual(broken, [])
            traces.append((case.world.digest, case.world.kept))
        self.assertEqual(traces[0], traces[1])
        self.assertNotEqual(traces[0][0], traces[2][0])

    def test_one_way_cut_and_stop(self):
        """What is cut one way passes the other; who is stopped hears all of it later."""
        case, _ = drill.play(1, [], keep=True)
        said = [line.split() for line in case.world.kept if " > k" in line]
        leader = next(one[1] for one in said if float(one[0]) > 2000.0 and "Append" in one)
        other = next(one for one in ("k1", "k2") if one != leader)
        for here, there in ((leader, other), (other, leader)):
            fault, unheard = Fault(2000, "cut", (here,), (there,), 300), f"{here} lost to {there}"
            case, broken = drill.play(1, [fault], keep=True)
            self.assertEqual(broken, [])
            lost = {line.split(" ", 1)[1] for line in case.world.kept if " lost to " in line}
            self.assertEqual(lost, {unheard})
        case, broken = drill.play(1, [Fault(2000, "stop", ("c1",), (), 700)], keep=True)
        self.assertEqual(broken, [])
        said = [float(line.split()[0]) for line in case.world.kept if " c1 > " in line]
        self.assertFalse([at for at in said if 2000.0 < at < 2700.0])
        self.assertTrue([at for at in said if at > 2700.0])

    def test_a_kept_disk_and_a_lost_one(self):
        planned = [
            Fault(1500, "kill", ("k1",), (), 400),
            Fault(3000, "kill", ("k2",), (), 100, 0, "after"),
            Fault(4000, "emptied", ("k3",), (), 50),
        ]
        case, broken = drill.play(5, planned)
        self.assertEqual(broken, [])
        self.assertTrue(case.world.parties["k3"].lost)
        self.assertEqual(case.world.parties["k1"].life, 2)

    def test_clocks_keep_the_bound(self):
        rates = [clocks(random.Random(seed), 0.05)[0] for seed in range(300)]
        self.assertLessEqual(max(rates) / min(rates), 1.05 + 1e-9)
        self.assertGreater(max(rates) / min(rates), 1.045)


class FaultsTest(unittest.TestCase):
    def test_lists_leave_a_majority_of_disks(self):
        for seed in range(200):
            made = faults.made(random.Random(seed), ("k1", "k2", "k3"), ("c1",), 5000, 30)
            self.assertLessEqual(len({one.who[0] for one in made if one.kind == "emptied"}), 1)
            self.assertEqual(made, sorted(made, key=lambda one: one.at_ms))
            self.assertTrue(all(one.at_ms + one.for_ms <= 5000 for one in made))

    def test_cut_down(self):
        made = faults.made(random.Random(1), ("k1", "k2", "k3"), ("c1",), 5000, 40)
        wanted = {made[2], made[-1]}
        fewer, plays = faults.cut_down(made, lambda some: wanted <= set(some))
        self.assertEqual(set(fewer), wanted)
        self.assertLess(plays, 120)
        self.assertEqual(faults.cut_down(made, lambda some: True)[0], [])


class PlantTest(unittest.TestCase):
    def test_planted_defects_are_found(self):
        for plant in ("snapshot-without-sessions",):
            report = drill.run(1, 12, plant)
            self.assertFalse(report.passed, plant)

    def test_cut_down_shows_it_again(self):
        with inject_defect(drill.DEFECTS, "snapshot-without-sessions"):
            seed = next(seed for seed in range(1, 12) if drill.play(seed)[1])
        report = drill.run(seed, 1, "snapshot-without-sessions")
        self.assertIn("faults left", report.figures)


class RelayTest(unittest.TestCase):
    """Between two sockets of this process."""

    def played(self, turn, over, say=20):
        """What comes through when `turn` has set the ways; frames are said in order, answered alike.

        It ends once `over(heard, back, relay)` says that nothing is on its way any more.
        """

        ports = PortAllocator()
        self.addCleanup(ports.close)
        entry, target = ports.allocate(), ports.allocate()

        async def play():
            heard, back = [], []
            through = relay.Relay([relay.RelayEndpoint("a", "b", entry, target)], 7)

            async def serve(stream):
                async with stream:
                    async for one in frames(stream):
                        heard.append(one)
                        await stream.send(framed(b"re " + one))

            async def hear(stream):
                async for one in frames(stream):
                    back.append(one)

            with anyio.fail_after(WAIT_S):
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=target)
                async with listener, anyio.create_task_group() as tasks:
                    tasks.start_soon(listener.serve, serve)
                    await tasks.start(through.run)
                    async with await anyio.connect_tcp("127.0.0.1", entry) as stream:
                        tasks.start_soon(hear, stream)
                        turn(through.links["a", "b"], through.links["b", "a"])
                        for nth in range(say):
                            await stream.send(framed(b"%d" % nth))
                        while not over(heard, back, through):
                            await anyio.sleep(0.01)
                        await anyio.sleep(0.15)  # what should not come would still
                        tasks.cancel_scope.cancel()
            return heard, back, through

        return anyio.run(play)

    def test_as_it_is(self):
        heard, back, _ = self.played(lambda there, here: None, lambda heard, back, _: len(back) == 20)
        self.assertEqual(heard, [b"%d" % nth for nth in range(20)])
        self.assertEqual(back, [b"re %d" % nth for nth in range(20)])

    def test_one_way_cut(self):
        heard, back, _ = self.played(
            lambda there, here: setattr(here, "impairment", relay.Impairment(cut=True)),
            lambda heard, back, through: through.links["b", "a"].frame_counts["cut"] == 20,
        )
        self.assertEqual((len(heard), back), (20, []))

    def test_doubled_overtaken_changed(self):
        def turn(there, here):
            there.impairment = relay.Impairment(duplicate_fraction=1.0, jitter_ms=20.0)
            here.impairment = relay.Impairment(corrupt_fraction=1.0)

        heard, back, through = self.played(
            turn,
            lambda heard, back, through: (
                len(heard) == 40 and through.links["b", "a"].frame_counts["changed"] == len(back) == 40
            ),
        )
        self.assertEqual(sorted(heard), sorted([b"%d" % nth for nth in range(20)] * 2))
        self.assertNotEqual(heard, sorted(heard, key=int))
        self.assertEqual(through.links["b", "a"].frame_counts["changed"], len(back))

    def test_ports_end(self):
        with PortAllocator(29400, 29402, block=3) as ports:
            self.assertEqual([ports.allocate(), ports.allocate()], [29401, 29402])
            self.assertRaisesRegex(ValueError, "fewer processes", ports.allocate)


def framed(octets):
    return len(octets).to_bytes(4, "big") + octets


async def frames(stream):
    held = b""
    while True:
        try:
            held += await stream.receive()
        except anyio.EndOfStream:
            return
        while len(held) >= 4 and len(held) >= 4 + int.from_bytes(held[:4], "big"):
            size = int.from_bytes(held[:4], "big")
            yield held[4 : 4 + size]
            held = held[4 + size :]

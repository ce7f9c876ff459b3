"""A simulation repeats itself by its seed and its faults do what they say; the relay between two sockets."""

import inspect
import random
import unittest

import anyio

from brookreach.coordination.errors import StorageError
from brookreach.coordination.protocol import messages
from brookreach.coordination.raft.types import PendingSave, Snapshot, StoredState
from brookreach.simulation.coordination import defects, drill
from brookreach.simulation.defect import inject_defect
from brookreach.simulation.engine import disk
from brookreach.simulation.engine.clock import DriftingClock
from brookreach.simulation.engine.fault_planner import plan_faults
from brookreach.simulation.engine.fault_reduction import reduce_faults
from brookreach.simulation.engine.faults import CrashPoint, Fault, FaultKind
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
        self.assertEqual(one.load(), StoredState(2, "", Snapshot(members=("k1",)), (entry(1), entry(2, 2))))
        one.save(PendingSave(2, "", 2, [entry(3, 2)], Snapshot(2, 2, ("k1", "k2"), b"state")))
        self.assertEqual(one.load(), StoredState(2, "", Snapshot(2, 2, ("k1", "k2"), b"state"), (entry(3, 2),)))
        with self.assertRaisesRegex(ValueError, "gap"):
            one.save(PendingSave(2, "", 3, [entry(5, 2)]))

    def test_faults(self):
        one = disk.MemoryDisk(("k1",))
        one.save(PendingSave(1, "k1", 0, [entry(1)]))
        one.is_full = True
        self.assertRaises(StorageError, one.save, PendingSave(2, "", 1))
        one.is_full, one.crash_point = False, CrashPoint.BEFORE_SAVE
        self.assertRaises(disk.SimulatedCrashError, one.save, PendingSave(2, "", 1))
        self.assertEqual(one.load().term, 1)
        one.crash_point = CrashPoint.AFTER_SAVE
        self.assertRaises(disk.SimulatedCrashError, one.save, PendingSave(3, "", 1))
        self.assertEqual(one.load().term, 3)
        one.crash_point = CrashPoint.AFTER_PROMISE
        one.save(PendingSave(3, "", 1, [entry(2, 3)]))
        self.assertFalse(one.dies_after_promise)
        one.save(PendingSave(4, "k2", 2))
        self.assertTrue(one.dies_after_promise)
        one.roll_back(2)
        self.assertEqual((one.load().term, len(one.load().entries)), (3, 1))
        one.erase()
        self.assertEqual(one.load(), StoredState())


class SimulationTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_trace(self):
        traces = []
        for seed in (3, 3, 4):
            run = drill.run_seed(seed, keep_trace=True)
            self.assertEqual(run.recorder.violations, [])
            traces.append((run.simulation.trace.digest, run.simulation.trace.lines))
        self.assertEqual(traces[0], traces[1])
        self.assertNotEqual(traces[0][0], traces[2][0])

    def test_one_way_cut_and_pause(self):
        """What is cut one way passes the other; a paused process receives all of it later."""
        run = drill.run_seed(1, [], keep_trace=True)
        sent = [line.split() for line in run.simulation.trace.lines if " > k" in line]
        leader = next(one[1] for one in sent if float(one[0]) > 2000.0 and "Append" in one)
        other = next(one for one in ("k1", "k2") if one != leader)
        for source, target in ((leader, other), (other, leader)):
            fault, lost_line = Fault(2000, FaultKind.CUT, (source,), (target,), 300), f"{source} lost to {target}"
            run = drill.run_seed(1, [fault], keep_trace=True)
            self.assertEqual(run.recorder.violations, [])
            lost = {line.split(" ", 1)[1] for line in run.simulation.trace.lines if " lost to " in line}
            self.assertEqual(lost, {lost_line})
        run = drill.run_seed(1, [Fault(2000, FaultKind.PAUSE, ("c1",), (), 700)], keep_trace=True)
        self.assertEqual(run.recorder.violations, [])
        sent_at = [float(line.split()[0]) for line in run.simulation.trace.lines if " c1 > " in line]
        self.assertFalse([at for at in sent_at if 2000.0 < at < 2700.0])
        self.assertTrue([at for at in sent_at if at > 2700.0])

    def test_a_kept_disk_and_a_lost_one(self):
        faults = [
            Fault(1500, FaultKind.KILL, ("k1",), (), 400),
            Fault(3000, FaultKind.KILL, ("k2",), (), 100, 0, CrashPoint.AFTER_SAVE),
            Fault(4000, FaultKind.DISK_LOST, ("k3",), (), 50),
        ]
        run = drill.run_seed(5, faults)
        self.assertEqual(run.recorder.violations, [])
        self.assertTrue(run.simulation.processes["k3"].has_lost_disk)
        self.assertEqual(run.simulation.processes["k1"].incarnation, 2)

    def test_clocks_keep_the_bound(self):
        rates = [DriftingClock.draw(random.Random(seed), 0.05).rate for seed in range(300)]
        self.assertLessEqual(max(rates) / min(rates), 1.05 + 1e-9)
        self.assertGreater(max(rates) / min(rates), 1.045)


class FaultsTest(unittest.TestCase):
    def test_plans_leave_a_majority_of_disks(self):
        for seed in range(200):
            faults = plan_faults(random.Random(seed), ("k1", "k2", "k3"), ("c1",), 5000, 30)
            self.assertLessEqual(len({one.targets[0] for one in faults if one.kind is FaultKind.DISK_LOST}), 1)
            self.assertEqual(faults, sorted(faults, key=lambda one: one.at_ms))
            self.assertTrue(all(one.at_ms + one.duration_ms <= 5000 for one in faults))

    def test_reduction(self):
        faults = plan_faults(random.Random(1), ("k1", "k2", "k3"), ("c1",), 5000, 40)
        wanted = {faults[2], faults[-1]}
        remaining, runs = reduce_faults(faults, lambda some: wanted <= set(some))
        self.assertEqual(set(remaining), wanted)
        self.assertLess(runs, 120)
        self.assertEqual(reduce_faults(faults, lambda some: True)[0], [])


class DefectTest(unittest.TestCase):
    def test_defects_override_what_is_there(self):
        """A method that has another name in the program by now would inject nothing."""
        for name, defect in {**defects.DEFECTS, **defects.MUTATION_DEFECTS}.items():
            defective = defect.make_defective(getattr(defect.module, defect.attribute))
            if not isinstance(defective, type):
                continue
            overridden = [method for method, value in vars(defective).items() if inspect.isfunction(value)]
            self.assertTrue(overridden, name)
            for method in overridden:
                self.assertTrue(hasattr(defective.__bases__[0], method), f"{name}: {method}")

    def test_injected_defects_are_found(self):
        for defect in ("snapshot-without-sessions",):
            report = drill.run(1, 12, defect)
            self.assertFalse(report.passed, defect)

    def test_reduced_faults_show_it_again(self):
        with inject_defect(drill.DEFECTS, "snapshot-without-sessions"):
            seed = next(seed for seed in range(1, 12) if drill.run_seed(seed).recorder.violations)
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

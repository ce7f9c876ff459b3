"""The deadline of a drain binds all RPCs that are open or come later, and their picks; nothing is open at its end."""

import time
import unittest
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

import anyio

from brookreach.net.drain import Drain
from brookreach.net.limits import limits_from
from brookreach.net.shutdown import Shutdown

from .helpers import SETTINGS, RecordedLog
from .peers_clients import LIMITS
from .peers_front import BalancerRig, book, look, read_answers

HOUR_MS = 3_600_000
STOP_S = 0.6


class DrainTest(unittest.TestCase):
    def rig(self, **more):
        rig = BalancerRig(**more)
        self.addCleanup(rig.close)
        rig.listed()
        rig.driver.drain.limits = replace(rig.driver.drain.limits, drain_timeout_s=STOP_S)
        return rig, rig.client()

    def waits_ms(self, rig, number):
        """The waits that nodes were told with an RPC's picks."""
        texts = [text for peer in rig.peers for one in peer.accepted for text in one.queries()]
        return [int(text.split(b",d=")[1].split(b" ")[0]) for text in texts if b"id=%d," % number in text]

    def stop(self, rig):
        rig.driver.drain.begin()
        rig.driver.shorten_all_deadlines()
        self.began = time.monotonic()

    def test_what_is_open_is_answered_by_the_deadline(self):
        rig, client = self.rig()
        client.send(look(1, HOUR_MS, "hang") + book(2, HOUR_MS, "hang"))
        rig.until(lambda: rig.queries() == [1, 2])
        self.stop(rig)
        self.assertEqual(read_answers(client, 2), ["53300", "XX000"])
        self.assertLess(time.monotonic() - self.began, STOP_S + 0.2)
        self.assertEqual((rig.queries(), len(rig.driver.open_rpcs)), ([1, 2], 0))

    def test_what_comes_later_is_answered_by_the_deadline_and_so_are_its_picks(self):
        rig, client = self.rig()
        self.stop(rig)
        client.send(look(1, HOUR_MS, "hang") + book(2, HOUR_MS, "hang"))
        self.assertEqual(read_answers(client, 2), ["53300", "XX000"])
        self.assertLess(time.monotonic() - self.began, STOP_S + 0.2)
        waits = self.waits_ms(rig, 1) + self.waits_ms(rig, 2)
        self.assertGreaterEqual(len(waits), 2)
        self.assertLessEqual(max(waits), STOP_S * 1000.0)

    def test_a_second_pick_has_the_shorter_wait(self):
        rig, client = self.rig(copies=True)
        client.send(look(1, HOUR_MS, "hang"))
        rig.until(lambda: rig.queries() == [1])
        rig.driver.drain.limits = replace(rig.driver.drain.limits, drain_timeout_s=2.0)  # copies go out before it
        self.stop(rig)
        rig.until(lambda: len(rig.queries()) == 2)
        first, copy = sorted(self.waits_ms(rig, 1), reverse=True)
        self.assertGreater(first, 2000)
        self.assertLessEqual(copy, 2000)
        self.assertEqual(read_answers(client, 1), ["53300"])

    def test_an_rpc_with_less_time_keeps_its_own(self):
        rig, client = self.rig()
        self.stop(rig)
        client.send(look(1, 100, "hang"))
        self.assertEqual(read_answers(client, 1), ["53300"])
        self.assertLess(time.monotonic() - self.began, STOP_S - 0.2)

    def test_past_the_deadline_all_is_refused_at_once(self):
        rig, client = self.rig()
        rig.driver.drain.limits = replace(rig.driver.drain.limits, drain_timeout_s=0.0)
        self.stop(rig)
        client.send(look(1, HOUR_MS) + book(2, HOUR_MS))
        self.assertEqual(read_answers(client, 2), ["53300", "53300"])
        self.assertEqual(rig.queries(), [])

    def test_the_balancer_fails_during_a_stop(self):
        rig, client = self.rig()
        client.send(book(1, HOUR_MS, "hang"))
        rig.until(lambda: rig.queries() == [1])
        self.stop(rig)
        rig.driver._restart_balancer("a defect")
        rig.report.lines.clear()
        self.assertEqual(read_answers(client, 1), ["XX000"])
        client.send(look(2, HOUR_MS, "hang"))
        self.assertEqual(read_answers(client, 1), ["53300"])
        self.assertLess(time.monotonic() - self.began, STOP_S + 0.2)

    def test_what_is_still_open_at_the_end_is_aborted(self):
        rig, client = self.rig()
        client.send(look(1, HOUR_MS, "hang") + book(2, HOUR_MS, "hang"))
        rig.until(lambda: rig.queries() == [1, 2])
        rig.driver.open_rpcs.abort_all()
        self.assertEqual(read_answers(client, 2), ["XX000", "XX000"])
        self.assertEqual((len(rig.driver.open_rpcs), rig.driver.open_rpcs.answer_counts["failed"]), (0, 2))


class SignalTest(unittest.TestCase):
    # Guards against a stop that is planned past the kill, which counts from the signal and not from when it is handled.
    def test_the_deadline_counts_from_the_earliest_time_of_the_signal(self):
        drain, signalled_at = Drain(LIMITS), time.monotonic() - 1.5
        drain.begin(signalled_at)
        self.assertEqual(drain.began_at, signalled_at)
        self.assertAlmostEqual(drain.deadline, signalled_at + LIMITS.drain_timeout_s)
        drain.begin(signalled_at - 1.0)
        self.assertEqual(drain.began_at, signalled_at)

    def test_a_signal_has_not_come_before_now_unless_that_is_known(self):
        drain, before = Drain(LIMITS), time.monotonic()
        drain.begin()
        self.assertGreaterEqual(drain.began_at, before)


class LimitsTest(unittest.TestCase):
    """The deadline leaves time before the earliest SIGKILL for a process that is held up twice."""

    def test_by_the_longest_limit(self):
        for longest_s, kill_s in ((0.6, 1.3), (1.0, 1.7), (3.0, 3.7), (3.098, 3.7), (5.5, 3.7)):
            with self.subTest(longest_s=longest_s):
                stop_s = limits_of(longest_s).drain_timeout_s
                self.assertAlmostEqual(stop_s, kill_s - 0.4)
                self.assertLessEqual(stop_s + LIMITS.exit_grace_s + 0.15, kill_s)


def limits_of(longest_s):
    """The limits of settings whose longest method has so much time."""
    classes = [one | {"hardLimitUs": round(longest_s * 1e6)} for one in SETTINGS["classes"]]
    return limits_from({"cores": 1.0, "memory_mb": 64, "sockets": 256}, SETTINGS | {"classes": classes})


class ShutdownTest(unittest.TestCase):
    """A defect in one step does not prevent the later steps."""

    STEPS = ("shorten_all_deadlines", "abort_all", "refuse_new_connections", "stop_waiting", "close")

    def run_with_failing(self, *names, held_up_s=0.0):
        def step(name):
            def taken():
                self.taken.append(name)
                if name in names:
                    raise ValueError(name)

            return taken

        self.taken, report = [], RecordedLog()
        open_rpcs = mock.MagicMock(answer_counts={}, abort_all=step("abort_all"))
        nodes = SimpleNamespace(pool_state=SimpleNamespace(second_answers=0))
        driver = SimpleNamespace(
            open_rpcs=open_rpcs,
            shorten_all_deadlines=step("shorten_all_deadlines"),
            nodes=nodes,
            standstills=SimpleNamespace(count=0, total_s=0.0),
            dropped_count=0,
        )
        clients = mock.Mock(connected=[], **{name: step(name) for name in self.STEPS[2:]})
        clients.close_counts.most_common.return_value = []
        drain = Drain(replace(LIMITS, drain_timeout_s=0.01, refuse_new_after_s=0.01, exit_grace_s=0.01))
        signal_at = time.monotonic() - held_up_s
        with mock.patch("brookreach.net.drain.time.monotonic", lambda: signal_at):
            drain.begin()
        anyio.run(Shutdown(drain, driver, clients, report).run)
        return [line for line in report.lines if line.startswith("fault")]

    def test_each_step_and_all(self):
        for names in ((), *((name,) for name in self.STEPS), self.STEPS):
            with self.subTest(names=names):
                self.assertEqual(len(self.run_with_failing(*names)), len(names))
                self.assertEqual(
                    self.taken,
                    ["shorten_all_deadlines", "refuse_new_connections", "stop_waiting", "abort_all", "close"],
                )

    # Guards against a stop that ends with an exception, and RPCs without an answer, where a step's time has passed.
    def test_each_step_is_taken_where_the_process_was_held_up_past_its_time(self):
        for held_up_s in (0.011, 0.5, 5.0):
            with self.subTest(held_up_s=held_up_s):
                self.assertEqual(self.run_with_failing(held_up_s=held_up_s), [])
                self.assertEqual(
                    self.taken,
                    ["shorten_all_deadlines", "refuse_new_connections", "stop_waiting", "abort_all", "close"],
                )


if __name__ == "__main__":
    unittest.main()

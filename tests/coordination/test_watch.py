"""What is watched: told without gaps, by turns, whole where that is shorter; the client's mirror of it."""

import unittest
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach.coordination.protocol import messages
from brookreach.coordination.server import watches as watch
from brookreach.coordination.server.watches import WatchService
from brookreach.coordination.state_machine.sessions import SessionStarted, TimePassed
from tests.coordination.client_harness import expected_digest, make_client
from tests.coordination.machine_harness import Add, Log, Take, play, steps


class WatchTest(unittest.TestCase):
    @mock.patch.object(watch, "MAX_UNREPORTED_ENTRIES", 4)
    @given(steps, st.randoms(use_true_random=False), st.integers(60, 2000), st.integers(60, 600))
    @settings(max_examples=150, deadline=None, derandomize=True)
    def test_whatever_is_lost_doubled_or_late_the_mirror_is_a_state_that_was(
        self, steps, chance, max_history_bytes, max_message_bytes
    ):
        log = Log()
        watches = WatchService(log.machine, max_history_bytes, max_message_bytes)
        digests, held = {0: expected_digest(log.machine)}, []
        client = make_client()
        client._connector.replica, client._connector.connected = "k1", True
        client._lease.start(0.0, 1)

        def deliver(message):
            client.handle_message(0.0, "k1", message)
            self.assertEqual(client.cache.digest(), digests[client.cache.index])

        def told():
            for _, message in watches.next_messages(chance.choice((100, 1000)), chance.choice(((), (), ("m1",)))):
                held.extend([message] * chance.choice((0, 1, 1, 1, 2)))
            while held and chance.random() < 0.8:
                deliver(held.pop(0 if chance.random() < 0.8 else chance.randrange(len(held))))

        def took(applied):
            watches.on_applied(applied)
            digests[log.machine.applied] = expected_digest(log.machine)
            if chance.random() < 0.2:
                watches.watch("m1", ("pots",), client.cache.begin_watch())
            if chance.random() < 0.7:
                told()

        log.on_applied = took
        play(log, steps)
        for _ in range(6):  # and at last all is well again
            held.clear()
            watches.watch("m1", ("pots",), client.cache.begin_watch())
            while watches.has_pending:
                for _, message in watches.next_messages(1000):
                    deliver(message)
        self.assertEqual((client.cache.digest(), client.cache.up_to_date), (digests[log.machine.applied], True))
        self.assertEqual(client.rejections["other sum"], 0)  # nothing is left out where nobody lies

    def put(self, log, amount):
        """A pot more for each number, by the group itself."""
        for nth in amount:
            log.propose("m1", nth, Add(f"pot-{nth:04}", nth))

    def watched(self, pots=300, **more):
        log = Log()
        log.run(SessionStarted("m1", "marshal"))
        self.put(log, range(1, pots + 1))
        watches = WatchService(log.machine, **more)
        log.on_applied = watches.on_applied
        return log, watches

    def test_a_thousand_that_return_at_once_come_by_turns(self):
        log, watches = self.watched(max_message_bytes=2000)
        names = [f"n{nth}" for nth in range(1000)]
        for name in names:
            self.assertIsNone(watches.watch(name, ("pots",), 0))
        first = [to for to, _ in watches.next_messages(1 << 30, slow_clients=names[:500])]
        self.assertEqual(first[:500], names[500:])  # the held wait, all others have their first part before a second
        watches.watch("n0", ("pots",), 0)  # asked again: keeps its turn
        ((first, body),) = watches.next_messages(1)
        self.assertEqual((first, body.part), ("n0", 0))
        sizes, last = [], set()
        while watches.has_pending:
            said = watches.next_messages(100_000)
            sizes.append(sum(len(msgspec.msgpack.encode(body)) for _, body in said))
            last |= {to for to, body in said if body.last}
        self.assertLess(max(sizes), 105_000)
        self.assertEqual(last, set(names[:500]))
        self.put(log, [301])
        said = watches.next_messages(1 << 30)
        self.assertEqual(
            {(type(body), body.since, body.index, len(body.rows)) for _, body in said},
            {(messages.WatchUpdate, 301, 302, 2)},
        )
        self.assertEqual(len(said), 1000)

    def test_one_that_takes_nothing_grows_nothing_and_is_told_the_whole_later(self):
        log, watches = self.watched(pots=5, max_history_bytes=400)
        watches.watch("slow", ("pots",), 0)
        self.assertEqual([body.index for _, body in watches.next_messages(1000)], [6])
        for nth in range(50):
            log.propose("m1", 6 + nth, Add("pot-0001", 1))
            self.assertEqual(watches.next_messages(1000, slow_clients=("slow",)), [])
        self.assertLessEqual(watches.history_bytes, 400)
        ((_, body),) = watches.next_messages(1 << 20)
        self.assertEqual((type(body), body.index, body.last), (messages.WatchSnapshot, 56, True))

    def test_one_that_returns_is_told_what_it_missed_or_the_whole_where_that_is_shorter(self):
        log, watches = self.watched(pots=20)
        for nth in range(21, 41):
            log.propose("m1", nth, Add("pot-0003", 1))
        for since, kind in (
            (35, messages.WatchUpdate),
            (21, messages.WatchUpdate),
            (3, messages.WatchSnapshot),
            (0, messages.WatchSnapshot),
            (99, messages.WatchSnapshot),
        ):
            watches.watch("m1", ("pots",), since)
            ((_, body),) = watches.next_messages(1 << 20)
            self.assertEqual((type(body), body.index), (kind, 41), since)
            if kind is messages.WatchUpdate:
                self.assertEqual((body.since, [row.key for row in body.rows]), (since, ["", "pot-0003"]))
        watches.watch("m2", ("pots",), 0)
        watches.next_messages(1 << 20)
        log.propose("m1", 41, Add("pot-0003", 1))
        watches.watch("m1", ("pots",), 0)
        told = [body.index for to, body in watches.next_messages(1 << 20) if to == "m1"]
        self.assertEqual(told, [42])  # no older copy: it may know more already
        for nth in range(42, 62):
            log.propose("m1", nth, Take(f"pot-{nth - 41:04}", 1))
        self.assertEqual([type(body) for _, body in watches.next_messages(1 << 20)], [messages.WatchSnapshot] * 2)
        self.assertIn("no table 'answers'; there are lids, pots, sessions", watches.watch("m1", ("answers",), 0))
        self.assertIn("0 tables", watches.watch("m1", (), 0))

    def test_changes_hold_each_entry_after_where_they_begin_as_far_as_the_ring_reaches(self):
        log, watches = self.watched(pots=0, max_history_bytes=400)
        self.put(log, range(1, 31))
        kinds = []
        for since in range(1, 31):
            watches.watch("m2", ("pots",), since)
            ((_, body),) = watches.next_messages(1 << 20)
            kinds.append(type(body))
            if kinds[-1] is messages.WatchUpdate:
                self.assertEqual(len(body.rows), 1 + 31 - since)
        self.assertEqual(kinds, sorted(kinds, key=lambda kind: kind is messages.WatchUpdate))
        self.assertEqual(set(kinds), {messages.WatchSnapshot, messages.WatchUpdate})

    @mock.patch.object(watch, "MAX_UNREPORTED_ENTRIES", 4)
    def test_one_whom_nothing_concerns_is_told_how_far_the_log_is_and_misses_nothing(self):
        log, watches = self.watched(pots=1)
        watches.watch("m2", ("pots",), 0)
        watches.next_messages(1 << 20)
        for _ in range(5):
            log.run(TimePassed())
        self.assertFalse(watches.has_pending)
        self.put(log, [2])  # at 8, a place of that kind
        self.assertEqual(
            [(body.since, body.index, len(body.rows)) for _, body in watches.next_messages(1 << 20)], [(2, 8, 2)]
        )
        for _ in range(4):
            self.assertFalse(watches.has_pending)
            log.run(TimePassed())
        self.assertEqual(
            [(body.since, body.index, len(body.rows)) for _, body in watches.next_messages(1 << 20)], [(8, 12, 1)]
        )

    def test_an_entry_larger_than_a_message_is_told_by_a_whole(self):
        log, watches = self.watched(pots=0, max_message_bytes=500)
        watches.watch("m1", ("pots",), 0)
        watches.next_messages(1 << 20)
        for nth in range(1, 41):
            log.propose("m1", nth, Add(f"pot-{nth:04}", 1, 100))
        watches.next_messages(1 << 20)
        self.assertFalse(watches.has_pending)
        log.run(TimePassed(), 100)  # forty pots go in one entry
        kinds = {type(body) for _, body in watches.next_messages(1 << 20)}
        self.assertEqual((kinds, log.amounts()), ({messages.WatchSnapshot}, {}))

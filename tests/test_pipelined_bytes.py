"""Pipelined RPCs, byte by byte: when each arrived and is due, how many may be under way, what they count for."""

import time
import unittest

from brookreach import interface as ifc
from brookreach.net import pgwire

from .helpers import BalancerHarness, balancer_settings, node
from .peers_clients import LIMITS, ClientConnectionsTestCase, query, row
from .peers_front import BalancerRig, look

HOUR_MS = 3_600_000


class DueTest(ClientConnectionsTestCase):
    def test_three_queries_cut_at_each_byte(self):
        """The last byte of the second makes the first due, wherever the bytes are split."""
        rig = self.rig()
        for cut in range(1, len(query(1000, HOUR_MS) + query(1001, 900) + query(1002, 5000))):
            first = 1000 + 3 * cut
            whole = query(first, HOUR_MS) + query(first + 1, 900) + query(first + 2, 5000)
            peer = rig.started_peer()
            peer.send_unread(whole[:cut])
            rig.turn()
            sent = time.monotonic()
            peer.send(whole[cut:])
            rig.until(lambda first=first: first + 2 in rig.receiver.received)
            due = [rig.receiver.due_at[first + nth] for nth in range(3)]
            self.assertEqual(due[0], due[1], cut)
            self.assertGreater(due[2], due[1] + 4.0)
            if cut < len(whole) - len(query(first + 2, 5000)):  # the second was not whole before
                self.assertLessEqual(due[1] - 0.9, time.monotonic())
                self.assertGreater(rig.receiver.received_at[first + 1], sent - 5.0)
            peer.reset()
            rig.until(lambda peer=peer: peer.client is None and not rig.clients.connected)

    def test_half_a_query_makes_no_other_due(self):
        rig = self.rig()
        peer = rig.started_peer()
        peer.send(query(1, HOUR_MS) + query(2, 900)[:-1])
        rig.until(lambda: rig.clients.partial)
        self.assertGreater(rig.receiver.due_at[1], time.monotonic() + 1000.0)
        peer.send(query(2, 900)[-1:])
        rig.until(lambda: 2 in rig.receiver.received)
        self.assertEqual(rig.receiver.due_at[1], rig.receiver.due_at[2])

    def test_commands_between_rpcs_pass_the_deadline_on(self):
        rig = self.rig()
        peer = rig.started_peer()
        peer.send(query(1, HOUR_MS) + b"".join(pgwire.query_message(b"")) + query(2, 900))
        rig.until(lambda: 2 in rig.receiver.received)
        self.assertEqual(rig.receiver.due_at[1], rig.receiver.due_at[2])

    def test_an_answer_that_waits_keeps_its_own_time(self):
        """The second has its answer, and the third comes with more time: the head is due with the second."""
        rig = self.rig()
        peer = rig.started_peer()
        peer.send(query(1, HOUR_MS) + query(2, 900))
        rig.until(lambda: 2 in rig.receiver.received)
        due = rig.receiver.due_at[2]
        rig.receiver.answer(2)
        peer.send(query(3, 5000))
        rig.until(lambda: 3 in rig.receiver.received)
        self.assertEqual((rig.receiver.due_at[1], rig.receiver.due_at[3] > due), (due, True))
        rig.receiver.answer(1)
        peer.expect(row(b"1") + row(b"2"))

    def test_one_connection_makes_no_other_due(self):
        rig = self.rig()
        peers = [rig.started_peer() for _ in range(3)]
        for number, peer in enumerate(peers, 1):
            peer.send(query(number, HOUR_MS))
            rig.until(lambda number=number: number in rig.receiver.received)
        peers[0].send(query(4, 900))
        rig.until(lambda: 4 in rig.receiver.received)
        self.assertEqual(
            [rig.receiver.due_at[number] > time.monotonic() + 1000.0 for number in (1, 2, 3)], [False, True, True]
        )

    def test_ever_shorter_deadlines_are_reported_once_a_turn(self):
        """Otherwise each of many RPCs would change the deadline of each before it."""
        rig, told = self.rig(), []
        shorten, rig.receiver.shorten_deadline = (
            rig.receiver.shorten_deadline,
            lambda rpc, due: (told.append(rpc), shorten(rpc, due)),
        )
        peer = rig.started_peer()
        most = LIMITS.max_pipelined
        peer.send_unread(b"".join(query(number, HOUR_MS - 1000 * number) for number in range(1, most + 1)))
        rig.until(lambda: len(rig.receiver.received) == most)
        self.assertEqual({rig.receiver.due_at[number] for number in range(1, most + 1)}, {rig.receiver.due_at[most]})
        self.assertLess(len(told), most * (most - 1) / 2 / 3)


class RoomTest(ClientConnectionsTestCase):
    def test_a_few_are_read_whatever_their_size_and_more_while_they_are_small(self):
        rig = self.rig(messages_per_turn=2, max_pipelined=20, max_pipelined_bytes=4500)
        for size, most in ((4000, 2), (1000, 5), (10, 20)):
            taken = len(rig.receiver.received)
            peer = rig.started_peer()
            peer.send_unread(b"".join(query(taken + nth, HOUR_MS, "x" * size) for nth in range(1, 31)))
            rig.until(lambda taken=taken, most=most: len(rig.receiver.received) - taken == most)
            rig.run_until_idle()
            self.assertEqual(len(rig.receiver.received) - taken, most)

    def test_answers_that_wait_take_the_room_too(self):
        rig = self.rig(messages_per_turn=2, max_pipelined=20, max_pipelined_bytes=4500)
        peer = rig.started_peer()
        peer.send(b"".join(query(number, HOUR_MS) for number in range(1, 5)))
        rig.until(lambda: len(rig.receiver.received) == 4)
        rig.receiver.answer(2, bytes(5000))
        peer.send_unread(query(5, HOUR_MS) + query(6, HOUR_MS))
        rig.turn()
        rig.run_until_idle()
        self.assertEqual(rig.receiver.received, [1, 2, 3, 4])
        rig.receiver.answer(1)
        rig.until(lambda: 6 in rig.receiver.received)


class OverTest(unittest.TestCase):
    def test_an_rpc_without_time_left_is_pushed_back_and_asks_no_node(self):
        for left_ms in (-1000.0, 0.0, 5.0):
            harness = BalancerHarness()
            harness.update_nodes(node(1))
            harness.set_rollout(1, 2, 1.0, ifc.RolloutPhase.RELEASED)
            harness.trace.clear()
            harness.receive_rpc(wait=left_ms)
            self.assertEqual([line.split(maxsplit=1)[1] for line in harness.trace], ["push back 1"])


class ExposureTest(unittest.TestCase):
    """An RPC that lay unread for long arrived in a window that is over: it allows no picks at a trial build now."""

    def test_the_balancer_counts_rpcs_by_their_arrival(self):
        for unread_ms, picks in ((0.0, 12), (5000.0, 2)):
            harness = BalancerHarness(balancer_settings(caps=(0.5, 1.0)))
            harness.update_nodes(node(1, build=2))
            harness.set_rollout(2, 0, 0.5)
            harness.advance(5000.0)
            harness.trace.clear()
            for number in range(1, 21):
                event = ifc.RpcReceived(number, 0, 0, 0, harness.now + HOUR_MS, None, False, False, unread_ms)
                harness.handle(event)
            self.assertEqual(len([line for line in harness.trace if " pick " in line]), picks)

    def test_picks_at_a_trial_build_while_a_connection_is_read(self):
        free, cap, window_s = 2.0, 0.5, 0.4
        rig = BalancerRig(
            limits={"max_pipelined": 2, "messages_per_turn": 2}, caps=(cap, 1.0), free=free, window_ms=1000.0 * window_s
        )
        self.addCleanup(rig.close)
        rig.listed(ifc.RolloutStatus(False, ifc.Outcome.OK, 0, cap, ifc.RolloutPhase.ON_TRIAL, 0.0, 2), build=2)
        client = rig.client()
        self.pass_time(rig, 1.1 * window_s)
        came = [time.monotonic()] * 32
        client.send(look(1, HOUR_MS, "hang") + look(2, HOUR_MS, "hang"))
        rig.until(lambda: rig.queries() == [1, 2])
        client.send_unread(b"".join(look(number, HOUR_MS) for number in range(3, 33)))
        self.pass_time(rig, 1.1 * window_s)
        for number in (1, 2):
            rig.driver.open_rpcs.answer(number, [pgwire.COMMAND_RESPONSE], "other")
        pick_times = []
        deadline = time.monotonic() + 1.5 * window_s
        while time.monotonic() < deadline:
            rig.turn()
            pick_times += [time.monotonic()] * (len(rig.queries()) - 2 - len(pick_times))
        self.assertGreater(len(pick_times), 0)
        for end in pick_times:
            begin = end - window_s
            allowed = free + 1.04 * cap * sum(begin < at <= end for at in came) + 2.0
            self.assertLessEqual(sum(begin < at <= end for at in pick_times), allowed)

    def pass_time(self, rig, seconds):
        began = time.monotonic()
        rig.until(lambda: time.monotonic() > began + seconds)


if __name__ == "__main__":
    unittest.main()

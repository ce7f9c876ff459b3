"""RPCs that a client writes ahead, as bytes: when each came and is due, how many there may be, what they count for."""

import time
import unittest

from brookreach import interface as ifc
from brookreach.net import pgwire

from .helpers import BalancerHarness, balancer_settings, node
from .peers_clients import LIMITS, PortCase, query, row
from .peers_front import Front, look

HOUR_MS = 3_600_000


class DueTest(PortCase):
    def test_three_queries_cut_at_each_byte(self):
        """The last byte of the second makes the first due, wherever the bytes were parted."""
        port = self.port()
        for cut in range(1, len(query(1000, HOUR_MS) + query(1001, 900) + query(1002, 5000))):
            first = 1000 + 3 * cut
            whole = query(first, HOUR_MS) + query(first + 1, 900) + query(first + 2, 5000)
            peer = port.ready_peer()
            peer.lies_unread(whole[:cut])
            port.turn()
            sent = time.monotonic()
            peer.send(whole[cut:])
            port.until(lambda first=first: first + 2 in port.receiver.received)
            due = [port.receiver.due_at[first + nth] for nth in range(3)]
            self.assertEqual(due[0], due[1], cut)
            self.assertGreater(due[2], due[1] + 4.0)
            if cut < len(whole) - len(query(first + 2, 5000)):  # the second was not whole before
                self.assertLessEqual(due[1] - 0.9, time.monotonic())
                self.assertGreater(port.receiver.received_at[first + 1], sent - 5.0)
            peer.reset()
            port.until(lambda peer=peer: peer.client is None and not port.clients.connected)

    def test_half_a_query_makes_nobody_due(self):
        port = self.port()
        peer = port.ready_peer()
        peer.send(query(1, HOUR_MS) + query(2, 900)[:-1])
        port.until(lambda: port.clients.partial)
        self.assertGreater(port.receiver.due_at[1], time.monotonic() + 1000.0)
        peer.send(query(2, 900)[-1:])
        port.until(lambda: 2 in port.receiver.received)
        self.assertEqual(port.receiver.due_at[1], port.receiver.due_at[2])

    def test_commands_between_them_pass_it_on(self):
        port = self.port()
        peer = port.ready_peer()
        peer.send(query(1, HOUR_MS) + b"".join(pgwire.query_message(b"")) + query(2, 900))
        port.until(lambda: 2 in port.receiver.received)
        self.assertEqual(port.receiver.due_at[1], port.receiver.due_at[2])

    def test_an_answer_that_waits_keeps_its_own_time(self):
        """The second has its answer, and the third comes with more time: the head is due with the second."""
        port = self.port()
        peer = port.ready_peer()
        peer.send(query(1, HOUR_MS) + query(2, 900))
        port.until(lambda: 2 in port.receiver.received)
        due = port.receiver.due_at[2]
        port.receiver.answer(2)
        peer.send(query(3, 5000))
        port.until(lambda: 3 in port.receiver.received)
        self.assertEqual((port.receiver.due_at[1], port.receiver.due_at[3] > due), (due, True))
        port.receiver.answer(1)
        peer.hears(row(b"1") + row(b"2"))

    def test_one_connection_makes_no_other_due(self):
        port = self.port()
        peers = [port.ready_peer() for _ in range(3)]
        for number, peer in enumerate(peers, 1):
            peer.send(query(number, HOUR_MS))
            port.until(lambda number=number: number in port.receiver.received)
        peers[0].send(query(4, 900))
        port.until(lambda: 4 in port.receiver.received)
        self.assertEqual(
            [port.receiver.due_at[number] > time.monotonic() + 1000.0 for number in (1, 2, 3)], [False, True, True]
        )

    def test_ever_shorter_times_are_told_once_a_turn(self):
        """Else each of many RPCs would move each before it."""
        port, told = self.port(), []
        shorten, port.receiver.shorten_deadline = (
            port.receiver.shorten_deadline,
            lambda rpc, due: (told.append(rpc), shorten(rpc, due)),
        )
        peer = port.ready_peer()
        most = LIMITS.max_pipelined
        peer.lies_unread(b"".join(query(number, HOUR_MS - 1000 * number) for number in range(1, most + 1)))
        port.until(lambda: len(port.receiver.received) == most)
        self.assertEqual({port.receiver.due_at[number] for number in range(1, most + 1)}, {port.receiver.due_at[most]})
        self.assertLess(len(told), most * (most - 1) / 2 / 3)


class RoomTest(PortCase):
    def test_a_few_are_read_whatever_they_hold_and_more_while_they_are_small(self):
        port = self.port(messages_per_turn=2, max_pipelined=20, max_pipelined_bytes=4500)
        for size, most in ((4000, 2), (1000, 5), (10, 20)):
            taken = len(port.receiver.received)
            peer = port.ready_peer()
            peer.lies_unread(b"".join(query(taken + nth, HOUR_MS, "x" * size) for nth in range(1, 31)))
            port.until(lambda taken=taken, most=most: len(port.receiver.received) - taken == most)
            port.rest()
            self.assertEqual(len(port.receiver.received) - taken, most)

    def test_answers_that_wait_take_the_room_too(self):
        port = self.port(messages_per_turn=2, max_pipelined=20, max_pipelined_bytes=4500)
        peer = port.ready_peer()
        peer.send(b"".join(query(number, HOUR_MS) for number in range(1, 5)))
        port.until(lambda: len(port.receiver.received) == 4)
        port.receiver.answer(2, bytes(5000))
        peer.lies_unread(query(5, HOUR_MS) + query(6, HOUR_MS))
        port.turn()
        port.rest()
        self.assertEqual(port.receiver.received, [1, 2, 3, 4])
        port.receiver.answer(1)
        port.until(lambda: 6 in port.receiver.received)


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
    """What lay unread for long came in a window that is over: it frees no attempts at a build on trial now."""

    def test_the_module_counts_what_is_read_as_it_comes(self):
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

    def test_attempts_at_a_trial_while_a_connection_is_read_up(self):
        free, cap, window_s = 2.0, 0.5, 0.4
        front = Front(
            limits={"max_pipelined": 2, "messages_per_turn": 2}, caps=(cap, 1.0), free=free, window_ms=1000.0 * window_s
        )
        self.addCleanup(front.close)
        front.listed(ifc.RolloutStatus(False, ifc.Outcome.OK, 0, cap, ifc.RolloutPhase.ON_TRIAL, 0.0, 2), build=2)
        client = front.client()
        self.pass_time(front, 1.1 * window_s)
        came = [time.monotonic()] * 32
        client.send(look(1, HOUR_MS, "hang") + look(2, HOUR_MS, "hang"))
        front.until(lambda: front.queries() == [1, 2])
        client.lies_unread(b"".join(look(number, HOUR_MS) for number in range(3, 33)))
        self.pass_time(front, 1.1 * window_s)
        for number in (1, 2):
            front.driver.open_rpcs.answer(number, [pgwire.COMMAND_RESPONSE], "other")
        attempts, ends = [], time.monotonic() + 1.5 * window_s
        while time.monotonic() < ends:
            front.turn()
            attempts += [time.monotonic()] * (len(front.queries()) - 2 - len(attempts))
        self.assertGreater(len(attempts), 0)
        for end in attempts:
            begin = end - window_s
            allowed = free + 1.04 * cap * sum(begin < at <= end for at in came) + 2.0
            self.assertLessEqual(sum(begin < at <= end for at in attempts), allowed)

    def pass_time(self, front, seconds):
        began = time.monotonic()
        front.until(lambda: time.monotonic() > began + seconds)


if __name__ == "__main__":
    unittest.main()

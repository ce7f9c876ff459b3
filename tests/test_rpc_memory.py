"""What all open RPCs and answers together may hold is bounded, whoever asks.

With a limit of 32 MB, 100 to 400 sound clients that wrote several large requests at once, or 32 small ones each, brought a
balancer to 34 to 54 MB, and it was killed. Each connection had its bound, and so had what is read in pieces; no bound
held for the texts of open RPCs together, nor for the answers that clients did not take. Besides, a request that came
when the memory for large messages was taken ended its connection, with all that its client had written behind it.
"""

import time
import unittest
from contextlib import closing

from brookreach.net import pgwire
from brookreach.net.rpc_memory import RPC_OVERHEAD_BYTES

from .peers_clients import ClientConnectionsTestCase, query, row
from .peers_front import BalancerRig, look, read_answers

HOUR_MS = 3_600_000
LARGE = "x" * 20_000
NO_ROOM = b"no room for the request"


class OpenRpcsTest(ClientConnectionsTestCase):
    def counts(self, rig):
        return rig.clients.memory.requests.used, rig.clients.memory.answers.used

    # Guards against many connections that are each within their bounds, and together use up the memory.
    def test_all_connections_together_hold_no_more_than_the_limit(self):
        limit = 100_000
        rig = self.rig(open_rpc_bytes=limit)
        crowd = [rig.started_peer() for _ in range(20)]
        for number, peer in enumerate(crowd):
            peer.send(query(2 * number + 1, HOUR_MS, LARGE) + query(2 * number + 2, HOUR_MS, LARGE))
        rig.run_until_idle()
        self.assertTrue(0 < len(rig.receiver.received) < 40)
        self.assertLessEqual(self.counts(rig)[0], limit)
        for number in list(rig.receiver.received):
            rig.receiver.answer(number)
        rig.run_until_idle()
        for peer in crowd:
            peer.read()
        answers = b"".join(peer.received for peer in crowd)
        self.assertEqual(
            answers.count(pgwire.READY_FOR_QUERY), 40
        )  # each has its answer, and none its connection ended
        self.assertEqual(answers.count(NO_ROOM) + len(rig.receiver.received), 40)
        self.assertEqual(self.counts(rig), (0, 0))

    def test_half_of_it_is_kept_for_connections_with_nothing_under_way(self):
        rig = self.rig(open_rpc_bytes=10 * (RPC_OVERHEAD_BYTES + 100))
        greedy = rig.started_peer()
        greedy.send(b"".join(query(number, HOUR_MS) for number in range(1, 21)))
        rig.until(lambda: greedy.read() or greedy.client.answers and len(greedy.client.answers) == 20)
        taken = len(rig.receiver.received)
        self.assertLess(taken, 8)
        modest = rig.started_peer()
        modest.send(query(100, HOUR_MS))
        rig.until(lambda: len(modest.client.answers) == 1)
        self.assertEqual(len(rig.receiver.received), taken + 1)
        self.assertEqual(rig.receiver.received[-1], 100)

    def test_clients_that_leave_give_it_back(self):
        rig = self.rig()
        peers = [rig.started_peer() for _ in range(5)]
        for number, peer in enumerate(peers):
            peer.send(query(number + 1, HOUR_MS, LARGE))
        rig.until(lambda: len(rig.receiver.received) == 5)
        self.assertGreater(self.counts(rig)[0], 5 * len(LARGE))
        for peer in peers:
            peer.sock.close()
        rig.run_until_idle()
        self.assertEqual(self.counts(rig), (0, 0))

    # Guards against the text of an RPC that is kept for a pick whose client has gone or has its answer.
    def test_the_text_is_freed_with_the_final_answer(self):
        with closing(BalancerRig()) as rig:
            rig.listed()
            client = rig.client()
            client.send(look(1, HOUR_MS, "hang"))
            rig.until(lambda: rig.queries() == [1])
            statement = rig.driver.open_rpcs.get(1).statement
            client.sock.close()
            rig.until(lambda: not rig.driver.open_rpcs)
            self.assertEqual((statement.before, statement.after), (b"", b""))


class AnswersTest(ClientConnectionsTestCase):
    def unread(self, rig, count, size):
        """A client that has asked `count` times and takes nothing of its answers of `size` bytes, all given."""
        peer = rig.started_peer(window=4096)
        peer.shrink_send_buffer()
        first = len(rig.receiver.received) + 1
        peer.send(b"".join(query(number, HOUR_MS) for number in range(first, first + count)))
        rig.until(lambda: len(rig.receiver.received) == first + count - 1)
        for number in range(first, first + count):
            rig.receiver.answer(number, bytes(size))
        return peer

    # Guards against answers that pile up for clients that don't read.
    def test_answers_that_cannot_be_written_are_bounded(self):
        limit = 400_000
        rig = self.rig(held_answer_bytes=limit)
        peer = self.unread(rig, 20, 60_000)
        self.assertLessEqual(rig.clients.memory.answers.used, limit)
        rig.until(lambda: peer.read() or peer.received.count(pgwire.READY_FOR_QUERY) == 20)
        errors = peer.received.count(b"no room for the answer")
        self.assertTrue(0 < errors < 20)
        self.assertEqual(rig.clients.memory.answers.used, 0)

    def test_of_many_that_read_nothing_the_longest_stalled_are_ended(self):
        limit = 400_000
        rig = self.rig(held_answer_bytes=limit)
        for _ in range(12):
            self.unread(rig, 1, 60_000)
        self.assertLessEqual(rig.clients.memory.answers.used, limit)
        self.assertGreater(rig.clients.close_counts["takes nothing of its answer while others need the room"], 0)
        self.assertGreater(len(rig.clients.connected), 0)

    def test_answers_go_on_in_order_once_the_client_reads(self):
        rig = self.rig()
        peer = self.unread(rig, 8, 60_000)
        peer.expect(row(bytes(60_000)) * 8)
        self.assertEqual(rig.clients.memory.answers.used, 0)
        peer.send(query(50))
        rig.until(lambda: 50 in rig.receiver.received)


class NodeConnectionsTest(unittest.TestCase):
    # Guards against idle connections to nodes that keep their last answer: 60 KB each on hundreds of them.
    def test_an_idle_connection_keeps_nothing_of_its_last_answer(self):
        with closing(BalancerRig()) as rig:
            rig.listed()
            client = rig.client()
            client.send(look(1, HOUR_MS))
            self.assertEqual(read_answers(client, 1), ["row"])
            idle = [one for endpoint in rig.driver.nodes.endpoints.values() for one in endpoint.idle_connections]
            self.assertEqual([one.result.messages for one in idle], [[]])
            self.assertEqual(rig.driver.nodes.buffer_pool.free, rig.driver.limits.large_answer_bytes)


class LargeMessagesTest(ClientConnectionsTestCase):
    # Guards against sound clients whose connection is ended because others use the memory for large messages.
    def test_a_request_without_room_is_refused_and_what_stands_behind_it_served(self):
        rig = self.rig(large_message_bytes=100_000, silence_timeout_s=60.0)
        holder = rig.started_peer()
        holder.send(b"Q" + pgwire.INT32.pack(80_000) + b"SELECT '" + bytes(65_000))
        rig.run_until_idle()
        peer = rig.started_peer()
        peer.send(query(1) + query(2, HOUR_MS, "x" * 150_000) + query(3))
        rig.until(lambda: rig.receiver.received == [1, 3])
        rig.receiver.answer(1)
        rig.receiver.answer(3)
        rig.until(lambda: peer.read() or peer.received.count(pgwire.READY_FOR_QUERY) == 3)
        self.assertEqual(peer.received.count(NO_ROOM), 1)
        self.assertTrue(peer.received.startswith(row(b"1")) and peer.received.endswith(row(b"3")))
        self.assertGreaterEqual(rig.clients.pool.free, 0)

    def test_one_that_stops_half_way_through_is_closed_in_time(self):
        rig = self.rig(large_message_bytes=10_000, silence_timeout_s=0.1)
        peer = rig.started_peer()
        peer.send(b"Q" + pgwire.INT32.pack(150_000) + b"SELECT '" + bytes(100_000))
        rig.run_until_idle()
        time.sleep(0.2)
        rig.clients.sweep()
        self.assertIn(peer.wait_end()[0], ("FIN", "RST"))

    # Guards against idle connections that make way, while others only send what is not kept.
    def test_for_a_new_connection_it_makes_way_before_idle_ones_and_is_told(self):
        rig = self.rig(large_message_bytes=1000, max_clients=2)
        idle, peer = rig.started_peer(), rig.started_peer()
        idle.send(query(1))
        rig.until(lambda: rig.receiver.received == [1])
        rig.receiver.answer(1)
        idle.expect(row(b"1"))
        peer.send(b"Q" + pgwire.INT32.pack(150_000) + b"SELECT '" + bytes(100_000))
        rig.run_until_idle()
        newcomer = rig.started_peer()
        self.assertIn(b"C53300", peer.wait_end()[1])
        newcomer.send(query(2))
        idle.send(query(3))
        rig.until(lambda: sorted(rig.receiver.received) == [1, 2, 3])

    # Guards against idle connections that make way, while others write what is not kept slowly: a part lies unread.
    def test_one_with_a_part_unread_makes_way_before_idle_ones_but_not_with_its_end_unread(self):
        whole = query(2, HOUR_MS, "x" * 150_000)
        for unread, asked in ((whole[100_000:-1], [1, 3]), (whole[100_000:] + query(4), [1, 4])):
            with self.subTest(asked=asked):
                rig = self.rig(large_message_bytes=1000, max_clients=2)
                idle, slow = rig.started_peer(), rig.started_peer()
                idle.send(query(1))
                rig.until(lambda rig=rig: rig.receiver.received == [1])
                rig.receiver.answer(1)
                idle.expect(row(b"1"))
                slow.send(whole[:100_000])
                rig.run_until_idle()
                slow.send_unread(unread)
                slow.wait_acknowledged()
                self.assertTrue(rig.clients._evict_one())
                self.assertEqual(slow.client is None or slow.client.closed, asked[1] == 3)
                if asked[1] == 3:
                    self.assertIn(b"C53300", slow.wait_end()[1])
                    idle.send(query(3))
                rig.until(lambda rig=rig, asked=asked: rig.receiver.received == asked)

    def test_cut_at_any_byte_it_stays_in_step(self):
        whole = query(2, HOUR_MS, "x" * 3000)
        for at in (1, 4, 5, 6, 511, 512, 513, 1024, len(whole) - 1):
            rig = self.rig(large_message_bytes=1000)
            peer = rig.started_peer()
            peer.send(whole[:at])
            rig.run_until_idle()
            peer.send(whole[at:] + query(3))
            rig.until(lambda rig=rig: rig.receiver.received == [3])
            rig.receiver.answer(3)
            rig.until(lambda peer=peer: peer.read() or peer.received.count(pgwire.READY_FOR_QUERY) == 2)
            self.assertEqual((peer.received.count(NO_ROOM), peer.received.endswith(row(b"3"))), (1, True))

    # Guards against idle connections that keep the room of their last large message.
    def test_room_is_free_once_a_message_is_handled(self):
        rig = self.rig()
        peer = rig.started_peer()
        peer.send(query(1, HOUR_MS, "x" * 100_000))
        rig.until(lambda: rig.receiver.received == [1])
        self.assertEqual(rig.clients.pool.free, rig.clients.limits.large_message_bytes)


class DecisionsTest(unittest.TestCase):
    def test_a_refusal_for_want_of_room_asks_no_node(self):
        with closing(BalancerRig(limits={"open_rpc_bytes": 1000})) as rig:
            rig.listed()
            client = rig.client()
            client.send(look(1, HOUR_MS))
            self.assertEqual(read_answers(client, 1), ["53300"])
            self.assertEqual((rig.queries(), len(rig.driver.open_rpcs)), ([], 0))


if __name__ == "__main__":
    unittest.main()

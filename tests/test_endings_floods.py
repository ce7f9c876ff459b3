"""Many clients at once: others are answered meanwhile, none is closed with its query unread, all room is freed."""

import unittest

from brookreach.net import pgwire

from .peers_clients import HELLO, ClientConnectionsTestCase, query, row

CANCEL = pgwire.INT32.pack(16) + pgwire.INT32.pack(pgwire.CANCEL) + bytes(8)
BAD = b"".join(pgwire.query_message(b"SELECT 1 /* id=7,c=none,d=9 */"))


class FloodTest(ClientConnectionsTestCase):
    def waiting_peer(self, rig):
        """Another client, whose RPC is under way meanwhile."""
        peer = rig.started_peer()
        peer.send(query(1))
        rig.until(lambda: rig.receiver.received == [1])
        return peer

    def assert_answered(self, rig, peer):
        rig.receiver.answer(1)
        peer.expect(row(b"1"))

    def assert_empty(self, rig, open_connections):
        clients = rig.clients
        self.assertEqual(
            (
                len(clients.connected),
                len(clients.silent),
                len(clients.partial),
                len(clients.stalled),
                clients.pool.free,
            ),
            (open_connections, 0, 0, 0, clients.limits.large_message_bytes),
        )

    def test_cancel_requests(self):
        rig = self.rig()
        steady = self.waiting_peer(rig)
        for _ in range(300):  # more than may be open at a time
            self.assertEqual(rig.peer(CANCEL).wait_end(), ("FIN", b""))
        self.assert_answered(rig, steady)
        self.assert_empty(rig, 1)

    def test_statements_that_cannot_be_taken(self):
        rig = self.rig()
        steady, most = self.waiting_peer(rig), rig.clients.limits.max_invalid_statements
        for _ in range(30):
            peer = rig.started_peer()
            peer.send(BAD * 200)
            said = peer.wait_end()[1]
            self.assertEqual((said.count(b"C22023"), said.count(b"C08P01")), (most - 1, 1))
            peer.sock.close()
        rig.run_until_idle()
        self.assert_answered(rig, steady)
        self.assert_empty(rig, 1)

    def test_queries_of_one_byte_at_a_time_beside_a_thousand_in_one_piece(self):
        rig = self.rig()
        slow, fast, steady = rig.started_peer(), rig.started_peer(), self.waiting_peer(rig)
        fast.send(b"".join(pgwire.query_message(b"")) * 1000)
        whole = query(2)
        for at in range(len(whole)):
            slow.send(whole[at : at + 1])
            rig.turn()
        rig.until(lambda: 2 in rig.receiver.received)
        rig.receiver.answer(2)
        slow.expect(row(b"2"))
        fast.expect(pgwire.EMPTY_QUERY_RESPONSE * 1000)
        self.assert_answered(rig, steady)
        self.assert_empty(rig, 3)

    def test_new_connections_beyond_the_limit_are_all_answered(self):
        """Answered connections are evicted for new ones: none of 400 is closed with its query unread."""
        rig = self.rig(max_clients=40)
        for first in range(1, 401, 20):
            crowd = {number: rig.peer(HELLO + query(number)) for number in range(first, first + 20)}
            rig.until(lambda crowd=crowd: all(number in rig.receiver.answers for number in crowd))
            for number, peer in crowd.items():
                rig.receiver.answer(number)
                peer.expect(pgwire.STARTUP_RESPONSE + row(b"%d" % number))
        self.assertEqual(
            (len(rig.receiver.received), rig.receiver.cancelled, len(rig.clients.connected)), (400, [], 40)
        )

    def test_large_statements_without_room_for_all(self):
        """Each claims 150 KB and sends nearly all of it: some are refused, the others go on, no connection ends."""
        rig = self.rig(large_message_bytes=1 << 20)
        steady = self.waiting_peer(rig)
        crowd = [rig.started_peer() for _ in range(12)]
        for peer in crowd:
            peer.send(b"Q" + pgwire.INT32.pack(150_000) + b"SELECT '" + bytes(140_000))
        rig.run_until_idle()
        self.assertGreaterEqual(rig.clients.pool.free, 0)
        skipped = [peer for peer in crowd if peer.client.inbound.bytes_to_skip]
        self.assertTrue(0 < len(skipped) < 12, len(skipped))
        for peer in crowd:
            peer.send(bytes(150_000 - 4 - 140_000 - 8))
            rig.until(lambda peer=peer: peer.read() or pgwire.READY_FOR_QUERY in peer.received)
            # Read whole, it is no statement.
            self.assertIn(b"C53300" if peer in skipped else b"C42601", peer.received)
            self.assertIsNotNone(peer.client)
        self.assert_answered(rig, steady)
        for peer in crowd:
            peer.sock.close()
        rig.until(lambda: len(rig.clients.connected) == 1)
        self.assert_empty(rig, 1)


if __name__ == "__main__":
    unittest.main()

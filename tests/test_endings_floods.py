"""Floods of clients: whatever many do, those that ask are answered, nobody is closed unheard, and all room comes back."""

import unittest

from brookreach.net import pgwire

from .peers_clients import HELLO, PortCase, query, row

CANCEL = pgwire.INT32.pack(16) + pgwire.INT32.pack(pgwire.CANCEL) + bytes(8)
BAD = b"".join(pgwire.query_message(b"SELECT 1 /* id=7,c=none,d=9 */"))


class FloodTest(PortCase):
    def steady(self, port):
        """Another client, whose RPC is under way."""
        peer = port.ready_peer()
        peer.send(query(1))
        port.until(lambda: port.receiver.received == [1])
        return peer

    def answered(self, port, peer):
        port.receiver.answer(1)
        peer.hears(row(b"1"))

    def empty(self, port, open_connections):
        home = port.clients
        self.assertEqual(
            (len(home.connected), len(home.silent), len(home.partial), len(home.stalled), home.pool.free),
            (open_connections, 0, 0, 0, home.limits.large_message_bytes),
        )

    def test_cancel_requests(self):
        port = self.port()
        steady = self.steady(port)
        for _ in range(300):  # more than may be open at a time
            self.assertEqual(port.peer(CANCEL).ends(), ("FIN", b""))
        self.answered(port, steady)
        self.empty(port, 1)

    def test_statements_that_cannot_be_taken(self):
        port = self.port()
        steady, most = self.steady(port), port.clients.limits.max_invalid_statements
        for _ in range(30):
            peer = port.ready_peer()
            peer.send(BAD * 200)
            said = peer.ends()[1]
            self.assertEqual((said.count(b"C22023"), said.count(b"C08P01")), (most - 1, 1))
            peer.sock.close()
        port.rest()
        self.answered(port, steady)
        self.empty(port, 1)

    def test_queries_of_one_byte_at_a_time_beside_a_thousand_in_one_piece(self):
        port = self.port()
        slow, fast, steady = port.ready_peer(), port.ready_peer(), self.steady(port)
        fast.send(b"".join(pgwire.query_message(b"")) * 1000)
        whole = query(2)
        for at in range(len(whole)):
            slow.send(whole[at : at + 1])
            port.turn()
        port.until(lambda: 2 in port.receiver.received)
        port.receiver.answer(2)
        slow.hears(row(b"2"))
        fast.hears(pgwire.EMPTY_QUERY_RESPONSE * 1000)
        self.answered(port, steady)
        self.empty(port, 3)

    def test_new_connections_in_a_full_house_are_all_heard(self):
        """Those that have their answer make way for those that have just come: none of 400 is closed unheard."""
        port = self.port(max_clients=40)
        for first in range(1, 401, 20):
            crowd = {number: port.peer(HELLO + query(number)) for number in range(first, first + 20)}
            port.until(lambda crowd=crowd: all(number in port.receiver.answers for number in crowd))
            for number, peer in crowd.items():
                port.receiver.answer(number)
                peer.hears(pgwire.STARTUP_RESPONSE + row(b"%d" % number))
        self.assertEqual(
            (len(port.receiver.received), port.receiver.cancelled, len(port.clients.connected)), (400, [], 40)
        )

    def test_large_statements_without_room_for_all(self):
        """Each claims 150 KB and sends nearly all of it: some are told so, the others go on."""
        port = self.port(large_message_bytes=1 << 20)
        steady = self.steady(port)
        crowd = [port.ready_peer() for _ in range(12)]
        for peer in crowd:
            peer.send(b"Q" + pgwire.INT32.pack(150_000) + b"SELECT '" + bytes(140_000))
        port.rest()
        told = [peer for peer in crowd if peer.client is None]
        self.assertTrue(0 < len(told) < 12, len(told))
        for peer in told:
            self.assertIn(b"all room for large messages is taken", peer.ends()[1])
        self.answered(port, steady)
        for peer in crowd:
            peer.sock.close()
        port.until(lambda: len(port.clients.connected) == 1)
        self.empty(port, 1)


if __name__ == "__main__":
    unittest.main()

"""How a client's connection ends, and what it is still owed then: clients that leave, stall or drip."""

import socket
import unittest

from brookreach.net import pgwire

from .peers_clients import PortCase, query, row

MANY = b"".join(query(number) for number in range(1, 31))


class LeavingTest(PortCase):
    """A client that closes has gone, whatever it had asked: its RPCs are given up in the same turn."""

    def gives_up(self, leave, asked):
        port = self.port()
        peer = port.ready_peer()
        peer.send(asked)
        port.until(lambda: port.receiver.received)
        port.rest()
        under_way = list(port.receiver.received)
        leave(peer)
        port.until(lambda: not port.clients.connected)
        port.rest()
        self.assertEqual((port.receiver.cancelled, port.receiver.received), (under_way, under_way))

    def test_fin_behind_as_many_rpcs_as_may_be_under_way(self):
        self.gives_up(lambda peer: peer.sock.close(), b"".join(query(at) for at in range(1, 9)))

    def test_fin_behind_queries_that_are_not_read_yet(self):
        self.gives_up(lambda peer: peer.sock.close(), MANY)

    def test_half_close_means_the_same(self):
        self.gives_up(lambda peer: peer.sock.shutdown(socket.SHUT_WR), MANY)

    def test_reset(self):
        self.gives_up(lambda peer: peer.reset(), MANY)

    def test_fin_in_front_of_one_rpc(self):
        self.gives_up(lambda peer: peer.sock.close(), query(1))

    def test_fin_before_anything_was_asked(self):
        port = self.port()
        port.ready_peer().sock.close()
        port.until(lambda: not port.clients.connected)
        self.assertEqual((len(port.clients.silent), port.receiver.cancelled), (0, []))

    def test_fin_behind_an_answer_half_written(self):
        port = self.port()
        peer = port.ready_peer(window=4096)
        peer.narrow()
        peer.send(query(1) + query(2))
        port.until(lambda: len(port.receiver.received) == 2)
        port.receiver.answer(1, bytes(256 << 10))
        port.rest()
        self.assertTrue(peer.client.unsent)
        peer.send(query(3))
        port.until(lambda: not peer.client.reading)
        peer.sock.shutdown(socket.SHUT_WR)  # no reset: only the end of what it sends tells that it has gone
        port.until(lambda: not port.clients.connected)
        self.assertEqual((port.receiver.cancelled, len(port.clients.stalled)), ([2], 0))


class BehindTest(PortCase):
    """What comes behind an RPC that is under way never costs that RPC its answer."""

    def peer(self, *asked, **limits):
        """Its first RPC is under way, and all of `asked` has been looked at."""
        port = self.port(**limits)
        peer = port.ready_peer()
        peer.send(b"".join([query(1), *asked]))
        port.until(lambda: port.receiver.received)
        port.rest()
        return port, peer

    def ends_behind_one_answer(self, port, peer, *more):
        port.receiver.answer(1)
        peer.hears(b"".join([row(b"1"), *more]))
        self.assertEqual((peer.ends(), port.receiver.cancelled), (("FIN", b""), []))
        port.clients.sweep()
        self.assertEqual(len(port.clients.connected), 0)

    def test_a_statement_that_cannot_be_taken(self):
        unknown = b"".join(pgwire.query_message(b"SELECT 1 /* id=2,c=none,d=9 */"))
        port, peer = self.peer(unknown, query(3))
        self.assertEqual(port.receiver.received, [1, 3])
        port.receiver.answer(3)
        port.receiver.answer(1)
        peer.hears(row(b"1") + pgwire.error_response(b"22023", "unknown class b'none'") + row(b"3"))
        self.assertEqual(port.receiver.cancelled, [])

    def test_bytes_that_are_not_the_protocol(self):
        port, peer = self.peer(b"?\0\0\0\4", query(2), silence_timeout_s=-1.0)
        self.assertEqual(port.receiver.received, [1])
        why = "not the protocol: unknown message b'?'"
        self.ends_behind_one_answer(port, peer, pgwire.fatal_response(b"08P01", why, ready=True))

    def test_a_length_that_is_none(self):
        port, peer = self.peer(b"Q\xff\xff\xff\xff", silence_timeout_s=-1.0)
        peer.send(bytes(5000))  # it goes on
        port.rest()
        why = "not the protocol: a message of length -1"
        self.ends_behind_one_answer(port, peer, pgwire.fatal_response(b"08P01", why, ready=True))

    def test_terminate(self):
        port, peer = self.peer(pgwire.TERMINATE, query(2), silence_timeout_s=-1.0)
        self.assertEqual(port.receiver.received, [1])
        self.ends_behind_one_answer(port, peer)

    def test_terminate_and_a_close(self):
        port, peer = self.peer(pgwire.TERMINATE)
        peer.sock.close()
        port.until(lambda: not port.clients.connected)
        self.assertEqual(port.receiver.cancelled, [1])

    def test_half_a_message_for_too_long(self):
        port, peer = self.peer(query(2)[:9], silence_timeout_s=-1.0)
        self.assertEqual(len(port.clients.partial), 1)
        port.clients.sweep()
        self.ends_behind_one_answer(port, peer)

    def test_half_a_message_that_became_whole_before_we_stopped_reading(self):
        port, peer = self.peer(query(2)[:9], silence_timeout_s=-1.0)
        peer.send(query(2)[9:] + b"".join(query(at) for at in range(3, 9)))
        port.until(lambda: len(port.receiver.received) == 8)
        port.clients.sweep()
        for number in range(1, 9):
            port.receiver.answer(number)
        peer.hears(b"".join(row(b"%d" % number) for number in range(1, 9)))


if __name__ == "__main__":
    unittest.main()

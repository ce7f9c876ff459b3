"""How client connections end, and which answers they still get: clients that leave, or send what can't be taken."""

import socket
import unittest

from brookreach.net import pgwire

from .peers_clients import ClientConnectionsTestCase, query, row

MANY = b"".join(query(number) for number in range(1, 31))


class LeavingTest(ClientConnectionsTestCase):
    """A client that closes is gone, whatever it had asked: its RPCs are cancelled in the same turn."""

    def assert_cancelled(self, leave, asked):
        rig = self.rig()
        peer = rig.started_peer()
        peer.send(asked)
        rig.until(lambda: rig.receiver.received)
        rig.run_until_idle()
        under_way = list(rig.receiver.received)
        leave(peer)
        rig.until(lambda: not rig.clients.connected)
        rig.run_until_idle()
        self.assertEqual((rig.receiver.cancelled, rig.receiver.received), (under_way, under_way))

    def test_fin_behind_as_many_rpcs_as_may_be_under_way(self):
        self.assert_cancelled(lambda peer: peer.sock.close(), b"".join(query(at) for at in range(1, 9)))

    def test_fin_behind_queries_that_are_not_read_yet(self):
        self.assert_cancelled(lambda peer: peer.sock.close(), MANY)

    def test_half_close_means_the_same(self):
        self.assert_cancelled(lambda peer: peer.sock.shutdown(socket.SHUT_WR), MANY)

    def test_reset(self):
        self.assert_cancelled(lambda peer: peer.reset(), MANY)

    def test_fin_in_front_of_one_rpc(self):
        self.assert_cancelled(lambda peer: peer.sock.close(), query(1))

    def test_fin_before_anything_was_asked(self):
        rig = self.rig()
        rig.started_peer().sock.close()
        rig.until(lambda: not rig.clients.connected)
        self.assertEqual((len(rig.clients.silent), rig.receiver.cancelled), (0, []))

    def test_fin_after_a_partly_written_answer(self):
        rig = self.rig()
        peer = rig.started_peer(window=4096)
        peer.shrink_send_buffer()
        peer.send(query(1) + query(2))
        rig.until(lambda: len(rig.receiver.received) == 2)
        rig.receiver.answer(1, bytes(256 << 10))
        rig.run_until_idle()
        self.assertTrue(peer.client.unsent)
        peer.send(query(3))
        rig.until(lambda: not peer.client.reading)
        peer.sock.shutdown(socket.SHUT_WR)  # no reset: only the end of its stream tells that it is gone
        rig.until(lambda: not rig.clients.connected)
        self.assertEqual((rig.receiver.cancelled, len(rig.clients.stalled)), ([2], 0))


class BehindTest(ClientConnectionsTestCase):
    """Whatever follows an RPC that is under way, that RPC gets its answer."""

    def peer(self, *asked, **limits):
        """A client whose first RPC is under way, and all of `asked` handled."""
        rig = self.rig(**limits)
        peer = rig.started_peer()
        peer.send(b"".join([query(1), *asked]))
        rig.until(lambda: rig.receiver.received)
        rig.run_until_idle()
        return rig, peer

    def assert_ends_after_one_answer(self, rig, peer, *more):
        rig.receiver.answer(1)
        peer.expect(b"".join([row(b"1"), *more]))
        self.assertEqual((peer.wait_end(), rig.receiver.cancelled), (("FIN", b""), []))
        rig.clients.sweep()
        self.assertEqual(len(rig.clients.connected), 0)

    def test_a_statement_that_cannot_be_taken(self):
        unknown = b"".join(pgwire.query_message(b"SELECT 1 /* id=2,c=none,d=9 */"))
        rig, peer = self.peer(unknown, query(3))
        self.assertEqual(rig.receiver.received, [1, 3])
        rig.receiver.answer(3)
        rig.receiver.answer(1)
        peer.expect(row(b"1") + pgwire.error_response(b"22023", "unknown class b'none'") + row(b"3"))
        self.assertEqual(rig.receiver.cancelled, [])

    def test_bytes_that_are_not_the_protocol(self):
        rig, peer = self.peer(b"?\0\0\0\4", query(2), silence_timeout_s=-1.0)
        self.assertEqual(rig.receiver.received, [1])
        why = "not the protocol: unknown message b'?'"
        self.assert_ends_after_one_answer(rig, peer, pgwire.fatal_response(b"08P01", why, ready=True))

    def test_an_impossible_length(self):
        rig, peer = self.peer(b"Q\xff\xff\xff\xff", silence_timeout_s=-1.0)
        peer.send(bytes(5000))  # it sends on
        rig.run_until_idle()
        why = "not the protocol: a message of length -1"
        self.assert_ends_after_one_answer(rig, peer, pgwire.fatal_response(b"08P01", why, ready=True))

    def test_terminate(self):
        rig, peer = self.peer(pgwire.TERMINATE, query(2), silence_timeout_s=-1.0)
        self.assertEqual(rig.receiver.received, [1])
        self.assert_ends_after_one_answer(rig, peer)

    def test_terminate_and_a_close(self):
        rig, peer = self.peer(pgwire.TERMINATE)
        peer.sock.close()
        rig.until(lambda: not rig.clients.connected)
        self.assertEqual(rig.receiver.cancelled, [1])

    def test_half_a_message_for_too_long(self):
        rig, peer = self.peer(query(2)[:9], silence_timeout_s=-1.0)
        self.assertEqual(len(rig.clients.partial), 1)
        rig.clients.sweep()
        self.assert_ends_after_one_answer(rig, peer)

    def test_half_a_message_that_became_whole_before_we_stopped_reading(self):
        rig, peer = self.peer(query(2)[:9], silence_timeout_s=-1.0)
        peer.send(query(2)[9:] + b"".join(query(at) for at in range(3, 9)))
        rig.until(lambda: len(rig.receiver.received) == 8)
        rig.clients.sweep()
        for number in range(1, 9):
            rig.receiver.answer(number)
        peer.expect(b"".join(row(b"%d" % number) for number in range(1, 9)))


if __name__ == "__main__":
    unittest.main()

"""How a client's connection ends, and what it is still owed then: clients that leave, stall or drip."""

import socket
import unittest

from .peers_clients import PortCase, query

MANY = b"".join(query(number) for number in range(1, 31))


class LeavingTest(PortCase):
    """A client that closes has gone, whatever it had asked: its RPCs are given up in the same turn."""

    def gives_up(self, leave, asked):
        port = self.port()
        peer = port.ready_peer()
        peer.send(asked)
        port.until(lambda: port.desk.taken)
        port.rest()
        under_way = list(port.desk.taken)
        leave(peer)
        port.until(lambda: not port.home.open)
        port.rest()
        self.assertEqual((port.desk.left, port.desk.taken), (under_way, under_way))

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
        port.until(lambda: not port.home.open)
        self.assertEqual((len(port.home.silent), port.desk.left), (0, []))

    def test_fin_behind_an_answer_half_written(self):
        port = self.port()
        peer = port.ready_peer(window=4096)
        peer.send(query(1) + query(2))
        port.until(lambda: len(port.desk.taken) == 2)
        port.desk.answer(1, bytes(8 << 20))
        port.rest()
        self.assertTrue(peer.client.rest)
        peer.send(query(3))
        port.until(lambda: not peer.client.reading)
        peer.sock.shutdown(socket.SHUT_WR)  # no reset: only the end of what it sends tells that it has gone
        port.until(lambda: not port.home.open)
        self.assertEqual((port.desk.left, len(port.home.stuck)), ([2], 0))


if __name__ == "__main__":
    unittest.main()

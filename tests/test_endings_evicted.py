"""Connections that the balancer closes by itself: never one with an unread RPC or an unwritten answer."""

import unittest

from brookreach.net import pgwire

from .peers_clients import HELLO, ClientConnectionsTestCase, query, row


class SweepTest(ClientConnectionsTestCase):
    """Each time limit is over when the sweep comes, while the bytes have just arrived in the kernel."""

    def idle_peer(self, rig):
        peer = rig.started_peer()
        peer.send(query(1))
        rig.until(lambda: rig.receiver.received)
        rig.receiver.answer(1)
        peer.expect(row(b"1"))
        self.assertEqual(list(rig.clients.idle), [peer.client])
        return peer

    def serves(self, rig, peer, data):
        peer.send_unread(data)
        rig.clients.sweep()
        rig.until(lambda: rig.receiver.answers)
        number = rig.receiver.received[-1]
        rig.receiver.answer(number)
        peer.expect(row(b"%d" % number))

    def test_idle_for_too_long(self):
        rig = self.rig(idle_timeout_s=-1.0)
        peer = self.idle_peer(rig)
        self.serves(rig, peer, query(2))
        rig.clients.sweep()
        self.assertEqual(peer.wait_end(), ("FIN", b""))

    def test_idle_while_most_connections_are_taken(self):
        rig = self.rig(crowded_idle_timeout_s=-1.0, max_clients=1)
        peer = self.idle_peer(rig)
        self.serves(rig, peer, query(2))
        rig.clients.sweep()
        self.assertEqual(peer.wait_end(), ("FIN", b""))

    def test_idle_with_half_a_query(self):
        rig = self.rig(idle_timeout_s=-1.0, crowded_idle_timeout_s=-1.0)
        peer, whole = self.idle_peer(rig), query(2)
        peer.send(whole[:9])
        rig.until(lambda: rig.clients.partial)
        rig.clients.sweep()
        self.serves(rig, peer, whole[9:])

    def test_half_a_query_for_too_long(self):
        rig, whole = self.rig(silence_timeout_s=-1.0), query(1)
        peer = rig.started_peer()
        peer.send(whole[:9])
        rig.until(lambda: rig.clients.partial)
        self.serves(rig, peer, whole[9:])

    def test_a_long_query_whose_end_lies_unread(self):
        rig, whole = self.rig(silence_timeout_s=-1.0), query(1, word="f" * 100_000)
        peer = rig.started_peer()
        peer.send(whole[:9])
        rig.until(lambda: rig.clients.partial)
        self.serves(rig, peer, whole[9:])

    def test_silent_for_too_long(self):
        rig = self.rig(silence_timeout_s=-1.0)
        self.serves(rig, rig.started_peer(), query(1))

    def test_silent_and_nothing_comes(self):
        rig = self.rig(silence_timeout_s=-1.0)
        peer = rig.started_peer()
        rig.clients.sweep()
        self.assertEqual((peer.wait_end(), len(rig.clients.connected)), (("FIN", b""), 0))


class SlowTest(ClientConnectionsTestCase):
    """A slow message is not silence. Times that the balancer has noted are moved into the past."""

    def test_a_slow_query_that_takes_longer_than_a_partial_message_may(self):
        rig, whole = self.rig(), query(1)
        peer = rig.started_peer()
        for at in range(len(whole) - 1):
            peer.send(whole[at : at + 1])
            rig.until(lambda at=at: len(peer.client.inbound) == at + 1)
            rig.clients.partial[peer.client] -= 2.5 / len(whole)
            rig.clients.silent[peer.client] -= 2.5 / len(whole)
            rig.clients.sweep()
        peer.send(whole[-1:])
        rig.until(lambda: rig.receiver.received)
        rig.receiver.answer(1)
        peer.expect(row(b"1"))

    def test_a_slow_startup_message(self):
        rig, whole = self.rig(), HELLO
        peer = rig.peer(b"")
        rig.until(lambda: peer.client)
        for at in range(len(whole) - 1):
            peer.send(whole[at : at + 1])
            rig.until(lambda at=at: len(peer.client.inbound) == at + 1)
            rig.clients.silent[peer.client] -= 2.5 / len(whole)
            rig.clients.sweep()
        peer.send(whole[-1:])
        peer.expect(pgwire.STARTUP_RESPONSE)

    def slow_peer(self):
        rig = self.rig()
        peer = rig.started_peer()
        peer.send(query(1)[:20])
        rig.until(lambda: rig.clients.partial)
        return rig, peer

    def test_a_slow_query_that_stalls(self):
        rig, peer = self.slow_peer()
        rig.clients.partial[peer.client] -= 2.5
        peer.client.heard_at -= 2.5
        rig.clients.sweep()
        self.assertEqual(peer.wait_end(), ("FIN", b""))

    def test_a_slow_query_that_takes_longer_than_any_rpc_may(self):
        rig, peer = self.slow_peer()
        rig.clients.partial[peer.client] -= 4.0
        rig.clients.sweep()
        self.assertEqual(peer.wait_end(), ("FIN", b""))

    def test_a_client_that_takes_its_answer_slowly(self):
        rig, answer = self.rig(), bytes(256 << 10)
        peer = rig.started_peer(window=4096)
        peer.shrink_send_buffer()
        peer.send(query(1))
        rig.until(lambda: rig.receiver.received)
        rig.receiver.answer(1, answer)
        while peer.client.unsent:
            left = sum(len(part) for part in peer.client.unsent)
            rig.clients.stalled[peer.client] -= 4.0  # of the 5 s

            def some(left=left):
                peer.read()
                return sum(len(part) for part in peer.client.unsent) < left

            rig.until(some)
            rig.clients.sweep()
        peer.expect(row(answer))
        self.assertEqual(len(rig.clients.stalled), 0)

    def test_half_a_query_after_an_answer_that_is_not_taken_yet(self):
        rig, answer = self.rig(silence_timeout_s=-1.0), bytes(256 << 10)
        peer = rig.started_peer(window=4096)
        peer.shrink_send_buffer()
        peer.send(query(1) + query(2)[:9])
        rig.until(lambda: rig.clients.partial)
        rig.receiver.answer(1, answer)
        rig.clients.sweep()
        peer.expect(row(answer))
        self.assertEqual(peer.wait_end(), ("FIN", b""))

    def test_a_client_that_takes_none_of_its_answer(self):
        rig = self.rig()
        peer = rig.started_peer(window=4096)
        peer.shrink_send_buffer()
        peer.send(query(1))
        rig.until(lambda: rig.receiver.received)
        rig.receiver.answer(1, bytes(256 << 10))
        rig.run_until_idle()
        rig.clients.stalled[peer.client] -= 5.5
        rig.clients.sweep()
        self.assertEqual(len(rig.clients.connected), 0)


class WayTest(ClientConnectionsTestCase):
    """One connection more than there may be: which one is evicted."""

    def full_rig_of(self, count, **limits):
        rig = self.rig(max_clients=count, **limits)
        return rig, [rig.started_peer() for _ in range(count)]

    def make_idle(self, rig, peers):
        for peer in peers:
            peer.send(b"".join(pgwire.query_message(b"")))
            peer.expect(pgwire.EMPTY_QUERY_RESPONSE)

    def test_one_whose_first_query_is_on_its_way_stays_where_others_are_idle(self):
        rig, peers = self.full_rig_of(4)
        self.make_idle(rig, peers[1:])
        rig.started_peer()
        peers[0].send(query(1))
        rig.until(lambda: rig.receiver.received)
        self.assertEqual((peers[1].wait_end(), rig.clients.report.lines), (("FIN", b""), []))

    def test_many_silent_connections_do_not_evict_those_that_ask(self):
        rig, peers = self.full_rig_of(4)
        self.make_idle(rig, peers[:2])
        for _ in range(20):
            rig.started_peer()
        for peer in peers[:1]:
            self.assertEqual(peer.wait_end()[0], "FIN")
        peers[1].send(query(1))
        rig.until(lambda: rig.receiver.received)

    def test_one_whose_answer_is_not_written_yet_stays(self):
        rig, (peer,) = self.full_rig_of(1, idle_timeout_s=-1.0)
        answer = bytes(256 << 10)
        peer.shrink_send_buffer()
        peer.send(query(1))
        rig.until(lambda: rig.receiver.received)
        rig.receiver.answer(1, answer)
        self.assertTrue(peer.client.unsent)
        self.assertEqual(
            rig.peer().wait_end(), ("FIN", pgwire.fatal_response(b"53300", "too many connections", ready=False))
        )
        rig.clients.sweep()
        peer.expect(row(answer))
        self.assertEqual(len(rig.clients.idle), 1)

    # Guards against a first query that is lost unread behind a startup message of which only a part was read.
    def test_half_a_startup_message_stays_where_the_rest_lies_unread_with_the_first_query(self):
        for at in (6, 9, len(HELLO) - 1):
            with self.subTest(at=at):
                rig = self.rig(max_clients=1)
                peer = rig.peer(HELLO[:at])
                rig.until(lambda peer=peer, at=at: peer.client and len(peer.client.inbound) == at)
                peer.send_unread(HELLO[at:] + query(1))
                peer.wait_acknowledged()
                self.assertFalse(rig.clients._evict_one())
                rig.until(lambda rig=rig: rig.receiver.received == [1])

    def test_half_a_query_is_evicted_where_nothing_else_can_be(self):
        rig, peers = self.full_rig_of(3)
        self.make_idle(rig, peers)
        peers[1].shrink_send_buffer()
        for at, data in enumerate((query(1) + query(9)[:9], query(2) + query(9)[:9], query(9)[:9])):
            peers[at].send(data)
            rig.until(lambda at=at: len(rig.clients.partial) == at + 1)
        rig.receiver.answer(2, bytes(256 << 10))
        self.assertTrue(peers[1].client.unsent)
        rig.started_peer()
        self.assertEqual((peers[2].wait_end(), rig.receiver.cancelled), (("FIN", b""), []))
        self.assertEqual([peers[0].client is None, peers[1].client is None], [False, False])


if __name__ == "__main__":
    unittest.main()

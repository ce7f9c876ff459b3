"""The moment of a stop: what has arrived by then is answered, even if it was not read yet."""

import math
import time
import unittest

from brookreach.net import pgwire

from .peers_clients import HELLO, LIMITS, ClientConnectionsTestCase, query, row

STOPS = pgwire.fatal_response(b"57P03", "shutting down", ready=False)


def rows(*numbers):
    return b"".join(row(b"%d" % number) for number in numbers)


class LastCallTest(ClientConnectionsTestCase):
    def answer_all(self, rig, count):
        """Answer every RPC that is received, until there were so many."""

        def all_taken():
            for number in list(rig.receiver.answers):
                rig.receiver.answer(number)
            return len(rig.receiver.received) == count

        rig.until(all_taken)

    def assert_ends_after(self, rig, peer, *numbers):
        peer.expect(rows(*numbers))
        self.assertEqual((peer.wait_end(), rig.receiver.cancelled), (("FIN", b""), []))

    def test_an_idle_connection_ends_between_rpcs(self):
        rig = self.rig()
        peer = rig.started_peer()
        peer.send(query(1))
        self.answer_all(rig, 1)
        peer.expect(row(b"1"))
        rig.clients.refuse_new_connections()
        self.assert_ends_after(rig, peer)
        peer.send_unread(query(2))  # it crosses the end of our side
        rig.run_until_idle()
        self.assertEqual(rig.receiver.received, [1])
        self.assertFalse(peer.client.is_quiet(), "if it were read, it would have to be answered")
        peer.sock.close()
        rig.until(lambda: not rig.clients.connected)

    def test_a_connection_that_has_asked_nothing_yet_is_served_once(self):
        rig = self.rig()
        peer = rig.started_peer()
        rig.clients.refuse_new_connections()
        rig.run_until_idle()
        peer.send(query(1))
        self.answer_all(rig, 1)
        self.assert_ends_after(rig, peer, 1)

    def test_a_connection_that_asks_nothing_is_ended(self):
        rig = self.rig(refuse_new_after_s=-1.0)
        peer = rig.started_peer()
        rig.clients.refuse_new_connections()
        rig.clients.sweep()
        self.assert_ends_after(rig, peer)

    def test_new_connections_are_refused(self):
        rig = self.rig()
        rig.clients.refuse_new_connections()
        peers = [rig.peer(HELLO + query(number)) for number in range(1, 21)]
        for peer in peers:
            self.assertEqual(peer.wait_end(), ("FIN", STOPS))
        self.assertEqual(rig.receiver.received, [])

    def test_connections_that_wait_as_the_listener_closes_are_refused(self):
        rig = self.rig()
        rig.clients.refuse_new_connections()
        peer = rig.peer(HELLO + query(1))
        peer.wait_acknowledged()
        rig.clients.close()
        self.assertEqual(peer.wait_end(), ("FIN", STOPS))

    def test_the_deadline_ends_half_a_query_and_one_that_asks_nothing(self):
        rig = self.rig()
        half, silent = rig.started_peer(), rig.started_peer()
        half.send(query(1)[:20])
        rig.until(lambda: rig.clients.partial)
        rig.clients.refuse_new_connections()
        rig.run_until_idle()
        rig.clients.stop_waiting()
        self.assert_ends_after(rig, half)
        self.assert_ends_after(rig, silent)

    def test_a_query_that_lies_unread_in_the_kernel(self):
        rig = self.rig()
        peer = rig.started_peer()
        peer.send_unread(query(1))
        rig.clients.refuse_new_connections()
        self.answer_all(rig, 1)
        self.assert_ends_after(rig, peer, 1)

    def test_a_query_that_lies_unread_as_the_answer_before_it_goes_out(self):
        rig = self.rig()
        peer = rig.started_peer()
        peer.send(query(1))
        rig.until(lambda: rig.receiver.received)
        rig.clients.refuse_new_connections()
        peer.send_unread(query(2))
        rig.receiver.answer(1)
        rig.clients.resume_reading()  # before the sockets are polled
        self.answer_all(rig, 2)
        self.assert_ends_after(rig, peer, 1, 2)

    def test_more_queries_than_may_be_under_way(self):
        rig, numbers = self.rig(), range(1, 4 * LIMITS.max_pipelined)
        peer = rig.started_peer()
        peer.send(b"".join(query(number) for number in numbers))
        rig.until(lambda: len(rig.receiver.received) == LIMITS.max_pipelined)
        rig.clients.refuse_new_connections()
        self.answer_all(rig, len(numbers))
        self.assert_ends_after(rig, peer, *numbers)

    def test_more_commands_than_are_handled_in_one_turn(self):
        rig = self.rig()
        peer = rig.started_peer()
        peer.send_unread(b"".join(pgwire.query_message(b"")) * 400 + query(1))
        rig.clients.refuse_new_connections()
        self.answer_all(rig, 1)
        peer.expect(pgwire.EMPTY_QUERY_RESPONSE * 400)
        self.assert_ends_after(rig, peer, 1)

    def test_a_query_that_is_half_there(self):
        rig, whole = self.rig(), query(1)
        peer = rig.started_peer()
        peer.send(whole[:20])
        rig.until(lambda: rig.clients.partial)
        rig.clients.refuse_new_connections()
        rig.run_until_idle()
        peer.send(whole[20:])
        self.answer_all(rig, 1)
        self.assert_ends_after(rig, peer, 1)

    def test_a_startup_that_is_half_there(self):
        rig = self.rig()
        peer = rig.peer(HELLO[:7])
        rig.until(lambda: peer.client and len(peer.client.inbound))
        rig.clients.refuse_new_connections()
        rig.run_until_idle()
        peer.send(HELLO[7:] + query(1))
        peer.expect(pgwire.STARTUP_RESPONSE)
        self.answer_all(rig, 1)
        self.assert_ends_after(rig, peer, 1)

    def test_connections_that_wait_to_be_accepted(self):
        rig = self.rig()
        numbers = range(1, 101)
        peers = [rig.peer(HELLO + query(number)) for number in numbers]
        for peer in peers:
            peer.wait_acknowledged()
        rig.clients.refuse_new_connections()
        self.answer_all(rig, 100)
        for number, peer in zip(numbers, peers, strict=True):
            peer.expect(pgwire.STARTUP_RESPONSE)
            self.assert_ends_after(rig, peer, number)

    def test_an_answer_that_the_client_has_not_taken_yet(self):
        rig, large = self.rig(), bytes(256 << 10)
        peer = rig.started_peer(window=4096)
        peer.shrink_send_buffer()
        peer.send(query(1) + query(2))
        rig.until(lambda: len(rig.receiver.received) == 2)
        rig.receiver.answer(1, large)
        self.assertTrue(peer.client.unsent)
        peer.send_unread(query(3))
        rig.clients.refuse_new_connections()
        rig.receiver.answer(2)
        peer.expect(row(large))
        self.answer_all(rig, 3)
        self.assert_ends_after(rig, peer, 2, 3)

    def test_a_client_that_never_pauses_is_answered_all_it_asks_until_the_deadline(self):
        rig = self.rig()
        rig.clients.drain.begin()
        peer = rig.started_peer()
        peer.send(query(1, wait_ms=3000))
        rig.until(lambda: rig.receiver.received)
        rig.clients.refuse_new_connections()
        peer.send(query(2, wait_ms=1000))
        rig.until(lambda: 2 in rig.receiver.received)
        rig.receiver.answer(1)
        peer.send(
            query(3, wait_ms=5000) + query(4, wait_ms=1)
        )  # one has more time than the process: it is received as well
        rig.until(lambda: 4 in rig.receiver.received)
        rig.clients.stop_waiting()
        for number in (2, 3, 4):
            rig.receiver.answer(number)
        self.assert_ends_after(rig, peer, 1, 2, 3, 4)

    def test_an_rpc_with_the_longest_time_of_all_in_the_last_instant(self):
        """Its answer is due by the drain's deadline, before which every RPC that was sent before the signal is due."""
        rig = self.rig()
        rig.clients.drain.begin()
        self.assertGreaterEqual(rig.clients.drain.answer_due(math.inf), time.monotonic() + 3.0)
        peer = rig.started_peer()
        peer.send_unread(query(1, wait_ms=3000))
        rig.clients.refuse_new_connections()
        self.answer_all(rig, 1)
        self.assert_ends_after(rig, peer, 1)

    def test_a_second_signal_changes_no_deadline(self):
        drain = self.rig().clients.drain
        drain.begin()
        first = drain.deadline, drain.refuse_new_at, drain.exit_at
        time.sleep(0.01)
        drain.begin()
        self.assertEqual((drain.deadline, drain.refuse_new_at, drain.exit_at), first)


if __name__ == "__main__":
    unittest.main()

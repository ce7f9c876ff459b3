"""The instant of a stop: what has come by then is answered, also where nobody had read it yet."""

import math
import time
import unittest

from brookreach.net import pgwire

from .peers_clients import HELLO, LIMITS, PortCase, query, row

STOPS = pgwire.fatal_response(b"57P03", "shutting down", ready=False)


def rows(*numbers):
    return b"".join(row(b"%d" % number) for number in numbers)


class LastCallTest(PortCase):
    def answered(self, port, count):
        """Answers whatever has been taken, until so many RPCs were."""

        def all_taken():
            for number in list(port.receiver.answers):
                port.receiver.answer(number)
            return len(port.receiver.received) == count

        port.until(all_taken)

    def ends(self, port, peer, *numbers):
        peer.hears(rows(*numbers))
        self.assertEqual((peer.ends(), port.receiver.cancelled), (("FIN", b""), []))

    def test_an_idle_connection_ends_between_rpcs(self):
        port = self.port()
        peer = port.ready_peer()
        peer.send(query(1))
        self.answered(port, 1)
        peer.hears(row(b"1"))
        port.clients.refuse_new_connections()
        self.ends(port, peer)
        peer.lies_unread(query(2))  # it crossed: our end was written before
        port.rest()
        self.assertEqual(port.receiver.received, [1])
        self.assertFalse(peer.client.is_quiet(), "read, it would be owed an answer")
        peer.sock.close()
        port.until(lambda: not port.clients.connected)

    def test_a_connection_that_has_asked_nothing_yet_is_served_once(self):
        port = self.port()
        peer = port.ready_peer()
        port.clients.refuse_new_connections()
        port.rest()
        peer.send(query(1))
        self.answered(port, 1)
        self.ends(port, peer, 1)

    def test_a_connection_that_asks_nothing_is_ended(self):
        port = self.port(refuse_new_after_s=-1.0)
        peer = port.ready_peer()
        port.clients.refuse_new_connections()
        port.clients.sweep()
        self.ends(port, peer)

    def test_new_connections_are_told_so(self):
        port = self.port()
        port.clients.refuse_new_connections()
        peers = [port.peer(HELLO + query(number)) for number in range(1, 21)]
        for peer in peers:
            self.assertEqual(peer.ends(), ("FIN", STOPS))
        self.assertEqual(port.receiver.received, [])

    def test_those_that_wait_as_the_listener_closes_are_told_so(self):
        port = self.port()
        port.clients.refuse_new_connections()
        peer = port.peer(HELLO + query(1))
        peer.acknowledged()
        port.clients.close()
        self.assertEqual(peer.ends(), ("FIN", STOPS))

    def test_the_deadline_ends_half_a_query_and_one_that_asks_nothing(self):
        port = self.port()
        half, silent = port.ready_peer(), port.ready_peer()
        half.send(query(1)[:20])
        port.until(lambda: port.clients.partial)
        port.clients.refuse_new_connections()
        port.rest()
        port.clients.stop_waiting()
        self.ends(port, half)
        self.ends(port, silent)

    def test_a_query_that_lies_unread_in_the_kernel(self):
        port = self.port()
        peer = port.ready_peer()
        peer.lies_unread(query(1))
        port.clients.refuse_new_connections()
        self.answered(port, 1)
        self.ends(port, peer, 1)

    def test_a_query_that_lies_unread_as_the_answer_before_it_goes_out(self):
        port = self.port()
        peer = port.ready_peer()
        peer.send(query(1))
        port.until(lambda: port.receiver.received)
        port.clients.refuse_new_connections()
        peer.lies_unread(query(2))
        port.receiver.answer(1)
        port.clients.resume_reading()  # before the sockets have their turn
        self.answered(port, 2)
        self.ends(port, peer, 1, 2)

    def test_more_queries_than_may_be_under_way(self):
        port, numbers = self.port(), range(1, 4 * LIMITS.max_pipelined)
        peer = port.ready_peer()
        peer.send(b"".join(query(number) for number in numbers))
        port.until(lambda: len(port.receiver.received) == LIMITS.max_pipelined)
        port.clients.refuse_new_connections()
        self.answered(port, len(numbers))
        self.ends(port, peer, *numbers)

    def test_more_commands_than_are_handled_in_one_turn(self):
        port = self.port()
        peer = port.ready_peer()
        peer.lies_unread(b"".join(pgwire.query_message(b"")) * 400 + query(1))
        port.clients.refuse_new_connections()
        self.answered(port, 1)
        peer.hears(pgwire.EMPTY_QUERY_RESPONSE * 400)
        self.ends(port, peer, 1)

    def test_a_query_that_is_half_there(self):
        port, whole = self.port(), query(1)
        peer = port.ready_peer()
        peer.send(whole[:20])
        port.until(lambda: port.clients.partial)
        port.clients.refuse_new_connections()
        port.rest()
        peer.send(whole[20:])
        self.answered(port, 1)
        self.ends(port, peer, 1)

    def test_a_startup_that_is_half_there(self):
        port = self.port()
        peer = port.peer(HELLO[:7])
        port.until(lambda: peer.client and len(peer.client.inbound))
        port.clients.refuse_new_connections()
        port.rest()
        peer.send(HELLO[7:] + query(1))
        peer.hears(pgwire.STARTUP_RESPONSE)
        self.answered(port, 1)
        self.ends(port, peer, 1)

    def test_connections_that_wait_to_be_accepted(self):
        port = self.port()
        numbers = range(1, 101)
        peers = [port.peer(HELLO + query(number)) for number in numbers]
        for peer in peers:
            peer.acknowledged()
        port.clients.refuse_new_connections()
        self.answered(port, 100)
        for number, peer in zip(numbers, peers, strict=True):
            peer.hears(pgwire.STARTUP_RESPONSE)
            self.ends(port, peer, number)

    def test_an_answer_that_the_client_has_not_taken_yet(self):
        port, large = self.port(), bytes(256 << 10)
        peer = port.ready_peer(window=4096)
        peer.narrow()
        peer.send(query(1) + query(2))
        port.until(lambda: len(port.receiver.received) == 2)
        port.receiver.answer(1, large)
        self.assertTrue(peer.client.unsent)
        peer.lies_unread(query(3))
        port.clients.refuse_new_connections()
        port.receiver.answer(2)
        peer.hears(row(large))
        self.answered(port, 3)
        self.ends(port, peer, 2, 3)

    def test_a_client_that_never_pauses_is_answered_all_it_asks_until_the_deadline(self):
        port = self.port()
        port.clients.drain.begin()
        peer = port.ready_peer()
        peer.send(query(1, wait_ms=3000))
        port.until(lambda: port.receiver.received)
        port.clients.refuse_new_connections()
        peer.send(query(2, wait_ms=1000))
        port.until(lambda: 2 in port.receiver.received)
        port.receiver.answer(1)
        peer.send(query(3, wait_ms=5000) + query(4, wait_ms=1))  # one has more time than we have: it is taken as well
        port.until(lambda: 4 in port.receiver.received)
        port.clients.stop_waiting()
        for number in (2, 3, 4):
            port.receiver.answer(number)
        self.ends(port, peer, 1, 2, 3, 4)

    def test_an_rpc_with_the_longest_time_of_all_in_the_last_instant(self):
        """Its answer is due by the drain's deadline; at the signal, no RPC that was sent before it has more time."""
        port = self.port()
        port.clients.drain.begin()
        self.assertGreaterEqual(port.clients.drain.answer_due(math.inf), time.monotonic() + 3.0)
        peer = port.ready_peer()
        peer.lies_unread(query(1, wait_ms=3000))
        port.clients.refuse_new_connections()
        self.answered(port, 1)
        self.ends(port, peer, 1)

    def test_a_second_signal_moves_no_deadline(self):
        drain = self.port().clients.drain
        drain.begin()
        first = drain.deadline, drain.refuse_new_at, drain.exit_at
        time.sleep(0.01)
        drain.begin()
        self.assertEqual((drain.deadline, drain.refuse_new_at, drain.exit_at), first)


if __name__ == "__main__":
    unittest.main()

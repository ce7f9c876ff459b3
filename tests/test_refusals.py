"""Connections without room: each is told so, whatever the kernel does with the answer."""

import contextlib
import errno
import unittest
from unittest import mock

from brookreach.net import pgwire, stream

from .peers_clients import HELLO, LIMITS, PortCase, query, row

FULL = pgwire.fatal_response(b"53300", "too many connections", ready=False)
FULL_BEHIND_THE_WELCOME = FULL + pgwire.READY_FOR_QUERY


@contextlib.contextmanager
def failing_accepts(port, *numbers):
    """The first calls of accept fail with these errors; gives those that are still to come."""
    accept, failures = port.clients.listener.sock.accept, list(numbers)

    def failing():
        if failures:
            raise OSError(failures.pop(0), "it fails")
        return accept()

    with mock.patch.object(port.clients.listener, "sock", mock.Mock(accept=failing)):
        yield failures


class RefusalTest(PortCase):
    def test_more_than_are_told_at_a_time(self):
        port = self.full_port(min_refusals=2)
        peers = [port.peer(HELLO + query(number)) for number in range(2, 42)]
        for peer in peers:
            self.assertEqual(peer.ends(), ("FIN", FULL))
            peer.sock.close()
        port.until(lambda: not port.clients.refusals.open)
        self.assertEqual(port.receiver.received, [1])

    def test_one_that_stays_is_closed_and_the_next_is_told(self):
        port = self.full_port(min_refusals=1, refusal_timeout_s=0.02)
        first, second = port.peer(), port.peer()
        self.assertEqual([first.ends(), second.ends()], [("FIN", FULL), ("FIN", FULL)])
        port.until(lambda: second.client is None and not port.clients.refusals.open or port.clients.sweep())

    def test_those_that_have_written_and_stay_hold_nobody_up(self):
        port = self.full_port(min_refusals=2, refusal_timeout_s=60.0)
        staying = [port.peer(HELLO + query(number)) for number in range(2, 12)]
        for peer in staying:
            self.assertEqual(peer.ends(), ("FIN", FULL))
        self.assertEqual(len(port.clients.refusals.open), 2)

    def test_room_that_nodes_do_not_use_is_for_them_too(self):
        port = self.full_port(min_refusals=1, refusal_timeout_s=60.0)
        port.clients.refusals.available_links = lambda: 8
        silent = [port.peer(b"") for _ in range(5)]
        for peer in silent:
            self.assertEqual(peer.ends(), ("FIN", FULL))
        late = port.peer(b"")
        port.rest()
        late.look()
        self.assertEqual((len(port.clients.refusals.open), late.heard, late.over), (5, b"", None))

    def test_one_that_has_gone_leaves_its_descriptor_as_it_was(self):
        """The next connections get the same numbers, and are served."""
        port = self.full_port()
        for _ in range(5):
            gone = port.peer(HELLO)
            gone.acknowledged()
            gone.reset()
            port.peers.remove(gone)
            port.rest()
        port.receiver.answer(1)
        for number in range(2, 8):
            peer = port.ready_peer()
            peer.send(query(number))
            port.until(lambda number=number: number in port.receiver.answers)
            port.receiver.answer(number)
            peer.hears(row(b"%d" % number))
            peer.sock.close()
            port.until(lambda: not port.clients.connected)
        self.assertEqual(set(port.poller.watched), port.poller.registered)

    def test_an_answer_that_the_kernel_takes_later(self):
        """The first call of sendmsg fails for want of buffers: our side must not be ended before the answer."""
        port = self.full_port()
        push, failures = stream.Stream._send_pending, []

        def fails_once(one):
            if not failures:
                failures.append(OSError(errno.ENOBUFS, "no buffers"))
                return
            push(one)

        with mock.patch.object(stream.Stream, "_send_pending", fails_once):
            self.assertEqual(port.peer(HELLO + query(2)).ends(), ("FIN", FULL))
        self.assertEqual(len(failures), 1)

    def test_a_silent_one_that_makes_way_is_told(self):
        port = self.port(max_clients=1)
        silent = port.ready_peer()
        port.ready_peer()
        silent.send(query(1))  # it was on its way
        self.assertEqual(silent.ends(), ("FIN", FULL_BEHIND_THE_WELCOME))

    def test_one_that_is_being_told_is_not_cut_short(self):
        port = self.port(max_clients=2, min_refusals=1, refusal_timeout_s=60.0)
        first, second = port.ready_peer(), port.ready_peer()
        port.ready_peer()
        self.assertEqual(first.ends(), ("FIN", FULL_BEHIND_THE_WELCOME))
        waits = port.peer(HELLO + query(1))
        port.rest()
        self.assertFalse(port.clients._evict_one())
        self.assertIsNotNone(second.client)
        first.sock.close()  # it has read its answer: the next one is looked at
        waits.hears(pgwire.STARTUP_RESPONSE)
        self.assertEqual(second.ends(), ("FIN", FULL_BEHIND_THE_WELCOME))

    def test_a_house_that_stays_full_lets_in_who_comes_once_there_is_room(self):
        port = self.full_port()
        self.assertEqual(port.peer().ends(), ("FIN", FULL))
        port.receiver.answer(1)
        peer = port.ready_peer()
        peer.send(query(2))
        port.until(lambda: port.receiver.received == [1, 2])


class AcceptTest(PortCase):
    """Errors of accept, while no connection is open."""

    def served_after(self, *errors):
        port = self.port()
        with failing_accepts(port, *errors) as failures:
            peer = port.ready_peer()
            peer.send(query(1))
            port.until(lambda: port.receiver.received)
        self.assertEqual(failures, [])
        return port

    def test_no_room_at_the_machine(self):
        for number in (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM):
            with self.subTest(errno.errorcode[number]):
                self.served_after(*[number] * 5)

    def test_errors_of_a_connection_that_has_gone(self):
        numbers = (errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.EHOSTUNREACH, errno.EPERM, errno.EINTR)
        for number in numbers:
            with self.subTest(errno.errorcode[number]):
                port = self.served_after(*[number] * 5)
                self.assertEqual(port.clients.report.lines, [])

    def waiting_at_the_last_call(self, *numbers):
        """Ten clients with a query each wait to be accepted, and accept fails so at the last call."""
        port = self.port()
        peers = [port.peer(HELLO + query(number)) for number in range(1, 11)]
        for peer in peers:
            peer.acknowledged()
        with failing_accepts(port, *numbers) as failures:
            port.clients.refuse_new_connections()
            port.until(lambda: not failures)
        return port, peers

    def test_for_a_moment_at_the_last_call(self):
        port, peers = self.waiting_at_the_last_call(errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS)
        port.until(lambda: len(port.receiver.received) == len(peers))
        for number, peer in enumerate(peers, 1):
            port.receiver.answer(number)
            peer.hears(pgwire.STARTUP_RESPONSE + row(b"%d" % number))
            self.assertEqual(peer.ends(), ("FIN", b""))

    def test_for_longer_than_the_last_call(self):
        """Nobody is reset: who could not be let in is told that we stop."""
        _, peers = self.waiting_at_the_last_call(*[errno.ENFILE] * (LIMITS.backlog + 3))
        for peer in peers:
            self.assertEqual(peer.ends(), ("FIN", pgwire.fatal_response(b"57P03", "shutting down", ready=False)))
            peer.sock.close()


if __name__ == "__main__":
    unittest.main()

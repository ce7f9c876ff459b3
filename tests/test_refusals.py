"""Connections for which there is no room: each is refused with an answer, whatever the kernel does with it."""

import contextlib
import errno
import unittest
from unittest import mock

from brookreach.net import pgwire, stream

from .peers_clients import HELLO, LIMITS, ClientConnectionsTestCase, query, row

FULL = pgwire.fatal_response(b"53300", "too many connections", ready=False)
FULL_BEHIND_THE_WELCOME = FULL + pgwire.READY_FOR_QUERY


@contextlib.contextmanager
def failing_accepts(rig, *numbers):
    """Let the first calls of accept fail with these errors; yields those that are still to come."""
    accept, failures = rig.clients.listener.sock.accept, list(numbers)

    def failing():
        if failures:
            raise OSError(failures.pop(0), "it fails")
        return accept()

    with mock.patch.object(rig.clients.listener, "sock", mock.Mock(accept=failing)):
        yield failures


class RefusalTest(ClientConnectionsTestCase):
    def test_more_refusals_than_are_held_at_a_time(self):
        rig = self.full_rig(min_refusals=2)
        peers = [rig.peer(HELLO + query(number)) for number in range(2, 42)]
        for peer in peers:
            self.assertEqual(peer.wait_end(), ("FIN", FULL))
            peer.sock.close()
        rig.until(lambda: not rig.clients.refusals.open)
        self.assertEqual(rig.receiver.received, [1])

    def test_a_refused_connection_that_stays_is_closed_and_the_next_is_refused(self):
        rig = self.full_rig(min_refusals=1, refusal_timeout_s=0.02)
        first, second = rig.peer(), rig.peer()
        self.assertEqual([first.wait_end(), second.wait_end()], [("FIN", FULL), ("FIN", FULL)])
        rig.until(lambda: second.client is None and not rig.clients.refusals.open or rig.clients.sweep())

    def test_refused_connections_that_have_written_and_stay_delay_no_other(self):
        rig = self.full_rig(min_refusals=2, refusal_timeout_s=60.0)
        staying = [rig.peer(HELLO + query(number)) for number in range(2, 12)]
        for peer in staying:
            self.assertEqual(peer.wait_end(), ("FIN", FULL))
        self.assertEqual(len(rig.clients.refusals.open), 2)

    def test_descriptors_that_nodes_do_not_use_serve_refusals(self):
        rig = self.full_rig(min_refusals=1, refusal_timeout_s=60.0)
        rig.clients.refusals.available_links = lambda: 8
        silent = [rig.peer(b"") for _ in range(5)]
        for peer in silent:
            self.assertEqual(peer.wait_end(), ("FIN", FULL))
        late = rig.peer(b"")
        rig.run_until_idle()
        late.read()
        self.assertEqual((len(rig.clients.refusals.open), late.received, late.end), (5, b"", None))

    def test_a_refused_connection_that_is_gone_leaves_its_descriptor_usable(self):
        """The next connections get the same descriptors, and are served."""
        rig = self.full_rig()
        for _ in range(5):
            gone = rig.peer(HELLO)
            gone.wait_acknowledged()
            gone.reset()
            rig.peers.remove(gone)
            rig.run_until_idle()
        rig.receiver.answer(1)
        for number in range(2, 8):
            peer = rig.started_peer()
            peer.send(query(number))
            rig.until(lambda number=number: number in rig.receiver.answers)
            rig.receiver.answer(number)
            peer.expect(row(b"%d" % number))
            peer.sock.close()
            rig.until(lambda: not rig.clients.connected)
        self.assertEqual(set(rig.poller.watched), rig.poller.registered)

    def test_a_refusal_that_the_kernel_takes_later(self):
        """The first call of sendmsg fails for want of buffers: our side must not be ended before the answer is written."""
        rig = self.full_rig()
        push, failures = stream.Stream._send_pending, []

        def fails_once(one):
            if not failures:
                failures.append(OSError(errno.ENOBUFS, "no buffers"))
                return
            push(one)

        with mock.patch.object(stream.Stream, "_send_pending", fails_once):
            self.assertEqual(rig.peer(HELLO + query(2)).wait_end(), ("FIN", FULL))
        self.assertEqual(len(failures), 1)

    def test_a_silent_connection_that_is_evicted_is_refused(self):
        rig = self.rig(max_clients=1)
        silent = rig.started_peer()
        rig.started_peer()
        silent.send(query(1))  # the refusal crosses it
        self.assertEqual(silent.wait_end(), ("FIN", FULL_BEHIND_THE_WELCOME))

    def test_a_refusal_that_is_not_read_yet_is_not_cut_short(self):
        rig = self.rig(max_clients=2, min_refusals=1, refusal_timeout_s=60.0)
        first, second = rig.started_peer(), rig.started_peer()
        rig.started_peer()
        self.assertEqual(first.wait_end(), ("FIN", FULL_BEHIND_THE_WELCOME))
        waits = rig.peer(HELLO + query(1))
        rig.run_until_idle()
        self.assertFalse(rig.clients._evict_one())
        self.assertIsNotNone(second.client)
        first.sock.close()  # it has read its answer: the next connection is accepted
        waits.expect(pgwire.STARTUP_RESPONSE)
        self.assertEqual(second.wait_end(), ("FIN", FULL_BEHIND_THE_WELCOME))

    # Guards against an RPC that is out of time while its connection waits behind refused ones that stay.
    def test_a_connection_waits_for_a_limited_time_for_refused_ones(self):
        rig = self.full_rig(min_refusals=1, refusal_timeout_s=60.0, accept_wait_s=0.1)
        silent = rig.peer(b"")
        self.assertEqual(silent.wait_end(), ("FIN", FULL))
        waiting = [rig.peer(HELLO + query(number)) for number in range(2, 12)]
        for peer in waiting:
            self.assertEqual(peer.wait_end(), ("FIN", FULL))

    def test_a_connection_after_a_refused_one_is_served_once_there_is_room(self):
        rig = self.full_rig()
        self.assertEqual(rig.peer().wait_end(), ("FIN", FULL))
        rig.receiver.answer(1)
        peer = rig.started_peer()
        peer.send(query(2))
        rig.until(lambda: rig.receiver.received == [1, 2])


class AcceptTest(ClientConnectionsTestCase):
    """Errors of accept, while no connection is open."""

    def served_after(self, *errors):
        rig = self.rig()
        with failing_accepts(rig, *errors) as failures:
            peer = rig.started_peer()
            peer.send(query(1))
            rig.until(lambda: rig.receiver.received)
        self.assertEqual(failures, [])
        return rig

    def test_errors_for_want_of_room(self):
        for number in (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM):
            with self.subTest(errno.errorcode[number]):
                self.served_after(*[number] * 5)

    def test_errors_of_a_connection_that_is_gone(self):
        numbers = (errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.EHOSTUNREACH, errno.EPERM, errno.EINTR)
        for number in numbers:
            with self.subTest(errno.errorcode[number]):
                rig = self.served_after(*[number] * 5)
                self.assertEqual(rig.clients.report.lines, [])

    def accepted_at_a_stop(self, *numbers):
        """Ten clients with a query each wait to be accepted, and accept fails with these errors as new ones are refused."""
        rig = self.rig()
        peers = [rig.peer(HELLO + query(number)) for number in range(1, 11)]
        for peer in peers:
            peer.wait_acknowledged()
        with failing_accepts(rig, *numbers) as failures:
            rig.clients.refuse_new_connections()
            rig.until(lambda: not failures)
        return rig, peers

    def test_errors_for_a_moment_at_a_stop(self):
        rig, peers = self.accepted_at_a_stop(errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS)
        rig.until(lambda: len(rig.receiver.received) == len(peers))
        for number, peer in enumerate(peers, 1):
            rig.receiver.answer(number)
            peer.expect(pgwire.STARTUP_RESPONSE + row(b"%d" % number))
            self.assertEqual(peer.wait_end(), ("FIN", b""))

    def test_errors_for_longer_than_accept_is_retried_at_a_stop(self):
        """No connection is reset: those that could not be admitted are told that the process stops."""
        _, peers = self.accepted_at_a_stop(*[errno.ENFILE] * (LIMITS.backlog + 3))
        for peer in peers:
            self.assertEqual(peer.wait_end(), ("FIN", pgwire.fatal_response(b"57P03", "shutting down", ready=False)))
            peer.sock.close()


if __name__ == "__main__":
    unittest.main()

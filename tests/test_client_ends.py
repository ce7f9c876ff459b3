"""A client's end is seen before the requests that lie unread, its own and those of a crowd.

Clients wrote hundreds of requests at once and closed. Beside 400 connections that sent without pause, 534 of 542 of
their requests were begun at nodes more than 0.15 s after the close, up to 1.2 s (0.15 allowed). The balancer looked at
64 sockets a turn, whatever was ready on them, and took from each what it had sent before its end: the end of a
connection waited behind all requests that others had sent, and behind its own.
"""

import time
import unittest
from contextlib import closing

from .peers_clients import ClientConnectionsTestCase, query
from .peers_front import BalancerRig, book, look, read_answers

CROWD = 60
REQUESTS = 40


class EndTest(ClientConnectionsTestCase):
    # Guards against requests that are begun for a client that closed right behind them.
    def test_requests_and_the_end_that_come_with_one_poll(self):
        rig = self.rig()
        peer = rig.started_peer()
        client = peer.client
        peer.send(query(1) + query(2))
        peer.sock.close()
        rig.until(lambda: client.closed)
        self.assertEqual(rig.receiver.received, [])

    # Guards against an end that is looked at only once the crowd's sockets have had their turn.
    def test_an_end_is_seen_in_the_next_poll_whoever_else_is_ready(self):
        rig = self.rig()
        crowd = [rig.started_peer() for _ in range(CROWD)]
        peer = rig.started_peer()
        client = peer.client
        rig.run_until_idle()
        for number, other in enumerate(crowd):
            other.send_unread(query(number + 1))
        peer.sock.close()
        rig.poller.max_sockets = 1
        rig.poller.poll()
        self.assertTrue(client.closed)
        self.assertEqual(len(rig.receiver.received), 1)

    def test_sockets_that_wait_have_their_turn_in_the_order_in_which_they_were_ready(self):
        rig = self.rig()
        crowd = [rig.started_peer() for _ in range(CROWD)]
        rig.run_until_idle()
        rig.poller.max_sockets = 1
        for number, other in enumerate(crowd):
            other.send_unread(query(number + 1))
            rig.poller.poll()
            other.send(query(1000 + number))  # one that goes on sending does not come before those that wait
        rig.until(lambda: len(rig.receiver.received) >= CROWD)
        self.assertEqual(sorted(rig.receiver.received[:CROWD]), list(range(1, CROWD + 1)))

    # Guards against requests that are dated to the turn in which their socket came up.
    def test_what_waited_for_its_turn_is_dated_to_when_it_was_found(self):
        rig = self.rig()
        first, second = rig.started_peer(), rig.started_peer()
        rig.run_until_idle()
        rig.poller.max_sockets = 1
        for number, peer in enumerate((first, second)):
            peer.send_unread(query(number + 1))
        rig.poller.poll()
        found_by = time.monotonic()
        time.sleep(0.05)
        rig.until(lambda: len(rig.receiver.received) == 2)
        self.assertLessEqual(max(rig.receiver.received_at.values()), found_by)


class QueuedTest(unittest.TestCase):
    # Guards against attempts for clients that have gone while their requests waited to be decided on.
    def test_nothing_is_begun_for_requests_whose_client_leaves_while_they_are_queued(self):
        with closing(BalancerRig()) as rig:
            rig.listed()
            staying, leaving = rig.client(), rig.client()
            end = leaving.client
            for number in range(1, REQUESTS + 1):
                leaving.send(book(number, 60_000))
            leaving.wait_acknowledged()  # else only the first has arrived
            rig.driver.poller.poll()  # some are read, and nothing is decided
            queued = len(rig.driver.open_rpcs)
            leaving.sock.close()
            rig.until(lambda: end.closed)
            staying.send(look(1000, 60_000))
            self.assertEqual(read_answers(staying, 1), ["row"])
            self.assertEqual((rig.queries(), len(rig.driver.open_rpcs)), ([1000], 0))
            self.assertGreater(queued, 1)
            self.assertEqual(rig.driver.dropped_count, queued)

    def test_a_deadline_that_is_shortened_while_its_request_is_queued_binds_it(self):
        with closing(BalancerRig()) as rig:
            rig.listed()
            client = rig.client()
            client.send(look(1, 60_000, "hang") + look(2, 200))
            rig.driver.poller.poll()
            received = rig.driver.open_rpcs.get(1).received
            self.assertLess(received.deadline_ms, rig.driver.clock.now_ms() + 300.0)
            self.assertEqual(read_answers(client, 2), ["53300", "row"])


if __name__ == "__main__":
    unittest.main()

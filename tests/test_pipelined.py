"""RPCs that a client pipelines: answers go out in order, and each RPC gets its own in time.

The first RPC, the head, hangs and has an hour: if it were not ended for those after it, these tests would not end.
"""

import time
import unittest

from brookreach.net import pgwire

from .peers_front import BalancerRig, book, look, read_answers

HOUR_MS = 3_600_000
SHORT_MS = 1000


class HeadTest(unittest.TestCase):
    def rig(self, **more):
        rig = BalancerRig(**more)
        self.addCleanup(rig.close)
        rig.listed()
        return rig, rig.client()

    def test_a_head_with_a_later_deadline_is_pushed_back_when_those_behind_it_are_due(self):
        rig, client = self.rig()
        client.send(look(1, HOUR_MS, "hang") + look(2, SHORT_MS))
        self.assertEqual(read_answers(client, 2), ["53300", "row"])
        self.assertEqual(rig.queries(), [1, 2])

    def test_no_sooner_than_those_behind_it_are_due(self):
        rig, client = self.rig()
        began = time.monotonic()
        client.send(look(1, HOUR_MS, "hang") + look(2, SHORT_MS))
        read_answers(client, 1)
        self.assertGreater(time.monotonic() - began, 0.9 * SHORT_MS / 1000.0)

    def test_three_deep(self):
        rig, client = self.rig()
        client.send(look(1, HOUR_MS, "hang") + book(2, HOUR_MS) + look(3, HOUR_MS, "hang") + look(4, SHORT_MS))
        self.assertEqual(read_answers(client, 4), ["53300", "row", "53300", "row"])
        self.assertEqual(rig.queries(), [1, 2, 3, 4])

    def test_the_least_deadline_of_those_behind_counts_wherever_it_stands(self):
        rig, client = self.rig()
        client.send(look(1, HOUR_MS, "hang") + look(2, SHORT_MS) + look(3, HOUR_MS, "hang"))
        self.assertEqual(read_answers(client, 2), ["53300", "row"])
        rig.turn()
        self.assertEqual(len(rig.driver.open_rpcs), 1)  # the one after it keeps its own time
        client.send(look(4, SHORT_MS))
        self.assertEqual(read_answers(client, 2), ["53300", "row"])

    def test_one_after_it_that_is_not_answered_either(self):
        rig, client = self.rig()
        client.send(look(1, HOUR_MS, "hang") + book(2, SHORT_MS, "hang"))
        self.assertEqual(read_answers(client, 2), ["53300", "XX000"])

    def test_a_head_that_may_not_be_repeated_is_aborted_and_runs_once(self):
        rig, client = self.rig()
        client.send(book(1, HOUR_MS, "hang") + look(2, SHORT_MS))
        self.assertEqual(read_answers(client, 2), ["XX000", "row"])
        self.assertEqual(rig.queries(), [1, 2])

    def test_a_head_whose_node_has_not_started_the_connection_is_never_sent_after_its_end(self):
        for ask, answer in ((look, "53300"), (book, "XX000")):
            rig, client = self.rig(dial_ms=60_000.0)
            rig.is_welcoming = False
            client.send(ask(1, HOUR_MS) + look(2, SHORT_MS))
            self.assertEqual(read_answers(client, 2), [answer, "53300"])
            rig.is_welcoming = True
            rig.until(lambda rig=rig: all(one in rig.answer_counts for peer in rig.peers for one in peer.accepted))
            rig.until(lambda rig=rig: not rig.driver.nodes.picks_in_flight)
            self.assertEqual(rig.queries(), [])

    def test_a_late_answer_of_a_head_that_was_ended_goes_to_nobody(self):
        rig, client = self.rig(peers=1)
        client.send(book(1, HOUR_MS, "hang") + look(2, SHORT_MS))
        self.assertEqual(read_answers(client, 2), ["XX000", "row"])
        client.send(look(3, HOUR_MS, "hang"))
        rig.until(lambda: rig.queries() == [1, 2, 3])
        head = next(one for one in rig.peers[0].accepted if any(b"id=1," in text for text in one.queries()))
        head.send(pgwire.READY_FOR_QUERY)  # nonsense where an answer should be: its connection ends
        rig.until(lambda: not any(rpc == 1 for rpc, _ in rig.driver.nodes.picks_in_flight))
        client.read()
        self.assertEqual(client.received, b"")

    def test_others_are_served_meanwhile(self):
        rig, client = self.rig()
        client.send(look(1, HOUR_MS, "hang") + b"".join(look(number, HOUR_MS) for number in range(2, 40)))
        rig.until(lambda: len(rig.queries()) == rig.clients.limits.max_pipelined)
        others = [rig.client() for _ in range(5)]
        for number, other in enumerate(others, 100):
            other.send(look(number, HOUR_MS))
        self.assertEqual([read_answers(other, 1) for other in others], [["row"]] * 5)
        client.read()
        self.assertEqual(client.received, b"")

    def test_the_same_at_a_stop(self):
        for early in (True, False):
            rig, client = self.rig()
            both = look(1, 2000, "hang") + book(2, 2000, "hang") + look(3, SHORT_MS)
            if early:
                client.send(both)
                rig.until(lambda rig=rig: len(rig.driver.open_rpcs) >= 2)
            else:
                client.send_unread(both)
            rig.clients.refuse_new_connections()
            self.assertEqual(read_answers(client, 3), ["53300", "XX000", "row"])
            self.assertEqual(client.wait_end(), ("FIN", b""))
            self.assertFalse(rig.driver.open_rpcs)


class UnreadTest(unittest.TestCase):
    """RPCs sent beyond those that may be under way lie unread; their waits run from their arrival."""

    def held_back(self, rig, wait_ms, count=1):
        """RPCs 1 and 2 are under way and hang; `count` more lie unread until the test answers the first."""
        rig.listed()
        client = rig.client()
        client.send(look(1, HOUR_MS, "hang") + look(2, HOUR_MS, "hang"))
        rig.until(lambda: len(rig.driver.open_rpcs) == 2)
        client.send_unread(b"".join(look(number, wait_ms) for number in range(3, 3 + count)))
        rig.turn()
        self.assertEqual(len(rig.driver.open_rpcs), 2)
        return client

    def free_heads(self, rig):
        for number in (1, 2):
            rig.driver.open_rpcs.answer(number, [pgwire.COMMAND_RESPONSE], "other")

    def rig(self, **facts):
        rig = BalancerRig(limits={"max_pipelined": 2, "messages_per_turn": 2}, **facts)
        self.addCleanup(rig.close)
        return rig

    def test_its_wait_runs_from_its_arrival(self):
        rig = self.rig()
        client = self.held_back(rig, SHORT_MS)
        came = time.monotonic()
        rig.until(lambda: time.monotonic() > came + 1.2 * SHORT_MS / 1000.0)
        self.free_heads(rig)
        self.assertEqual(read_answers(client, 3), ["row", "row", "53300"])
        self.assertEqual(rig.queries(), [1, 2])  # it has no time left: no node is asked

    def test_an_expired_rpc_ends_no_other(self):
        rig = self.rig()
        client = self.held_back(rig, SHORT_MS)
        came = time.monotonic()
        rig.until(lambda: time.monotonic() > came + 1.2 * SHORT_MS / 1000.0)
        rig.driver.open_rpcs.answer(1, [pgwire.COMMAND_RESPONSE], "other")
        self.assertEqual(read_answers(client, 1), ["row"])
        rig.until(lambda: len(rig.driver.open_rpcs) == 1 and not rig.clients.resumable)
        rig.turn()
        self.assertIn(2, rig.driver.open_rpcs)

    def test_with_time_left_it_is_served(self):
        rig = self.rig()
        client = self.held_back(rig, HOUR_MS)
        self.free_heads(rig)
        self.assertEqual(read_answers(client, 3), ["row", "row", "row"])

    def test_a_late_arrival_on_a_connection_without_room_has_not_waited_longer(self):
        rig = self.rig()
        rig.listed()
        client = rig.client()
        client.send(look(1, HOUR_MS, "hang") + look(2, HOUR_MS, "hang"))
        rig.until(lambda: len(rig.driver.open_rpcs) == 2)
        client.client.unread_since -= HOUR_MS / 1000.0
        rig.clients.sweep()
        client.send_unread(look(3, HOUR_MS))
        self.free_heads(rig)
        self.assertEqual(read_answers(client, 3), ["row", "row", "row"])

    def test_a_sweep_does_not_reset_the_wait_of_unread_rpcs(self):
        rig = self.rig()
        client = self.held_back(rig, SHORT_MS)
        came = time.monotonic()
        rig.until(lambda: time.monotonic() > came + 1.2 * SHORT_MS / 1000.0)
        rig.clients.sweep()
        self.free_heads(rig)
        self.assertEqual(read_answers(client, 3), ["row", "row", "53300"])

    def test_a_pause_between_rpcs_does_not_count_as_waiting(self):
        rig = self.rig()
        client = self.held_back(rig, HOUR_MS)
        self.free_heads(rig)
        read_answers(client, 3)
        client.client.unread_since -= HOUR_MS / 1000.0  # of what was read long ago
        client.send(look(9, HOUR_MS))
        self.assertEqual(read_answers(client, 1), ["row"])


if __name__ == "__main__":
    unittest.main()

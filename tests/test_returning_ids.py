"""An RPC that comes again with its id, after its client has left, has its effect once.

A client left while its non-idempotent request was out at a node, and sent it once more on a new connection, as clients
do when a close crosses a request. 240 of 240 such requests ran twice: an id was known only while its RPC was open, and
the RPC ended with its client's connection, whatever its attempt was still about to do.
"""

import unittest
from types import SimpleNamespace

from brookreach import interface as ifc
from brookreach.policy import executed_ids
from brookreach.policy.executed_ids import ExecutedIds

from .helpers import IDEM, ONCE, TOKEN, method
from .peers_front import BalancerRig, book, look, read_answers

HOUR_MS = 3_600_000


class ReturningIdTest(unittest.TestCase):
    def rig(self):
        rig = BalancerRig()
        self.addCleanup(rig.close)
        rig.listed()
        return rig

    def leave_unanswered(self, rig, statement):
        """A client that leaves while its RPC is at a node."""
        client = rig.client()
        client.send(statement)
        rig.until(lambda: rig.queries() == [1])
        client.sock.close()
        rig.until(lambda: not rig.driver.open_rpcs)

    # Guards against a second effect of a request that crosses the end of its connection.
    def test_what_may_have_run_is_aborted_and_reaches_no_node_again(self):
        rig = self.rig()
        self.leave_unanswered(rig, book(1, HOUR_MS, "hang"))
        again = rig.client()
        again.send(book(1, HOUR_MS) + book(2, HOUR_MS))
        self.assertEqual(read_answers(again, 2), ["XX000", "row"])
        self.assertEqual(rig.queries(), [1, 2])

    def test_the_same_at_once_on_a_new_connection(self):
        rig = self.rig()
        first, again = rig.client(), rig.client()
        first.send(book(1, HOUR_MS, "hang"))
        rig.until(lambda: rig.queries() == [1])
        first.sock.close()
        again.send(book(1, HOUR_MS))
        self.assertIn(read_answers(again, 1)[0], ("XX000", "22023"))  # it left before or after the poll that read this
        self.assertEqual(rig.queries(), [1])

    def test_the_same_once_it_was_answered(self):
        rig = self.rig()
        client, again = rig.client(), rig.client()
        client.send(book(1, HOUR_MS))
        rig.until(lambda: rig.queries() == [1] and not rig.driver.open_rpcs)
        client.sock.close()
        again.send(book(1, HOUR_MS))
        self.assertEqual(read_answers(again, 1), ["XX000"])
        self.assertEqual(rig.queries(), [1])

    def test_what_never_ran_is_served(self):
        rig = self.rig()
        rig.is_welcoming = False  # its connection to the node is never ready, so that nothing is written
        client = rig.client()
        client.send(book(1, HOUR_MS))
        rig.until(lambda: rig.driver.nodes.picks_in_flight)
        client.sock.close()
        rig.until(lambda: not rig.driver.open_rpcs)
        rig.is_welcoming = True
        rig.until(lambda: not rig.driver.nodes.picks_in_flight)
        again = rig.client()
        again.send(book(1, HOUR_MS))
        self.assertEqual(read_answers(again, 1), ["row"])
        self.assertEqual(rig.queries(), [1])

    def test_what_may_be_repeated_is_served(self):
        rig = self.rig()
        self.leave_unanswered(rig, look(1, HOUR_MS, "hang"))
        again = rig.client()
        again.send(look(1, HOUR_MS))
        self.assertEqual(read_answers(again, 1), ["row"])


def ended_rpc(client_id, deadline_ms=1000.0, outcome=None, repeat=ONCE):
    return SimpleNamespace(
        client_id=client_id, deadline_ms=deadline_ms, method_settings=method(repeat), picks=[[None, 0.0, outcome]]
    )


class ExecutedIdsTest(unittest.TestCase):
    def test_it_is_remembered_as_long_as_its_client_may_send_it_again(self):
        ids, hard_ms = ExecutedIds(), method(ONCE).hard_ms
        ids.record_end(500.0, ended_rpc(b"a", 1000.0), is_departed=True)
        ids.record_end(500.0, ended_rpc(b"b", 1000.0), is_departed=False)
        for client_id in (b"a", b"b"):
            self.assertTrue(ids.is_remembered(999.0 + hard_ms, client_id))
            self.assertFalse(ids.is_remembered(1000.0 + hard_ms, client_id))
        ids.drop_expired(1000.0 + hard_ms)
        self.assertEqual((ids.departed, ids.answered), ({}, {}))

    def test_it_is_forgotten_once_it_is_proven_that_it_never_ran(self):
        ids = ExecutedIds()
        ids.record_end(0.0, ended_rpc(b"a"), is_departed=True)
        ids.record_end(1.0, ended_rpc(b"a", outcome=ifc.Outcome.NO_CONNECT), is_departed=False)
        self.assertFalse(ids.is_remembered(2.0, b"a"))

    def test_methods(self):
        for repeat, expected in ((IDEM, False), (ONCE, True), (TOKEN, True)):
            ids = ExecutedIds()
            ids.record_end(0.0, ended_rpc(b"a", repeat=repeat), is_departed=True)
            self.assertEqual(ids.is_remembered(1.0, b"a"), expected)

    def test_answered_rpcs_push_no_departed_one_out_and_both_are_bounded(self):
        ids = ExecutedIds()
        ids.record_end(0.0, ended_rpc(b"left"), is_departed=True)
        for number in range(executed_ids.MAX_IDS + 10):
            ids.record_end(0.0, ended_rpc(b"%d" % number), is_departed=False)
        self.assertTrue(ids.is_remembered(1.0, b"left"))
        self.assertEqual(len(ids.answered), executed_ids.MAX_IDS)
        self.assertFalse(ids.is_remembered(1.0, b"9"))

    def test_an_rpc_without_an_id_is_not_remembered(self):
        ids = ExecutedIds()
        ids.record_end(0.0, ended_rpc(b""), is_departed=True)
        self.assertFalse(ids.is_remembered(0.0, b""))


if __name__ == "__main__":
    unittest.main()

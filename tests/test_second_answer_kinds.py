"""A node sends an answer twice, at any time and in any form: no request may get the answer to another.

Seen with 30 clients, four nodes and 5 % of the answers sent twice: copies 40 ms late gave 45 of some 220 requests another
request's value, and copies of an error failed 33 requests that had been served. The order of events: an answer, 30 ms of
silence, the next query on the same connection, the copy, the query's own answer. An answer belongs to a query by order
alone, and silence does not prove that nothing more will arrive: a copy may be late by any time.

A barrier proves it: harmless queries, written right behind the query, whose replies differ from those of each earlier
barrier on the connection. If exactly one answer comes before them, it is the query's own.
"""

import random
import unittest
from contextlib import closing

from brookreach import interface as ifc
from brookreach.net import pgwire

from .node_messages import FAILED, FULL, row
from .peers_nodes import ConnectionPoolRig
from .second_answer_rig import (
    COPIES,
    ERROR,
    FULL_OUTCOME,
    OK,
    RESET,
    TIMEOUT,
    IgnoreDisconnect,
    answered_value,
    second_query,
)


class KindsTest(unittest.TestCase):
    def test_a_copy_before_the_querys_own_answer(self):
        for name, copy in COPIES.items():
            with self.subTest(name), closing(ConnectionPoolRig()) as rig:
                node = second_query(rig)
                node.send(copy)
                rig.turn()
                with IgnoreDisconnect():
                    node.reply(row(b"2"))
                self.assertIn(rig.outcome(2), (RESET, TIMEOUT))

    def test_a_copy_right_behind_the_querys_own_answer(self):
        for name, copy in COPIES.items():
            with self.subTest(name), closing(ConnectionPoolRig()) as rig:
                node = second_query(rig)
                with IgnoreDisconnect():
                    node.send(row(b"2") + copy + b"".join(node.harmless_replies()))
                self.assertIn(rig.outcome(2), (OK, RESET, TIMEOUT))
                self.assertIn(answered_value(rig.results[2, 0]), (None, b"2"))
                rig.until(lambda rig=rig: rig.nodes.connection_count == 0)

    def test_a_copy_behind_all_is_no_answer_of_the_next(self):
        for name, copy in COPIES.items():
            with self.subTest(name), closing(ConnectionPoolRig()) as rig:
                node = second_query(rig)
                node.reply(row(b"2"))
                self.assertEqual((rig.outcome(2), answered_value(rig.results[2, 0])), (OK, b"2"))
                rig.until(lambda rig=rig: rig.idle_count() == 1)
                rig.pick(3, wait_ms=500.0)
                node.wait_for_queries(3)
                with IgnoreDisconnect():
                    node.send(copy)
                    node.reply(row(b"3"))
                self.assertIn(rig.outcome(3), (RESET, TIMEOUT))

    def test_the_querys_own_answer_counts_whatever_it_is(self):
        for answer, ending in ((row(b"2"), OK), (FAILED, ERROR), (FULL, FULL_OUTCOME)):
            with closing(ConnectionPoolRig()) as rig:
                node = second_query(rig)
                node.reply(answer)
                self.assertEqual(rig.outcome(2), ending)
                rig.until(lambda rig=rig: rig.idle_count() == 1)


class AllTwiceTest(unittest.TestCase):
    """All that a node sends on a connection is repeated in the same order, with a delay drawn from the seed."""

    SEEDS = 40
    MOST_QUERIES = 40

    def play(self, seed):
        """Send one pick after another, and check that each answered one has its own value; return how many were."""
        rng = random.Random(seed)
        lag, partial = rng.randint(1, 60), rng.random() < 0.5
        served = 0
        with closing(ConnectionPoolRig()) as rig:
            said, again = {}, {}
            for rpc in range(1, self.MOST_QUERIES):
                rig.pick(rpc, wait_ms=200.0)
                rig.until(
                    lambda rpc=rpc: (rpc, 0) in rig.results or rig.node.accept() is not None or self.asking(rig, rpc)
                )
                node = next((one for one in rig.node.accepted if self.asking_on(one, rpc)), None)
                if node is None:
                    fresh = rig.node.accepted[-1]
                    rig.until(fresh.started)
                    fresh.send(pgwire.STARTUP_RESPONSE)
                    rig.until(lambda rpc=rpc, fresh=fresh: self.asking_on(fresh, rpc))
                    node = fresh
                own = row(b"%d" % rpc)
                copies, at = said.setdefault(node, []), again.get(node, 0)
                with IgnoreDisconnect():
                    while at < len(copies) and len(copies) - at > lag - rng.randint(0, lag if partial else 1):
                        node.send(copies[at])
                        at += 1
                    again[node] = at
                    rig.turn()
                    node.send(own)
                    replies = node.harmless_replies()
                    node.send(b"".join(replies))
                    copies += [own, *replies]
                if rig.outcome(rpc) == OK:
                    served += 1
                    self.assertEqual(answered_value(rig.results[rpc, 0]), b"%d" % rpc, f"seed {seed}, lag {lag}")
                else:
                    self.assertIn(rig.outcome(rpc), (RESET, TIMEOUT, ifc.Outcome.NO_CONNECT), f"seed {seed}")
                rig.until(lambda: not rig.nodes.awaiting_ready)
        return served

    def asking(self, rig, rpc):
        return any(self.asking_on(one, rpc) for one in rig.node.accepted)

    def asking_on(self, one, rpc):
        return any(b"id=%x," % rpc in text for text in one.queries())

    def test_no_request_is_served_with_anothers_value(self):
        served = sum(self.play(seed) for seed in range(self.SEEDS))
        self.assertGreater(served, self.SEEDS * self.MOST_QUERIES // 2)


if __name__ == "__main__":
    unittest.main()

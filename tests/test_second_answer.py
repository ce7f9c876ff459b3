"""A node that answers twice: its second answer must never be taken for that of the next request.

What was seen: on a machine three times overbooked, two of sixty runs served requests with the value of another one. Their
nodes answer twice. A connection rests for 30 ms before it is taken again, and a second answer that comes within the rest ends
it; one that comes later, behind the next query, is read as that query's answer. Nothing in the protocol tells them apart.
"""

import time
import unittest

from .node_messages import row
from .peers_nodes import ConnectionPoolRig

REST_MS = 30.0  # as the decisions ask for


class SecondAnswerTest(unittest.TestCase):
    def test_one_that_comes_behind_the_next_query(self):
        rig = ConnectionPoolRig()
        self.addCleanup(rig.close)
        rig.pick(1, min_idle_ms=REST_MS)
        first = rig.node.accept_one()
        first.wait_for_queries()
        first.send(row(b"first"))
        rig.outcome(1)
        time.sleep(2.0 * REST_MS / 1000.0)
        rig.pick(2, min_idle_ms=REST_MS)
        rig.until(lambda: any(len(one.queries()) == 2 for one in rig.node.accepted) or len(rig.node.accepted) == 2)
        first.send(row(b"first"))  # the second answer to the first query
        for _ in range(20):
            rig.turn()
            time.sleep(0.002)
        served = b"".join(bytes(part) for part in rig.results[2, 0].answer) if (2, 0) in rig.results else b""
        self.assertNotIn(b"first", served)


if __name__ == "__main__":
    unittest.main()

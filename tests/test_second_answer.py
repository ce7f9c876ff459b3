"""A node that answers twice: its second answer must never be taken for the answer to the next request.

Seen on a machine three times overbooked: in two of sixty runs, requests were answered with the value of another one, by
nodes that answer twice. A connection is idle for 30 ms before it is reused, and a second answer within that time ends it.
One that arrives later, behind the next query, was read as that query's answer; the protocol does not tell them apart.
"""

import time
import unittest

from .node_messages import row
from .peers_nodes import ConnectionPoolRig

MIN_IDLE_MS = 30.0  # as the decisions set it


class SecondAnswerTest(unittest.TestCase):
    def test_one_that_comes_behind_the_next_query(self):
        rig = ConnectionPoolRig()
        self.addCleanup(rig.close)
        rig.pick(1, min_idle_ms=MIN_IDLE_MS)
        first = rig.node.accept_one()
        first.wait_for_queries()
        first.send(row(b"first"))
        rig.outcome(1)
        time.sleep(2.0 * MIN_IDLE_MS / 1000.0)
        rig.pick(2, min_idle_ms=MIN_IDLE_MS)
        rig.until(lambda: any(len(one.queries()) == 2 for one in rig.node.accepted) or len(rig.node.accepted) == 2)
        first.send(row(b"first"))  # the second answer to the first query
        for _ in range(20):
            rig.turn()
            time.sleep(0.002)
        served = b"".join(bytes(part) for part in rig.results[2, 0].answer) if (2, 0) in rig.results else b""
        self.assertNotIn(b"first", served)


if __name__ == "__main__":
    unittest.main()

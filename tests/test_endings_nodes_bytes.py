"""Large answers and statements on connections to nodes: their bytes are copied, bounded and released."""

import unittest
from contextlib import closing

from brookreach import interface as ifc
from brookreach.net import pgwire

from .node_messages import row
from .peers_nodes import ConnectionPoolRig

OK, ERROR, PUSHED, TIMEOUT, NO_CONNECT, RESET, _, _ = ifc.Outcome


class BytesTest(unittest.TestCase):
    def test_an_answer_outlives_its_connections_buffer(self):
        for size in (10, 400, 60_000):  # in a buffer that is reused, and in one that grows and is released
            self.outlives([bytes([n]) * size for n in range(1, 4)])

    def outlives(self, values):
        with closing(ConnectionPoolRig()) as rig:
            room = rig.nodes.buffer_pool.free
            rig.pick(1)
            node = rig.node.accept_one()
            for rpc, value in enumerate(values, 1):
                node.wait_for_queries(rpc)
                node.reply(row(value))
                self.assertEqual(rig.outcome(rpc), OK)
                rig.until(lambda: rig.idle_count() == 1)
                if rpc < 3:
                    rig.pick(rpc + 1)
            for rpc, value in enumerate(values, 1):
                self.assertEqual(b"".join(rig.results[rpc, 0].answer) + pgwire.READY_FOR_QUERY, row(value))
            rig.connection().discard()
            self.assertEqual(rig.nodes.buffer_pool.free, room)

    def test_large_answers_without_room(self):
        """The pool has room for one large answer: the other pick ends with RESET, and its room is released."""
        with closing(ConnectionPoolRig(large_answer_bytes=100_000)) as rig:
            rig.pick(1)
            one = rig.node.accept_one()
            rig.pick(2)
            other = rig.node.accept_one()
            one.wait_for_queries()
            other.wait_for_queries()
            answer = row(b"x" * 60_000)
            one.send(answer[:-100])
            rig.until(lambda: rig.nodes.buffer_pool.free < 60_000)
            rig.until(lambda: not one.read() and rig.nodes.connection_count == 2)
            other.send(answer)
            self.assertEqual(rig.outcome(2), RESET)
            one.send(answer[-100:])
            self.assertEqual(rig.outcome(1), OK)
            self.assertEqual(b"".join(rig.results[1, 0].answer) + pgwire.READY_FOR_QUERY, answer)
            rig.until(lambda: rig.idle_count() == 1)
            rig.connection().discard()
            self.assertEqual(rig.nodes.buffer_pool.free, 100_000)

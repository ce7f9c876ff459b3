"""A node says an answer twice, at any moment and in any form: no request may get what was said for another.

What was seen: 30 clients, four nodes, 5% of the answers written once more; copies 40 ms late served 45 of some 220 times
another request's value, copies of an error failed 33 requests that were served. Order of events: an answer, a rest of 30 ms,
the next query on the same connection, the copy, the query's own answer. Cause: an answer belongs to a query by order alone,
and a silent pause was taken for proof that nothing of the query before is still to come. It proves nothing: a copy may
be as late as it likes.

What a node's order does prove is shown by a fence: queries that do nothing, written right behind the query, whose replies
differ from those of each earlier fence on the connection. Exactly one answer before the fence is the query's own.
"""

import random
import unittest
from contextlib import closing

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.simulation.stand_ins import ROW

from .peers_nodes import FAILED, FULL, Rig, row

OK, ERROR, FULL_ENDING, TIMEOUT, RESET = (
    ifc.Ending.OK,
    ifc.Ending.ERROR,
    ifc.Ending.FULL,
    ifc.Ending.TIMEOUT,
    ifc.Ending.RESET,
)
COPIES = {
    "the same bytes": row(b"1"),
    "another value": row(b"another"),
    "an error": FAILED,
    "a refusal": FULL,
    "a row behind an error": FAILED + row(b"1"),
    "not its end": b"".join(ROW),
    "only its end": pgwire.READY,
    "a fatal error": pgwire.error(b"XX000", "no", ready=False),
}


def value(outcome):
    """What a pick was served with; None where it was not."""
    if outcome.ending != OK:
        return None
    data = b"".join(bytes(part) for part in outcome.answer)
    return data[data.index(b"D") + 11 : data.index(b"C", data.index(b"D"))]


class KindsTest(unittest.TestCase):
    def second(self, rig):
        """A connection with one answer on it, and the next query; its node."""
        rig.pick(1)
        node = rig.peer.taken_one()
        node.asked()
        node.reply(row(b"1"))
        rig.ending(1)
        rig.until(lambda: rig.idle() == 1)
        rig.pick(2, wait_ms=500.0)
        node.asked(2)
        return node

    def test_a_copy_before_the_querys_own_answer(self):
        for name, copy in COPIES.items():
            with self.subTest(name), closing(Rig()) as rig:
                node = self.second(rig)
                node.send(copy)
                rig.turn()
                with self.ended_by_the_balancer():
                    node.reply(row(b"2"))
                self.assertIn(rig.ending(2), (RESET, TIMEOUT))

    def test_a_copy_right_behind_the_querys_own_answer(self):
        for name, copy in COPIES.items():
            with self.subTest(name), closing(Rig()) as rig:
                node = self.second(rig)
                with self.ended_by_the_balancer():
                    node.send(row(b"2") + copy + b"".join(node.harmless_replies()))
                self.assertIn(rig.ending(2), (OK, RESET, TIMEOUT))
                self.assertIn(value(rig.ended[2, 0]), (None, b"2"))
                rig.until(lambda rig=rig: rig.nodes.links == 0)

    def test_a_copy_behind_all_is_no_answer_of_the_next(self):
        for name, copy in COPIES.items():
            with self.subTest(name), closing(Rig()) as rig:
                node = self.second(rig)
                node.reply(row(b"2"))
                self.assertEqual((rig.ending(2), value(rig.ended[2, 0])), (OK, b"2"))
                rig.until(lambda rig=rig: rig.idle() == 1)
                rig.pick(3, wait_ms=500.0)
                node.asked(3)
                with self.ended_by_the_balancer():
                    node.send(copy)
                    node.reply(row(b"3"))
                self.assertIn(rig.ending(3), (RESET, TIMEOUT))

    def ended_by_the_balancer(self):
        """A node may write on until it learns that the connection has ended."""
        return SuppressBroken()

    def test_the_querys_own_answer_counts_whatever_it_is(self):
        for answer, ending in ((row(b"2"), OK), (FAILED, ERROR), (FULL, FULL_ENDING)):
            with closing(Rig()) as rig:
                node = self.second(rig)
                node.reply(answer)
                self.assertEqual(rig.ending(2), ending)
                rig.until(lambda rig=rig: rig.idle() == 1)


class SuppressBroken:
    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        return kind is not None and issubclass(kind, (BrokenPipeError, ConnectionResetError))


class AllTwiceTest(unittest.TestCase):
    """All that a node says on a connection comes again in the same order, so late as the seed draws it."""

    SEEDS = 40
    MOST_QUERIES = 40

    def play(self, seed):
        """One pick after another; how many were served. What is served is what was made for that pick."""
        rng = random.Random(seed)
        lag, partial = rng.randint(1, 60), rng.random() < 0.5
        served = 0
        with closing(Rig()) as rig:
            said, again = {}, {}
            for rpc in range(1, self.MOST_QUERIES):
                rig.pick(rpc, wait_ms=200.0)
                rig.until(lambda rpc=rpc: (rpc, 0) in rig.ended or rig.peer.came() is not None or self.asking(rig, rpc))
                node = next((one for one in rig.peer.taken if self.asking_on(one, rpc)), None)
                if node is None:
                    fresh = rig.peer.taken[-1]
                    rig.until(fresh.started)
                    fresh.send(pgwire.WELCOME)
                    rig.until(lambda rpc=rpc, fresh=fresh: self.asking_on(fresh, rpc))
                    node = fresh
                own = row(b"%d" % rpc)
                copies, at = said.setdefault(node, []), again.get(node, 0)
                with SuppressBroken():
                    while at < len(copies) and len(copies) - at > lag - rng.randint(0, lag if partial else 1):
                        node.send(copies[at])
                        at += 1
                    again[node] = at
                    rig.turn()
                    node.send(own)
                    replies = node.harmless_replies()
                    node.send(b"".join(replies))
                    copies += [own, *replies]
                if rig.ending(rpc) == OK:
                    served += 1
                    self.assertEqual(value(rig.ended[rpc, 0]), b"%d" % rpc, f"seed {seed}, lag {lag}")
                else:
                    self.assertIn(rig.ending(rpc), (RESET, TIMEOUT, ifc.Ending.NO_CONNECT), f"seed {seed}")
                rig.until(lambda: not rig.nodes.settling)
        return served

    def asking(self, rig, rpc):
        return any(self.asking_on(one, rpc) for one in rig.peer.taken)

    def asking_on(self, one, rpc):
        return any(b"id=%x," % rpc in text for text in one.queries())

    def test_no_request_is_served_with_anothers_value(self):
        served = sum(self.play(seed) for seed in range(self.SEEDS))
        self.assertGreater(served, self.SEEDS * self.MOST_QUERIES // 2)


class FenceTest(unittest.TestCase):
    """The replies of the fence alone are late, missing, doubled or early."""

    def second(self, rig, **more):
        rig.pick(1)
        node = rig.peer.taken_one()
        node.asked()
        node.reply(row(b"1"))
        rig.ending(1)
        rig.until(lambda: rig.idle() == 1)
        rig.pick(2, **more)
        node.asked(2)
        return node

    def test_a_first_query_has_none(self):
        with closing(Rig()) as rig:
            rig.pick(1)
            node = rig.peer.taken_one()
            node.asked()
            node.send(row(b"1"))
            self.assertEqual((rig.ending(1), len(node.statements())), (OK, 1))

    def test_late_it_is_waited_for(self):
        with closing(Rig()) as rig:
            node = self.second(rig)
            node.send(row(b"2"))
            rig.until(lambda: rig.nodes.settling)
            self.assertNotIn((2, 0), rig.ended)
            for reply in node.harmless_replies():
                self.assertNotIn((2, 0), rig.ended)
                node.send(reply)
                rig.turn()
            self.assertEqual((rig.ending(2), value(rig.ended[2, 0])), (OK, b"2"))

    def test_missing_the_pick_may_have_run_and_the_next_has_a_connection_of_its_own(self):
        with closing(Rig(dial_s=0.05)) as rig:
            node = self.second(rig)
            node.send(row(b"2"))
            rig.until(lambda: rig.nodes.sweep() or (2, 0) in rig.ended)
            self.assertEqual(rig.ending(2), RESET)
            node.left()
            self.used_once(rig, [3, 4])

    def test_before_the_answer_it_proves_nothing(self):
        with closing(Rig()) as rig:
            node = self.second(rig)
            node.send(b"".join(node.harmless_replies()))
            self.assertEqual(rig.ending(2), RESET)
            node.left()
            self.used_once(rig, [3, 4])

    def test_twice(self):
        with closing(Rig()) as rig:
            node = self.second(rig)
            replies = b"".join(node.harmless_replies())
            node.send(row(b"2") + replies + replies)
            self.assertEqual((rig.ending(2), value(rig.ended[2, 0])), (OK, b"2"))
            node.left()

    def test_another_reply_than_the_querys_proves_nothing(self):
        for other in (pgwire.EMPTY, pgwire.DONE):
            with closing(Rig()) as rig:
                node = self.second(rig)
                first = node.harmless_replies()[0]
                if other != first:
                    node.send(row(b"2") + other)
                    self.assertEqual(rig.ending(2), RESET)

    def test_no_two_fences_of_a_connection_are_alike(self):
        with closing(Rig()) as rig:
            rig.pick(1)
            node, fences, rpc = rig.peer.taken_one(), [], 1
            node.asked()
            while True:
                before = len(node.statements())
                node.reply(row(b"%d" % rpc))
                rig.ending(rpc)
                rpc += 1
                rig.pick(rpc)
                rig.until(lambda before=before: len(node.statements()) > before or rig.peer.came() is not None)
                if len(rig.peer.taken) > 1:
                    break
                node.asked(rpc)
                rig.until(lambda before=before: len(node.statements()) > before + 1)
                fences.append(tuple(node.statements()[before + 1 :]))
            self.assertEqual(len(set(fences)), len(fences))
            self.assertGreater(len(fences), 4)  # a connection costs a node work: it is used more than a few times
            self.assertEqual(len({len(fence) for fence in fences}), 1)

    def used_once(self, rig, rpcs):
        """Each further pick goes over a connection of its own."""
        for rpc in rpcs:
            rig.pick(rpc)
            node = rig.peer.taken_one()
            node.asked()
            self.assertEqual(len(node.statements()), 1)
            node.reply(row(b"%d" % rpc))
            self.assertEqual(rig.ending(rpc), OK)
            rig.until(lambda: rig.nodes.links == 0)


class ToldTest(unittest.TestCase):
    """A node that was seen to answer twice is told in the log and counted, and its connections are used once."""

    def seen(self, rig):
        return rig.nodes.table.second_answers, [line for line in rig.report.lines if "answers twice" in line]

    def test_before_the_next_answer(self):
        with closing(Rig()) as rig:
            node = KindsTest.second(self, rig)
            with SuppressBroken():
                node.send(row(b"1"))
                node.reply(row(b"2"))
            self.assertEqual(rig.ending(2), RESET)
            count, lines = self.seen(rig)
            self.assertEqual((count, len(lines)), (1, 1))
            FenceTest.used_once(self, rig, [3, 4])

    def test_on_an_idle_connection(self):
        with closing(Rig()) as rig:
            rig.pick(1)
            node = rig.peer.taken_one()
            node.asked()
            node.reply(row(b"1"))
            rig.until(lambda: rig.idle() == 1)
            node.send(row(b"1"))
            rig.until(lambda: rig.nodes.links == 0)
            self.assertEqual(self.seen(rig)[0], 1)
            FenceTest.used_once(self, rig, [2, 3])

    def test_for_a_while(self):
        with closing(Rig(single_use_s=0.0)) as rig:
            node = KindsTest.second(self, rig)
            with SuppressBroken():
                node.send(row(b"1"))
                node.reply(row(b"2"))
            self.assertEqual(rig.ending(2), RESET)
            rig.pick(3)
            node = rig.peer.taken_one()
            node.asked()
            node.reply(row(b"3"))
            rig.until(lambda: rig.idle() == 1)

    def test_an_end_that_is_told_is_no_second_answer(self):
        """A server that shuts down says so on its idle connections."""
        with closing(Rig()) as rig:
            rig.pick(1)
            node = rig.peer.taken_one()
            node.asked()
            node.reply(row(b"1"))
            rig.until(lambda: rig.idle() == 1)
            node.send(b"".join(pgwire.framed(b"E", b"SFATAL\0VFATAL\0C57P01\0Mterminating connection\0\0")))
            rig.until(lambda: rig.nodes.links == 0)
            self.assertEqual(self.seen(rig), (0, []))


class WrittenTest(unittest.TestCase):
    """A query is written once its own last byte is; what is left of its fence changes nothing."""

    def broken_after(self, rig, taken):
        """The second query's connection breaks when the kernel has taken so many bytes of query and fence."""
        rig.pick(1)
        node = rig.peer.taken_one()
        node.asked()
        node.reply(row(b"1"))
        rig.until(lambda: rig.idle() == 1)
        link = rig.link()
        link.sock = Breaking(link.sock, taken)
        rig.pick(2, write=True)
        return rig.ending(2)

    def test_a_connection_that_breaks_in_the_query_and_in_its_fence(self):
        with closing(Rig()) as rig:
            whole = len(self.query_bytes(rig))
        for taken, ending in (
            (0, ifc.Ending.NO_CONNECT),
            (whole - 1, ifc.Ending.NO_CONNECT),
            (whole, RESET),
            (whole + 3, RESET),
        ):
            with closing(Rig()) as rig:
                self.assertEqual((taken, self.broken_after(rig, taken)), (taken, ending))

    def query_bytes(self, rig):
        """The bytes of the second query: each wait that is told has four digits."""
        rig.pick(2, write=True)
        node = rig.peer.taken_one()
        node.asked()
        return node.data


class Breaking:
    """A socket that takes so many bytes and then is broken."""

    def __init__(self, sock, left):
        self.sock, self.left = sock, left

    def sendmsg(self, buffers):
        data = b"".join(bytes(one) for one in buffers)[: self.left]
        if not data:
            raise BrokenPipeError(32, "broken")
        self.left -= len(data)
        return self.sock.send(data)

    def __getattr__(self, name):
        return getattr(self.sock, name)


if __name__ == "__main__":
    unittest.main()

"""A client's guess at the work ends no decisions, whatever number it is.

One request with h=5e-321 made the decisions begin anew (ZeroDivisionError), and with them all open requests failed.
"""

import unittest
from contextlib import closing

from brookreach import interface as ifc
from brookreach.net import pgwire

from .balancer_harness import BalancerHarness, node
from .peers_front import BalancerRig, read_answers

STATED_MS = (5e-324, 1e-300, 1e-9, 0.0, None, 1.0, 1e9)


def look_with(number, work_us):
    return b"".join(pgwire.query_message(b"SELECT 'row' /* id=%d,c=look,d=900,h=%b */" % (number, work_us)))


class StatedWorkTest(unittest.TestCase):
    # Guards against a division by what a client states, also where the RPCs before it stated much more or less.
    def test_the_decisions_take_any_stated_cost(self):
        for usual_ms in STATED_MS:
            for stated_ms in STATED_MS:
                with self.subTest(usual_ms=usual_ms, stated_ms=stated_ms):
                    harness = BalancerHarness()
                    harness.update_nodes(node(1), node(2), node(3, build=2))
                    harness.set_rollout(2, 1, 0.5)
                    for number in range(1, 41):
                        cost_ms = usual_ms if number % 2 else stated_ms
                        harness.handle(ifc.RpcReceived(number, 0, 0, 0, harness.now + 3000.0, cost_ms, False, False))
                        harness.advance(20.0)
                        if number in harness.picks:
                            harness.end_pick(number, took=0.0 if number % 3 else 40.0)

    # Guards against one client's number that costs all others their answers.
    def test_an_impossible_one_is_refused_and_others_are_served(self):
        with closing(BalancerRig()) as rig:
            rig.listed()
            client = rig.client()
            for number, work_us, answer in (
                (1, b"5e-321", "22023"),
                (2, b"2500", "row"),
                (3, b"1e-4", "22023"),
                (4, b"0", "row"),
                (5, b"0.001", "row"),
            ):
                client.send(look_with(number, work_us))
                self.assertEqual(read_answers(client, 1), [answer], work_us)


if __name__ == "__main__":
    unittest.main()

"""No descriptor, no connection and no time left: each pick has an outcome, and what never ran says so."""

import resource
import socket
import time
import unittest
from contextlib import closing

from brookreach import interface as ifc

from .peers_nodes import SELECTED, Rig

OK, MOOT, CANCELLED = ifc.Ending.OK, ifc.Ending.MOOT, ifc.Ending.CANCELLED


class LimitsTest(unittest.TestCase):
    def test_no_descriptor_is_left(self):
        with closing(Rig()) as rig:
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            spare = socket.socket()
            try:
                resource.setrlimit(resource.RLIMIT_NOFILE, (spare.fileno(), hard))
                rig.pick(1)
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                spare.close()
            self.assertEqual((rig.ending(1), rig.nodes.links), (MOOT, 0))
            self.assertTrue(rig.report.lines)

    def test_all_connections_are_taken(self):
        with closing(Rig(links=1)) as rig:
            rig.pick(1)
            node = rig.peer.taken_one()
            node.asked()
            rig.pick(2)
            self.assertEqual(rig.ending(2), MOOT)
            node.send(SELECTED)
            self.assertEqual(rig.ending(1), OK)
            rig.until(lambda: rig.idle() == 1)
            rig.pick(3, rest_ms=1e9)  # the idle one is too fresh, and makes way
            rig.peer.taken_one().asked()
            node.left()
            self.assertEqual(rig.nodes.links, 1)


class TimeTest(unittest.TestCase):
    def test_a_cancel_once_written(self):
        with closing(Rig()) as rig:
            rig.pick(1)
            node = rig.peer.taken_one()
            node.asked()
            rig.nodes.cancel(1, 0)
            self.assertEqual((rig.ending(1), rig.nodes.links), (CANCELLED, 0))
            node.left()

    def test_an_answer_that_has_come_by_the_time_out_counts(self):
        with closing(Rig()) as rig:
            rig.pick(1, wait_ms=5000.0)
            node = rig.peer.taken_one()
            node.asked()
            flight = rig.nodes.in_flight[1, 0]
            node.send(SELECTED)
            while rig.link().quiet():  # it is in the kernel, and not looked at
                time.sleep(0)
            flight.expire()
            self.assertEqual(rig.ending(1), OK)

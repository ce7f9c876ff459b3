"""The leases that a leader grants and ends, and the agreed time."""

import unittest

from brookreach.coordination.client import events
from brookreach.coordination.protocol import messages
from tests.coordination.replicas import NAMES, TIMING, WALL, Alarm, Net, Say


class LeasesTest(unittest.TestCase):
    def test_a_leader_that_was_cut_off_renews_nothing(self):
        net = Net()
        old = net.led()
        client = net.joined("n1")
        net.run(200)
        net.cut |= {(old, name) for name in NAMES} | {(name, old) for name in NAMES}
        since = net.now
        net.run(60)  # it leads on by its own word
        self.assertTrue(net.replicas[old].is_leader)
        net.send("n1", old, messages.KeepAlive(client.session, 77))
        net.run(30)
        late = [
            body
            for at, source, _, body in net.said
            if source == old and isinstance(body, messages.KeepAliveReply) and at > since + 1
        ]
        self.assertEqual(late, [])
        net.run(3000, lambda: client.connected and client.replica != old and client.holds_lease(net.now))
        self.assertEqual([one for one in net.news["n1"] if isinstance(one, events.SessionLost)], [])

    def test_a_session_ends_no_sooner_than_its_client_has_stopped(self):
        net = Net()
        leader = net.led()
        client = net.joined("n1")
        session = client.session
        until = next(one.until_ms for one in reversed(net.news["n1"]) if isinstance(one, events.LeaseRenewed))
        del net.clients["n1"]  # killed
        machine = net.replicas[leader].machine
        net.run(3000, lambda: not machine.session("n1"))
        self.assertGreater(net.now, until)
        self.assertLess(net.now, until + TIMING.lease_ms)
        self.assertEqual(machine.view.get("notes", "ended.n1").text, str(session))

    def test_a_second_process_of_a_name_waits_for_the_first_ones_lease(self):
        net = Net()
        leader = net.led()
        client = net.joined("n1")
        first, at = client.session, net.now
        net.replicas[leader].client_disconnected("n1")
        again = net.client("n1")  # the first was stopped, not ended: it holds its lease
        net.run(4000, lambda: again.session)
        self.assertFalse(client.holds_lease(net.now))
        self.assertGreater(net.now, at + TIMING.lease_ms * (1 - 2 * TIMING.drift))
        self.assertGreater(again.session, first)

    def test_a_client_that_closed_its_session_may_open_one_at_once(self):
        net = Net()
        net.led()
        client = net.joined("n1")
        at = net.now
        client.close(net.now)
        net.run(30)
        net.joined("n1")
        self.assertLess(net.now, at + TIMING.lease_ms / 2)

    def test_leases_go_on_over_a_change_of_leader(self):
        net = Net()
        old = net.led()
        client = net.joined("n1")
        session = client.session
        net.replicas[old].shut_down(net.now)
        net.flush(old)
        net.run(100, lambda: net.leader not in ("", old))
        self.assertTrue(any(one.reason == "ending" for one in net.told(old, messages.RequestRejected)))
        net.run(3000, lambda: client.connected and client.replica == net.leader)
        self.assertEqual(client.session, session)
        self.assertTrue(net.asked("n1", Say("a", "after")).ok)


class TimeTest(unittest.TestCase):
    def test_time_alone_is_one_entry_at_a_time(self):
        net = Net()
        leader = net.led()
        net.joined("n1")
        net.asked("n1", Alarm(150))
        row = net.clients["n1"].cache.get("notes", "alarm")
        before = net.replicas[leader].machine.applied
        net.run(100)
        self.assertEqual(net.replicas[leader].machine.applied, before)
        net.run(100)
        rang = net.clients["n1"].cache.get("notes", "alarm")
        self.assertEqual(rang.text, "rang")
        self.assertLess(rang.at_ms - row.at_ms, 30)
        self.assertEqual(net.replicas[leader].machine.applied, before + 1)

    def test_a_clock_ahead_does_not_carry_the_agreed_time_away(self):
        for ahead in NAMES:
            net = Net(walls=[5000 if name == ahead else 0 for name in NAMES])
            net.led()
            net.joined("n1")
            net.asked("n1", Say("a", "one"))
            at_ms = net.clients["n1"].cache.get("notes", "a").at_ms
            self.assertLess(abs(at_ms - WALL - net.now), 50, ahead)

    def test_it_goes_on_from_the_last_entry_and_never_back(self):
        net = Net()
        old = net.led()
        net.joined("n1")
        net.walls = dict.fromkeys(NAMES, -60_000)  # all clocks are set back a minute
        net.asked("n1", Say("a", "one"))
        first = net.clients["n1"].cache.get("notes", "a").at_ms
        self.assertLess(abs(first - WALL - net.now), 50)  # a leader's own clock is never looked at again
        del net.replicas[old]
        net.run(3000, lambda: net.leader)
        since = net.now
        net.asked("n1", Say("b", "two"))
        net.asked("n1", Say("c", "three"))
        second, third = (net.clients["n1"].cache.get("notes", key).at_ms for key in "bc")
        self.assertLess(first, second)
        self.assertLess(second, third)
        self.assertLess(second - first, net.now - since + 3000)

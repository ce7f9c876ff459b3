"""A replica as a whole: who is answered and with what, and what is there after a restart."""

import unittest

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.server.membership_commands import ChangeMembership
from brookreach.coordination.state_machine.sessions import MEMBERSHIP
from tests.coordination.replicas import NAMES, TIMING, Net, Say


class RepliesTest(unittest.TestCase):
    def test_a_proposal_is_answered_once_a_majority_has_it(self):
        net = Net()
        leader = net.led()
        net.joined("n1")
        answer = net.asked("n1", Say("a", "one"))
        self.assertTrue(answer.ok)
        self.assertEqual(net.clients["n1"].cache.get("notes", "a").text, "one")
        held = [disk for disk in net.disks.values() if any(e.index == answer.index for e in disk.entries)]
        self.assertGreaterEqual(len(held), 2)
        refused = net.asked("n1", Say("b", "no"))
        self.assertEqual((refused.ok, refused.text), (False, "no is not noted"))
        self.assertEqual(net.replicas[leader].machine.view.get("notes", "b"), None)

    def test_a_repeated_proposal_has_the_first_answer_and_no_second_effect(self):
        net = Net()
        leader = net.led()
        net.joined("n1")
        answer = net.asked("n1", Say("a", "one"))
        ask = next(
            body for _, source, _, body in net.said if source == "n1" and isinstance(body, messages.ProposeRequest)
        )
        applied = net.replicas[leader].machine.applied
        for _ in range(3):
            net.send("n1", leader, ask)
        net.run(20)
        done = net.told(leader, messages.ProposeReply)
        self.assertEqual([one.index for one in done], [answer.index] * 4)
        self.assertEqual(net.replicas[leader].machine.applied, applied)

    def test_an_unreadable_command_is_rejected_before_it_enters_the_log(self):
        net = Net()
        leader = net.led()
        session = net.joined("n1").session
        for body, why in ((b"\xc1", "refused"), (msgspec.msgpack.encode(("Say", "a")), "refused")):
            net.send("n1", leader, messages.ProposeRequest(session, 1, "toy", 1, body))
            net.run(20)
            self.assertEqual(net.told(leader, messages.RequestRejected)[-1].reason, why)
        net.send("n1", leader, messages.ProposeRequest(session, 1, "toy", 2, b""))
        net.run(20)
        self.assertEqual(net.told(leader, messages.RequestRejected)[-1].reason, "too new")
        self.assertTrue(net.asked("n1", Say("a", "one")).ok)

    def test_a_client_proposes_in_its_own_session_only(self):
        net = Net()
        leader = net.led()
        session = net.joined("n1").session
        net.joined("n2")
        net.send(
            "n2", leader, messages.ProposeRequest(session, 1, "toy", 1, msgspec.msgpack.encode(Say("a", "theirs")))
        )
        net.send("n2", leader, messages.CloseSession(session))
        net.run(50)
        self.assertEqual(net.told(leader, messages.RequestRejected)[-1].reason, "no session")
        self.assertIsNone(net.replicas[leader].machine.view.get("notes", "a"))
        self.assertEqual(net.replicas[leader].machine.holder(session), "n1")

    def test_a_follower_names_the_leader(self):
        net = Net()
        leader = net.led()
        net.run(100)
        follower = next(name for name in NAMES if name != leader)
        for body in (
            messages.OpenSession("x", "marshal", 0, 1),
            messages.KeepAlive(1, 7),
            messages.ReadRequest(3, "notes", ""),
        ):
            net.send("x", follower, body)
            net.run(5)
            sorry = net.told(follower, messages.RequestRejected)[-1]
            self.assertEqual((sorry.reason, sorry.leader, sorry.seq), ("not leader", leader, getattr(body, "seq", 0)))

    def test_past_the_limit_clients_are_told_to_retry_later(self):
        net = Net()
        leader = net.led()
        replica = net.replicas[leader]
        sessions = {name: net.joined(name).session for name in ("n1", "n2", "n3")}
        for other in NAMES:
            net.cut |= {(other, leader), (leader, other)}
        for at in range(12):
            for name, session in sessions.items():
                replica.handle_message(net.now, net.wall(leader), name, messages.KeepAlive(session, 100 + at))
        net.flush(leader)
        busy = [one for one in net.told(leader, messages.RequestRejected) if one.reason == "busy"]
        self.assertGreater(len(busy), 0)
        self.assertTrue(all(one.retry_after_ms > 0 for one in busy))
        self.assertLessEqual(len(replica.leader.barrier), TIMING.max_pending_proposals)

    def test_rows_come_in_parts(self):
        net = Net()
        leader = net.led()
        net.joined("n1")
        for at in range(8):
            self.assertTrue(net.asked("n1", Say(f"big{at}", "x" * 60_000)).ok)
        net.send("n1", leader, messages.ReadRequest(9, "notes", "big"))
        net.send("n1", leader, messages.ReadRequest(10, "answers", ""))
        net.run(50)
        rows = net.told(leader, messages.ReadReply)
        self.assertEqual([one.last for one in rows], [False] * (len(rows) - 1) + [True])
        self.assertGreater(len(rows), 1)
        self.assertEqual([row.key for one in rows for row in one.rows], [f"big{at}" for at in range(8)])
        self.assertEqual(
            net.told(leader, messages.RequestRejected)[-1].reason, "refused"
        )  # answers are nobody's to read

    def test_only_operators_change_members(self):
        net = Net()
        leader = net.led()
        other = next(name for name in NAMES if name != leader)
        net.joined("n1")
        answer = net.asked("n1", ChangeMembership("remove", other), MEMBERSHIP)
        self.assertFalse(answer.ok)
        for way, seats in (("remove", {*NAMES} - {other}), ("add", {*NAMES}), ("add", {*NAMES})):
            name = f"op{net.now}"
            net.joined(name, "operator")
            answer = net.asked(name, ChangeMembership(way, other), MEMBERSHIP)
            self.assertTrue(answer.ok, answer)
            self.assertEqual(set(net.replicas[leader].raft.members), seats)
        net.joined("op", "operator")
        self.assertFalse(net.asked("op", ChangeMembership("add", "k9"), MEMBERSHIP).ok)


class RestartTest(unittest.TestCase):
    def test_a_restarted_replica_has_the_same_state_from_its_snapshot(self):
        net = Net()
        leader = net.led()
        net.joined("n1")
        for at in range(60):
            net.asked("n1", Say(f"a{at % 7}", str(at)))
        self.assertGreater(net.disks[leader].snapshot.index, 0)
        follower = next(name for name in NAMES if name != leader)
        net.start(follower)
        net.flush(follower)
        net.run(300)
        digests = {replica.machine.view.digest() for replica in net.replicas.values()}
        self.assertEqual(len(digests), 1)

    def test_a_replica_that_was_away_for_long_catches_up(self):
        net = Net()
        leader = net.led()
        follower = next(name for name in NAMES if name != leader)
        away = net.replicas.pop(follower)
        net.joined("n1")
        for at in range(60):
            net.asked("n1", Say(f"a{at % 7}", str(at)))
        net.replicas[follower] = away
        net.run(500)
        self.assertEqual(away.machine.view.digest(), net.replicas[leader].machine.view.digest())

"""One replica of the present text among replicas of an older version, whose frames were recorded.

Each of the three in turn is the present one: the leader that is lost and returns, the follower that becomes
the next leader, and the one that follows both. It must say the same frames at the same times as the older one
did in its place, and end with the same state.
"""

import unittest

from . import disks, replicas, stored
from . import text_under_test as text


class RecordedLines(unittest.TestCase):
    def setUp(self):
        self.told = stored.read_json(stored.FIRST, "lines.json")
        self.sent = [replicas.Sent(at, by, to, bytes.fromhex(frame)) for at, by, to, frame in self.told["sent"]]

    def opened(self, one):
        may = text.CONTROL_MESSAGES + text.CLIENT_MESSAGES + text.SERVER_MESSAGES
        return text.open_frame(replicas.KEY, replicas.GROUP, one.target, one.frame, may).body

    def replayed(self, name):
        with_log = disks.read_copy(stored.DATA / stored.FIRST / disks.LOG)
        host = replicas.Host(name, disks.in_memory(with_log))
        heard = [one for one in self.sent if one.target == name]
        events = [(at, what) for at, what, who in self.told["events"] if who == name]
        replicas.replay(host, heard, events, self.told["until_ms"])
        return host

    def test_the_recording_holds_the_loss_of_a_leader_and_its_return(self):
        events = [(what, name) for _, what, name in self.told["events"]]
        self.assertEqual([what for what, _ in events], ["stop", "start"])
        leaders = {one.source for one in self.sent if text.tag(type(self.opened(one))) == "Append"}
        self.assertEqual(len(leaders), 2)
        self.assertIn(events[0][1], leaders)
        self.assertEqual(set(self.told["digests"]), set(replicas.NAMES))
        tags = {text.tag(type(self.opened(one))) for one in self.sent}
        expected = {
            "Changes",
            "AskVote",
            "Vote",
            "Append",
            "Appended",
            "Join",
            "Joined",
            "Ask",
            "Done",
            "Watch",
            "Whole",
            "Sorry",
        }
        self.assertLessEqual(expected, tags)

    def test_each_replica_says_what_the_older_one_said_in_its_place(self):
        for name in replicas.NAMES:
            host = self.replayed(name)
            expected = [one for one in self.sent if one.source == name]
            self.assertGreater(len(expected), 10)
            for present, older in zip(host.sent, expected, strict=False):
                self.assertEqual(present, older, self.opened(older))
            self.assertEqual(len(host.sent), len(expected))
            self.assertEqual(host.replica.refusals, {})
            self.assertEqual(host.machine.view.digest(), self.told["digests"][name])


if __name__ == "__main__":
    unittest.main()

"""Each checker of the drills is made to fail once, by hand."""

import unittest

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.application import InMemoryView, RowUpdate
from brookreach.coordination.state_machine.applied_command import AppliedCommand
from brookreach.disruption import tables as outages
from brookreach.simulation.coordination import sample_application
from brookreach.simulation.coordination.invariants import Checkers
from brookreach.simulation.coordination.record_invariants import HaltRules, ToyRules


def entry(index, term=1, octets=b""):
    return messages.Entry(index, term, octets)


class CheckersTest(unittest.TestCase):
    """Each rule is broken once by hand."""

    def setUp(self):
        self.broken = []
        self.checkers = Checkers(
            (sample_application.APPLICATION,),
            lambda rule, now, text: self.broken.append(rule),
            lambda rule: None,
            (ToyRules(self.say, lambda rule: None),),
        )
        self.checkers.began("c1")
        self.checkers.applied(
            0.0, "k1", entry(1, 1, sessions.encode_command(sessions.SessionStarted("c1", "marshal"), 5))
        )

    def say(self, rule, now, text):
        self.broken.append(rule)

    def asked(self, seq, order, index, session=1):
        ask = messages.ProposeRequest(session, seq, "toy", 1, sample_application.encoded(order))
        self.checkers.sent(1.0, "c1", "k1", ask)
        self.checkers.applied(2.0, "k1", entry(index, 1, sessions.encode_proposal(ask, 6, "c1", "marshal")))
        return ask

    def done(self, seq, index, ok=True):
        self.checkers.heard(3.0, "k1", "c1", messages.ProposeReply(seq, index, ok, ""))

    def test_nothing_is_broken(self):
        self.asked(1, sample_application.Add("t1", "n"), 2)
        self.done(1, 2)
        self.done(1, 2)
        self.assertEqual(self.broken, [])

    def test_records(self):
        self.checkers.applied(1.0, "k2", entry(1, 2))
        self.checkers.applied(1.0, "k2", entry(3))
        self.assertEqual(self.broken, ["one record a place"] * 2)

    def test_acknowledged(self):
        self.asked(1, sample_application.Add("t1", "n"), 2)
        self.checkers.applied(2.0, "k1", entry(3))
        self.done(1, 3)
        self.assertEqual(self.broken, ["no acknowledged record lost"])
        self.done(1, 2)
        self.assertEqual(self.broken[1:], ["one answer a question"])
        self.checkers.sent(4.0, "k1", "c1", messages.ProposeReply(2, 9, True, ""))
        self.assertEqual(self.broken[2:], ["nobody says done before it is"])

    def test_reads(self):
        self.asked(1, sample_application.Add("t1", "n"), 2)
        self.done(1, 2)
        for seq, index, rows, wanted in (
            (1, 1, (), ["reads are fresh"]),
            (2, 2, (), ["rows read are the state"]),
            (3, 2, (messages.RowChange("counts", "n", msgspec.msgpack.encode(sample_application.CountRow(1))),), []),
        ):
            self.broken.clear()
            self.checkers.sent(5.0, "c1", "k1", messages.ReadRequest(seq, "counts", ""))
            self.checkers.heard(6.0, "k1", "c1", messages.ReadReply(seq, index, True, rows))
            self.assertEqual(self.broken, wanted)

    def test_votes_and_leaders(self):
        for target in ("k1", "k3"):
            self.checkers.sent(0.0, "k2", target, messages.RequestVoteReply(4, True, True, 0))
            self.checkers.sent(0.0, "k2", target, messages.RequestVoteReply(4, False, True, 0))
        for leader in ("k1", "k2"):
            self.checkers.sent(0.0, leader, "k3", messages.AppendEntries(4, 0, 0, 0, 1, ()))
        self.assertEqual(self.broken, ["one vote a term", "one leader a term"])

    def test_holders(self):
        self.asked(1, sample_application.Take("one"), 2)
        self.checkers.acted(3.0, "c1", "holds", "one", 2)
        self.assertEqual(self.broken, [])
        self.checkers.acted(3.0, "c2", "holds", "one", 2)
        self.checkers.applied(4.0, "k1", entry(3, 1, sessions.encode_command(sessions.SessionEnded(1, "over"), 9)))
        self.checkers.acted(5.0, "c1", "holds", "one", 2)
        self.assertEqual(self.broken, ["one holder at an instant"] * 2)

    def test_states_and_mirrors(self):
        self.asked(1, sample_application.Add("t1", "n"), 2)
        view = InMemoryView()
        self.checkers.mirror(1.0, "c1", 1, view, ("counts",))
        self.assertEqual(self.broken, [])
        self.checkers.mirror(1.0, "c1", 2, view, ("counts",))
        view.apply_updates([RowUpdate("counts", "n", sample_application.CountRow(1))])
        self.checkers.mirror(1.0, "c1", 2, view, ("counts",))
        self.checkers.mirror(1.0, "c1", 7, view, ("counts",))
        self.assertEqual(self.broken, ["mirrors are the state"] * 2)

    def test_the_toy_and_the_halt(self):
        mark = messages.RowChange("marks", "t", msgspec.msgpack.encode(sample_application.MarkRow(2, 5)))
        ToyRules(self.say, lambda rule: None)(0.0, AppliedCommand(5, 1, 1, True, "", (mark,)), {})
        self.assertEqual(self.broken, ["records apply once"])
        self.broken.clear()
        rule = HaltRules(self.say, lambda rule: None)
        given = outages.PermitRow("drain", "n1", "op", 1, 5, "given", 7)
        permit = messages.RowChange(outages.PERMITS, "p", msgspec.msgpack.encode(given))
        halt = messages.RowChange(outages.HALT, "all", msgspec.msgpack.encode(outages.HaltRow(6, "op", 1, "")))
        resume = messages.RowChange(outages.HALT, "all", None)
        for index, changes, wanted in (
            (5, (permit,), 0),
            (6, (halt,), 0),
            (7, (permit,), 1),
            (8, (resume,), 1),
            (9, (permit,), 1),
        ):
            rule(0.0, AppliedCommand(index, 1, 1, True, "", changes), {(outages.PERMITS, "p"): None})
            self.assertEqual(len(self.broken), wanted, index)

    def test_the_group_goes_on(self):
        self.asked(1, sample_application.Add("t1", "n"), 2)
        self.done(1, 2)
        self.checkers.went_on(9.0, 0.5, 1.0)
        self.assertEqual(self.broken, [])
        self.checkers.went_on(9.0, 5.0, 1.0)
        self.assertEqual(self.broken, ["the group goes on"])

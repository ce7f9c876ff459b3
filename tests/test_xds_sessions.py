"""What a stream answers: order, nonces, rejections, resumption."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach import interface as ifc
from brookreach.xds import messages, resources, serve
from brookreach.xds.messages import EDS, RDS, Ask, Refused
from brookreach.xds.stream import Session
from tests.xds_rig import FLEET, TRIAL, book, seats, view

QUICK = settings(max_examples=80, deadline=None, derandomize=True, database=None)


class SessionTest(unittest.TestCase):
    def follow(self, session, snapshot, *urls):
        for url in urls or messages.ORDER:
            names = {EDS: ("earlier", "build-2"), RDS: (resources.ROUTES,)}.get(url, ())
            session.hear(Ask(url, subscribe=names) if session.delta else Ask(url, names=names))
        told = []
        while answers := session.due(snapshot):
            for answer in answers:
                told.append(answer.kind.rsplit(".", 1)[1])
                self.ack(session, answer)
        return told

    @staticmethod
    def ack(session, answer, error=""):
        held = session.kinds[answer.kind]
        names = () if session.delta or held.wild else tuple(sorted(held.names))
        session.hear(Ask(answer.kind, answer.nonce, answer.version, names, error))

    def test_order_and_silence_once_all_is_told(self):
        for delta in (False, True):
            one = book()
            session = Session(delta, "l1")
            told = self.follow(session, one.snapshot)
            self.assertEqual(told, ["Cluster", "ClusterLoadAssignment", "Listener", "RouteConfiguration"])
            self.assertTrue(all(session.settled(url, one.snapshot) for url in messages.ORDER))
            self.assertEqual(session.due(one.snapshot), [])

    def test_one_answer_a_type_until_it_is_settled(self):
        one, session = book(), Session(True, "l1")
        session.hear(Ask(EDS, subscribe=("earlier",)))
        first = session.due(one.snapshot)
        for drained in (1, 2):
            FLEET_NOW = [replace(n, state=ifc.NodeState.DRAINING) if n.node <= drained else n for n in FLEET]
            one.update(drained, view(*FLEET_NOW), seats(*FLEET))
            one.publish(drained)
            self.assertEqual(session.due(one.snapshot), [])
        self.ack(session, first[0])
        last = session.due(one.snapshot)[0]
        self.assertEqual(last.resources, (one.snapshot.of(EDS)["earlier"],))

    def test_nack_keeps_the_last_good_and_is_not_pressed_again(self):
        for delta in (False, True):
            one, session = book(), Session(delta, "l1")
            self.follow(session, one.snapshot)
            good = dict(session.kinds[RDS].good)
            one.update(1.0, view(*FLEET, news=replace(TRIAL, stage=2, cap=0.5)), seats(*FLEET))
            one.publish(200.0)
            answer = next(a for a in session.due(one.snapshot) if a.kind == RDS)
            self.ack(session, answer, "13 no\nroute")
            self.assertEqual(session.nacked, [(RDS, answer.version, "13 no route")])
            self.assertEqual((session.kinds[RDS].good, session.due(one.snapshot)), (good, []))
            one.update(300.0, view(*FLEET, news=replace(TRIAL, stage=2, cap=0.56)), seats(*FLEET))
            one.publish(500.0)
            self.assertEqual([a.kind for a in session.due(one.snapshot)], [RDS])

    def test_stale_nonces_change_nothing(self):
        one, session = book(), Session(False, "l1")
        session.hear(Ask(EDS, names=("earlier",)))
        answer = session.due(one.snapshot)[0]
        session.hear(Ask(EDS, "other.1", "x", (), "13 no"))
        self.assertEqual((session.stale, session.nacks, session.kinds[EDS].names), (1, 0, {"earlier"}))
        self.ack(session, answer)
        self.assertEqual(session.acks, 1)

    def test_delta_resume_with_versions_of_another_life(self):
        one = book()
        right, wrong = one.snapshot.of(EDS)["earlier"].version, "77"
        session = Session(True, "l2")
        session.hear(Ask(EDS, subscribe=("earlier", "build-2"), initial={"earlier": right, "build-2": wrong, "x": "1"}))
        answer = session.due(one.snapshot)[0]
        self.assertEqual([r.name for r in answer.resources], ["build-2"])
        self.assertEqual(answer.removed, ("x",))

    def test_what_goes_unsubscribed_unknown_and_is_asked_for_anew(self):
        one, session = book(), Session(True, "l1")
        session.hear(Ask(EDS, subscribe=("earlier", "nowhere")))
        answer = session.due(one.snapshot)[0]
        self.assertEqual((len(answer.resources), answer.removed), (1, ("nowhere",)))
        self.ack(session, answer)
        session.hear(Ask(EDS, subscribe=("earlier",)))
        self.assertEqual(len(session.due(one.snapshot)[0].resources), 1)
        session.hear(Ask(messages.PREFIX + "some.Unknown", subscribe=("a",)))
        unknown = [a for a in session.due(one.snapshot) if "Unknown" in a.kind][0]
        self.assertEqual(unknown.removed, ("a",))

    @QUICK
    @given(
        st.lists(
            st.builds(
                Ask,
                st.sampled_from([*messages.ORDER, messages.PREFIX + "x", "", "bad", messages.PREFIX + "y" * 600]),
                st.sampled_from(["", "l1.1", "l1.2", "zz"]),
                st.text(max_size=5),
                st.lists(st.sampled_from(["earlier", "build-2", "*", "", "é" * 400]), max_size=3).map(tuple),
                st.text(max_size=600),
                st.lists(st.sampled_from(["earlier", "*", "n"]), max_size=3).map(tuple),
                st.lists(st.sampled_from(["earlier", "*", "q"]), max_size=3).map(tuple),
                st.dictionaries(st.sampled_from(["earlier", "w"]), st.text(max_size=3), max_size=2),
            ),
            max_size=12,
        ),
        st.booleans(),
    )
    def test_any_requests_end_in_an_answer_or_a_status(self, asks, delta):
        one, session = book(), Session(delta, "l1")
        for ask in asks:
            try:
                session.hear(ask)
            except Refused as refused:
                self.assertIn(refused.code, serve.STATUS)
                return
            for answer in session.due(one.snapshot):
                serve.Writer().octets(answer, delta)

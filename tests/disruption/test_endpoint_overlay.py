"""Agreed drains at a balancer, and that one which the platform starts imports nothing for them."""

import os
import subprocess
import sys
import unittest

import msgspec

from brookreach import interface as ifc
from brookreach.coordination.client import events
from brookreach.coordination.state_machine.application import InMemoryView, RowUpdate
from brookreach.disruption.endpoint_overlay import AgreedDrains, EndpointOverlay
from brookreach.disruption.tables import NODES, PERMITS, NodeRow, PermitRow
from brookreach.net.endpoint import ListedNode


class OverlayTest(unittest.TestCase):
    def setUp(self):
        self.told, self.numbers = [], {"s-0": 1, "s-1": 2}
        self.overlay = EndpointOverlay(
            lambda: self.numbers, lambda listing, listed: self.told.append((listing, listed))
        )

    def listed(self, *states, kind=ifc.ListKind.FULL, started=0.0):
        listed = [
            ListedNode(ifc.NodeEntry(number, state, started, 7, 0, 0, 0, 1.0), ("127.0.0.1", 9000 + number))
            for number, state in states
        ]
        self.overlay.on_listing(ifc.NodeList(kind, 3, tuple(one.entry for one in listed)), listed)

    def last(self):
        listing, listed = self.told[-1]
        self.assertEqual(list(listing.entries), [one.entry for one in listed])
        return listing.kind, {one.node: one.state for one in listing.entries}

    READY, DRAINING, GONE = ifc.NodeState.READY, ifc.NodeState.DRAINING, ifc.NodeState.GONE

    def test_ready_from_discovery_does_not_undo_an_agreed_drain(self):
        self.listed((1, self.READY), (2, self.READY))
        self.assertEqual(self.overlay.set_drained(frozenset({"s-0", "s-9"})), ["s-0"])
        self.assertEqual(self.last(), (ifc.ListKind.DELTA, {1: self.DRAINING}))
        self.listed((1, self.READY), (2, self.READY))
        self.assertEqual(self.last(), (ifc.ListKind.FULL, {1: self.DRAINING, 2: self.READY}))
        self.assertEqual(self.overlay.set_drained(frozenset()), ["s-0"])
        self.assertEqual(self.last(), (ifc.ListKind.DELTA, {1: self.READY}))

    def test_drain_from_discovery_outlives_the_agreed_one(self):
        self.listed((1, self.READY), (2, self.READY))
        self.overlay.set_drained(frozenset({"s-0"}))
        self.listed((1, self.DRAINING), kind=ifc.ListKind.DELTA)
        count = len(self.told)
        self.assertEqual(self.overlay.set_drained(frozenset()), [])
        self.assertEqual(len(self.told), count)
        self.listed((1, self.GONE), kind=ifc.ListKind.DELTA)
        self.assertEqual(self.last()[1], {1: self.GONE})

    def test_node_listed_during_its_agreed_drain_is_shown_draining(self):
        self.numbers = {}
        self.overlay.set_drained(frozenset({"s-0"}))
        self.numbers = {"s-0": 5}
        self.listed((5, self.READY), kind=ifc.ListKind.DELTA)
        self.assertEqual(self.last()[1], {5: self.DRAINING})

    def test_drain_holds_until_its_permit_ends_or_a_later_incarnation(self):
        view, agreed = InMemoryView(), AgreedDrains()
        node = NodeRow("a", 7, "x", 0, "ready", 0, 3)
        permit = PermitRow("drain", "s-0", "op", 5, 0, "given", fence=9, incarnation=3)

        def after(*puts, whole=False):
            puts = [RowUpdate(table, key, row) for table, key, row in puts]
            view.apply_updates(puts)
            return set(agreed.take(view, events.RowsChanged(1, tuple(puts), whole)))

        self.assertEqual(after((NODES, "s-0", node), (PERMITS, "p", permit), whole=True), {"s-0"})
        back = msgspec.structs.replace(permit, state="returning", withdrawn_index=12)
        self.assertEqual(after((PERMITS, "p", back)), {"s-0"})  # its agent may not yet have heard
        self.assertEqual(after((NODES, "s-0", msgspec.structs.replace(node, incarnation=4))), set())
        self.assertEqual(after((NODES, "s-0", node)), {"s-0"})
        self.assertEqual(after((PERMITS, "p", msgspec.structs.replace(permit, state="ended"))), set())
        waits = msgspec.structs.replace(permit, state="waiting")
        self.assertEqual(
            after((PERMITS, "q", waits), (PERMITS, "r", msgspec.structs.replace(permit, action="move"))), set()
        )


class ImportsTest(unittest.TestCase):
    def test_balancer_without_fleet_imports_nothing_of_it(self):
        code = (
            "import sys, brookreach.__main__ as m; m.serve(); print([n for n in sys.modules if n.startswith(("
            "'brookreach.coordination', 'brookreach.disruption', 'brookreach.cli', 'msgspec', 'sqlite3', 'click'))])"
        )
        environment = {key: value for key, value in os.environ.items() if key != "PROXY_CONFIG"}
        done = subprocess.run(
            [sys.executable, "-c", code], env=environment, capture_output=True, text=True, timeout=30, check=False
        )
        self.assertEqual(done.stdout.strip(), "[]", done.stderr)

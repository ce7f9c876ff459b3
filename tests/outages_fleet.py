"""A group of outages for tests, whose nodes and marshals stand as they are said to."""

import unittest

from brookreach.drills.outages_group import Group
from brookreach.outages import budgets, inner, orders, rows, targets


class Fleet(unittest.TestCase):
    """A group, whose nodes are said to stand as `seen` says."""

    def setUp(self):
        self.group, self.now = Group(), 1_000_000

    def ask(self, order, by="ann", kind="operator", after=1):
        self.now += after
        return self.group.ask(self.now, by, kind, order)

    def seen(self, name, standing="ready", life=None, heard=None, zone=None, build=None, service=None, warm=None):
        """The node's own word; what isn't told is as it was."""
        old = self.row(rows.NODES, name)
        life = life if life is not None else old.life if old else 1
        zone, build = zone or (old.zone if old else "a"), build or (old.build if old else 1)
        service = service or (old.service if old else "s")
        if name not in self.group.sessions:
            self.group.begin(name)
        heard = self.group.index if heard is None else heard
        warm = standing == "ready" if warm is None else warm
        return self.ask(orders.NodeSeen(name, zone, build, service, 1, standing, life, warm, heard), name, "agent")

    def marshal(self, name, standing="ready", zone="a"):
        if name not in self.group.sessions:
            self.group.begin(name)
        order = orders.MarshalSeen(name, zone, 1, "route", standing, standing == "ready", self.group.index)
        return self.ask(order, name, "marshal")

    def ended(self, name, kind="agent"):
        self.now += 1
        self.group.ended(self.now, name, kind)

    def budget(self, kind="node", **scopes):
        """`all=2, zone_a=(1, 3)`: most out, or with it the least ready."""
        pairs = {
            scope.replace("_", ":"): most if isinstance(most, tuple) else (most, 0) for scope, most in scopes.items()
        }
        lines = [orders.BudgetFor(kind, scope, most, least) for scope, (most, least) in pairs.items()]
        self.assertEqual(self.ask(orders.SetBudgets(tuple(lines))), "")

    def drain(self, name, node, urgency=5, by="ann"):
        return self.ask(orders.AskDrain(name, node, urgency, "work"), by)

    def row(self, table, key):
        return self.group.view.get(table, key)

    def state(self, name):
        return self.row(rows.PERMITS, name).state

    def back(self, node, **told):
        self.seen(node, life=self.row(rows.NODES, node).life + 1, **told)

    def counts_hold(self):
        """Counts and lines as they are, and as they would be made anew."""
        made = {}
        for kind, table in (("node", rows.NODES), ("marshal", rows.MARSHALS)):
            for name, row in self.group.view.rows(table):
                if row.standing != "gone":
                    out = targets.is_out(row, targets.permits_of(self.group.view, kind, name))
                    for scope in budgets.scopes_of(row):
                        total, outs = made.get(f"{kind}/{scope}", (0, 0))
                        made[f"{kind}/{scope}"] = total + 1, outs + out
        counted = {key: (row.total, row.out) for key, row in self.group.view.rows(inner.COUNTS)}
        self.assertEqual(counted, made)
        lines = {key: row.waiting for key, row in self.group.view.rows(inner.LINES)}
        self.assertEqual(sum(lines.values()), len(list(self.group.view.rows(inner.WAITS))))

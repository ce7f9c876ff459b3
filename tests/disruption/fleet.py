"""A group of outages for tests, whose nodes and marshals stand as they are said to."""

import unittest

from brookreach.disruption import budgets, commands, internal_tables, tables, targets
from brookreach.simulation.disruption.sequential_group import Group


class Fleet(unittest.TestCase):
    """A group, whose nodes are said to stand as `seen` says."""

    def setUp(self):
        self.group, self.now = Group(), 1_000_000

    def ask(self, order, by="ann", kind="operator", after=1):
        self.now += after
        return self.group.ask(self.now, by, kind, order)

    def seen(self, name, standing="ready", life=None, heard=None, zone=None, build=None, service=None, warm=None):
        """The node's own word; what isn't told is as it was."""
        old = self.row(tables.NODES, name)
        life = life if life is not None else old.life if old else 1
        zone, build = zone or (old.zone if old else "a"), build or (old.build if old else 1)
        service = service or (old.service if old else "s")
        if name not in self.group.sessions:
            self.group.begin(name)
        heard = self.group.index if heard is None else heard
        warm = standing == "ready" if warm is None else warm
        return self.ask(commands.NodeSeen(name, zone, build, service, 1, standing, life, warm, heard), name, "agent")

    def marshal(self, name, standing="ready", zone="a"):
        if name not in self.group.sessions:
            self.group.begin(name)
        order = commands.MarshalSeen(name, zone, 1, "route", standing, standing == "ready", self.group.index)
        return self.ask(order, name, "marshal")

    def ended(self, name, kind="agent"):
        self.now += 1
        self.group.ended(self.now, name, kind)

    def budget(self, kind="node", **scopes):
        """`all=2, zone_a=(1, 3)`: most out, or with it the least ready."""
        pairs = {
            scope.replace("_", ":"): most if isinstance(most, tuple) else (most, 0) for scope, most in scopes.items()
        }
        lines = [commands.BudgetFor(kind, scope, most, least) for scope, (most, least) in pairs.items()]
        self.assertEqual(self.ask(commands.SetBudgets(tuple(lines))), "")

    def drain(self, name, node, urgency=5, by="ann"):
        return self.ask(commands.AskDrain(name, node, urgency, "work"), by)

    def row(self, table, key):
        return self.group.view.get(table, key)

    def state(self, name):
        return self.row(tables.PERMITS, name).state

    def back(self, node, **told):
        self.seen(node, life=self.row(tables.NODES, node).life + 1, **told)

    def counts_hold(self):
        """Counts and lines as they are, and as they would be made anew."""
        made = {}
        for kind, table in (("node", tables.NODES), ("marshal", tables.MARSHALS)):
            for name, row in self.group.view.rows(table):
                if row.standing != "gone":
                    out = targets.is_out(row, targets.permits_of(self.group.view, kind, name))
                    for scope in budgets.scopes_of(row):
                        total, outs = made.get(f"{kind}/{scope}", (0, 0))
                        made[f"{kind}/{scope}"] = total + 1, outs + out
        counted = {key: (row.total, row.out) for key, row in self.group.view.rows(internal_tables.COUNTS)}
        self.assertEqual(counted, made)
        lines = {key: row.waiting for key, row in self.group.view.rows(internal_tables.LINES)}
        self.assertEqual(sum(lines.values()), len(list(self.group.view.rows(internal_tables.WAITS))))

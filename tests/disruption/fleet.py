"""A test case with a sequential group, whose nodes and balancers have the status that is reported of them."""

import unittest

from brookreach.disruption import budgets, commands, internal_tables, tables, targets
from brookreach.disruption.states import TargetKind, TargetStatus
from brookreach.simulation.disruption.sequential_group import SequentialGroup

START_MS = 1_000_000


class FleetTestCase(unittest.TestCase):
    """A group without replicas; commands are applied one after the other, 1 ms apart."""

    def setUp(self):
        self.group = SequentialGroup()
        self.now = START_MS

    def send(self, command, client="ann", kind="operator", after_ms=1):
        """Applies the command; returns the rejection's text, or nothing."""
        self.now += after_ms
        return self.group.propose(self.now, client, kind, command)

    def report_node(
        self,
        name,
        status="ready",
        incarnation=None,
        applied_index=None,
        zone=None,
        build=None,
        service=None,
        warm=None,
    ):
        """The report of the node's agent; what isn't given is as in the last report."""
        old = self.row(tables.NODES, name)
        if incarnation is None:
            incarnation = old.incarnation if old else 1
        if name not in self.group.sessions:
            self.group.begin_session(name)
        report = commands.ReportNode(
            node=name,
            zone=zone or (old.zone if old else "a"),
            build=build or (old.build if old else 1),
            service=service or (old.service if old else "s"),
            capacity=1,
            status=status,
            incarnation=incarnation,
            warm=status == "ready" if warm is None else warm,
            applied_index=self.group.index if applied_index is None else applied_index,
        )
        return self.send(report, name, "agent")

    def report_balancer(self, name, status="ready", zone="a"):
        """The report of the balancer about itself."""
        if name not in self.group.sessions:
            self.group.begin_session(name)
        report = commands.ReportBalancer(name, zone, 1, "route", status, status == "ready", self.group.index)
        return self.send(report, name, "marshal")

    def end_session(self, name, kind="agent"):
        self.now += 1
        self.group.end_session(self.now, name, kind)

    def set_budgets(self, kind="node", **scopes):
        """`all=2, zone_a=(1, 3)`: most unavailable, or with it the least ready."""
        entries = []
        for scope, budget in scopes.items():
            max_unavailable, min_ready = budget if isinstance(budget, tuple) else (budget, 0)
            entries.append(commands.BudgetEntry(kind, scope.replace("_", ":"), max_unavailable, min_ready))
        self.assertEqual(self.send(commands.SetBudgets(tuple(entries))), "")

    def request_drain(self, name, node, urgency=5, client="ann"):
        return self.send(commands.RequestDrain(name, node, urgency, "work"), client)

    def row(self, table, key):
        return self.group.view.get(table, key)

    def permit_state(self, name):
        return self.row(tables.PERMITS, name).state

    def restart_node(self, node, **changes):
        """It is reported ready and warm in its next incarnation."""
        self.report_node(node, incarnation=self.row(tables.NODES, node).incarnation + 1, **changes)

    def assert_counts_hold(self):
        """Counts and queues are as they would be made anew."""
        expected = {}
        for kind, table in ((TargetKind.NODE, tables.NODES), (TargetKind.BALANCER, tables.BALANCERS)):
            for name, row in self.group.view.rows(table):
                if row.status == TargetStatus.DECOMMISSIONED:
                    continue
                unavailable = targets.is_unavailable(row, targets.permits_of(self.group.view, kind, name))
                for scope in budgets.scopes_of(row):
                    total, count = expected.get(f"{kind}/{scope}", (0, 0))
                    expected[f"{kind}/{scope}"] = total + 1, count + unavailable
        counts = self.group.view.rows(internal_tables.COUNTS)
        self.assertEqual({key: (row.total, row.unavailable) for key, row in counts}, expected)
        waiting = sum(row.waiting for _, row in self.group.view.rows(internal_tables.QUEUES))
        self.assertEqual(waiting, len(list(self.group.view.rows(internal_tables.QUEUE_ENTRIES))))

"""A node's agent: it drains by a granted permit of its own incarnation, and not while its cache has a halt."""

import unittest
from pathlib import Path

from brookreach.coordination import configuration
from brookreach.coordination.state_machine.application import InMemoryView, RowUpdate
from brookreach.disruption.node_agent import NodeAgent, NodeDescription
from brookreach.disruption.tables import HALT, PERMITS, HaltRow, PermitRow

GROUP = {"group": {"name": "g", "key": "k"}, "keeper": [{"name": "k1", "listen": "127.0.0.1:1", "disk": "d"}]}


class AgentTest(unittest.TestCase):
    def agent_with_permit(self, name, halt=None, incarnation_offset=0):
        """The agent after a permit of this name, and a halt, came to its cache."""
        agent = NodeAgent(
            NodeDescription("n1", "a", 1),
            configuration.read_values(Path("f"), GROUP),
            b"k" * 32,
            None,
            lambda line: None,
        )
        agent.client.cache = InMemoryView()
        row = PermitRow(
            "drain", "n1", "o", 5, 1, "given", fence=2, granted_ms=1, incarnation=agent.incarnation + incarnation_offset
        )
        agent.client.cache.apply_updates([RowUpdate(PERMITS, name, row), RowUpdate(HALT, "all", halt)])
        agent._follow_permits()
        return agent

    def test_drains_by_a_permit_of_its_own_incarnation(self):
        self.assertEqual(self.agent_with_permit("d1").status, "draining")
        self.assertEqual(self.agent_with_permit("d1", incarnation_offset=-1).status, "ready")

    def test_halt_after_the_grant_prevents_the_drain(self):
        agent = self.agent_with_permit("d1", HaltRow(3, "o", 1, "look first"))
        self.assertEqual(agent.status, "ready")
        agent.client.cache.apply_updates([RowUpdate(HALT, "all", None)])
        agent._follow_permits()
        self.assertEqual(agent.status, "draining")

    def test_rollback_goes_on_where_the_halt_allows_it(self):
        halt = HaltRow(3, "o", 1, "a verdict", allows_rollback=True)
        self.assertEqual(self.agent_with_permit("release:7:n1", halt).status, "draining")
        self.assertEqual(self.agent_with_permit("d1", halt).status, "ready")

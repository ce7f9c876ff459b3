"""A node's agent and halts: it goes by a given permit of its own life, and not while a halt stands in its cache."""

import unittest
from pathlib import Path

from brookreach.coordination import configuration
from brookreach.coordination.state_machine.application import InMemoryView, RowUpdate
from brookreach.disruption.node_agent import NodeAgent, NodeDescription
from brookreach.disruption.tables import HALT, PERMITS, HaltRow, PermitRow

GROUP = {"group": {"name": "g", "key": "k"}, "keeper": [{"name": "k1", "listen": "127.0.0.1:1", "disk": "d"}]}


class AgentTest(unittest.TestCase):
    def stands(self, name, halt=None, life_off=0):
        """What the agent does once a permit of this name, and a halt, stand in its cache."""
        agent = NodeAgent(
            NodeDescription("n1", "a", 1),
            configuration.read_values(Path("f"), GROUP),
            b"k" * 32,
            None,
            lambda line: None,
        )
        agent.client.cache = InMemoryView()
        row = PermitRow(
            "drain", "n1", "o", 5, 1, "given", fence=2, granted_ms=1, incarnation=agent.incarnation + life_off
        )
        agent.client.cache.apply_updates([RowUpdate(PERMITS, name, row), RowUpdate(HALT, "all", halt)])
        agent._follow_permits()
        return agent

    def test_it_goes_by_a_permit_of_its_own_life(self):
        self.assertEqual(self.stands("d1").status, "draining")
        self.assertEqual(self.stands("d1", life_off=-1).status, "ready")

    def test_a_halt_that_came_after_the_permit_keeps_it(self):
        agent = self.stands("d1", HaltRow(3, "o", 1, "look first"))
        self.assertEqual(agent.status, "ready")
        agent.client.cache.apply_updates([RowUpdate(HALT, "all", None)])
        agent._follow_permits()
        self.assertEqual(agent.status, "draining")

    def test_the_way_back_stays_open_where_the_halt_says_so(self):
        halt = HaltRow(3, "o", 1, "a verdict", allows_rollback=True)
        self.assertEqual(self.stands("release:7:n1", halt).status, "draining")
        self.assertEqual(self.stands("d1", halt).status, "ready")

"""The drill between processes judges a cache by the index that its rows have.

What was seen: `drill fleet --processes 3 --seed 1` broke "mirrors of one place are alike" 3 to 6 times on each run. Order of events:
a client takes several messages of its watch at once, and hands on one event each; when the first event is heard, the cache
stands at the last message already. Cause: the check paired the event's index with the cache's newer rows, so an agent that was handed two
messages at once held "other" rows at the first one's index than an agent that was handed one. In 2 to 4 of 350 to 725 events the two
indices differed; judged by the cache's own index no run broke the rule.
"""

import random
import unittest
from types import SimpleNamespace

from brookreach.coordination.client.events import RowsChanged
from brookreach.disruption import tables
from brookreach.disruption.states import TargetStatus
from brookreach.simulation.processes.counter_invariants import CounterInvariants, CountingAgent, Rule


class Cache:
    """A client's cache as the check sees it."""

    def __init__(self, index, count):
        row = tables.NodeRow("b1", "z1", 1, "drill", count, TargetStatus.READY, 1, True, 0, 0)
        self.index, self._rows = index, {"b1": row}

    def rows(self, table, prefix=""):
        return sorted(self._rows.items())

    def get(self, table, key):
        return self._rows.get(key)


class CachesAgreeTest(unittest.TestCase):
    def broken(self, *heard):
        """Which rules break when agents hear of rows, each as `(agent, the event's index, its cache)`."""
        broken, agents = [], {}
        invariants = CounterInvariants(lambda rule, text: broken.append(rule), lambda rule: None)
        for name, index, cache in heard:
            agent = agents.setdefault(name, self.agent(name, invariants))
            agent._client = SimpleNamespace(cache=cache)
            agent._on_event(RowsChanged(index, (), False))
        return broken

    def agent(self, name, invariants):
        agent = CountingAgent.__new__(CountingAgent)
        agent.name, agent._invariants, agent._rng, agent.seen = name, invariants, random.Random(1), 0
        return agent

    def test_messages_that_are_taken_at_once(self):
        at_once = [("a", 5, Cache(7, 2)), ("a", 7, Cache(7, 2))]
        one_by_one = [("b", 5, Cache(5, 1)), ("b", 7, Cache(7, 2))]
        self.assertEqual(self.broken(*at_once, *one_by_one), [])
        self.assertEqual(self.broken(*one_by_one, *at_once), [])

    def test_a_divergence_is_found(self):
        for first, second in ((5, 5), (7, 5), (5, 7)):  # whatever the events' indices
            self.assertEqual(
                self.broken(("a", first, Cache(7, 2)), ("b", second, Cache(7, 3))), [Rule.CACHES_AGREE], (first, second)
            )


if __name__ == "__main__":
    unittest.main()

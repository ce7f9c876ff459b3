"""A share of an ordinary day's changes, pressed into seconds and put to a group by its own clients.

It owns what a day holds, when each change of it is due, and how long each took to be agreed. The share keeps the
proportions of a whole day; times within it are drawn from the seed.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import anyio
import msgspec

from brookreach.coordination.client.errors import ClusterUnreachableError
from brookreach.coordination.client.one_shot import OneShotClient
from brookreach.coordination.clock import now_ms
from brookreach.coordination.state_machine.application import Command
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.commands import BudgetEntry, RequestDrain, SetBudgets, WithdrawPermit
from brookreach.disruption.states import TargetKind, TargetStatus
from brookreach.model.keepers_crowd import seen
from brookreach.scale.control_cluster import Cluster, start_talk

DAY_CHANGES, DAY_RESTARTS, DAY_FAILURES, DAY_S = 1_100, 1_600, 30, 86_400.0
RACK = 20  # nodes that fail at one instant; their agents play all restarts and failures
RACK_AWAY_S = 1.0

RESTART: tuple[TargetStatus, ...] = (TargetStatus.DRAINING, TargetStatus.DOWN, TargetStatus.READY)
FAILURE: tuple[TargetStatus, ...] = (TargetStatus.DOWN, TargetStatus.READY)


class Day(msgspec.Struct, frozen=True):
    """How many of each are put to the group, besides one rack."""

    changes: int
    restarts: int
    failures: int

    @property
    def records(self) -> int:
        """Records that the group has to agree on."""
        return self.changes + len(RESTART) * self.restarts + len(FAILURE) * (self.failures + RACK)


FULL_DAY = Day(DAY_CHANGES, DAY_RESTARTS, DAY_FAILURES)


def share(changes: int) -> Day:
    """The part of a day that has so many configuration changes."""
    of_day = changes / DAY_CHANGES
    return Day(changes, round(DAY_RESTARTS * of_day), max(1, round(DAY_FAILURES * of_day)))


@dataclass(frozen=True, slots=True)
class Agreed:
    """One configuration change: when it was asked for, and its place in the log."""

    asked_ms: float
    index: int


@dataclass(slots=True)
class Outcome:
    changes: list[Agreed] = field(default_factory=list)
    agreed: int = 0  # records of all kinds
    failed: list[str] = field(default_factory=list)  # what was not answered, or refused


class Agent:
    """The agent of one node: it says the node's states one after the other."""

    def __init__(self, name: str, talk: OneShotClient, outcome: Outcome):
        self.name, self.talk, self.outcome, self.life = name, talk, outcome, 1

    async def says(self, states: tuple[TargetStatus, ...]) -> None:
        for state in states:
            self.life += state == "ready"
            await asked(self.talk, seen(self.name, state, self.life), self.outcome)


async def asked(talk: OneShotClient, order: Command, outcome: Outcome) -> int:
    """The record's place in the log; 0 where it was not agreed."""
    try:
        answer = await talk.propose(APPLICATION.name, order)
    except ClusterUnreachableError as error:
        outcome.failed.append(str(error))
        return 0
    if not answer.ok:
        outcome.failed.append(answer.text)
        return 0
    outcome.agreed += 1
    return answer.index


async def play(cluster: Cluster, day: Day, seconds: float, seed: int) -> Outcome:
    """Proposes it to the cluster and returns when all of it is answered.

    Raises ClusterUnreachableError where an agent gets no session.
    """
    outcome, chance = Outcome(), random.Random(seed)
    async with anyio.create_task_group() as tasks:
        agents = [Agent(f"n{one}", cluster.talk(f"n{one}", "agent"), outcome) for one in range(RACK)]
        for agent in agents:
            await start_talk(agent.talk, tasks)
        await asked(cluster.operator, SetBudgets((BudgetEntry(TargetKind.NODE, "all", 0, 0),)), outcome)
        began = anyio.current_time()
        async with anyio.create_task_group() as players:
            players.start_soon(_changes, cluster, day.changes, began, seconds, outcome)
            events = [RESTART] * day.restarts + [FAILURE] * day.failures
            dealt: list[list[tuple[float, tuple[TargetStatus, ...]]]] = [[] for _ in agents]
            for number, states in enumerate(events):
                dealt[number % RACK].append((began + chance.uniform(0.0, seconds), states))
            for agent, own in zip(agents, dealt, strict=True):
                own.append((began + seconds / 2.0, FAILURE[:1]))
                own.append((began + seconds / 2.0 + RACK_AWAY_S, FAILURE[1:]))
                players.start_soon(_states, agent, sorted(own))
        tasks.cancel_scope.cancel()  # no agent leaves: the ends of their sessions would be further records
    return outcome


async def _states(agent: Agent, events: list[tuple[float, tuple[TargetStatus, ...]]]) -> None:
    for at, states in events:
        await anyio.sleep_until(at)
        await agent.says(states)


def change(number: int, nodes: int) -> Command:
    """The nth configuration change: a drain that waits, for the budget is nought, and the next takes it back."""
    name = f"change-{number // 2}"
    if number % 2:
        return WithdrawPermit(name, "undone")
    node = f"n{RACK + number // 2 % (nodes - RACK)}"
    return RequestDrain(name, node, 5, "a change")


async def _changes(cluster: Cluster, count: int, began: float, seconds: float, outcome: Outcome) -> None:
    for number in range(count):
        await anyio.sleep_until(began + (number + 0.5) * seconds / count)
        asked_ms = now_ms()
        index = await asked(cluster.operator, change(number, cluster.size.nodes), outcome)
        if index:
            outcome.changes.append(Agreed(asked_ms, index))

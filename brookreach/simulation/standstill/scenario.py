"""What happens in one run of the standstill drill, drawn from its seed. Pairs of inputs go round with the seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

from brookreach.simulation.balancer.scenario import ClientStyle, NodeKind, Scenario

LIMITS_S = (3.0, 2.8)  # of the safe and the unsafe class
STOP_LIMITS_S = (5.5, 5.5)  # requests are open until the end of the stop
USUAL_CLIENTS = 8
QUIET_CLIENTS = 2
RELEASED_NODES = 4
STANDSTILL_S = (0.8, 1.9)
LONG_STANDSTILL_S = (1.5, 1.9)


class InputPair(StrEnum):
    """What waits for the balancer as it goes on."""

    REQUEST_AND_END = "requests and the ends of their connections"
    REQUEST_AND_DRAIN = "requests and the drain of a node"
    REQUEST_AND_SILENCE = "requests that are old, and a node that is silent"
    VOTE_AND_NEWS = "a vote's answer and newer news"
    STOP_AND_CROWD = "a stop and a crowd of new connections"
    OUTAGE_AND_DRAIN = "the return of discovery and a drain"


@dataclass(frozen=True, slots=True)
class StandstillScenario:
    """One run.

    Attributes:
        pair: What waits.
        standstill_s: How long the process stands still.
        usual: The clients, nodes and limits of the run.
    """

    pair: InputPair
    standstill_s: float
    usual: Scenario

    def describe(self) -> str:
        """Return it in one line."""
        return f"{self.pair}; a standstill of {self.standstill_s:.2f} s; {self.usual.describe()}"


def plan_standstill(seed: int) -> StandstillScenario:
    """Return the scenario of a seed, always the same."""
    rng = random.Random(f"standstill {seed}")
    pair = list(InputPair)[seed % len(InputPair)]
    return plan_pair(pair, seed, rng)


def plan_pair(pair: InputPair, seed: int, rng: random.Random) -> StandstillScenario:
    """Return a scenario with this pair; the last node runs the build on trial."""
    nodes = (NodeKind.PROMPT,) * (RELEASED_NODES + 1)
    bounds_s = LONG_STANDSTILL_S if pair == InputPair.REQUEST_AND_SILENCE else STANDSTILL_S
    is_quiet = pair == InputPair.REQUEST_AND_SILENCE  # a wait has to find what comes
    clients = (ClientStyle.SINGLE,) * (QUIET_CLIENTS if is_quiet else USUAL_CLIENTS)
    limits_s = STOP_LIMITS_S if pair == InputPair.STOP_AND_CROWD else LIMITS_S
    usual = Scenario(seed=seed, limits_s=limits_s, nodes=nodes, clients=clients)
    return StandstillScenario(pair, rng.uniform(*bounds_s), usual)

"""What happens in one run of the soak, drawn from its seed.

Some properties go round with the seed rather than by chance, so that a few seeds in a row meet all of them.
"""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass
from enum import StrEnum

LIMITS_S = ((4.0, 3.0), (1.0, 0.8), (5.5, 3.0), (3.1, 3.098), (3.0, 2.25), (0.6, 0.6))
"""The time limits of the safe and the unsafe class, one pair a seed."""

RELEASED_BUILD, BUILD_ON_TRIAL = 6, 7
TRIAL_CAP = 0.25  # the share of requests that may go to the build on trial
CAPPED_LIMIT_S = 3.0  # a longer limit counts as this long where a stop is bounded
KILL_MARGIN_S = 0.7  # from the end of the longest limit to the earliest SIGKILL
WARM_UP_S = 1.6  # of traffic before SIGTERM
MAX_PAUSE_S = 0.15
SYSTEM_CALLS = ("accept", "socket", "connect", "recv_into", "sendmsg")  # that the shim lets fail
MAX_FAILING_CALL = 60
LATEST_NEW_CONNECTION_S = (0.2, 0.4)  # after SIGTERM


class ClientStyle(StrEnum):
    """How a client uses its connections."""

    SINGLE = "one request at a time"
    PIPELINED = "several requests at once"
    HALF = "half a request, the rest later or never"
    SLOW_READER = "reads late"
    LEAVING = "leaves early"
    SILENT = "asks nothing"
    ABORTING = "resets new connections"


class NodeKind(StrEnum):
    """What a node does with requests."""

    PROMPT = "answers at once"
    SLOW = "answers late"
    HANGING = "hangs"
    REFUSING = "refuses"
    RESETTING = "resets"
    FAILING = "answers with an error"
    CLOSING_IDLE = "closes idle connections"
    TWICE = "answers twice"
    LATE_WELCOME = "welcomes late"
    THROTTLED = "answers byte by byte"
    SILENT_LINK = "its link falls silent"
    LARGE = "answers with much"


STYLE_WEIGHTS = {
    ClientStyle.SINGLE: 10,
    ClientStyle.PIPELINED: 6,
    ClientStyle.HALF: 2,
    ClientStyle.SLOW_READER: 2,
    ClientStyle.LEAVING: 3,
    ClientStyle.SILENT: 1,
    ClientStyle.ABORTING: 2,
}


@dataclass(frozen=True, slots=True)
class TimedSignal:
    """A signal sent so long after SIGTERM; before it where negative."""

    after_s: float
    number: signal.Signals


@dataclass(frozen=True, slots=True)
class Pause:
    """The process is held up by SIGSTOP for so long."""

    after_s: float
    length_s: float


@dataclass(frozen=True, slots=True)
class ClockStep:
    """The wall clock of the process is stepped so long after its start."""

    after_s: float
    by_s: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run.

    Attributes:
        limits_s: The time limits of the safe and the unsafe class.
        burst: How many clients connect at once; 0 for no burst.
        burst_after_s: When they do, after SIGTERM; before it where negative.
        failing_calls: The chance with which a system call of the process fails in a documented way, 0 to 1.
        failing_call: A kind of system call, and which call of that kind fails, from 1.
        failing_accepts: How many calls of accept fail in a row while no connection is open.
        drained_node_after_s: When a node is listed as draining, after the first request; infinite for never.
        silent_discovery: Whether the agent falls silent as the process is told to stop.
        busy_processes: How many processes keep cores busy beside it.
    """

    seed: int
    limits_s: tuple[float, float]
    nodes: tuple[NodeKind, ...]
    clients: tuple[ClientStyle, ...]
    burst: int = 0
    burst_after_s: float = 0.0
    signals: tuple[TimedSignal, ...] = ()
    pauses: tuple[Pause, ...] = ()
    clock_steps: tuple[ClockStep, ...] = ()
    failing_calls: float = 0.0
    failing_accepts: int = 0
    failing_call: tuple[str, int] | None = None
    drained_node_after_s: float = float("inf")
    silent_discovery: bool = False
    busy_processes: int = 0

    @property
    def kill_after_s(self) -> float:
        """Return the earliest time of SIGKILL, after SIGTERM."""
        return min(max(self.limits_s), CAPPED_LIMIT_S) + KILL_MARGIN_S

    @property
    def allowance_s(self) -> float:
        """Return by how much the process may be late because it was held up."""
        return max((pause.length_s for pause in self.pauses), default=0.0)

    def describe(self) -> str:
        """Return it in one line."""
        parts = [f"limits {self.limits_s}", f"{len(self.clients)} clients", "nodes: " + ", ".join(self.nodes)]
        for name in ("burst", "failing_calls", "failing_call", "failing_accepts", "silent_discovery", "busy_processes"):
            value = getattr(self, name)
            if value:
                parts.append(f"{name.replace('_', ' ')} {value}")
        parts += [f"pause of {pause.length_s:.2f} s at {pause.after_s:+.2f} s" for pause in self.pauses]
        parts += [f"clock {step.by_s:+.0f} s" for step in self.clock_steps]
        return "; ".join(parts)


def plan_scenario(seed: int) -> Scenario:
    """Return the scenario of a seed, always the same."""
    rng = random.Random(f"balancer soak {seed}")
    limits_s = LIMITS_S[seed % len(LIMITS_S)]
    has_burst = seed % 3 == 0
    kill_after_s = min(max(limits_s), CAPPED_LIMIT_S) + KILL_MARGIN_S
    return Scenario(
        seed=seed,
        limits_s=limits_s,
        nodes=_draw_nodes(rng, seed),
        clients=tuple(rng.choices(list(STYLE_WEIGHTS), list(STYLE_WEIGHTS.values()), k=rng.randint(20, 45))),
        burst=rng.choice((60, 150, 250)) if has_burst else 0,
        burst_after_s=rng.uniform(-0.3, 0.3),
        signals=_draw_signals(rng, kill_after_s),
        pauses=_draw_pauses(rng, kill_after_s) if seed % 2 else (),
        clock_steps=_draw_clock_steps(rng) if seed % 4 == 3 else (),
        failing_calls=rng.choice((0.005, 0.02, 0.05)) if seed % 4 == 1 else 0.0,
        failing_accepts=rng.randint(1, 6) if seed % 4 == 2 else 0,
        failing_call=(rng.choice(SYSTEM_CALLS), rng.randint(1, MAX_FAILING_CALL)) if seed % 4 == 0 else None,
        drained_node_after_s=rng.uniform(0.3, WARM_UP_S + 1.0) if seed % 3 == 1 else float("inf"),
        silent_discovery=seed % 5 == 2,
        busy_processes=4 if seed % 7 == 5 else 0,
    )


def _draw_nodes(rng: random.Random, seed: int) -> tuple[NodeKind, ...]:
    """Draw five nodes, most of them well; on one seed of eight all hang, on one of three one answers twice."""
    if seed % 8 == 7:
        return (NodeKind.HANGING,) * 5
    kinds = [NodeKind.PROMPT, NodeKind.SLOW, NodeKind.HANGING, *rng.choices(list(NodeKind), k=2)]
    if seed % 3 == 2:
        kinds[-1] = NodeKind.TWICE
    rng.shuffle(kinds)
    return tuple(kinds)


def _draw_signals(rng: random.Random, kill_after_s: float) -> tuple[TimedSignal, ...]:
    """Draw signals in series: new configurations before and after SIGTERM, and stops that are asked for again."""
    numbers = (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    after = [TimedSignal(rng.uniform(0.01, kill_after_s - 0.1), rng.choice(numbers)) for _ in range(rng.randint(0, 5))]
    before = [TimedSignal(rng.uniform(-0.5, 0.0), signal.SIGHUP) for _ in range(rng.randint(0, 2))]
    return tuple(sorted(before + after, key=lambda timed: timed.after_s))


def _draw_pauses(rng: random.Random, kill_after_s: float) -> tuple[Pause, ...]:
    """Draw two pauses in traffic, one just before SIGTERM, one near the end of the stop, and one between."""
    length_s = rng.uniform(0.05, MAX_PAUSE_S)
    in_traffic_s = (rng.uniform(-1.4, -0.9), rng.uniform(-0.7, -0.3))
    in_stop_s = (rng.uniform(0.2, kill_after_s - 1.0), kill_after_s - rng.uniform(0.35, 0.6))
    return tuple(Pause(after_s, length_s) for after_s in (*in_traffic_s, -0.01, *sorted(in_stop_s)))


def _draw_clock_steps(rng: random.Random) -> tuple[ClockStep, ...]:
    """Draw two steps, of seconds and of an hour, forward or back."""
    sizes_s = (-3600.0, -5.0, 5.0, 3600.0)
    return tuple(ClockStep(rng.uniform(0.5, 4.0), rng.choice(sizes_s)) for _ in range(2))

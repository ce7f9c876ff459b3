"""A chart as a Markov chain: how long it runs, and how likely it crosses within so many outcomes.

The recursion level = max(level + step, 0) is put on a grid of levels. Steps of a failure chart take two
values, those of a speed chart are normal and clipped as `brookreach.policy.cusum` clips them. After Brook and Evans
(1972), An approach to the probability distribution of CUSUM run length; the corrected means follow Siegmund
(1985), Sequential Analysis, chapter X. Needs numpy; nothing that a marshal runs imports this.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from brookreach.policy.cusum import MIN_BASELINE_OUTCOMES, failure_step, rank_score, speed_step

StepDistribution = Sequence[tuple[float, float]]
"""(size, probability) of one outcome's step; the probabilities add up to 1."""


class InvalidChainError(ValueError):
    """Steps, a threshold or a horizon that no chart has."""


def failure_step_distribution(share: float, before: float, rise: float) -> list[tuple[float, float]]:
    """The two steps of a failures chart where `share` of the outcomes fail."""
    if not 0.0 <= share <= 1.0:
        raise InvalidChainError(f"a share of failures of {share!r}: 0 to 1")
    return [(failure_step(True, before, rise), share), (failure_step(False, before, rise), 1.0 - share)]


def speed_step_distribution(
    work: float, spread: float, weight: float = 1.0, points: int = 41
) -> list[tuple[float, float]]:
    """The steps of a speed chart where the trial build takes `work` times as long; `spread`: of log times."""
    if not (work > 0.0 and spread > 0.0 and math.isfinite(work) and math.isfinite(spread)):
        raise InvalidChainError(f"work {work!r} and spread {spread!r}: finite and above 0")
    mean = math.log(work) / max(0.1, spread)
    scores = np.linspace(mean - 4.0, mean + 4.0, points)
    chances = np.exp(-0.5 * (scores - mean) ** 2)
    chances /= chances.sum()
    ends = rank_score(math.inf, [0.0] * 2 * MIN_BASELINE_OUTCOMES)  # no rank among so many is further out
    low = [0.0, 0.0, 0.0, 1.35 * spread]  # times whose quartiles lie as the spread says
    sizes = [weight * speed_step(score, low) for score in np.clip(scores, -ends, ends).tolist()]
    return list(zip(sizes, chances.tolist(), strict=True))


@dataclass(frozen=True)
class CusumChain:
    """One chart below `threshold` on `cells` levels; `grid` cells wide each."""

    transitions: NDArray[np.float64]  # (cells, cells): chance of going from one level to another without crossing
    crossing: NDArray[np.float64]  # (cells,): chance of crossing from a level

    @classmethod
    def from_steps(cls, steps: StepDistribution, threshold: float, cells: int = 240) -> CusumChain:
        """Raises InvalidChainError for what is no chart."""
        if not (threshold > 0.0 and math.isfinite(threshold)):
            raise InvalidChainError(f"a threshold of {threshold!r}: finite and above 0")
        if not 8 <= cells <= 4000:
            raise InvalidChainError(f"{cells} cells: 8 to 4000")
        total = math.fsum(chance for _, chance in steps)
        if not steps or abs(total - 1.0) > 1e-6 or any(chance < 0.0 for _, chance in steps):
            raise InvalidChainError(f"steps whose chances add up to {total!r}: 1 is needed")
        width = threshold / cells
        move, cross = np.zeros((cells, cells)), np.zeros(cells)
        rows = np.arange(cells)
        for size, chance in steps:
            # Between two cells the step is shared out, so that its mean stays what it is.
            at = rows + size / width
            low = np.floor(at).astype(int)
            for cell, part in ((low, 1.0 - (at - low)), (low + 1, at - low)):
                beyond = cell >= cells
                cross[beyond] += chance * part[beyond]
                inside = ~beyond
                np.add.at(move, (rows[inside], np.maximum(cell[inside], 0)), chance * part[inside])
        return cls(move, cross)

    def crossing_probabilities(self, outcomes: int) -> NDArray[np.float64]:
        """The chance that it has crossed after 0, 1, ... `outcomes` from level 0."""
        if outcomes < 0:
            raise InvalidChainError(f"{outcomes} outcomes: 0 or more")
        level = np.zeros(len(self.crossing))
        level[0] = 1.0
        out = np.zeros(outcomes + 1)
        for at in range(1, outcomes + 1):
            out[at] = out[at - 1] + float(level @ self.crossing)
            level = level @ self.transitions
        return np.clip(out, 0.0, 1.0)

    def average_run_length(self) -> float:
        """Expected outcomes to the crossing, from level 0."""
        size = len(self.crossing)
        return float(np.linalg.solve(np.eye(size) - self.transitions, np.ones(size))[0])


def mean_and_conjugate_root(steps: StepDistribution) -> tuple[float, float]:
    """The mean step, and the other root of E exp(root x step) = 1 (in the null 1, else -1)."""
    mean = math.fsum(size * chance for size, chance in steps)
    low, high = (1e-9, 50.0) if mean < 0.0 else (-50.0, -1e-9)

    def excess(root: float) -> float:
        return math.fsum(chance * math.exp(max(-700.0, min(700.0, root * size))) for size, chance in steps) - 1.0

    if mean == 0.0 or excess(low) * excess(high) > 0.0:
        return mean, 0.0
    for _ in range(200):
        mid = 0.5 * (low + high)
        low, high = (mid, high) if excess(low) * excess(mid) > 0.0 else (low, mid)
    return mean, 0.5 * (low + high)


def siegmund_average_run_length(steps: StepDistribution, threshold: float) -> float:
    """Expected outcomes to the crossing by Siegmund's corrected Brownian motion.

    That is (exp(-d b) - 1 + d b) / (d m): mean step m, drift d, threshold b widened at both ends.
    """
    mean, root = mean_and_conjugate_root(steps)
    variance = math.fsum(size * size * chance for size, chance in steps) - mean * mean
    over = 0.583 * math.sqrt(max(0.0, variance))  # mean overshoot at either end
    reach = threshold + 2.0 * over
    if root == 0.0 or mean == 0.0:
        return reach * reach / max(1e-12, variance)
    drift = -root
    return (math.exp(-drift * reach) - 1.0 + drift * reach) / (drift * mean)


def importance_sampled_crossing(
    steps: StepDistribution, threshold: float, outcomes: int, waves: int, seed: int
) -> tuple[float, float]:
    """The chance of crossing within so many outcomes and its standard error, by importance sampling.

    Rare crossings are drawn from steps tilted by the root of `mean_and_conjugate_root`; each start from 0 restarts the
    tilt, so the weight is taken over the last climb only, which is what makes rare alarms cheap to see.
    """
    chance = np.random.default_rng(seed)
    mean, root = mean_and_conjugate_root(steps)
    sizes, plain = (np.array(part) for part in zip(*steps, strict=True))
    tilt = plain * np.exp(root * sizes) if mean < 0.0 and root > 0.0 else plain
    tilt = tilt / tilt.sum()
    # One climb from 0: the chance that it crosses before it is back at 0.
    hits = np.zeros(waves)
    for wave in range(waves):
        level, log_weight, length = 0.0, 0.0, 0
        while length < outcomes:
            step = int(chance.choice(len(sizes), p=tilt))
            level, length = level + sizes[step], length + 1
            log_weight += math.log(plain[step] / tilt[step]) if plain[step] > 0.0 else 0.0
            if level >= threshold:
                hits[wave] = math.exp(log_weight)
                break
            if level <= 0.0:
                break
    # Climbs follow each other like a renewal process: their number is outcomes over their mean plain length.
    plain_length = _climb_length(sizes, plain, outcomes, np.random.default_rng(seed + 1))
    climbs = outcomes / plain_length
    each, error = float(hits.mean()), float(hits.std(ddof=1) / math.sqrt(waves))
    total = 1.0 - (1.0 - min(1.0, each)) ** climbs
    return total, climbs * error * (1.0 - total)


def _climb_length(
    sizes: NDArray[np.float64], plain: NDArray[np.float64], most: int, chance: np.random.Generator
) -> float:
    """The mean number of outcomes between two visits to 0, by plain sampling."""
    lengths = []
    for _ in range(2000):
        level, length = 0.0, 0
        while length < most:
            level, length = level + sizes[int(chance.choice(len(sizes), p=plain))], length + 1
            if level <= 0.0:
                break
        lengths.append(length)
    return float(np.mean(lengths))

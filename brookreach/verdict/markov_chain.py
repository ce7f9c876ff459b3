"""A CUSUM chart as a Markov chain: its average run length, and how likely it crosses within so many outcomes.

The recursion level = max(level + step, 0) is discretised on a grid of levels. The steps of a failures chart take two
values; those of a speed chart are normal and clipped as `brookreach.policy.cusum` clips them. After Brook and Evans
(1972), An approach to the probability distribution of CUSUM run length; the corrected means follow Siegmund (1985),
Sequential Analysis, chapter X. Needs numpy; nothing that a balancer runs imports this module.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from brookreach.policy.cusum import (
    MIN_BASELINE_OUTCOMES,
    MIN_SPREAD,
    QUARTILE_RANGE,
    failure_step,
    rank_score,
    speed_step,
)

StepDistribution = Sequence[tuple[float, float]]
"""(size, probability) of one outcome's step; the probabilities add up to 1."""

PROBABILITY_TOLERANCE = 1e-6  # by which probabilities may miss 1
SCORE_RANGE = 4.0  # standard deviations on either side of the mean score that are put on the grid
OVERSHOOT = 0.583  # mean overshoot of a normal random walk over a barrier, in standard deviations (Siegmund)
MAX_ROOT = 50.0  # the conjugate root is searched for up to this size
MIN_ROOT = 1e-9
MAX_EXPONENT = 700.0  # exp overflows at 710
BISECTION_STEPS = 200


class InvalidChainError(ValueError):
    """Steps, a threshold or a horizon that no chart can have."""


def failure_step_distribution(share: float, before: float, rise: float) -> list[tuple[float, float]]:
    """Return the two steps of a failures chart.

    Args:
        share: The candidate's failure rate.
        before: The baseline's failure rate.
        rise: The increase of the rate that the chart looks for.

    Raises:
        InvalidChainError: `share` is no probability.
    """
    if not 0.0 <= share <= 1.0:
        raise InvalidChainError(f"a share of failures of {share!r}: 0 to 1")
    failure = failure_step(True, before, rise)
    success = failure_step(False, before, rise)
    return [(failure, share), (success, 1.0 - share)]


def speed_step_distribution(
    work: float, spread: float, weight: float = 1.0, points: int = 41
) -> list[tuple[float, float]]:
    """Return the steps of a speed chart.

    Args:
        work: How many times as long the candidate takes.
        spread: The standard deviation of the log of durations.
        weight: The factor of each step, for durations of one node that are correlated.
        points: How many values of the normal score are taken.

    Raises:
        InvalidChainError: `work` or `spread` is not finite or not above 0.
    """
    if not (work > 0.0 and spread > 0.0 and math.isfinite(work) and math.isfinite(spread)):
        raise InvalidChainError(f"work {work!r} and spread {spread!r}: finite and above 0")
    mean = math.log(work) / max(MIN_SPREAD, spread)
    scores = np.linspace(mean - SCORE_RANGE, mean + SCORE_RANGE, points)
    probabilities = np.exp(-0.5 * (scores - mean) ** 2)
    probabilities /= probabilities.sum()
    # No rank among so many baseline outcomes lies further out.
    max_score = rank_score(math.inf, [0.0] * 2 * MIN_BASELINE_OUTCOMES)
    baseline = [0.0, 0.0, 0.0, QUARTILE_RANGE * spread]  # log durations whose quartiles lie as the spread says
    sizes = [weight * speed_step(score, baseline) for score in np.clip(scores, -max_score, max_score).tolist()]
    return list(zip(sizes, probabilities.tolist(), strict=True))


@dataclass(frozen=True)
class CusumChain:
    """One chart below its threshold, as an absorbing Markov chain on equally wide cells of its level.

    Attributes:
        transitions: (cells, cells): the probability of going from one level to another without crossing.
        crossing: (cells,): the probability of crossing from a level.
    """

    transitions: NDArray[np.float64]
    crossing: NDArray[np.float64]

    @classmethod
    def from_steps(cls, steps: StepDistribution, threshold: float, cells: int = 240) -> CusumChain:
        """Return the chain of a chart with these steps.

        Raises:
            InvalidChainError: No chart has this threshold, or the number of cells or the probabilities are not allowed.
        """
        if not (threshold > 0.0 and math.isfinite(threshold)):
            raise InvalidChainError(f"a threshold of {threshold!r}: finite and above 0")
        if not 8 <= cells <= 4000:
            raise InvalidChainError(f"{cells} cells: 8 to 4000")
        total = math.fsum(probability for _, probability in steps)
        is_off = abs(total - 1.0) > PROBABILITY_TOLERANCE
        if not steps or is_off or any(probability < 0.0 for _, probability in steps):
            raise InvalidChainError(f"steps whose chances add up to {total!r}: 1 is needed")
        width = threshold / cells
        transitions = np.zeros((cells, cells))
        crossing = np.zeros(cells)
        rows = np.arange(cells)
        for size, probability in steps:
            # A step that ends between two cells is shared between them, so that its mean stays what it is.
            target = rows + size / width
            lower = np.floor(target).astype(int)
            for cell, part in ((lower, 1.0 - (target - lower)), (lower + 1, target - lower)):
                beyond = cell >= cells
                crossing[beyond] += probability * part[beyond]
                inside = ~beyond
                np.add.at(transitions, (rows[inside], np.maximum(cell[inside], 0)), probability * part[inside])
        return cls(transitions, crossing)

    def crossing_probabilities(self, outcomes: int) -> NDArray[np.float64]:
        """Return the probability that the chart has crossed after 0, 1, ... `outcomes`, from level 0.

        Raises:
            InvalidChainError: `outcomes` is negative.
        """
        if outcomes < 0:
            raise InvalidChainError(f"{outcomes} outcomes: 0 or more")
        level = np.zeros(len(self.crossing))
        level[0] = 1.0
        crossed = np.zeros(outcomes + 1)
        for count in range(1, outcomes + 1):
            crossed[count] = crossed[count - 1] + float(level @ self.crossing)
            level = level @ self.transitions
        return np.clip(crossed, 0.0, 1.0)

    def average_run_length(self) -> float:
        """Return the expected number of outcomes to the crossing, from level 0."""
        size = len(self.crossing)
        return float(np.linalg.solve(np.eye(size) - self.transitions, np.ones(size))[0])


def mean_and_conjugate_root(steps: StepDistribution) -> tuple[float, float]:
    """Return the mean step, and the root other than 0 of E exp(root x step) = 1.

    The root is 1 where the candidate is like the baseline and -1 at the effect that the chart looks for; it is 0 where
    the mean is 0 or no root is found.
    """
    mean = math.fsum(size * probability for size, probability in steps)
    low, high = (MIN_ROOT, MAX_ROOT) if mean < 0.0 else (-MAX_ROOT, -MIN_ROOT)

    def excess(root: float) -> float:
        moment = math.fsum(
            probability * math.exp(max(-MAX_EXPONENT, min(MAX_EXPONENT, root * size))) for size, probability in steps
        )
        return moment - 1.0

    if mean == 0.0 or excess(low) * excess(high) > 0.0:
        return mean, 0.0
    for _ in range(BISECTION_STEPS):
        middle = 0.5 * (low + high)
        if excess(low) * excess(middle) > 0.0:
            low = middle
        else:
            high = middle
    return mean, 0.5 * (low + high)


def siegmund_average_run_length(steps: StepDistribution, threshold: float) -> float:
    """Return the expected number of outcomes to the crossing by Siegmund's corrected Brownian motion.

    That is (exp(-d b) - 1 + d b) / (d m), with the mean step m, the drift d and the threshold b, widened by the mean
    overshoot at both ends.
    """
    mean, root = mean_and_conjugate_root(steps)
    variance = math.fsum(size * size * probability for size, probability in steps) - mean * mean
    overshoot = OVERSHOOT * math.sqrt(max(0.0, variance))
    reach = threshold + 2.0 * overshoot
    if root == 0.0 or mean == 0.0:
        return reach * reach / max(1e-12, variance)
    drift = -root
    return (math.exp(-drift * reach) - 1.0 + drift * reach) / (drift * mean)

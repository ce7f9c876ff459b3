"""The probability that a CUSUM chart crosses, by importance sampling: it checks the Markov chain on rare alarms."""

from __future__ import annotations

import math

import numpy as np
from numpy.typing import NDArray

from brookreach.verdict.markov_chain import StepDistribution, mean_and_conjugate_root

EXCURSION_SAMPLES = 2000  # for the mean length of an excursion


def importance_sampled_crossing(
    steps: StepDistribution, threshold: float, outcomes: int, excursions: int, seed: int
) -> tuple[float, float]:
    """Return the probability of crossing within so many outcomes and its standard error, by importance sampling.

    Rare crossings are drawn from steps tilted by the root of `mean_and_conjugate_root`. Each start from 0 restarts the
    tilt, so that the likelihood ratio is taken over the last excursion only, which makes rare alarms cheap to see.

    Args:
        steps: The distribution of one step.
        threshold: The level that counts as a crossing.
        outcomes: How many outcomes the chart gets.
        excursions: How many excursions from 0 are sampled.
        seed: Of the random numbers.
    """
    random = np.random.default_rng(seed)
    mean, root = mean_and_conjugate_root(steps)
    sizes, probabilities = (np.array(part) for part in zip(*steps, strict=True))
    tilted = probabilities * np.exp(root * sizes) if mean < 0.0 and root > 0.0 else probabilities
    tilted = tilted / tilted.sum()
    # By excursion: its likelihood ratio if it crosses before it is back at 0, else 0.
    hits = np.zeros(excursions)
    for excursion in range(excursions):
        level = 0.0
        log_ratio = 0.0
        length = 0
        while length < outcomes:
            step = int(random.choice(len(sizes), p=tilted))
            level = level + sizes[step]
            length += 1
            log_ratio += math.log(probabilities[step] / tilted[step]) if probabilities[step] > 0.0 else 0.0
            if level >= threshold:
                hits[excursion] = math.exp(log_ratio)
                break
            if level <= 0.0:
                break
    # Excursions follow each other as a renewal process: their number is the outcomes over the mean untilted length.
    mean_length = _mean_excursion_length(sizes, probabilities, outcomes, np.random.default_rng(seed + 1))
    count = outcomes / mean_length
    mean_hit = float(hits.mean())
    error = float(hits.std(ddof=1) / math.sqrt(excursions))
    total = 1.0 - (1.0 - min(1.0, mean_hit)) ** count
    return total, count * error * (1.0 - total)


def _mean_excursion_length(
    sizes: NDArray[np.float64],
    probabilities: NDArray[np.float64],
    max_length: int,
    random: np.random.Generator,
) -> float:
    """Return the mean number of outcomes between two visits to 0, by sampling without a tilt."""
    lengths = []
    for _ in range(EXCURSION_SAMPLES):
        level = 0.0
        length = 0
        while length < max_length:
            level = level + sizes[int(random.choice(len(sizes), p=probabilities))]
            length += 1
            if level <= 0.0:
                break
        lengths.append(length)
    return float(np.mean(lengths))

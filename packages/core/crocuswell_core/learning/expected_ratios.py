"""What learned run times let expect of a class of work.

Classes form levels from fine to coarse: what a fine class lacks is supplied by
the next coarser one, and finally by the assumption that estimates are roughly
right.

Apart from the stored times, since agents load the classes that are stored.
"""

import math
from collections.abc import Sequence
from itertools import pairwise

import attrs

from crocuswell_core.learning.run_times import (
    BUCKET_COUNT,
    BUCKETS_PER_OCTAVE,
    MAX_OCTAVES,
    RUN_WEIGHT,
    RatioHistogram,
    RunTimes,
)

# Number of runs whose weight a coarser class has in a finer one.
COARSE_RUNS = 3
# Standard deviation of the logarithm of the ratio before any run is seen, and
# the weight of the ratios far above it.
DECLARED_DEVIATION = 0.5
TAIL_WEIGHT = 0.02

Weights = list[float]

# Logarithms of the ratios between buckets, with the outer ends of the outer
# buckets.
_LOG_EDGES = tuple(
    position * math.log(2) / BUCKETS_PER_OCTAVE - MAX_OCTAVES * math.log(2)
    for position in range(-1, BUCKET_COUNT)
)


def _declared_weights() -> Weights:
    """Return the distribution of ratios for which nothing was learned."""
    weights = []
    for low, high in pairwise(_LOG_EDGES):
        middle = (low + high) / 2
        weight = math.exp(-((middle / DECLARED_DEVIATION) ** 2) / 2)
        if middle > 0:
            weight += TAIL_WEIGHT * math.exp(-2 * middle)
        weights.append(weight)
    total = sum(weights)
    return [weight / total for weight in weights]


DECLARED_WEIGHTS = _declared_weights()


@attrs.frozen
class RatioDistribution:
    """Distribution of the ratio of real to declared time.

    Attributes
    ----------
    weights : list of float
        Probability of each bucket.
    runs : int
        Number of runs that were done and are counted in it.
    """

    weights: Weights
    runs: int = 0

    def quantile(self, share: float) -> float:
        """Return the ratio below which a share of the runs ends."""
        return self._quantile_above(0.0, share)

    def median_remaining(self, worked: float) -> float:
        """Return the median ratio that is left for a run that has lasted."""
        if worked <= 0:
            return self.quantile(0.5)
        return max(0.0, self._quantile_above(worked, 0.5) - worked)

    def _quantile_above(self, floor: float, share: float) -> float:
        """Return a quantile of the ratios that are above a floor."""
        log_floor = math.log(floor) if floor > 0 else _LOG_EDGES[0]
        parts: list[tuple[float, float, float]] = []
        total = 0.0
        for (start, high), weight in zip(
            pairwise(_LOG_EDGES), self.weights, strict=True
        ):
            if high <= log_floor:
                continue
            low = max(start, log_floor)
            above = weight * (high - low) / (high - start)
            parts.append((low, high, above))
            total += above
        if total <= 0:
            # Longer than any run that was seen.
            return floor * 2 ** (1 / BUCKETS_PER_OCTAVE)
        missing = share * total
        for low, high, above in parts:
            if above >= missing:
                return math.exp(low + (high - low) * missing / above)
            missing -= above
        return math.exp(parts[-1][1])


@attrs.frozen
class ExpectedRatio:
    """What is expected of a class for a while, computed once.

    Attributes
    ----------
    until_ms : int
        Time in ms from which on it is computed anew.
    """

    distribution: RatioDistribution
    median: float
    p90: float
    until_ms: int

    @classmethod
    def of(cls, distribution: RatioDistribution, until_ms: int) -> "ExpectedRatio":
        """Return the expectation by a distribution."""
        median, p90 = distribution.quantile(0.5), distribution.quantile(0.9)
        return cls(distribution, median, p90, until_ms)


DECLARED = RatioDistribution(DECLARED_WEIGHTS)


def expected_ratios(times: RunTimes, keys: Sequence[str]) -> RatioDistribution:
    """Return the distribution for work of some classes.

    Parameters
    ----------
    keys : sequence of str
        Classes from the finest to the coarsest.
    """
    found = DECLARED
    for key in reversed(keys):
        histogram = times.classes.get(key)
        if histogram is not None:
            found = _refine(found, histogram)
    return found


def _refine(coarse: RatioDistribution, fine: RatioHistogram) -> RatioDistribution:
    """Return the distribution of a class, given that of a coarser one.

    Weight of censored runs goes to the buckets above theirs, in proportion to
    what is there (the estimator of Kaplan and Meier).
    """
    counts: Weights = [COARSE_RUNS * weight for weight in coarse.weights]
    for bucket, count in fine.done.items():
        counts[bucket] += count / RUN_WEIGHT
    at_risk: float = sum(counts) + sum(fine.censored.values()) / RUN_WEIGHT
    surviving = 1.0
    weights: Weights = []
    for bucket, expected in enumerate(counts):
        share = min(1.0, expected / at_risk) if at_risk > 0 else 1.0
        weights.append(surviving * share)
        surviving *= 1 - share
        at_risk -= expected + fine.censored.get(bucket, 0) / RUN_WEIGHT
    weights[-1] += surviving
    return RatioDistribution(weights, max(coarse.runs, fine.runs))

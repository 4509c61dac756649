"""How long work runs compared with what was declared, learned from its ends.

For each class of work the ratio of real to declared time is kept as a
histogram with logarithmic buckets, for runs that were done and for runs that
ended early and would have lasted longer (censored observations). Classes form
levels from fine to coarse: what a fine class lacks is supplied by the next
coarser one, and finally by the assumption that estimates are roughly right.

Stored values are whole numbers, so that all hosts compute the same ones.
"""

import math
from bisect import bisect_right
from collections.abc import Sequence
from itertools import pairwise

import attrs

# Buckets double every four, from 1/64 of the declared time to 64 times.
BUCKETS_PER_OCTAVE = 4
MAX_OCTAVES = 6
RATIO_UNIT = 1 << 20
_EDGES = tuple(
    round(RATIO_UNIT * 2 ** (position / BUCKETS_PER_OCTAVE))
    for position in range(
        -MAX_OCTAVES * BUCKETS_PER_OCTAVE, MAX_OCTAVES * BUCKETS_PER_OCTAVE + 1
    )
)
BUCKET_COUNT = len(_EDGES) + 1
# Weight of one run in the stored counts.
RUN_WEIGHT = 16
# Counts of a class beyond this many runs fade, so that a class may change.
CLASS_RUNS = 48
FADING_NUMERATOR, FADING_DENOMINATOR = 7, 8
# Number of runs over which the average of a class moves.
MEAN_RUNS = 10
# Maximum number of classes; the one updated longest ago is dropped first.
CLASS_LIMIT = 4_096
# Number of runs whose weight a coarser class has in a finer one.
COARSE_RUNS = 3
# Standard deviation of the logarithm of the ratio before any run is seen, and
# the weight of the ratios far above it.
DECLARED_DEVIATION = 0.5
TAIL_WEIGHT = 0.02

Weights = list[float]


def bucket_of(real_ms: int, declared_ms: int) -> int:
    """Return the bucket of a ratio."""
    return bisect_right(_EDGES, real_ms * RATIO_UNIT // declared_ms)


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


@attrs.define
class RatioHistogram:
    """Ratios of real to declared times of one class of work.

    Attributes
    ----------
    done, censored : dict
        Weight of the runs by bucket; a run is as much as `RUN_WEIGHT`.
    runs : int
        Number of runs that were done.
    mean_ratio : int
        Moving average of their ratios, in parts of `RATIO_UNIT`.
    """

    done: dict[int, int] = attrs.Factory(dict)
    censored: dict[int, int] = attrs.Factory(dict)
    runs: int = 0
    mean_ratio: int = 0

    def mean_ms(self, declared_ms: int) -> int:
        """Return the average time in ms for a declared time."""
        return max(1, (declared_ms * self.mean_ratio + RATIO_UNIT // 2) // RATIO_UNIT)

    def add(self, real_ms: int, declared_ms: int, weight: int, is_done: bool) -> None:
        """Count a run."""
        bucket = bucket_of(real_ms, declared_ms)
        if is_done:
            self.runs += 1
            ratio = real_ms * RATIO_UNIT // declared_ms
            self.mean_ratio += (ratio - self.mean_ratio) // min(self.runs, MEAN_RUNS)
        counts = self.done if is_done else self.censored
        counts[bucket] = counts.get(bucket, 0) + weight
        total = sum(self.done.values()) + sum(self.censored.values())
        if total > CLASS_RUNS * RUN_WEIGHT:
            self.done = _faded(self.done)
            self.censored = _faded(self.censored)


def _faded(counts: dict[int, int]) -> dict[int, int]:
    faded = {
        bucket: count * FADING_NUMERATOR // FADING_DENOMINATOR
        for bucket, count in counts.items()
    }
    return {bucket: count for bucket, count in faded.items() if count}


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


@attrs.define
class RunTimes:
    """Ratios of real to declared times by class of work.

    Attributes
    ----------
    classes : dict
        Histograms by key of the class, in order of the newest run.
    """

    classes: dict[str, RatioHistogram] = attrs.Factory(dict)

    def observe(
        self,
        keys: Sequence[str],
        real_ms: int,
        declared_ms: int,
        is_done: bool,
        weight: int = RUN_WEIGHT,
    ) -> None:
        """Count a run in its classes.

        Parameters
        ----------
        keys : sequence of str
            Classes of the run.
        real_ms : int
            Time in ms for which it ran.
        is_done : bool
            Whether it was done; else it would have lasted longer.
        """
        if declared_ms <= 0 or real_ms < 0:
            return
        for key in keys:
            histogram = self.classes.pop(key, None) or RatioHistogram()
            self.classes[key] = histogram
            histogram.add(real_ms, declared_ms, weight, is_done)
        while len(self.classes) > CLASS_LIMIT:
            del self.classes[next(iter(self.classes))]

    def distribution(self, keys: Sequence[str]) -> RatioDistribution:
        """Return the distribution for work of some classes.

        Parameters
        ----------
        keys : sequence of str
            Classes from the finest to the coarsest.
        """
        found = DECLARED
        for key in reversed(keys):
            histogram = self.classes.get(key)
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

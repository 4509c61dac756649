"""How long work runs compared with what was declared, learned from its ends.

For each class of work the ratio of real to declared time is kept as a
histogram with logarithmic buckets, for runs that were done and for runs that
ended early and would have lasted longer (censored observations).

Stored values are whole numbers, so that all hosts compute the same ones.
"""

from bisect import bisect_right
from collections.abc import Sequence

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


def bucket_of(real_ms: int, declared_ms: int) -> int:
    """Return the bucket of a ratio."""
    return bisect_right(_EDGES, real_ms * RATIO_UNIT // declared_ms)


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

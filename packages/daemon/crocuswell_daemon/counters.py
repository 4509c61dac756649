"""The closed table of metrics, and counters without a metrics library."""

import attrs

from crocuswell_core.effects import Label

PREFIX = "crocuswell_"


@attrs.frozen
class Metric:
    """A known metric.

    Attributes
    ----------
    labels : tuple of str
        Label names in order; their values come from bounded sets.
    buckets : tuple of float
        Upper bounds of a histogram's buckets; empty for a counter.
    """

    help: str
    labels: tuple[str, ...] = ()
    buckets: tuple[float, ...] = ()


MILLISECONDS = (
    *(1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 2_200, 5_000, 10_000),
    *(30_000, 60_000, 300_000, 1_800_000, 3_600_000, 14_400_000, 86_400_000),
)

METRICS: dict[str, Metric] = {}


class UnknownMetricError(Exception):
    """A metric is not in `METRICS` or has other labels there."""


def find_metric(name: str, labels: tuple[Label, ...]) -> Metric:
    """Return the metric's entry in the table.

    Raises
    ------
    UnknownMetricError
        If the name or the label names differ from the table.
    """
    metric = METRICS.get(name)
    if metric is None:
        raise UnknownMetricError(f"{name} is not in the table of metrics")
    names = tuple(label.name for label in labels)
    if names != metric.labels:
        raise UnknownMetricError(f"{name} has labels {names}, not {metric.labels}")
    return metric


class PlainCounters:
    """Counters of an agent; they reach `/metrics` through heartbeats."""

    def __init__(self) -> None:
        self.values: dict[str, int] = {}

    def count(self, name: str, amount: int, labels: tuple[Label, ...]) -> None:
        """Add to a counter; labels are left out."""
        self.values[name] = self.values.get(name, 0) + amount

    def observe(self, name: str, value: float, labels: tuple[Label, ...]) -> None:
        """Count the observation; the value is left out."""
        self.count(name, 1, labels)

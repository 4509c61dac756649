"""Metrics of a process, exposed through `prometheus_client`."""

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from crocuswell_core.runtime.effects import Count, Label
from crocuswell_daemon.counters import (
    METRICS,
    PREFIX,
    Metric,
    UnknownMetricError,
    find_metric,
)

UNKNOWN_METRIC = "unknown_metric_total"
# Bounds memory use: some label values, such as the event names of agents, come
# from other processes.
MAX_LABEL_SETS = 1_000


class Metrics:
    """The counters, histograms and gauges that `counters.METRICS` declares.

    Parameters
    ----------
    registry : CollectorRegistry, optional
        Registry that `/metrics` exposes; a new one by default.
    """

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        self.registry = registry or CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}
        self._gauges: dict[str, Gauge] = {}
        self._label_sets: dict[str, set[tuple[Label, ...]]] = {}
        for name, metric in METRICS.items():
            self._declare(name, metric)
        self._unknown = Counter(
            PREFIX + UNKNOWN_METRIC,
            "Counts with a name, label or number of labels that is not known",
            registry=self.registry,
        )

    def add(self, count: Count) -> None:
        """Add to a counter; thread-safe."""
        self.count(count.counter, count.amount, count.labels)

    def render(self) -> bytes:
        """Return the body of `/metrics`; thread-safe."""
        return generate_latest(self.registry)

    def count(self, name: str, amount: int, labels: tuple[Label, ...]) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None or not self._is_known(name, labels):
            self._unknown.inc()
            return
        values = [label.value for label in labels]
        (counter.labels(*values) if values else counter).inc(amount)

    def observe(self, name: str, value: float, labels: tuple[Label, ...]) -> None:
        """Record a value in a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None or not self._is_known(name, labels):
            self._unknown.inc()
            return
        values = [label.value for label in labels]
        (histogram.labels(*values) if values else histogram).observe(value)

    def set_gauge(self, name: str, value: float, labels: tuple[Label, ...]) -> None:
        """Set a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None or not self._is_known(name, labels):
            self._unknown.inc()
            return
        values = [label.value for label in labels]
        (gauge.labels(*values) if values else gauge).set(value)

    def set_gauge_function(self, name: str, read: Callable[[], float]) -> None:
        """Set the function that gives a gauge's value at each rendering."""
        self._gauges[name].set_function(read)

    def _declare(self, name: str, metric: Metric) -> None:
        if metric.is_gauge:
            self._gauges[name] = Gauge(
                PREFIX + name, metric.help, metric.labels, registry=self.registry
            )
            return
        if metric.buckets:
            self._histograms[name] = Histogram(
                PREFIX + name,
                metric.help,
                metric.labels,
                buckets=metric.buckets,
                registry=self.registry,
            )
            return
        self._counters[name] = Counter(
            PREFIX + name, metric.help, metric.labels, registry=self.registry
        )

    def _is_known(self, name: str, labels: tuple[Label, ...]) -> bool:
        known = self._label_sets.setdefault(name, set())
        if labels in known:
            return True
        # A metric that is not declared must not halt a host; a test detects
        # it beforehand.
        try:
            find_metric(name, labels)
        except UnknownMetricError:
            return False
        if len(known) >= MAX_LABEL_SETS:
            return False
        known.add(labels)
        return True

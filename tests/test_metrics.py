"""Metrics that are lost, misnamed or unbounded."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest
from prometheus_client.parser import text_string_to_metric_families

from crocuswell_core.runtime.effects import Count, Label
from crocuswell_daemon.counters import (
    METRICS,
    PREFIX,
    PlainCounters,
    UnknownMetricError,
    find_metric,
)
from crocuswell_daemon.metrics import MAX_LABEL_SETS, Metrics

PACKAGES = Path(__file__).parent.parent / "packages"


def iter_emitted_metrics() -> Iterator[tuple[str, str]]:
    """Yield the kind and the name of each metric that the packages emit."""
    for path in sorted(PACKAGES.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call):
                continue
            name = getattr(node.func, "id", getattr(node.func, "attr", ""))
            if name in ("Count", "Observe", "SetGauge", "set_gauge_function"):
                assert isinstance(node.args[0], ast.Constant), (path, node.lineno)
                yield name, node.args[0].value


def test_every_emitted_metric_is_in_the_table() -> None:
    """Guards against a metric that `/metrics` does not show."""
    for kind, name in set(iter_emitted_metrics()):
        assert name in METRICS
        assert bool(METRICS[name].buckets) == (kind == "Observe"), name
        assert METRICS[name].is_gauge == (kind in ("SetGauge", "set_gauge_function")), (
            name
        )


def test_the_table_has_no_unused_rows() -> None:
    """Guards against dashboards of a metric that is never emitted."""
    assert {name for _, name in iter_emitted_metrics()} == set(METRICS)


def test_histograms_have_a_unit_in_their_name() -> None:
    """Guards against values without a unit."""
    for name, metric in METRICS.items():
        if metric.buckets:
            assert name.endswith(("_seconds", "_bytes")), name


@pytest.mark.parametrize(
    ("name", "labels"),
    [
        ("unheard_of_total", ()),
        ("retries_total", ()),
        ("retries_total", (Label("request", "r"),)),
        ("retries_total", (Label("workspace", "w"), Label("kind", "k"))),
    ],
)
def test_unknown_metrics_and_labels_are_errors(
    name: str, labels: tuple[Label, ...]
) -> None:
    """Guards against labels that the table does not declare."""
    with pytest.raises(UnknownMetricError):
        find_metric(name, labels)


def values(metrics: Metrics) -> dict[tuple[str, str], float]:
    families = text_string_to_metric_families(metrics.render().decode())
    return {
        (sample.name, ",".join(sorted(sample.labels.values()))): sample.value
        for family in families
        for sample in family.samples
        if not sample.name.endswith("_created")
    }


def test_counters_and_histograms_appear_with_their_labels() -> None:
    """Guards against values under the wrong name or label."""
    metrics = Metrics()
    workspace = Label("workspace", "w")
    metrics.add(Count("retries_total", 2, (workspace,)))
    metrics.count("retries_total", 3, (workspace,))
    metrics.count("http_answers_late", 1, ())
    metrics.observe("request_completion_seconds", 2.1, (workspace,))
    found = values(metrics)
    assert found[PREFIX + "retries_total", "w"] == 5
    assert found[PREFIX + "http_answers_late_total", ""] == 1
    assert found[PREFIX + "request_completion_seconds_sum", "w"] == 2.1
    assert found[PREFIX + "request_completion_seconds_bucket", "2.2,w"] == 1
    assert found[PREFIX + "request_completion_seconds_bucket", "1.0,w"] == 0


def test_an_unknown_metric_is_counted_and_stops_nothing() -> None:
    """Guards against a host that halts because of an undeclared metric."""
    metrics = Metrics()
    metrics.count("unheard_of_total", 1, ())
    metrics.observe("unheard_of_seconds", 1.0, ())
    metrics.observe("retries_total", 1.0, (Label("workspace", "w"),))
    metrics.count("retries_total", 1, (Label("kind", "k"),))
    assert values(metrics)[PREFIX + "unknown_metric_total", ""] == 4


def test_label_values_are_bounded() -> None:
    """Guards against memory that grows with new label values of a sender."""
    metrics = Metrics()
    for number in range(MAX_LABEL_SETS + 10):
        metrics.count("agent_events_total", 1, (Label("event", f"e{number}"),))
    found = values(metrics)
    names = [key for key in found if key[0] == PREFIX + "agent_events_total"]
    assert len(names) == MAX_LABEL_SETS
    assert found[PREFIX + "unknown_metric_total", ""] == 10


def test_gauges_show_the_newest_value() -> None:
    """Guards against a gauge that accumulates or shows an old value."""
    metrics = Metrics()
    metrics.set_gauge("workers", 3, (Label("state", "usable"),))
    metrics.set_gauge("workers", 2, (Label("state", "usable"),))
    metrics.set_gauge("workers", 2, ())
    dropped = [7.0]
    metrics.set_gauge_function("log_lines_dropped", lambda: dropped[0])
    dropped[0] = 9.0
    found = values(metrics)
    assert found["crocuswell_workers", "usable"] == 2
    assert found["crocuswell_log_lines_dropped", ""] == 9
    assert found["crocuswell_unknown_metric_total", ""] == 1


def test_plain_counters_add_up() -> None:
    """Guards against an agent that counts only the last amount."""
    counters = PlainCounters()
    counters.count("a", 2, (Label("x", "y"),))
    counters.count("a", 3, ())
    counters.observe("b", 0.5, ())
    assert counters.values == {"a": 5, "b": 1}


def test_the_page_lists_exactly_the_known_metrics() -> None:
    """Guards against a page that differs from what `/metrics` shows."""
    page = (PACKAGES.parent / "docs" / "metrics.md").read_text(encoding="utf-8")
    rows = [line for line in page.splitlines() if line.startswith("| `")]
    expected = [
        f"| `{name}` | {', '.join(f'`{x}`' for x in metric.labels) or '-'} "
        f"| {metric.help} |"
        for name, metric in sorted(METRICS.items())
    ]
    assert rows == expected

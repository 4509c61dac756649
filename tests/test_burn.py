"""Tests of error-budget burn rates from stored outcomes."""

from typing import Any

import pytest

from crocuswell_cli import burn

HOUR_MS = burn.HOUR_MS
NOW_MS = 100 * HOUR_MS
CONFIGURATION: dict[str, Any] = {
    "objectives": [
        {
            "workspace": "quotes",
            "job_class": "pricing",
            "completion_ms": 1_000,
            "target": 0.9,
        }
    ],
    "workspaces": [{"name": "quotes"}],
}


def request(
    took_ms: int, outcome: str = "completed", ago_ms: int = 0, workspace: str = "quotes"
) -> dict[str, Any]:
    ended_at_ms = NOW_MS - ago_ms
    return {
        "workspace": workspace,
        "job_class": "pricing",
        "accepted_at_ms": ended_at_ms - took_ms,
        "outcome": {"outcome": outcome, "at_ms": ended_at_ms},
    }


@pytest.mark.parametrize(
    ("requests", "rates"),
    [
        ([], [0.0, 0.0, 0.0]),
        ([request(10)] * 9 + [request(2_000)], [1.0, 1.0, 1.0]),
        ([request(10, "failed")], [10.0, 10.0, 10.0]),
        ([request(10), request(9_000, ago_ms=2 * HOUR_MS)], [0.0, 5.0, 5.0]),
        ([request(10), request(9_000, "cancelled")], [0.0, 0.0, 0.0]),
        ([request(9_000, workspace="other")], [0.0, 0.0, 0.0]),
    ],
)
def test_rates_of_a_completion_objective(
    requests: list[dict[str, Any]], rates: list[float]
) -> None:
    """Guards against a report that hides failures or counts cancellations."""
    objective_burn = burn.measure_burn(CONFIGURATION, requests)[0]
    assert [window.rate for window in objective_burn.windows] == pytest.approx(rates)


def test_unknown_outcomes_use_the_budget_of_known_outcomes() -> None:
    requests = [request(10), request(10, "outcome_unknown")]
    objective_burn = burn.measure_burn(CONFIGURATION, requests)[1]
    assert [window.bad for window in objective_burn.windows] == [1, 1, 1]


def test_page_escapes_names_in_declarations() -> None:
    """Guards against script injection through declared names."""
    configuration = {**CONFIGURATION, "workspaces": [{"name": "<b>"}]}
    page = burn.to_html(burn.measure_burn(configuration, []), [])
    assert "<b>" not in page
    assert "&lt;b&gt;" in page

"""Burn rates of error budgets, computed from the outcomes of requests."""

import html
from collections.abc import Iterable, Sequence
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

HOUR_MS = 3_600_000
WINDOWS_MS = {"1h": HOUR_MS, "6h": 6 * HOUR_MS, "24h": 24 * HOUR_MS}
MAX_COMPLETION_MS = 48 * HOUR_MS
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 99)
BAR_WIDTH = 20
# Burn rate of a full bar; a rate of 1 uses the budget up exactly at the end of
# its period.
MAX_BAR_RATE = 10.0


@attrs.frozen
class WindowBurn:
    """Burn rate in one time window.

    Attributes
    ----------
    window : str
        Length of the window, a key of `WINDOWS_MS`.
    total, bad : int
        Number of requests that ended in the window, and of those that missed
        the objective.
    rate : float
        Share of bad requests divided by the share that the target permits.
    """

    window: str
    total: int
    bad: int
    rate: float


@attrs.frozen
class ObjectiveBurn:
    """Burn rates of one objective over all windows.

    Attributes
    ----------
    percentiles_ms : dict
        Completion time in ms by percentile, over all stored outcomes.
    """

    workspace: str
    name: str
    target: float
    windows: tuple[WindowBurn, ...]
    percentiles_ms: dict[int, int]


def measure_burn(
    configuration: dict[str, Any], requests: Sequence[dict[str, Any]]
) -> list[ObjectiveBurn]:
    """Measure all objectives from the stored outcomes of requests.

    Windows end at the time of the newest outcome, so that the report does
    not depend on the local clock.
    """
    ended = [request for request in requests if request["outcome"] is not None]
    now_ms = max((request["outcome"]["at_ms"] for request in ended), default=0)
    objective_burns = [
        _measure_completion(objective, ended, now_ms)
        for objective in configuration["objectives"]
    ]
    for workspace in configuration["workspaces"]:
        objective_burns.append(
            _measure_known_outcomes(workspace["name"], ended, now_ms)
        )
    return objective_burns


def _measure_completion(
    objective: dict[str, Any], ended: Iterable[dict[str, Any]], now_ms: int
) -> ObjectiveBurn:
    counted = [
        request
        for request in ended
        if request["workspace"] == objective["workspace"]
        and request["job_class"] == objective["job_class"]
        and request["outcome"]["outcome"] not in {"cancelled", "not_run"}
    ]
    histogram = HdrHistogram(1, MAX_COMPLETION_MS, SIGNIFICANT_DIGITS)
    for request in counted:
        histogram.record_value(min(max(completion_ms(request), 1), MAX_COMPLETION_MS))
    limit_ms = objective["completion_ms"]
    bad = [
        completion_ms(request) > limit_ms
        or request["outcome"]["outcome"] != "completed"
        for request in counted
    ]
    name = f"{objective['job_class']} within {limit_ms} ms"
    windows = _measure_windows(counted, bad, objective["target"], now_ms)
    percentiles = {
        percentile: int(histogram.get_value_at_percentile(percentile))
        for percentile in PERCENTILES
    }
    return ObjectiveBurn(
        objective["workspace"], name, objective["target"], windows, percentiles
    )


def _measure_known_outcomes(
    workspace: str, ended: Iterable[dict[str, Any]], now_ms: int
) -> ObjectiveBurn:
    counted = [request for request in ended if request["workspace"] == workspace]
    bad = [request["outcome"]["outcome"] == "outcome_unknown" for request in counted]
    target = 0.999
    windows = _measure_windows(counted, bad, target, now_ms)
    return ObjectiveBurn(workspace, "known outcomes", target, windows, {})


def completion_ms(request: dict[str, Any]) -> int:
    """Return the time in ms from acceptance to outcome."""
    return int(request["outcome"]["at_ms"] - request["accepted_at_ms"])


def _measure_windows(
    requests: Sequence[dict[str, Any]],
    bad: Sequence[bool],
    target: float,
    now_ms: int,
) -> tuple[WindowBurn, ...]:
    burns = []
    for window, length_ms in WINDOWS_MS.items():
        recent = [
            is_bad
            for request, is_bad in zip(requests, bad, strict=True)
            if now_ms - request["outcome"]["at_ms"] <= length_ms
        ]
        share = sum(recent) / len(recent) if recent else 0.0
        rate = share / (1 - target)
        burns.append(WindowBurn(window, len(recent), sum(recent), rate))
    return tuple(burns)


# --- output formats --------------------------------------------------------


def to_document(objective_burns: Sequence[ObjectiveBurn]) -> list[dict[str, Any]]:
    """Return the report as a JSON document."""
    return [attrs.asdict(burn) for burn in objective_burns]


def to_text(objective_burns: Sequence[ObjectiveBurn]) -> str:
    """Return the report as text with a bar for each window."""
    lines = []
    for burn in objective_burns:
        lines.append(f"{burn.workspace}: {burn.name}, target {burn.target:.1%}")
        if burn.percentiles_ms and burn.windows[-1].total:
            shown = (f"p{p} {ms} ms" for p, ms in burn.percentiles_ms.items())
            lines.append(f"  completion: {', '.join(shown)}")
        lines += [
            f"  {w.window:>4} {_bar(w.rate)} {w.rate:6.2f}x  {w.bad} of {w.total} bad"
            for w in burn.windows
        ]
    return "\n".join(lines)


def _bar(rate: float) -> str:
    filled = min(BAR_WIDTH, round(rate / MAX_BAR_RATE * BAR_WIDTH))
    return "[" + "#" * filled + "." * (BAR_WIDTH - filled) + "]"


def to_html(
    objective_burns: Sequence[ObjectiveBurn], fleet: Sequence[dict[str, Any]]
) -> str:
    """Return the report as a self-contained HTML page with all racks."""
    objectives = "\n".join(map(_objective_section, objective_burns))
    racks = "\n".join(
        _rack_section(name, rack_workers)
        for name, rack_workers in _group_by_rack(fleet).items()
    )
    return PAGE_TEMPLATE.format(objectives=objectives, racks=racks)


def _objective_section(burn: ObjectiveBurn) -> str:
    bars = "".join(
        f'<text x="0" y="{y + 13}">{w.window}</text>'
        f'<rect x="40" y="{y}" width="{_bar_width(w.rate)}" height="16" '
        f'class="{"over" if w.rate > 1 else "under"}"/>'
        f'<text x="{_label_x(w.rate)}" y="{y + 13}">{w.rate:.2f}x '
        f"({w.bad} of {w.total} bad)</text>"
        for w, y in zip(burn.windows, range(0, 90, 24), strict=False)
    )
    percentiles = ", ".join(f"p{p} {ms} ms" for p, ms in burn.percentiles_ms.items())
    title = html.escape(f"{burn.workspace}: {burn.name}, target {burn.target:.1%}")
    limit = 40 + _bar_width(1.0)
    return (
        f"<section><h3>{title}</h3><p>{percentiles}</p>"
        f'<svg width="460" height="72"><line x1="{limit}" x2="{limit}" y1="0" '
        f'y2="72" class="limit"/>{bars}</svg></section>'
    )


def _bar_width(rate: float) -> int:
    return round(min(rate, MAX_BAR_RATE) / MAX_BAR_RATE * 260) + 1


def _label_x(rate: float) -> int:
    # To the right of both the bar and the line that marks a rate of 1.
    return max(_bar_width(rate), _bar_width(1.0)) + 46


def _group_by_rack(fleet: Sequence[dict[str, Any]]) -> dict[str, list[dict[str, Any]]]:
    racks: dict[str, list[dict[str, Any]]] = {}
    for worker in fleet:
        name = f"{worker['failure_domain']} / {worker['rack']}"
        racks.setdefault(name, []).append(worker)
    return racks


def _rack_section(name: str, workers: Sequence[dict[str, Any]]) -> str:
    rows = "".join(
        f"<tr><th>{html.escape(worker['worker'])}</th><td>{_cells(worker)}</td>"
        f"<td>{html.escape(' '.join(worker['attempts']))}</td></tr>"
        for worker in workers
    )
    return f"<section><h3>{html.escape(name)}</h3><table>{rows}</table></section>"


def _cells(worker: dict[str, Any]) -> str:
    free = worker["free"]["accelerators"]
    total = worker["capacity"]["accelerators"]
    # Only a completely free worker can hold the largest gang member.
    kind = "whole" if free == total else "part"
    return "".join(
        f'<span class="cell {"used" if i < total - free else kind}"></span>'
        for i in range(total)
    )


PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>crocuswell: burn</title>
<style>
body {{ font: 14px sans-serif; margin: 24px; color: #222; }}
main {{ display: grid; grid-template-columns: repeat(auto-fill, 480px); gap: 12px; }}
section {{ border: 1px solid #ddd; padding: 8px 12px; }}
h3 {{ font-size: 14px; margin: 4px 0; }} p {{ margin: 4px 0; color: #666; }}
svg text {{ font: 12px sans-serif; }}
.under {{ fill: #4a8f5c; }} .over {{ fill: #c0453b; }} .limit {{ stroke: #999; }}
.cell {{ display: inline-block; width: 14px; height: 14px; margin: 1px; }}
.used {{ background: #37618e; }} .part {{ background: #f0d9a8; }}
.whole {{ background: #d5e8d4; }}
th {{ text-align: left; font-weight: normal; }}
</style></head><body>
<h1>Error budget burn rates</h1>
<p>A rate above 1 (the grey line) uses the budget up before its period ends.</p>
<main>{objectives}</main>
<h1>Racks</h1>
<p><span class="cell used"></span> in use <span class="cell whole"></span> free on
an idle worker, which can hold a gang member
<span class="cell part"></span> free on a worker with other work</p>
<main>{racks}</main>
</body></html>
"""

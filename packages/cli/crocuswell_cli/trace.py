"""Builds the timeline of an id from the logs of any number of processes."""

import json
from collections.abc import Iterable
from typing import Any

import attrs

# Metadata of a line, as opposed to its content; not searched for ids.
COMMON_FIELDS = ("time", "level", "event", "process", "log_term", "log_index")
# Final events of a job, a call, a worker or a catalog.
SETTLING_EVENTS = frozenset(
    {
        "job_ended",
        "call_refused",
        "call_given_up",
        "catalog_refused",
        "catalog_replaced",
        "worker_lost",
    }
)


@attrs.frozen
class TraceLine:
    """One log line about an id.

    Attributes
    ----------
    time : float
        Time in s by the clock of the writing host.
    place : tuple of int or None
        Term and index of the replicated log entry that caused the line.
    settles : bool
        Whether it is the newest line with a final event.
    """

    time: float
    process: str
    event: str
    fields: dict[str, Any]
    place: tuple[int, int] | None = None
    settles: bool = False


def parse_line(text: str) -> dict[str, Any] | None:
    """Parse the JSON object in a line, ignoring any prefix."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(document, dict) or "event" not in document:
        return None
    return document


def mentions(document: dict[str, Any], wanted_id: str) -> bool:
    """Return whether a log line is about an id.

    A job's id also matches its tasks, and a worker's id its boots.
    """
    for key, value in document.items():
        if key in COMMON_FIELDS or not isinstance(value, str):
            continue
        if value == wanted_id or value.startswith(f"{wanted_id}."):
            return True
        if key == "worker" and wanted_id in value.replace("@", "/").split("/"):
            return True
    return False


def build_trace(lines: Iterable[str], wanted_id: str) -> list[TraceLine]:
    """Return the lines about an id, causes before their effects.

    Because the clocks of hosts differ, lines caused by entries of the
    replicated log are ordered by term and index; the others are inserted by
    time.
    """
    trace_lines = [
        _to_trace_line(document)
        for text in lines
        if (document := parse_line(text)) is not None and mentions(document, wanted_id)
    ]
    trace_lines.sort(key=lambda line: line.time)
    log_entry_lines = sorted(
        (line for line in trace_lines if line.place is not None),
        key=lambda line: line.place or (0, 0),
    )
    corrected_times: dict[int, float] = {}
    latest_time = 0.0
    for line in log_entry_lines:
        latest_time = max(latest_time, line.time)
        corrected_times[id(line)] = latest_time
    trace_lines.sort(
        key=lambda line: (corrected_times.get(id(line), line.time), line.place or ())
    )
    return _mark_settling_line(trace_lines)


def _to_trace_line(document: dict[str, Any]) -> TraceLine:
    place = None
    if "log_index" in document:
        place = (int(document.get("log_term", 0)), int(document["log_index"]))
    return TraceLine(
        time=float(document.get("time", 0.0)),
        process=str(document.get("process", "")),
        event=str(document["event"]),
        fields={k: v for k, v in document.items() if k not in COMMON_FIELDS},
        place=place,
    )


def _mark_settling_line(trace_lines: list[TraceLine]) -> list[TraceLine]:
    """Mark the newest line with a final event."""
    for index in range(len(trace_lines) - 1, -1, -1):
        if trace_lines[index].event in SETTLING_EVENTS:
            trace_lines[index] = attrs.evolve(trace_lines[index], settles=True)
            break
    return trace_lines


def render_trace(trace_lines: list[TraceLine]) -> str:
    """Return a trace as text; the marked line starts with `>`."""
    if not trace_lines:
        return "no line names this id"
    start_time = trace_lines[0].time
    return "\n".join(_render_line(line, start_time) for line in trace_lines)


def _render_line(line: TraceLine, start_time: float) -> str:
    mark = ">" if line.settles else " "
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    elapsed = f"{line.time - start_time:+9.3f} s"
    return f"{mark} {elapsed}  {line.process:<28} {line.event:<20} {fields}".rstrip()

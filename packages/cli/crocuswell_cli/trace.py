"""One timeline of an id from the logs of any number of processes; pure."""

import json
from collections.abc import Iterable
from typing import Any

import attrs

# Fields that tell when and where a line was written, not what it says.
COMMON_FIELDS = ("time", "level", "event", "process", "log_term", "log_index")
# Events that settle what became of a job, a call, a run or a catalog.
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
    place : tuple of int or None
        Term and index of the log entry that made it.
    settles : bool
        Whether it tells what became of the id.
    """

    time: float
    process: str
    event: str
    fields: dict[str, Any]
    place: tuple[int, int] | None = None
    settles: bool = False


def parse_line(text: str) -> dict[str, Any] | None:
    """Return the JSON object in a line, after whatever stands before it."""
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


def names(document: dict[str, Any], wanted: str) -> bool:
    """Tell whether a line is about an id.

    A job's id also selects its tasks, and a worker's id its boots.
    """
    for key, value in document.items():
        if key in COMMON_FIELDS or not isinstance(value, str):
            continue
        if value == wanted or value.startswith(f"{wanted}."):
            return True
        if key == "worker" and wanted in value.replace("@", "/").split("/"):
            return True
    return False


def build_trace(lines: Iterable[str], wanted: str) -> list[TraceLine]:
    """Return the lines about an id, causes before their effects.

    Clocks of hosts differ, so lines that come from log entries are ordered
    by their place in the log, and the others by time among them.
    """
    found = [
        _to_line(document)
        for text in lines
        if (document := parse_line(text)) is not None and names(document, wanted)
    ]
    found.sort(key=lambda line: line.time)
    placed = sorted(
        (line for line in found if line.place is not None),
        key=lambda line: line.place or (0, 0),
    )
    corrected: dict[int, float] = {}
    newest = 0.0
    for line in placed:
        newest = max(newest, line.time)
        corrected[id(line)] = newest
    found.sort(key=lambda line: (corrected.get(id(line), line.time), line.place or ()))
    return _mark_last(found)


def _to_line(document: dict[str, Any]) -> TraceLine:
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


def _mark_last(found: list[TraceLine]) -> list[TraceLine]:
    """Mark the newest line that settles what became of the id."""
    for index in range(len(found) - 1, -1, -1):
        if found[index].event in SETTLING_EVENTS:
            found[index] = attrs.evolve(found[index], settles=True)
            break
    return found


def render_trace(found: list[TraceLine]) -> str:
    """Return a trace for people; the settling line starts with `>`."""
    if not found:
        return "no line names this id"
    start = found[0].time
    return "\n".join(_render_line(line, start) for line in found)


def _render_line(line: TraceLine, start: float) -> str:
    mark = ">" if line.settles else " "
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    seconds = f"{line.time - start:+9.3f} s"
    return f"{mark} {seconds}  {line.process:<28} {line.event:<20} {fields}".rstrip()

"""Formats API replies as text: tables, lists and single objects."""

import datetime
from collections.abc import Sequence
from typing import Any

MS_PER_SECOND = 1_000


def format_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return rows in aligned columns under a header."""
    cells = [[name.upper() for name in columns]]
    cells += [[_format_cell(value) for value in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    lines = [
        "  ".join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def _format_cell(value: Any) -> str:
    return "-" if value in (None, "") else str(value)


def format_time(at_ms: int | None) -> str:
    """Return a time since the epoch in ms as UTC text."""
    if not at_ms:
        return "-"
    utc_time = datetime.datetime.fromtimestamp(at_ms / MS_PER_SECOND, datetime.UTC)
    return utc_time.strftime("%Y-%m-%d %H:%M:%S")


def format_requests(requests: Sequence[dict[str, Any]]) -> str:
    """Return requests as a table."""
    rows = []
    for request in requests:
        outcome = request["outcome"] or {}
        rows.append(
            [
                request["id"],
                request["workspace"],
                request["job_class"],
                outcome.get("outcome") or request["phase"],
                request["attempts_made"],
                format_time(request["accepted_at_ms"]),
                outcome.get("detail"),
            ]
        )
    columns = ("id", "workspace", "class", "state", "attempts", "accepted", "detail")
    return format_table(columns, rows)


def format_workers(workers: Sequence[dict[str, Any]]) -> str:
    """Return workers as a table."""
    rows = [
        [
            worker["worker"],
            worker["failure_domain"],
            worker["rack"],
            worker_state(worker),
            f"{worker['free']['accelerators']}/{worker['capacity']['accelerators']}",
            f"{worker['free']['processors']}/{worker['capacity']['processors']}",
            " ".join(worker["attempts"]),
        ]
        for worker in workers
    ]
    columns = (
        "worker",
        "domain",
        "rack",
        "state",
        "free accel.",
        "free proc.",
        "attempts",
    )
    return format_table(columns, rows)


def worker_state(worker: dict[str, Any]) -> str:
    """Return the state of a worker as one word."""
    if worker["mode"] != "active":
        return str(worker["mode"])
    if worker["draining"]:
        return "draining"
    return str(worker["operator_mode"])


def format_evacuation(reply: dict[str, Any]) -> str:
    """Return the answer to an order on a failure domain."""
    state = "evacuated" if reply["is_evacuated"] else "in service"
    return f"{reply['failure_domain']}: {state}"


def format_evacuations(evacuations: Sequence[dict[str, Any]]) -> str:
    """Return evacuated failure domains as a table."""
    rows = [
        [
            evacuation["failure_domain"],
            format_time(evacuation["started_at_ms"]),
            evacuation["author"],
            evacuation["workers"],
            evacuation["attempts"],
        ]
        for evacuation in evacuations
    ]
    return format_table(("domain", "since", "author", "workers", "attempts"), rows)


def format_explanation(document: dict[str, Any]) -> str:
    """Return as text why a request waits or where it was placed."""
    request = document["request"]
    lines = [f"request {request['id']} of {request['workspace']}: {request['phase']}"]
    if document["waiting_for"]:
        lines.append(f"waits for: {document['waiting_for']}")
    if document["expected_start_ms"]:
        lines.append(f"expected start: {format_time(document['expected_start_ms'])}")
    if document["attempt"]:
        attempt = document["attempt"]
        lines.append(f"attempt {attempt['id']}: {attempt['phase']}")
        lines += [
            f"  rank {m['rank']} on {m['worker']}, accelerators "
            f"{m['accelerators']}, {m['phase']}"
            for m in attempt["members"]
        ]
    if document["displaced"]:
        lines.append(f"displaced: {', '.join(document['displaced'])}")
    return "\n".join(lines)


def format_history(changes: Sequence[dict[str, Any]]) -> str:
    """Return configuration changes as a table."""
    rows = [
        [
            change["number"],
            format_time(change["at_ms"]),
            change["author"],
            change["configuration"]["active_preset"],
            change["note"],
        ]
        for change in changes
    ]
    return format_table(("number", "accepted", "author", "preset", "note"), rows)


def format_members(document: dict[str, Any]) -> str:
    """Return the control group as a table."""
    rows = [
        [
            host["id"],
            host["failure_domain"],
            host["address"],
            "voter" if host["id"] in document["voters"] else "learner",
            "leader" if host["id"] == document["leader"] else "",
        ]
        for host in document["hosts"]
    ]
    heading = f"term {document['term']}, commit index {document['commit_index']}"
    return (
        f"{heading}\n"
        f"{format_table(('host', 'domain', 'address', 'vote', 'role'), rows)}"
    )


def format_forecasts(document: dict[str, Any]) -> str:
    """Return learned run times and speeds as two tables."""
    run_times = [
        [
            learned["class_key"],
            learned["runs"],
            f"{learned['median_ratio']:.2f}",
            f"{learned['p90_ratio']:.2f}",
        ]
        for learned in document["run_times"]
    ]
    workers = [
        [
            worker["machine"],
            f"{worker['slowdown']:.2f}",
            "yes" if worker["is_known"] else "no",
        ]
        for worker in document["workers"]
    ]
    columns = ("class", "runs", "median", "p90")
    return (
        f"{format_table(columns, run_times)}\n\n"
        f"{format_table(('machine', 'slowdown', 'known'), workers)}"
    )

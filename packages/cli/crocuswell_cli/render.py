"""Replies as text for people: tables, lists and single objects."""

import datetime
from collections.abc import Sequence
from typing import Any

MS_PER_SECOND = 1_000


def table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return rows in aligned columns under a header."""
    cells = [[name.upper() for name in columns]]
    cells += [[_cell(value) for value in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    lines = [
        "  ".join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def _cell(value: Any) -> str:
    return "-" if value in (None, "") else str(value)


def moment(at_ms: int | None) -> str:
    """Return a time since the epoch in ms as UTC text."""
    if not at_ms:
        return "-"
    when = datetime.datetime.fromtimestamp(at_ms / MS_PER_SECOND, datetime.UTC)
    return when.strftime("%Y-%m-%d %H:%M:%S")


def request_rows(requests: Sequence[dict[str, Any]]) -> str:
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
                moment(request["accepted_at_ms"]),
                outcome.get("detail"),
            ]
        )
    columns = ("id", "workspace", "class", "state", "attempts", "accepted", "detail")
    return table(columns, rows)


def worker_rows(workers: Sequence[dict[str, Any]]) -> str:
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
    return table(columns, rows)


def worker_state(worker: dict[str, Any]) -> str:
    """Return the one word that says whether a worker takes work."""
    if worker["mode"] != "active":
        return str(worker["mode"])
    if worker["draining"]:
        return "draining"
    return str(worker["operator_mode"])


def explanation(document: dict[str, Any]) -> str:
    """Return why a request waits or where it was placed."""
    request = document["request"]
    lines = [f"request {request['id']} of {request['workspace']}: {request['phase']}"]
    if document["waiting_for"]:
        lines.append(f"waits for: {document['waiting_for']}")
    if document["expected_start_ms"]:
        lines.append(f"expected start: {moment(document['expected_start_ms'])}")
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


def history_rows(changes: Sequence[dict[str, Any]]) -> str:
    """Return configuration changes as a table."""
    rows = [
        [
            change["number"],
            moment(change["at_ms"]),
            change["author"],
            change["configuration"]["active_preset"],
            change["note"],
        ]
        for change in changes
    ]
    return table(("number", "accepted", "author", "preset", "note"), rows)


def member_rows(document: dict[str, Any]) -> str:
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
    return f"{heading}\n{table(('host', 'domain', 'address', 'vote', 'role'), rows)}"

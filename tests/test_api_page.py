"""Guards docs/api.md against examples and tables that do not hold."""

import json
import shlex
from pathlib import Path
from urllib.parse import urlsplit

import attrs
import pytest
from result import is_ok

from crocuswell_core.runtime.errors import PROMISES, ErrorKind
from crocuswell_daemon.http_calls import ROUTES, Route, parse_exchange
from crocuswell_daemon.http_messages import HttpRequest
from crocuswell_daemon.problems import STATUS
from tests.http_fake import CONFIGURATION_JSON

PAGE = (Path(__file__).parent.parent / "docs" / "api.md").read_text()
LINES = [line for line in PAGE.splitlines() if line.startswith("curl ")]
PLATFORM = {"/healthz", "/readyz", "/metrics"}
FIELDS = {
    "idempotency-key": "idempotency_key",
    "if-match": "if_match",
    "x-author": "author",
    "x-note": "note",
}


def read_line(line: str) -> HttpRequest:
    """Read a `curl` line as the request that it makes."""
    words = iter(shlex.split(line)[1:])
    request = HttpRequest("GET", "")
    for word in words:
        if word == "-X":
            request = attrs.evolve(request, method=next(words))
        elif word == "-H":
            name, _, value = next(words).partition(": ")
            request = attrs.evolve(request, **{FIELDS[name.lower()]: value})
        elif word == "-d":
            text = next(words)
            is_file = text == "@configuration.json"
            body = json.dumps(CONFIGURATION_JSON) if is_file else text
            request = attrs.evolve(request, body=body.encode())
        elif word == "-o":
            next(words)
        elif word != "-i":
            url = urlsplit(word)
            request = attrs.evolve(request, path=url.path, query=url.query)
    return request


@pytest.mark.parametrize("line", LINES)
def test_example(line: str) -> None:
    """Guards against an example that is refused."""
    request = read_line(line)
    assert request.path in PLATFORM or is_ok(parse_exchange(request))


@pytest.mark.parametrize("route", ROUTES, ids=lambda r: f"{r.method} {r.template}")
def test_endpoint_is_described(route: Route) -> None:
    """Guards against an endpoint without a description or an example."""
    assert f"`{route.method} {route.template}" in PAGE
    requests = [read_line(line) for line in LINES]
    assert any(
        request.method == route.method
        and route.names(request.path.split("/")[1:]) is not None
        for request in requests
    )


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_kind_is_described(kind: ErrorKind) -> None:
    """Guards against a table of kinds that promises something else."""
    row = next(
        line for line in PAGE.splitlines() if line.startswith(f"| `{kind.value}`")
    )
    cells = [cell.strip() for cell in row.split("|")]
    promise = PROMISES[kind]
    answers = {"yes": True, "no": False}
    assert cells[2] == str(STATUS[kind].value)
    assert answers[cells[4]] is promise.not_run
    assert answers[cells[5]] is promise.resend

"""Checks the examples and tables in docs/api.md against the code."""

import json
import shlex
from pathlib import Path
from urllib.parse import urlsplit

import attrs
import pytest
from result import is_ok

from crocuswell_core.runtime.errors import ERROR_CONTRACTS, ErrorKind
from crocuswell_daemon.http_calls import ROUTES, Route, parse_operation
from crocuswell_daemon.http_messages import HttpRequest
from crocuswell_daemon.problems import STATUS_BY_ERROR_KIND
from tests.http_fake import CONFIGURATION_JSON

API_PAGE = (Path(__file__).parent.parent / "docs" / "api.md").read_text()
CURL_LINES = [line for line in API_PAGE.splitlines() if line.startswith("curl ")]
PROBE_PATHS = {"/healthz", "/readyz", "/metrics"}
FIELD_BY_HEADER = {
    "idempotency-key": "idempotency_key",
    "if-match": "if_match",
    "x-author": "author",
    "x-note": "note",
}


def parse_curl(line: str) -> HttpRequest:
    """Parse a `curl` command line into the request it makes."""
    words = iter(shlex.split(line)[1:])
    request = HttpRequest("GET", "")
    for word in words:
        if word == "-X":
            request = attrs.evolve(request, method=next(words))
        elif word == "-H":
            name, _, value = next(words).partition(": ")
            request = attrs.evolve(request, **{FIELD_BY_HEADER[name.lower()]: value})
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


@pytest.mark.parametrize("line", CURL_LINES)
def test_example(line: str) -> None:
    """Guards against an example request that the API rejects."""
    request = parse_curl(line)
    assert request.path in PROBE_PATHS or is_ok(parse_operation(request))


@pytest.mark.parametrize("route", ROUTES, ids=lambda r: f"{r.method} {r.template}")
def test_endpoint_is_described(route: Route) -> None:
    """Guards against an endpoint without a description or example."""
    assert f"`{route.method} {route.template}" in API_PAGE
    requests = [parse_curl(line) for line in CURL_LINES]
    assert any(
        request.method == route.method
        and route.match(request.path.split("/")[1:]) is not None
        for request in requests
    )


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_kind_is_described(kind: ErrorKind) -> None:
    """Guards against a table of error kinds that differs from the code."""
    row = next(
        line for line in API_PAGE.splitlines() if line.startswith(f"| `{kind.value}`")
    )
    cells = [cell.strip() for cell in row.split("|")]
    contract = ERROR_CONTRACTS[kind]
    answers = {"yes": True, "no": False}
    assert cells[2] == str(STATUS_BY_ERROR_KIND[kind].value)
    assert answers[cells[4]] is contract.not_run
    assert answers[cells[5]] is contract.resend

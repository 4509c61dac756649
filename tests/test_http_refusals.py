"""Tests that the HTTP API refuses invalid requests with useful details."""

from typing import Any

import attrs
import pytest

from tests.http_fake import (
    CONFIGURATION_JSON,
    IF_MATCH,
    KEY,
    OPERATOR,
    REQUESTS_PATH,
    FakeLoop,
    fetch,
)


@attrs.frozen
class Refusal:
    name: str
    method: str
    path: str
    body: Any
    headers: dict[str, str]
    status: int
    detail: str


REFUSALS = [
    Refusal(
        "no key",
        "POST",
        REQUESTS_PATH,
        {"shape": {}},
        {},
        400,
        "Idempotency-Key: found nothing",
    ),
    Refusal(
        "long key",
        "POST",
        REQUESTS_PATH,
        {"shape": {}},
        {"Idempotency-Key": "k" * 201},
        400,
        "Id",
    ),
    Refusal(
        "bad JSON",
        "POST",
        REQUESTS_PATH,
        b'{"shape":',
        KEY,
        400,
        "body: found no valid JSON",
    ),
    Refusal(
        "no UTF-8",
        "POST",
        REQUESTS_PATH,
        b"\xff",
        KEY,
        400,
        "body: found no valid JSON",
    ),
    Refusal(
        "NaN",
        "POST",
        REQUESTS_PATH,
        b'{"shape": NaN}',
        KEY,
        400,
        "body: found no valid JSON",
    ),
    Refusal(
        "deep",
        "POST",
        REQUESTS_PATH,
        b"[" * 200_000,
        KEY,
        400,
        "body: found no valid JSON",
    ),
    Refusal(
        "double",
        "POST",
        REQUESTS_PATH,
        b'{"shape":{},"shape":{}}',
        KEY,
        400,
        "body: found no",
    ),
    Refusal("empty", "POST", REQUESTS_PATH, b"", KEY, 400, "body: found no valid JSON"),
    Refusal(
        "list",
        "POST",
        REQUESTS_PATH,
        [],
        KEY,
        400,
        "body: found [], expected an object",
    ),
    Refusal("no shape", "POST", REQUESTS_PATH, {}, KEY, 400, "shape: found nothing"),
    Refusal(
        "unknown key",
        "POST",
        REQUESTS_PATH,
        {"shape": {"member": 2}},
        KEY,
        400,
        'shape: found unknown key "member", expected keys among adjacency, members, ',
    ),
    Refusal(
        "text for a number",
        "POST",
        REQUESTS_PATH,
        {"shape": {"members": "2"}},
        KEY,
        400,
        'shape.members: found "2", expected an integer',
    ),
    Refusal(
        "no members",
        "POST",
        REQUESTS_PATH,
        {"shape": {"members": 0}},
        KEY,
        400,
        "shape.members: found 0, expected a number from 1",
    ),
    Refusal(
        "true for a number",
        "POST",
        REQUESTS_PATH,
        {"shape": {"per_member": {"accelerators": True}}},
        KEY,
        400,
        "shape.per_member.accelerators: found true, expected an integer",
    ),
    Refusal(
        "too large a number",
        "POST",
        REQUESTS_PATH,
        {"shape": {}, "run_time_ms": 2**64},
        KEY,
        400,
        "run_time_ms: found 18446744073709551616, expected an integer",
    ),
    Refusal(
        "adjacency",
        "POST",
        REQUESTS_PATH,
        {"shape": {"adjacency": "row"}},
        KEY,
        400,
        'shape.adjacency: found "row", expected one of none, worker, rack, ',
    ),
    Refusal(
        "payload",
        "POST",
        REQUESTS_PATH,
        {"shape": {}, "payload": "%"},
        KEY,
        400,
        'payload: found "%", expected text in base64',
    ),
    Refusal(
        "half a character",
        "POST",
        REQUESTS_PATH,
        b'{"shape": {}, "job_class": "\\ud800"}',
        KEY,
        400,
        'job_class: found "\\ud800", expected text in valid Unicode',
    ),
    Refusal(
        "wait",
        "POST",
        REQUESTS_PATH + "?wait_ms=25001",
        {"shape": {}},
        KEY,
        400,
        "wait_ms: found",
    ),
    Refusal(
        "wait",
        "GET",
        "/v1/requests/r1?wait_ms=-1",
        None,
        {},
        400,
        "wait_ms: found '-1'",
    ),
    Refusal(
        "none", "GET", REQUESTS_PATH + "?limit=0", None, {}, 400, "limit: found '0'"
    ),
    Refusal(
        "limit",
        "GET",
        REQUESTS_PATH + "?limit=1001",
        None,
        {},
        400,
        "limit: found '1001'",
    ),
    Refusal(
        "query",
        "GET",
        REQUESTS_PATH + "?wait=1",
        None,
        {},
        400,
        "query: found unknown 'wait'",
    ),
    Refusal(
        "colon",
        "GET",
        "/v1/workspaces/a:b/requests",
        None,
        {},
        400,
        "path: found 'a:b'",
    ),
    Refusal("bytes", "GET", "/v1/requests/%ff", None, {}, 400, "path: found bytes"),
    Refusal("no name", "GET", "/v1/requests/", None, {}, 400, "path: found ''"),
    Refusal(
        "no selection",
        "POST",
        "/v1/workspaces/tisk/cancel",
        {},
        KEY,
        400,
        "body: expected either request_ids or job_class",
    ),
    Refusal(
        "no number",
        "PUT",
        "/v1/configuration",
        CONFIGURATION_JSON,
        OPERATOR,
        428,
        "If-Match: found nothing",
    ),
    Refusal(
        "unquoted number",
        "PUT",
        "/v1/configuration",
        CONFIGURATION_JSON,
        OPERATOR | {"If-Match": "6"},
        400,
        "If-Match: found '6', expected the quoted number",
    ),
    Refusal(
        "preset without number",
        "POST",
        "/v1/preset",
        {"preset": "peak"},
        OPERATOR,
        428,
        "If-Match: found nothing",
    ),
    Refusal(
        "no author",
        "POST",
        "/v1/preset",
        {"preset": "peak"},
        KEY | {"If-Match": '"6"'},
        400,
        "X-Author: found nothing",
    ),
    Refusal(
        "share",
        "PUT",
        "/v1/configuration",
        {"workspaces": [], "presets": [{"name": "p", "reserve_share": 2}]},
        IF_MATCH,
        400,
        "presets[0].reserve_share: found 2.0, expected a number from 0 to 1",
    ),
    Refusal(
        "guarantee",
        "PUT",
        "/v1/configuration",
        {"workspaces": [{"name": "a"}, {"name": "b", "guarantees": [{"members": -1}]}]},
        IF_MATCH,
        400,
        "workspaces[1].guarantees[0].members: found -1, expected an integer",
    ),
    Refusal(
        "silent",
        "POST",
        "/v1/workers/w1/mode",
        {"mode": "silent"},
        OPERATOR,
        400,
        'mode: found "silent", expected one of active, draining, quarantined',
    ),
    Refusal("path", "GET", "/v1/nothing", None, {}, 404, "no such path: /v1/nothing"),
    Refusal(
        "method", "DELETE", "/v1/requests/r1", None, {}, 405, "method: found DELETE"
    ),
]


@pytest.mark.parametrize("refusal", REFUSALS, ids=lambda refusal: refusal.name)
def test_refusal(loop: FakeLoop, refusal: Refusal) -> None:
    """Guards against accepting invalid input, or an unspecific error."""
    response = fetch(loop, refusal.method, refusal.path, refusal.body, refusal.headers)
    assert response.status == refusal.status
    assert response.headers["Content-Type"] == "application/problem+json"
    assert response.json()["detail"].startswith(refusal.detail)
    assert loop.calls == []
    assert loop.events.empty()


def test_allow_names_the_methods(loop: FakeLoop) -> None:
    """Guards against a 405 response without the allowed methods."""
    response = fetch(loop, "PATCH", "/v1/configuration")
    assert response.headers["Allow"] == "GET, PUT"

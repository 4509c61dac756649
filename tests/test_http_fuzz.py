"""Fuzz tests of the HTTP request parsers.

Every input must give either a problem or a call that msgpack can encode, as
the replicated log requires.
"""

import json
from typing import Any

import cattrs
import msgpack
import pytest
from hypothesis import HealthCheck, given, settings, strategies as st
from result import Result, is_err

from crocuswell_daemon.http_bodies import (
    parse_cancel,
    parse_configuration,
    parse_job,
    parse_mode,
    parse_preset,
)
from crocuswell_daemon.http_calls import parse_operation
from crocuswell_daemon.http_messages import HttpRequest
from crocuswell_daemon.problems import problem_response
from tests.http_fake import CONFIGURATION_JSON

JOB_JSON = {
    "job_class": "stubs",
    "shape": {
        "members": 4,
        "per_member": {"accelerators": 2, "processors": 3, "memory_mb": 4},
        "adjacency": "rack",
    },
    "run_time_ms": 5,
    "idempotent": False,
    "checkpoint_ms": 6,
    "urgent": True,
    "deadline_ms": 7,
    "payload": "AAA=",
}
PARSERS = [
    (parse_job, JOB_JSON),
    (parse_configuration, CONFIGURATION_JSON),
    (parse_cancel, {"request_ids": ["r1"]}),
    (parse_preset, {"preset": "peak"}),
    (parse_mode, {"mode": "active"}),
]
parametrize_parsers = pytest.mark.parametrize(
    "parse, valid", PARSERS, ids=[parse.__name__ for parse, _ in PARSERS]
)
FUZZ_SETTINGS = settings(
    max_examples=400,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)

extreme_values = st.sampled_from([-(2**64), -1, 2**53, 2**64, 10**400, "x" * 2_000])
scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | extreme_values
    | st.floats()
    | st.text()
    | st.sampled_from(["\ud800", "none", "rack", "AAA="])
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


@st.composite
def mutated(draw: st.DrawFn, valid: Any) -> Any:
    """Generate a valid document with one value replaced, added or removed."""
    document = json.loads(json.dumps(valid))
    container: Any = document
    while True:
        keys = (
            list(container)
            if isinstance(container, dict)
            else list(range(len(container)))
        )
        if not keys:
            return document
        key = draw(st.sampled_from(keys))
        inner = container[key]
        if not isinstance(inner, dict | list) or draw(st.booleans()):
            break
        container = inner
    action = draw(st.sampled_from(["replace", "remove", "add"]))
    if action == "replace":
        container[key] = draw(st.one_of(extreme_values, scalars, values))
    elif action == "remove":
        del container[key]
    elif isinstance(container, dict):
        container[draw(st.text(max_size=8))] = draw(values)
    else:
        container.append(draw(values))
    return document


def check_result(parsed: Result[Any, Any]) -> None:
    if is_err(parsed):
        assert problem_response(parsed.err_value).status >= 400
        return
    packed = msgpack.packb(cattrs.unstructure(parsed.unwrap()))
    assert isinstance(packed, bytes)


@parametrize_parsers
def test_any_bytes(parse: Any, valid: Any) -> None:
    """Guards against an exception on a body that is not valid JSON."""

    @FUZZ_SETTINGS
    @given(st.binary() | st.text().map(str.encode))
    def run(body: bytes) -> None:
        check_result(parse(body))

    run()


@parametrize_parsers
def test_any_document(parse: Any, valid: Any) -> None:
    """Guards against accepting a value of the wrong type or size."""

    @FUZZ_SETTINGS
    @given(values | mutated(valid))
    def run(document: Any) -> None:
        check_result(parse(json.dumps(document).encode()))

    run()


requests = st.builds(
    HttpRequest,
    method=st.sampled_from(["GET", "POST", "PUT", "DELETE", "X"]),
    path=st.sampled_from(
        [
            "/v1/workspaces/tisk/requests",
            "/v1/workspaces/tisk/cancel",
            "/v1/requests/r1",
            "/v1/configuration",
            "/v1/preset",
            "/v1/workers/w1/mode",
        ]
    )
    | st.text().map(lambda text: f"/v1/requests/{text}")
    | st.text(),
    query=st.sampled_from(["", "wait_ms=1", "limit=2", "wait_ms=9" * 99, "&" * 99])
    | st.text(),
    body=st.sampled_from([valid for _, valid in PARSERS])
    .flatmap(mutated)
    .map(lambda document: json.dumps(document).encode()),
    idempotency_key=st.none() | st.just("k") | st.text(),
    if_match=st.none() | st.just('"1"') | st.text(),
    author=st.none() | st.just("Jürgen") | st.text(),
    note=st.none() | st.text(),
)


@FUZZ_SETTINGS
@given(requests)
def test_any_request(request: HttpRequest) -> None:
    """Guards against an exception on any path, query or header."""
    check_result(parse_operation(request))

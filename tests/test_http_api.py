"""Tests of the HTTP API's endpoints and error responses.

They run against a real `cheroot` server on an ephemeral port, with a fake
event loop that answers the calls.
"""

import base64
import hashlib
from typing import Any

import attrs
import pytest

from crocuswell_core.cluster.commands import (
    CancelRequests,
    ChangeAccepted,
    ChangeConfiguration,
    Done,
    EndEvacuation,
    EntryHost,
    EvacuationSet,
    ModeSet,
    Refused,
    RequestAccepted,
    RequestsCancelled,
    SetWorkerMode,
    StartEvacuation,
    SubmitRequest,
    SwitchPreset,
)
from crocuswell_core.cluster.configuration import (
    Configuration,
    ConfigurationChange,
    Preset,
    Workspace,
)
from crocuswell_core.cluster.evacuations import Evacuation
from crocuswell_core.cluster.records import (
    Attempt,
    AttemptId,
    AttemptPhase,
    JobSpec,
    Member,
    Outcome,
    Request,
    Worker,
    WorkerInfo,
    WorkerMode,
)
from crocuswell_core.cluster.resources import Adjacency, Resources, Shape
from crocuswell_core.entry.calls import (
    CommandCall,
    ExplainRequest,
    GetConfiguration,
    GetEvacuations,
    GetForecasts,
    GetHistory,
    GetMembers,
    GetRequest,
    GetWorkers,
    ListRequests,
)
from crocuswell_core.entry.replies import (
    ConfigurationView,
    EvacuationsView,
    EvacuationView,
    Explanation,
    ForecastsView,
    HistoryView,
    MembersView,
    RequestsView,
    RequestView,
    RunTimeForecast,
    SpeedForecast,
    WorkersView,
    WorkerView,
)
from crocuswell_core.runtime.errors import ERROR_CONTRACTS, ErrorKind
from crocuswell_daemon.http_api import (
    Reply,
)
from crocuswell_daemon.problems import STATUS_BY_ERROR_KIND
from tests.http_fake import (
    CONFIGURATION_JSON,
    DONE,
    IF_MATCH,
    KEY,
    OPERATOR,
    REQUEST,
    REQUEST_JSON,
    RESULT,
    FakeLoop,
    fetch,
)

CONFIGURATION = Configuration(workspaces=(Workspace("tisk", (Shape(2),)),))
CHANGE = ConfigurationChange(7, "Jürgen", 5_000, CONFIGURATION, "more seats")
CHANGE_JSON = {
    "number": 7,
    "author": "Jürgen",
    "at_ms": 5_000,
    "note": "more seats",
    "configuration": CONFIGURATION_JSON,
}
WORKER = Worker(WorkerInfo("w1", "rack1", "fd1", Resources(8, 32, 65_536)), "i", "b")
ATTEMPT = Attempt(
    AttemptId("r1", 2),
    "tisk",
    (Member(0, "w1", "i", (3, 4)),),
    AttemptPhase.RUNNING,
    1_100,
)


@attrs.frozen
class Case:
    name: str
    method: str
    path: str
    replies: list[Reply]
    call: Any
    status: int
    document: Any
    body: Any = None
    headers: dict[str, str] = attrs.Factory(dict)
    response_headers: dict[str, str] = attrs.Factory(dict)


CASES = [
    Case(
        "request",
        "GET",
        "/v1/requests/r1?wait_ms=25000",
        [RequestView(REQUEST)],
        GetRequest("r1", "", 25_000),
        200,
        REQUEST_JSON,
    ),
    Case(
        "ended request",
        "GET",
        "/v1/requests/r1",
        [RequestView(DONE)],
        GetRequest("r1", "", 0),
        200,
        REQUEST_JSON
        | {
            "phase": "done",
            "attempts_made": 1,
            "started_at_ms": 1_100,
            "outcome": {
                "outcome": "completed",
                "reason": None,
                "detail": "",
                "length": len(RESULT),
                "digest": hashlib.sha256(RESULT).hexdigest(),
                "at_ms": 1_200,
            },
        },
    ),
    Case(
        "explanation",
        "GET",
        "/v1/requests/r1/explanation",
        [Explanation(REQUEST, "two accelerators", 9_000, ATTEMPT, ("r0.1",))],
        ExplainRequest("r1"),
        200,
        {
            "request": REQUEST_JSON,
            "waiting_for": "two accelerators",
            "expected_start_ms": 9_000,
            "attempt": {
                "id": "r1.2",
                "phase": "running",
                "placed_at_ms": 1_100,
                "started_at_ms": None,
                "stop_reason": None,
                "detail": "",
                "members": [
                    {
                        "rank": 0,
                        "worker": "w1",
                        "accelerators": [3, 4],
                        "phase": "ordered",
                    }
                ],
            },
            "displaced": ["r0.1"],
        },
    ),
    Case(
        "requests",
        "GET",
        "/v1/workspaces/Skupni%20Tisk/requests?limit=5",
        [RequestsView((REQUEST,))],
        ListRequests("Skupni Tisk", 5),
        200,
        {"requests": [REQUEST_JSON]},
    ),
    Case(
        "cancellation",
        "POST",
        "/v1/workspaces/tisk/cancel",
        [RequestsCancelled(2)],
        CancelRequests("tisk", ("r1", "r2")),
        200,
        {"count": 2},
        {"request_ids": ["r1", "r2"]},
        KEY,
    ),
    Case(
        "configuration",
        "GET",
        "/v1/configuration",
        [ConfigurationView(CHANGE, 6)],
        GetConfiguration(),
        200,
        CHANGE_JSON | {"in_force": 6},
        response_headers={"ETag": '"7"'},
    ),
    Case(
        "configuration change",
        "PUT",
        "/v1/configuration",
        [ChangeAccepted(7)],
        ChangeConfiguration(6, CONFIGURATION, "Jürgen", "more seats"),
        200,
        {"number": 7},
        CONFIGURATION_JSON,
        IF_MATCH | {"X-Note": "more seats"},
        {"ETag": '"7"'},
    ),
    Case(
        "preset",
        "POST",
        "/v1/preset",
        [ChangeAccepted(7)],
        SwitchPreset(6, "peak", "Jürgen"),
        200,
        {"number": 7},
        {"preset": "peak"},
        IF_MATCH,
        {"ETag": '"7"'},
    ),
    Case(
        "history",
        "GET",
        "/v1/configuration/history",
        [HistoryView((CHANGE,))],
        GetHistory(20),
        200,
        {"changes": [CHANGE_JSON]},
    ),
    Case(
        "workers",
        "GET",
        "/v1/workers",
        [WorkersView((WorkerView(WORKER, Resources(2, 3, 4), ("r1.2",)),))],
        GetWorkers(),
        200,
        {
            "workers": [
                {
                    "worker": "w1",
                    "rack": "rack1",
                    "failure_domain": "fd1",
                    "mode": "active",
                    "operator_mode": "active",
                    "draining": False,
                    "slots": 8,
                    "capacity": {
                        "accelerators": 8,
                        "processors": 32,
                        "memory_mb": 65_536,
                    },
                    "free": {"accelerators": 2, "processors": 3, "memory_mb": 4},
                    "incarnation": "i",
                    "backend_incarnation": "b",
                    "attempts": ["r1.2"],
                }
            ]
        },
    ),
    Case(
        "worker mode",
        "POST",
        "/v1/workers/w1/mode",
        [ModeSet("w1", WorkerMode.DRAINING)],
        SetWorkerMode("w1", WorkerMode.DRAINING, "Jürgen"),
        200,
        {"worker": "w1", "mode": "draining"},
        {"mode": "draining"},
        OPERATOR,
    ),
    Case(
        "done",
        "POST",
        "/v1/workers/w1/mode",
        [Done()],
        SetWorkerMode("w1", WorkerMode.ACTIVE, "Jürgen"),
        200,
        {},
        {"mode": "active"},
        OPERATOR,
    ),
    Case(
        "forecasts",
        "GET",
        "/v1/forecasts",
        [
            ForecastsView(
                (RunTimeForecast("queue/batch", 40, 1.5, 3.0),),
                (SpeedForecast("m1", 1.6, True),),
            )
        ],
        GetForecasts(),
        200,
        {
            "run_times": [
                {
                    "class_key": "queue/batch",
                    "runs": 40,
                    "median_ratio": 1.5,
                    "p90_ratio": 3.0,
                }
            ],
            "workers": [{"machine": "m1", "slowdown": 1.6, "is_known": True}],
        },
    ),
    Case(
        "evacuation",
        "POST",
        "/v1/evacuations/fd%201",
        [EvacuationSet("fd 1", is_evacuated=True)],
        StartEvacuation("fd 1", "Jürgen"),
        200,
        {"failure_domain": "fd 1", "is_evacuated": True},
        headers=OPERATOR,
    ),
    Case(
        "end of an evacuation",
        "DELETE",
        "/v1/evacuations/fd1",
        [EvacuationSet("fd1", is_evacuated=False)],
        EndEvacuation("fd1", "Jürgen"),
        200,
        {"failure_domain": "fd1", "is_evacuated": False},
        headers=OPERATOR,
    ),
    Case(
        "evacuations",
        "GET",
        "/v1/evacuations",
        [EvacuationsView((EvacuationView("fd1", Evacuation(7, "Ana"), 3, 2),))],
        GetEvacuations(),
        200,
        {
            "evacuations": [
                {
                    "failure_domain": "fd1",
                    "started_at_ms": 7,
                    "author": "Ana",
                    "workers": 3,
                    "attempts": 2,
                }
            ]
        },
    ),
    Case(
        "members",
        "GET",
        "/v1/members",
        [MembersView("a", "b", 3, 9, (EntryHost("a", "10.0.0.1:1", "fd1"),), ("a",))],
        GetMembers(),
        200,
        {
            "host": "a",
            "leader": "b",
            "term": 3,
            "commit_index": 9,
            "hosts": [
                {
                    "id": "a",
                    "address": "10.0.0.1:1",
                    "failure_domain": "fd1",
                    "has_disk": True,
                    "stream_address": "",
                }
            ],
            "voters": ["a"],
        },
    ),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_endpoint(loop: FakeLoop, case: Case) -> None:
    """Guards against an endpoint that posts a wrong call or document."""
    loop.replies.extend(case.replies)
    response = fetch(loop, case.method, case.path, case.body, case.headers)
    call = loop.calls[0]
    asked = call.proposal.command if isinstance(call, CommandCall) else call
    assert asked == case.call
    assert response.status == case.status
    assert response.json() == case.document
    for name, value in case.response_headers.items():
        assert response.headers[name] == value


@pytest.mark.parametrize("request_, status", [(REQUEST, 202), (DONE, 200)])
def test_submission(loop: FakeLoop, request_: Request, status: int) -> None:
    """Guards against a wrong job specification, status or `Location`."""
    loop.replies.extend([RequestAccepted("r1"), RequestView(request_)])
    body = {
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
        "payload": base64.b64encode(RESULT).decode(),
    }
    path = "/v1/workspaces/tisk/requests?wait_ms=5"
    response = fetch(loop, "POST", path, body, KEY)
    first, second = loop.calls
    assert isinstance(first, CommandCall)
    command = first.proposal.command
    assert isinstance(command, SubmitRequest)
    shape = Shape(4, Resources(2, 3, 4), Adjacency.RACK)
    assert command.spec == JobSpec("stubs", shape, 5, False, 6, True, 7, RESULT)
    assert command.workspace == "tisk"
    assert second == GetRequest("r1", "tisk", 5)
    assert response.status == status
    assert response.json()["id"] == "r1"
    assert response.headers["Location"] == "/v1/requests/r1"


@pytest.mark.parametrize(
    "second",
    [Refused(ErrorKind.UNAVAILABLE), RequestView(attrs.evolve(REQUEST, id="r2"))],
)
def test_accepted_submission_is_never_refused(loop: FakeLoop, second: Reply) -> None:
    """Guards against an error or another request's view once accepted."""
    loop.replies.extend([RequestAccepted("r1"), second])
    path = "/v1/workspaces/tisk/requests"
    response = fetch(loop, "POST", path, {"shape": {}}, KEY)
    assert response.status == 202
    assert response.json() == {"id": "r1"}
    assert response.headers["Location"] == "/v1/requests/r1"


def test_view_of_another_request_is_not_shown(loop: FakeLoop) -> None:
    """Guards against answering a caller with another caller's request."""
    loop.replies.append(RequestView(attrs.evolve(REQUEST, id="r2")))
    response = fetch(loop, "GET", "/v1/requests/r1")
    assert response.status == 500
    assert b"r2" not in response.data


def submit(loop: FakeLoop, workspace: str, key: str, members: int) -> Any:
    loop.replies.extend([RequestAccepted("r1"), RequestView(REQUEST)])
    body = {"shape": {"members": members}}
    path = f"/v1/workspaces/{workspace}/requests?wait_ms=1"
    headers = {"Idempotency-Key": key}
    assert fetch(loop, "POST", path, body, headers).status == 202
    return loop.calls[-2]


def test_command_ids_and_digests(loop: FakeLoop) -> None:
    """Guards against colliding command ids and digests that ignore content."""
    first = submit(loop, "a", "k", 1).proposal
    again = submit(loop, "a", "k", 1).proposal
    other = submit(loop, "a", "k", 2).proposal
    elsewhere = submit(loop, "b", "k", 1).proposal
    assert first.command_id == again.command_id == "workspace/a:k"
    assert first.digest == again.digest
    assert first.command.request_id != again.command.request_id
    assert other.command_id == first.command_id
    assert other.digest != first.digest
    assert elsewhere.command_id == "workspace/b:k"
    loop.replies.append(ModeSet("w1", WorkerMode.ACTIVE))
    fetch(loop, "POST", "/v1/workers/w1/mode", {"mode": "active"}, OPERATOR)
    operator = loop.calls[-1]
    assert isinstance(operator, CommandCall)
    assert operator.proposal.command_id == "operator:k-1"


def test_result(loop: FakeLoop) -> None:
    """Guards against a corrupted result and wrong result headers."""
    loop.replies.append(RequestView(DONE))
    response = fetch(loop, "GET", "/v1/requests/r1/result")
    digest = base64.b64encode(hashlib.sha256(RESULT).digest()).decode()
    assert response.status == 200
    assert response.data == RESULT
    assert response.headers["X-Request-Id"] == "r1"
    assert response.headers["Content-Length"] == str(len(RESULT))
    assert response.headers["Repr-Digest"] == f"sha-256=:{digest}:"


def outcome(**changes: Any) -> Request:
    assert DONE.outcome is not None
    return attrs.evolve(DONE, outcome=attrs.evolve(DONE.outcome, **changes))


@pytest.mark.parametrize(
    "request_, kind",
    [
        (REQUEST, ErrorKind.NOT_FINISHED),
        (outcome(result=None), ErrorKind.RESULT_EXPIRED),
        (outcome(outcome=Outcome.NOT_RUN, result=None), ErrorKind.NOT_FOUND),
        (outcome(result=RESULT[:-1]), ErrorKind.CORRUPT_STATE),
        (outcome(result=RESULT[:-1] + b"x"), ErrorKind.CORRUPT_STATE),
    ],
)
def test_result_that_cannot_be_given(
    loop: FakeLoop, request_: Request, kind: ErrorKind
) -> None:
    """Guards against a missing or corrupt result served as valid."""
    loop.replies.append(RequestView(request_))
    response = fetch(loop, "GET", "/v1/requests/r1/result")
    assert response.status == STATUS_BY_ERROR_KIND[kind]
    assert response.json()["kind"] == kind.value


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_each_error_kind(loop: FakeLoop, kind: ErrorKind) -> None:
    """Guards against wrong problem fields or headers for an error kind."""
    loop.replies.append(Refused(kind, "because", 2_500, 8))
    response = fetch(loop, "GET", "/v1/requests/r1")
    problem = response.json()
    contract = ERROR_CONTRACTS[kind]
    assert response.status == STATUS_BY_ERROR_KIND[kind]
    assert response.headers["Content-Type"] == "application/problem+json"
    assert problem["type"] == f"urn:crocuswell:problem:{kind.value}"
    assert problem["status"] == response.status
    assert problem["title"] == contract.title
    assert problem["detail"] == "because"
    assert problem["kind"] == kind.value
    assert problem["not_run"] is contract.not_run
    assert problem["resend"] is contract.resend
    is_unavailable = STATUS_BY_ERROR_KIND[kind] == 503
    assert response.headers.get("Retry-After") == ("3" if is_unavailable else None)
    assert problem.get("current_number") == (8 if kind is ErrorKind.CONFLICT else None)


def test_every_kind_has_a_status() -> None:
    """Guards against a new error kind that has no HTTP status."""
    assert set(STATUS_BY_ERROR_KIND) == set(ErrorKind)
    assert (
        STATUS_BY_ERROR_KIND[ErrorKind.OVERLOADED]
        == STATUS_BY_ERROR_KIND[ErrorKind.UNAVAILABLE]
        == 503
    )


def test_configuration_is_accepted_as_it_is_shown(loop: FakeLoop) -> None:
    """Guards against a configuration that does not survive GET then PUT."""
    configuration = Configuration(
        workspaces=(
            Workspace("a", (Shape(2, Resources(1, 2, 3), Adjacency.RACK),)),
            Workspace("b", quota=Resources(4, 5, 6), weight=2),
        ),
        presets=(Preset("ordinary"), Preset("peak", 0.5, 2.0, 0.1, False, False)),
        active_preset="peak",
    )
    change = ConfigurationChange(6, "x", 1, configuration)
    loop.replies.extend([ConfigurationView(change, 6), ChangeAccepted(7)])
    shown = fetch(loop, "GET", "/v1/configuration")
    headers = OPERATOR | {"If-Match": shown.headers["ETag"]}
    document = shown.json()["configuration"]
    assert fetch(loop, "PUT", "/v1/configuration", document, headers).status == 200
    call = loop.calls[-1]
    assert isinstance(call, CommandCall)
    assert call.proposal.command == ChangeConfiguration(6, configuration, "Jürgen")

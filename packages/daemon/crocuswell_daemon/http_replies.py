"""Convert replies to HTTP responses, dispatched on the type of the reply."""

import base64
import hashlib
from functools import singledispatch
from typing import Any

import attrs
import cattrs

from crocuswell_core.cluster.commands import (
    ChangeAccepted,
    CommandReply,
    Done,
    EvacuationSet,
    ModeSet,
    Refused,
    RequestAccepted,
    RequestsCancelled,
)
from crocuswell_core.cluster.configuration import Configuration, ConfigurationChange
from crocuswell_core.cluster.records import (
    Attempt,
    Member,
    Outcome,
    OutcomeRecord,
    Request,
)
from crocuswell_core.cluster.resources import Resources
from crocuswell_core.entry.replies import (
    ConfigurationView,
    EvacuationsView,
    EvacuationView,
    Explanation,
    ForecastsView,
    HistoryView,
    MembersView,
    ReadReply,
    RequestsView,
    RequestView,
    WorkersView,
    WorkerView,
)
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_daemon.http_messages import Header, HttpResponse, json_response
from crocuswell_daemon.problems import Problem, problem_response, to_problem

RESULT_TYPE = "application/octet-stream"

_converter = cattrs.Converter()


@attrs.frozen
class AcceptedRequest:
    """An accepted submission, with the request as read back."""

    view: RequestView


@attrs.frozen
class RequestResult:
    """A request to be answered with its result."""

    request: Request


ApiReply = CommandReply | ReadReply | AcceptedRequest | RequestResult


@singledispatch
def to_response(reply: ApiReply) -> HttpResponse:
    """Return the response for a reply."""
    detail = f"no response for a reply of type {type(reply).__name__}"
    return problem_response(Problem(ErrorKind.INTERNAL, detail))


@to_response.register
def _(reply: Refused) -> HttpResponse:
    return problem_response(to_problem(reply))


@to_response.register
def _(reply: RequestAccepted) -> HttpResponse:
    # The request is stored but could not be read back, so only its id is
    # known.
    location = Header("Location", f"/v1/requests/{reply.request_id}")
    return json_response(202, {"id": reply.request_id}, (location,))


@to_response.register
def _(reply: AcceptedRequest) -> HttpResponse:
    request = reply.view.request
    location = Header("Location", f"/v1/requests/{request.id}")
    status = 202 if request.outcome is None else 200
    return json_response(status, _request_to_json(request), (location,))


@to_response.register
def _(reply: RequestsCancelled) -> HttpResponse:
    return json_response(200, {"count": reply.count})


@to_response.register
def _(reply: ChangeAccepted) -> HttpResponse:
    return json_response(200, {"number": reply.number}, (_etag_header(reply.number),))


@to_response.register
def _(reply: ModeSet) -> HttpResponse:
    return json_response(200, {"worker": reply.worker, "mode": reply.mode.value})


@to_response.register
def _(reply: EvacuationSet) -> HttpResponse:
    return json_response(200, _converter.unstructure(reply))


@to_response.register
def _(reply: Done) -> HttpResponse:
    return json_response(200, {})


@to_response.register
def _(reply: RequestView) -> HttpResponse:
    return json_response(200, _request_to_json(reply.request))


@to_response.register
def _(reply: RequestsView) -> HttpResponse:
    return json_response(
        200, {"requests": [_request_to_json(r) for r in reply.requests]}
    )


@to_response.register
def _(reply: ConfigurationView) -> HttpResponse:
    document = _change_to_json(reply.change) | {"in_force": reply.in_force}
    return json_response(200, document, (_etag_header(reply.change.number),))


@to_response.register
def _(reply: HistoryView) -> HttpResponse:
    return json_response(200, {"changes": [_change_to_json(c) for c in reply.changes]})


@to_response.register
def _(reply: WorkersView) -> HttpResponse:
    return json_response(200, {"workers": [_worker_to_json(w) for w in reply.workers]})


@to_response.register
def _(reply: EvacuationsView) -> HttpResponse:
    evacuations = [_evacuation_to_json(view) for view in reply.evacuations]
    return json_response(200, {"evacuations": evacuations})


@to_response.register
def _(reply: MembersView) -> HttpResponse:
    return json_response(200, _converter.unstructure(reply))


@to_response.register
def _(reply: ForecastsView) -> HttpResponse:
    return json_response(200, _converter.unstructure(reply))


@to_response.register
def _(reply: Explanation) -> HttpResponse:
    document = {
        "request": _request_to_json(reply.request),
        "waiting_for": reply.waiting_for,
        "expected_start_ms": reply.expected_start_ms,
        "attempt": None if reply.attempt is None else _attempt_to_json(reply.attempt),
        "displaced": list(reply.displaced),
    }
    return json_response(200, document)


@to_response.register
def _(reply: RequestResult) -> HttpResponse:
    request, outcome = reply.request, reply.request.outcome
    problem = _find_result_problem(request)
    if problem is not None:
        return problem_response(problem)
    body = outcome.result if outcome is not None and outcome.result else b""
    digest = base64.b64encode(hashlib.sha256(body).digest()).decode()
    headers = (
        Header("X-Request-Id", request.id),
        Header("Repr-Digest", f"sha-256=:{digest}:"),
    )
    return HttpResponse(200, body, RESULT_TYPE, headers)


def _find_result_problem(request: Request) -> Problem | None:
    outcome = request.outcome
    if outcome is None:
        detail = f"request {request.id} is {request.phase.value}"
        return Problem(ErrorKind.NOT_FINISHED, detail)
    if outcome.outcome is not Outcome.COMPLETED:
        detail = f"request {request.id} ended as {outcome.outcome.value}"
        return Problem(ErrorKind.NOT_FOUND, f"{detail} and has no result")
    if outcome.result is None:
        detail = f"the result of request {request.id} is no longer kept"
        return Problem(ErrorKind.RESULT_EXPIRED, detail)
    digest = hashlib.sha256(outcome.result).hexdigest()
    if len(outcome.result) != outcome.length or digest != outcome.digest:
        detail = f"the stored result of request {request.id} is not what was sent"
        return Problem(ErrorKind.CORRUPT_STATE, detail)
    return None


def _etag_header(number: int) -> Header:
    return Header("ETag", f'"{number}"')


def _request_to_json(request: Request) -> dict[str, Any]:
    return {
        "id": request.id,
        "workspace": request.workspace,
        "job_class": request.spec.job_class,
        "phase": request.phase.value,
        "attempts_made": request.attempts_made,
        "accepted_at_ms": request.accepted_at_ms,
        "started_at_ms": request.started_at_ms,
        "outcome": None
        if request.outcome is None
        else _outcome_to_json(request.outcome),
    }


def _outcome_to_json(outcome: OutcomeRecord) -> dict[str, Any]:
    return {
        "outcome": outcome.outcome.value,
        "reason": None if outcome.reason is None else outcome.reason.value,
        "detail": outcome.detail,
        "length": outcome.length,
        "digest": outcome.digest,
        "at_ms": outcome.at_ms,
    }


def _configuration_to_json(configuration: Configuration) -> dict[str, Any]:
    document: dict[str, Any] = _converter.unstructure(configuration)
    return document


def _change_to_json(change: ConfigurationChange) -> dict[str, Any]:
    return {
        "number": change.number,
        "author": change.author,
        "at_ms": change.at_ms,
        "note": change.note,
        "configuration": _configuration_to_json(change.configuration),
    }


def _resources_to_json(amount: Resources) -> dict[str, int]:
    return {
        "accelerators": amount.accelerators,
        "processors": amount.processors,
        "memory_mb": amount.memory_mb,
    }


def _worker_to_json(view: WorkerView) -> dict[str, Any]:
    worker, info = view.worker, view.worker.info
    return {
        "worker": info.worker,
        "rack": info.rack,
        "failure_domain": info.failure_domain,
        "mode": worker.mode.value,
        "operator_mode": worker.operator_mode.value,
        "draining": info.draining,
        "slots": info.slots,
        "capacity": _resources_to_json(info.capacity),
        "free": _resources_to_json(view.free),
        "incarnation": worker.incarnation,
        "backend_incarnation": worker.backend_incarnation,
        "attempts": list(view.attempts),
    }


def _evacuation_to_json(view: EvacuationView) -> dict[str, Any]:
    return {
        "failure_domain": view.failure_domain,
        "started_at_ms": view.evacuation.since_ms,
        "author": view.evacuation.author,
        "workers": view.workers,
        "attempts": view.attempts,
    }


def _attempt_to_json(attempt: Attempt) -> dict[str, Any]:
    reason = attempt.stop_reason
    return {
        "id": str(attempt.id),
        "phase": attempt.phase.value,
        "placed_at_ms": attempt.placed_at_ms,
        "started_at_ms": attempt.started_at_ms,
        "stop_reason": None if reason is None else reason.value,
        "detail": attempt.detail,
        "members": [_member_to_json(member) for member in attempt.members],
    }


def _member_to_json(member: Member) -> dict[str, Any]:
    return {
        "rank": member.rank,
        "worker": member.worker,
        "accelerators": list(member.accelerators),
        "phase": member.phase.value,
    }

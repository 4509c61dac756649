"""Error responses as RFC 9457 problem details."""

from http import HTTPStatus

import attrs

from crocuswell_core.cluster.commands import Refused
from crocuswell_core.runtime.errors import ERROR_CONTRACTS, ErrorKind
from crocuswell_daemon.http_messages import Header, HttpResponse, json_response

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:crocuswell:problem:"
DEFAULT_RETRY_AFTER_MS = 1_000

# `UNAUTHORISED` is 403 because 401 requires a `WWW-Authenticate` challenge
# and no authentication scheme is defined.
STATUS_BY_ERROR_KIND: dict[ErrorKind, HTTPStatus] = {
    ErrorKind.INVALID_REQUEST: HTTPStatus.BAD_REQUEST,
    ErrorKind.UNAUTHORISED: HTTPStatus.FORBIDDEN,
    ErrorKind.NOT_FOUND: HTTPStatus.NOT_FOUND,
    ErrorKind.CONFLICT: HTTPStatus.PRECONDITION_FAILED,
    ErrorKind.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorKind.NEVER_FITS: HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorKind.OVER_QUOTA: HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorKind.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorKind.DEADLINE_PASSED: HTTPStatus.CONFLICT,
    ErrorKind.UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorKind.NOT_FINISHED: HTTPStatus.CONFLICT,
    ErrorKind.RESULT_EXPIRED: HTTPStatus.GONE,
    ErrorKind.CORRUPT_STATE: HTTPStatus.INTERNAL_SERVER_ERROR,
    ErrorKind.STORAGE_FAILED: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorKind.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}


@attrs.frozen
class Problem:
    """An error to be returned to the caller.

    Attributes
    ----------
    status : HTTPStatus or None
        Overrides the default status of `kind` where HTTP defines a more
        specific one.
    retry_after_ms : int
        Suggested retry delay in ms; 0 for the default.
    current_number : int or None
        Number of the current configuration, sent with a conflict.
    headers : tuple of Header
        Additional response headers.
    """

    kind: ErrorKind
    detail: str
    status: HTTPStatus | None = None
    retry_after_ms: int = 0
    current_number: int | None = None
    headers: tuple[Header, ...] = ()


def invalid(detail: str, status: HTTPStatus | None = None) -> Problem:
    """Return the problem for an invalid request."""
    return Problem(ErrorKind.INVALID_REQUEST, detail, status)


def to_problem(refused: Refused) -> Problem:
    """Convert a refusal to a problem."""
    number = refused.current_number if refused.kind is ErrorKind.CONFLICT else None
    return Problem(
        refused.kind,
        refused.detail,
        retry_after_ms=refused.retry_after_ms,
        current_number=number,
    )


def problem_response(problem: Problem) -> HttpResponse:
    """Return the HTTP response for a problem."""
    contract = ERROR_CONTRACTS[problem.kind]
    status = problem.status or STATUS_BY_ERROR_KIND[problem.kind]
    document = {
        "type": TYPE_PREFIX + problem.kind.value,
        "title": contract.title,
        "status": status.value,
        "detail": problem.detail,
        "kind": problem.kind.value,
        "not_run": contract.not_run,
        "resend": contract.resend,
    }
    if problem.current_number is not None:
        document["current_number"] = problem.current_number
    headers = problem.headers
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        headers = (*headers, _retry_after(problem))
    return json_response(status.value, document, headers, CONTENT_TYPE)


def _retry_after(problem: Problem) -> Header:
    wait_ms = problem.retry_after_ms or DEFAULT_RETRY_AFTER_MS
    return Header("Retry-After", str(-(-wait_ms // 1_000)))

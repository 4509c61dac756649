"""Turns HTTP requests into calls; pure."""

import hashlib
import re
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qsl

import attrs
from result import Err, Ok, Result, is_err

from crocuswell_core.cluster.commands import (
    CancelRequests,
    ChangeConfiguration,
    Command,
    Proposal,
    SetWorkerMode,
    SubmitRequest,
    SwitchPreset,
)
from crocuswell_core.entry.calls import (
    CommandCall,
    ExplainRequest,
    GetConfiguration,
    GetHistory,
    GetMembers,
    GetRequest,
    GetWorkers,
    ListRequests,
    ReadCall,
)
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_daemon.http_bodies import (
    parse_cancel,
    parse_configuration,
    parse_job,
    parse_mode,
    parse_preset,
)
from crocuswell_daemon.http_messages import Header, HttpRequest
from crocuswell_daemon.problems import Problem, invalid

# Below the 30 s after which common load balancers give up on an answer.
WAIT_LIMIT_MS = 25_000
LIST_LIMIT = 1_000
NAME_LIMIT = 200

_NAME = re.compile(r"[^\x00-\x1f\x7f/:]+")
_ETAG = re.compile(r'"(\d{1,15})"')
_NUMBER = re.compile(r"\d{1,15}")


@attrs.frozen
class Change:
    """A call that changes state and is answered with its reply."""

    call: CommandCall


@attrs.frozen
class Submission:
    """A submission, answered with the request after up to `wait_ms`."""

    call: CommandCall
    workspace: str
    wait_ms: int


@attrs.frozen
class Read:
    """A call that reads and is answered with its reply."""

    call: ReadCall


@attrs.frozen
class ReadRequest:
    """A read of a request, which may wait for its outcome."""

    call: GetRequest


@attrs.frozen
class ReadResult:
    """A read that is answered with the bytes of the result."""

    call: GetRequest


Exchange = Change | Submission | Read | ReadRequest | ReadResult
Parsed = Result[Exchange, Problem]


@attrs.frozen
class _Query:
    """Parsed parameters of the query."""

    wait_ms: int = 0
    limit: int = 0


def parse_exchange(request: HttpRequest) -> Parsed:
    """Turn a request into the exchange that answers it.

    Returns
    -------
    Result
        The exchange, or the problem with the request.
    """
    segments = request.path.split("/")[1:]
    matches = [route for route in ROUTES if route.names(segments) is not None]
    if not matches:
        return Err(Problem(ErrorKind.NOT_FOUND, f"no such path: {request.path[:200]}"))
    for route in matches:
        if route.method == request.method:
            return _parse_route(route, request, segments)
    allowed = ", ".join(sorted(route.method for route in matches))
    problem = invalid(
        f"method: found {request.method[:20]}, expected {allowed}",
        HTTPStatus.METHOD_NOT_ALLOWED,
    )
    return Err(attrs.evolve(problem, headers=(Header("Allow", allowed),)))


def _parse_route(route: "Route", request: HttpRequest, segments: list[str]) -> Parsed:
    names = route.names(segments) or ()
    for name in names:
        if len(name) > NAME_LIMIT or not _NAME.fullmatch(name):
            return Err(
                invalid(
                    f"path: found {name[:60]!r}, expected a name of at most "
                    f"{NAME_LIMIT} characters without ':' or '/'"
                )
            )
    query = _parse_query(route, request.query)
    if is_err(query):
        return Err(query.err_value)
    if route.method != "GET" and request.idempotency_key is None:
        return Err(invalid("Idempotency-Key: found nothing, expected a key"))
    return route.parse(request, query.unwrap(), *names)


def _parse_query(route: "Route", query: str) -> Result[_Query, Problem]:
    parsed = route.defaults
    try:
        pairs = parse_qsl(query, keep_blank_values=True, max_num_fields=8)
    except ValueError:
        return Err(invalid("query: found too many parameters"))
    for name, text in pairs:
        bounds = route.parameters.get(name)
        if bounds is None:
            expected = ", ".join(route.parameters) or "no parameters"
            return Err(
                invalid(f"query: found unknown {name[:60]!r}, expected {expected}")
            )
        if not _NUMBER.fullmatch(text) or int(text) not in bounds:
            return Err(
                invalid(
                    f"{name}: found {text[:60]!r}, expected an integer from "
                    f"{bounds.start} to {bounds[-1]}"
                )
            )
        parsed = attrs.evolve(parsed, **{name: int(text)})
    return Ok(parsed)


def _parse_submission(request: HttpRequest, query: _Query, workspace: str) -> Parsed:
    command = parse_job(request.body).map(
        lambda spec: SubmitRequest(request.fresh_id, workspace, spec)
    )
    call = command.and_then(
        lambda submit: _command_call(request, f"workspace/{workspace}", submit)
    )
    return call.map(lambda made: Submission(made, workspace, query.wait_ms))


def _parse_cancellation(request: HttpRequest, query: _Query, workspace: str) -> Parsed:
    command = parse_cancel(request.body).map(
        lambda body: CancelRequests(workspace, body.request_ids, body.job_class)
    )
    call = command.and_then(
        lambda cancel: _command_call(request, f"workspace/{workspace}", cancel)
    )
    return call.map(Change)


def _parse_change(request: HttpRequest, query: _Query) -> Parsed:
    number = _expected_number(request)
    if is_err(number):
        return Err(number.err_value)
    command = parse_configuration(request.body).map(
        lambda configuration: ChangeConfiguration(
            number.unwrap(),
            configuration,
            request.author or "",
            request.note or "",
        )
    )
    return command.and_then(lambda change: _operator_change(request, change))


def _parse_switch(request: HttpRequest, query: _Query) -> Parsed:
    number = _expected_number(request)
    if is_err(number):
        return Err(number.err_value)
    command = parse_preset(request.body).map(
        lambda body: SwitchPreset(number.unwrap(), body.preset, request.author or "")
    )
    return command.and_then(lambda switch: _operator_change(request, switch))


def _parse_worker_mode(request: HttpRequest, query: _Query, worker: str) -> Parsed:
    command = parse_mode(request.body).map(
        lambda mode: SetWorkerMode(worker, mode, request.author or "")
    )
    return command.and_then(lambda order: _operator_change(request, order))


def _operator_change(request: HttpRequest, command: Command) -> Parsed:
    author = _check_text("X-Author", request.author)
    if is_err(author):
        return Err(author.err_value)
    if request.note is not None:
        note = _check_text("X-Note", request.note)
        if is_err(note):
            return Err(note.err_value)
    return _command_call(request, "operator", command).map(Change)


def _command_call(
    request: HttpRequest, scope: str, command: Command
) -> Result[CommandCall, Problem]:
    key = _check_text("Idempotency-Key", request.idempotency_key)
    digest = _digest(request)
    return key.map(
        lambda text: CommandCall(Proposal(f"{scope}:{text}", digest, command))
    )


def _digest(request: HttpRequest) -> str:
    content = hashlib.sha256()
    for part in (request.method.encode(), request.path.encode(), request.body):
        content.update(len(part).to_bytes(8, "big"))
        content.update(part)
    return content.hexdigest()


def _check_text(name: str, text: str | None) -> Result[str, Problem]:
    if text is None:
        return Err(invalid(f"{name}: found nothing, expected text"))
    if not 1 <= len(text) <= NAME_LIMIT or not text.isprintable():
        return Err(
            invalid(
                f"{name}: found {text[:60]!r}, expected 1 to {NAME_LIMIT} "
                "printable characters"
            )
        )
    return Ok(text)


def _expected_number(request: HttpRequest) -> Result[int, Problem]:
    expected = 'expected the quoted number of the configuration, such as "12"'
    if request.if_match is None:
        return Err(
            invalid(
                f"If-Match: found nothing, {expected}",
                HTTPStatus.PRECONDITION_REQUIRED,
            )
        )
    matched = _ETAG.fullmatch(request.if_match)
    if matched is None:
        return Err(invalid(f"If-Match: found {request.if_match[:60]!r}, {expected}"))
    return Ok(int(matched[1]))


def _read_request(request: HttpRequest, query: _Query, request_id: str) -> Parsed:
    return Ok(ReadRequest(GetRequest(request_id, wait_ms=query.wait_ms)))


def _read_result(request: HttpRequest, query: _Query, request_id: str) -> Parsed:
    return Ok(ReadResult(GetRequest(request_id)))


def _read_explanation(request: HttpRequest, query: _Query, request_id: str) -> Parsed:
    return Ok(Read(ExplainRequest(request_id)))


def _read_requests(request: HttpRequest, query: _Query, workspace: str) -> Parsed:
    return Ok(Read(ListRequests(workspace, query.limit)))


def _read_configuration(request: HttpRequest, query: _Query) -> Parsed:
    return Ok(Read(GetConfiguration()))


def _read_history(request: HttpRequest, query: _Query) -> Parsed:
    return Ok(Read(GetHistory(query.limit)))


def _read_workers(request: HttpRequest, query: _Query) -> Parsed:
    return Ok(Read(GetWorkers()))


def _read_members(request: HttpRequest, query: _Query) -> Parsed:
    return Ok(Read(GetMembers()))


@attrs.frozen
class Route:
    """An endpoint.

    Attributes
    ----------
    template : str
        Path; a segment in braces stands for a name.
    parse : callable
        Takes the request, the query and the names.
    parameters : dict
        Permitted values of each parameter that the query may have.
    """

    method: str
    template: str
    parse: Callable[..., Parsed]
    parameters: dict[str, range] = attrs.Factory(dict)
    defaults: _Query = _Query()

    def names(self, segments: list[str]) -> tuple[str, ...] | None:
        """Return the names in a path, or None if it does not match."""
        parts = self.template.split("/")[1:]
        if len(parts) != len(segments):
            return None
        pairs = list(zip(parts, segments, strict=True))
        if any(part != text for part, text in pairs if not part.startswith("{")):
            return None
        return tuple(text for part, text in pairs if part.startswith("{"))


_WAIT = {"wait_ms": range(WAIT_LIMIT_MS + 1)}
_LIMIT = {"limit": range(1, LIST_LIMIT + 1)}
_JOBS = "/v1/workspaces/{workspace}/requests"
ROUTES = (
    Route("POST", _JOBS, _parse_submission, _WAIT),
    Route("GET", _JOBS, _read_requests, _LIMIT, _Query(limit=100)),
    Route("POST", "/v1/workspaces/{workspace}/cancel", _parse_cancellation),
    Route("GET", "/v1/requests/{id}", _read_request, _WAIT),
    Route("GET", "/v1/requests/{id}/result", _read_result),
    Route("GET", "/v1/requests/{id}/explanation", _read_explanation),
    Route("GET", "/v1/configuration", _read_configuration),
    Route("PUT", "/v1/configuration", _parse_change),
    Route("POST", "/v1/preset", _parse_switch),
    Route("GET", "/v1/configuration/history", _read_history, _LIMIT, _Query(limit=20)),
    Route("GET", "/v1/workers", _read_workers),
    Route("POST", "/v1/workers/{id}/mode", _parse_worker_mode),
    Route("GET", "/v1/members", _read_members),
)

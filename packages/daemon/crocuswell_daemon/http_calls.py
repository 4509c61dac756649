"""Route and parse HTTP requests into calls, without side effects."""

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
    EndEvacuation,
    Proposal,
    SetWorkerMode,
    StartEvacuation,
    SubmitRequest,
    SwitchPreset,
)
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
from crocuswell_daemon.http_messages import Header, HttpRequest, content_digest
from crocuswell_daemon.problems import Problem, invalid

# Below the 30 s after which common load balancers time out a response.
WAIT_LIMIT_MS = 25_000
LIST_LIMIT = 1_000
NAME_LIMIT = 200

_NAME_PATTERN = re.compile(r"[^\x00-\x1f\x7f/:]+")
_ETAG_PATTERN = re.compile(r'"(\d{1,15})"')
_NUMBER_PATTERN = re.compile(r"\d{1,15}")


@attrs.frozen
class Change:
    """A command that changes state; the response is its reply."""

    call: CommandCall


@attrs.frozen
class Submission:
    """A submission; the response is the request after at most `wait_ms`."""

    call: CommandCall
    workspace: str
    wait_ms: int


@attrs.frozen
class Read:
    """A read; the response is its reply."""

    call: ReadCall


@attrs.frozen
class ReadRequest:
    """A read of a request that may wait for its outcome."""

    call: GetRequest


@attrs.frozen
class ReadResult:
    """A read of a result; the response body is the raw result."""

    call: GetRequest


Operation = Change | Submission | Read | ReadRequest | ReadResult
ParseResult = Result[Operation, Problem]


@attrs.frozen
class _Query:
    """Parsed query parameters."""

    wait_ms: int = 0
    limit: int = 0


def parse_operation(request: HttpRequest) -> ParseResult:
    """Parse a request into the operation to perform.

    Returns
    -------
    Result
        The operation, or the problem with the request.
    """
    segments = request.path.split("/")[1:]
    matches = [route for route in ROUTES if route.match(segments) is not None]
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


def _parse_route(
    route: "Route", request: HttpRequest, segments: list[str]
) -> ParseResult:
    path_params = route.match(segments) or ()
    for name in path_params:
        if len(name) > NAME_LIMIT or not _NAME_PATTERN.fullmatch(name):
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
    return route.parse(request, query.unwrap(), *path_params)


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
        if not _NUMBER_PATTERN.fullmatch(text) or int(text) not in bounds:
            return Err(
                invalid(
                    f"{name}: found {text[:60]!r}, expected an integer from "
                    f"{bounds.start} to {bounds[-1]}"
                )
            )
        parsed = attrs.evolve(parsed, **{name: int(text)})
    return Ok(parsed)


def _parse_submission(
    request: HttpRequest, query: _Query, workspace: str
) -> ParseResult:
    command = parse_job(request.body).map(
        lambda spec: SubmitRequest(request.new_request_id, workspace, spec)
    )
    call = command.and_then(
        lambda submit: _command_call(request, f"workspace/{workspace}", submit)
    )
    return call.map(
        lambda command_call: Submission(command_call, workspace, query.wait_ms)
    )


def _parse_cancellation(
    request: HttpRequest, query: _Query, workspace: str
) -> ParseResult:
    command = parse_cancel(request.body).map(
        lambda body: CancelRequests(workspace, body.request_ids, body.job_class)
    )
    call = command.and_then(
        lambda cancel: _command_call(request, f"workspace/{workspace}", cancel)
    )
    return call.map(Change)


def _parse_configuration_change(request: HttpRequest, query: _Query) -> ParseResult:
    number = _parse_expected_number(request)
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
    return command.and_then(lambda change: _operator_command(request, change))


def _parse_preset_switch(request: HttpRequest, query: _Query) -> ParseResult:
    number = _parse_expected_number(request)
    if is_err(number):
        return Err(number.err_value)
    command = parse_preset(request.body).map(
        lambda body: SwitchPreset(number.unwrap(), body.preset, request.author or "")
    )
    return command.and_then(lambda switch: _operator_command(request, switch))


def _parse_worker_mode(request: HttpRequest, query: _Query, worker: str) -> ParseResult:
    command = parse_mode(request.body).map(
        lambda mode: SetWorkerMode(worker, mode, request.author or "")
    )
    return command.and_then(lambda set_mode: _operator_command(request, set_mode))


def _parse_evacuation(request: HttpRequest, query: _Query, domain: str) -> ParseResult:
    return _operator_command(request, StartEvacuation(domain, request.author or ""))


def _parse_evacuation_end(
    request: HttpRequest, query: _Query, domain: str
) -> ParseResult:
    return _operator_command(request, EndEvacuation(domain, request.author or ""))


def _operator_command(request: HttpRequest, command: Command) -> ParseResult:
    author = _check_header("X-Author", request.author)
    if is_err(author):
        return Err(author.err_value)
    if request.note is not None:
        note = _check_header("X-Note", request.note)
        if is_err(note):
            return Err(note.err_value)
    return _command_call(request, "operator", command).map(Change)


def _command_call(
    request: HttpRequest, scope: str, command: Command
) -> Result[CommandCall, Problem]:
    key = _check_header("Idempotency-Key", request.idempotency_key)
    digest = content_digest(
        request.method.encode(), request.path.encode(), request.body
    )
    return key.map(
        lambda text: CommandCall(Proposal(f"{scope}:{text}", digest, command))
    )


def _check_header(name: str, text: str | None) -> Result[str, Problem]:
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


def _parse_expected_number(request: HttpRequest) -> Result[int, Problem]:
    expected = 'expected the quoted number of the configuration, such as "12"'
    if request.if_match is None:
        return Err(
            invalid(
                f"If-Match: found nothing, {expected}",
                HTTPStatus.PRECONDITION_REQUIRED,
            )
        )
    matched = _ETAG_PATTERN.fullmatch(request.if_match)
    if matched is None:
        return Err(invalid(f"If-Match: found {request.if_match[:60]!r}, {expected}"))
    return Ok(int(matched[1]))


def _read_request(request: HttpRequest, query: _Query, request_id: str) -> ParseResult:
    return Ok(ReadRequest(GetRequest(request_id, wait_ms=query.wait_ms)))


def _read_result(request: HttpRequest, query: _Query, request_id: str) -> ParseResult:
    return Ok(ReadResult(GetRequest(request_id)))


def _read_explanation(
    request: HttpRequest, query: _Query, request_id: str
) -> ParseResult:
    return Ok(Read(ExplainRequest(request_id)))


def _read_requests(request: HttpRequest, query: _Query, workspace: str) -> ParseResult:
    return Ok(Read(ListRequests(workspace, query.limit)))


def _read_configuration(request: HttpRequest, query: _Query) -> ParseResult:
    return Ok(Read(GetConfiguration()))


def _read_history(request: HttpRequest, query: _Query) -> ParseResult:
    return Ok(Read(GetHistory(query.limit)))


def _read_workers(request: HttpRequest, query: _Query) -> ParseResult:
    return Ok(Read(GetWorkers()))


def _read_forecasts(request: HttpRequest, query: _Query) -> ParseResult:
    return Ok(Read(GetForecasts()))


def _read_evacuations(request: HttpRequest, query: _Query) -> ParseResult:
    return Ok(Read(GetEvacuations()))


def _read_members(request: HttpRequest, query: _Query) -> ParseResult:
    return Ok(Read(GetMembers()))


@attrs.frozen
class Route:
    """A method and path template with its parser.

    Attributes
    ----------
    template : str
        Path template; a segment in braces is a path parameter.
    parse : callable
        Takes the request, the parsed query and the path parameters.
    parameters : dict
        Allowed query parameters and the range of each.
    defaults : _Query
        Values of query parameters that are not given.
    """

    method: str
    template: str
    parse: Callable[..., ParseResult]
    parameters: dict[str, range] = attrs.Factory(dict)
    defaults: _Query = _Query()

    def match(self, segments: list[str]) -> tuple[str, ...] | None:
        """Return the path parameters, or None if the path does not match."""
        parts = self.template.split("/")[1:]
        if len(parts) != len(segments):
            return None
        pairs = list(zip(parts, segments, strict=True))
        if any(part != text for part, text in pairs if not part.startswith("{")):
            return None
        return tuple(text for part, text in pairs if part.startswith("{"))


_WAIT_PARAMETER = {"wait_ms": range(WAIT_LIMIT_MS + 1)}
_LIMIT_PARAMETER = {"limit": range(1, LIST_LIMIT + 1)}
_REQUESTS_PATH = "/v1/workspaces/{workspace}/requests"
ROUTES = (
    Route("POST", _REQUESTS_PATH, _parse_submission, _WAIT_PARAMETER),
    Route("GET", _REQUESTS_PATH, _read_requests, _LIMIT_PARAMETER, _Query(limit=100)),
    Route("POST", "/v1/workspaces/{workspace}/cancel", _parse_cancellation),
    Route("GET", "/v1/requests/{id}", _read_request, _WAIT_PARAMETER),
    Route("GET", "/v1/requests/{id}/result", _read_result),
    Route("GET", "/v1/requests/{id}/explanation", _read_explanation),
    Route("GET", "/v1/configuration", _read_configuration),
    Route("PUT", "/v1/configuration", _parse_configuration_change),
    Route("POST", "/v1/preset", _parse_preset_switch),
    Route(
        "GET",
        "/v1/configuration/history",
        _read_history,
        _LIMIT_PARAMETER,
        _Query(limit=20),
    ),
    Route("GET", "/v1/workers", _read_workers),
    Route("POST", "/v1/workers/{id}/mode", _parse_worker_mode),
    Route("GET", "/v1/evacuations", _read_evacuations),
    Route("POST", "/v1/evacuations/{domain}", _parse_evacuation),
    Route("DELETE", "/v1/evacuations/{domain}", _parse_evacuation_end),
    Route("GET", "/v1/members", _read_members),
    Route("GET", "/v1/forecasts", _read_forecasts),
)

"""HTTP API for callers and operators, served by a `cheroot` thread pool.

Each worker thread posts its call as an event and blocks on a future until the
event loop sets the reply.
"""

import logging
import threading
from collections.abc import Callable
from functools import singledispatch
from http import HTTPStatus
from typing import Any, Self

import attrs
from result import is_err

from crocuswell_core.cluster.commands import Refused, RequestAccepted
from crocuswell_core.entry.calls import Call, GetRequest
from crocuswell_core.entry.replies import RequestView
from crocuswell_core.runtime.effects import Count, Label
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import Event
from crocuswell_daemon.http_calls import (
    Change,
    Operation,
    Read,
    ReadRequest,
    ReadResult,
    Submission,
    parse_operation,
)
from crocuswell_daemon.http_messages import (
    HttpRequest,
    HttpResponse,
    json_response,
    metrics_response,
)
from crocuswell_daemon.http_replies import AcceptedRequest, RequestResult, to_response
from crocuswell_daemon.http_server import THREADS, CallerServer
from crocuswell_daemon.http_wsgi import read_request, send_response
from crocuswell_daemon.logs import log_event
from crocuswell_daemon.pending_calls import RETRY_AFTER_MS, PendingCalls, Reply
from crocuswell_daemon.problems import Problem, problem_response

# An election takes up to 2.4 s and a forwarded command is retried every
# 0.4 s, so a call still unanswered after this time is unlikely to complete.
CALL_TIMEOUT_MS = 10_000
# Threads kept free to refuse calls and to serve health checks and metrics.
RESERVED_THREADS = 4
MAX_CONCURRENT_CALLS = THREADS - RESERVED_THREADS
MAX_WAITING_CALLS = 44


class CallerListener:
    """Serves the HTTP API; a context manager.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 lets the system choose.
    post : callable
        Posts `CallReceived` and `CallAbandoned`; called from any thread.
    metrics : callable
        Returns the response body of `/metrics`.
    count : callable
        Records a `Count`; called from any thread.
    call_timeout_ms : int
        Timeout in ms, in addition to the time the caller asked to wait for
        an outcome, after which a call is answered with `unavailable`.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        post: Callable[[Event], None],
        metrics: Callable[[], bytes],
        count: Callable[[Count], None],
        call_timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        self._metrics = metrics
        self._count = count
        self._pending_calls = PendingCalls(post, count, call_timeout_ms)
        self._server = CallerServer(host, port, self._serve)
        self._thread = threading.Thread(target=self._server.serve, name="http")
        self._call_slots = threading.BoundedSemaphore(MAX_CONCURRENT_CALLS)
        self._wait_slots = threading.BoundedSemaphore(MAX_WAITING_CALLS)
        self._status_endpoints: dict[str, Callable[[], HttpResponse]] = {
            "/healthz": self._health_response,
            "/readyz": self._readiness_response,
            "/metrics": self._metrics_response,
        }

    @property
    def port(self) -> int:
        """Port the server listens on."""
        port: int = self._server.bind_addr[1]
        return port

    def __enter__(self) -> Self:
        self._server.prepare()
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Wait for calls in flight, then stop the server; blocks."""
        self._pending_calls.close()
        self._server.stop()
        self._thread.join()

    def answer(self, call_id: int, reply: Reply) -> None:
        """Complete a call with its reply; thread-safe, never blocks."""
        self._pending_calls.answer(call_id, reply)

    def set_ready(self, ready: bool) -> None:
        """Set the state reported by `/readyz`."""
        self._pending_calls.set_ready(ready)

    def execute(self, call: Call, wait_ms: int = 0) -> Reply:
        """Post a call and wait for its reply; see `PendingCalls.execute`."""
        return self._pending_calls.execute(call, wait_ms)

    def execute_with_wait(self, call: GetRequest) -> Reply:
        """Read a request; refuse if too many threads wait for outcomes."""
        if not call.wait_ms:
            return self.execute(call)
        if not self._wait_slots.acquire(blocking=False):
            detail = "too many calls wait for outcomes"
            return Refused(ErrorKind.OVERLOADED, detail, RETRY_AFTER_MS)
        try:
            return self.execute(call, call.wait_ms)
        finally:
            self._wait_slots.release()

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        response = self._respond(read_request(environ))
        self._count(Count("http_responses", labels=(_status_label(response),)))
        return send_response(response, environ, start_response)

    def _respond(self, request: HttpRequest | Problem) -> HttpResponse:
        if isinstance(request, Problem):
            return problem_response(request)
        try:
            if request.method == "GET" and request.path in self._status_endpoints:
                return self._status_endpoints[request.path]()
            parsed = parse_operation(request)
            if is_err(parsed):
                return problem_response(parsed.err_value)
            return self._perform(parsed.unwrap())
        except Exception:
            log_event(
                "call_failed",
                logging.ERROR,
                exc_info=True,
                method=request.method,
                path=request.path,
            )
            return problem_response(Problem(ErrorKind.INTERNAL, "see the host's log"))

    def _perform(self, operation: Operation) -> HttpResponse:
        if not self._call_slots.acquire(blocking=False):
            return _overloaded_response("all threads are busy")
        try:
            return perform(operation, self)
        finally:
            self._call_slots.release()

    def _health_response(self) -> HttpResponse:
        return json_response(200, {"healthy": True})

    def _readiness_response(self) -> HttpResponse:
        status = (
            HTTPStatus.OK
            if self._pending_calls.ready
            else HTTPStatus.SERVICE_UNAVAILABLE
        )
        return json_response(status.value, {"ready": self._pending_calls.ready})

    def _metrics_response(self) -> HttpResponse:
        return metrics_response(self._metrics())


@singledispatch
def perform(operation: Operation, listener: CallerListener) -> HttpResponse:
    """Run an operation on the current thread and return its response."""
    raise NotImplementedError(type(operation).__name__)


@perform.register
def _(operation: Change, listener: CallerListener) -> HttpResponse:
    return to_response(listener.execute(operation.call))


@perform.register
def _(operation: Read, listener: CallerListener) -> HttpResponse:
    return to_response(listener.execute(operation.call))


@perform.register
def _(operation: ReadRequest, listener: CallerListener) -> HttpResponse:
    reply = listener.execute_with_wait(operation.call)
    return to_response(_check_request_id(reply, operation.call.request_id))


@perform.register
def _(operation: ReadResult, listener: CallerListener) -> HttpResponse:
    reply = listener.execute(operation.call)
    checked = _check_request_id(reply, operation.call.request_id)
    if isinstance(checked, RequestView):
        return to_response(RequestResult(checked.request))
    return to_response(checked)


@perform.register
def _(operation: Submission, listener: CallerListener) -> HttpResponse:
    reply = listener.execute(operation.call)
    if not isinstance(reply, RequestAccepted):
        return to_response(reply)
    call = GetRequest(reply.request_id, operation.workspace, operation.wait_ms)
    view = listener.execute_with_wait(call)
    if isinstance(view, Refused) and view.kind is ErrorKind.OVERLOADED:
        view = listener.execute(attrs.evolve(call, wait_ms=0))
    # The request stays accepted even if reading it back fails.
    checked = _check_request_id(view, reply.request_id)
    if isinstance(checked, RequestView):
        return to_response(AcceptedRequest(checked))
    return to_response(reply)


def _check_request_id(reply: Reply, request_id: str) -> Reply:
    """Replace a view of a different request with an internal error."""
    if not isinstance(reply, RequestView) or reply.request.id == request_id:
        return reply
    log_event(
        "wrong_request_read", logging.ERROR, asked=request_id, got=reply.request.id
    )
    return Refused(ErrorKind.INTERNAL, f"request {request_id} could not be read")


def _status_label(response: HttpResponse) -> Label:
    return Label("status", str(response.status))


def _overloaded_response(detail: str) -> HttpResponse:
    return to_response(Refused(ErrorKind.OVERLOADED, detail, RETRY_AFTER_MS))

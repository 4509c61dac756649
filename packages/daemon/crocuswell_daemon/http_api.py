"""The API of callers and operators, on `cheroot`'s threads.

Each thread posts its call as an event and waits on a future for the answer.
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
from crocuswell_daemon.call_desk import RETRY_AFTER_MS, CallDesk, Reply
from crocuswell_daemon.http_calls import (
    Change,
    Exchange,
    Read,
    ReadRequest,
    ReadResult,
    Submission,
    parse_exchange,
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
from crocuswell_daemon.problems import Problem, problem_response

# An election takes up to 2.4 s and a forwarded command is retried each
# 0.4 s; a call without an answer after this time will not get one soon.
CALL_LIMIT_MS = 10_000
# Threads that stay free to refuse calls and for health and metrics.
RESERVED_THREADS = 4
CALLS_LIMIT = THREADS - RESERVED_THREADS
WAITING_LIMIT = 44


class CallerListener:
    """Serves the HTTP API; a context manager.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 lets the system choose.
    post : callable
        Takes `CallReceived` and `CallAbandoned`, from any thread.
    metrics : callable
        Returns the body of `/metrics`.
    count : callable
        Takes what is to be counted, from any thread.
    call_limit_ms : int
        Time in ms, beyond what the caller wants to wait for an outcome,
        after which a call is answered `unavailable`.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        post: Callable[[Event], None],
        metrics: Callable[[], bytes],
        count: Callable[[Count], None],
        call_limit_ms: int = CALL_LIMIT_MS,
    ) -> None:
        self._metrics = metrics
        self._count = count
        self._desk = CallDesk(post, count, call_limit_ms)
        self._server = CallerServer(host, port, self._serve)
        self._thread = threading.Thread(target=self._server.serve, name="http")
        self._calls = threading.BoundedSemaphore(CALLS_LIMIT)
        self._waits = threading.BoundedSemaphore(WAITING_LIMIT)
        self._pages: dict[str, Callable[[], HttpResponse]] = {
            "/healthz": self._health,
            "/readyz": self._readiness,
            "/metrics": self._metrics_page,
        }

    @property
    def port(self) -> int:
        """Port on which it listens."""
        port: int = self._server.bind_addr[1]
        return port

    def __enter__(self) -> Self:
        self._server.prepare()
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Let calls in flight be answered, then close; blocks."""
        self._desk.close()
        self._server.stop()
        self._thread.join()

    def answer(self, call_id: int, reply: Reply) -> None:
        """Answer a call; safe from any thread and never blocks."""
        self._desk.answer(call_id, reply)

    def set_ready(self, ready: bool) -> None:
        """Set what `/readyz` tells."""
        self._desk.set_ready(ready)

    def ask(self, call: Call, wait_ms: int = 0) -> Reply:
        """Post a call and wait for its answer, as `CallDesk.ask` does."""
        return self._desk.ask(call, wait_ms)

    def ask_waiting(self, call: GetRequest) -> Reply:
        """Ask for an outcome, or refuse if too many threads wait for one."""
        if not call.wait_ms:
            return self.ask(call)
        if not self._waits.acquire(blocking=False):
            detail = "too many calls wait for outcomes"
            return Refused(ErrorKind.OVERLOADED, detail, RETRY_AFTER_MS)
        try:
            return self.ask(call, call.wait_ms)
        finally:
            self._waits.release()

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
            if request.method == "GET" and request.path in self._pages:
                return self._pages[request.path]()
            parsed = parse_exchange(request)
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

    def _perform(self, exchange: Exchange) -> HttpResponse:
        if not self._calls.acquire(blocking=False):
            return _refuse_overloaded("all threads are busy")
        try:
            return perform(exchange, self)
        finally:
            self._calls.release()

    def _health(self) -> HttpResponse:
        return json_response(200, {"healthy": True})

    def _readiness(self) -> HttpResponse:
        status = HTTPStatus.OK if self._desk.ready else HTTPStatus.SERVICE_UNAVAILABLE
        return json_response(status.value, {"ready": self._desk.ready})

    def _metrics_page(self) -> HttpResponse:
        return metrics_response(self._metrics())


@singledispatch
def perform(exchange: Exchange, listener: CallerListener) -> HttpResponse:
    """Carry out an exchange on the calling thread."""
    raise NotImplementedError(type(exchange).__name__)


@perform.register
def _(exchange: Change, listener: CallerListener) -> HttpResponse:
    return to_response(listener.ask(exchange.call))


@perform.register
def _(exchange: Read, listener: CallerListener) -> HttpResponse:
    return to_response(listener.ask(exchange.call))


@perform.register
def _(exchange: ReadRequest, listener: CallerListener) -> HttpResponse:
    reply = listener.ask_waiting(exchange.call)
    return to_response(_check_identity(reply, exchange.call.request_id))


@perform.register
def _(exchange: ReadResult, listener: CallerListener) -> HttpResponse:
    reply = listener.ask(exchange.call)
    checked = _check_identity(reply, exchange.call.request_id)
    if isinstance(checked, RequestView):
        return to_response(RequestResult(checked.request))
    return to_response(checked)


@perform.register
def _(exchange: Submission, listener: CallerListener) -> HttpResponse:
    reply = listener.ask(exchange.call)
    if not isinstance(reply, RequestAccepted):
        return to_response(reply)
    call = GetRequest(reply.request_id, exchange.workspace, exchange.wait_ms)
    view = listener.ask_waiting(call)
    if isinstance(view, Refused) and view.kind is ErrorKind.OVERLOADED:
        view = listener.ask(attrs.evolve(call, wait_ms=0))
    # The request is accepted whatever happens to the read.
    checked = _check_identity(view, reply.request_id)
    if isinstance(checked, RequestView):
        return to_response(AcceptedRequest(checked))
    return to_response(reply)


def _check_identity(reply: Reply, request_id: str) -> Reply:
    """Replace a view of another request, so that none reaches the caller."""
    if not isinstance(reply, RequestView) or reply.request.id == request_id:
        return reply
    log_event(
        "wrong_request_read", logging.ERROR, asked=request_id, got=reply.request.id
    )
    return Refused(ErrorKind.INTERNAL, f"request {request_id} could not be read")


def _status_label(response: HttpResponse) -> Label:
    return Label("status", str(response.status))


def _refuse_overloaded(detail: str) -> HttpResponse:
    return to_response(Refused(ErrorKind.OVERLOADED, detail, RETRY_AFTER_MS))

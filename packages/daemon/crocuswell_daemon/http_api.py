"""The API of callers and operators, on `cheroot`'s threads.

Each thread posts its call as an event and waits on a future for the answer.
"""

import errno
import itertools
import logging
import secrets
import threading
from collections.abc import Callable
from concurrent.futures import Future
from functools import singledispatch
from http import HTTPStatus
from typing import Any, Self

import attrs
from result import is_err

from crocuswell_core.cluster.commands import CommandReply, Refused, RequestAccepted
from crocuswell_core.entry.calls import Call, GetRequest
from crocuswell_core.entry.replies import ReadReply, RequestView
from crocuswell_core.runtime.effects import Count, Label
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import CallAbandoned, CallReceived, Event
from crocuswell_daemon.http_calls import (
    Change,
    Exchange,
    Read,
    ReadRequest,
    ReadResult,
    Submission,
    parse_exchange,
)
from crocuswell_daemon.http_messages import HttpRequest, HttpResponse, json_response
from crocuswell_daemon.http_replies import AcceptedRequest, RequestResult, to_response
from crocuswell_daemon.http_server import THREADS, CallerServer
from crocuswell_daemon.problems import Problem, invalid, problem_response

# An election takes up to 2.4 s and a forwarded command is retried each
# 0.4 s; a call without an answer after this time will not get one soon.
CALL_LIMIT_MS = 10_000
# Threads that stay free to refuse calls and for health and metrics.
RESERVED_THREADS = 4
CALLS_LIMIT = THREADS - RESERVED_THREADS
WAITING_LIMIT = 44
RETRY_AFTER_MS = 1_000
# Time for the loop to answer calls in flight when the listener is closed;
# a planned stop has answered them by then.
DRAIN_TIME_S = 1.0
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
REQUEST_ID_BYTES = 12

Reply = CommandReply | ReadReply

logger = logging.getLogger(__name__)


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
        self._post = post
        self._metrics = metrics
        self._count = count
        self._call_limit_ms = call_limit_ms
        self._server = CallerServer(host, port, self._serve)
        self._thread = threading.Thread(target=self._server.serve, name="http")
        self._call_ids = itertools.count(1)
        self._changed = threading.Condition()
        self._waiting: dict[int, Future[Reply]] = {}
        self._ready = False
        self._closing = False
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
        with self._changed:
            self._closing = True
            self._changed.wait_for(lambda: not self._waiting, DRAIN_TIME_S)
            unanswered = list(self._waiting)
        for call_id in unanswered:
            self.answer(call_id, _refuse_unavailable("this host is stopping"))
        self._server.stop()
        self._thread.join()

    def answer(self, call_id: int, reply: Reply) -> None:
        """Answer a call; safe from any thread and never blocks.

        An answer to a call that nobody waits for is counted and dropped.
        """
        fut = self._take(call_id)
        if fut is None:
            self._count(Count("http_answers_late"))
            return
        fut.set_result(reply)

    def set_ready(self, ready: bool) -> None:
        """Set what `/readyz` tells."""
        self._ready = ready

    def ask(self, call: Call, wait_ms: int = 0) -> Reply:
        """Post a call and wait for its answer.

        Parameters
        ----------
        wait_ms : int
            Time in ms for which the call itself may wait.

        Returns
        -------
        Reply
            The answer, or `unavailable` if none came in time.
        """
        call_id = next(self._call_ids)
        fut: Future[Reply] = Future()
        with self._changed:
            if self._closing:
                return _refuse_unavailable("this host is stopping")
            self._waiting[call_id] = fut
        limit_ms = wait_ms + self._call_limit_ms
        try:
            self._post(CallReceived(call_id, call))
            return fut.result(limit_ms / 1_000)
        except TimeoutError:
            return self._abandon(call_id, fut, limit_ms)
        finally:
            self._take(call_id)

    def _take(self, call_id: int) -> "Future[Reply] | None":
        with self._changed:
            fut = self._waiting.pop(call_id, None)
            self._changed.notify_all()
        return fut

    def _abandon(self, call_id: int, fut: "Future[Reply]", limit_ms: int) -> Reply:
        if self._take(call_id) is None:  # the answer came in between
            return fut.result()
        self._post(CallAbandoned(call_id))
        return _refuse_unavailable(f"no answer within {limit_ms} ms")

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
        response = self._respond(_read_request(environ))
        self._count(Count("http_responses", labels=(_status_label(response),)))
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *((header.name, header.value) for header in response.headers),
        ]
        phrase = HTTPStatus(response.status).phrase
        start_response(f"{response.status} {phrase}", headers)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [response.body]

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
            logger.exception(
                "change=call_failed method=%s path=%r", request.method, request.path
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
        status = HTTPStatus.OK if self._ready else HTTPStatus.SERVICE_UNAVAILABLE
        return json_response(status.value, {"ready": self._ready})

    def _metrics_page(self) -> HttpResponse:
        return HttpResponse(200, self._metrics(), METRICS_TYPE)


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
    logger.error(
        "change=wrong_request_read asked=%s got=%s", request_id, reply.request.id
    )
    return Refused(ErrorKind.INTERNAL, f"request {request_id} could not be read")


def _read_request(environ: dict[str, Any]) -> HttpRequest | Problem:
    """Read a whole request.

    Raises
    ------
    OSError
        If the body does not arrive whole; the connection is then closed.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body: bytes = environ["wsgi.input"].read(length) if length else b""
    if len(body) < length:
        raise ConnectionResetError(errno.ECONNRESET, "the body is incomplete")
    try:
        path = environ["PATH_INFO"].encode("latin-1").decode()
    except UnicodeDecodeError:
        return invalid("path: found bytes that are not UTF-8")
    return HttpRequest(
        environ["REQUEST_METHOD"],
        path,
        environ["QUERY_STRING"],
        body,
        idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY"),
        if_match=environ.get("HTTP_IF_MATCH"),
        author=_decode(environ.get("HTTP_X_AUTHOR")),
        note=_decode(environ.get("HTTP_X_NOTE")),
        fresh_id=secrets.token_hex(REQUEST_ID_BYTES),
    )


def _decode(text: str | None) -> str | None:
    """Undo WSGI's reading of a header as Latin-1 if it was UTF-8."""
    if text is None:
        return None
    try:
        return text.encode("latin-1").decode()
    except UnicodeDecodeError:
        return text


def _status_label(response: HttpResponse) -> Label:
    return Label("status", str(response.status))


def _refuse_unavailable(detail: str) -> Refused:
    return Refused(ErrorKind.UNAVAILABLE, detail, RETRY_AFTER_MS)


def _refuse_overloaded(detail: str) -> HttpResponse:
    return to_response(Refused(ErrorKind.OVERLOADED, detail, RETRY_AFTER_MS))

"""Client of the backend server: HTTP with `urllib3` on bounded threads."""

import base64
import hashlib
import itertools
import logging
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatch
from types import TracebackType
from typing import Self
from urllib.parse import quote

import attrs
import urllib3
from urllib3.exceptions import (
    ClosedPoolError,
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from crocuswell_core.agent.backend import (
    Accepted,
    BackendCall,
    BackendReply,
    Describe,
    FetchResult,
    ForgetOnBackend,
    ResultFetched,
    StartOnBackend,
    StopOnBackend,
    ThrottleOnBackend,
    Unreachable,
)
from crocuswell_core.cluster.resources import CONNECTIONS_PER_WORKER
from crocuswell_core.runtime.events import BackendReplied, Event
from crocuswell_daemon.backend_json import (
    BadReplyError,
    read_description,
    read_rejection,
    start_body,
    stop_body,
    throttle_body,
)
from crocuswell_daemon.runtime import clock_ms

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.0
TOTAL_TIMEOUT_S = 2.0
# Results have threads of their own, so that a slow one delays no stop.
CONTROL_THREADS = 7
RESULT_THREADS = 3
# Far above the largest result that a configuration can allow.
BODY_LIMIT_BYTES = 4_194_304
CHUNK_BYTES = 65_536

TaskCall = (
    StartOnBackend | StopOnBackend | ThrottleOnBackend | FetchResult | ForgetOnBackend
)

REQUEST_ID_HEADER = "X-Request-Id"
MEMBER_HEADER = "X-Member"
DIGEST_HEADER = "Content-Digest"

log = logging.getLogger(__name__)


class NotSentError(Exception):
    """The call was not sent, so the backend server did nothing."""


# `ClosedPoolError` comes from taking a connection out of a pool that another
# thread has just replaced.
_NOT_SENT = (NotSentError, ClosedPoolError, ConnectTimeoutError, NewConnectionError)


@attrs.frozen
class _Request:
    """One HTTP request; `member` is what the answer must be for."""

    method: str
    path: str
    member: str = ""
    body: bytes | None = None


@attrs.frozen
class _Answer:
    status: int
    body: bytes


class BackendClient:
    """Makes calls on threads and posts the end of each as an event.

    Every call ends in exactly one `BackendReplied`, within about
    `TOTAL_TIMEOUT_S` of its turn. Nothing is retried here: whether a call
    may be made again is the reducer's decision.

    Parameters
    ----------
    address : str
        `host:port` of the backend server.
    post : callable
        Takes an event; safe to call from any thread.
    clock : callable
        Monotonic time in ms, the same as the reducer's.
    """

    def __init__(
        self,
        address: str,
        post: Callable[[Event], None],
        clock: Callable[[], int] = clock_ms,
        connections: int = CONNECTIONS_PER_WORKER,
    ) -> None:
        self.clock = clock
        self._post = post
        self._connections = connections
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._lock = threading.Lock()
        self._pool = self._new_pool()
        self._request_ids = itertools.count(1)
        self._control = ThreadPoolExecutor(CONTROL_THREADS, "backend")
        self._results = ThreadPoolExecutor(RESULT_THREADS, "backend-result")

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._control.shutdown(wait=True, cancel_futures=True)
        self._results.shutdown(wait=True, cancel_futures=True)
        self._pool.close()

    def call(self, call: BackendCall) -> None:
        """Make a call; its end is posted as `BackendReplied`."""
        is_result = isinstance(call, FetchResult)
        executor = self._results if is_result else self._control
        executor.submit(self._run, call)

    def _run(self, call: BackendCall) -> None:
        self._post(BackendReplied(call, self._reply_to(call)))

    def _reply_to(self, call: BackendCall) -> BackendReply:
        try:
            return perform(call, self)
        except _NOT_SENT as exc:
            return Unreachable(str(exc), sent=False)
        except ReadTimeoutError as exc:
            self._replace_pool()
            return Unreachable(str(exc), sent=True)
        except (HTTPError, BadReplyError, OSError) as exc:
            return Unreachable(f"{type(exc).__name__}: {exc}", sent=True)
        except Exception as exc:
            log.exception("call to the backend server failed")
            return Unreachable(repr(exc), sent=True)

    def request(self, req: _Request) -> _Answer:
        """Make one HTTP request and return its whole, checked answer.

        Raises
        ------
        BadReplyError
            If the answer is not whole or is for another call.
        HTTPError
            If there is no answer.
        """
        deadline_s = time.monotonic() + TOTAL_TIMEOUT_S
        request_id = f"{next(self._request_ids):x}"
        resp = self._pool.urlopen(
            req.method,
            req.path,
            body=req.body,
            headers={REQUEST_ID_HEADER: request_id},
            retries=False,
            redirect=False,
            preload_content=False,
            decode_content=False,
        )
        try:
            data = _read_body(resp, deadline_s)
            _check(resp, data, request_id, req.member)
        except BaseException:
            # What follows on this connection may belong to another call.
            resp.close()
            raise
        resp.release_conn()
        return _Answer(resp.status, data)

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(
            self._host,
            self._port,
            maxsize=self._connections,
            block=True,
            timeout=urllib3.Timeout(
                total=TOTAL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
            ),
            retries=False,
        )

    def _replace_pool(self) -> None:
        """Drop idle connections, which may have gone silent as well."""
        with self._lock:
            old, self._pool = self._pool, self._new_pool()
        old.close()


def _read_body(resp: urllib3.BaseHTTPResponse, deadline_s: float) -> bytes:
    declared = resp.headers.get("Content-Length", "")
    if not declared.isdigit() or int(declared) > BODY_LIMIT_BYTES:
        raise BadReplyError(f"bad length {declared!r}")
    parts: list[bytes] = []
    missing = int(declared)
    while missing:
        if time.monotonic() > deadline_s:
            raise BadReplyError("the answer takes too long")
        part = resp.read1(min(missing, CHUNK_BYTES))
        if not part:
            raise BadReplyError(f"{missing} bytes are missing")
        parts.append(part)
        missing -= len(part)
    return b"".join(parts)


def _check(
    resp: urllib3.BaseHTTPResponse, data: bytes, request_id: str, member: str
) -> None:
    if resp.headers.get(REQUEST_ID_HEADER) != request_id:
        raise BadReplyError("the answer is for another call")
    if resp.headers.get(MEMBER_HEADER, "") != member:
        raise BadReplyError("the answer is for another task")
    digest = base64.b64encode(hashlib.sha256(data).digest()).decode()
    if resp.headers.get(DIGEST_HEADER) != f"sha-256=:{digest}:":
        raise BadReplyError("the digest does not match")


# --- calls ---------------------------------------------------------------


@singledispatch
def perform(call: BackendCall, client: BackendClient) -> BackendReply:
    """Make one call, dispatched on its type.

    Raises
    ------
    NotSentError
        If it is too late to send the call.
    BadReplyError
        If the answer is not whole or is for another call.
    HTTPError
        If there is no answer.
    """
    raise NotImplementedError(type(call).__name__)


@perform.register
def _(call: Describe, client: BackendClient) -> BackendReply:
    path = f"/v1/state?lease_until_ms={call.lease_until_ms}"
    answer = client.request(_Request("GET", path))
    if answer.status != 200:
        raise BadReplyError(f"status {answer.status}")
    return read_description(answer.body)


@perform.register
def _(call: StartOnBackend, client: BackendClient) -> BackendReply:
    if client.clock() >= min(call.start_by_ms, call.lease_until_ms):
        raise NotSentError("the lease ended before the start was sent")
    return _order(client, _on_task("PUT", call, "", start_body(call)))


@perform.register
def _(call: StopOnBackend, client: BackendClient) -> BackendReply:
    return _order(client, _on_task("POST", call, "/stop", stop_body(call)))


@perform.register
def _(call: ThrottleOnBackend, client: BackendClient) -> BackendReply:
    return _order(client, _on_task("POST", call, "/throttle", throttle_body(call)))


@perform.register
def _(call: ForgetOnBackend, client: BackendClient) -> BackendReply:
    return _order(client, _on_task("DELETE", call))


@perform.register
def _(call: FetchResult, client: BackendClient) -> BackendReply:
    answer = client.request(_on_task("GET", call, "/result"))
    if answer.status == 200:
        digest = hashlib.sha256(answer.body).hexdigest()
        return ResultFetched(answer.body, digest)
    return _rejected(answer)


def _order(client: BackendClient, req: _Request) -> BackendReply:
    answer = client.request(req)
    return Accepted() if answer.status == 200 else _rejected(answer)


def _rejected(answer: _Answer) -> BackendReply:
    if answer.status != 409:
        raise BadReplyError(f"status {answer.status}")
    return read_rejection(answer.body)


def _on_task(
    method: str, call: TaskCall, action: str = "", body: bytes | None = None
) -> _Request:
    request_id = quote(call.attempt.request_id, safe="")
    epoch, rank = call.attempt.epoch, call.rank
    return _Request(
        method,
        f"/v1/tasks/{request_id}/{epoch}/{rank}{action}",
        f"{request_id}.{epoch}.{rank}",
        body,
    )

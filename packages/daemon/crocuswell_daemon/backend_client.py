"""HTTP client of the backend server, on `urllib3` and thread pools."""

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
# No call waits for a thread, so that an unanswered one delays no other: a
# worker has 8 slots, and each task a start, stop, throttle and forget at most,
# beside the description. Threads are started as they are needed.
CONTROL_THREADS = 40
RESULT_THREADS = 8
# Far above the largest result size a configuration can allow.
BODY_LIMIT_BYTES = 4_194_304
CHUNK_BYTES = 65_536

TaskCall = (
    StartOnBackend | StopOnBackend | ThrottleOnBackend | FetchResult | ForgetOnBackend
)

REQUEST_ID_HEADER = "X-Request-Id"
MEMBER_HEADER = "X-Member"
DIGEST_HEADER = "Content-Digest"

logger = logging.getLogger(__name__)


class NotSentError(Exception):
    """Raised if a call was not sent, so it had no effect."""


# Errors raised before a request is sent. `ClosedPoolError` occurs if another
# thread has just replaced the connection pool.
_NOT_SENT = (NotSentError, ClosedPoolError, ConnectTimeoutError, NewConnectionError)


@attrs.frozen
class _Request:
    """An HTTP request; the response must name the same `member`."""

    method: str
    path: str
    member: str = ""
    body: bytes | None = None


@attrs.frozen
class _Response:
    status: int
    body: bytes


class BackendClient:
    """Runs calls on threads and posts each reply as an event.

    Every call results in exactly one `BackendReplied`, within about
    `TOTAL_TIMEOUT_S` of its start. Calls are not retried here: that is the
    reducer's decision.

    Parameters
    ----------
    address : str
        `host:port` of the backend server.
    post : callable
        Posts an event; must be thread-safe.
    clock : callable
        Returns the monotonic time in ms; the reducer's clock.
    connections : int
        Maximum number of connections in the pool.
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
        self._control_executor = ThreadPoolExecutor(CONTROL_THREADS, "backend")
        self._result_executor = ThreadPoolExecutor(RESULT_THREADS, "backend-result")

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._control_executor.shutdown(wait=True, cancel_futures=True)
        self._result_executor.shutdown(wait=True, cancel_futures=True)
        self._pool.close()

    def call(self, call: BackendCall) -> None:
        """Start a call; its reply is posted as `BackendReplied`."""
        is_result = isinstance(call, FetchResult)
        executor = self._result_executor if is_result else self._control_executor
        executor.submit(self._execute_and_post, call)

    def _execute_and_post(self, call: BackendCall) -> None:
        self._post(BackendReplied(call, self._execute(call)))

    def _execute(self, call: BackendCall) -> BackendReply:
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
            logger.exception("call to the backend server failed")
            return Unreachable(repr(exc), sent=True)

    def request(self, req: _Request) -> _Response:
        """Send one HTTP request and return its verified response.

        Raises
        ------
        BadReplyError
            If the response is incomplete, corrupt or for another call.
        HTTPError
            If no response is received.
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
            _check_response(resp, data, request_id, req.member)
        except BaseException:
            # The connection may still carry data of this response, so it
            # cannot be reused.
            resp.close()
            raise
        resp.release_conn()
        return _Response(resp.status, data)

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
        """Close idle connections, which may be dead as well."""
        with self._lock:
            old, self._pool = self._pool, self._new_pool()
        old.close()


def _read_body(resp: urllib3.BaseHTTPResponse, deadline_s: float) -> bytes:
    length_header = resp.headers.get("Content-Length", "")
    if not length_header.isdigit() or int(length_header) > BODY_LIMIT_BYTES:
        raise BadReplyError(f"bad length {length_header!r}")
    parts: list[bytes] = []
    remaining = int(length_header)
    while remaining:
        if time.monotonic() > deadline_s:
            raise BadReplyError("the answer takes too long")
        part = resp.read1(min(remaining, CHUNK_BYTES))
        if not part:
            raise BadReplyError(f"{remaining} bytes are missing")
        parts.append(part)
        remaining -= len(part)
    return b"".join(parts)


def _check_response(
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
        If the lease ended before the call was sent.
    BadReplyError
        If the response is incomplete, corrupt or for another call.
    HTTPError
        If no response is received.
    """
    raise NotImplementedError(type(call).__name__)


@perform.register
def _(call: Describe, client: BackendClient) -> BackendReply:
    path = f"/v1/state?lease_until_ms={call.lease_until_ms}"
    response = client.request(_Request("GET", path))
    if response.status != 200:
        raise BadReplyError(f"status {response.status}")
    return read_description(response.body)


@perform.register
def _(call: StartOnBackend, client: BackendClient) -> BackendReply:
    if client.clock() >= min(call.start_by_ms, call.lease_until_ms):
        raise NotSentError("the lease ended before the start was sent")
    return _send_command(client, _task_request("PUT", call, "", start_body(call)))


@perform.register
def _(call: StopOnBackend, client: BackendClient) -> BackendReply:
    return _send_command(client, _task_request("POST", call, "/stop", stop_body(call)))


@perform.register
def _(call: ThrottleOnBackend, client: BackendClient) -> BackendReply:
    return _send_command(
        client, _task_request("POST", call, "/throttle", throttle_body(call))
    )


@perform.register
def _(call: ForgetOnBackend, client: BackendClient) -> BackendReply:
    return _send_command(client, _task_request("DELETE", call))


@perform.register
def _(call: FetchResult, client: BackendClient) -> BackendReply:
    response = client.request(_task_request("GET", call, "/result"))
    if response.status == 200:
        digest = hashlib.sha256(response.body).hexdigest()
        return ResultFetched(response.body, digest)
    return _to_rejection(response)


def _send_command(client: BackendClient, req: _Request) -> BackendReply:
    response = client.request(req)
    return Accepted() if response.status == 200 else _to_rejection(response)


def _to_rejection(response: _Response) -> BackendReply:
    if response.status != 409:
        raise BadReplyError(f"status {response.status}")
    return read_rejection(response.body)


def _task_request(
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

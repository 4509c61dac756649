"""Tests of the HTTP API's limits on size, time, threads and queues."""

import contextlib
import queue
import socket
import threading
from collections.abc import Callable
from typing import Any

import attrs
import pytest
from cheroot.connections import ConnectionManager

from crocuswell_core.cluster.commands import (
    Refused,
    RequestAccepted,
)
from crocuswell_core.entry.calls import GetRequest
from crocuswell_core.entry.replies import (
    RequestView,
)
from crocuswell_core.runtime.effects import Count
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import CallAbandoned
from crocuswell_daemon import http_api, http_server, pending_calls
from crocuswell_daemon.http_api import (
    MAX_CONCURRENT_CALLS,
    MAX_WAITING_CALLS,
)
from crocuswell_daemon.http_server import BODY_LIMIT_BYTES, DISCARD_LIMIT_BYTES, THREADS
from tests.http_fake import (
    DONE,
    KEY,
    REQUEST,
    REQUEST_JSON,
    REQUESTS_PATH,
    TEST_TIMEOUT_S,
    FakeLoop,
    fetch,
    serving,
)


def send_raw(loop: FakeLoop, *parts: bytes) -> bytes:
    """Send raw bytes and read until the server closes the connection."""
    address = ("127.0.0.1", loop.listener.port)
    with socket.create_connection(address, TEST_TIMEOUT_S) as sock:
        for part in parts:
            sock.sendall(part)
        chunks = []
        with contextlib.suppress(ConnectionResetError):
            while chunk := sock.recv(65_536):
                chunks.append(chunk)
    return b"".join(chunks)


POST_HEAD = b"POST /v1/workspaces/tisk/requests HTTP/1.1\r\nHost: x\r\n"


@pytest.mark.parametrize("size", [BODY_LIMIT_BYTES + 1, DISCARD_LIMIT_BYTES])
def test_oversized_body(loop: FakeLoop, size: int) -> None:
    """Guards against accepting a large body, or resetting without a 413."""
    head = POST_HEAD + f"Content-Length: {size}\r\n\r\n".encode()
    answer = send_raw(loop, head, b" " * size)
    assert b" 413 " in answer.split(b"\r\n")[0]
    assert b'"invalid_request"' in answer
    assert loop.events.empty()


RAW_CASES = [
    ("declared size", POST_HEAD + b"Content-Length: 99999999999\r\n\r\n", b" 413 "),
    ("negative size", POST_HEAD + b"Content-Length: -5\r\n\r\n", b" 400 "),
    ("no size", POST_HEAD + b"Content-Length: x\r\n\r\n", b" 400 "),
    ("chunked", POST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", b" 411 "),
    ("headers", POST_HEAD + b"X: " + b"x" * 20_000 + b"\r\n\r\n", b" 413 "),
    ("path", b"GET /" + b"x" * 20_000 + b" HTTP/1.1\r\n\r\n", b" 414 "),
    ("garbage", b"\x00\x01\x02\r\n\r\n", b" 400 "),
    ("version", b"GET / HTTP/2.0\r\n\r\n", b" 505 "),
]


@pytest.mark.parametrize(
    "name, data, status", RAW_CASES, ids=[case[0] for case in RAW_CASES]
)
def test_malformed_request(
    loop: FakeLoop, name: str, data: bytes, status: bytes
) -> None:
    """Guards against malformed requests that hang or get no problem."""
    answer = send_raw(loop, data)
    assert status in answer.split(b"\r\n")[0]
    assert b"application/problem+json" in answer
    assert loop.events.empty()


def test_incomplete_body_is_not_a_call(loop: FakeLoop) -> None:
    """Guards against executing a call whose body was truncated."""
    head = POST_HEAD + b"Idempotency-Key: k\r\nContent-Length: 30\r\n\r\n"
    address = ("127.0.0.1", loop.listener.port)
    with socket.create_connection(address, TEST_TIMEOUT_S) as sock:
        sock.sendall(head + b'{"shape": {}}')
        sock.shutdown(socket.SHUT_WR)
        assert sock.recv(65_536) == b""
    assert loop.events.empty()


def test_connection_is_kept(loop: FakeLoop) -> None:
    """Guards against a keep-alive connection lost or mixed up by a call."""
    loop.replies.extend([RequestView(REQUEST), Refused(ErrorKind.NOT_FOUND)])
    get = b"GET /v1/requests/r1 HTTP/1.1\r\nHost: x\r\n"
    answer = send_raw(loop, get + b"\r\n", get + b"Connection: close\r\n\r\n")
    assert answer.count(b"HTTP/1.1 200 OK") == 1
    assert answer.count(b"HTTP/1.1 404 Not Found") == 1


def test_health_readiness_and_metrics(loop: FakeLoop) -> None:
    """Guards against a stopping host that still reports itself ready."""
    assert fetch(loop, "GET", "/healthz").status == 200
    assert fetch(loop, "GET", "/readyz").status == 503
    loop.listener.set_ready(True)
    assert fetch(loop, "GET", "/readyz").status == 200
    loop.listener.set_ready(False)
    assert fetch(loop, "GET", "/readyz").status == 503
    assert fetch(loop, "GET", "/metrics").data == b"crocuswell_up 1\n"
    assert fetch(loop, "HEAD", "/v1/nothing").data == b""


def test_slow_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against clients that occupy threads by sending very slowly."""
    monkeypatch.setattr(http_server, "REQUEST_TIMEOUT_S", 0.5)
    stop = threading.Event()

    def trickle(sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while not stop.wait(0.05):
                sock.sendall(b"x")

    with serving() as loop:
        heads = [POST_HEAD, POST_HEAD + b"Content-Length: 999\r\n\r\n"]
        for head in heads:
            address = ("127.0.0.1", loop.listener.port)
            with socket.create_connection(address, TEST_TIMEOUT_S) as sock:
                sock.sendall(head)
                threading.Thread(target=trickle, args=(sock,)).start()
                assert b" 408 " in sock.recv(65_536)
        stop.set()
        assert loop.events.empty()


def test_silent_connections_hold_no_thread(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against idle connections that occupy all threads."""
    # With the default timeout, threads would be freed within the test timeout.
    monkeypatch.setattr(http_server, "REQUEST_TIMEOUT_S", 2 * TEST_TIMEOUT_S)
    with serving() as loop, contextlib.ExitStack() as stack:
        address = ("127.0.0.1", loop.listener.port)
        for _ in range(THREADS + 10):
            stack.enter_context(socket.create_connection(address, TEST_TIMEOUT_S))
        assert fetch(loop, "GET", "/healthz").status == 200


def test_answer_after_the_timeout() -> None:
    """Guards against delivering a late reply, or losing the thread."""
    with serving(call_timeout_ms=200) as loop:
        response = fetch(loop, "GET", "/v1/requests/r1")
        assert response.status == 503
        assert response.json()["kind"] == "unavailable"
        assert response.headers["Retry-After"] == "1"
        received, abandoned = loop.next_event(), loop.next_event()
        assert abandoned == CallAbandoned(received.call_id)
        loop.listener.answer(received.call_id, RequestView(REQUEST))
        assert Count("http_answers_late") in loop.counts
        loop.replies.append(RequestView(DONE))
        assert fetch(loop, "GET", "/v1/requests/r1").json()["phase"] == "done"


def run_in_background(function: Callable[[], Any]) -> Callable[[], Any]:
    """Run a function on a thread; return a function that waits for it."""
    results: queue.Queue[Any] = queue.Queue()
    threading.Thread(target=lambda: results.put(function())).start()
    return lambda: results.get(timeout=TEST_TIMEOUT_S)


def test_answers_in_the_wrong_order() -> None:
    """Guards against replies delivered to the wrong caller."""
    with serving() as loop:
        waits = {
            name: run_in_background(
                lambda name=name: fetch(loop, "GET", f"/v1/requests/{name}")
            )
            for name in ("r1", "r2", "r3")
        }
        received = [loop.next_event() for _ in waits]
        for event in reversed(received):
            view = RequestView(attrs.evolve(REQUEST, id=event.call.request_id))
            loop.listener.answer(event.call_id, view)
        for name, wait in waits.items():
            assert wait().json()["id"] == name


def send_get(loop: FakeLoop, stack: contextlib.ExitStack, path: str) -> socket.socket:
    """Send a GET request without waiting for its response."""
    address = ("127.0.0.1", loop.listener.port)
    sock = stack.enter_context(socket.create_connection(address, TEST_TIMEOUT_S))
    sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    return sock


def test_all_threads_are_busy() -> None:
    """Guards against calls that hang and failing health checks under load."""
    with serving() as loop, contextlib.ExitStack() as stack:
        socks, events = [], []
        for _ in range(MAX_CONCURRENT_CALLS):
            socks.append(send_get(loop, stack, "/v1/requests/r1"))
            events.append(loop.next_event())
        response = fetch(loop, "GET", "/v1/requests/r1")
        assert response.status == 503
        assert response.json()["kind"] == "overloaded"
        assert response.headers["Retry-After"] == "1"
        assert fetch(loop, "GET", "/healthz").status == 200
        for event in events:
            loop.listener.answer(event.call_id, RequestView(REQUEST))
        for sock in socks:
            assert sock.recv(65_536).startswith(b"HTTP/1.1 200 OK")


def test_waiting_calls_leave_threads_free() -> None:
    """Guards against calls waiting for outcomes that block all others."""
    with serving() as loop, contextlib.ExitStack() as stack:
        path = "/v1/requests/r1?wait_ms=20000"
        events = []
        for _ in range(MAX_WAITING_CALLS):
            send_get(loop, stack, path)
            events.append(loop.next_event())
        assert fetch(loop, "GET", path).json()["kind"] == "overloaded"
        loop.replies.append(RequestView(REQUEST))
        assert fetch(loop, "GET", "/v1/requests/r1").status == 200
        loop.replies.extend([RequestAccepted("r1"), RequestView(REQUEST)])
        submitted = fetch(
            loop, "POST", REQUESTS_PATH + "?wait_ms=20000", {"shape": {}}, KEY
        )
        assert submitted.status == 202
        assert loop.calls[-1] == GetRequest("r1", "tisk", 0)
        for event in events:
            loop.listener.answer(event.call_id, RequestView(REQUEST))


def test_pending_requests_are_refused_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an unbounded queue of requests waiting for a thread."""
    monkeypatch.setattr(http_api, "MAX_CONCURRENT_CALLS", THREADS)
    with serving() as loop, contextlib.ExitStack() as stack:
        events = []
        for _ in range(THREADS):
            send_get(loop, stack, "/v1/requests/r1")
            events.append(loop.next_event())
        for _ in range(http_server.MAX_PENDING_REQUESTS):
            send_get(loop, stack, "/v1/requests/r1")
        answer = send_get(loop, stack, "/healthz").recv(65_536)
        assert b" 503 " in answer
        assert b"Retry-After: 1" in answer
        assert b'"overloaded"' in answer
        for event in events:
            loop.listener.answer(event.call_id, RequestView(REQUEST))
        for _ in range(http_server.MAX_PENDING_REQUESTS):
            event = loop.next_event()
            loop.listener.answer(event.call_id, RequestView(REQUEST))


def test_stop_waits_for_connections_that_are_being_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against threads that die on a selector that is already closed.

    A thread that keeps a connection open returns it to the selector; here it
    is about to do so when the stop begins.
    """
    returning, closed = threading.Event(), threading.Event()
    put, close = ConnectionManager.put, ConnectionManager.close

    def put_late(manager: ConnectionManager, conn: Any) -> None:
        if threading.current_thread().name != "http":
            returning.set()
            closed.wait(1.5)
        put(manager, conn)

    def close_and_tell(manager: ConnectionManager) -> None:
        close(manager)
        closed.set()

    monkeypatch.setattr(ConnectionManager, "put", put_late)
    monkeypatch.setattr(ConnectionManager, "close", close_and_tell)
    with contextlib.ExitStack() as stack:
        loop = stack.enter_context(serving())
        send_get(loop, stack, "/healthz").recv(65_536)
        assert returning.wait(TEST_TIMEOUT_S)


def test_stop_answers_calls_in_flight() -> None:
    """Guards against a planned stop that aborts calls in flight."""
    with contextlib.ExitStack() as stack:
        loop = stack.enter_context(serving())
        wait = run_in_background(lambda: fetch(loop, "GET", "/v1/requests/r1"))
        event = loop.next_event()
        stopped = run_in_background(stack.close)
        view = RequestView(REQUEST)
        threading.Timer(0.3, loop.listener.answer, (event.call_id, view)).start()
        assert wait().json() == REQUEST_JSON
        stopped()


def test_stop_refuses_what_nobody_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a stop that hangs or leaves a call unanswered."""
    monkeypatch.setattr(pending_calls, "DRAIN_TIMEOUT_S", 0.2)
    with contextlib.ExitStack() as stack:
        loop = stack.enter_context(serving())
        wait = run_in_background(lambda: fetch(loop, "GET", "/v1/requests/r1"))
        loop.next_event()
        stack.close()
        assert wait().json()["kind"] == "unavailable"

"""Answers of a worker, as the client for it reads them."""

import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from queue import Queue
from typing import Any

import pytest

from crocuswell_core.runner.worker_calls import (
    NoAnswer,
    NotSent,
    OrderAccepted,
    OrderRefused,
    StartOnWorker,
)
from crocuswell_platform.worker_client import WorkerClient
from tests.job_harness import run_of

ANSWER_S = 5.0


@contextmanager
def worker_answering(status: int, body: dict[str, Any]) -> Iterator[str]:
    """Serve one answer to every call; yield the worker's address."""
    data = json.dumps(body).encode()

    class Handler(BaseHTTPRequestHandler):
        def do_POST(self) -> None:
            self.rfile.read(int(self.headers["Content-Length"]))
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, format: str, *args: Any) -> None:
            pass

    with serving(Handler) as address:
        yield address


@contextmanager
def serving(handler: type[BaseHTTPRequestHandler]) -> Iterator[str]:
    """Serve calls with a handler; yield the address."""
    with ThreadingHTTPServer(("127.0.0.1", 0), handler) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        try:
            yield f"127.0.0.1:{server.server_address[1]}"
        finally:
            server.shutdown()
            thread.join()


@pytest.mark.parametrize(
    ("status", "reason", "is_unable"),
    [
        (503, "unwell", True),
        (429, "unwell", True),
        (409, "room", True),
        (409, "old", False),
        (409, "late", False),
        (409, "fence", False),
        (400, "invalid", False),
    ],
)
def test_only_an_unwell_or_full_worker_is_unable(status, reason, is_unable) -> None:
    """Guards against a worker that is blamed for an outdated order."""
    replies: Queue[Any] = Queue()
    body = {"clock_ms": 5, "reason": reason}
    with (
        worker_answering(status, body) as address,
        WorkerClient(address, replies.put) as client,
    ):
        client.call(StartOnWorker("w1", run_of("j"), "work", 1_000, 1))
        reply = replies.get(timeout=ANSWER_S).reply
    assert isinstance(reply, OrderRefused)
    assert (reply.reason, reply.is_unable) == (reason, is_unable)


@contextmanager
def worker_that_hangs_up(calls: list[str]) -> Iterator[str]:
    """Answer the first call and close its connection at the next one."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_POST(self) -> None:
            self.rfile.read(int(self.headers["Content-Length"]))
            calls.append(self.path)
            if len(calls) > 1:
                self.close_connection = True
                return
            self.send_response(200)
            self.send_header("Content-Length", "2")
            self.end_headers()
            self.wfile.write(b"{}")

        def log_message(self, format: str, *args: Any) -> None:
            pass

    with serving(Handler) as address:
        yield address


def test_start_on_a_connection_that_is_reset_is_not_sent_again() -> None:
    """Guards against a start that the HTTP library repeats by itself."""
    replies: Queue[Any] = Queue()
    calls: list[str] = []
    found = []
    with (
        worker_that_hangs_up(calls) as address,
        WorkerClient(address, replies.put) as client,
    ):
        for number in (1, 2):
            run = run_of("j", number=number)
            client.call(StartOnWorker("w1", run, "work", 1_000, 1))
            found.append(replies.get(timeout=ANSWER_S).reply)
    assert found[0] == OrderAccepted(0)
    assert isinstance(found[1], NoAnswer) and found[1].sent
    assert len(calls) == len(found)


def test_start_that_was_held_up_past_its_grant_is_not_sent() -> None:
    """Guards against a start that a later boot takes after a suspension."""
    replies: Queue[Any] = Queue()
    calls: list[str] = []
    with (
        worker_that_hangs_up(calls) as address,
        WorkerClient(address, replies.put) as client,
    ):
        client.call(StartOnWorker("w1", run_of("j"), "work", 1_000, 1, send_by_ms=0))
        reply = replies.get(timeout=ANSWER_S).reply
    assert reply == NotSent()
    assert not calls

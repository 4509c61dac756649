"""Tests of the backend client over real HTTP against the stand-in."""

import queue
import socket
import threading
import time
from collections.abc import Iterator

import attrs
import pytest

from crocuswell_core.agent.backend import (
    Accepted,
    BackendCall,
    BackendReply,
    Describe,
    Described,
    FetchResult,
    ForgetOnBackend,
    Rejected,
    ResultFetched,
    StartOnBackend,
    StopOnBackend,
    ThrottleOnBackend,
    Unreachable,
)
from crocuswell_core.cluster.records import AttemptId, WorkerInfo
from crocuswell_core.cluster.resources import Resources
from crocuswell_core.runtime.events import BackendReplied
from crocuswell_daemon.backend_client import (
    CONTROL_THREADS,
    READ_TIMEOUT_S,
    RESULT_THREADS,
    TOTAL_TIMEOUT_S,
    BackendClient,
    clock_ms,
)
from standins.backend_server import ResponseFault, Standin

INFO = WorkerInfo("w1", "r1", "fd-a", Resources(8, 128, 262_144))
ATTEMPT = AttemptId("q/ä 1", 2)
FETCH = FetchResult(ATTEMPT, 0)
SLOTS = 8
# Three times the client's own timeout, to allow for a busy machine.
WAIT_S = 3 * TOTAL_TIMEOUT_S


@attrs.frozen
class Pair:
    """A stand-in backend server and a client connected to it."""

    standin: Standin
    client: BackendClient
    events: queue.Queue

    def call(self, call: BackendCall) -> BackendReply:
        self.client.call(call)
        event = self.events.get(timeout=WAIT_S)
        assert isinstance(event, BackendReplied)
        assert event.call == call
        return event.reply

    def run_task_to_end(self, size: int = 100_000) -> None:
        """Run a task that finishes with a result of `size` bytes."""
        payload = b'{"run_ms": 0, "result_bytes": %d}' % size
        assert self.call(start(payload)) == Accepted()


def start(payload: bytes = b"{}", lease_ms: int = 60_000) -> StartOnBackend:
    until_ms = clock_ms() + lease_ms
    return StartOnBackend(
        ATTEMPT, 0, 1, Resources(1, 2, 3), (0,), payload, 1, None, until_ms, until_ms
    )


@pytest.fixture
def pair() -> Iterator[Pair]:
    events: queue.Queue = queue.Queue()
    with Standin(INFO) as standin, BackendClient(standin.address, events.put) as client:
        yield Pair(standin, client, events)


def test_all_calls(pair: Pair) -> None:
    """Guards against calls that are encoded or decoded wrongly."""
    described = pair.call(Describe(1, 0))
    assert isinstance(described, Described)
    assert described.info == INFO
    assert described.tasks == ()
    start_call = start(b'{"run_ms": 60000}')
    assert pair.call(start_call) == Accepted()
    assert pair.call(start_call) == Rejected("the member is known", known=True)
    assert pair.call(ThrottleOnBackend(ATTEMPT, 0, 50)) == Accepted()
    described = pair.call(Describe(2, clock_ms() + 60_000))
    assert isinstance(described, Described)
    (task,) = described.tasks
    assert (task.attempt, task.rank, task.state) == (ATTEMPT, 0, "running")
    assert (task.resources, task.accelerators) == (Resources(1, 2, 3), (0,))
    assert isinstance(pair.call(FETCH), Rejected)
    assert pair.call(StopOnBackend(ATTEMPT, 0, 0)) == Accepted()
    described = pair.call(Describe(3, 0))
    assert isinstance(described, Described)
    assert described.tasks[0].state == "stopped"
    assert described.tasks[0].checkpoint is not None
    resumed = attrs.evolve(
        start_call, attempt=AttemptId("q2", 1), checkpoint=described.tasks[0].checkpoint
    )
    assert pair.call(resumed) == Accepted()
    assert pair.call(ForgetOnBackend(ATTEMPT, 0)) == Accepted()


def test_result_is_fetched_whole(pair: Pair) -> None:
    """Guards against a truncated result."""
    pair.run_task_to_end(300_000)
    reply = pair.call(FETCH)
    assert isinstance(reply, ResultFetched)
    assert len(reply.result) == 300_000
    assert len(reply.digest) == 64


@pytest.mark.parametrize(
    "kind",
    ["silent", "late", "swapped", "cut", "wrong_digest", "wrong_length", "error"],
)
@pytest.mark.parametrize("call", [Describe(1, 0), FETCH, StopOnBackend(ATTEMPT, 0, 0)])
def test_bad_response_is_unreachable(pair: Pair, kind: str, call: BackendCall) -> None:
    """Guards against using a lost, corrupt or mismatched response."""
    pair.run_task_to_end()
    name = type(call).__name__
    pair.standin.app.misbehaviour = ResponseFault(kind, (name,), late_ms=1_500, times=1)
    reply = pair.call(call)
    assert isinstance(reply, Unreachable)
    assert reply.sent
    assert isinstance(pair.call(Describe(2, 0)), Described)


@pytest.mark.parametrize("kind", ["late", "cut", "wrong_digest"])
def test_start_is_not_sent_again(pair: Pair, kind: str) -> None:
    """Guards against retrying a start whose response was lost."""
    pair.standin.app.misbehaviour = ResponseFault(kind, late_ms=1_500, times=1)
    reply = pair.call(start())
    assert isinstance(reply, Unreachable)
    assert reply.sent
    assert list(pair.standin.app.backend.starts.values()) == [1]
    assert pair.standin.app.calls["StartOnBackend"] == 1


def test_refused_connection_is_not_sent() -> None:
    """Guards against reporting a start as sent if connecting failed."""
    with socket.create_server(("127.0.0.1", 0)) as unused:
        address = f"127.0.0.1:{unused.getsockname()[1]}"
    events: queue.Queue = queue.Queue()
    with BackendClient(address, events.put) as client:
        client.call(start())
        reply = events.get(timeout=WAIT_S).reply
    assert isinstance(reply, Unreachable)
    assert not reply.sent


def test_late_start_is_not_sent(pair: Pair) -> None:
    """Guards against sending a start queued beyond its lease."""
    reply = pair.call(start(lease_ms=0))
    assert isinstance(reply, Unreachable)
    assert not reply.sent
    assert pair.standin.app.backend.starts == {}


def test_connection_that_closes_after_the_request_is_in_doubt() -> None:
    """Guards against reporting a request as not sent when it was."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        closing_thread = threading.Thread(target=_read_and_close, args=(server,))
        closing_thread.start()
        events: queue.Queue = queue.Queue()
        address = f"127.0.0.1:{server.getsockname()[1]}"
        with BackendClient(address, events.put) as client:
            client.call(start())
            reply = events.get(timeout=WAIT_S).reply
        closing_thread.join()
    assert isinstance(reply, Unreachable)
    assert reply.sent


def _read_and_close(server: socket.socket) -> None:
    conn, _ = server.accept()
    with conn:
        conn.recv(65_536)


def test_slow_response_times_out() -> None:
    """Guards against a slow, endless response that occupies a thread."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        stop = threading.Event()
        sender = threading.Thread(target=_send_slowly, args=(server, stop))
        sender.start()
        events: queue.Queue = queue.Queue()
        address = f"127.0.0.1:{server.getsockname()[1]}"
        with BackendClient(address, events.put) as client:
            client.call(Describe(1, 0))
            reply = events.get(timeout=WAIT_S).reply
        stop.set()
        sender.join()
    assert isinstance(reply, Unreachable)


def _send_slowly(server: socket.socket, stop: threading.Event) -> None:
    conn, _ = server.accept()
    with conn:
        conn.recv(65_536)
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
        while not stop.wait(0.05):
            try:
                conn.sendall(b"x")
            except OSError:
                return


def test_idle_connections_are_dropped_after_a_silent_one(pair: Pair) -> None:
    """Guards against reusing idle connections after a read timeout."""
    for _ in range(CONTROL_THREADS):
        pair.client.call(Describe(1, 0))
    for _ in range(CONTROL_THREADS):
        pair.events.get(timeout=WAIT_S)
    pair.standin.app.misbehaviour = ResponseFault("silent", times=1)
    assert isinstance(pair.call(Describe(2, 0)), Unreachable)
    held = pair.client._pool.pool.queue
    assert [conn for conn in held if conn is not None] == []
    assert isinstance(pair.call(Describe(3, 0)), Described)


def test_silent_result_fetches_do_not_delay_a_stop(pair: Pair) -> None:
    """Guards against a stop queued behind slow result fetches."""
    pair.run_task_to_end()
    pair.standin.app.misbehaviour = ResponseFault("silent", ("FetchResult",))
    for _ in range(2 * RESULT_THREADS):
        pair.client.call(FETCH)
    start_time = time.monotonic()
    pair.client.call(StopOnBackend(ATTEMPT, 0, None))
    event = pair.events.get(timeout=WAIT_S)
    assert isinstance(event.call, StopOnBackend)
    assert time.monotonic() - start_time < 1.0
    pair.standin.app.released.set()


def test_unanswered_calls_for_all_slots_do_not_delay_a_stop(pair: Pair) -> None:
    """Guards against a stop, or a withdrawn start, that waits for a thread."""
    pair.standin.app.misbehaviour = ResponseFault("silent", ("StartOnBackend",))
    for epoch in range(SLOTS):
        attempt = AttemptId("silent", epoch)
        pair.client.call(attrs.evolve(start(), attempt=attempt))
    start_time = time.monotonic()
    pair.client.call(StopOnBackend(ATTEMPT, 0, None))
    event = pair.events.get(timeout=WAIT_S)
    assert isinstance(event.call, StopOnBackend)
    assert time.monotonic() - start_time < READ_TIMEOUT_S / 2
    pair.standin.app.released.set()


def test_waiting_threads_use_no_processor_time(pair: Pair) -> None:
    """Guards against threads that busy-wait."""
    assert isinstance(pair.call(Describe(1, 0)), Described)
    start_time = time.process_time()
    time.sleep(1.0)
    assert time.process_time() - start_time < 0.2


def test_threads_are_bounded(pair: Pair) -> None:
    """Guards against starting a thread for each call."""
    before = threading.active_count()
    pair.standin.app.misbehaviour = ResponseFault("late", late_ms=300)
    calls = 2 * (CONTROL_THREADS + RESULT_THREADS)
    for _ in range(calls):
        pair.client.call(Describe(1, 0))
    started = threading.active_count() - before
    for _ in range(calls):
        pair.events.get(timeout=2 * WAIT_S)
    assert started <= CONTROL_THREADS + RESULT_THREADS

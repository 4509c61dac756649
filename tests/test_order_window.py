"""Hundreds of orders to one worker that leaves some of them unanswered."""

import json
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler
from queue import Empty, Queue
from typing import Any

import attrs
import pytest

from crocuswell_core.runner.worker_calls import (
    ListRuns,
    NoAnswer,
    NotSent,
    StartOnWorker,
    StopOnWorker,
)
from crocuswell_core.runtime.call_window import (
    MAX_CALLS,
    MAX_PROMPT_CALLS,
    MAX_SEND_DELAY_MS,
    OVERDUE_AFTER_MS,
)
from crocuswell_core.runtime.effects import StartTimer
from crocuswell_core.runtime.events import EntryStreamClosed, TimerFired, WorkerReplied
from crocuswell_core.runtime.timers import OrderTimer, RunnerTimer
from crocuswell_daemon.runtime import clock_ms
from crocuswell_platform.worker_client import WorkerClient
from tests.job_harness import run_of
from tests.test_runner import WORKER_CLOCK_MS, Runner, open_calls
from tests.test_worker_client import serving

RUNS = tuple(run_of("j", index) for index in range(400))
UNANSWERED_EVERY = 16
# The longest time from a cancelling to the end of the last run.
CANCEL_MS, STOP_TIMEOUT_MS = 3_000, 200


@pytest.fixture
def runner() -> Runner:
    """A runner whose worker is known, and whose lease is granted."""
    runner = Runner()
    runner.send_heartbeat()
    runner.attach()
    runner.reply_with_list()
    runner.grant()
    return runner


def pass_time(runner: Runner, ms: int = OVERDUE_AFTER_MS) -> None:
    runner.now_ms += ms
    runner.post(TimerFired(OrderTimer()))


def withdraw_by_stops(runner: Runner) -> None:
    runner.order(stops=RUNS)


def withdraw_by_drain(runner: Runner) -> None:
    runner.send_heartbeat(draining=True, sequence=2)


def withdraw_by_lost_leader(runner: Runner) -> None:
    runner.post(EntryStreamClosed(runner.state.uplink.stream_id, "lost"))


def withdraw_by_later_boot(runner: Runner) -> None:
    runner.send_heartbeat(born_ms=9, sequence=1)
    runner.reply_with_list(born_ms=9)


def withdraw_by_end_of_grant(runner: Runner) -> None:
    runner.now_ms = runner.state.granted_until_ms


@pytest.mark.parametrize(
    "withdraw",
    [
        withdraw_by_stops,
        withdraw_by_drain,
        withdraw_by_lost_leader,
        withdraw_by_later_boot,
        withdraw_by_end_of_grant,
    ],
)
def test_withdrawn_start_is_never_sent(runner: Runner, withdraw) -> None:
    """Guards against starts of a cancelled job that still wait to be sent."""
    runner.calls.clear()
    runner.order(*RUNS)
    withdraw(runner)
    sent = {call.run for call in runner.open_start_calls()}
    for _ in range(100):
        pass_time(runner)
    assert {call.run for call in runner.open_start_calls()} == sent
    assert len(sent) < len(RUNS) / 2


def test_order_says_what_holds_when_it_leaves(runner: Runner) -> None:
    """Guards against an outdated lease, fence or boot in an order."""
    runner.order(*RUNS)
    runner.tick(500)
    runner.state.fence += 1
    runner.grant()
    pass_time(runner)
    latest = runner.open_start_calls()[-1]
    assert latest.fence == runner.state.fence
    assert latest.lease_end_ms > runner.open_start_calls()[0].lease_end_ms


def test_calls_to_a_silent_worker_are_bounded(runner: Runner) -> None:
    """Guards against a frozen worker that holds any number of threads."""
    runner.order(*RUNS)
    assert len(runner.open_start_calls()) <= MAX_PROMPT_CALLS
    for _ in range(100):
        pass_time(runner)
    assert len(runner.open_start_calls()) == MAX_CALLS
    runner.reply(StartOnWorker, NoAnswer("timed out", sent=True))
    assert len(runner.open_start_calls()) == MAX_CALLS


def test_dropped_starts_take_room_until_their_calls_end(runner: Runner) -> None:
    """Guards against a bound that ends once calls in flight are dropped."""
    runner.order(*RUNS)
    for _ in range(100):
        pass_time(runner)
    runner.order(stops=RUNS)
    pass_time(runner)
    orders = open_calls(runner, StartOnWorker | StopOnWorker)  # type: ignore[arg-type]
    assert len(orders) == MAX_CALLS


def test_timer_wakes_orders_behind_an_overdue_call(runner: Runner) -> None:
    """Guards against orders that wait for the answer to another one."""
    effects = runner.order(*RUNS)
    timers = [e for e in effects if isinstance(e, StartTimer)]
    assert StartTimer(OrderTimer(), OVERDUE_AFTER_MS) in timers
    before = len(runner.open_start_calls())
    pass_time(runner)
    assert len(runner.open_start_calls()) > before


def test_start_that_was_not_sent_is_decided_anew(runner: Runner) -> None:
    """Guards against a start that leaves after its job was cancelled."""
    (run, *_) = RUNS
    runner.order(run)
    runner.reply(StartOnWorker, NotSent())
    runner.order(stops=(run,))
    runner.tick(500)
    assert not runner.open_start_calls()
    assert run not in runner.state.unanswered_ms


def test_list_that_was_not_sent_says_nothing_of_the_worker(runner: Runner) -> None:
    """Guards against a sound worker that a busy machine calls unreachable."""
    runner.tick(600)
    runner.reply(ListRuns, NotSent())
    assert runner.state.reachable
    assert open_calls(runner, ListRuns)


def test_no_call_may_leave_long_after_it_was_decided(runner: Runner) -> None:
    """Guards against a thread that sends an order seconds late."""
    runner.order(*RUNS[:2], stops=RUNS[2:3])
    runner.send_heartbeat(born_ms=9, sequence=1)
    for call in runner.calls:
        assert call.send_by_ms is not None
        assert call.send_by_ms <= runner.now_ms + MAX_SEND_DELAY_MS


# --- over HTTP, in real time -----------------------------------------------


@attrs.define
class WorkerLog:
    """What the worker was told.

    Attributes
    ----------
    stops_s : dict
        Time in s of each stop that was answered, by the task's name.
    unanswered : set of str
        Tasks with an order that was left unanswered.
    """

    starts_s: list[float] = attrs.Factory(list)
    stops_s: dict[str, float] = attrs.Factory(dict)
    unanswered: set[str] = attrs.Factory(set)
    orders: int = 0
    lock: Any = attrs.Factory(threading.Lock)
    closing: threading.Event = attrs.Factory(threading.Event)

    def note_order(self, task: str) -> bool:
        """Return whether the order is answered."""
        with self.lock:
            self.orders += 1
            is_answered = self.orders % UNANSWERED_EVERY != 0
            if not is_answered:
                self.unanswered.add(task)
        return is_answered


@contextmanager
def worker_with_gaps(log: WorkerLog) -> Iterator[str]:
    """Leave one order in 16 unanswered; yield the worker's address."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        # Two small writes an answer would wait for a delayed acknowledgement.
        wbufsize = 4096

        def do_POST(self) -> None:
            body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
            if not log.note_order(body["task"]):
                log.closing.wait(5.0)
                self.close_connection = True
                return
            if self.path == "/run-start":
                log.starts_s.append(time.monotonic())
            else:
                log.stops_s[body["task"]] = time.monotonic()
            data = json.dumps({"clock_ms": WORKER_CLOCK_MS + clock_ms()}).encode()
            self.send_response(200)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, format: str, *args: Any) -> None:
            pass

    with serving(Handler) as address:
        try:
            yield address
        finally:
            log.closing.set()


class LiveRunner(Runner):
    """A runner in real time, whose orders go to a worker over HTTP."""

    def __init__(self) -> None:
        super().__init__()
        self.replies: Queue[WorkerReplied] = Queue()
        self.send_heartbeat()
        self.attach()
        self.now_ms = clock_ms()
        self.reply_with_list()

    def run_for(self, client: WorkerClient, duration_s: float) -> None:
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            self.now_ms = clock_ms()
            self._send(client)
            try:
                self.post(self.replies.get(timeout=0.02))
            except Empty:
                self.post(TimerFired(OrderTimer()))
                self.post(TimerFired(RunnerTimer()))
                self.grant()

    def _send(self, client: WorkerClient) -> None:
        calls, self.calls = self.calls, []
        for call in calls:
            if isinstance(call, StartOnWorker | StopOnWorker):
                client.call(call)
            else:
                self.calls.append(call)


def test_starts_of_a_cancelled_job_end_with_its_cancelling() -> None:
    """Guards against UNASKED: starts seconds after a job was cancelled."""
    log, runner = WorkerLog(), LiveRunner()
    with (
        worker_with_gaps(log) as address,
        WorkerClient(address, runner.replies.put) as client,
    ):
        runner.grant()
        runner.order(*RUNS)
        runner.run_for(client, 0.3)
        cancelled_s = time.monotonic()
        runner.order(stops=RUNS)
        runner.run_for(client, 4.0)
    assert log.starts_s
    assert max(log.starts_s) - cancelled_s < CANCEL_MS / 1_000


def test_unanswered_stops_hold_up_no_other_stop() -> None:
    """Guards against runs of a cancelled job that work on for seconds."""
    log, runner = WorkerLog(), LiveRunner()
    with (
        worker_with_gaps(log) as address,
        WorkerClient(address, runner.replies.put) as client,
    ):
        runner.grant()
        stopped_s = time.monotonic()
        runner.order(stops=RUNS)
        runner.run_for(client, (CANCEL_MS + STOP_TIMEOUT_MS) / 1_000)
        late = {
            f"{run.task.job_id}.0.{run.task.step}.{run.task.index}" for run in RUNS
        } - log.stops_s.keys()
    assert late <= log.unanswered
    assert max(log.stops_s.values()) - stopped_s < CANCEL_MS / 1_000 + 0.2

"""A stand-in worker that follows the page on running work items.

The payload (`spec`) of a job tells what its work items do: a JSON object with
`work_ms`, and with `lasts` for those that run until they are stopped.
"""

import heapq
import itertools
import json
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import attrs

from review.third import client
from review.third.record import Record

APP_PORT = 8600
CONTROL_PORT = 8526
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6_000
MAX_LISTED_ENDS = 500
STARTUP_S = 0.2
STOP_S = 0.05

Answer = tuple[int, dict[str, Any]]


@attrs.define
class Run:
    """A run that the worker has begun."""

    task: str
    number: int
    began_s: float
    work_s: float
    lasts: bool


@attrs.define
class End:
    """An end that the worker lists until it is taken note of."""

    position: int
    task: str
    number: int
    how: str
    lapsed: bool = False


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Stay quiet about connections that ended."""


class Worker:
    """A worker on a machine; it may crash and start again.

    Parameters
    ----------
    name, ip, labels : str, str, list of str
        Its machine, with its kind and its rack.
    capacity : dict
        As in a heartbeat.
    """

    def __init__(
        self, name: str, ip: str, labels: list[str], capacity: dict, record: Record
    ) -> None:
        self.name, self.ip, self.labels, self.capacity = name, ip, labels, capacity
        self.record = record
        # Decides what a start is answered with instead of being carried out.
        self.refuse: Callable[[str], int | None] = lambda task: None
        # Decides whether a run fails soon after its start.
        self.fails: Callable[[str], bool] = lambda task: False
        self.boots = 0
        self._lock = threading.Condition()
        self._server: _Server | None = None
        self._connections: set[socket.socket] = set()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._work, daemon=True)
        self._up = False
        self._reset()

    # --- life ------------------------------------------------------------

    def _reset(self) -> None:
        self.id = f"i-{self.name}-{self.boots}"
        self.born_ms = int(time.time() * 1_000)
        self._booted_s = time.monotonic()
        self._sequence = self._fence = self._lease_ms = 0
        self._positions = itertools.count(1)
        self._running: dict[str, Run] = {}
        self._ended: list[End] = []
        self._refused_up_to: dict[str, int] = {}
        self._due: list[tuple[float, int, str, int, str]] = []
        self._ticket = itertools.count()

    def start(self) -> None:
        """Start the first boot."""
        self.boot()
        self._thread.start()
        threading.Thread(target=self._ping, daemon=True).start()

    def boot(self) -> None:
        """Start a boot that holds and knows nothing."""
        with self._lock:
            self.boots += 1
            self._reset()
            self._server = _Server((self.ip, APP_PORT), self._handler())
            self._up = True
            self.record.add("worker_up", worker=self.name, id=self.id)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def crash(self) -> None:
        """Lose all that runs; refuse connections until the next boot."""
        with self._lock:
            server, self._server, self._up = self._server, None, False
            for run in self._running.values():
                self._note_end(run.task, run.number, "crashed")
            self._reset()
            self.record.add("worker_down", worker=self.name)
        if server is not None:
            server.shutdown()
            server.server_close()
        for connection in list(self._connections):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """End the worker and its threads."""
        self._closing.set()
        if self._up:
            self.crash()

    def clock_ms(self) -> int:
        """Return the time on the worker's steady clock."""
        return 1_000 + int((time.monotonic() - self._booted_s) * 1_000)

    def running(self) -> list[str]:
        """Return the names of the work items that run."""
        with self._lock:
            return list(self._running)

    # --- calls -----------------------------------------------------------

    def answer(self, path: str, instance: str, body: dict[str, Any]) -> Answer:
        """Carry out a call."""
        with self._lock:
            if instance not in ("", self.id):
                return 421, {}
            self._expire()
            handler = {
                "/run-start": self._start,
                "/run-stop": self._stop,
                "/hold": self._hold,
            }.get(path)
            status, reply = handler(body) if handler else (404, {})
            return status, {
                "clock_ms": self.clock_ms(),
                "born": self.born_ms,
                **reply,
            }

    def _start(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        if body.get("fencing_token", 0) < self._fence:
            return 409, {"reason": "fence"}
        self._fence = body.get("fencing_token", 0)
        status = self.refuse(task)
        if status is not None:
            self.record.add("start_refused", worker=self.name, task=task, run=number)
            return status, {}
        known = self._running.get(task)
        if known is not None and known.number == number:
            return 200, {}
        if number <= self._refused_up_to.get(task, 0):
            self._extend(body)
            return 409, {"reason": "old"}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(body)
        spec = json.loads(body["spec"])
        work_s, lasts = spec.get("work_ms", 0) / 1_000, bool(spec.get("lasts"))
        began_s = self.record.add(
            "begun", worker=self.name, task=task, run=number, id=self.id
        )
        self._running[task] = Run(task, number, began_s, work_s, lasts)
        if self.fails(task):
            self._plan(STARTUP_S, task, number, "failed")
        elif not lasts:
            self._plan(work_s, task, number, "done")
        return 200, {}

    def _stop(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        if body.get("fencing_token", 0) < self._fence:
            return 409, {"reason": "fence"}
        self._fence = body.get("fencing_token", 0)
        self._refused_up_to[task] = max(number, self._refused_up_to.get(task, 0))
        self.record.add("stop_taken", worker=self.name, task=task, run=number)
        known = self._running.get(task)
        if known is not None and known.number <= number:
            self._plan(STOP_S, task, known.number, "stopped")
        return 200, {}

    def _hold(self, body: dict[str, Any]) -> Answer:
        if body.get("fencing_token", 0) < self._fence:
            return 409, {"reason": "fence"}
        self._fence = body.get("fencing_token", 0)
        self._acknowledge(body.get("last_seen", 0))
        self._extend(body)
        until_s = time.monotonic() + body.get("wait_ms", 0) / 1_000
        while not self._ended and self._up and time.monotonic() < until_s:
            self._lock.wait(until_s - time.monotonic())
        rows = [
            [r.task, r.number, "", self._percent(r)] for r in self._running.values()
        ]
        ends = [
            [end.position, end.task, end.number, end.how, ""]
            for end in self._ended[:MAX_LISTED_ENDS]
        ]
        if ends:
            self.record.add(
                "listed",
                worker=self.name,
                running=len(rows),
                ends=len(ends),
                first=ends[0][0],
                unlisted=len(self._ended) - len(ends),
                last_seen=body.get("last_seen", 0),
            )
        return 200, {"running": rows, "ended": ends}

    def _percent(self, run: Run) -> int:
        ran_s = self.record.now_s() - run.began_s
        if run.lasts:
            return 100 if ran_s >= STARTUP_S else 0
        return min(100, int(100 * ran_s / max(run.work_s, 0.001)))

    def _acknowledge(self, last_seen: int) -> None:
        for end in self._ended:
            if end.position <= last_seen:
                self.record.add(
                    "noted",
                    worker=self.name,
                    task=end.task,
                    run=end.number,
                    how=end.how,
                    lapsed=end.lapsed,
                )
        self._ended = [end for end in self._ended if end.position > last_seen]

    def _extend(self, body: dict[str, Any]) -> None:
        limit_ms = self.clock_ms() + MAX_HOLD_MS
        asked_ms = min(body.get("deadline_ms", 0), limit_ms)
        self._lease_ms = max(self._lease_ms, asked_ms)

    # --- work ------------------------------------------------------------

    def fail(self, task: str) -> None:
        """Let a work item that runs fail."""
        with self._lock:
            run = self._running.get(task)
            if run is not None:
                self._plan(0.0, task, run.number, "failed")

    def _plan(self, delay_s: float, task: str, number: int, how: str) -> None:
        due_s = time.monotonic() + delay_s
        heapq.heappush(self._due, (due_s, next(self._ticket), task, number, how))
        self._lock.notify_all()

    def _end(self, task: str, number: int, how: str) -> None:
        run = self._running.get(task)
        if run is None or run.number != number:
            return
        del self._running[task]
        self._refused_up_to[task] = max(number, self._refused_up_to.get(task, 0))
        self._ended.append(End(next(self._positions), task, number, how))
        self._note_end(task, number, how)

    def _note_end(self, task: str, number: int, how: str) -> None:
        self.record.add("ended", worker=self.name, task=task, run=number, how=how)

    def _expire(self) -> None:
        """Kill what runs, and mark the ends, if the lease has lapsed."""
        if self.clock_ms() < self._lease_ms:
            return
        for end in self._ended:
            end.lapsed = True
        for run in list(self._running.values()):
            self._end(run.task, run.number, "lapsed")

    def _work(self) -> None:
        while not self._closing.is_set():
            with self._lock:
                self._expire()
                ended = False
                while self._due and self._due[0][0] <= time.monotonic():
                    _, _, task, number, how = heapq.heappop(self._due)
                    self._end(task, number, how)
                    ended = True
                if ended:
                    self._lock.notify_all()
            time.sleep(0.005)

    # --- heartbeats ------------------------------------------------------

    def _ping(self) -> None:
        while not self._closing.is_set():
            acknowledged = self._up and self._send_heartbeat()
            self._closing.wait(HEARTBEAT_S if acknowledged else 0.2)

    def _send_heartbeat(self) -> bool:
        with self._lock:
            self._sequence += 1
            body = {
                "service": client.SERVICE,
                "address": f"{self.ip}:{APP_PORT}",
                "zone": client.ZONE,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clock_ms": self.clock_ms(),
                "sequence": self._sequence,
                "born": self.born_ms,
            }
            path = f"/instances/{self.id}"
        reply = client.call(f"{self.ip}:{CONTROL_PORT}", "PUT", path, body, 1.0)
        return reply.status == 200

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        worker = self

        class Handler(BaseHTTPRequestHandler):
            """Serves the calls of one connection."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def setup(self) -> None:
                """Note the connection."""
                super().setup()
                worker._connections.add(self.connection)

            def finish(self) -> None:
                """Forget the connection."""
                worker._connections.discard(self.connection)
                with suppress(OSError):
                    super().finish()

            def do_POST(self) -> None:
                """Answer a call."""
                length = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(length) or b"{}")
                instance = self.headers.get("Crocuswell-Expected-Instance", "")
                status, reply = worker.answer(self.path, instance, body)
                data = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
                self.wfile.flush()

            def log_message(self, *args: Any) -> None:
                """Log nothing."""

        return Handler

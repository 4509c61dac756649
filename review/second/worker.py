"""A stand-in of a worker, by the users' protocol.

The job's `spec` tells how long a work item works: {"work_ms": 3000}.
"""

import json
import random
import socket
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Self

from review.second import deployment

HEARTBEAT_S = 1.5
TICK_S = 0.02
FAILS_AFTER_S = 0.05
# After how long an order without an answer is carried out.
LATE_S = (2.0, 12.0)
# Longer than the runner waits for an answer.
UNANSWERED_S = 5.0


class Run:
    """A run of a work item."""

    def __init__(self, task: str, number: int, spec: str, checkpoint: str) -> None:
        self.task = task
        self.number = number
        self.started_s = time.monotonic()
        fields = json.loads(spec) if spec.startswith("{") else {}
        self.work_s = fields.get("work_ms", 3000) / 1000
        self.lasts = bool(fields.get("lasts"))
        self.checkpoint = checkpoint
        self.fails = False

    def percent(self) -> int:
        """Return the share of the work that is done."""
        if self.lasts:
            return 100
        return min(99, int(100 * (time.monotonic() - self.started_s) / self.work_s))


class Worker:
    """A worker with its boots; a context manager.

    Attributes
    ----------
    starts : list
        Time, task and run of each start, over all boots, without those that
        were carried out late.
    sheds_starts : bool
        Whether start orders are answered with 503, and not carried out.
    fails_starts : bool
        Whether work items fail soon after their start.
    late_every : int
        Each start order of this number gets no answer and is carried out
        2 to 12 s later; 0 for none.
    ends : list
        Time, task, run and kind of each end that a worker lists.
    """

    def __init__(
        self,
        place: deployment.Deployment,
        number: int,
        labels: tuple[str, ...] = ("a", "r1-1"),
        capacity: dict[str, int] | None = None,
    ) -> None:
        self.place = place
        self.record = place.record
        self.ip = place.sides[number - 1]
        self.zone = deployment.ZONES[(number - 1) % len(deployment.ZONES)]
        self.labels = list(labels)
        self.capacity = capacity or {"cpu": 32000, "mem_mb": 65536, "gpus": 8}
        self.starts: list[tuple[float, str, int]] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.is_draining = False
        self.late_every = 0
        self.fails_starts = False
        self.sheds_starts = False
        self._start_orders = 0
        self._lock = threading.Condition()
        self._closing = threading.Event()
        self._server: ThreadingHTTPServer | None = None
        self._connections: set[socket.socket] = set()
        self._reset()
        self._threads = [
            threading.Thread(target=self._tick, daemon=True),
            threading.Thread(target=self._ping, daemon=True),
        ]

    def _reset(self) -> None:
        """Begin a boot, which knows nothing of the one before."""
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born_ms = int(time.time() * 1000)
        self._clock_base_s = time.monotonic() - random.uniform(100, 1000)
        self._fence = 0
        self._lease_ms = 0
        self._sequence = 0
        self._end_count = 0
        self._running: dict[str, Run] = {}
        self._ended: list[list[Any]] = []
        self._refused: dict[str, int] = {}

    def clock_ms(self) -> int:
        """Return the steady clock of this boot in ms."""
        return int((time.monotonic() - self._clock_base_s) * 1000)

    def __enter__(self) -> Self:
        self.boot()
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._closing.set()
        self.crash()

    @property
    def is_up(self) -> bool:
        """Whether the worker runs."""
        return self._server is not None

    def boot(self) -> None:
        """Start the worker."""
        with self._lock:
            self._reset()
            self._server = ThreadingHTTPServer(
                (self.ip, deployment.WORKER_PORT), self._handler()
            )
            self._server.daemon_threads = True
            thread = threading.Thread(target=self._server.serve_forever, daemon=True)
            thread.start()
        self.record.add(f"worker {self.ip}: boots as {self.id}, born {self.born_ms}")

    def crash(self) -> None:
        """End the worker without notice; what runs there ends with it."""
        with self._lock:
            server, self._server = self._server, None
            running = [f"{run.task} run {run.number}" for run in self._running.values()]
            self._running = {}
            self._lock.notify_all()
        if server is None:
            return
        server.shutdown()
        server.server_close()
        for conn in list(self._connections):
            with suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)
        self.record.add(f"worker {self.ip}: {self.id} crashes, running: {running}")

    def running(self) -> list[tuple[str, int]]:
        """Return the tasks and runs at work."""
        with self._lock:
            return [(run.task, run.number) for run in self._running.values()]

    # --- calls from the runner -----------------------------------------

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            # One segment for each response, so that none waits for an
            # acknowledgement.
            wbufsize = 65_536
            disable_nagle_algorithm = True

            def setup(self) -> None:
                super().setup()
                worker._connections.add(self.connection)

            def finish(self) -> None:
                worker._connections.discard(self.connection)
                with suppress(OSError):
                    super().finish()

            def handle(self) -> None:
                with suppress(OSError):
                    super().handle()

            def log_message(self, *args: object) -> None:
                pass

            def do_GET(self) -> None:
                self._answer(200, {})

            def do_POST(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                data = self.rfile.read(length)
                wanted = self.headers.get("Crocuswell-Expected-Instance")
                if not worker.is_up:
                    raise ConnectionResetError
                if wanted != worker.id:
                    self._answer(421, {})
                    return
                body = json.loads(data)
                if self.path == "/run-start" and worker.is_next_late():
                    worker.carry_out_late(self.path, body)
                    raise ConnectionResetError
                self._answer(*worker.carry_out(self.path, body))

            def _answer(self, status: int, body: dict[str, Any]) -> None:
                content = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

        return Handler

    def is_next_late(self) -> bool:
        """Tell whether the next start order gets no answer."""
        with self._lock:
            self._start_orders += 1
            return bool(self.late_every) and self._start_orders % self.late_every == 0

    def carry_out_late(self, path: str, body: dict[str, Any]) -> None:
        """Carry out an order later, and keep its sender waiting."""
        self.record.add(f"worker {self.ip}: leaves {body['task']} unanswered")
        boot = self.id

        def later() -> None:
            if self.is_up and self.id == boot:
                self.record.add(f"worker {self.ip}: carries out late {body['task']}")
                self.carry_out(path, body, is_late=True)

        timer = threading.Timer(random.uniform(*LATE_S), later)
        timer.daemon = True
        timer.start()
        self._closing.wait(UNANSWERED_S)

    def carry_out(
        self, path: str, body: dict[str, Any], is_late: bool = False
    ) -> tuple[int, dict[str, Any]]:
        """Carry out an order and return the response."""
        with self._lock:
            fence = int(body.get("fencing_token", 0))
            if fence < self._fence:
                return 409, self._response(reason="fence")
            self._fence = fence
            if path == "/run-start" and self.sheds_starts:
                self.record.add(f"worker {self.ip}: sheds {body['task']}")
                return 503, {}
            if path == "/run-start":
                return self._start(body, is_late)
            if path == "/run-stop":
                return self._stop(body)
            if path == "/hold":
                return self._hold(body)
        return 404, {}

    def _response(self, **fields: Any) -> dict[str, Any]:
        return {"clock_ms": self.clock_ms(), "born": self.born_ms, **fields}

    def _extend(self, deadline_ms: int) -> None:
        longest_ms = self.clock_ms() + deployment.BOUNDS["max_hold_ms"]
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest_ms))

    def _start(self, body: dict[str, Any], is_late: bool) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["run"]
        present = self._running.get(task)
        if present is not None and present.number == number:
            return 200, self._response()
        self._extend(body["deadline_ms"])
        if number <= self._refused.get(task, 0) or present is not None:
            return 409, self._response(reason="old")
        if body["deadline_ms"] <= self.clock_ms():
            return 409, self._response(reason="late")
        run = Run(task, number, body["spec"], body.get("checkpoint", ""))
        run.fails = self.fails_starts
        self._running[task] = run
        if not is_late:
            self.starts.append((time.monotonic(), task, number))
        self.record.add(f"worker {self.ip}: starts {task} run {number}")
        return 200, self._response()

    def _stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["run"]
        self._refused[task] = max(self._refused.get(task, 0), number)
        run = self._running.get(task)
        if run is not None and run.number == number:
            self._end(run, "stopped")
        return 200, self._response()

    def _end(self, run: Run, how: str) -> None:
        del self._running[run.task]
        self._end_count += 1
        self._refused[run.task] = max(self._refused.get(run.task, 0), run.number)
        self._ended.append([self._end_count, run.task, run.number, how, run.checkpoint])
        self.ends.append((time.monotonic(), run.task, run.number, how))
        self.record.add(f"worker {self.ip}: {run.task} run {run.number} ends {how}")
        self._lock.notify_all()

    def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self._extend(body.get("deadline_ms", 0))
        last_seen = body.get("last_seen", 0)
        self._ended = [row for row in self._ended if row[0] > last_seen]
        until_s = time.monotonic() + body.get("wait_ms", 0) / 1000
        server = self._server
        while not self._ended and self._server is server:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            self._lock.wait(left_s)
        if self._server is not server:
            raise ConnectionResetError
        running = [
            [run.task, run.number, run.checkpoint, run.percent(), 0]
            for run in self._running.values()
        ]
        return 200, self._response(running=running, ended=self._ended[:500])

    # --- threads ---------------------------------------------------------

    def _tick(self) -> None:
        while not self._closing.wait(TICK_S):
            with self._lock:
                lapsed = self.clock_ms() >= self._lease_ms
                for run in list(self._running.values()):
                    age_s = time.monotonic() - run.started_s
                    if lapsed:
                        self._end(run, "lapsed")
                    elif run.fails and age_s >= FAILS_AFTER_S:
                        self._end(run, "failed")
                    elif age_s >= run.work_s and not run.lasts:
                        self._end(run, "done")

    def _ping(self) -> None:
        due_s = 0.0
        boot = ""
        while not self._closing.wait(0.05):
            if not self.is_up or (boot == self.id and time.monotonic() < due_s):
                continue
            boot = self.id
            due_s = time.monotonic() + (HEARTBEAT_S if self._send_ping() else 0.3)

    def _send_ping(self) -> bool:
        with self._lock:
            self._sequence += 1
            body = {
                "service": deployment.SERVICE,
                "address": f"{self.ip}:{deployment.WORKER_PORT}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.is_draining else "ready",
                "cold_remaining_ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clock_ms": self.clock_ms(),
                "sequence": self._sequence,
                "born": self.born_ms,
            }
        address = f"{self.ip}:{deployment.CONTROL_PORT}"
        path = f"/instances/{self.id}"
        return deployment.call(address, "PUT", path, body, timeout_s=1.0)[0] == 200

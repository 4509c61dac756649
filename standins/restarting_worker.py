"""A stand-in worker that crashes and starts again under its id."""

import json
import socket
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler
from typing import Any

import attrs

from review import harness

DONE = "done"
CRASHED = "crashed"


@attrs.frozen
class Restart:
    """How a worker comes back after a crash.

    Attributes
    ----------
    heartbeat_after_s : float
        Time in s to the first heartbeat of the new boot.
    born_shift_ms : int
        Time in ms by which the clock of the machine has moved.
    keeps_connections : bool
        Whether calls on open connections reach the new boot.
    """

    heartbeat_after_s: float = 0.0
    born_shift_ms: int = 0
    keeps_connections: bool = True


@attrs.frozen
class RecordedEnd:
    """An end as `done` that the worker was told to forget."""

    task: str
    number: int


class RestartingWorker(harness.Worker):
    """A worker whose boots share its id and address.

    Attributes
    ----------
    boots : int
        Number of boots so far.
    recorded_ends : list of RecordedEnd
        Ends of all boots that were acknowledged while their lease lasted.
    late_list : dict or None
        Body of a call for the lists that is carried out at the next end.
    """

    def __init__(self, name: str, ip: str, rack: str, record: harness.Record) -> None:
        super().__init__(name, ip, rack, record)
        self.boots = 1
        self.recorded_ends: list[RecordedEnd] = []
        self.late_list: dict[str, Any] | None = None
        self._ends_out_of_lease: set[int] = set()
        self._heartbeats_from_s = 0.0
        self._heartbeat_due = threading.Event()
        self._connections: set[socket.socket] = set()
        self._server.RequestHandlerClass = _tracking_handler(
            self._server.RequestHandlerClass, self._connections
        )

    def restart(self, restart: Restart) -> None:
        """Crash, and start again with nothing but the id and the address."""
        with self._lock:
            crashed_s = self.record.add("crashed", worker=self.name)
            self.history += [
                harness.RunInterval(
                    run.task, run.number, self.name, run.began_s, crashed_s, CRASHED
                )
                for run in self._running.values()
            ]
            self.boots += 1
            now_ms = int(time.time() * 1_000)
            shifted_ms = now_ms + restart.born_shift_ms
            is_later = restart.born_shift_ms >= 0
            self.born_ms = max(shifted_ms, self.born_ms + 1) if is_later else shifted_ms
            self._booted_s = time.monotonic()
            self._fence = self._lease_ms = self._sequence = self._end_count = 0
            self._running, self._ended, self._refused_up_to = {}, [], {}
            self._ends_out_of_lease = set()
            self._heartbeats_from_s = time.monotonic() + restart.heartbeat_after_s
            self.record.add("booted", worker=self.name, born=self.born_ms)
        if not restart.keeps_connections:
            for connection in list(self._connections):
                _shut_down(connection)
        self._heartbeat_due.set()

    def send_heartbeats(self) -> None:
        """Send the first heartbeat of this boot now."""
        self._heartbeats_from_s = 0.0
        self._heartbeat_due.set()

    # --- calls -----------------------------------------------------------

    def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        with self._lock:
            if int(body.get("fencing_token", 0)) >= self._fence:
                self._note_lapse()
                self._note_recorded_ends(int(body.get("last_seen", 0)))
            return super()._hold(body)

    def _note_recorded_ends(self, last_seen: int) -> None:
        for position, task, number, how, _ in self._ended:
            if position > last_seen:
                continue
            self.record.add(
                "end_recorded", worker=self.name, task=task, run=number, how=how
            )
            if how == DONE and position not in self._ends_out_of_lease:
                self.recorded_ends.append(RecordedEnd(task, number))

    def _extend_lease(self, body: dict[str, Any]) -> None:
        self._note_lapse()
        super()._extend_lease(body)

    def _note_lapse(self) -> None:
        if self.clock_ms() >= self._lease_ms:
            self._ends_out_of_lease.update(row[0] for row in self._ended)

    def _end_run(self, run: harness.Run, how: str) -> None:
        super()._end_run(run, how)
        if self.late_list is not None:
            body, self.late_list = self.late_list, None
            self.record.add("late_list", worker=self.name, body=body)
            self._hold(body | {"wait_ms": 0})

    # --- threads ---------------------------------------------------------

    def _ping(self) -> None:
        while not self._closing.is_set():
            self._heartbeat_due.clear()
            left_s = self._heartbeats_from_s - time.monotonic()
            if left_s <= 0:
                left_s = harness.HEARTBEAT_S if self._send_heartbeat() else 0.3
            self._heartbeat_due.wait(left_s)

    def _send_heartbeat(self) -> bool:
        with self._lock:
            self._sequence += 1
            body = {
                "service": harness.SERVICE,
                "address": f"{self.ip}:{harness.WORKER_PORT}",
                "zone": "dach-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": 128_000, "mem_mb": 262_144, "gpus": 8},
                "labels": ["a", self.rack],
                "clock_ms": self.clock_ms(),
                "sequence": self._sequence,
                "born": self.born_ms,
            }
        address = f"{self.ip}:{harness.CONTROL_PORT}"
        status, _ = harness.call(
            address, "PUT", f"/instances/{self.id}", body, timeout_s=1.0
        )
        return status == 200


def _tracking_handler(
    base: Any, connections: set[socket.socket]
) -> type[BaseHTTPRequestHandler]:
    class Handler(base):
        """Notes its connection while it is open."""

        def setup(self) -> None:
            """Note the connection."""
            super().setup()
            connections.add(self.connection)

        def handle(self) -> None:
            """Serve calls until the connection ends, within one or not."""
            with suppress(ConnectionError, json.JSONDecodeError):
                super().handle()

        def finish(self) -> None:
            """Drop the connection."""
            connections.discard(self.connection)
            super().finish()

    return Handler


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The other side was faster.
        return

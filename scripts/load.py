"""Steady load on local processes, measuring the longest gap in service."""

import itertools
import threading
import time
import uuid
from typing import Any

import attrs
from platform_calls import PlatformClient, RequestResult

WORKSPACE = "quotes"
RUN_MS = 20


@attrs.define
class LoadResult:
    """Results of a load.

    Attributes
    ----------
    completion_times_s : list of float
        Completion times in seconds on the monotonic clock.
    """

    sent: int = 0
    complete: int = 0
    unknown: int = 0
    failures: list[str] = attrs.Factory(list)
    completion_times_s: list[float] = attrs.Factory(list)

    def longest_gap_s(self) -> float:
        """Return the longest time in seconds without a completion."""
        times = sorted(self.completion_times_s)
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        return max(gaps, default=0.0)


@attrs.define
class Load:
    """Threads that each send short requests, one at a time.

    Every second request is non-idempotent and carries a key, by which the
    stand-in backend servers count its starts.
    """

    platform: PlatformClient
    threads: int = 8
    result: LoadResult = attrs.Factory(LoadResult)
    _stop: threading.Event = attrs.Factory(threading.Event)
    _lock: threading.Lock = attrs.Factory(threading.Lock)
    _running: list[threading.Thread] = attrs.Factory(list)

    def __enter__(self) -> "Load":
        for number in range(self.threads):
            thread = threading.Thread(target=self._run, args=(number,), daemon=True)
            thread.start()
            self._running.append(thread)
        return self

    def __exit__(self, *exc: object) -> None:
        self._stop.set()
        for thread in self._running:
            thread.join()

    def _run(self, number: int) -> None:
        count = 0
        while not self._stop.is_set():
            count += 1
            request = short_request(idempotent=bool((count + number) % 2))
            with self._lock:
                self.result.sent += 1
            try:
                self._record(self.platform.run(request))
            except Exception as exc:
                with self._lock:
                    self.result.failures.append(f"{type(exc).__name__}: {exc}")

    def _record(self, outcome: RequestResult) -> None:
        with self._lock:
            self.result.completion_times_s.append(time.monotonic())
            if outcome.kind == "completed":
                self.result.complete += 1
            elif outcome.kind == "outcome_unknown":
                self.result.unknown += 1
            else:
                self.result.failures.append(f"{outcome.kind}: {outcome.detail}")


def short_request(*, idempotent: bool) -> dict[str, Any]:
    """Return a short request with a unique key."""
    key = uuid.uuid4().hex
    payload = {"run_ms": RUN_MS, "echo": key}
    if not idempotent:
        payload["key"] = key
    return {
        "key": key,
        "workspace": WORKSPACE,
        "job_class": "pricing",
        "shape": {
            "members": 1,
            "per_member": {"accelerators": 0, "processors": 1, "memory_mb": 64},
        },
        "run_time_ms": RUN_MS,
        "idempotent": idempotent,
        "payload": payload,
    }

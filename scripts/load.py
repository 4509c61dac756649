"""Steady load on local processes, with the longest gap in service."""

import itertools
import threading
import time
import uuid
from typing import Any

import attrs
from platform_calls import Answer, Platform

WORKSPACE = "quotes"
RUN_MS = 20


@attrs.define
class LoadResult:
    """What a load saw.

    Attributes
    ----------
    finished : list of float
        Times of completion in seconds, monotonic.
    """

    sent: int = 0
    whole: int = 0
    unknown: int = 0
    failures: list[str] = attrs.Factory(list)
    finished: list[float] = attrs.Factory(list)

    def longest_gap_s(self) -> float:
        """Return the longest time in seconds without a completion."""
        times = sorted(self.finished)
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        return max(gaps, default=0.0)


@attrs.define
class Load:
    """Threads that each send one short request after the other.

    Every second request is marked non-idempotent, so that the stand-ins can
    tell whether one was started twice.
    """

    platform: Platform
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
                self._note(self.platform.run(request))
            except Exception as exc:
                with self._lock:
                    self.result.failures.append(f"{type(exc).__name__}: {exc}")

    def _note(self, answer: Answer) -> None:
        with self._lock:
            self.result.finished.append(time.monotonic())
            if answer.kind == "completed":
                self.result.whole += 1
            elif answer.kind == "outcome_unknown":
                self.result.unknown += 1
            else:
                self.result.failures.append(f"{answer.kind}: {answer.detail}")


def short_request(*, idempotent: bool) -> dict[str, Any]:
    """Return a short request with a key of its own."""
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

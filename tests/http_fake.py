"""A fake event loop behind a real HTTP API listener."""

import contextlib
import hashlib
import json
import queue
import threading
from collections.abc import Iterator
from typing import Any

import attrs
import urllib3

from crocuswell_core.cluster.records import (
    JobSpec,
    Outcome,
    OutcomeRecord,
    Request,
    RequestPhase,
)
from crocuswell_core.entry.calls import Call
from crocuswell_core.runtime.effects import Count
from crocuswell_core.runtime.events import CallReceived, Event
from crocuswell_daemon.counters import find_metric
from crocuswell_daemon.http_api import CallerListener, Reply

TEST_TIMEOUT_S = 20.0
RESULT = b"a stub layout\x00\xff"
REQUEST = Request("r1", "tisk", JobSpec(job_class="stubs"), 1_000)
DONE = attrs.evolve(
    REQUEST,
    phase=RequestPhase.DONE,
    started_at_ms=1_100,
    attempts_made=1,
    outcome=OutcomeRecord(
        Outcome.COMPLETED,
        result=RESULT,
        length=len(RESULT),
        digest=hashlib.sha256(RESULT).hexdigest(),
        at_ms=1_200,
    ),
)
REQUEST_JSON = {
    "id": "r1",
    "workspace": "tisk",
    "job_class": "stubs",
    "phase": "queued",
    "attempts_made": 0,
    "accepted_at_ms": 1_000,
    "started_at_ms": None,
    "outcome": None,
}
KEY = {"Idempotency-Key": "k-1"}
REQUESTS_PATH = "/v1/workspaces/tisk/requests"
OPERATOR = KEY | {"X-Author": "Jürgen".encode().decode("latin-1")}
IF_MATCH = OPERATOR | {"If-Match": '"6"'}
CONFIGURATION_JSON = {
    "workspaces": [
        {
            "name": "tisk",
            "guarantees": [
                {
                    "members": 2,
                    "per_member": {
                        "accelerators": 0,
                        "processors": 1,
                        "memory_mb": 256,
                    },
                    "adjacency": "none",
                }
            ],
            "quota": None,
            "weight": 1,
            "queue_limit": 1_000,
            "retry_budget": 100,
        }
    ],
    "presets": [
        {
            "name": "ordinary",
            "fragmentation_weight": 1.0,
            "completion_weight": 1.0,
            "reserve_share": 0.0,
            "borrowing": True,
            "placement": True,
        }
    ],
    "active_preset": "ordinary",
    "limits": {
        "run_lease_ms": 15_000,
        "result_retention_ms": 3_600_000,
        "result_bytes": 65_536,
        "quarantine_share": 0.2,
        "attempts": 5,
    },
    "objectives": [],
}


class FakeLoop:
    """Answers calls with queued replies; records other events."""

    def __init__(self) -> None:
        self.events: queue.Queue[Event] = queue.Queue()
        self.counts: list[Count] = []
        self.replies: list[Reply] = []
        self.calls: list[Call] = []
        self.listener: CallerListener

    def post(self, event: Event) -> None:
        if self.replies and isinstance(event, CallReceived):
            self.calls.append(event.call)
            reply = self.replies.pop(0)
            threading.Thread(
                target=self.listener.answer, args=(event.call_id, reply)
            ).start()
        else:
            self.events.put(event)

    def next_event(self) -> Any:
        return self.events.get(timeout=TEST_TIMEOUT_S)

    def count(self, count: Count) -> None:
        find_metric(count.counter, count.labels)
        self.counts.append(count)


@contextlib.contextmanager
def serving(call_timeout_ms: int = 15_000) -> Iterator[FakeLoop]:
    loop = FakeLoop()
    listener = CallerListener(
        "127.0.0.1",
        0,
        post=loop.post,
        metrics=lambda: b"crocuswell_up 1\n",
        count=loop.count,
        call_timeout_ms=call_timeout_ms,
    )
    loop.listener = listener
    with listener:
        yield loop


def fetch(
    loop: FakeLoop,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> urllib3.BaseHTTPResponse:
    data = body if body is None or isinstance(body, bytes) else json.dumps(body)
    return urllib3.request(
        method,
        f"http://127.0.0.1:{loop.listener.port}{path}",
        body=data,
        headers=headers,
        timeout=TEST_TIMEOUT_S,
        retries=False,
    )

"""Calls to the HTTP API, with fail-over between entry hosts."""

import json
import random
import threading
import uuid
from typing import Any

import attrs
import urllib3

CONNECT_LIMIT_S = 2.0
READ_LIMIT_S = 35.0
ROUNDS = 4
PAUSE_S = 0.3


class CallError(Exception):
    """A call that was refused, with the platform's problem document.

    Attributes
    ----------
    kind : str
        One of the closed list of error kinds, or `unreachable`.
    """

    def __init__(self, kind: str, detail: str, status: int = 0):
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.status = status


@attrs.frozen
class Reply:
    """A successful answer."""

    status: int
    body: bytes
    headers: dict[str, str]

    def json(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)


@attrs.define
class Client:
    """Calls any of the entry hosts; the next one is tried on failure.

    A call is sent again with the same key, so it takes effect once.
    """

    endpoints: tuple[str, ...]
    author: str = ""
    pool: urllib3.PoolManager = attrs.Factory(
        lambda: urllib3.PoolManager(retries=False)
    )

    def get(self, path: str) -> Reply:
        """Read."""
        return self.call("GET", path)

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        key: str = "",
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Make a call.

        Raises
        ------
        CallError
            If it was refused, or no entry host answered.
        """
        fields = {"Content-Type": "application/json"} | (headers or {})
        if method != "GET":
            fields["Idempotency-Key"] = key or uuid.uuid4().hex
            fields["X-Author"] = self.author
        data = None if body is None else json.dumps(body).encode()
        start = random.randrange(len(self.endpoints))
        failure = CallError("unreachable", "no entry host answered")
        for attempt in range(ROUNDS * len(self.endpoints)):
            endpoint = self.endpoints[(start + attempt) % len(self.endpoints)]
            try:
                return self._send(method, f"http://{endpoint}{path}", data, fields)
            except urllib3.exceptions.HTTPError as exc:
                failure = CallError("unreachable", f"{endpoint}: {exc}")
            except CallError as exc:
                if exc.kind != "unavailable":
                    raise
                failure = exc
            threading.Event().wait(PAUSE_S)
        raise failure

    def _send(
        self, method: str, url: str, data: bytes | None, fields: dict[str, str]
    ) -> Reply:
        timeout = urllib3.Timeout(connect=CONNECT_LIMIT_S, read=READ_LIMIT_S)
        answer = self.pool.request(
            method, url, body=data, headers=fields, timeout=timeout
        )
        if answer.status >= 400:
            raise _to_error(answer.status, answer.data)
        return Reply(answer.status, answer.data, dict(answer.headers))


def _to_error(status: int, body: bytes) -> CallError:
    try:
        problem = json.loads(body)
        detail = problem.get("detail") or problem["title"]
        return CallError(problem["kind"], detail, status)
    except (ValueError, KeyError, TypeError):
        return CallError("internal", f"status {status} without a problem", status)

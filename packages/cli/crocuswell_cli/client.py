"""Client for the HTTP API with fail-over between entry hosts."""

import json
import random
import threading
import uuid
from typing import Any

import attrs
import urllib3

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 35.0
MAX_ROUNDS = 4
RETRY_PAUSE_S = 0.3


class CallError(Exception):
    """A call was refused or got no answer.

    Attributes
    ----------
    kind : str
        Error kind from the API's problem document, or `unreachable`.
    status : int
        HTTP status; 0 if there was no answer.
    """

    def __init__(self, kind: str, detail: str, status: int = 0):
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.status = status


@attrs.frozen
class Reply:
    """A successful response."""

    status: int
    body: bytes
    headers: dict[str, str]

    def json(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)


@attrs.define
class Client:
    """Calls any of the entry hosts and tries the next one on failure.

    Retries of a call carry the same idempotency key, so that it takes effect
    only once.
    """

    endpoints: tuple[str, ...]
    author: str = ""
    pool: urllib3.PoolManager = attrs.Factory(
        lambda: urllib3.PoolManager(retries=False)
    )

    def get(self, path: str) -> Reply:
        """Make a `GET` call."""
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

        Parameters
        ----------
        key : str
            Idempotency key; a new one is made if it is empty.

        Raises
        ------
        CallError
            If the call was refused, or no entry host answered.
        """
        request_headers = {"Content-Type": "application/json"} | (headers or {})
        if method != "GET":
            request_headers["Idempotency-Key"] = key or uuid.uuid4().hex
            request_headers["X-Author"] = self.author
        data = None if body is None else json.dumps(body).encode()
        first = random.randrange(len(self.endpoints))
        last_error = CallError("unreachable", "no entry host answered")
        for attempt in range(MAX_ROUNDS * len(self.endpoints)):
            endpoint = self.endpoints[(first + attempt) % len(self.endpoints)]
            try:
                return self._send(
                    method, f"http://{endpoint}{path}", data, request_headers
                )
            except urllib3.exceptions.HTTPError as exc:
                last_error = CallError("unreachable", f"{endpoint}: {exc}")
            except CallError as exc:
                if exc.kind != "unavailable":
                    raise
                last_error = exc
            threading.Event().wait(RETRY_PAUSE_S)
        raise last_error

    def _send(
        self, method: str, url: str, data: bytes | None, request_headers: dict[str, str]
    ) -> Reply:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        resp = self.pool.request(
            method, url, body=data, headers=request_headers, timeout=timeout
        )
        if resp.status >= 400:
            raise _to_error(resp.status, resp.data)
        return Reply(resp.status, resp.data, dict(resp.headers))


def _to_error(status: int, body: bytes) -> CallError:
    try:
        problem = json.loads(body)
        detail = problem.get("detail") or problem["title"]
        return CallError(problem["kind"], detail, status)
    except (ValueError, KeyError, TypeError):
        return CallError(
            "internal", f"status {status} without a problem document", status
        )

"""HTTP API client for scripts, with fail-over between entry hosts."""

import base64
import json
import random
import threading
import uuid
from pathlib import Path
from typing import Any

import attrs
import urllib3
import yaml

from crocuswell_cli import declarations

READ_TIMEOUT_S = 40
WAIT_MS = 10_000
MAX_TRIES = 30
RETRY_DELAY_S = 0.2


@attrs.frozen
class RequestResult:
    """Final result of a request.

    Attributes
    ----------
    kind : str
        Outcome, or the error kind if the request was refused.
    """

    kind: str
    detail: str = ""
    result: bytes = b""


def load_declarations(folder: Path) -> dict[str, Any]:
    """Validate a folder of declarations and return the API document."""
    document: dict[str, Any] = declarations.to_document(
        declarations.load(folder).configuration
    )
    return document


def load_requests(path: Path, rounds: int) -> list[dict[str, Any]]:
    """Read a request file and repeat its requests with unique keys."""
    requests = yaml.safe_load(path.read_text(encoding="utf-8"))["requests"]
    return [
        _with_numbered_key(request, number)
        for number in range(rounds)
        for request in requests
    ]


def _with_numbered_key(request: dict[str, Any], number: int) -> dict[str, Any]:
    key = f"{request['key']}-{number}"
    payload = dict(request["payload"])
    if "key" in payload:
        payload["key"] = key
    return {**request, "key": key, "payload": payload}


@attrs.define
class PlatformClient:
    """Client for callers' and operators' calls to any entry host.

    Attributes
    ----------
    read_timeout_s : float
        Time in seconds to wait for a response before trying the next entry
        host.
    """

    endpoints: list[str]
    read_timeout_s: float = READ_TIMEOUT_S
    pool: urllib3.PoolManager = attrs.Factory(
        lambda: urllib3.PoolManager(maxsize=32, retries=False)
    )

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Make a call, trying the entry hosts in turn until one responds.

        Each try sends the same headers, including the idempotency key, so
        that a call whose response was lost takes effect once.

        Raises
        ------
        RuntimeError
            If no try got a response with a status below 500.
        """
        data = None if body is None else json.dumps(body).encode()
        all_headers = {"Content-Type": "application/json"} | (headers or {})
        last_error = "no entry host answered"
        first_index = random.randrange(len(self.endpoints))
        for attempt in range(MAX_TRIES):
            endpoint = self.endpoints[(first_index + attempt) % len(self.endpoints)]
            try:
                response = self.pool.request(
                    method,
                    f"http://{endpoint}{path}",
                    body=data,
                    headers=all_headers,
                    timeout=urllib3.Timeout(connect=1, read=self.read_timeout_s),
                )
            except urllib3.exceptions.HTTPError as exc:
                last_error = str(exc)
                self._wait_before_retry()
                continue
            if response.status < 500:
                return response
            last_error = response.data.decode(errors="replace")
            self._wait_before_retry()
        raise RuntimeError(last_error)

    def _wait_before_retry(self) -> None:
        threading.Event().wait(RETRY_DELAY_S)

    def apply(self, configuration: dict[str, Any]) -> int:
        """Replace the configuration and return its number."""
        number = self.call("GET", "/v1/configuration").json()["number"]
        headers = {
            "Idempotency-Key": uuid.uuid4().hex,
            "If-Match": f'"{number}"',
            "X-Author": "demo",
        }
        response = self.call("PUT", "/v1/configuration", configuration, headers)
        if response.status != 200:
            raise RuntimeError(response.data.decode(errors="replace"))
        return int(response.json()["number"])

    def run(self, request: dict[str, Any]) -> RequestResult:
        """Submit a request, wait for its outcome and fetch its result."""
        body = {
            key: value
            for key, value in request.items()
            if key not in {"key", "workspace", "expect"}
        }
        payload = json.dumps(request["payload"]).encode()
        body["payload"] = base64.b64encode(payload).decode()
        response = self.call(
            "POST",
            f"/v1/workspaces/{request['workspace']}/requests?wait_ms={self._wait_ms()}",
            body,
            {"Idempotency-Key": request["key"]},
        )
        view = response.json()
        if response.status >= 400:
            return RequestResult(view["kind"], view.get("detail", ""))
        while view.get("outcome") is None:
            path = f"/v1/requests/{view['id']}?wait_ms={self._wait_ms()}"
            view = self._require_success(self.call("GET", path))
        outcome = view["outcome"]
        if outcome["outcome"] != "completed":
            return RequestResult(outcome["outcome"], outcome["detail"])
        result = self.call("GET", f"/v1/requests/{view['id']}/result").data
        if len(result) != outcome["length"]:
            raise RuntimeError(
                "the length of the result differs from the recorded length"
            )
        return RequestResult("completed", "", result)

    def _require_success(self, response: urllib3.BaseHTTPResponse) -> dict[str, Any]:
        if response.status >= 400:
            raise RuntimeError(f"{response.status}: {response.data.decode()}")
        return dict(response.json())

    def _wait_ms(self) -> int:
        return min(WAIT_MS, int(self.read_timeout_s * 500))

    def leader(self) -> str:
        """Return the id of the leading entry host."""
        return str(self.call("GET", "/v1/members").json()["leader"])

    def worker(self, name: str) -> dict[str, Any]:
        """Return the API's view of a worker."""
        views = self.call("GET", "/v1/workers").json()["workers"]
        return dict(next(view for view in views if view["worker"] == name))

    def count_duplicate_starts(self, backends: list[str]) -> int:
        """Count non-idempotent requests that were started more than once."""
        starts: dict[str, int] = {}
        for backend in backends:
            for key, count in self.standin_starts(backend).items():
                starts[key] = starts.get(key, 0) + count
        return sum(1 for count in starts.values() if count > 1)

    def standin_starts(self, backend: str) -> dict[str, int]:
        """Return a stand-in's number of starts by idempotency key."""
        response = self.pool.request("GET", f"http://{backend}/control", timeout=5)
        return dict(response.json()["key_starts"])

"""Calls to the HTTP API for scripts, with fail-over between entry hosts."""

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

CALL_LIMIT_S = 40
WAIT_MS = 10_000
ROUNDS_LIMIT = 30
PAUSE_S = 0.2


@attrs.frozen
class Answer:
    """The end of a request.

    Attributes
    ----------
    kind : str
        Outcome, or error kind of a refusal.
    """

    kind: str
    detail: str = ""
    result: bytes = b""


def load_declarations(folder: Path) -> dict[str, Any]:
    """Check the declarations of a folder and return the API's document."""
    document: dict[str, Any] = declarations.to_document(
        declarations.load(folder).configuration
    )
    return document


def load_requests(path: Path, rounds: int) -> list[dict[str, Any]]:
    """Read a request file and repeat it under new keys."""
    requests = yaml.safe_load(path.read_text(encoding="utf-8"))["requests"]
    return [
        _numbered(request, number) for number in range(rounds) for request in requests
    ]


def _numbered(request: dict[str, Any], number: int) -> dict[str, Any]:
    key = f"{request['key']}-{number}"
    payload = dict(request["payload"])
    if "key" in payload:
        payload["key"] = key
    return {**request, "key": key, "payload": payload}


@attrs.define
class Platform:
    """Callers' and operators' calls, to whichever entry host answers.

    Attributes
    ----------
    read_s : float
        Time in seconds to wait for an answer before the next entry host is
        tried.
    """

    endpoints: list[str]
    read_s: float = CALL_LIMIT_S
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
        """Make a call, trying every entry host until one answers.

        The same key is sent each time, so that a call whose answer was lost
        takes effect once.
        """
        data = None if body is None else json.dumps(body).encode()
        fields = {"Content-Type": "application/json"} | (headers or {})
        failure = "no entry host answered"
        start = random.randrange(len(self.endpoints))
        for attempt in range(ROUNDS_LIMIT):
            endpoint = self.endpoints[(start + attempt) % len(self.endpoints)]
            try:
                answer = self.pool.request(
                    method,
                    f"http://{endpoint}{path}",
                    body=data,
                    headers=fields,
                    timeout=urllib3.Timeout(connect=1, read=self.read_s),
                )
            except urllib3.exceptions.HTTPError as exc:
                failure = str(exc)
                self._pause()
                continue
            if answer.status < 500:
                return answer
            failure = answer.data.decode(errors="replace")
            self._pause()
        raise RuntimeError(failure)

    def _pause(self) -> None:
        threading.Event().wait(PAUSE_S)

    def apply(self, configuration: dict[str, Any]) -> int:
        """Replace the configuration and return its number."""
        number = self.call("GET", "/v1/configuration").json()["number"]
        headers = {
            "Idempotency-Key": uuid.uuid4().hex,
            "If-Match": f'"{number}"',
            "X-Author": "demo",
        }
        answer = self.call("PUT", "/v1/configuration", configuration, headers)
        if answer.status != 200:
            raise RuntimeError(answer.data.decode(errors="replace"))
        return int(answer.json()["number"])

    def run(self, request: dict[str, Any]) -> Answer:
        """Submit a request and wait for its outcome and whole result."""
        body = {
            key: value
            for key, value in request.items()
            if key not in {"key", "workspace", "expect"}
        }
        payload = json.dumps(request["payload"]).encode()
        body["payload"] = base64.b64encode(payload).decode()
        answer = self.call(
            "POST",
            f"/v1/workspaces/{request['workspace']}/requests?wait_ms={self._wait_ms()}",
            body,
            {"Idempotency-Key": request["key"]},
        )
        view = answer.json()
        if answer.status >= 400:
            return Answer(view["kind"], view.get("detail", ""))
        while view.get("outcome") is None:
            path = f"/v1/requests/{view['id']}?wait_ms={self._wait_ms()}"
            view = self._require(self.call("GET", path))
        outcome = view["outcome"]
        if outcome["outcome"] != "completed":
            return Answer(outcome["outcome"], outcome["detail"])
        result = self.call("GET", f"/v1/requests/{view['id']}/result").data
        if len(result) != outcome["length"]:
            raise RuntimeError("the result is not whole")
        return Answer("completed", "", result)

    def _require(self, answer: urllib3.BaseHTTPResponse) -> dict[str, Any]:
        if answer.status >= 400:
            raise RuntimeError(f"{answer.status}: {answer.data.decode()}")
        return dict(answer.json())

    def _wait_ms(self) -> int:
        return min(WAIT_MS, int(self.read_s * 500))

    def leader(self) -> str:
        """Return the id of the leading entry host."""
        return str(self.call("GET", "/v1/members").json()["leader"])

    def worker(self, name: str) -> dict[str, Any]:
        """Return what the platform knows of a worker."""
        views = self.call("GET", "/v1/workers").json()["workers"]
        return dict(next(view for view in views if view["worker"] == name))

    def count_doubled(self, backends: list[str]) -> int:
        """Count non-idempotent requests that were started more than once."""
        starts: dict[str, int] = {}
        for backend in backends:
            for key, count in self.standin_starts(backend).items():
                starts[key] = starts.get(key, 0) + count
        return sum(1 for count in starts.values() if count > 1)

    def standin_starts(self, backend: str) -> dict[str, int]:
        """Return how often a stand-in started each marked request."""
        answer = self.pool.request("GET", f"http://{backend}/control", timeout=5)
        return dict(answer.json()["key_starts"])

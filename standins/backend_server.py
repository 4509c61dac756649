"""Test double of the platform's backend server.

It implements the protocol of docs/backend-protocol.md. `POST /control`
changes its behaviour, `GET /control` returns counters; both use JSON and are
not part of the protocol.
"""

import argparse
import base64
import hashlib
import json
import sys
import threading
import time
from collections.abc import Callable, Iterable
from functools import singledispatch
from pathlib import Path
from types import TracebackType
from typing import Any, Self
from urllib.parse import unquote

import attrs
from cheroot import wsgi

from crocuswell_core.agent.backend import (
    Accepted,
    BackendCall,
    BackendReply,
    BackendTask,
    Describe,
    Described,
    FetchResult,
    ForgetOnBackend,
    Rejected,
    ResultFetched,
    StartOnBackend,
    StopOnBackend,
    ThrottleOnBackend,
)
from crocuswell_core.cluster.records import AttemptId, WorkerInfo
from crocuswell_core.cluster.resources import CONNECTIONS_PER_WORKER, Resources

if not __package__:
    # Started as a script, so its folder's parent is not on the path.
    sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.backend_tasks import (
    Backend,
    advance,
    execute_call,
    running_tasks,
)

SILENCE_LIMIT_S = 30.0
KEEP_ALIVE_S = 60
# WSGI environ key under which `RequestGateway` stores cheroot's request, so
# that the application can close the connection.
REQUEST_KEY = "standin.request"
Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@attrs.frozen
class ResponseFault:
    """A fault to inject into responses.

    Attributes
    ----------
    kind : str
        `silent`: the call is not executed and gets no response.
        `late`: the call is executed, the response is sent `late_ms` later.
        `swapped`: executed, with the response to an earlier call.
        `cut`: executed, with only half of the response body.
        `wrong_digest`, `wrong_length`: executed, with that header wrong.
        `error`: not executed, status 500.
        Empty: no fault.
    calls : tuple of str
        Names of the call types that it applies to; empty for all.
    late_ms : int
        Delay of a `late` response in ms.
    times : int
        Number of calls that it applies to; -1 for no limit.
    """

    kind: str = ""
    calls: tuple[str, ...] = ()
    late_ms: int = 0
    times: int = -1


@attrs.frozen
class HttpResponse:
    """An HTTP response."""

    status: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.define
class StandinApp:
    """WSGI application that serves a `Backend` over HTTP.

    Attributes
    ----------
    released : threading.Event
        Set to release the calls that a `silent` or `late` fault holds back.
    previous_response : HttpResponse or None
        Response to the call before, returned by a `swapped` fault.
    calls : dict
        Number of calls by type.
    """

    backend: Backend
    misbehaviour: ResponseFault = ResponseFault()
    lock: threading.Lock = attrs.Factory(threading.Lock)
    released: threading.Event = attrs.Factory(threading.Event)
    previous_response: HttpResponse | None = None
    calls: dict[str, int] = attrs.Factory(dict)

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Handle one WSGI request."""
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        if environ["PATH_INFO"] == "/control":
            response = self._control(environ, body)
        else:
            response = self._handle_call(environ, body)
        start(response.status, list(response.headers))
        return [response.body]

    def _control(self, environ: Environ, body: bytes) -> HttpResponse:
        with self.lock:
            if environ["REQUEST_METHOD"] == "POST":
                apply_control(self, json.loads(body))
            advance(self.backend, now_ms())
            counts = {
                "starts": self.backend.starts,
                "key_starts": self.backend.key_starts,
                "running": len(running_tasks(self.backend)),
                "most_running": self.backend.most_running,
                "calls": self.calls,
            }
            return _json_response("200 OK", counts)

    def _handle_call(self, environ: Environ, body: bytes) -> HttpResponse:
        call, member = read_call(environ, body)
        name = type(call).__name__
        with self.lock:
            self.calls[name] = self.calls.get(name, 0) + 1
            fault = self._next_fault(name)
        if fault.kind == "silent":
            self.released.wait(SILENCE_LIMIT_S)
            return _json_response("500 Silent", {})
        if fault.kind == "error":
            return _json_response("500 Error", {})
        with self.lock:
            reply = execute_call(call, self.backend, now_ms())
            response = to_response(reply)
        headers = (
            *response.headers,
            ("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", "")),
            *((("X-Member", member),) if member else ()),
        )
        response = attrs.evolve(response, headers=headers)
        if fault.kind == "late":
            self.released.wait(fault.late_ms / 1000)
        with self.lock:
            previous_response, self.previous_response = self.previous_response, response
        if fault.kind == "cut":
            environ[REQUEST_KEY].close_connection = True
        return (
            _RESPONSE_FAULTS[fault.kind](response, previous_response)
            if fault.kind
            else response
        )

    def _next_fault(self, name: str) -> ResponseFault:
        fault = self.misbehaviour
        if not fault.times or (fault.calls and name not in fault.calls):
            return ResponseFault()
        if fault.times > 0:
            self.misbehaviour = attrs.evolve(fault, times=fault.times - 1)
        return fault


def now_ms() -> int:
    """Return monotonic time in ms."""
    return time.monotonic_ns() // 1_000_000


def apply_control(server: StandinApp, settings: dict[str, Any]) -> None:
    """Apply the settings of a `POST /control` request."""
    backend = server.backend
    if "draining" in settings:
        backend.info = attrs.evolve(backend.info, draining=settings["draining"])
    if "fail_all" in settings:
        backend.fail_all = settings["fail_all"]
    if "misbehaviour" in settings:
        server.misbehaviour = ResponseFault(**settings["misbehaviour"])
        server.released.set()
        server.released = threading.Event()
    if settings.get("restart"):
        restarted = Backend(backend.info)
        backend.incarnation, backend.tasks = restarted.incarnation, restarted.tasks


# --- encoding ------------------------------------------------------------


def read_call(environ: Environ, body: bytes) -> tuple[BackendCall, str]:
    """Parse a request into its call and its member's name."""
    parts = environ["REQUEST_URI"].partition("?")[0].split("/")[1:]
    data = json.loads(body) if body else {}
    if parts == ["v1", "state"]:
        lease_until_ms = int(environ["QUERY_STRING"].partition("=")[2] or 0)
        return Describe(lease_until_ms=lease_until_ms), ""
    _, _, request_id, epoch, rank, *action = parts
    attempt = AttemptId(unquote(request_id), int(epoch))
    method_and_action = (environ["REQUEST_METHOD"], *action)
    call = _CALL_READERS[method_and_action](attempt, int(rank), data)
    return call, f"{request_id}.{epoch}.{rank}"


def _read_start(attempt: AttemptId, rank: int, data: dict[str, Any]) -> BackendCall:
    checkpoint = data["checkpoint"]
    return StartOnBackend(
        attempt,
        rank,
        data["members"],
        Resources(**data["resources"]),
        tuple(data["accelerators"]),
        base64.b64decode(data["payload"]),
        data["run_time_ms"],
        None if checkpoint is None else base64.b64decode(checkpoint),
        data["start_by_ms"],
        data["lease_until_ms"],
    )


_CALL_READERS: dict[tuple[str, ...], Callable[[AttemptId, int, Any], BackendCall]] = {
    ("PUT",): _read_start,
    ("POST", "stop"): lambda attempt, rank, data: StopOnBackend(
        attempt, rank, data["checkpoint_ms"]
    ),
    ("POST", "throttle"): lambda attempt, rank, data: ThrottleOnBackend(
        attempt, rank, data["percent"]
    ),
    ("GET", "result"): lambda attempt, rank, data: FetchResult(attempt, rank),
    ("DELETE",): lambda attempt, rank, data: ForgetOnBackend(attempt, rank),
}


@singledispatch
def to_response(reply: BackendReply) -> HttpResponse:
    """Encode a reply as an HTTP response."""
    raise NotImplementedError(type(reply).__name__)


@to_response.register
def _(reply: Described) -> HttpResponse:
    data = attrs.asdict(reply.info)
    data["incarnation"] = reply.incarnation
    data["tasks"] = [_task_to_json(task) for task in reply.tasks]
    return _json_response("200 OK", data)


@to_response.register
def _(reply: Accepted) -> HttpResponse:
    return _json_response("200 OK", {})


@to_response.register
def _(reply: Rejected) -> HttpResponse:
    return _json_response("409 Conflict", attrs.asdict(reply))


@to_response.register
def _(reply: ResultFetched) -> HttpResponse:
    return _raw_response("200 OK", reply.result)


def _task_to_json(task: BackendTask) -> dict[str, Any]:
    data = attrs.asdict(task)
    data |= data.pop("attempt")
    if task.checkpoint is not None:
        data["checkpoint"] = base64.b64encode(task.checkpoint).decode()
    return data


def _json_response(status: str, data: dict[str, Any]) -> HttpResponse:
    return _raw_response(status, json.dumps(data).encode())


def _raw_response(status: str, body: bytes) -> HttpResponse:
    digest = base64.b64encode(hashlib.sha256(body).digest()).decode()
    headers = (
        ("Content-Length", str(len(body))),
        ("Content-Digest", f"sha-256=:{digest}:"),
    )
    return HttpResponse(status, headers, body)


# --- response faults -----------------------------------------------------


def _replace_header(response: HttpResponse, name: str, value: str) -> HttpResponse:
    other_headers = tuple(header for header in response.headers if header[0] != name)
    return attrs.evolve(response, headers=(*other_headers, (name, value)))


def _truncate_body(
    response: HttpResponse, previous_response: HttpResponse | None
) -> HttpResponse:
    return attrs.evolve(response, body=response.body[: len(response.body) // 2])


_RESPONSE_FAULTS: dict[
    str, Callable[[HttpResponse, HttpResponse | None], HttpResponse]
] = {
    "late": lambda response, previous_response: response,
    "swapped": lambda response, previous_response: previous_response or response,
    "cut": _truncate_body,
    "wrong_digest": lambda response, previous_response: _replace_header(
        response, "Content-Digest", "sha-256=:AAAA:"
    ),
    "wrong_length": lambda response, previous_response: _replace_header(
        response, "Content-Length", str(len(response.body) + 1)
    ),
}


# --- process -------------------------------------------------------------


class RequestGateway(wsgi.Gateway_10):
    """Adds cheroot's request to the WSGI environ."""

    def get_environ(self) -> Environ:  # type: ignore[override]
        """Return the WSGI environ, including cheroot's request."""
        return {**super().get_environ(), REQUEST_KEY: self.req}


class Standin:
    """Stand-in server; a context manager that serves on a thread.

    Parameters
    ----------
    listen : str
        `host:port`; port 0 selects a free port.
    """

    def __init__(self, info: WorkerInfo, listen: str = "127.0.0.1:0") -> None:
        host, _, port = listen.rpartition(":")
        self.app = StandinApp(Backend(info))
        self._http = wsgi.Server(
            (host, int(port)),
            self.app,
            numthreads=CONNECTIONS_PER_WORKER,
            max=CONNECTIONS_PER_WORKER,
            request_queue_size=CONNECTIONS_PER_WORKER,
            timeout=KEEP_ALIVE_S,
            shutdown_timeout=1,
        )
        self._http.keep_alive_conn_limit = CONNECTIONS_PER_WORKER
        self._http.gateway = RequestGateway
        self._http.prepare()
        self.address = f"{host}:{self._http.bind_addr[1]}"
        self._thread = threading.Thread(target=self.serve, daemon=True)

    def serve(self) -> None:
        """Serve until `close` is called."""
        self._http.serve()

    def close(self) -> None:
        """Stop serving and release the calls that are held back."""
        self.app.misbehaviour = ResponseFault()
        self.app.released.set()
        self._http.stop()

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()
        self._thread.join()


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--worker", required=True)
    parser.add_argument("--rack", default="r1")
    parser.add_argument("--failure-domain", default="fd-a")
    parser.add_argument("--accelerators", type=int, default=8)
    parser.add_argument("--processors", type=int, default=128)
    parser.add_argument("--memory-mb", type=int, default=262_144)
    args = parser.parse_args()
    capacity = Resources(args.accelerators, args.processors, args.memory_mb)
    info = WorkerInfo(args.worker, args.rack, args.failure_domain, capacity)
    server = Standin(info, args.listen)
    print(server.address, flush=True)
    try:
        server.serve()
    except KeyboardInterrupt:
        server.close()


if __name__ == "__main__":
    main()

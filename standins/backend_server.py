"""Stand-in of the platform's backend server, see docs/backend-protocol.md.

`POST /control` changes its behaviour and `GET /control` returns counts;
both take or return JSON and are no part of the protocol.
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
    running,
    serve,
)

SILENCE_LIMIT_S = 30.0
KEEP_ALIVE_S = 60
# Where `Gateway` puts cheroot's request, so that the connection can be cut.
REQUEST_KEY = "standin.request"
Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@attrs.frozen
class Misbehaviour:
    """How answers are spoilt.

    Attributes
    ----------
    kind : str
        `silent`: the call is not carried out and gets no answer.
        `late`: the call is carried out, the answer comes `late_ms` later.
        `swapped`: carried out, with the answer to an earlier call.
        `cut`: carried out, half of the answer's body arrives.
        `wrong_digest`, `wrong_length`: carried out, with that header wrong.
        `error`: not carried out, status 500.
    calls : tuple of str
        Names of the call types that it applies to; empty for all.
    times : int
        Number of calls that it applies to; -1 for no limit.
    """

    kind: str = ""
    calls: tuple[str, ...] = ()
    late_ms: int = 0
    times: int = -1


@attrs.frozen
class Answer:
    """An HTTP answer."""

    status: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.define
class Server:
    """The HTTP edge of a `Backend`."""

    backend: Backend
    misbehaviour: Misbehaviour = Misbehaviour()
    lock: threading.Lock = attrs.Factory(threading.Lock)
    released: threading.Event = attrs.Factory(threading.Event)
    previous: Answer | None = None
    calls: dict[str, int] = attrs.Factory(dict)

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one request, as WSGI asks."""
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        if environ["PATH_INFO"] == "/control":
            made = self._control(environ, body)
        else:
            made = self._answer(environ, body)
        start(made.status, list(made.headers))
        return [made.body]

    def _control(self, environ: Environ, body: bytes) -> Answer:
        with self.lock:
            if environ["REQUEST_METHOD"] == "POST":
                control(self, json.loads(body))
            advance(self.backend, now_ms())
            counts = {
                "starts": self.backend.starts,
                "key_starts": self.backend.key_starts,
                "running": len(running(self.backend)),
                "most_running": self.backend.most_running,
                "calls": self.calls,
            }
            return _json_answer("200 OK", counts)

    def _answer(self, environ: Environ, body: bytes) -> Answer:
        call, member = read_call(environ, body)
        name = type(call).__name__
        with self.lock:
            self.calls[name] = self.calls.get(name, 0) + 1
            spoil = self._take_misbehaviour(name)
        if spoil.kind == "silent":
            self.released.wait(SILENCE_LIMIT_S)
            return _json_answer("500 Silent", {})
        if spoil.kind == "error":
            return _json_answer("500 Error", {})
        with self.lock:
            reply = serve(call, self.backend, now_ms())
            made = to_answer(reply)
        headers = (
            *made.headers,
            ("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", "")),
            *((("X-Member", member),) if member else ()),
        )
        made = attrs.evolve(made, headers=headers)
        if spoil.kind == "late":
            self.released.wait(spoil.late_ms / 1000)
        with self.lock:
            previous, self.previous = self.previous, made
        if spoil.kind == "cut":
            environ[REQUEST_KEY].close_connection = True
        return _SPOILERS[spoil.kind](made, previous) if spoil.kind else made

    def _take_misbehaviour(self, name: str) -> Misbehaviour:
        spoil = self.misbehaviour
        if not spoil.times or (spoil.calls and name not in spoil.calls):
            return Misbehaviour()
        if spoil.times > 0:
            self.misbehaviour = attrs.evolve(spoil, times=spoil.times - 1)
        return spoil


def now_ms() -> int:
    """Return monotonic time in ms."""
    return time.monotonic_ns() // 1_000_000


def control(server: Server, orders: dict[str, Any]) -> None:
    """Carry out orders to the stand-in itself."""
    backend = server.backend
    if "draining" in orders:
        backend.info = attrs.evolve(backend.info, draining=orders["draining"])
    if "fail_all" in orders:
        backend.fail_all = orders["fail_all"]
    if "misbehaviour" in orders:
        server.misbehaviour = Misbehaviour(**orders["misbehaviour"])
        server.released.set()
        server.released = threading.Event()
    if orders.get("restart"):
        fresh = Backend(backend.info)
        backend.incarnation, backend.tasks = fresh.incarnation, fresh.tasks


# --- encoding ------------------------------------------------------------


def read_call(environ: Environ, body: bytes) -> tuple[BackendCall, str]:
    """Return the call that a request makes, and its member's name."""
    parts = environ["REQUEST_URI"].partition("?")[0].split("/")[1:]
    data = json.loads(body) if body else {}
    if parts == ["v1", "state"]:
        lease_until_ms = int(environ["QUERY_STRING"].partition("=")[2] or 0)
        return Describe(lease_until_ms=lease_until_ms), ""
    _, _, request_id, epoch, rank, *action = parts
    attempt = AttemptId(unquote(request_id), int(epoch))
    route = (environ["REQUEST_METHOD"], *action)
    call = _ROUTES[route](attempt, int(rank), data)
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


_ROUTES: dict[tuple[str, ...], Callable[[AttemptId, int, Any], BackendCall]] = {
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
def to_answer(reply: BackendReply) -> Answer:
    """Encode a reply, dispatched on its type."""
    raise NotImplementedError(type(reply).__name__)


@to_answer.register
def _(reply: Described) -> Answer:
    data = attrs.asdict(reply.info)
    data["incarnation"] = reply.incarnation
    data["tasks"] = [_task_to_json(task) for task in reply.tasks]
    return _json_answer("200 OK", data)


@to_answer.register
def _(reply: Accepted) -> Answer:
    return _json_answer("200 OK", {})


@to_answer.register
def _(reply: Rejected) -> Answer:
    return _json_answer("409 Conflict", attrs.asdict(reply))


@to_answer.register
def _(reply: ResultFetched) -> Answer:
    return _raw_answer("200 OK", reply.result)


def _task_to_json(task: BackendTask) -> dict[str, Any]:
    data = attrs.asdict(task)
    data |= data.pop("attempt")
    if task.checkpoint is not None:
        data["checkpoint"] = base64.b64encode(task.checkpoint).decode()
    return data


def _json_answer(status: str, data: dict[str, Any]) -> Answer:
    return _raw_answer(status, json.dumps(data).encode())


def _raw_answer(status: str, body: bytes) -> Answer:
    digest = base64.b64encode(hashlib.sha256(body).digest()).decode()
    headers = (
        ("Content-Length", str(len(body))),
        ("Content-Digest", f"sha-256=:{digest}:"),
    )
    return Answer(status, headers, body)


# --- misbehaviour --------------------------------------------------------


def _with_header(made: Answer, name: str, value: str) -> Answer:
    kept = tuple(header for header in made.headers if header[0] != name)
    return attrs.evolve(made, headers=(*kept, (name, value)))


def _cut(made: Answer, previous: Answer | None) -> Answer:
    return attrs.evolve(made, body=made.body[: len(made.body) // 2])


_SPOILERS: dict[str, Callable[[Answer, Answer | None], Answer]] = {
    "late": lambda made, previous: made,
    "swapped": lambda made, previous: previous or made,
    "cut": _cut,
    "wrong_digest": lambda made, previous: _with_header(
        made, "Content-Digest", "sha-256=:AAAA:"
    ),
    "wrong_length": lambda made, previous: _with_header(
        made, "Content-Length", str(len(made.body) + 1)
    ),
}


# --- process -------------------------------------------------------------


class Gateway(wsgi.Gateway_10):
    """Passes cheroot's request on to the application."""

    def get_environ(self) -> Environ:  # type: ignore[override]
        """Return the environment with the request in it."""
        return {**super().get_environ(), REQUEST_KEY: self.req}


class Standin:
    """A running stand-in; use as a context manager in tests.

    Parameters
    ----------
    listen : str
        `host:port`; port 0 lets the system choose.
    """

    def __init__(self, info: WorkerInfo, listen: str = "127.0.0.1:0") -> None:
        host, _, port = listen.rpartition(":")
        self.app = Server(Backend(info))
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
        self._http.gateway = Gateway
        self._http.prepare()
        self.address = f"{host}:{self._http.bind_addr[1]}"
        self._thread = threading.Thread(target=self.serve, daemon=True)

    def serve(self) -> None:
        """Serve until `close` is called."""
        self._http.serve()

    def close(self) -> None:
        """Stop serving and let go of calls that are held silent."""
        self.app.misbehaviour = Misbehaviour()
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

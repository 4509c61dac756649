"""The `cheroot` server with limits on size, time and connections.

`cheroot` gives each new connection to a thread and limits the time of each
read, not of the whole request. Here a connection waits for its first byte
without a thread, and a request must arrive whole within a limit, so silent
and slow clients cannot hold the threads.
"""

import logging
import queue
import socket
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from typing import Any

from cheroot import wsgi
from cheroot.makefile import StreamReader, StreamWriter
from cheroot.server import HTTPConnection, HTTPRequest

from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_daemon.http_messages import HttpResponse
from crocuswell_daemon.problems import Problem, problem_response

BODY_LIMIT = 1_048_576
HEADER_LIMIT = 16_384
# A body over the limit is read and dropped up to this size, so that the
# client sees the answer instead of a reset connection.
DISCARD_LIMIT = 8 * BODY_LIMIT
REQUEST_TIME_S = 5.0
SEND_TIME_S = 5.0
IDLE_TIME_S = 60
THREADS = 64
# Requests that have begun to arrive and wait for a thread.
PENDING_LIMIT = 128
# Connections without a request in progress.
IDLE_LIMIT = 512
BACKLOG = 128
STOP_TIME_S = 5
# Refused connections are closed only when as many others were refused after
# them: closing one with unread bytes would reset it before the client reads
# the refusal.
LINGERING_LIMIT = 64

App = Callable[[dict[str, Any], Callable[..., Any]], list[bytes]]

_KINDS = {
    HTTPStatus.INTERNAL_SERVER_ERROR: ErrorKind.INTERNAL,
    HTTPStatus.SERVICE_UNAVAILABLE: ErrorKind.OVERLOADED,
}

logger = logging.getLogger(__name__)


class _TimedSocketIO(socket.SocketIO):
    """Reads from a socket until a point in time."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "rb")
        self._socket = sock
        self.deadline = 0.0

    def readinto(self, buffer: Any) -> int | None:
        """Read what has arrived, or wait for it until the deadline."""
        remaining = self.deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("timed out")
        self._socket.settimeout(remaining)
        try:
            return super().readinto(buffer)
        finally:
            self._socket.settimeout(SEND_TIME_S)


class _TimedReader(StreamReader):
    """The reading end of a connection, on a `_TimedSocketIO`."""

    def __init__(self, sock: socket.socket, bufsize: int) -> None:
        super().__init__(sock, "rb", bufsize)
        self._raw = _TimedSocketIO(sock)

    def allow(self, time_s: float) -> None:
        """Permit reads for a time from now."""
        self._raw.deadline = time.monotonic() + time_s


def _make_file(sock: socket.socket, mode: str, bufsize: int) -> Any:
    if "r" in mode:
        return _TimedReader(sock, bufsize)
    return StreamWriter(sock, mode, bufsize)


class _Request(HTTPRequest):
    """A request whose errors are problem details."""

    def read_request_headers(self) -> bool:
        """Read the headers and refuse bodies that cannot be read."""
        if not super().read_request_headers():
            return False
        if self.chunked_read:
            self.simple_response("411 Length Required", "Content-Length: found none")
            return False
        length = int(self.inheaders.get(b"Content-Length", 0))
        if length < 0:
            self.simple_response("400 Bad Request", f"Content-Length: found {length}")
            return False
        if length <= BODY_LIMIT:
            return True
        if length <= DISCARD_LIMIT:
            self._discard(length)
        self.simple_response(
            "413 Content Too Large",
            f"body: found {length} bytes, expected at most {BODY_LIMIT}",
        )
        return False

    def _discard(self, length: int) -> None:
        while length > 0:
            data = self.conn.rfile.read(min(length, 65_536))
            if not data:
                return
            length -= len(data)

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer with a problem; the connection is closed after it."""
        code = HTTPStatus(int(str(status)[:3]))
        kind = _KINDS.get(code, ErrorKind.INVALID_REQUEST)
        response = problem_response(Problem(kind, msg or code.description, code))
        self.close_connection = True
        with suppress(OSError):
            self.conn.wfile.write(_to_bytes(response))


def _to_bytes(response: HttpResponse) -> bytes:
    lines = [
        f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}",
        f"Content-Type: {response.content_type}",
        f"Content-Length: {len(response.body)}",
        "Connection: close",
        *(f"{header.name}: {header.value}" for header in response.headers),
    ]
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + response.body


class _Connection(HTTPConnection):
    """A connection on which each request must arrive within a limit."""

    RequestHandlerClass = _Request

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = None) -> None:
        super().__init__(server, sock, _make_file)
        sock.settimeout(SEND_TIME_S)

    def communicate(self) -> bool:
        """Serve one request; tell whether to keep the connection."""
        self.rfile.allow(REQUEST_TIME_S)
        keep: bool = super().communicate()
        return keep


class CallerServer(wsgi.Server):
    """Serves a WSGI application on a bounded pool of threads.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 lets the system choose.
    threads : int
        Requests that are served at the same time.
    """

    ConnectionClass = _Connection
    keep_alive_conn_limit = IDLE_LIMIT
    _connections: Any
    max_request_header_size = HEADER_LIMIT

    def __init__(self, host: str, port: int, app: App, threads: int = THREADS) -> None:
        super().__init__(
            (host, port),
            app,
            numthreads=threads,
            max=threads,
            server_name="crocuswell",
            request_queue_size=BACKLOG,
            timeout=IDLE_TIME_S,
            shutdown_timeout=STOP_TIME_S,
            accepted_queue_size=PENDING_LIMIT,
            accepted_queue_timeout=0,
        )
        self._lingering: deque[HTTPConnection] = deque()

    def process_conn(self, conn: HTTPConnection) -> None:
        """Queue a connection with a request, or refuse it at once."""
        if conn.last_used is None and self.can_add_keepalive_connection:
            self._connections.put(conn)
            return
        try:
            if conn.last_used is None:
                raise queue.Full
            self.requests.put(conn)
        except queue.Full:
            self._refuse(conn)

    def stop(self) -> None:
        """Stop accepting, finish the requests in progress and close."""
        super().stop()
        while self._lingering:
            self._close_oldest()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Pass messages of `cheroot` to the log."""
        logger.log(level, "%s", msg, exc_info=traceback)

    def _refuse(self, conn: HTTPConnection) -> None:
        conn.socket.settimeout(0)
        request = _Request(self, conn)
        request.simple_response("503 Service Unavailable", "all threads are busy")
        with suppress(OSError):
            conn.socket.shutdown(socket.SHUT_WR)
        self._lingering.append(conn)
        if len(self._lingering) > LINGERING_LIMIT:
            self._close_oldest()

    def _close_oldest(self) -> None:
        with suppress(OSError):
            self._lingering.popleft().close()

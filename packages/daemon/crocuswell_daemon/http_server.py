"""`cheroot` server with limits on request size, time and connections.

`cheroot` assigns a thread to each new connection and applies its timeout to
each read, not to the whole request. This server keeps a connection off the
thread pool until its first byte arrives and puts a deadline on the whole
request, so idle and slow clients cannot occupy the threads.
"""

import logging
import queue
import socket
import threading
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

BODY_LIMIT_BYTES = 1_048_576
HEADER_LIMIT_BYTES = 16_384
# A body over the limit is read and discarded up to this size, so that the
# client receives the response instead of a connection reset.
DISCARD_LIMIT_BYTES = 8 * BODY_LIMIT_BYTES
REQUEST_TIMEOUT_S = 5.0
SEND_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 60
THREADS = 64
# Connections with incoming data that wait for a thread.
MAX_PENDING_REQUESTS = 128
# Keep-alive connections without a request in progress.
MAX_IDLE_CONNECTIONS = 512
BACKLOG = 128
SHUTDOWN_TIMEOUT_S = 5
# A refused connection stays open until this many others have been refused:
# closing a socket with unread data resets the connection, possibly before the
# client has read the response.
MAX_LINGERING_CONNECTIONS = 64

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], list[bytes]]

_KIND_BY_STATUS = {
    HTTPStatus.INTERNAL_SERVER_ERROR: ErrorKind.INTERNAL,
    HTTPStatus.SERVICE_UNAVAILABLE: ErrorKind.OVERLOADED,
}

logger = logging.getLogger(__name__)


class _DeadlineSocketIO(socket.SocketIO):
    """Raw socket reader with a deadline."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "rb")
        self._socket = sock
        self.deadline = 0.0

    def readinto(self, buffer: Any) -> int | None:
        """Read available bytes, waiting for them until the deadline."""
        remaining = self.deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("timed out")
        self._socket.settimeout(remaining)
        try:
            return super().readinto(buffer)
        finally:
            self._socket.settimeout(SEND_TIMEOUT_S)


class _DeadlineReader(StreamReader):
    """Buffered reader on top of a `_DeadlineSocketIO`."""

    def __init__(self, sock: socket.socket, bufsize: int) -> None:
        super().__init__(sock, "rb", bufsize)
        self._raw = _DeadlineSocketIO(sock)

    def set_timeout(self, timeout_s: float) -> None:
        """Set the deadline for reads to `timeout_s` from now."""
        self._raw.deadline = time.monotonic() + timeout_s


def _make_file(sock: socket.socket, mode: str, bufsize: int) -> Any:
    if "r" in mode:
        return _DeadlineReader(sock, bufsize)
    return StreamWriter(sock, mode, bufsize)


class _Request(HTTPRequest):
    """A request whose errors are sent as problem details."""

    def read_request_headers(self) -> bool:
        """Read the headers; reject bodies that are too large or unsized."""
        if not super().read_request_headers():
            return False
        if self.chunked_read:
            self.simple_response("411 Length Required", "Content-Length: found none")
            return False
        length = int(self.inheaders.get(b"Content-Length", 0))
        if length < 0:
            self.simple_response("400 Bad Request", f"Content-Length: found {length}")
            return False
        if length <= BODY_LIMIT_BYTES:
            return True
        if length <= DISCARD_LIMIT_BYTES:
            self._discard(length)
        self.simple_response(
            "413 Content Too Large",
            f"body: found {length} bytes, expected at most {BODY_LIMIT_BYTES}",
        )
        return False

    def _discard(self, length: int) -> None:
        while length > 0:
            data = self.conn.rfile.read(min(length, 65_536))
            if not data:
                return
            length -= len(data)

    def simple_response(self, status: str, msg: str = "") -> None:
        """Send a problem response and mark the connection for closing."""
        code = HTTPStatus(int(str(status)[:3]))
        kind = _KIND_BY_STATUS.get(code, ErrorKind.INVALID_REQUEST)
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
    """A connection with a deadline for each request."""

    RequestHandlerClass = _Request

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = None) -> None:
        super().__init__(server, sock, _make_file)
        sock.settimeout(SEND_TIMEOUT_S)

    def communicate(self) -> bool:
        """Serve one request; return whether to keep the connection open."""
        self.rfile.set_timeout(REQUEST_TIMEOUT_S)
        keep: bool = super().communicate()
        return keep


class CallerServer(wsgi.Server):
    """Serves a WSGI application on a fixed-size thread pool.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 lets the system choose.
    app : callable
        WSGI application.
    threads : int
        Size of the thread pool.
    """

    ConnectionClass = _Connection
    keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    _connections: Any
    max_request_header_size = HEADER_LIMIT_BYTES

    def __init__(
        self, host: str, port: int, app: WsgiApp, threads: int = THREADS
    ) -> None:
        super().__init__(
            (host, port),
            app,
            numthreads=threads,
            max=threads,
            server_name="crocuswell",
            request_queue_size=BACKLOG,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            accepted_queue_size=MAX_PENDING_REQUESTS,
            accepted_queue_timeout=0,
        )
        self._lingering: deque[HTTPConnection] = deque()
        self._keep_lock = threading.Lock()
        self._keeps_connections = True

    def process_conn(self, conn: HTTPConnection) -> None:
        """Queue a connection, or refuse it if the queue is full."""
        if conn.last_used is None and self.can_add_keepalive_connection:
            self._connections.put(conn)
            return
        try:
            if conn.last_used is None:
                raise queue.Full
            self.requests.put(conn)
        except queue.Full:
            self._refuse(conn)

    def put_conn(self, conn: HTTPConnection) -> None:
        """Keep a connection for its next request; close it during a stop."""
        with self._keep_lock:
            if self._keeps_connections:
                super().put_conn(conn)
                return
        conn.close()

    def stop(self) -> None:
        """Stop accepting, finish requests in progress and close."""
        # The base class closes its selector before the threads have ended,
        # and a thread that then returns a connection to it would die.
        with self._keep_lock:
            self._keeps_connections = False
        super().stop()
        while self._lingering:
            self._close_oldest()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Forward messages from `cheroot` to the logger."""
        logger.log(level, "%s", msg, exc_info=traceback)

    def _refuse(self, conn: HTTPConnection) -> None:
        conn.socket.settimeout(0)
        request = _Request(self, conn)
        request.simple_response("503 Service Unavailable", "all threads are busy")
        with suppress(OSError):
            conn.socket.shutdown(socket.SHUT_WR)
        self._lingering.append(conn)
        if len(self._lingering) > MAX_LINGERING_CONNECTIONS:
            self._close_oldest()

    def _close_oldest(self) -> None:
        with suppress(OSError):
            self._lingering.popleft().close()

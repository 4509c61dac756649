"""Base listener for long-lived gRPC streams on an entry host."""

import asyncio
import socket
import weakref
from collections.abc import Awaitable, Callable
from typing import Any, Self

from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.protocol import H2Protocol
from grpclib.server import Server

# When an entry host fails, all its agents reconnect within about a second.
BACKLOG = 1_024
# A connection without a stream holds a file descriptor, forever if its peer is
# gone. It is dropped after one to two of these intervals.
IDLE_CHECK_INTERVAL_S = 5.0

StreamCallback = Callable[[Any], Awaitable[None]]


class _Method:
    """The listener's only RPC method, as a `grpclib` service."""

    def __init__(self, path: str, serve: StreamCallback) -> None:
        self._path = path
        self._serve = serve

    def __mapping__(self) -> dict[str, Handler]:
        return {
            self._path: Handler(self._serve, Cardinality.STREAM_STREAM, object, object)
        }


class _ConnectionTrackingServer(Server):
    """A server that tracks its connections and can drop them.

    `grpclib` keeps a connection open until the peer closes it, even after the
    server was closed.
    """

    def __init__(self, method: _Method, codec: CodecBase) -> None:
        super().__init__([method], codec=codec)
        self._protocols: weakref.WeakSet[H2Protocol] = weakref.WeakSet()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol

    async def drop_idle_connections(self) -> None:
        """Periodically drop connections without a stream, until cancelled."""
        idle_before: weakref.WeakSet[H2Protocol] = weakref.WeakSet()
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            idle = [protocol for protocol in self._protocols if _is_idle(protocol)]
            for protocol in idle:
                if protocol in idle_before:
                    _abort(protocol)
            idle_before = weakref.WeakSet(idle)

    def abort_connections(self) -> None:
        """Abort all connections without waiting for the peers."""
        for protocol in list(self._protocols):
            _abort(protocol)


def _is_idle(protocol: H2Protocol) -> bool:
    processor = getattr(protocol, "processor", None)
    return processor is not None and not processor.streams


def _abort(protocol: H2Protocol) -> None:
    connection = getattr(protocol, "connection", None)
    transport = getattr(connection, "_transport", None)
    if transport is not None:
        transport.abort()


class StreamListener:
    """Accepts streams of one RPC method; an async context manager.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 lets the system choose.
    path : str
        gRPC path of the method.
    codec : CodecBase
        Message codec.
    serve : callable
        Coroutine function that handles one stream.
    """

    def __init__(
        self, host: str, port: int, path: str, codec: CodecBase, serve: StreamCallback
    ) -> None:
        self._host = host
        self._port = port
        self._method = _Method(path, serve)
        self._codec = codec
        self._server: _ConnectionTrackingServer | None = None
        self._idle_check_task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Port the listener is bound to, known once entered."""
        return self._port

    async def __aenter__(self) -> Self:
        sock = socket.create_server((self._host, self._port), backlog=BACKLOG)
        self._port = sock.getsockname()[1]
        self._server = _ConnectionTrackingServer(self._method, self._codec)
        await self._server.start(sock=sock, backlog=BACKLOG)
        self._idle_check_task = asyncio.create_task(
            self._server.drop_idle_connections()
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._server is None or self._idle_check_task is None:
            return
        self._idle_check_task.cancel()
        self._server.close()
        self._server.abort_connections()
        await self._server.wait_closed()

"""Base of the listeners for long-lived streams on an entry host."""

import asyncio
import socket
import weakref
from collections.abc import Awaitable, Callable
from typing import Any, Self

from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.protocol import H2Protocol
from grpclib.server import Server

# All agents of a lost entry host connect within a second or so.
BACKLOG = 1_024
# A connection without a stream holds a file descriptor; if it went silent,
# it would do so forever. It is dropped after one to two of these intervals.
SWEEP_S = 5.0

Serve = Callable[[Any], Awaitable[None]]


class _Method:
    """The one streaming method of a listener, as `grpclib` wants it."""

    def __init__(self, path: str, serve: Serve) -> None:
        self._path = path
        self._serve = serve

    def __mapping__(self) -> dict[str, Handler]:
        return {
            self._path: Handler(self._serve, Cardinality.STREAM_STREAM, object, object)
        }


class _BoundedServer(Server):
    """A server that drops connections without a stream, and all at its end.

    `grpclib` keeps connections for as long as the other end does and does
    not close them with the server, so this class keeps track of them.
    """

    def __init__(self, method: _Method, codec: CodecBase) -> None:
        super().__init__([method], codec=codec)
        self._protocols: weakref.WeakSet[H2Protocol] = weakref.WeakSet()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol

    async def sweep(self) -> None:
        """Drop connections that stay without a stream, until cancelled."""
        unused: weakref.WeakSet[H2Protocol] = weakref.WeakSet()
        while True:
            await asyncio.sleep(SWEEP_S)
            found = [protocol for protocol in self._protocols if _is_unused(protocol)]
            for protocol in found:
                if protocol in unused:
                    _drop(protocol)
            unused = weakref.WeakSet(found)

    def drop_connections(self) -> None:
        """Drop all connections without waiting for the other ends."""
        for protocol in list(self._protocols):
            _drop(protocol)


def _is_unused(protocol: H2Protocol) -> bool:
    processor = getattr(protocol, "processor", None)
    return processor is not None and not processor.streams


def _drop(protocol: H2Protocol) -> None:
    connection = getattr(protocol, "connection", None)
    transport = getattr(connection, "_transport", None)
    if transport is not None:
        transport.abort()


class StreamListener:
    """Listens for streams of one method; entered as a context manager.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 lets the system choose.
    path : str
        Path of the method.
    serve : callable
        Coroutine function that serves one stream.
    """

    def __init__(
        self, host: str, port: int, path: str, codec: CodecBase, serve: Serve
    ) -> None:
        self._host = host
        self._port = port
        self._method = _Method(path, serve)
        self._codec = codec
        self._server: _BoundedServer | None = None
        self._sweeper: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Port on which it listens; 0 before it was entered."""
        return self._port

    async def __aenter__(self) -> Self:
        sock = socket.create_server((self._host, self._port), backlog=BACKLOG)
        self._port = sock.getsockname()[1]
        self._server = _BoundedServer(self._method, self._codec)
        await self._server.start(sock=sock, backlog=BACKLOG)
        self._sweeper = asyncio.create_task(self._server.sweep())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._server is None or self._sweeper is None:
            return
        self._sweeper.cancel()
        self._server.close()
        self._server.drop_connections()
        await self._server.wait_closed()

"""Long-lived message streams: code shared by the client and server ends.

Each stream uses its own connection, so closing the stream closes the
connection and a stalled stream does not delay others. The agent, whose memory
is limited, loads this module, so it imports nothing beyond `grpclib`'s client.
"""

import asyncio
import time
from collections import deque
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager, suppress
from typing import Any, Generic, TypeVar

from grpclib.client import Channel, Stream as ClientStream
from grpclib.const import Cardinality
from grpclib.encoding.base import CodecBase

AGENT_STREAM_PATH = "/crocuswell.EntryHost/AgentStream"
OPEN_TIMEOUT_S = 1.0
# Time to flush queued messages, such as a `Goodbye`, before the connection is
# dropped.
CLOSE_GRACE_S = 0.25
# Checks per timeout; silence is detected at most a tenth of the timeout late.
SILENCE_CHECKS = 10

Encode = Callable[[Any], bytes]
Decode = Callable[[bytes], Any]
Message = TypeVar("Message")


class MessageCodec(CodecBase):
    """gRPC codec built from a pair of functions.

    Parameters
    ----------
    encode, decode : callable
        Convert a message to bytes and back. An exception in `decode` closes
        the stream.
    """

    __content_subtype__ = "crocuswell"

    def __init__(self, encode: Encode, decode: Decode) -> None:
        self._encode = encode
        self._decode = decode

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message."""
        return self._encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message."""
        return self._decode(data)


class Outbox(Generic[Message]):
    """Bounded send queue of a stream, drained by a single writer task.

    Parameters
    ----------
    limit : int
        Maximum number of queued messages.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._messages: deque[Message] = deque()
        self._changed = asyncio.Event()
        self._closing = asyncio.Event()

    def __len__(self) -> int:
        return len(self._messages)

    @property
    def is_closed(self) -> bool:
        """Whether `close` was called."""
        return self._closing.is_set()

    @property
    def is_full(self) -> bool:
        """Whether the queue has reached its limit."""
        return len(self._messages) >= self._limit

    def offer(self, message: Message) -> bool:
        """Queue a message; return False if the queue is full or closed."""
        if self.is_closed or self.is_full:
            return False
        self._messages.append(message)
        self._changed.set()
        return True

    def clear(self) -> int:
        """Drop all queued messages and return their number."""
        dropped = len(self._messages)
        self._messages.clear()
        return dropped

    def close(self) -> None:
        """Accept no more messages; `write_to` returns once drained."""
        self._closing.set()
        self._changed.set()

    async def write_to(self, stream: Any) -> None:
        """Send queued messages until the outbox is closed and drained."""
        while True:
            while self._messages:
                await stream.send_message(self._messages.popleft())
            if self.is_closed:
                return
            self._changed.clear()
            await self._changed.wait()

    async def wait_until_grace_expires(self) -> None:
        """Wait until `CLOSE_GRACE_S` after the outbox was closed."""
        await self._closing.wait()
        await asyncio.sleep(CLOSE_GRACE_S)


async def run_until_first(*coroutines: Coroutine[Any, Any, None]) -> str:
    """Run coroutines until one of them ends, then cancel the others.

    Returns
    -------
    str
        Description of the error of the first to end; empty if it returned.
    """
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    errors = [_describe(task) for task in tasks if task in done]
    return next((error for error in errors if error), "")


def _describe(task: "asyncio.Future[None]") -> str:
    if task.cancelled():
        return "cancelled"
    exc = task.exception()
    return "" if exc is None else f"{type(exc).__name__}: {exc}"


def drop_connection(stream: Any) -> None:
    """Close the connection of a stream without waiting for the peer.

    Buffered data is flushed for up to `CLOSE_GRACE_S` and then discarded.
    `grpclib` itself only offers a close that waits until the peer has read
    all buffered bytes.
    """
    raw_stream = getattr(stream, "_stream", None)
    if raw_stream is None:
        return
    raw_stream._transport.close()
    asyncio.get_running_loop().call_later(CLOSE_GRACE_S, raw_stream._transport.abort)


def last_received_at(stream: Any) -> float:
    """Return the monotonic time in s of the last received bytes, or 0."""
    received_at: float | None = stream._stream.connection.last_data_received
    return received_at or 0.0


async def watch_for_silence(stream: Any, timeout_s: float) -> None:
    """Raise once no bytes have been received on a stream for `timeout_s`.

    Bytes are watched, not messages: on a slow link a single large snapshot
    takes longer than the timeout to arrive.

    Raises
    ------
    TimeoutError
        If the stream was silent for `timeout_s`.
    """
    interval_s = timeout_s / SILENCE_CHECKS
    measured_from = time.monotonic()
    while True:
        before = time.monotonic()
        await asyncio.sleep(interval_s)
        now = time.monotonic()
        if now - before > 2 * interval_s:
            # This process was suspended, so the peer may not be to blame;
            # restart the measurement.
            measured_from = now
        if now - max(measured_from, last_received_at(stream)) >= timeout_s:
            raise TimeoutError(f"nothing arrived for {timeout_s} s")


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`.

    Raises
    ------
    ValueError
        If the port is missing or not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


@asynccontextmanager
async def open_stream(
    address: str, path: str, codec: CodecBase
) -> AsyncIterator[ClientStream[Any, Any]]:
    """Open a stream on a new connection; exiting does not block.

    Parameters
    ----------
    address : str
        `host:port` of the listener.
    path : str
        gRPC path of the method.
    codec : CodecBase
        Message codec.

    Raises
    ------
    TimeoutError
        If the peer has not answered within `OPEN_TIMEOUT_S`.
    OSError, GRPCError, StreamTerminatedError
        If the connection fails or the peer refuses the stream.
    """
    host, port = split_address(address)
    channel = Channel(host, port, codec=codec)
    stream: ClientStream[Any, Any] = channel.request(
        path, Cardinality.STREAM_STREAM, object, object
    )
    try:
        async with stream:
            try:
                async with asyncio.timeout(OPEN_TIMEOUT_S):
                    await stream.send_request()
                    await stream.recv_initial_metadata()
                yield stream
            finally:
                drop_connection(stream)
    finally:
        channel.close()


async def exchange_messages(
    stream: Any,
    outbox: Outbox[Any],
    receive: Callable[[Any], None],
    end: Callable[[], Coroutine[Any, Any, None]],
    *other_coroutines: Coroutine[Any, Any, None],
) -> str:
    """Send and receive on a stream until either direction ends.

    Parameters
    ----------
    receive : callable
        Handles each received message; must not block.
    end : callable
        Sends the end of the stream; called if the outbox was closed.
    *other_coroutines : coroutine
        Run concurrently; the stream ends when one of them does.

    Returns
    -------
    str
        Why the stream ended; empty for an orderly end.
    """
    detail = await run_until_first(
        outbox.write_to(stream),
        outbox.wait_until_grace_expires(),
        _read(stream, receive),
        *other_coroutines,
    )
    if outbox.is_closed:
        with suppress(Exception):
            async with asyncio.timeout(CLOSE_GRACE_S):
                await end()
    return detail


async def _read(stream: Any, receive: Callable[[Any], None]) -> None:
    async for message in stream:
        receive(message)

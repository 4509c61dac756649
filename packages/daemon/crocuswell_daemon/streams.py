"""What both ends of a long-lived message stream share.

Each stream has a connection of its own, so closing the stream closes the
connection, and a stuck stream delays no other. The agent loads this module:
it imports nothing beyond what `grpclib` needs.
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
OPEN_LIMIT_S = 1.0
# Messages that are already queued, such as a `Goodbye`, get this long to
# leave before the connection is dropped.
CLOSE_GRACE_S = 0.25
# A silent link is noticed at most a tenth of its limit late.
SILENCE_STEPS = 10

Encode = Callable[[Any], bytes]
Decode = Callable[[bytes], Any]
Message = TypeVar("Message")


class MessageCodec(CodecBase):
    """Passes messages through a pair of functions.

    Parameters
    ----------
    encode, decode : callable
        Functions from a message to bytes and back. Any error that `decode`
        raises closes the stream.
    """

    __content_subtype__ = "crocuswell"

    def __init__(self, encode: Encode, decode: Decode) -> None:
        self._encode = encode
        self._decode = decode

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of a message."""
        return self._encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message in `data`."""
        return self._decode(data)


class Outbox(Generic[Message]):
    """Bounded queue of messages that one task writes to one stream.

    Parameters
    ----------
    limit : int
        Most messages that may wait.
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
        """Whether another message would exceed the limit."""
        return len(self._messages) >= self._limit

    def offer(self, message: Message) -> bool:
        """Queue a message; tell whether there was room."""
        if self.is_closed or self.is_full:
            return False
        self._messages.append(message)
        self._changed.set()
        return True

    def clear(self) -> int:
        """Drop all messages and return their number."""
        dropped = len(self._messages)
        self._messages.clear()
        return dropped

    def close(self) -> None:
        """Accept no more messages; `write_to` returns once it is empty."""
        self._closing.set()
        self._changed.set()

    async def write_to(self, stream: Any) -> None:
        """Write messages to a stream as they come."""
        while True:
            while self._messages:
                await stream.send_message(self._messages.popleft())
            if self.is_closed:
                return
            self._changed.clear()
            await self._changed.wait()

    async def wait_for_grace(self) -> None:
        """Return `CLOSE_GRACE_S` after the outbox was closed."""
        await self._closing.wait()
        await asyncio.sleep(CLOSE_GRACE_S)


async def run_until_first(*coroutines: Coroutine[Any, Any, None]) -> str:
    """Run coroutines until one of them ends, then stop the others.

    Returns
    -------
    str
        Why the first one failed; empty if it returned.
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
    """Close the connection of a stream without waiting for the other end.

    What the operating system accepts at once still leaves; the rest is
    discarded after `CLOSE_GRACE_S`. `grpclib` itself offers only a close
    that waits for the other end to read all buffered bytes.
    """
    inner = getattr(stream, "_stream", None)
    if inner is None:
        return
    inner._transport.close()
    asyncio.get_running_loop().call_later(CLOSE_GRACE_S, inner._transport.abort)


def last_heard(stream: Any) -> float:
    """Return the monotonic time in s at which bytes last arrived, or 0."""
    heard: float | None = stream._stream.connection.last_data_received
    return heard or 0.0


async def watch_for_silence(stream: Any, limit_s: float) -> None:
    """Fail once no bytes have arrived on a stream for `limit_s`.

    Bytes count, not messages, because a large snapshot takes longer than
    the limit to arrive on a slow link.

    Raises
    ------
    TimeoutError
        When the limit has passed.
    """
    step_s = limit_s / SILENCE_STEPS
    since = time.monotonic()
    while True:
        before = time.monotonic()
        await asyncio.sleep(step_s)
        now = time.monotonic()
        if now - before > 2 * step_s:
            # This process did not run, so it cannot tell who was silent.
            since = now
        if now - max(since, last_heard(stream)) >= limit_s:
            raise TimeoutError(f"nothing arrived for {limit_s} s")


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
    """Open a stream on a new connection; the exit waits for nobody.

    Parameters
    ----------
    address : str
        `host:port` of the listener.
    path : str
        Path of the method.

    Raises
    ------
    TimeoutError
        If the other end has not answered within `OPEN_LIMIT_S`.
    OSError, GRPCError, StreamTerminatedError
        If the connection fails or the other end refuses.
    """
    host, port = split_address(address)
    channel = Channel(host, port, codec=codec)
    stream: ClientStream[Any, Any] = channel.request(
        path, Cardinality.STREAM_STREAM, object, object
    )
    try:
        async with stream:
            try:
                async with asyncio.timeout(OPEN_LIMIT_S):
                    await stream.send_request()
                    await stream.recv_initial_metadata()
                yield stream
            finally:
                drop_connection(stream)
    finally:
        channel.close()


async def exchange(
    stream: Any,
    outbox: Outbox[Any],
    receive: Callable[[Any], None],
    end: Callable[[], Coroutine[Any, Any, None]],
    *others: Coroutine[Any, Any, None],
) -> str:
    """Write and read on a stream until either direction ends.

    Parameters
    ----------
    receive : callable
        Takes each message that arrives; must not block.
    end : callable
        Sends the end of the stream; called if the outbox was closed.
    *others : coroutine
        Run as well; the stream ends when one of them does.

    Returns
    -------
    str
        Why it ended; empty if it was ended in order.
    """
    detail = await run_until_first(
        outbox.write_to(stream),
        outbox.wait_for_grace(),
        _read(stream, receive),
        *others,
    )
    if outbox.is_closed:
        with suppress(Exception):
            async with asyncio.timeout(CLOSE_GRACE_S):
                await end()
    return detail


async def _read(stream: Any, receive: Callable[[Any], None]) -> None:
    async for message in stream:
        receive(message)

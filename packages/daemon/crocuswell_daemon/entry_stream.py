"""Client end of the streams to entry hosts.

The agent loads this module and its memory is limited, so it imports only
`grpclib`'s client and the core.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Self

from crocuswell_core.agent.agent_messages import AgentMessage
from crocuswell_core.links.link_messages import ClientMessage
from crocuswell_core.runtime.events import (
    EntryMessageReceived,
    EntryStreamClosed,
    EntryStreamOpened,
    Event,
)
from crocuswell_daemon.streams import (
    AGENT_STREAM_PATH,
    Decode,
    Encode,
    MessageCodec,
    Outbox,
    exchange_messages,
    open_stream,
)

QUEUE_LIMIT = 256

logger = logging.getLogger(__name__)


class EntryStreamClient:
    """Opens streams to entry hosts and exchanges messages on them.

    All methods must be called on the event loop's thread; none blocks.

    Parameters
    ----------
    encode, decode : callable
        Convert a message to bytes and back.
    post : callable
        Posts `EntryStreamOpened`, `EntryMessageReceived` and, once per
        stream, `EntryStreamClosed`.
    """

    def __init__(
        self, encode: Encode, decode: Decode, post: Callable[[Event], None]
    ) -> None:
        self._codec = MessageCodec(encode, decode)
        self._post = post
        self._outboxes: dict[int, Outbox[AgentMessage | ClientMessage]] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._opened: set[int] = set()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for stream_id in list(self._outboxes):
            self.close(stream_id)
        if self._tasks:
            await asyncio.wait(list(self._tasks.values()))

    def open(self, stream_id: int, address: str) -> None:
        """Start opening a stream to an entry host at `host:port`."""
        self._outboxes[stream_id] = Outbox(QUEUE_LIMIT)
        task = asyncio.get_running_loop().create_task(self._run(stream_id, address))
        self._tasks[stream_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(stream_id, None))

    def send(self, stream_id: int, message: AgentMessage | ClientMessage) -> None:
        """Queue a message; close the stream if its queue is full."""
        outbox = self._outboxes.get(stream_id)
        if outbox is None or outbox.offer(message):
            return
        outbox.clear()
        self._finish(stream_id, "its queue is full")

    def close(self, stream_id: int) -> None:
        """Close a stream, flushing its queue for up to `CLOSE_GRACE_S`."""
        self._finish(stream_id, "closed by this agent")

    def _finish(self, stream_id: int, detail: str) -> None:
        outbox = self._outboxes.pop(stream_id, None)
        if outbox is None:
            return
        outbox.close()
        if stream_id not in self._opened:
            self._tasks[stream_id].cancel()
        self._opened.discard(stream_id)
        self._post(EntryStreamClosed(stream_id, detail))

    async def _run(self, stream_id: int, address: str) -> None:
        outbox = self._outboxes[stream_id]

        def receive(message: Any) -> None:
            if stream_id in self._outboxes:
                self._post(EntryMessageReceived(stream_id, message))

        detail = "closed by the entry host"
        try:
            async with open_stream(address, AGENT_STREAM_PATH, self._codec) as stream:
                self._opened.add(stream_id)
                self._post(EntryStreamOpened(stream_id))
                detail = (
                    await exchange_messages(stream, outbox, receive, stream.end)
                    or detail
                )
        except Exception as exc:  # any network or peer failure
            detail = f"{type(exc).__name__}: {exc}"
        finally:
            self._finish(stream_id, detail)

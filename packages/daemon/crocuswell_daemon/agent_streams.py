"""Server end of the agents' streams on an entry host."""

import asyncio
import itertools
import logging
from collections.abc import Callable
from typing import Any, Self

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from crocuswell_core.agent.agent_messages import EntryMessage
from crocuswell_core.links.link_messages import HostMessage
from crocuswell_core.runtime.effects import Count, Label
from crocuswell_core.runtime.events import (
    AgentMessageReceived,
    AgentStreamClosed,
    Event,
)
from crocuswell_daemon.listener import StreamListener
from crocuswell_daemon.logs import log_event
from crocuswell_daemon.streams import (
    AGENT_STREAM_PATH,
    Decode,
    Encode,
    MessageCodec,
    Outbox,
    drop_connection,
    exchange_messages,
)

# All 640 workers connect to one entry host if the others are down.
MAX_STREAMS = 700
# An agent is sent a heartbeat each second and about two messages a minute for
# each of its 8 slots, so a full queue has been stalled for minutes.
QUEUE_LIMIT = 256


class AgentListener:
    """Accepts agents' streams and exchanges messages on them.

    All methods must be called on the event loop's thread; none blocks.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 lets the system choose.
    encode, decode : callable
        Convert a message to bytes and back.
    post : callable
        Posts `AgentMessageReceived` and, once per stream,
        `AgentStreamClosed`.
    count : callable
        Records a `Count`.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        encode: Encode,
        decode: Decode,
        post: Callable[[Event], None],
        count: Callable[[Count], None],
    ) -> None:
        self._listener = StreamListener(
            host, port, AGENT_STREAM_PATH, MessageCodec(encode, decode), self._serve
        )
        self._post = post
        self._count = count
        self._stream_ids = itertools.count(1)
        self._outboxes: dict[int, Outbox[EntryMessage | HostMessage]] = {}
        self._handler_tasks: set[asyncio.Task[Any]] = set()

    @property
    def port(self) -> int:
        """Port the listener is bound to."""
        return self._listener.port

    async def __aenter__(self) -> Self:
        await self._listener.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for stream_id in list(self._outboxes):
            self.close_stream(stream_id)
        if self._handler_tasks:
            await asyncio.wait(self._handler_tasks)
        await self._listener.__aexit__(*exc_info)

    def send(self, stream_id: int, message: EntryMessage | HostMessage) -> None:
        """Queue a message; close the stream if its queue is full."""
        outbox = self._outboxes.get(stream_id)
        if outbox is None:
            self._count_dropped("closed")
            return
        if outbox.offer(message):
            return
        self._count_dropped("full")
        log_event("agent_stream_closed", stream=str(stream_id), reason="queue full")
        outbox.clear()
        self.close_stream(stream_id)

    def close_stream(self, stream_id: int) -> None:
        """Close a stream, flushing its queue for up to `CLOSE_GRACE_S`."""
        outbox = self._outboxes.pop(stream_id, None)
        if outbox is None:
            return
        outbox.close()
        self._post(AgentStreamClosed(stream_id))

    async def _serve(self, stream: Any) -> None:
        if len(self._outboxes) >= MAX_STREAMS:
            self._count(Count("agent_streams_refused"))
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many agent streams")
        stream_id = next(self._stream_ids)
        outbox: Outbox[EntryMessage | HostMessage] = Outbox(QUEUE_LIMIT)
        self._outboxes[stream_id] = outbox
        task = asyncio.current_task()
        if task is not None:
            self._handler_tasks.add(task)
            task.add_done_callback(self._handler_tasks.discard)

        def receive(message: Any) -> None:
            if stream_id in self._outboxes:
                self._post(AgentMessageReceived(stream_id, message))

        try:
            await stream.send_initial_metadata()
            detail = await exchange_messages(
                stream, outbox, receive, stream.send_trailing_metadata
            )
            if detail:
                log_event(
                    "agent_stream_ended",
                    logging.INFO,
                    stream=str(stream_id),
                    reason=detail,
                )
        finally:
            drop_connection(stream)
            self.close_stream(stream_id)

    def _count_dropped(self, reason: str) -> None:
        self._count(Count("agent_messages_dropped", labels=(Label("reason", reason),)))

"""Agents' streams on an entry host."""

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
    exchange,
)

# 640 workers could all be on one entry host when the others are down.
MAX_STREAMS = 700
# An agent gets a heartbeat each second and about two messages a minute for
# each of its 8 slots, so a queue of this length has been stuck for minutes.
QUEUE_LIMIT = 256


class AgentListener:
    """Accepts agents' streams and passes messages both ways.

    All methods are called on the event loop's thread; none of them blocks.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 lets the system choose.
    encode, decode : callable
        Functions from a message to bytes and back.
    post : callable
        Takes `AgentMessageReceived` and, once for each stream,
        `AgentStreamClosed`.
    count : callable
        Takes what is to be counted.
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
        self._ids = itertools.count(1)
        self._outboxes: dict[int, Outbox[EntryMessage | HostMessage]] = {}
        self._serving: set[asyncio.Task[Any]] = set()

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return self._listener.port

    async def __aenter__(self) -> Self:
        await self._listener.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for stream_id in list(self._outboxes):
            self.close_stream(stream_id)
        if self._serving:
            await asyncio.wait(self._serving)
        await self._listener.__aexit__(*exc_info)

    def send(self, stream_id: int, message: EntryMessage | HostMessage) -> None:
        """Queue a message; a stream whose queue is full is closed."""
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
        """Close a stream after what is queued, but within the grace."""
        outbox = self._outboxes.pop(stream_id, None)
        if outbox is None:
            return
        outbox.close()
        self._post(AgentStreamClosed(stream_id))

    async def _serve(self, stream: Any) -> None:
        if len(self._outboxes) >= MAX_STREAMS:
            self._count(Count("agent_streams_refused"))
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many agent streams")
        stream_id = next(self._ids)
        outbox: Outbox[EntryMessage | HostMessage] = Outbox(QUEUE_LIMIT)
        self._outboxes[stream_id] = outbox
        task = asyncio.current_task()
        if task is not None:
            self._serving.add(task)
            task.add_done_callback(self._serving.discard)

        def receive(message: Any) -> None:
            if stream_id in self._outboxes:
                self._post(AgentMessageReceived(stream_id, message))

        try:
            await stream.send_initial_metadata()
            detail = await exchange(
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

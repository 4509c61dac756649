"""Streams between entry hosts.

Each host opens one stream to every other host and sends its messages on it.
Both ends of a stream also send keep-alive frames, so each end detects a dead
connection within `SILENCE_TIMEOUT_S`, even between two followers that have no
messages for each other.
"""

import asyncio
import logging
import random
import time
from collections.abc import Callable, Coroutine
from functools import singledispatch
from typing import Any, Self

import attrs
from grpclib.encoding.base import CodecBase

from crocuswell_core.cluster.commands import EntryHost
from crocuswell_core.consensus.peer_messages import AppendEntries, PeerMessage
from crocuswell_core.runtime.effects import Count, Label
from crocuswell_core.runtime.events import Event, PeerMessageReceived
from crocuswell_daemon.listener import StreamListener
from crocuswell_daemon.logs import log_event
from crocuswell_daemon.streams import (
    Decode,
    Encode,
    Outbox,
    drop_connection,
    exchange_messages,
    open_stream,
    watch_for_silence,
)

PEER_STREAM_PATH = "/crocuswell.EntryHost/PeerStream"
SILENCE_TIMEOUT_S = 2.5
# Two frames fit into the silence timeout, as between agents and entry hosts.
KEEPALIVE_INTERVAL_S = 1.0
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 1.0
# A link that stayed up this long resets its back-off to the minimum.
BACKOFF_RESET_S = 1.0
QUEUE_LIMIT = 256


@attrs.frozen
class PeerFrame:
    """A message with its sender; a keep-alive if the message is None."""

    sender: str
    message: PeerMessage | None = None


class PeerCodec(CodecBase):
    """Encodes a frame as one length byte, the sender's id and the message.

    Parameters
    ----------
    encode, decode : callable
        Convert a message to bytes and back.
    """

    __content_subtype__ = "crocuswell"

    def __init__(self, encode: Encode, decode: Decode) -> None:
        self._encode = encode
        self._decode = decode

    def encode(self, message: PeerFrame, message_type: Any) -> bytes:
        """Encode a frame."""
        sender = message.sender.encode()
        body = b"" if message.message is None else self._encode(message.message)
        return bytes((len(sender),)) + sender + body

    def decode(self, data: bytes, message_type: Any) -> PeerFrame:
        """Decode a frame."""
        end = 1 + data[0]
        body = data[end:]
        return PeerFrame(data[1:end].decode(), self._decode(body) if body else None)


@singledispatch
def is_replaceable(message: PeerMessage | None) -> bool:
    """Return whether a later message of the same type replaces this one."""
    return False


@is_replaceable.register
def _(message: AppendEntries) -> bool:
    return not message.entries


class PeerOutbox(Outbox[PeerFrame]):
    """Send queue that drops heartbeats first.

    When full, it drops the oldest heartbeat, or the new message if there is
    none.
    """

    def offer(self, message: PeerFrame) -> bool:
        """Queue a frame; return False if a frame was dropped."""
        if super().offer(message):
            return True
        if self.is_closed:
            return False
        for index, queued in enumerate(self._messages):
            if is_replaceable(queued.message):
                del self._messages[index]
                super().offer(message)
                break
        return False


async def _keep_alive(outbox: PeerOutbox, host_id: str) -> None:
    while True:
        await asyncio.sleep(KEEPALIVE_INTERVAL_S)
        if not len(outbox):
            outbox.offer(PeerFrame(host_id))


async def _run_link(
    stream: Any,
    outbox: PeerOutbox,
    host_id: str,
    receive: Callable[[PeerFrame], None],
    end: Callable[[], Coroutine[Any, Any, None]],
) -> str:
    """Run one end of a link and return why it ended."""
    return await exchange_messages(
        stream,
        outbox,
        receive,
        end,
        _keep_alive(outbox, host_id),
        watch_for_silence(stream, SILENCE_TIMEOUT_S),
    )


def _discard_keepalive(frame: PeerFrame) -> None:
    """Discard a keep-alive frame; its arrival already reset the timeout."""


class _Link:
    """Stream to one other entry host, reopened with back-off until closed."""

    def __init__(
        self,
        host_id: str,
        peer: EntryHost,
        codec: PeerCodec,
        count: Callable[[Count], None],
        rng: random.Random,
    ) -> None:
        self.peer = peer
        self._host_id = host_id
        self._codec = codec
        self._count = count
        self._rng = rng
        self._outbox: PeerOutbox | None = PeerOutbox(QUEUE_LIMIT)
        self._opened_at: float | None = None
        self._closing = False
        self.task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: PeerMessage) -> None:
        """Queue a message; drop it if there is no connection.

        A message held during a back-off would be stale; the core sends again
        whatever is still needed.
        """
        if self._outbox is None:
            self._count_dropped("disconnected")
        elif not self._outbox.offer(PeerFrame(self._host_id, message)):
            self._count_dropped("full")

    def close(self) -> None:
        """Close the stream, flushing its queue for up to `CLOSE_GRACE_S`."""
        self._closing = True
        if self._opened_at is None or self._outbox is None:
            self.task.cancel()
        else:
            self._outbox.close()

    async def _run(self) -> None:
        backoff_s = BACKOFF_MIN_S
        while True:
            self._opened_at = None
            detail = await self._connect()
            if self._closing:
                return
            if self._opened_at is None:
                self._count(Count("peer_connects_failed", labels=self._labels))
            else:
                self._count(Count("peer_links_lost", labels=self._labels))
                log_event("peer_link_lost", peer=self.peer.id, reason=detail)
                if time.monotonic() - self._opened_at > BACKOFF_RESET_S:
                    backoff_s = BACKOFF_MIN_S
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, BACKOFF_MAX_S)

    async def _connect(self) -> str:
        """Run one connection until it is lost and return why."""
        if self._outbox is None:
            self._outbox = PeerOutbox(QUEUE_LIMIT)
        outbox = self._outbox
        try:
            async with open_stream(
                self.peer.address, PEER_STREAM_PATH, self._codec
            ) as stream:
                self._opened_at = time.monotonic()
                log_event("peer_link_opened", logging.INFO, peer=self.peer.id)
                return await _run_link(
                    stream, outbox, self._host_id, _discard_keepalive, stream.end
                )
        except Exception as exc:  # any network or peer failure
            return f"{type(exc).__name__}: {exc}"
        finally:
            self._outbox = None
            dropped = outbox.clear()
            if dropped:
                self._count_dropped("link_lost", dropped)

    @property
    def _labels(self) -> tuple[Label, ...]:
        return (Label("peer", self.peer.id),)

    def _count_dropped(self, reason: str, amount: int = 1) -> None:
        labels = (*self._labels, Label("reason", reason))
        self._count(Count("peer_messages_dropped", amount, labels))


class PeerLinks:
    """Maintains a link to each other entry host and accepts theirs.

    All methods must be called on the event loop's thread; none blocks.

    Parameters
    ----------
    host_id : str
        Id of this host.
    host, port : str, int
        Address to listen on; port 0 lets the system choose.
    encode, decode : callable
        Convert a message to bytes and back.
    post : callable
        Posts `PeerMessageReceived`.
    count : callable
        Records a `Count`.
    rng : random.Random or None
        Source of the back-off jitter.
    """

    def __init__(
        self,
        host_id: str,
        host: str,
        port: int,
        *,
        encode: Encode,
        decode: Decode,
        post: Callable[[Event], None],
        count: Callable[[Count], None],
        rng: random.Random | None = None,
    ) -> None:
        self._host_id = host_id
        self._codec = PeerCodec(encode, decode)
        self._listener = StreamListener(
            host, port, PEER_STREAM_PATH, self._codec, self._serve
        )
        self._post = post
        self._count = count
        self._rng = rng or random.Random()
        self._links: dict[str, _Link] = {}
        self._accepted_outboxes: dict[asyncio.Task[Any], PeerOutbox] = {}
        self._closing_tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Port the listener is bound to."""
        return self._listener.port

    async def __aenter__(self) -> Self:
        await self._listener.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.set_hosts(())
        for outbox in self._accepted_outboxes.values():
            outbox.close()
        tasks = [*self._closing_tasks, *self._accepted_outboxes]
        if tasks:
            await asyncio.wait(tasks)
        await self._listener.__aexit__(*exc_info)

    def set_hosts(self, hosts: tuple[EntryHost, ...]) -> None:
        """Open links to new hosts; close those to removed or moved hosts."""
        target_hosts = {host.id: host for host in hosts if host.id != self._host_id}
        for host_id, link in list(self._links.items()):
            if (
                host_id not in target_hosts
                or target_hosts[host_id].address != link.peer.address
            ):
                self._close_link(host_id)
        for host_id, host in target_hosts.items():
            if host_id not in self._links:
                self._links[host_id] = _Link(
                    self._host_id, host, self._codec, self._count, self._rng
                )

    def send(self, to: str, message: PeerMessage) -> None:
        """Queue a message for another host; it may be lost."""
        link = self._links.get(to)
        if link is not None:
            link.send(message)
            return
        labels = (Label("peer", to), Label("reason", "unknown"))
        self._count(Count("peer_messages_dropped", labels=labels))

    def _close_link(self, host_id: str) -> None:
        link = self._links.pop(host_id)
        link.close()
        self._closing_tasks.add(link.task)
        link.task.add_done_callback(self._closing_tasks.discard)

    async def _serve(self, stream: Any) -> None:
        outbox = PeerOutbox(QUEUE_LIMIT)
        task = asyncio.current_task()
        if task is not None:
            self._accepted_outboxes[task] = outbox
        try:
            await stream.send_initial_metadata()
            await _run_link(
                stream,
                outbox,
                self._host_id,
                self._receive,
                stream.send_trailing_metadata,
            )
        finally:
            drop_connection(stream)
            if task is not None:
                del self._accepted_outboxes[task]

    def _receive(self, frame: PeerFrame) -> None:
        if frame.message is not None:
            self._post(PeerMessageReceived(frame.sender, frame.message))

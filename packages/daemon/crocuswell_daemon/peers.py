"""Streams between entry hosts.

Each host opens one stream to each other host and sends on it. The receiving
end echoes a frame without a message on the same stream, so that each end
notices within `SILENCE_LIMIT_S` when its connection went silent, even
between two followers that have nothing to tell each other.
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

from crocuswell_core.agreement.peer_messages import Append, PeerMessage
from crocuswell_core.cluster.commands import EntryHost
from crocuswell_core.runtime.effects import Count, Label
from crocuswell_core.runtime.events import Event, PeerMessageReceived
from crocuswell_daemon.listener import StreamListener
from crocuswell_daemon.logs import log_event
from crocuswell_daemon.streams import (
    Decode,
    Encode,
    Outbox,
    drop_connection,
    exchange,
    open_stream,
    watch_for_silence,
)

PEER_STREAM_PATH = "/crocuswell.EntryHost/PeerStream"
SILENCE_LIMIT_S = 2.5
# Two frames fit into the silence limit, as between agents and entry hosts.
KEEPALIVE_S = 1.0
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 1.0
# A link that lasted this long starts again with the shortest back-off.
STEADY_S = 1.0
QUEUE_LIMIT = 256


@attrs.frozen
class PeerFrame:
    """A message with its sender; without a message it keeps a link alive."""

    sender: str
    message: PeerMessage | None = None


class PeerCodec(CodecBase):
    """Writes a frame as the length of the sender's id, the id, the message.

    Parameters
    ----------
    encode, decode : callable
        Functions from a message to bytes and back.
    """

    __content_subtype__ = "crocuswell"

    def __init__(self, encode: Encode, decode: Decode) -> None:
        self._encode = encode
        self._decode = decode

    def encode(self, message: PeerFrame, message_type: Any) -> bytes:
        """Return the bytes of a frame."""
        sender = message.sender.encode()
        body = b"" if message.message is None else self._encode(message.message)
        return bytes((len(sender),)) + sender + body

    def decode(self, data: bytes, message_type: Any) -> PeerFrame:
        """Return the frame in `data`."""
        end = 1 + data[0]
        body = data[end:]
        return PeerFrame(data[1:end].decode(), self._decode(body) if body else None)


@singledispatch
def is_superseded(message: PeerMessage | None) -> bool:
    """Tell whether a later message of the same type replaces this one."""
    return False


@is_superseded.register
def _(message: Append) -> bool:
    return not message.entries


class PeerOutbox(Outbox[PeerFrame]):
    """When full, drops the oldest heartbeat, or else the newest message."""

    def offer(self, message: PeerFrame) -> bool:
        """Queue a frame; tell whether nothing was dropped for it."""
        if super().offer(message):
            return True
        if self.is_closed:
            return False
        for index, waiting in enumerate(self._messages):
            if is_superseded(waiting.message):
                del self._messages[index]
                super().offer(message)
                break
        return False


async def _keep_alive(outbox: PeerOutbox, host_id: str) -> None:
    while True:
        await asyncio.sleep(KEEPALIVE_S)
        if not len(outbox):
            outbox.offer(PeerFrame(host_id))


async def _run_link(
    stream: Any,
    outbox: PeerOutbox,
    host_id: str,
    receive: Callable[[PeerFrame], None],
    end: Callable[[], Coroutine[Any, Any, None]],
) -> str:
    """Serve one end of a link and tell why it ended."""
    return await exchange(
        stream,
        outbox,
        receive,
        end,
        _keep_alive(outbox, host_id),
        watch_for_silence(stream, SILENCE_LIMIT_S),
    )


def _ignore_echo(frame: PeerFrame) -> None:
    """Take an echo; that bytes arrived is all it tells."""


class _Link:
    """The stream to one other entry host, reopened until it is closed."""

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
        """Queue a message; drop it while there is no connection.

        A message that waited out a back-off would be stale: whatever the
        core still wants to say by then it sends again.
        """
        if self._outbox is None:
            self._count_dropped("disconnected")
        elif not self._outbox.offer(PeerFrame(self._host_id, message)):
            self._count_dropped("full")

    def close(self) -> None:
        """Close the stream after what is queued, but within the grace."""
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
                if time.monotonic() - self._opened_at > STEADY_S:
                    backoff_s = BACKOFF_MIN_S
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, BACKOFF_MAX_S)

    async def _connect(self) -> str:
        """Hold one connection until it is lost and tell why it was."""
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
                    stream, outbox, self._host_id, _ignore_echo, stream.end
                )
        except Exception as exc:  # any failure of the network or the other end
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
    """Holds a link to each other entry host and accepts theirs.

    All methods are called on the event loop's thread; none of them blocks.

    Parameters
    ----------
    host_id : str
        Id of this host.
    host, port : str, int
        Address to listen on; port 0 lets the system choose.
    encode, decode : callable
        Functions from a message to bytes and back.
    post : callable
        Takes `PeerMessageReceived`.
    count : callable
        Takes what is to be counted.
    rng : random.Random or None
        Generator for the jitter of the back-off.
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
        self._accepted: dict[asyncio.Task[Any], PeerOutbox] = {}
        self._ending: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return self._listener.port

    async def __aenter__(self) -> Self:
        await self._listener.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.set_hosts(())
        for outbox in self._accepted.values():
            outbox.close()
        ending = [*self._ending, *self._accepted]
        if ending:
            await asyncio.wait(ending)
        await self._listener.__aexit__(*exc_info)

    def set_hosts(self, hosts: tuple[EntryHost, ...]) -> None:
        """Open links to new hosts and close those to hosts that left."""
        wanted = {host.id: host for host in hosts if host.id != self._host_id}
        for host_id, link in list(self._links.items()):
            if host_id not in wanted or wanted[host_id].address != link.peer.address:
                self._close_link(host_id)
        for host_id, host in wanted.items():
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
        self._ending.add(link.task)
        link.task.add_done_callback(self._ending.discard)

    async def _serve(self, stream: Any) -> None:
        outbox = PeerOutbox(QUEUE_LIMIT)
        task = asyncio.current_task()
        if task is not None:
            self._accepted[task] = outbox
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
                del self._accepted[task]

    def _receive(self, frame: PeerFrame) -> None:
        if frame.message is not None:
            self._post(PeerMessageReceived(frame.sender, frame.message))

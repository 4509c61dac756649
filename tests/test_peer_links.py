"""Tests of the links between entry hosts under network faults.

They use real loopback connections on ephemeral ports, with `pickle` as the
codec.
"""

import asyncio
import pickle
import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from typing import Any

import attrs
import pytest

from crocuswell_core.cluster.commands import EntryHost, LogEntry, NoOperation, Proposal
from crocuswell_core.consensus.peer_messages import (
    AppendEntries,
    InstallSnapshot,
    PeerMessage,
    TimeoutNow,
)
from crocuswell_core.runtime.events import (
    PeerMessageReceived,
)
from crocuswell_daemon import peers
from crocuswell_daemon.peers import PeerCodec, PeerFrame, PeerLinks, PeerOutbox
from tests.relay import Relay
from tests.stream_fake import MEGABYTE, TEST_TIMEOUT_S, Recorder, run

FAULT_COUNT = 10


def host(name: str, port: int) -> EntryHost:
    return EntryHost(name, f"127.0.0.1:{port}", "fd1")


def peer_links(
    name: str,
    recorder: Recorder,
    port: int = 0,
    encode: Any = pickle.dumps,
    decode: Any = pickle.loads,
) -> PeerLinks:
    return PeerLinks(
        name,
        "127.0.0.1",
        port,
        encode=encode,
        decode=decode,
        post=recorder.post,
        count=recorder.count,
    )


@asynccontextmanager
async def two_peers() -> AsyncIterator[tuple[PeerLinks, Recorder, PeerLinks, Recorder]]:
    """Start two hosts without links between them."""
    at_a, at_b = Recorder(), Recorder()
    async with peer_links("a", at_a) as a, peer_links("b", at_b) as b:
        yield a, at_a, b, at_b


async def send_until_received(
    links: PeerLinks, to: str, recorder: Recorder, term: int
) -> None:
    """Resend a message until it arrives, as the core does."""
    event = PeerMessageReceived("a", TimeoutNow(term))
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while event not in recorder.events:
            links.send(to, event.message)
            await asyncio.sleep(0.05)


@pytest.fixture
def short_silence_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peers, "SILENCE_TIMEOUT_S", 0.6)
    monkeypatch.setattr(peers, "KEEPALIVE_INTERVAL_S", 0.2)


@pytest.mark.usefixtures("long_stream_timeouts")
def test_peers_exchange_messages() -> None:
    """Guards against lost, reordered or misattributed messages."""

    async def main() -> None:
        async with two_peers() as (a, at_a, b, at_b):
            hosts = (host("a", a.port), host("b", b.port))
            a.set_hosts(hosts)
            b.set_hosts(hosts)
            for term in range(100):
                a.send("b", TimeoutNow(term))
                b.send("a", TimeoutNow(term))
            await at_a.until(lambda: len(at_a.events) == 100)
            await at_b.until(lambda: len(at_b.events) == 100)
            sent = [TimeoutNow(term) for term in range(100)]
            assert at_a.events == [PeerMessageReceived("b", m) for m in sent]
            assert at_b.events == [PeerMessageReceived("a", m) for m in sent]

    run(main())


def test_message_to_an_unknown_host_is_counted() -> None:
    """Guards against an exception on sending to a removed host."""

    async def main() -> None:
        async with two_peers() as (a, at_a, b, _):
            a.set_hosts((host("b", b.port),))
            a.send("c", TimeoutNow(1))
            assert at_a.total("peer_messages_dropped", "unknown") == 1

    run(main())


@pytest.mark.usefixtures("long_stream_timeouts")
def test_large_message() -> None:
    """Guards against failing on messages larger than HTTP/2's windows."""

    async def main() -> None:
        async with two_peers() as (a, _, b, at_b):
            a.set_hosts((host("b", b.port),))
            snapshot = InstallSnapshot(1, 2, 1, (), (), bytes(20 * MEGABYTE))
            a.send("b", snapshot)
            await at_b.wait_for(PeerMessageReceived("a", snapshot))

    run(main())


@pytest.mark.usefixtures("long_stream_timeouts")
@pytest.mark.usefixtures("short_silence_timeout")
def test_idle_link_is_kept() -> None:
    """Guards against closing an idle but healthy link."""

    async def main() -> None:
        async with two_peers() as (a, at_a, b, at_b):
            a.set_hosts((host("b", b.port),))
            await send_until_received(a, "b", at_b, 1)
            await asyncio.sleep(2.0)
            assert at_a.total("peer_links_lost") == 0

    run(main())


@pytest.mark.usefixtures("short_silence_timeout")
@pytest.mark.parametrize(
    "forward, backward", [(True, True), (True, False), (False, True)]
)
def test_silent_link_is_replaced(forward: bool, backward: bool) -> None:
    """Guards against keeping a connection that went silent."""

    async def main() -> None:
        async with two_peers() as (a, at_a, b, at_b), Relay(b.port) as relay:
            a.set_hosts((host("b", relay.port),))
            await send_until_received(a, "b", at_b, 1)
            relay.go_silent(forward, backward)
            await at_a.until(lambda: at_a.total("peer_links_lost") == 1)
            await send_until_received(a, "b", at_b, 2)
            assert relay.connections == 2

    run(main())


@pytest.mark.usefixtures("short_silence_timeout")
def test_large_message_on_a_slow_link(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against timing out while a snapshot is still arriving."""

    async def main() -> None:
        async with two_peers() as (a, at_a, b, at_b), Relay(b.port) as relay:
            relay.pause_s = 0.02
            a.set_hosts((host("b", relay.port),))
            snapshot = InstallSnapshot(1, 2, 1, (), (), bytes(4 * MEGABYTE))
            a.send("b", snapshot)
            await at_b.wait_for(PeerMessageReceived("a", snapshot))
            assert at_a.total("peer_links_lost") == 0

    run(main())


def test_reconnects_to_a_restarted_peer() -> None:
    """Guards against not reconnecting to a restarted host."""

    async def main() -> None:
        at_a, at_b = Recorder(), Recorder()
        async with peer_links("a", at_a) as a:
            async with peer_links("b", at_b) as b:
                port = b.port
                a.set_hosts((host("b", port),))
                await send_until_received(a, "b", at_b, 1)
            await at_a.until(lambda: at_a.total("peer_connects_failed") > 2)
            async with peer_links("b", at_b, port):
                await send_until_received(a, "b", at_b, 2)

    run(main())


def test_stalled_peer_does_not_delay_others() -> None:
    """Guards against a stalled connection that blocks all sending."""

    async def main() -> None:
        at_a, at_b, at_c = Recorder(), Recorder(), Recorder()
        async with AsyncExitStack() as stack:
            enter = stack.enter_async_context
            a = await enter(peer_links("a", at_a))
            b = await enter(peer_links("b", at_b))
            c = await enter(peer_links("c", at_c))
            relay = await enter(Relay(b.port))
            a.set_hosts((host("b", relay.port), host("c", c.port)))
            await send_until_received(a, "b", at_b, 0)
            await send_until_received(a, "c", at_c, 0)
            relay.stall()
            big = InstallSnapshot(1, 2, 1, (), (), bytes(MEGABYTE))
            for term in range(1, peers.QUEUE_LIMIT + 100):
                a.send("b", big)
                a.send("c", TimeoutNow(term))
                await asyncio.sleep(0)
                await at_c.wait_for(PeerMessageReceived("a", TimeoutNow(term)))
            assert at_a.total("peer_messages_dropped", "full") > 0
            assert at_a.total("peer_links_lost") == 0

    run(main())


def test_exit_does_not_wait_for_a_stalled_peer() -> None:
    """Guards against a stop that waits for a stalled peer."""

    async def main() -> None:
        async with two_peers() as (a, _at_a, b, at_b), Relay(b.port) as relay:
            a.set_hosts((host("b", relay.port),))
            await send_until_received(a, "b", at_b, 1)
            relay.stall()
            for _ in range(10):
                a.send("b", InstallSnapshot(1, 2, 1, (), (), bytes(MEGABYTE)))
            async with asyncio.timeout(peers.SILENCE_TIMEOUT_S - 0.5):
                await a.__aexit__(None, None, None)

    run(main())


@pytest.mark.usefixtures("long_stream_timeouts")
def test_last_message_leaves_before_exit() -> None:
    """Guards against losing the leadership transfer at a planned stop."""

    async def main() -> None:
        at_a, at_b = Recorder(), Recorder()
        async with peer_links("b", at_b) as b:
            async with peer_links("a", at_a) as a:
                a.set_hosts((host("b", b.port),))
                await send_until_received(a, "b", at_b, 1)
                a.send("b", TimeoutNow(2))
            await at_b.wait_for(PeerMessageReceived("a", TimeoutNow(2)))

    run(main())


def test_host_that_left_or_moved() -> None:
    """Guards against stale links to hosts that were removed or moved."""

    async def main() -> None:
        at_a, at_b, at_c = Recorder(), Recorder(), Recorder()
        async with (
            peer_links("a", at_a) as a,
            peer_links("b", at_b) as b,
            peer_links("b", at_c) as moved,
        ):
            a.set_hosts((host("b", b.port),))
            await send_until_received(a, "b", at_b, 1)
            a.set_hosts((attrs.evolve(host("b", b.port), has_disk=False),))
            a.send("b", TimeoutNow(2))
            await at_b.wait_for(PeerMessageReceived("a", TimeoutNow(2)))
            a.set_hosts((host("b", moved.port),))
            await send_until_received(a, "b", at_c, 3)
            a.set_hosts(())
            a.send("b", TimeoutNow(4))
            assert at_a.total("peer_messages_dropped", "unknown") == 1

    run(main())


def raise_value_error(*_: Any) -> Any:
    raise ValueError("not a message")


@pytest.mark.parametrize("fault", ["encode", "decode"])
def test_message_that_cannot_be_coded(fault: str) -> None:
    """Guards against one invalid message that disables a link forever."""
    bad = TimeoutNow(-1)

    def encode(message: PeerMessage) -> bytes:
        return (
            raise_value_error()
            if fault == "encode" and message == bad
            else pickle.dumps(message)
        )

    def decode(data: bytes) -> PeerMessage:
        message: PeerMessage = pickle.loads(data)
        return raise_value_error() if fault == "decode" and message == bad else message

    async def main() -> None:
        at_a, at_b = Recorder(), Recorder()
        async with (
            peer_links("a", at_a, encode=encode) as a,
            peer_links("b", at_b, decode=decode) as b,
        ):
            a.set_hosts((host("b", b.port),))
            await send_until_received(a, "b", at_b, 1)
            a.send("b", bad)
            await at_a.until(lambda: at_a.total("peer_links_lost") == 1)
            await send_until_received(a, "b", at_b, 2)

    run(main())


def test_frame_codec() -> None:
    """Guards against frames that do not survive encoding."""
    codec = PeerCodec(pickle.dumps, pickle.loads)
    for frame in (PeerFrame("gateway-ž", TimeoutNow(3)), PeerFrame("a")):
        assert codec.decode(codec.encode(frame, object), object) == frame


ENTRY = LogEntry(1, 1, 0, Proposal("", "", NoOperation()))
HEARTBEAT_1, HEARTBEAT_2 = (AppendEntries(1, 0, 0, (), 0, number) for number in (1, 2))
APPEND = AppendEntries(1, 0, 0, (ENTRY,), 0, 3)
TIMEOUT_NOW = TimeoutNow(1)


@pytest.mark.parametrize(
    "waiting, offered, left",
    [
        (
            [APPEND, HEARTBEAT_1, HEARTBEAT_2],
            TIMEOUT_NOW,
            [APPEND, HEARTBEAT_2, TIMEOUT_NOW],
        ),
        ([APPEND, TIMEOUT_NOW, APPEND], TIMEOUT_NOW, [APPEND, TIMEOUT_NOW, APPEND]),
        (
            [APPEND, TIMEOUT_NOW, HEARTBEAT_1],
            HEARTBEAT_2,
            [APPEND, TIMEOUT_NOW, HEARTBEAT_2],
        ),
    ],
)
def test_full_queue(
    waiting: list[PeerMessage], offered: PeerMessage, left: list[PeerMessage]
) -> None:
    """Guards against dropping log entries while keeping old heartbeats."""
    outbox = PeerOutbox(3)
    for message in waiting:
        assert outbox.offer(PeerFrame("a", message))
    assert not outbox.offer(PeerFrame("a", offered))
    assert [frame.message for frame in outbox._messages] == left


@pytest.mark.usefixtures("short_silence_timeout")
@pytest.mark.parametrize("seed", [1, 2])
def test_random_faults(seed: int) -> None:
    """Guards against a fault sequence after which a link stays down."""

    async def main() -> None:
        rng = random.Random(seed)
        async with two_peers() as (a, _, b, at_b), Relay(b.port) as relay:
            faults = [
                relay.go_silent,
                partial(relay.go_silent, backward=False),
                partial(relay.go_silent, forward=False),
                relay.stall,
                relay.cut,
                partial(a.set_hosts, ()),
                lambda: a.send("b", InstallSnapshot(1, 2, 1, (), (), bytes(MEGABYTE))),
            ]
            for term in range(FAULT_COUNT):
                a.set_hosts((host("b", relay.port),))
                await send_until_received(a, "b", at_b, term)
                rng.choice(faults)()
                await asyncio.sleep(rng.uniform(0.0, 0.1))

    run(main())

"""Guards the links between entry hosts against faults of the network.

Real connections over loopback, on ports chosen by the system. `pickle`
stands in for the codec.
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

from crocuswell_core.agreement.peer_messages import (
    Append,
    InstallSnapshot,
    PeerMessage,
    TimeoutNow,
)
from crocuswell_core.cluster.commands import EntryHost, LogEntry, NoOperation, Proposal
from crocuswell_core.runtime.events import (
    PeerMessageReceived,
)
from crocuswell_daemon import peers
from crocuswell_daemon.peers import PeerCodec, PeerFrame, PeerLinks, PeerOutbox
from tests.relay import Relay
from tests.stream_fake import MEGABYTE, OUTER_LIMIT_S, Recorder, run

FAULTS = 10


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
    """Two hosts; the first one's link to the second is not opened yet."""
    at_a, at_b = Recorder(), Recorder()
    async with peer_links("a", at_a) as a, peer_links("b", at_b) as b:
        yield a, at_a, b, at_b


async def deliver(links: PeerLinks, to: str, recorder: Recorder, term: int) -> None:
    """Send until a message arrives, as the core does."""
    event = PeerMessageReceived("a", TimeoutNow(term))
    async with asyncio.timeout(OUTER_LIMIT_S):
        while event not in recorder.events:
            links.send(to, event.message)
            await asyncio.sleep(0.05)


@pytest.fixture
def short_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peers, "SILENCE_LIMIT_S", 0.6)
    monkeypatch.setattr(peers, "KEEPALIVE_S", 0.2)


@pytest.mark.usefixtures("patient")
def test_peers_exchange_messages() -> None:
    """Guards against lost, reordered or wrongly attributed messages."""

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
    """Guards against an exception when a host has just left."""

    async def main() -> None:
        async with two_peers() as (a, at_a, b, _):
            a.set_hosts((host("b", b.port),))
            a.send("c", TimeoutNow(1))
            assert at_a.total("peer_messages_dropped", "unknown") == 1

    run(main())


@pytest.mark.usefixtures("patient")
def test_large_message() -> None:
    """Guards against snapshots larger than the windows of HTTP/2."""

    async def main() -> None:
        async with two_peers() as (a, _, b, at_b):
            a.set_hosts((host("b", b.port),))
            snapshot = InstallSnapshot(1, 2, 1, (), (), bytes(20 * MEGABYTE))
            a.send("b", snapshot)
            await at_b.wait_for(PeerMessageReceived("a", snapshot))

    run(main())


@pytest.mark.usefixtures("patient")
@pytest.mark.usefixtures("short_silence")
def test_quiet_link_stays() -> None:
    """Guards against replacing links between hosts with nothing to tell."""

    async def main() -> None:
        async with two_peers() as (a, at_a, b, at_b):
            a.set_hosts((host("b", b.port),))
            await deliver(a, "b", at_b, 1)
            await asyncio.sleep(2.0)
            assert at_a.total("peer_links_lost") == 0

    run(main())


@pytest.mark.usefixtures("short_silence")
@pytest.mark.parametrize("forth, back", [(True, True), (True, False), (False, True)])
def test_silent_link_is_replaced(forth: bool, back: bool) -> None:
    """Guards against a connection that goes silent for good."""

    async def main() -> None:
        async with two_peers() as (a, at_a, b, at_b), Relay(b.port) as relay:
            a.set_hosts((host("b", relay.port),))
            await deliver(a, "b", at_b, 1)
            relay.go_silent(forth, back)
            await at_a.until(lambda: at_a.total("peer_links_lost") == 1)
            await deliver(a, "b", at_b, 2)
            assert relay.connections == 2

    run(main())


@pytest.mark.usefixtures("short_silence")
def test_large_message_on_a_slow_link(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against giving up on a snapshot that takes long to arrive."""

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
    """Guards against a host that never comes back for the others."""

    async def main() -> None:
        at_a, at_b = Recorder(), Recorder()
        async with peer_links("a", at_a) as a:
            async with peer_links("b", at_b) as b:
                port = b.port
                a.set_hosts((host("b", port),))
                await deliver(a, "b", at_b, 1)
            await at_a.until(lambda: at_a.total("peer_connects_failed") > 2)
            async with peer_links("b", at_b, port):
                await deliver(a, "b", at_b, 2)

    run(main())


def test_stuck_peer_does_not_delay_others() -> None:
    """Guards against one full connection that holds up all sending."""

    async def main() -> None:
        at_a, at_b, at_c = Recorder(), Recorder(), Recorder()
        async with AsyncExitStack() as stack:
            enter = stack.enter_async_context
            a = await enter(peer_links("a", at_a))
            b = await enter(peer_links("b", at_b))
            c = await enter(peer_links("c", at_c))
            relay = await enter(Relay(b.port))
            a.set_hosts((host("b", relay.port), host("c", c.port)))
            await deliver(a, "b", at_b, 0)
            await deliver(a, "c", at_c, 0)
            relay.stick()
            big = InstallSnapshot(1, 2, 1, (), (), bytes(MEGABYTE))
            for term in range(1, peers.QUEUE_LIMIT + 100):
                a.send("b", big)
                a.send("c", TimeoutNow(term))
                await asyncio.sleep(0)
                await at_c.wait_for(PeerMessageReceived("a", TimeoutNow(term)))
            assert at_a.total("peer_messages_dropped", "full") > 0
            assert at_a.total("peer_links_lost") == 0

    run(main())


def test_exit_does_not_wait_for_a_silent_peer() -> None:
    """Guards against a stop that hangs on the other end."""

    async def main() -> None:
        async with two_peers() as (a, _at_a, b, at_b), Relay(b.port) as relay:
            a.set_hosts((host("b", relay.port),))
            await deliver(a, "b", at_b, 1)
            relay.stick()
            for _ in range(10):
                a.send("b", InstallSnapshot(1, 2, 1, (), (), bytes(MEGABYTE)))
            async with asyncio.timeout(peers.SILENCE_LIMIT_S - 0.5):
                await a.__aexit__(None, None, None)

    run(main())


@pytest.mark.usefixtures("patient")
def test_last_message_leaves_before_exit() -> None:
    """Guards against losing the hand-over of leadership at a planned stop."""

    async def main() -> None:
        at_a, at_b = Recorder(), Recorder()
        async with peer_links("b", at_b) as b:
            async with peer_links("a", at_a) as a:
                a.set_hosts((host("b", b.port),))
                await deliver(a, "b", at_b, 1)
                a.send("b", TimeoutNow(2))
            await at_b.wait_for(PeerMessageReceived("a", TimeoutNow(2)))

    run(main())


def test_host_that_left_or_moved() -> None:
    """Guards against links that stay to hosts that left or moved."""

    async def main() -> None:
        at_a, at_b, at_c = Recorder(), Recorder(), Recorder()
        async with (
            peer_links("a", at_a) as a,
            peer_links("b", at_b) as b,
            peer_links("b", at_c) as moved,
        ):
            a.set_hosts((host("b", b.port),))
            await deliver(a, "b", at_b, 1)
            a.set_hosts((attrs.evolve(host("b", b.port), has_disk=False),))
            a.send("b", TimeoutNow(2))
            await at_b.wait_for(PeerMessageReceived("a", TimeoutNow(2)))
            a.set_hosts((host("b", moved.port),))
            await deliver(a, "b", at_c, 3)
            a.set_hosts(())
            a.send("b", TimeoutNow(4))
            assert at_a.total("peer_messages_dropped", "unknown") == 1

    run(main())


def refuse(*_: Any) -> Any:
    raise ValueError("not a message")


@pytest.mark.parametrize("fault", ["encode", "decode"])
def test_message_that_cannot_be_coded(fault: str) -> None:
    """Guards against one bad message that ends a link for good."""
    bad = TimeoutNow(-1)

    def encode(message: PeerMessage) -> bytes:
        return (
            refuse() if fault == "encode" and message == bad else pickle.dumps(message)
        )

    def decode(data: bytes) -> PeerMessage:
        message: PeerMessage = pickle.loads(data)
        return refuse() if fault == "decode" and message == bad else message

    async def main() -> None:
        at_a, at_b = Recorder(), Recorder()
        async with (
            peer_links("a", at_a, encode=encode) as a,
            peer_links("b", at_b, decode=decode) as b,
        ):
            a.set_hosts((host("b", b.port),))
            await deliver(a, "b", at_b, 1)
            a.send("b", bad)
            await at_a.until(lambda: at_a.total("peer_links_lost") == 1)
            await deliver(a, "b", at_b, 2)

    run(main())


def test_frame_codec() -> None:
    """Guards against a frame that loses its sender or its message."""
    codec = PeerCodec(pickle.dumps, pickle.loads)
    for frame in (PeerFrame("gateway-ž", TimeoutNow(3)), PeerFrame("a")):
        assert codec.decode(codec.encode(frame, object), object) == frame


ENTRY = LogEntry(1, 1, 0, Proposal("", "", NoOperation()))
BEAT_1, BEAT_2 = (Append(1, 0, 0, (), 0, number) for number in (1, 2))
FULL = Append(1, 0, 0, (ENTRY,), 0, 3)
OTHER = TimeoutNow(1)


@pytest.mark.parametrize(
    "waiting, offered, left",
    [
        ([FULL, BEAT_1, BEAT_2], OTHER, [FULL, BEAT_2, OTHER]),
        ([FULL, OTHER, FULL], OTHER, [FULL, OTHER, FULL]),
        ([FULL, OTHER, BEAT_1], BEAT_2, [FULL, OTHER, BEAT_2]),
    ],
)
def test_full_queue(
    waiting: list[PeerMessage], offered: PeerMessage, left: list[PeerMessage]
) -> None:
    """Guards against dropping entries while old heartbeats are kept."""
    outbox = PeerOutbox(3)
    for message in waiting:
        assert outbox.offer(PeerFrame("a", message))
    assert not outbox.offer(PeerFrame("a", offered))
    assert [frame.message for frame in outbox._messages] == left


@pytest.mark.usefixtures("short_silence")
@pytest.mark.parametrize("seed", [1, 2])
def test_random_faults(seed: int) -> None:
    """Guards against a sequence of faults after which a link stays dead."""

    async def main() -> None:
        rng = random.Random(seed)
        async with two_peers() as (a, _, b, at_b), Relay(b.port) as relay:
            faults = [
                relay.go_silent,
                partial(relay.go_silent, back=False),
                partial(relay.go_silent, forth=False),
                relay.stick,
                relay.cut,
                partial(a.set_hosts, ()),
                lambda: a.send("b", InstallSnapshot(1, 2, 1, (), (), bytes(MEGABYTE))),
            ]
            for term in range(FAULTS):
                a.set_hosts((host("b", relay.port),))
                await deliver(a, "b", at_b, term)
                rng.choice(faults)()
                await asyncio.sleep(rng.uniform(0.0, 0.1))

    run(main())

"""Tests of agent streams under network faults.

They use real loopback connections on ephemeral ports, with `pickle` as the
codec.
"""

import asyncio
import pickle
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from grpclib.protocol import H2Protocol

from crocuswell_core.agent.agent_messages import DrainNotice, Goodbye, ReportAck
from crocuswell_core.runtime.events import (
    AgentMessageReceived,
    AgentStreamClosed,
    EntryMessageReceived,
    EntryStreamClosed,
    EntryStreamOpened,
    Event,
)
from crocuswell_daemon import agent_streams, listener
from crocuswell_daemon.agent_streams import AgentListener
from crocuswell_daemon.entry_stream import EntryStreamClient
from tests.relay import Relay
from tests.stream_fake import MEGABYTE, TEST_TIMEOUT_S, Recorder, run


@asynccontextmanager
async def open_agent_pair() -> AsyncIterator[
    tuple[AgentListener, Recorder, EntryStreamClient, Recorder]
]:
    at_entry, at_agent = Recorder(), Recorder()
    async with (
        AgentListener(
            "127.0.0.1",
            0,
            encode=pickle.dumps,
            decode=pickle.loads,
            post=at_entry.post,
            count=at_entry.count,
        ) as entry,
        EntryStreamClient(pickle.dumps, pickle.loads, at_agent.post) as stream_client,
    ):
        yield entry, at_entry, stream_client, at_agent


def closed_events(recorder: Recorder) -> list[Event]:
    kinds = (AgentStreamClosed, EntryStreamClosed)
    return [event for event in recorder.events if isinstance(event, kinds)]


@pytest.mark.usefixtures("long_stream_timeouts")
def test_agent_stream() -> None:
    """Guards against lost or reordered messages and repeated close events."""

    async def main() -> None:
        async with open_agent_pair() as (entry, at_entry, stream_client, at_agent):
            stream_client.open(7, f"127.0.0.1:{entry.port}")
            for _ in range(50):
                stream_client.send(7, DrainNotice(True))
            stream_client.send(7, DrainNotice(False))
            await at_agent.wait_for(EntryStreamOpened(7))
            await at_entry.wait_for(AgentMessageReceived(1, DrainNotice(False)))
            assert len(at_entry.events) == 51
            for sequence in range(50):
                entry.send(1, ReportAck(sequence))
            await at_agent.wait_for(EntryMessageReceived(7, ReportAck(49)))
            assert at_agent.events[1:] == [
                EntryMessageReceived(7, ReportAck(sequence)) for sequence in range(50)
            ]
            stream_client.close(7)
            await at_entry.wait_for(AgentStreamClosed(1))
            stream_client.close(7)
            entry.close_stream(1)
            entry.send(1, Goodbye())
            stream_client.send(7, DrainNotice(True))
        assert closed_events(at_entry) == [AgentStreamClosed(1)]
        assert len(closed_events(at_agent)) == 1

    run(main())


@pytest.mark.usefixtures("long_stream_timeouts")
def test_goodbye_arrives_before_the_end() -> None:
    """Guards against losing messages sent right before a close."""

    async def main() -> None:
        async with open_agent_pair() as (entry, at_entry, stream_client, at_agent):
            stream_client.open(1, f"127.0.0.1:{entry.port}")
            await at_agent.wait_for(EntryStreamOpened(1))
            entry.send(1, Goodbye())
            entry.close_stream(1)
            assert closed_events(at_entry) == [AgentStreamClosed(1)]
            await at_agent.wait_for(EntryStreamClosed(1, "closed by the entry host"))
            assert EntryMessageReceived(1, Goodbye()) in at_agent.events
            stream_client.open(2, f"127.0.0.1:{entry.port}")
            await at_agent.wait_for(EntryStreamOpened(2))
            stream_client.send(2, DrainNotice(True))
            stream_client.close(2)
            await at_entry.wait_for(AgentMessageReceived(2, DrainNotice(True)))
            await at_entry.wait_for(AgentStreamClosed(2))

    run(main())


def test_no_event_follows_the_close_event() -> None:
    """Guards against events of a stream after its close event."""

    async def main() -> None:
        async with open_agent_pair() as (entry, at_entry, stream_client, at_agent):
            stream_client.open(1, f"127.0.0.1:{entry.port}")
            await at_agent.wait_for(EntryStreamOpened(1))
            for _ in range(100):
                stream_client.send(1, DrainNotice(True))
                entry.send(1, Goodbye())
            await asyncio.sleep(0)
            entry.close_stream(1)
            stream_client.close(1)
            await asyncio.sleep(0.3)
        assert isinstance(at_entry.events[-1], AgentStreamClosed)
        assert isinstance(at_agent.events[-1], EntryStreamClosed)

    run(main())


def test_open_to_unreachable_address() -> None:
    """Guards against a failed connect that is not reported to the agent."""

    async def main() -> None:
        async with open_agent_pair() as (_entry, _, stream_client, at_agent):
            for stream_id, address in enumerate(("127.0.0.1:1", "nowhere", "::1:x")):
                stream_client.open(stream_id, address)
            await at_agent.until(lambda: len(closed_events(at_agent)) == 3)

    run(main())


def test_open_to_a_silent_host() -> None:
    """Guards against waiting for a host that accepts but never responds."""

    async def main() -> None:
        async with (
            open_agent_pair() as (entry, _, stream_client, at_agent),
            Relay(entry.port) as relay,
        ):
            relay.silence_new = True
            stream_client.open(1, f"127.0.0.1:{relay.port}")
            await at_agent.until(lambda: bool(closed_events(at_agent)))
            stream_client.open(2, f"127.0.0.1:{relay.port}")
            await asyncio.sleep(0.1)
            stream_client.close(2)
            assert len(closed_events(at_agent)) == 2
            assert EntryStreamOpened(1) not in at_agent.events

    run(main())


@pytest.mark.parametrize("fault", ["silent", "stuck"])
def test_close_does_not_wait_for_the_other_end(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a close blocked by a silent or stalled connection."""
    lost: list[H2Protocol] = []
    connection_lost = H2Protocol.connection_lost

    def record(protocol: H2Protocol, exc: BaseException | None) -> None:
        lost.append(protocol)
        connection_lost(protocol, exc)

    monkeypatch.setattr(H2Protocol, "connection_lost", record)

    async def main() -> None:
        async with (
            open_agent_pair() as (entry, at_entry, stream_client, at_agent),
            Relay(entry.port) as relay,
        ):
            stream_client.open(1, f"127.0.0.1:{relay.port}")
            stream_client.send(1, DrainNotice(True))
            await at_entry.wait_for(AgentMessageReceived(1, DrainNotice(True)))
            relay.go_silent() if fault == "silent" else relay.stall()
            for _ in range(20):
                stream_client.send(1, large_message())
                entry.send(1, large_message())
            await asyncio.sleep(0.1)
            entry.close_stream(1)
            stream_client.close(1)
            assert closed_events(at_entry) == [AgentStreamClosed(1)]
            assert len(closed_events(at_agent)) == 1
            async with asyncio.timeout(5.0):
                while stream_client._tasks or entry._handler_tasks or len(lost) < 2:
                    await asyncio.sleep(0.05)

    run(main())


def large_message() -> Any:
    """Return a message that fills a connection's buffers."""
    return bytes(MEGABYTE)


def test_stalled_agent_is_closed() -> None:
    """Guards against an unbounded queue for a stalled agent."""

    async def main() -> None:
        async with (
            open_agent_pair() as (entry, at_entry, stream_client, at_agent),
            Relay(entry.port) as relay,
        ):
            stream_client.open(1, f"127.0.0.1:{relay.port}")
            stream_client.open(2, f"127.0.0.1:{entry.port}")
            await at_agent.wait_for(EntryStreamOpened(1))
            await at_agent.wait_for(EntryStreamOpened(2))
            stream_client.send(1, DrainNotice(True))
            await at_entry.until(lambda: bool(at_entry.events))
            stalled_id = at_entry.events[0].stream_id
            relay.stall()
            for _ in range(agent_streams.QUEUE_LIMIT + 20):
                entry.send(stalled_id, large_message())
                await asyncio.sleep(0)
            await at_entry.wait_for(AgentStreamClosed(stalled_id))
            assert at_entry.total("agent_messages_dropped", "full") == 1
            entry.send(3 - stalled_id, Goodbye())
            await at_agent.wait_for(EntryMessageReceived(2, Goodbye()))

    run(main())


@pytest.mark.usefixtures("long_stream_timeouts")
def test_connection_reset() -> None:
    """Guards against a connection reset that goes unnoticed."""

    async def main() -> None:
        async with (
            open_agent_pair() as (entry, at_entry, stream_client, at_agent),
            Relay(entry.port) as relay,
        ):
            stream_client.open(1, f"127.0.0.1:{relay.port}")
            await at_agent.wait_for(EntryStreamOpened(1))
            relay.cut()
            await at_entry.wait_for(AgentStreamClosed(1))
            await at_agent.until(lambda: len(closed_events(at_agent)) == 1)

    run(main())


@pytest.mark.usefixtures("long_stream_timeouts")
def test_too_many_agents(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an agent kept waiting by a host at its stream limit."""
    monkeypatch.setattr(agent_streams, "MAX_STREAMS", 2)

    async def main() -> None:
        async with open_agent_pair() as (entry, at_entry, stream_client, at_agent):
            for stream_id in (1, 2):
                stream_client.open(stream_id, f"127.0.0.1:{entry.port}")
                await at_agent.wait_for(EntryStreamOpened(stream_id))
            stream_client.open(3, f"127.0.0.1:{entry.port}")
            await at_agent.until(lambda: len(closed_events(at_agent)) == 1)
            assert closed_events(at_agent)[0].stream_id == 3
            stream_client.close(1)
            await at_entry.until(lambda: len(closed_events(at_entry)) == 1)
            stream_client.open(4, f"127.0.0.1:{entry.port}")
            await at_agent.wait_for(EntryStreamOpened(4))

    run(main())


@pytest.mark.usefixtures("long_stream_timeouts")
def test_many_agents() -> None:
    """Guards against messages delivered on the wrong stream."""

    async def main() -> None:
        async with open_agent_pair() as (entry, at_entry, stream_client, at_agent):
            count = 200
            for stream_id in range(count):
                # Open one at a time: on a busy machine, opening 200 streams at
                # once in one process exceeds `OPEN_TIMEOUT_S`.
                stream_client.open(stream_id, f"127.0.0.1:{entry.port}")
                stream_client.send(stream_id, ReportAck(stream_id))
                await at_agent.wait_for(EntryStreamOpened(stream_id))
            await at_entry.until(lambda: len(at_entry.events) == count)
            for event in list(at_entry.events):
                entry.send(event.stream_id, event.message)
            for stream_id in range(count):
                message = ReportAck(stream_id)
                await at_agent.wait_for(EntryMessageReceived(stream_id, message))

    run(main())


@pytest.mark.usefixtures("long_stream_timeouts")
def test_connection_without_a_stream_is_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against leaking descriptors to connections without streams."""
    monkeypatch.setattr(listener, "IDLE_CHECK_INTERVAL_S", 0.2)

    async def main() -> None:
        async with open_agent_pair() as (entry, _, stream_client, at_agent):
            stream_client.open(1, f"127.0.0.1:{entry.port}")
            await at_agent.wait_for(EntryStreamOpened(1))
            reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                with pytest.raises(ConnectionResetError):
                    while await reader.read(1_000):
                        pass
                    raise ConnectionResetError
            writer.close()
            assert closed_events(at_agent) == []

    run(main())


def test_agent_imports_few_libraries() -> None:
    """Guards against imports that exceed the agent's memory limit."""
    code = (
        "import sys, crocuswell_daemon.entry_stream\n"
        "names = {'prometheus_client', 'cheroot', 'yaml', 'cattrs', 'typer',"
        " 'json', 'grpclib.server', 'result'}\n"
        "print(sorted(names & set(sys.modules)))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"

"""Simulate many agents' streams in one process: heartbeats, no tasks.

Stops at the end of standard input and then prints one JSON line of counters.
"""

import argparse
import asyncio
import json
import sys
from functools import singledispatchmethod

import attrs

from crocuswell_core.agent.agent_messages import (
    AgentHeartbeat,
    AgentMessage,
    EntryHeartbeat,
    EntryMessage,
    Hello,
    Welcome,
)
from crocuswell_core.cluster.records import WorkerInfo
from crocuswell_core.cluster.resources import Resources
from crocuswell_core.runtime.events import (
    EntryMessageReceived,
    EntryStreamClosed,
    EntryStreamOpened,
    Event,
)
from crocuswell_daemon.entry_stream import EntryStreamClient
from crocuswell_daemon.wire import decode, encode

HEARTBEAT_S = 1.0
CAPACITY = Resources(1, 32, 65_536)
# HTTP/2 frame header and gRPC message prefix around each message.
FRAMING_BYTES = 14


@attrs.define
class AgentStub:
    """State of one agent's stream.

    Attributes
    ----------
    configuration_number : int
        Number last received from the entry host, echoed in heartbeats.
    confirmed : int
        Highest heartbeat sequence that the leader has confirmed.
    """

    stream_id: int
    worker: str
    configuration_number: int = 0
    sequence: int = 0
    open: bool = False
    confirmed: int = 0


@attrs.define
class AgentStubs:
    """All streams of this process."""

    address: str
    first_number: int
    count: int
    stream_client: EntryStreamClient | None = None
    stubs: dict[int, AgentStub] = attrs.Factory(dict)
    sent_bytes: int = 0
    received_bytes: int = 0
    closed: int = 0

    async def run(self) -> None:
        """Keep the streams open until standard input ends."""
        loop = asyncio.get_running_loop()
        input_ended = loop.run_in_executor(None, sys.stdin.read)
        async with EntryStreamClient(encode, decode, self.post) as stream_client:
            self.stream_client = stream_client
            for number in range(self.first_number, self.first_number + self.count):
                self.stubs[number] = AgentStub(number, f"w{number}")
                stream_client.open(number, self.address)
                await asyncio.sleep(HEARTBEAT_S / self.count)
            heartbeats = asyncio.create_task(self._send_heartbeats())
            await input_ended
            heartbeats.cancel()
            print(json.dumps(self._summary()), flush=True)

    async def _send_heartbeats(self) -> None:
        while True:
            for stub in self.stubs.values():
                if stub.open:
                    self._heartbeat(stub)
                await asyncio.sleep(HEARTBEAT_S / self.count)

    def _heartbeat(self, stub: AgentStub) -> None:
        stub.sequence += 1
        self._send(stub, AgentHeartbeat(stub.sequence, stub.configuration_number))

    def _send(self, stub: AgentStub, message: AgentMessage) -> None:
        if self.stream_client is not None:
            self.sent_bytes += len(encode(message)) + FRAMING_BYTES
            self.stream_client.send(stub.stream_id, message)

    def _summary(self) -> dict[str, int]:
        return {
            "sent_bytes": self.sent_bytes,
            "received_bytes": self.received_bytes,
            "closed": self.closed,
            "confirmed": sum(1 for stub in self.stubs.values() if stub.confirmed),
        }

    @singledispatchmethod
    def post(self, event: Event) -> None:
        """Handle an event of a stream."""
        raise NotImplementedError(type(event).__name__)

    @post.register
    def _(self, event: EntryStreamOpened) -> None:
        stub = self.stubs[event.stream_id]
        stub.open = True
        stub.sequence += 1
        info = WorkerInfo(stub.worker, f"r{stub.stream_id // 20}", "fd-1", CAPACITY)
        self._send(stub, Hello(info, "i1", "b1", (), stub.sequence))

    @post.register
    def _(self, event: EntryStreamClosed) -> None:
        self.stubs[event.stream_id].open = False
        self.closed += 1

    @post.register
    def _(self, event: EntryMessageReceived) -> None:
        self.received_bytes += len(encode(event.message)) + FRAMING_BYTES
        self._handle_message(event.message, self.stubs[event.stream_id])

    @singledispatchmethod
    def _handle_message(self, message: EntryMessage, stub: AgentStub) -> None:
        return

    @_handle_message.register
    def _(self, message: EntryHeartbeat, stub: AgentStub) -> None:
        stub.configuration_number = message.configuration_number
        stub.confirmed = message.confirmed

    @_handle_message.register
    def _(self, message: Welcome, stub: AgentStub) -> None:
        stub.configuration_number = message.configuration_number


def main() -> None:
    """Run the streams that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    args = parser.parse_args()
    asyncio.run(AgentStubs(args.address, args.first, args.count).run())


if __name__ == "__main__":
    main()

"""Many agents' streams from one process: heartbeats, no tasks.

Prints one JSON line when it is told to stop by the end of standard input.
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
from crocuswell_daemon.entry_stream import EntryLink
from crocuswell_daemon.wire import decode, encode

HEARTBEAT_S = 1.0
CAPACITY = Resources(1, 32, 65_536)
# HTTP/2 frame header and gRPC message prefix around each message.
FRAMING_BYTES = 14


@attrs.define
class Stub:
    """One agent's stream."""

    stream_id: int
    worker: str
    number: int = 0
    sequence: int = 0
    open: bool = False
    confirmed: int = 0


@attrs.define
class Stubs:
    """All streams of this process."""

    address: str
    first: int
    count: int
    link: EntryLink | None = None
    stubs: dict[int, Stub] = attrs.Factory(dict)
    sent_bytes: int = 0
    received_bytes: int = 0
    closed: int = 0

    async def run(self) -> None:
        """Keep the streams open until standard input ends."""
        loop = asyncio.get_running_loop()
        ended = loop.run_in_executor(None, sys.stdin.read)
        async with EntryLink(encode, decode, self.post) as link:
            self.link = link
            for number in range(self.first, self.first + self.count):
                self.stubs[number] = Stub(number, f"w{number}")
                link.open(number, self.address)
                await asyncio.sleep(HEARTBEAT_S / self.count)
            beating = asyncio.create_task(self._beat())
            await ended
            beating.cancel()
            print(json.dumps(self._summary()), flush=True)

    async def _beat(self) -> None:
        while True:
            for stub in self.stubs.values():
                if stub.open:
                    self._heartbeat(stub)
                await asyncio.sleep(HEARTBEAT_S / self.count)

    def _heartbeat(self, stub: Stub) -> None:
        stub.sequence += 1
        self._send(stub, AgentHeartbeat(stub.sequence, stub.number))

    def _send(self, stub: Stub, message: AgentMessage) -> None:
        if self.link is not None:
            self.sent_bytes += len(encode(message)) + FRAMING_BYTES
            self.link.send(stub.stream_id, message)

    def _summary(self) -> dict[str, int]:
        return {
            "sent_bytes": self.sent_bytes,
            "received_bytes": self.received_bytes,
            "closed": self.closed,
            "confirmed": sum(1 for stub in self.stubs.values() if stub.confirmed),
        }

    @singledispatchmethod
    def post(self, event: Event) -> None:
        """Take an event of a stream."""
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
        self._take(event.message, self.stubs[event.stream_id])

    @singledispatchmethod
    def _take(self, message: EntryMessage, stub: Stub) -> None:
        return

    @_take.register
    def _(self, message: EntryHeartbeat, stub: Stub) -> None:
        stub.number = message.number
        stub.confirmed = message.confirmed

    @_take.register
    def _(self, message: Welcome, stub: Stub) -> None:
        stub.number = message.number


def main() -> None:
    """Run the streams named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    args = parser.parse_args()
    asyncio.run(Stubs(args.address, args.first, args.count).run())


if __name__ == "__main__":
    main()

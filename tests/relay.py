"""A TCP relay that injects faults into its open connections."""

import asyncio
from contextlib import suppress
from typing import Self

CHUNK_BYTES = 65_536


class Relay:
    """Forwards connections to a loopback port.

    Parameters
    ----------
    target : int
        Port to forward to.

    Attributes
    ----------
    silence_new : bool
        Whether new connections are silent from the start.
    pause_s : float
        Delay in s before each forwarded chunk.
    """

    def __init__(self, target: int) -> None:
        self._target = target
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()
        self._forwarding_tasks: set[asyncio.Task[None]] = set()
        self._silent: list[tuple[bool, bool]] = []
        self._stalled: set[int] = set()
        self.connections = 0
        self.silence_new = False
        self.pause_s = 0.0

    @property
    def port(self) -> int:
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()
        self.cut()
        if self._forwarding_tasks:
            await asyncio.wait(self._forwarding_tasks)

    def go_silent(self, forward: bool = True, backward: bool = True) -> None:
        """Discard all further bytes of the currently open connections."""
        self._silent = [(forward, backward)] * self.connections

    def stall(self) -> None:
        """Stop reading from the currently open connections."""
        self._stalled = set(range(self.connections))

    def cut(self) -> None:
        """Abort all currently open connections."""
        for writer in self._writers:
            writer.transport.abort()
        for forwarding_task in self._forwarding_tasks:
            forwarding_task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self.connections
        self.connections += 1
        if self.silence_new:
            self._silent = [(True, True)] * self.connections
        with suppress(OSError):
            other = await asyncio.open_connection("127.0.0.1", self._target)
            self._start_forwarding(number, 0, reader, other[1])
            self._start_forwarding(number, 1, other[0], writer)

    def _start_forwarding(
        self,
        number: int,
        direction: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        task = asyncio.create_task(self._forward(number, direction, reader, writer))
        self._forwarding_tasks.add(task)
        task.add_done_callback(self._forwarding_tasks.discard)

    async def _forward(
        self,
        number: int,
        direction: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                while number in self._stalled:
                    await asyncio.sleep(0.05)
                if number < len(self._silent) and self._silent[number][direction]:
                    continue
                await asyncio.sleep(self.pause_s)
                writer.write(data)
                await writer.drain()
        if not (number < len(self._silent) and self._silent[number][direction]):
            writer.close()

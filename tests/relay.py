"""A TCP relay whose open connections can go silent while new ones work."""

import asyncio
from contextlib import suppress
from typing import Self

CHUNK = 65_536


class Relay:
    """Forwards connections to a port on loopback.

    Parameters
    ----------
    target : int
        Port to which it forwards.
    """

    def __init__(self, target: int) -> None:
        self._target = target
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()
        self._pumps: set[asyncio.Task[None]] = set()
        self._silent: list[tuple[bool, bool]] = []
        self._stuck: set[int] = set()
        self.connections = 0
        self.swallow_new = False
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
        if self._pumps:
            await asyncio.wait(self._pumps)

    def go_silent(self, forth: bool = True, back: bool = True) -> None:
        """Drop all further bytes of the connections that are open now."""
        self._silent = [(forth, back)] * self.connections

    def stick(self) -> None:
        """Read no further bytes of the connections that are open now."""
        self._stuck = set(range(self.connections))

    def cut(self) -> None:
        """Close all connections that are open now."""
        for writer in self._writers:
            writer.transport.abort()
        for pump in self._pumps:
            pump.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self.connections
        self.connections += 1
        if self.swallow_new:
            self._silent = [(True, True)] * self.connections
        with suppress(OSError):
            other = await asyncio.open_connection("127.0.0.1", self._target)
            self._pump(number, 0, reader, other[1])
            self._pump(number, 1, other[0], writer)

    def _pump(
        self,
        number: int,
        direction: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        task = asyncio.create_task(self._forward(number, direction, reader, writer))
        self._pumps.add(task)
        task.add_done_callback(self._pumps.discard)

    async def _forward(
        self,
        number: int,
        direction: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK):
                while number in self._stuck:
                    await asyncio.sleep(0.05)
                if number < len(self._silent) and self._silent[number][direction]:
                    continue
                await asyncio.sleep(self.pause_s)
                writer.write(data)
                await writer.drain()
        if not (number < len(self._silent) and self._silent[number][direction]):
            writer.close()

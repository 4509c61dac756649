"""A TCP proxy whose open connections can go silent in one direction."""

import socket
import threading
from contextlib import suppress

CHUNK_BYTES = 65_536


class Proxy:
    """Forwards connections from one loopback address to another.

    Parameters
    ----------
    listen, target : tuple
        Host and port.
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self._target = target
        self._listener = socket.create_server(listen)
        self._silent: set[socket.socket] = set()
        self._clients: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._clients)

    def silence(self) -> None:
        """Drop from now on what clients send on the open connections.

        The other direction works on, and so do new connections.
        """
        self._silent.update(self._clients)

    def close(self) -> None:
        """Close the listener and all connections."""
        self._listener.close()
        for client in list(self._clients):
            with suppress(OSError):
                client.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(self._target, timeout=1.0)
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            self._clients.add(client)
            for pair in ((client, server), (server, client)):
                threading.Thread(target=self._copy, args=pair, daemon=True).start()

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if source not in self._silent:
                    sink.sendall(data)
        self._clients -= {source, sink}
        for sock in (source, sink):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

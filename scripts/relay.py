"""A TCP relay that can drop traffic without closing its connections."""

import selectors
import socket
import threading
from typing import Self

import attrs
import yaml
from local_hosts import EntryProcess, LocalHosts, free_port

CHUNK_BYTES = 65_536


@attrs.define(eq=False)
class Relay:
    """Forwards TCP connections to one address; can drop their traffic."""

    listener: socket.socket
    target: tuple[str, int]
    selector: selectors.BaseSelector = attrs.Factory(selectors.DefaultSelector)
    dropping: threading.Event = attrs.Factory(threading.Event)
    thread: threading.Thread | None = None
    waker: tuple[socket.socket, socket.socket] = attrs.Factory(socket.socketpair)

    @classmethod
    def insert_before(
        cls, hosts: LocalHosts, entry: EntryProcess, listener: str
    ) -> Self:
        """Insert a relay between clients and a listener of an entry host.

        The listener moves to another port in the entry host's settings; the
        relay listens on the original port, which clients keep using.
        """
        public_address = getattr(entry, listener)
        address, port = public_address.rsplit(":", 1)
        new_port = free_port(address)
        path = hosts.folder / f"{entry.id}.yaml"
        settings = yaml.safe_load(path.read_text(encoding="utf-8"))
        settings["listen"][listener] = f"{address}:{new_port}"
        path.write_text(yaml.safe_dump(settings, sort_keys=False), encoding="utf-8")
        sock = socket.create_server((address, int(port)))
        relay = cls(sock, (address, new_port))
        relay.start()
        return relay

    def start(self) -> None:
        """Start relaying on a thread."""
        self.selector.register(self.listener, selectors.EVENT_READ)
        self.selector.register(self.waker[0], selectors.EVENT_READ)
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def drop(self) -> None:
        """Read and discard all traffic from now on.

        Connections stay open; new ones are accepted and treated the same.
        """
        self.dropping.set()

    def close(self) -> None:
        """Close all connections and stop the thread."""
        self.waker[1].close()
        if self.thread is not None:
            self.thread.join()

    def _run(self) -> None:
        while True:
            for key, _ in self.selector.select():
                if key.fileobj is self.waker[0]:
                    self._close_all()
                    return
                if key.fileobj is self.listener:
                    self._accept()
                else:
                    self._forward(key)

    def _accept(self) -> None:
        client, _ = self.listener.accept()
        try:
            server = socket.create_connection(self.target, timeout=1)
        except OSError:
            client.close()
            return
        self.selector.register(client, selectors.EVENT_READ, server)
        self.selector.register(server, selectors.EVENT_READ, client)

    def _forward(self, key: selectors.SelectorKey) -> None:
        source, other = key.fileobj, key.data
        if not isinstance(source, socket.socket):
            return
        try:
            data = source.recv(CHUNK_BYTES)
            if data and not self.dropping.is_set():
                other.sendall(data)
        except OSError:
            data = b""
        if not data:
            self._close_pair(source, other)

    def _close_pair(self, *connection_pair: socket.socket) -> None:
        for sock in connection_pair:
            self.selector.unregister(sock)
            sock.close()

    def _close_all(self) -> None:
        for key in list(self.selector.get_map().values()):
            self.selector.unregister(key.fileobj)
            if isinstance(key.fileobj, socket.socket):
                key.fileobj.close()

"""The pool of connections to upstreams; idle connections are kept for a while for the next dispatch."""

import socket
from collections import defaultdict
from collections.abc import Callable, Container

from maddercart.http.client import ClientProtocol
from maddercart.interface import SECOND
from maddercart.net.loop import Coroutine, Loop, Wait
from maddercart.net.sockets import close
from maddercart.sidecar.memory import UPSTREAM_CONNECTION_BYTES, MemoryLedger, MemoryUse

Address = tuple[str, int]  # IPv4 address, port


class Connection:
    __slots__ = ("address", "idle_since", "protocol", "sock", "upstream")

    def __init__(self, upstream: int, address: Address, sock: socket.socket, max_body: int) -> None:
        self.upstream, self.address, self.sock = upstream, address, sock
        self.protocol = ClientProtocol(max_body)
        self.idle_since = 0

    def is_usable(self) -> bool:
        """Whether an idle connection can carry a request. One that is readable has ended: nothing was
        asked."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class ConnectionPool:
    """Holds at most `max_connections` connections, active and idle together."""

    # Share of the time after which an upstream closes an idle connection. A request sent while it does so
    # would end as a reset.
    KEEP_SHARE = 0.7
    SWEEP_INTERVAL_NS = SECOND  # well under the remaining share of that time

    def __init__(
        self, loop: Loop, clock: Callable[[], int], ready: Container[int], ledger: MemoryLedger
    ) -> None:
        """`ready`: the upstreams that may get new queries; it may change later."""
        self.loop, self.clock, self.ledger = loop, clock, ledger
        self.max_connections, self.idle_timeout, self.max_body_bytes = 1, 0, 0  # max_body_bytes: of an answer
        self.ready = ready
        self.idle: defaultdict[int, list[Connection]] = defaultdict(list)  # by upstream, last used at the end
        self.connection_count = 0  # active and idle

    def set_idle_close(self, idle_close: int) -> None:
        """`idle_close`: the time after which upstreams close an idle connection, in nanoseconds."""
        self.idle_timeout = int(idle_close * self.KEEP_SHARE)

    def take_idle(self, upstream: int, address: Address) -> Connection | None:
        """A usable idle connection, the last used first, so that surplus ones age and are closed."""
        while idle := self.idle[upstream]:
            connection = idle.pop()
            self.loop.remove_callback(connection.sock.fileno())
            if connection.address == address and connection.is_usable():
                return connection
            self.close(connection)
        return None

    def open(self, upstream: int, address: Address) -> Connection | None:
        """A new connection that is not connected yet; None if the pool is full or no descriptor is left."""
        if self.connection_count >= self.max_connections:
            self.close_oldest()
        if self.connection_count >= self.max_connections:
            return None
        try:
            sock = self.loop.system_calls.tcp()
        except OSError:
            return None
        self.count_connections(1)
        return Connection(upstream, address, sock, self.max_body_bytes)

    def count_connections(self, change: int) -> None:
        self.connection_count += change
        self.ledger.add(MemoryUse.UPSTREAMS, change * UPSTREAM_CONNECTION_BYTES)

    def put_back(self, connection: Connection) -> None:
        """Keeps a connection as idle, or closes it if its upstream gets no new queries."""
        if connection.upstream not in self.ready:
            return self.close(connection)
        try:
            self.loop.call_when_readable(connection.sock.fileno(), lambda: self.close_idle(connection))
        except OSError:  # epoll can't register it
            return self.close(connection)
        self.idle[connection.upstream].append(connection)
        connection.idle_since = self.clock()

    def close_idle(self, connection: Connection) -> None:
        """Closes an idle connection that became readable or is too old."""
        self.idle[connection.upstream].remove(connection)
        self.close(connection)

    def close(self, connection: Connection) -> None:
        if connection.sock.fileno() >= 0:
            self.count_connections(-1)
            close(self.loop, connection.sock)

    def close_expired(self) -> Coroutine:
        """Closes connections that have been idle for longer than `idle_timeout`; runs until it is ended."""
        while True:
            yield Wait(deadline=self.clock() + self.SWEEP_INTERVAL_NS)
            oldest_kept = self.clock() - self.idle_timeout
            for idle in self.idle.values():
                while idle and idle[0].idle_since <= oldest_kept:
                    self.close_idle(idle[0])

    def close_unready(self) -> None:
        """Closes the idle connections of upstreams that get no new queries."""
        for upstream in [upstream for upstream in self.idle if upstream not in self.ready]:
            for connection in self.idle.pop(upstream):
                self.close(connection)

    def close_oldest(self) -> None:
        if oldest := [idle[0] for idle in self.idle.values() if idle]:
            self.close_idle(min(oldest, key=lambda connection: connection.idle_since))

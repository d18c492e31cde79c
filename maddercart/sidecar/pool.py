"""Connections to upstreams: idle ones are kept a while for the next dispatch."""

import socket
from collections import defaultdict
from collections.abc import Callable, Container

from maddercart.http.upstream import UpstreamSide
from maddercart.interface import SECOND
from maddercart.net.loop import Coroutine, Loop, Wait
from maddercart.net.sockets import close

Address = tuple[str, int]


class Connection:
    __slots__ = ("dial", "side", "since", "sock", "upstream")

    def __init__(self, upstream: int, dial: Address, sock: socket.socket, most_body: int) -> None:
        self.upstream, self.dial, self.sock = upstream, dial, sock
        self.side = UpstreamSide(most_body)
        self.since = 0  # idle

    def sound(self) -> bool:
        """A spare connection that has something to read is at its end: nothing was asked."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class Pool:
    """At most `most` connections, used and idle together."""

    # Of the time after which an upstream closes an idle one: what is sent while it does so ends as a reset.
    KEPT = 0.7
    SWEEP_EVERY = SECOND  # for those that have grown old: well under what is left of that time

    def __init__(self, loop: Loop, clock: Callable[[], int], wanted: Container[int]) -> None:
        self.loop, self.clock = loop, clock
        self.most, self.kept_for, self.most_body = 1, 0, 0
        self.wanted = wanted  # upstreams that may get something new
        self.idle: defaultdict[int, list[Connection]] = defaultdict(list)  # the last used one last
        self.count = 0

    def close_after(self, idle_close: int) -> None:
        self.kept_for = int(idle_close * self.KEPT)

    def take(self, upstream: int, dial: Address) -> Connection | None:
        """An idle one that is sound, the last used first: the others grow old and go."""
        while spare := self.idle[upstream]:
            connection = spare.pop()
            self.loop.rouse(connection.sock.fileno())
            if connection.dial == dial and connection.sound():
                return connection
            self.close(connection)
        return None

    def open(self, upstream: int, dial: Address) -> Connection | None:
        """A new one, not connected yet; None if no descriptor is to be had."""
        if self.count >= self.most:
            self.drop_oldest()
        if self.count >= self.most:
            return None
        try:
            sock = self.loop.machine.tcp()
        except OSError:
            return None
        self.count += 1
        return Connection(upstream, dial, sock, self.most_body)

    def put(self, connection: Connection) -> None:
        if connection.upstream not in self.wanted:
            return self.close(connection)
        try:
            self.loop.rest(connection.sock.fileno(), lambda: self.drop(connection))
        except OSError:  # epoll has no room for it
            return self.close(connection)
        self.idle[connection.upstream].append(connection)
        connection.since = self.clock()

    def drop(self, connection: Connection) -> None:
        """An idle one that has something to read, or is too old."""
        self.idle[connection.upstream].remove(connection)
        self.close(connection)

    def close(self, connection: Connection) -> None:
        if connection.sock.fileno() >= 0:
            self.count -= 1
            close(self.loop, connection.sock)

    def sweep(self) -> Coroutine:
        while True:
            yield Wait(until=self.clock() + self.SWEEP_EVERY)
            before = self.clock() - self.kept_for
            for spare in self.idle.values():
                while spare and spare[0].since <= before:
                    self.drop(spare[0])

    def drop_unwanted(self) -> None:
        """The spare ones of upstreams that get nothing new."""
        for upstream in [upstream for upstream in self.idle if upstream not in self.wanted]:
            for connection in self.idle.pop(upstream):
                self.close(connection)

    def drop_oldest(self) -> None:
        if oldest := [spare[0] for spare in self.idle.values() if spare]:
            self.drop(min(oldest, key=lambda connection: connection.since))

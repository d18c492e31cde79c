"""A stand-in for the machine: a network and a clock in which real sidecar code runs in one thread, in little
time and the same each time. One side of each connection is a socket as the sidecar knows them (`Sock`), the
other an `End` that calls back."""

import errno
import select
import socket
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any, cast

from maddercart.interface import MILLISECOND, SECOND
from maddercart.net.machine import Machine

Address = tuple[str, int]
START = 1_700_000_000 * SECOND  # Unix time, so that list entries may say when an upstream was launched
MICROSECOND = MILLISECOND // 1000
READ_CLOCK, LOOK = 2 * MICROSECOND, 20 * MICROSECOND  # what a look takes: time goes on anyhow
WAY = 300 * MICROSECOND  # between two machines


class Network(Machine):
    """The clock, what is due on it, and who listens where."""

    def __init__(self) -> None:
        self.now = START
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.order, self.descriptors = count(), count(3)
        self.epolls: list[Epoll] = []
        self.socks: dict[int, Sock] = {}
        self.listening: dict[Address, Callable[[], End] | Sock] = {}
        self.bound: dict[Address, Callable[[bytes, Address], None] | Sock] = {}
        self.comes_up: Callable[[Address], int] = lambda to: WAY  # after how long; below 0: never

    def clock(self) -> int:
        self.now += READ_CLOCK
        return self.now

    def at(self, when: int, call: Callable[[], None]) -> None:
        heappush(self.due, (max(when, self.now), next(self.order), call))

    def after(self, span: int, call: Callable[[], None]) -> None:
        self.at(self.now + span, call)

    def step(self, until: int) -> bool:
        """To the next thing that is due, or to a time; true if something was."""
        if self.due and self.due[0][0] <= until:
            when, _, call = heappop(self.due)
            self.now = max(self.now, when)
            call()
            return True
        self.now = max(self.now, until)
        return False

    # -- as a machine

    def epoll(self) -> select.epoll:
        return cast(select.epoll, Epoll(self))

    def tcp(self) -> socket.socket:
        return cast(socket.socket, Sock(self))

    def udp(self) -> socket.socket:
        return cast(socket.socket, Sock(self))

    # -- for those on the other side

    def connect(self, to: Address, end: "End") -> bool:
        """From outside to a sidecar that listens; false if it does not."""
        ear = self.listening.get(to)
        if not isinstance(ear, Sock) or ear.closed:
            return False
        sock = Sock(self)
        sock.end, sock.up, end.sock = end, True, sock
        ear.waiting.append(sock)
        return True

    def datagram(self, to: Address, data: bytes, sender: Address) -> None:
        def arrive() -> None:
            at = self.bound.get(to)
            if isinstance(at, Sock):
                at.datagrams.append((data, sender))
            elif at is not None:
                at(data, sender)

        self.after(WAY, arrive)


class End:
    """The far side of a connection. What it is sent comes by `came`, the near side's end by `over`."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.sock: Sock | None = None
        self.closed = False

    def wrote(self, data: bytes) -> None:
        """The near side has just handed this over: it arrives later."""

    def came(self, data: bytes) -> None:
        pass

    def over(self) -> None:
        pass

    def send(self, data: bytes) -> None:
        def arrive() -> None:
            if self.sock is not None and not self.sock.closed:
                self.sock.inbox += data

        if not self.closed:
            self.network.after(WAY, arrive)

    def close(self, reset: bool = False) -> None:
        def arrive() -> None:
            if self.sock is not None:
                self.sock.ended = True
                self.sock.error = errno.ECONNRESET if reset else self.sock.error

        if not self.closed:
            self.closed = True
            self.network.after(WAY, arrive)


class Sock:
    """What of a non-blocking socket the sidecar uses."""

    def __init__(self, network: Network) -> None:
        self.network, self.fd = network, next(network.descriptors)
        network.socks[self.fd] = self
        self.end: End | None = None
        self.up = self.ended = self.closed = False
        self.error = 0
        self.inbox = bytearray()
        self.waiting: deque[Sock] = deque()  # connections to be accepted
        self.datagrams: deque[tuple[bytes, Address]] = deque()
        self.name: Address = ("127.0.0.1", 0)

    def events(self) -> int:
        shown = select.EPOLLIN if self.inbox or self.ended or self.waiting or self.datagrams else 0
        return shown | (select.EPOLLOUT if self.up or self.error else 0)

    def fileno(self) -> int:
        return -1 if self.closed else self.fd

    def setsockopt(self, *_: Any) -> None:
        pass

    def setblocking(self, *_: Any) -> None:
        pass

    def getsockopt(self, *_: Any) -> int:
        return self.error

    def getsockname(self) -> Address:
        return self.name

    def bind(self, at: Address) -> None:
        self.name = at
        self.network.bound[at] = self

    def listen(self, _: int) -> None:
        del self.network.bound[self.name]
        self.network.listening[self.name] = self

    def accept(self) -> tuple["Sock", Address]:
        if not self.waiting:
            raise BlockingIOError
        return self.waiting.popleft(), ("127.0.0.1", 1)

    def connect_ex(self, to: Address) -> int:
        def come_up() -> None:
            far = self.network.listening.get(to)
            if self.closed:
                return
            if far is None or isinstance(far, Sock):
                self.error = errno.ECONNREFUSED
                return
            self.end, self.up = far(), True
            self.end.sock = self

        if (after := self.network.comes_up(to)) >= 0:
            self.network.after(after, come_up)
        return errno.EINPROGRESS

    def send(self, data: bytes | memoryview) -> int:
        if self.error or self.ended or self.end is None:
            raise BrokenPipeError
        whole, end = bytes(data), self.end
        end.wrote(whole)
        self.network.after(WAY, lambda: None if end.closed else end.came(whole))
        return len(whole)

    def recv(self, most: int, flags: int = 0) -> bytes:
        if self.error:
            raise ConnectionResetError
        if not self.inbox:
            if self.ended:
                return b""
            raise BlockingIOError
        data = bytes(self.inbox[:most])
        if not flags & socket.MSG_PEEK:
            del self.inbox[:most]
        return data

    def sendto(self, data: bytes, to: Address) -> int:
        self.network.datagram(to, data, self.name)
        return len(data)

    def recvfrom(self, most: int) -> tuple[bytes, Address]:
        if not self.datagrams:
            raise BlockingIOError
        data, sender = self.datagrams.popleft()
        return data[:most], sender

    def shutdown(self, _: int) -> None:
        self.tell_end()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            del self.network.socks[self.fd]
            self.network.listening = {a: s for a, s in self.network.listening.items() if s is not self}
            self.network.bound = {a: s for a, s in self.network.bound.items() if s is not self}
            for epoll in self.network.epolls:
                epoll.watched.pop(self.fd, None)
            self.tell_end()

    def tell_end(self) -> None:
        if (end := self.end) is not None:
            self.network.after(WAY, lambda: None if end.closed else end.over())


class Epoll:
    """Level-triggered; waiting lets the network's time go by."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.watched: dict[int, int] = {}
        self.closed = False
        network.epolls.append(self)

    def register(self, fd: int, events: int) -> None:
        self.watched[fd] = events

    def modify(self, fd: int, events: int) -> None:
        self.watched[fd] = events

    def unregister(self, fd: int) -> None:
        self.watched.pop(fd, None)

    def close(self) -> None:
        self.closed = True
        self.network.epolls.remove(self)

    def poll(self, wait: float = -1.0) -> list[tuple[int, int]]:
        network = self.network
        network.now += LOOK
        until = network.now + int(wait * SECOND) if wait >= 0 else 1 << 62
        while True:
            while network.due and network.due[0][0] <= network.now:
                network.step(network.now)
            if (shown := self.shown()) or network.now >= until or self.closed:
                return shown
            if not network.due and until == 1 << 62:
                raise RuntimeError("nothing will ever happen here")
            network.step(until)

    def shown(self) -> list[tuple[int, int]]:
        found = [(fd, self.network.socks[fd].events() & asked) for fd, asked in self.watched.items()]
        return [(fd, events) for fd, events in found if events]

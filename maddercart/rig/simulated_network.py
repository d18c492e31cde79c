"""A deterministic simulation of sockets, epoll and the clock, for real sidecar code in one thread.

Simulated time advances as the code waits, so a run takes little real time and always gives the same result.
The sidecar's side of a connection is a `SimulatedSocket`; the other side is a `RemoteEnd` with callbacks.
"""

import errno
import select
import socket
import sys
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any, cast

from maddercart.interface import MILLISECOND, SECOND
from maddercart.net.sockets import LAST_DATA_AGE_OFFSET
from maddercart.net.system_calls import SystemCalls

Address = tuple[str, int]
# A Unix time, so that list entries can state when an upstream was launched.
START_TIME_NS = 1_700_000_000 * SECOND
MICROSECOND = MILLISECOND // 1000
# Reading the clock and polling take time, so that time advances even if the code never waits.
CLOCK_READ_NS, POLL_NS = 2 * MICROSECOND, 20 * MICROSECOND
ONE_WAY_DELAY_NS = 300 * MICROSECOND  # network latency between two machines


class SimulatedNetwork(SystemCalls):
    """Holds the clock, the scheduled callbacks and the listeners; stands in for `SystemCalls`."""

    def __init__(self) -> None:
        self.now = START_TIME_NS
        # A heap of (due at, sequence number, callback).
        self.scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence, self.descriptor_numbers = count(), count(3)
        self.epolls: list[SimulatedEpoll] = []
        self.sockets: dict[int, SimulatedSocket] = {}
        self.listeners: dict[Address, Callable[[], RemoteEnd] | SimulatedSocket] = {}
        self.datagram_receivers: dict[Address, Callable[[bytes, Address], None] | SimulatedSocket] = {}
        # Time until a connection to an address is established; negative: never.
        self.connect_delay: Callable[[Address], int] = lambda address: ONE_WAY_DELAY_NS

    def clock(self) -> int:
        self.now += CLOCK_READ_NS
        return self.now

    def schedule_at(self, due_at: int, callback: Callable[[], None]) -> None:
        heappush(self.scheduled, (max(due_at, self.now), next(self.sequence), callback))

    def schedule_after(self, delay: int, callback: Callable[[], None]) -> None:
        self.schedule_at(self.now + delay, callback)

    def advance(self, until: int) -> bool:
        """Runs the next callback due by `until`, or moves the clock there; returns whether one ran."""
        if self.scheduled and self.scheduled[0][0] <= until:
            due_at, _, callback = heappop(self.scheduled)
            self.now = max(self.now, due_at)
            callback()
            return True
        self.now = max(self.now, until)
        return False

    # -- the interface of Machine

    def epoll(self) -> select.epoll:
        return cast(select.epoll, SimulatedEpoll(self))

    def tcp(self) -> socket.socket:
        return cast(socket.socket, SimulatedSocket(self))

    def udp(self) -> socket.socket:
        return cast(socket.socket, SimulatedSocket(self))

    # -- for the remote ends

    def connect(self, address: Address, remote: "RemoteEnd") -> bool:
        """Connects a remote end to a listening sidecar; returns False if nothing listens there."""
        listener = self.listeners.get(address)
        if not isinstance(listener, SimulatedSocket) or listener.closed:
            return False
        sock = SimulatedSocket(self)
        sock.remote, sock.connected, remote.socket = remote, True, sock
        listener.accept_queue.append(sock)
        return True

    def deliver_datagram(self, address: Address, data: bytes, sender: Address) -> None:
        def arrive() -> None:
            receiver = self.datagram_receivers.get(address)
            if isinstance(receiver, SimulatedSocket):
                receiver.datagrams.append((data, sender))
            elif receiver is not None:
                receiver(data, sender)

        self.schedule_after(ONE_WAY_DELAY_NS, arrive)


class RemoteEnd:
    """The remote side of a connection to the sidecar.

    `on_data` is called with data that arrives, `on_closed` when the sidecar has closed or shut down its side.
    """

    def __init__(self, network: SimulatedNetwork) -> None:
        self.network = network
        self.socket: SimulatedSocket | None = None
        self.closed = False

    def on_sent(self, data: bytes) -> None:
        """Called as the sidecar sends data, before it arrives."""

    def on_data(self, data: bytes) -> None:
        pass

    def on_closed(self) -> None:
        pass

    def send(self, data: bytes) -> None:
        def arrive() -> None:
            if self.socket is not None and not self.socket.closed:
                self.socket.receive_buffer += data
                self.socket.last_data_at = self.network.now

        if not self.closed:
            self.network.schedule_after(ONE_WAY_DELAY_NS, arrive)

    def close(self, reset: bool = False) -> None:
        def arrive() -> None:
            if self.socket is not None:
                self.socket.remote_closed = True
                self.socket.error = errno.ECONNRESET if reset else self.socket.error

        if not self.closed:
            self.closed = True
            self.network.schedule_after(ONE_WAY_DELAY_NS, arrive)


class SimulatedSocket:
    """The part of a non-blocking socket's interface that the sidecar uses."""

    def __init__(self, network: SimulatedNetwork) -> None:
        self.network, self.fd = network, next(network.descriptor_numbers)
        network.sockets[self.fd] = self
        self.remote: RemoteEnd | None = None
        self.connected = self.remote_closed = self.closed = False
        self.error = 0
        self.receive_buffer, self.last_data_at = bytearray(), 0
        self.accept_queue: deque[SimulatedSocket] = deque()  # connections not yet accepted
        self.datagrams: deque[tuple[bytes, Address]] = deque()  # (data, sender)
        self.address: Address = ("127.0.0.1", 0)

    def ready_events(self) -> int:
        """The epoll event mask of what is ready."""
        events = (
            select.EPOLLIN
            if self.receive_buffer or self.remote_closed or self.accept_queue or self.datagrams
            else 0
        )
        return events | (select.EPOLLOUT if self.connected or self.error else 0)

    def fileno(self) -> int:
        return -1 if self.closed else self.fd

    def setsockopt(self, *_: Any) -> None:
        pass

    def setblocking(self, *_: Any) -> None:
        pass

    def getsockopt(self, level: int, _: int, size: int = 0) -> int | bytes:
        """SO_ERROR, or TCP_INFO with the age of the last data alone."""
        if level == socket.SOL_SOCKET:
            return self.error
        age_ms = (self.network.now - self.last_data_at) // MILLISECOND
        return bytes(LAST_DATA_AGE_OFFSET) + age_ms.to_bytes(size - LAST_DATA_AGE_OFFSET, sys.byteorder)

    def getsockname(self) -> Address:
        return self.address

    def bind(self, address: Address) -> None:
        self.address = address
        self.network.datagram_receivers[address] = self

    def listen(self, _: int) -> None:
        del self.network.datagram_receivers[self.address]
        self.network.listeners[self.address] = self

    def accept(self) -> tuple["SimulatedSocket", Address]:
        if not self.accept_queue:
            raise BlockingIOError
        return self.accept_queue.popleft(), ("127.0.0.1", 1)

    def connect_ex(self, address: Address) -> int:
        def complete() -> None:
            target = self.network.listeners.get(address)
            if self.closed:
                return
            if target is None or isinstance(target, SimulatedSocket):
                self.error = errno.ECONNREFUSED
                return
            self.remote, self.connected = target(), True
            self.remote.socket = self

        if (delay := self.network.connect_delay(address)) >= 0:
            self.network.schedule_after(delay, complete)
        return errno.EINPROGRESS

    def send(self, data: bytes | memoryview) -> int:
        if self.error or self.remote_closed or self.remote is None:
            raise BrokenPipeError
        sent, remote = bytes(data), self.remote
        remote.on_sent(sent)
        self.network.schedule_after(ONE_WAY_DELAY_NS, lambda: None if remote.closed else remote.on_data(sent))
        return len(sent)

    def recv(self, max_bytes: int, flags: int = 0) -> bytes:
        if self.error:
            raise ConnectionResetError
        if not self.receive_buffer:
            if self.remote_closed:
                return b""
            raise BlockingIOError
        data = bytes(self.receive_buffer[:max_bytes])
        if not flags & socket.MSG_PEEK:
            del self.receive_buffer[:max_bytes]
        return data

    def sendto(self, data: bytes, address: Address) -> int:
        self.network.deliver_datagram(address, data, self.address)
        return len(data)

    def recvfrom(self, max_bytes: int) -> tuple[bytes, Address]:
        if not self.datagrams:
            raise BlockingIOError
        data, sender = self.datagrams.popleft()
        return data[:max_bytes], sender

    def shutdown(self, _: int) -> None:
        self.notify_closed()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            del self.network.sockets[self.fd]
            self.network.listeners = {
                address: owner for address, owner in self.network.listeners.items() if owner is not self
            }
            self.network.datagram_receivers = {
                address: owner
                for address, owner in self.network.datagram_receivers.items()
                if owner is not self
            }
            for epoll in self.network.epolls:
                epoll.registered.pop(self.fd, None)
            self.notify_closed()

    def notify_closed(self) -> None:
        if (remote := self.remote) is not None:
            self.network.schedule_after(
                ONE_WAY_DELAY_NS, lambda: None if remote.closed else remote.on_closed()
            )


class SimulatedEpoll:
    """Level-triggered epoll; waiting in `poll` advances the simulated clock."""

    def __init__(self, network: SimulatedNetwork) -> None:
        self.network = network
        self.registered: dict[int, int] = {}  # event mask by descriptor
        self.closed = False
        network.epolls.append(self)

    def register(self, fd: int, events: int) -> None:
        self.registered[fd] = events

    def modify(self, fd: int, events: int) -> None:
        self.registered[fd] = events

    def unregister(self, fd: int) -> None:
        self.registered.pop(fd, None)

    def close(self) -> None:
        self.closed = True
        self.network.epolls.remove(self)

    def poll(self, timeout: float = -1.0) -> list[tuple[int, int]]:
        """Returns (descriptor, events) pairs; `timeout` is in seconds, negative: no limit.

        Raises RuntimeError if it would wait for ever.
        """
        network = self.network
        network.now += POLL_NS
        until = network.now + int(timeout * SECOND) if timeout >= 0 else 1 << 62
        while True:
            while network.scheduled and network.scheduled[0][0] <= network.now:
                network.advance(network.now)
            if (ready := self.ready_descriptors()) or network.now >= until or self.closed:
                return ready
            if not network.scheduled and until == 1 << 62:
                raise RuntimeError("poll without a timeout would never return: no event is scheduled")
            network.advance(until)

    def ready_descriptors(self) -> list[tuple[int, int]]:
        ready = [(fd, self.network.sockets[fd].ready_events() & mask) for fd, mask in self.registered.items()]
        return [(fd, events) for fd, events in ready if events]

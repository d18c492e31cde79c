"""Functions and coroutines for non-blocking TCP sockets.

Deadlines are instants of the loop's clock in nanoseconds.
"""

import errno
import os
import socket
import sys
from collections.abc import Generator
from enum import Enum, auto

from maddercart.interface import MILLISECOND
from maddercart.net.loop import DEADLINE_PASSED, READ, WRITE, Loop, Wait
from maddercart.net.system_calls import SYSTEM_CALLS, SystemCalls

# Errors of accept(2) that concern only the connection at the head of the queue; the next one may be fine.
ACCEPT_RETRYABLE_ERRNOS = frozenset({
    errno.ECONNABORTED, errno.ECONNRESET, errno.EPROTO, errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.ETIMEDOUT,
    errno.ENETDOWN, errno.ENETUNREACH, errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENONET, errno.EPERM,
    errno.EINTR,
})  # fmt: skip
ACCEPT_TRIES = 64  # limits the failed connections that are skipped before the loop turns to other work
# The connection attempt continues in the background, also after an interrupt by a signal (connect(2)).
CONNECT_PENDING_ERRNOS = frozenset({errno.EINPROGRESS, errno.EINTR, errno.EALREADY})
# The call failed for lack of local memory or was interrupted; the connection is as it was.
RETRYABLE_ERRNOS = frozenset({errno.ENOMEM, errno.ENOBUFS, errno.EINTR})
MAX_WRITE_FAILURES = 1000  # of one write for lack of local memory, each followed by a turn of the loop
# Local lack of descriptors, ports or buffers, which says nothing about the remote host.
LOCAL_RESOURCE_ERRNOS = frozenset({
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EADDRNOTAVAIL,
})  # fmt: skip

READ_SIZE_BYTES = 65536  # the largest body and its headers take at most two reads
# In struct tcp_info of tcp(7): where tcpi_last_data_recv begins, a number of milliseconds, and where it ends.
LAST_DATA_AGE_OFFSET, TCP_INFO_BYTES = 52, 56
BACKLOG = 512  # connections queued by the kernel; several hundred may arrive at once


def parse_address(text: str) -> tuple[str, int]:
    """Splits `host:port`. Raises `ValueError`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not an address of the form host:port: {text!r}")
    return host, int(port)


def listen(
    local: tuple[str, int], backlog: int = BACKLOG, system_calls: SystemCalls = SYSTEM_CALLS
) -> socket.socket:
    sock = system_calls.tcp()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(local)
    sock.listen(backlog)
    return sock


def accept(listener: socket.socket) -> socket.socket | None:
    """Returns None if no connection is pending. Raises `OSError` if descriptors or memory are exhausted."""
    for _ in range(ACCEPT_TRIES):
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno not in ACCEPT_RETRYABLE_ERRNOS:
                raise
            continue
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # the connection was reset in the meantime
            sock.close()
            continue
        return sock
    return None


def close(loop: Loop, sock: socket.socket) -> None:
    if sock.fileno() >= 0:
        loop.unregister(sock.fileno())
        sock.close()


def connect(
    loop: Loop, sock: socket.socket, remote: tuple[str, int], deadline: int
) -> Generator[Wait, int, bool]:
    """Returns true once connected, false if the deadline passes. Raises `OSError` on failure."""
    error = sock.connect_ex(remote)
    if error in CONNECT_PENDING_ERRNOS:
        if (yield Wait(sock.fileno(), WRITE, deadline)) == DEADLINE_PASSED:
            return False
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return True


def write(sock: socket.socket, data: bytes, deadline: int | None) -> Generator[Wait, int, bool]:
    """Returns true once all data is written, false if the deadline passes (None: no deadline).

    Raises `OSError` if the connection breaks.
    """
    view, failures = memoryview(data), 0
    while view:
        try:
            view = view[sock.send(view) :]
        except OSError as error:
            if error.errno in RETRYABLE_ERRNOS and failures < MAX_WRITE_FAILURES:
                failures += 1
            elif not isinstance(error, BlockingIOError):
                raise
            if (yield Wait(sock.fileno(), WRITE, deadline)) == DEADLINE_PASSED:
                return False
    return True


def read_available(sock: socket.socket, max_bytes: int = READ_SIZE_BYTES) -> bytes | None:
    """Returns the available data without waiting: empty at the end of the stream, None if there is none yet.

    Raises `OSError` if the connection is broken.
    """
    try:
        return sock.recv(max_bytes)
    except BlockingIOError:
        return None
    except OSError as error:
        if error.errno in RETRYABLE_ERRNOS:
            return None
        raise


def age_of_last_data(sock: socket.socket) -> int:
    """How long ago the last data of a connection arrived, in nanoseconds to the millisecond, also if this
    process was stopped meanwhile; 0 if the system doesn't tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:  # not a TCP connection
        return 0
    age_ms = int.from_bytes(info[LAST_DATA_AGE_OFFSET:TCP_INFO_BYTES], sys.byteorder)
    return age_ms * MILLISECOND if len(info) == TCP_INFO_BYTES else 0


class PeerState(Enum):
    """What is known of the peer of a connection."""

    OPEN = auto()  # nothing lies unread, so it has neither closed nor reset the connection
    CLOSED = auto()  # it has closed or reset the connection
    UNREAD = auto()  # input lies unread, and the end of the connection may be behind it


def peer_state(sock: socket.socket) -> PeerState:
    """The state of the peer, without reading anything. The end of a stream that is longer than the receive
    buffer doesn't reach this machine before the input is read, and neither poll nor epoll report it."""
    try:
        return PeerState.UNREAD if sock.recv(1, socket.MSG_PEEK) else PeerState.CLOSED
    except BlockingIOError:
        return PeerState.OPEN
    except OSError as error:
        return PeerState.UNREAD if error.errno in RETRYABLE_ERRNOS else PeerState.CLOSED


def read(
    sock: socket.socket, deadline: int | None, max_bytes: int = READ_SIZE_BYTES
) -> Generator[Wait, int, bytes | None]:
    """Waits for data and returns it: empty at the end of the stream, None if the deadline passes.

    Without a deadline (None) it waits indefinitely. Raises `OSError` if the connection breaks. Each call
    takes a turn of the loop, so that a peer that sends without pause doesn't starve the others.
    """
    while True:
        if (yield Wait(sock.fileno(), READ, deadline)) == DEADLINE_PASSED:
            return None
        if (data := read_available(sock, max_bytes)) is not None:
            return data

"""Non-blocking TCP sockets, and the few coroutines that read and write them."""

import errno
import os
import socket
from collections.abc import Generator

from maddercart.net.loop import READ, TIME_UP, WRITE, Loop, Wait
from maddercart.net.machine import MACHINE, Machine

# What accept reports of one connection that has gone meanwhile (accept(2)); the next one may be well.
ACCEPTED_GONE = frozenset({
    errno.ECONNABORTED, errno.ECONNRESET, errno.EPROTO, errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.ETIMEDOUT,
    errno.ENETDOWN, errno.ENETUNREACH, errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENONET, errno.EPERM,
    errno.EINTR,
})  # fmt: skip
ACCEPT_TRIES = 64  # at connections that have gone, before the loop goes on with what else there is
# A connection that comes up in its own time. A call that a signal interrupts goes on as well (connect(2)).
CONNECTING = frozenset({errno.EINPROGRESS, errno.EINTR, errno.EALREADY})
# Nothing could be read for lack of memory of our own: what has come is still there.
READ_LATER = frozenset({errno.ENOMEM, errno.ENOBUFS, errno.EINTR})
# Our own lack of sockets, ports or buffers, which tells nothing of the other side.
OUR_LACK = frozenset({
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EADDRNOTAVAIL,
})  # fmt: skip

CHUNK = 65536  # read at once: what the largest body and its headers need, in two reads at most
BACKLOG = 512  # connections that the machine takes before we do: some hundreds may come at once


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)


def listen(at: tuple[str, int], backlog: int = BACKLOG, machine: Machine = MACHINE) -> socket.socket:
    sock = machine.tcp()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(at)
    sock.listen(backlog)
    return sock


def accept(listener: socket.socket) -> socket.socket | None:
    """None if there is nothing to accept. Raises `OSError` if descriptors or memory have run out."""
    for _ in range(ACCEPT_TRIES):
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno not in ACCEPTED_GONE:
                raise
            continue
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # it was reset meanwhile
            sock.close()
            continue
        return sock
    return None


def close(loop: Loop, sock: socket.socket) -> None:
    if sock.fileno() >= 0:
        loop.forget(sock.fileno())
        sock.close()


def connect(loop: Loop, sock: socket.socket, to: tuple[str, int], until: int) -> Generator[Wait, int, bool]:
    """True once it is up, false if the time was up before. Raises `OSError` if it was refused."""
    error = sock.connect_ex(to)
    if error in CONNECTING:
        if (yield Wait(sock.fileno(), WRITE, until)) == TIME_UP:
            return False
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return True


def write(sock: socket.socket, data: bytes, until: int | None) -> Generator[Wait, int, bool]:
    """True once the last byte is written, false if the time was up before. Raises `OSError` if it broke."""
    view = memoryview(data)
    while view:
        try:
            view = view[sock.send(view) :]
        except BlockingIOError:
            if (yield Wait(sock.fileno(), WRITE, until)) == TIME_UP:
                return False
    return True


def read_now(sock: socket.socket) -> bytes | None:
    """What has come, empty at the end, None if nothing has. Raises `OSError` if it broke."""
    try:
        return sock.recv(CHUNK)
    except BlockingIOError:
        return None
    except OSError as error:
        if error.errno in READ_LATER:
            return None
        raise


def ended(sock: socket.socket) -> bool:
    """The other side has ended or reset the connection, and all that it sent before was read."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError as error:
        return error.errno not in READ_LATER


def read(sock: socket.socket, until: int | None) -> Generator[Wait, int, bytes | None]:
    """What comes, empty at the end, None if the time was up before. Raises `OSError` if it broke. A turn
    of the loop for each: who sends without end holds up no one else."""
    while True:
        if (yield Wait(sock.fileno(), READ, until)) == TIME_UP:
            return None
        if (data := read_now(sock)) is not None:
            return data

"""Runs maddercart's services with a stepped wall clock and failing system calls.

    MADDERCART_RIG_WALL=FILE MADDERCART_RIG_FAULTS=SEED:SHARE python -m maddercart.rig.processes.faulty serve

`FILE` holds the offset of the wall clock in seconds; the clock steps when the number is changed. The
monotonic clock is left alone. `SHARE` is the share of the calls on sockets that fail or do only a part of
their work, in the ways that Linux documents.
"""

import errno
import os
import socket
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

from maddercart.process_signals import block_signals

WALL_CLOCK_VARIABLE = "MADDERCART_RIG_WALL"
FAULTS_VARIABLE = "MADDERCART_RIG_FAULTS"
NANOSECONDS_PER_SECOND = 1_000_000_000

SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EPROTO, errno.ENETDOWN, errno.EINTR)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EAGAIN)
SEND_ERRORS = (errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN)
RECEIVE_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)


def install_wall_clock_offset(file: Path) -> None:
    """Adds the offset in `file` (seconds) to every later read of this process's wall clock."""
    real_time_ns = time.time_ns

    def offset_ns() -> int:
        try:
            return int(float(file.read_text() or 0) * NANOSECONDS_PER_SECOND)
        except (OSError, ValueError):  # the file is being rewritten
            return 0

    def stepped_time_ns() -> int:
        return real_time_ns() + offset_ns()

    time.time_ns = stepped_time_ns
    time.time = lambda: stepped_time_ns() / NANOSECONDS_PER_SECOND


def inject_socket_faults(seed: int, share: float) -> None:
    """Makes a share (0 to 1) of the calls on sockets that are made from now on fail, or transfer less."""
    rng = Random(seed)

    def draw_fault() -> bool:
        return rng.random() < share

    def make_error(numbers: tuple[int, ...]) -> OSError:
        number = rng.choice(numbers)
        return OSError(number, os.strerror(number))

    class FaultySocket(socket.socket):
        """A socket whose calls fail at random.

        An error that means the end of the connection also shuts it down, as the kernel would.
        """

        outgoing = False  # this process opened the connection

        def __init__(self, *args: Any, **options: Any) -> None:
            is_new = options.get("fileno") is None and len(args) < 4
            if is_new and draw_fault():
                raise make_error(SOCKET_ERRORS)
            super().__init__(*args, **options)

        def accept(self) -> tuple[socket.socket, Any]:
            if draw_fault():
                raise make_error(ACCEPT_ERRORS)
            accepted, peer = super().accept()
            return FaultySocket(fileno=accepted.detach()), peer

        def connect_ex(self, address: Any) -> int:
            if draw_fault():
                return rng.choice(CONNECT_ERRORS)
            self.outgoing = True
            result = super().connect_ex(address)
            return errno.EINTR if result == errno.EINPROGRESS and draw_fault() else result

        def recv(self, size: int, flags: int = 0) -> bytes:
            if self.outgoing and not flags and draw_fault():
                self.shutdown(socket.SHUT_RDWR)
                raise make_error(RECEIVE_ERRORS)
            return super().recv(min(size, 7) if not flags and draw_fault() else size, flags)

        def send(self, data: Any, flags: int = 0) -> int:
            if draw_fault():
                raise make_error(SEND_ERRORS)
            return super().send(data[:5] if draw_fault() else data, flags)

    socket.socket = FaultySocket  # type: ignore[misc]


def main() -> None:
    """Installs the faults before any module of the program is imported."""
    block_signals()
    if file := os.environ.get(WALL_CLOCK_VARIABLE):
        install_wall_clock_offset(Path(file))
    if faults := os.environ.get(FAULTS_VARIABLE):
        seed, _, share = faults.partition(":")
        inject_socket_faults(int(seed), float(share))
    from maddercart.services import run_service

    sys.exit(run_service(sys.argv[1:]))


if __name__ == "__main__":
    main()

"""Runs maddercart's command line in a process whose wall clock can be stepped and whose system calls fail.

    MADDERCART_RIG_WALL=FILE MADDERCART_RIG_FAULTS=SEED:SHARE python -m maddercart.rig.processes.faulty serve

`FILE` holds by how many seconds the wall clock is off; another number steps it. The monotonic clock is
left alone. `SHARE` of the system calls on sockets fail, or do a part of their work, as Linux documents it.
"""

import errno
import os
import socket
import time
from pathlib import Path
from random import Random
from typing import Any

WALL_VARIABLE = "MADDERCART_RIG_WALL"
FAULTS_VARIABLE = "MADDERCART_RIG_FAULTS"
NANOSECONDS = 1_000_000_000

SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EPROTO, errno.ENETDOWN, errno.EINTR)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EAGAIN)
RECEIVE_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)


def step_wall_clock(file: Path) -> None:
    """From now on this process reads a wall clock that is off by what the file says."""
    true_time_ns = time.time_ns

    def offset_ns() -> int:
        try:
            return int(float(file.read_text() or 0) * NANOSECONDS)
        except (OSError, ValueError):  # it is being written
            return 0

    def stepped_time_ns() -> int:
        return true_time_ns() + offset_ns()

    time.time_ns = stepped_time_ns
    time.time = lambda: stepped_time_ns() / NANOSECONDS


def fail_system_calls(seed: int, share: float) -> None:
    """From now on so many of the calls on new sockets fail or are short."""
    chance = Random(seed)

    def fails() -> bool:
        return chance.random() < share

    def error(among: tuple[int, ...]) -> OSError:
        number = chance.choice(among)
        return OSError(number, os.strerror(number))

    class FaultySocket(socket.socket):
        """A socket whose calls fail now and then; what the kernel would end is ended here too."""

        connects = False  # it was connected by this process

        def __init__(self, *args: Any, **options: Any) -> None:
            made_here = options.get("fileno") is None and len(args) < 4
            if made_here and fails():
                raise error(SOCKET_ERRORS)
            super().__init__(*args, **options)

        def accept(self) -> tuple[socket.socket, Any]:
            if fails():
                raise error(ACCEPT_ERRORS)
            accepted, peer = super().accept()
            return FaultySocket(fileno=accepted.detach()), peer

        def connect_ex(self, address: Any) -> int:
            if fails():
                return chance.choice(CONNECT_ERRORS)
            self.connects = True
            result = super().connect_ex(address)
            return errno.EINTR if result == errno.EINPROGRESS and fails() else result

        def recv(self, size: int, flags: int = 0) -> bytes:
            if self.connects and not flags and fails():
                self.shutdown(socket.SHUT_RDWR)
                raise error(RECEIVE_ERRORS)
            return super().recv(min(size, 7) if not flags and fails() else size, flags)

        def send(self, data: Any, flags: int = 0) -> int:
            return super().send(data[:5] if fails() else data, flags)

    socket.socket = FaultySocket  # type: ignore[misc]


def main() -> None:
    """Puts the faults in place before anything of the program is loaded."""
    if file := os.environ.get(WALL_VARIABLE):
        step_wall_clock(Path(file))
    if faults := os.environ.get(FAULTS_VARIABLE):
        seed, _, share = faults.partition(":")
        fail_system_calls(int(seed), float(share))
    from maddercart.cli import app

    app(prog_name="maddercart")


if __name__ == "__main__":
    main()

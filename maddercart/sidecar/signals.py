"""Signals become calls in the loop: SIGTERM and SIGINT once, SIGHUP each time."""

import signal
import socket
from collections.abc import Callable

from maddercart.net.loop import FIRST, READ, Coroutine, Loop, Wait
from maddercart.net.sockets import read_now
from maddercart.net.startup import retry_lack

STOPS = (signal.SIGTERM, signal.SIGINT)


def await_signals(loop: Loop, stop: Callable[[], None], renew: Callable[[], None]) -> None:
    """From now on. Further signals to stop change nothing; those to renew that come together are one."""
    inner, outer = retry_lack(socket.socketpair)
    inner.setblocking(False)
    outer.setblocking(False)
    signal.set_wakeup_fd(outer.fileno(), warn_on_full_buffer=False)
    for number in (*STOPS, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    def waiting() -> Coroutine:
        stopping = False
        while outer.fileno() >= 0:
            yield Wait(inner.fileno(), READ)
            came = set(read_now(inner) or b"")
            if signal.SIGHUP in came:
                renew()
            if not stopping and came.intersection(STOPS):
                stopping = True
                stop()

    loop.spawn(waiting(), FIRST)

"""SIGTERM: what was taken is answered, connections come to their end, and the sidecar leaves."""

import logging
import socket
from collections.abc import Callable

from maddercart.interface import MILLISECOND, SECOND
from maddercart.net.loop import Coroutine, Loop, Wait
from maddercart.net.sockets import BACKLOG
from maddercart.sidecar.applications import Applications

log = logging.getLogger(__name__)

# Connections go on coming for up to 0.4 s after the signal, and SIGKILL comes 0.7 s and the longest hard stop
# after it: what is taken within this time is still answered in time.
ACCEPT_FOR = SECOND // 2
LOOK_EVERY = 5 * MILLISECOND
SPARE = SECOND // 10  # over the longest hard stop, for what is still being written
WRITTEN_WITHIN = 50 * MILLISECOND  # before it leaves, the last answer is given; a slow request may come late
ACCEPT_REST = SECOND // 10  # for connections that can't be accepted at once, as descriptors have run out


def stop(
    loop: Loop, clock: Callable[[], int], listener: socket.socket, applications: Applications,
    longest: int, leave: Callable[[], None],
) -> Coroutine:  # fmt: skip
    log.info("stopping", extra={"connections": len(applications.open)})
    applications.stopping = True
    began = clock()
    last = began + ACCEPT_FOR + longest + SPARE
    applications.answer_by = last - WRITTEN_WITHIN
    yield Wait(until=began + ACCEPT_FOR)
    if applications.acceptor is not None:
        loop.end(applications.acceptor)
    loop.forget(listener.fileno())
    yield from accept_rest(clock, listener, applications)
    listener.close()  # at once: what comes between is reset
    while applications.open and clock() < last:
        applications.close_idle()
        yield Wait(until=clock() + LOOK_EVERY)
    if applications.open:
        log.warning("connections left at the end", extra=applications.phase_counts())
    leave()


def accept_rest(clock: Callable[[], int], listener: socket.socket, applications: Applications) -> Coroutine:
    """What the machine has accepted may hold queries already: closing the listener would lose them."""
    until = clock() + ACCEPT_REST
    while True:
        try:
            if applications.accept_some(listener, BACKLOG) or clock() >= until:
                return
        except OSError as error:
            log.warning("connections can't be accepted", extra={"reason": str(error)})
            if clock() >= until:
                return
        yield Wait(until=clock() + LOOK_EVERY)

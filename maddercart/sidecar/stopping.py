"""Graceful shutdown on SIGTERM: queries that were taken are answered, then the connections are closed."""

import logging
import socket
from collections.abc import Callable

from maddercart.interface import MILLISECOND, SECOND
from maddercart.net.loop import Coroutine, Loop, Wait
from maddercart.net.sockets import BACKLOG
from maddercart.sidecar.applications import ApplicationServer
from maddercart.sidecar.eviction import phase_counts

log = logging.getLogger(__name__)

# New connections arrive for up to 0.4 s after SIGTERM, and SIGKILL follows 0.7 s plus the longest hard stop
# after it: a query taken within this time is still answered before that.
ACCEPT_FOR_NS = SECOND // 2
POLL_INTERVAL_NS = 5 * MILLISECOND
WRITE_MARGIN_NS = SECOND // 10  # on top of the longest hard stop, for answers that are still being written
# Queries are answered this long before the process exits, also those of requests that arrive slowly.
LAST_ANSWER_MARGIN_NS = 50 * MILLISECOND
BACKLOG_TIMEOUT_NS = SECOND // 10  # for the connections left in the backlog while descriptors have run out


def shut_down(
    loop: Loop, clock: Callable[[], int], listener: socket.socket, applications: ApplicationServer,
    longest_hard_stop: int, on_stopped: Callable[[], None],
) -> Coroutine:  # fmt: skip
    """Stops one listener: accepts for a while longer, answers what was taken, closes all connections and
    calls `on_stopped`. `longest_hard_stop` is in nanoseconds."""
    log.info("stopping", extra={"connections": len(applications.connections)})
    applications.stopping = True
    began = clock()
    deadline = began + ACCEPT_FOR_NS + longest_hard_stop + WRITE_MARGIN_NS
    applications.answer_deadline = deadline - LAST_ANSWER_MARGIN_NS
    yield Wait(deadline=began + ACCEPT_FOR_NS)
    if applications.accept_task is not None:
        loop.close(applications.accept_task)
    loop.unregister(listener.fileno())
    yield from accept_backlog(clock, listener, applications)
    listener.close()  # right after the last accept: connections that arrive in between are reset
    while applications.connections and clock() < deadline:
        applications.close_idle()
        yield Wait(deadline=clock() + POLL_INTERVAL_NS)
    if applications.connections:
        log.warning("connections still open at exit", extra=phase_counts(applications.phases))
    on_stopped()


def accept_backlog(
    clock: Callable[[], int], listener: socket.socket, applications: ApplicationServer
) -> Coroutine:
    """Accepts the connections in the listener's backlog. They may already hold queries, which would be lost
    with the listener."""
    deadline = clock() + BACKLOG_TIMEOUT_NS
    while True:
        try:
            if applications.accept_batch(listener, BACKLOG) or clock() >= deadline:
                return
        except OSError as error:
            log.warning("connections can't be accepted", extra={"reason": str(error)})
            if clock() >= deadline:
                return
        yield Wait(deadline=clock() + POLL_INTERVAL_NS)

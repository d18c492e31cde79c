"""Delivers signals as calls in the event loop: SIGTERM and SIGINT once in all, SIGHUP each time."""

import logging
import signal
import socket
from collections.abc import Callable

from maddercart.net.loop import RANK_FIRST, READ, Coroutine, Loop, Wait
from maddercart.net.sockets import read_available
from maddercart.net.startup import retry_while_exhausted
from maddercart.process_signals import HANDLED_SIGNALS, RELOAD_SIGNAL, STOP_SIGNALS, unblock_signals

log = logging.getLogger(__name__)


def install_signal_handlers(loop: Loop, on_stop: Callable[[], None], on_reload: Callable[[], None]) -> None:
    """Installs the signal handlers and returns.

    `on_stop` is called for the first SIGTERM or SIGINT only. SIGHUPs that arrive together cause one call of
    `on_reload`.
    """
    receiver, sender = retry_while_exhausted(socket.socketpair)
    receiver.setblocking(False)
    sender.setblocking(False)
    signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
    for number in HANDLED_SIGNALS:
        signal.signal(number, lambda *_: None)
    unblock_signals()

    def reload_safely() -> None:
        try:
            on_reload()
        except Exception:
            log.exception("reload failed")  # later signals are handled all the same

    def dispatch_signals() -> Coroutine:
        stopping = False
        while sender.fileno() >= 0:
            yield Wait(receiver.fileno(), READ)
            received = set(read_available(receiver) or b"")
            if RELOAD_SIGNAL in received:
                reload_safely()
            if not stopping and received.intersection(STOP_SIGNALS):
                stopping = True
                on_stop()

    loop.spawn(dispatch_signals(), RANK_FIRST)


def ignore_signals() -> None:
    """Ignores all that were handled, also while the interpreter ends, which else has them end the process."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)

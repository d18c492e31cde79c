"""The signals that a service handles. They are blocked while it starts: the imports take long, and until the
handlers are installed a signal would end the process by its default action."""

import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
HANDLED_SIGNALS = frozenset({*STOP_SIGNALS, RELOAD_SIGNAL})


def block_signals() -> None:
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_stop_signals() -> None:
    """For commands that handle no signals; a terminal's SIGHUP must not end them while they start."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)


def unblock_signals() -> None:
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

"""Starts the command line."""

import signal

# One that comes before there is a handler waits for it, or it would end the process; the imports take long.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

from maddercart.cli import app  # noqa: E402

app()

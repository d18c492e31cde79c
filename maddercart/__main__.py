"""Entry point of `python -m maddercart`."""

import signal

# Blocks SIGHUP until its handler is installed: the imports take long, and by default SIGHUP ends the process.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

from maddercart.cli import app  # noqa: E402

app()

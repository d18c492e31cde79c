"""Entry point of `python -m maddercart`."""

import signal
import sys

# Blocks SIGHUP until its handler is installed: the imports take long, and by default SIGHUP ends the process.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

from maddercart.services import run_service  # noqa: E402

if (code := run_service(sys.argv[1:])) is not None:
    sys.exit(code)

from maddercart.cli import app  # noqa: E402

app()

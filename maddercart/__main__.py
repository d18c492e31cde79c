"""Entry point of `python -m maddercart`."""

import sys

from maddercart.process_signals import block_signals, unblock_stop_signals

block_signals()

from maddercart.services import run_service  # noqa: E402

if (code := run_service(sys.argv[1:])) is not None:
    sys.exit(code)

unblock_stop_signals()

from maddercart.cli import app  # noqa: E402

app()

"""Logs steps of the wall clock, which stamps the log lines. No decision rests on the wall clock."""

import logging
import time

from maddercart.interface import MILLISECOND

log = logging.getLogger(__name__)

MIN_LOGGED_STEP_NS = 100 * MILLISECOND  # smaller changes are the drift of a synchronised clock


class WallClock:
    """Detects steps of the wall clock against the monotonic clock."""

    def __init__(self) -> None:
        self.offset = self.read_offset()

    def read_offset(self) -> int:
        """Nanoseconds by which the wall clock is ahead of the monotonic clock."""
        return time.time_ns() - time.monotonic_ns()

    def check(self) -> None:
        """Logs a step since the previous check."""
        offset = self.read_offset()
        step = offset - self.offset
        self.offset = offset
        if abs(step) >= MIN_LOGGED_STEP_NS:
            log.info("wall clock stepped", extra={"ms": step // MILLISECOND})

"""Watches the wall clock for the log alone: lines are stamped by it, and no decision may rest on it."""

import logging
import time

from maddercart.interface import MILLISECOND

log = logging.getLogger(__name__)

STEP_TOLD = 100 * MILLISECOND  # less is the drift of a clock that is kept in time


class WallClock:
    """Says when the wall clock has moved otherwise than the monotonic one."""

    def __init__(self) -> None:
        self.offset = self.read_offset()

    def read_offset(self) -> int:
        return time.time_ns() - time.monotonic_ns()

    def check(self) -> None:
        """Logs a step since the last look."""
        offset = self.read_offset()
        step = offset - self.offset
        self.offset = offset
        if abs(step) >= STEP_TOLD:
            log.info("wall clock stepped", extra={"ms": step // MILLISECOND})

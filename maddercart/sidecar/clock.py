"""The one place where the wall clock and ours meet."""

from time import monotonic_ns, time_ns

from maddercart.interface import MILLISECOND


class Clock:
    """Starts at the wall clock's time and only advances, so that a wall time can be compared with it."""

    def __init__(self) -> None:
        self.offset = time_ns() - monotonic_ns()

    def __call__(self) -> int:
        return monotonic_ns() + self.offset


def from_unix_ms(milliseconds: float) -> int:
    """A wall time in this clock; 0, long ago, stays 0."""
    return round(milliseconds * MILLISECOND)

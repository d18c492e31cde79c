"""The monotonic clock that all decisions use."""

from time import monotonic_ns


class MonotonicClock:
    """Returns nanoseconds from an arbitrary origin; readings of different machines can't be compared."""

    def __call__(self) -> int:
        return monotonic_ns()

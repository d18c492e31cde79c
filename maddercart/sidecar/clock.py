"""The one clock that decisions go by: real time since some moment, which never steps."""

from time import monotonic_ns


class Clock:
    """Nanoseconds that only advance. Its readings mean nothing to another machine or process."""

    def __call__(self) -> int:
        return monotonic_ns()

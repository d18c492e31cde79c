"""A discrete-event scheduler. Times are whole nanoseconds of simulated time."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

Event = tuple[int, int, Callable[[Any], None], Any]  # time, sequence number, callback, argument


class Engine:
    """Runs events in order of time, and those of the same instant in the order of their scheduling."""

    def __init__(self) -> None:
        self.now = 0
        self.last_sequence = 0
        self.heap: list[Event] = []

    def schedule(self, time: int, callback: Callable[[Any], None], argument: Any = None) -> None:
        """Schedules `callback(argument)`. Raises ValueError for a time in the past."""
        if time < self.now:
            raise ValueError(f"event time {time} ns is before the current time {self.now} ns")
        self.last_sequence += 1
        heappush(self.heap, (time, self.last_sequence, callback, argument))

    def run(self, until: int) -> int:
        """Runs all events due up to and including `until`; returns how many it ran."""
        heap, count = self.heap, 0
        while heap and heap[0][0] <= until:
            self.now, _, callback, argument = heappop(heap)
            callback(argument)
            count += 1
        self.now = until
        return count

"""When upstreams started, in our own clock.

The list stamps each start by a clock that is not ours, and either may be stepped. So a stamp is compared with
other stamps of the list only: another one than before is another start, and what started long before others
did is at least so old. Nothing is subtracted from our own time but such a span.
"""

from collections.abc import Callable, Iterable

from maddercart.interface import MILLISECOND

LONG_AGO = 0  # the stamp of an upstream that started long ago
STAMP_MOST = 1 << 62  # milliseconds: what a list may say beyond it is no time
KEPT = 16_384  # starts that are remembered: several of each upstream of the largest fleet


class StartTimes:
    """Gives each start one instant of `clock`, not earlier than the upstream really started."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.instants: dict[tuple[int, int], int] = {}  # by upstream and stamp, the last used one last
        self.stamps: dict[int, int] = {}  # milliseconds, as the list last told each

    def listed(self, upstream: int, stamp: int, reference: int) -> int:
        """The instant of a start that the list tells, 0 for long ago. `reference`: see `reference`."""
        self.stamps[upstream] = stamp
        return self.instant(upstream, stamp, reference)

    def instant(self, upstream: int, stamp: int, reference: int = LONG_AGO) -> int:
        """As `listed`, for what others than discovery say."""
        if stamp == LONG_AGO:
            return 0
        known = self.instants.pop((upstream, stamp), None)
        if known is None:
            age = max(0, reference - stamp) * MILLISECOND
            known = max(1, self.clock() - age)
        self.instants[upstream, stamp] = known
        if len(self.instants) > KEPT:
            del self.instants[next(iter(self.instants))]
        return known

    def stamp_ms(self, upstream: int) -> int:
        """The stamp of an upstream's last start that the list told."""
        return self.stamps.get(upstream, LONG_AGO)

    def forget(self, upstream: int) -> None:
        self.stamps.pop(upstream, None)


def whole_stamp(born_ms: float) -> int:
    """In whole milliseconds, and within what a datagram can carry."""
    return int(min(max(born_ms, LONG_AGO), STAMP_MOST))


def reference(stamps: Iterable[int]) -> int:
    """A moment of the list's clock that has passed: the newest start but one, so that a single machine whose
    clock is ahead makes no other upstream seem old."""
    newest = sorted(stamps)[-2:]
    return newest[0] if len(newest) == 2 else LONG_AGO

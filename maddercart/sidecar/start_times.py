"""Start times of upstreams, converted to the local monotonic clock.

The list stamps each start by a remote wall clock, and either machine's wall clock may be stepped. So stamps
are compared only with other stamps of the list: a changed stamp means a new start, and an upstream is at
least as old as its stamp is older than recent ones. Only such differences are subtracted from local time.
"""

from collections.abc import Callable, Iterable

from maddercart.interface import MILLISECOND

LONG_AGO_STAMP_MS = 0  # the stamp of an upstream that started long ago
MAX_STAMP_MS = 1 << 62  # higher figures in a list are not valid times
MAX_KNOWN_STARTS = 16_384  # several for each upstream of the largest fleet


class StartTimes:
    """Maps each start to a fixed instant of `clock` that is never before the real start.

    `clock` returns nanoseconds. Stamps are milliseconds of the list's clock, `LONG_AGO_STAMP_MS` for a start
    long ago.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.instants: dict[tuple[int, int], int] = {}  # by upstream and stamp; least recently used first
        self.stamps: dict[int, int] = {}  # by upstream: the last stamp on the list, in milliseconds

    def record_stamp(self, upstream: int, stamp_ms: int, reference_ms: int) -> int:
        """Records the stamp of a list entry, and returns as `start_of` does."""
        self.stamps[upstream] = stamp_ms
        return self.start_of(upstream, stamp_ms, reference_ms)

    def start_of(self, upstream: int, stamp_ms: int, reference_ms: int = LONG_AGO_STAMP_MS) -> int:
        """The instant of a start in nanoseconds of `clock`; 0 for one long ago.

        `reference_ms` is a time of the list's clock that has passed, see `reference_stamp_ms`. Without it a
        start that is not known yet is taken to happen now.
        """
        if stamp_ms == LONG_AGO_STAMP_MS:
            return 0
        known = self.instants.pop((upstream, stamp_ms), None)
        if known is None:
            age = max(0, reference_ms - stamp_ms) * MILLISECOND
            known = max(1, self.clock() - age)
        self.instants[upstream, stamp_ms] = known
        if len(self.instants) > MAX_KNOWN_STARTS:
            del self.instants[next(iter(self.instants))]
        return known

    def last_stamp_ms(self, upstream: int) -> int:
        """The upstream's last stamp on the list, `LONG_AGO_STAMP_MS` if there is none."""
        return self.stamps.get(upstream, LONG_AGO_STAMP_MS)

    def forget(self, upstream: int) -> None:
        self.stamps.pop(upstream, None)


def clamp_stamp_ms(born_ms: float) -> int:
    """Rounds down to whole milliseconds, and limits to the range that a datagram can carry."""
    return int(min(max(born_ms, LONG_AGO_STAMP_MS), MAX_STAMP_MS))


def reference_stamp_ms(stamps: Iterable[int]) -> int:
    """A time of the list's clock that has passed: the second newest stamp, `LONG_AGO_STAMP_MS` with fewer
    than two.

    Not the newest, so that one machine whose clock is ahead makes no other upstream seem old.
    """
    newest = sorted(stamps)[-2:]
    return newest[0] if len(newest) == 2 else LONG_AGO_STAMP_MS

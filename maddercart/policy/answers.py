"""What the last answers of all upstreams tell of times."""

from collections import defaultdict, deque
from collections.abc import Sequence
from itertools import islice

from maddercart.interface import (
    SECOND,
    Entry,
)
from maddercart.policy.upstream import Upstream


class Answers:
    """What the last answers of all upstreams tell: times, and how much of it is still true."""

    FRESH = 12 * SECOND  # a sample fades as long: with little traffic an old one is better than none
    CALM = 60  # seconds: a crowd that lasts as long as a deploy must not hide what a query takes without it
    SPANS = 8  # of the last queries: with much traffic it fades as fast as some hundreds of them come

    def __init__(self, now: int, unheard: int, taken: deque[int]) -> None:
        self.unheard = self.typical = self.quarter = unheard  # the middle one of the last; the lower quarter
        self.settled, self.taken = now, taken  # when the last queries came: our own rate
        self.quarters, self.calm, self.calm_at = [unheard], unheard, now  # one a second, and of these
        self.durations: deque[tuple[int, int]] = deque(maxlen=32)  # the last answers: end, duration
        # By machine kind: how long the last took, and their mean, which is what candidates are drawn by.
        self.kinds: dict[int, deque[int]] = defaultdict(lambda: deque([unheard] * 4, maxlen=16))
        self.kind_paces: dict[int, float] = defaultdict(lambda: unheard + 1.0)
        self.last: dict[int, deque[tuple[int, int]]] = defaultdict(lambda: deque(maxlen=16))  # by zone
        # By kind: time between an upstream's answers, over many, for a size of one. None took more of it.
        self.gaps: dict[int, deque[int]] = defaultdict(lambda: deque([unheard] * 32, maxlen=32))

    def fresh(self, now: int) -> int:
        return max(1, min(self.FRESH, self.SPANS * (now - self.taken[0])))

    def add(self, now: int, entry: Entry, duration: int, ends: Sequence[int] = (), size: float = 1.0) -> None:
        # By its size, or that counted twice; not by what was read at once, after a standstill.
        if len(ends) == Upstream.MANY and (span := now - ends[0]) >= duration:
            self.gaps[entry.kind].append(int(span * size) // (Upstream.MANY - 1))
        self.last[entry.zone].append((now, duration))
        (took := self.kinds[entry.kind]).append(duration)
        self.kind_paces[entry.kind] = (1 + sum(took)) / len(took)
        self.durations.append((now, duration))
        self.settle(now)

    def lately(self, now: int, answers: deque[tuple[int, int]]) -> list[int]:
        since = now - self.fresh(now)
        return [duration for at, duration in answers if at > since]

    def settle(self, now: int) -> None:  # old figures go: who turned all away for them never saw new ones
        self.settled, durations = now, self.lately(now, self.durations)
        durations = sorted(durations + [self.unheard] * (8 - len(durations)))
        self.typical, self.quarter = durations[len(durations) // 2], durations[len(durations) // 4]
        if now - self.calm_at >= SECOND:
            self.calm_at, self.quarters = now, [*self.quarters[1 - self.CALM :], self.quarter]
            self.calm = sorted(self.quarters)[len(self.quarters) // 4]

    def pace(self, now: int, zone: int, there: Sequence[Upstream]) -> int:
        """What an answer lately took in a zone; a dispatch overdue there counts before its answer comes."""
        took, due = self.lately(now, self.last[zone]), now - self.typical
        took += [now - at for one in there if one.out for at, _ in islice(one.out.values(), 16) if at < due]
        took += [min(self.typical, self.unheard)] * (Upstream.FEW - len(took))
        return sum(took) // len(took)

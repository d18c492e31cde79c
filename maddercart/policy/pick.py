"""The better of two random ready upstreams."""

from collections.abc import Sequence
from random import Random

from maddercart.interface import SECOND
from maddercart.policy.upstream import Upstream


class Pick:
    """Of two random ready upstreams, the one with less in flight from us plus reported, by its pace."""

    AGE = 2 * SECOND  # a report counts in full when new and not at all from this age on

    def __init__(self, chance: Random) -> None:
        self.draw, self.choices, self.kind_paces = chance.random, chance.choices, dict[int, float]()

    def load(self, now: int, known: Upstream, others: Sequence[Upstream] = ()) -> float:
        if known.report is None and not known.crowd:  # what was never heard of takes the others' mean
            heard = [self.load(now, other) for other in others if other.report or other.samples]
            return len(known.out) + (0.0 if known.samples else sum(heard) / max(1, len(heard)))
        at, report = known.report or (now - self.AGE, None)
        weight = max(0.0, 1 - (now - at) / self.AGE)
        told = max(0.0, known.crowd - 1) * known.size * (1 - weight)  # by the list, where that tells it
        return len(known.out) + told + (weight * max(report.held, report.waiting, 0.0) if report else 0.0)

    def pair(self, ready: list[Upstream], fed: list[Upstream]) -> list[Upstream]:
        """Two at random, or the cold one that is ours to feed and one at random."""
        first = fed or (self.one(ready) if len(ready) > 2 else ready)
        return first + self.one([known for known in ready if known not in first])

    def one(self, known: list[Upstream]) -> list[Upstream]:
        if len(known) < 2:
            return known
        return self.choices(known, [other.size / self.kind_paces[other.entry.kind] for other in known])

    def better(self, now: int, pair: list[Upstream], ready: list[Upstream], ahead: int = 0) -> Upstream:
        """Ties go at random; the first may have so many queries more in flight."""
        if len(pair) < 2:
            return pair[0]
        first, second = (self.load(now, known, ready) + 1 for known in pair[:2])
        more = (first - ahead) * self.pace(pair[0]) - second * self.pace(pair[1])
        return pair[0] if more < 0 or (more == 0 and self.draw() < 0.5) else pair[1]

    def pace(self, known: Upstream) -> float:  # what one query takes there, by its place in our queue
        took = [(duration + 1) / (then + 1) for _, duration, then in known.samples]
        took += [self.kind_paces[known.entry.kind]] * (known.FEW - len(took))
        return sorted(took)[len(took) // 2] / known.size

"""Ejection of upstreams that fail, and their return by a canary."""

from random import Random

from maddercart.interface import SECOND
from maddercart.policy.upstream import Upstream


class Health:
    """Judges each answer, ejects an upstream and lets it back after a canary."""

    IN_A_ROW = 3  # the design's starting value
    WELL = 8  # good answers in a row after which its next ejection counts as its first
    LAG = 4  # an answer this many times slower than the fleet's middle one is no success
    CANARY_EVERY, CANARY_MOST = SECOND // 2, 4 * SECOND  # a crashed process takes seconds to come back

    def __init__(self, chance: Random) -> None:
        self.spread = chance.uniform
        self.ejected: dict[int, Upstream] = {}

    def judge(self, now: int, known: Upstream, good: bool) -> bool:  # true if it ejects the upstream
        known.failures = min(0, known.failures - 1) if good else max(0, known.failures) + 1
        known.pauses *= known.failures > -self.WELL
        if ejects := not known.canary_due and known.failures >= self.IN_A_ROW:
            self.postpone(now, known)
        return ejects

    def postpone(self, now: int, known: Upstream) -> None:
        # Grows by each canary that fails too: many sidecars asking one dead process cost a query each.
        known.pauses, known.canary_out = known.pauses + 1, False
        pause = min(self.CANARY_EVERY * known.pauses, self.CANARY_MOST)
        known.canary_due = now + int(pause * self.spread(0.8, 1.2))
        self.ejected[known.entry.upstream] = known

    def canary(self, now: int, known: Upstream, good: bool) -> None:
        if not good:
            return self.postpone(now, known)
        self.ejected.pop(known.entry.upstream, None)
        known.canary_due, known.canary_out, known.failures = 0, False, 0

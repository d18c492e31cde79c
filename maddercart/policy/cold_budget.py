"""Slow start: how much a cold upstream may be sent by one sidecar of many."""

from maddercart.interface import ColdRule, Place
from maddercart.policy.ranks import mix
from maddercart.policy.upstream import Upstream


class ColdBudget:
    """Guards against all sidecars together pushing a cold upstream over, with no word between them."""

    HEAVY = 1.5  # a query may be heavier than most: a margin of half keeps a sum of few inside

    def __init__(self, cold: ColdRule, place: Place) -> None:
        self.cold, self.number, self.sidecars = cold, place.number, place.sidecars

    def share(self, now: int, known: Upstream) -> float:  # the least that it can do by now
        missing = min(max(known.warm_at - now, 0), self.cold.ramp) / max(self.cold.ramp, 1)
        return 1 - (1 - self.cold.start) * missing

    def allows(self, now: int, known: Upstream, work: int) -> bool:
        """Dealt out in whole queries along the ring of sidecars, from a hash of its id on: parts add up."""
        if now < known.spent_until or now - self.cold.window >= known.warm_at:
            return now >= known.spent_until
        share = self.share(now - self.cold.window, known) * self.cold.multiple
        queries = int(share * known.size * self.cold.window / (work * self.HEAVY))
        place = (self.number - mix(known.entry.upstream, 0)) % self.sidecars
        part = queries // self.sidecars + (place < queries % self.sidecars)
        while known.sent_cold and known.sent_cold[0] <= now - self.cold.window:
            known.sent_cold.popleft()
        return len(known.sent_cold) < part

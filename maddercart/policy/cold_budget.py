"""Slow start: how much this sidecar, one of many, may send to a cold upstream."""

from maddercart.interface import SidecarPosition, SlowStartRule
from maddercart.policy.hashing import hash_pair
from maddercart.policy.upstream import Upstream


class ColdBudget:
    """Keeps all sidecars together from overloading a cold upstream, without communication between them."""

    # A query may need more work than most: a margin of one half keeps the sum of a few within the budget.
    WORK_MARGIN = 1.5

    def __init__(self, rule: SlowStartRule, place: SidecarPosition) -> None:
        self.rule, self.sidecar, self.sidecars = rule, place.number, place.sidecar_count

    def capacity_share(self, now: int, upstream: Upstream) -> float:
        """The least share of its full capacity that an upstream has at `now`."""
        missing = min(max(upstream.warm_at - now, 0), self.rule.ramp_ns) / max(self.rule.ramp_ns, 1)
        return 1 - (1 - self.rule.start_share) * missing

    def allows(self, now: int, upstream: Upstream, work: int) -> bool:
        """Whether this sidecar may send one more query, of `work` nanoseconds, to an upstream.

        The budget is dealt out in whole queries along the ring of sidecars, which starts at a hash of the
        upstream's id, so that the parts of all sidecars add up to it.
        """
        if now < upstream.budget_blocked_until or now - self.rule.window_ns >= upstream.warm_at:
            return now >= upstream.budget_blocked_until
        share = self.capacity_share(now - self.rule.window_ns, upstream) * self.rule.work_multiple
        queries = int(share * upstream.size * self.rule.window_ns / (work * self.WORK_MARGIN))
        position = (self.sidecar - hash_pair(upstream.entry.upstream, 0)) % self.sidecars
        part = queries // self.sidecars + (position < queries % self.sidecars)
        while upstream.cold_dispatch_times and upstream.cold_dispatch_times[0] <= now - self.rule.window_ns:
            upstream.cold_dispatch_times.popleft()
        return len(upstream.cold_dispatch_times) < part

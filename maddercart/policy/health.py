"""Ejection of failing upstreams, and their return after a canary."""

from random import Random

from maddercart.interface import SECOND
from maddercart.policy.upstream import Upstream


class Health:
    """Ejects an upstream after consecutive failures and returns it to service after a successful canary."""

    FAILURES_TO_EJECT = 3
    SUCCESSES_TO_RESET = 8  # consecutive successes after which the canary delay starts again at its minimum
    SLOW_FACTOR = 4  # an answer this many times slower than the median of all upstreams counts as a failure
    # A crashed process takes seconds to restart.
    CANARY_DELAY_NS, CANARY_DELAY_MAX_NS = SECOND // 2, 4 * SECOND

    def __init__(self, random: Random) -> None:
        self.random_uniform = random.uniform
        self.ejected: dict[int, Upstream] = {}

    def record(self, now: int, upstream: Upstream, success: bool) -> bool:
        """Records the result of a dispatch; true if it ejects the upstream."""
        upstream.failures = min(0, upstream.failures - 1) if success else max(0, upstream.failures) + 1
        upstream.ejections *= upstream.failures > -self.SUCCESSES_TO_RESET
        if ejects := not upstream.canary_due_at and upstream.failures >= self.FAILURES_TO_EJECT:
            self.eject(now, upstream)
        return ejects

    def eject(self, now: int, upstream: Upstream) -> None:
        """Ejects an upstream, or keeps it ejected, until its next canary."""
        # The delay grows with each failed canary: each one costs a query at every one of many sidecars.
        upstream.ejections, upstream.canary_in_flight = upstream.ejections + 1, False
        delay = min(self.CANARY_DELAY_NS * upstream.ejections, self.CANARY_DELAY_MAX_NS)
        upstream.canary_due_at = now + int(delay * self.random_uniform(0.8, 1.2))
        self.ejected[upstream.entry.upstream] = upstream

    def canary_ended(self, now: int, upstream: Upstream, success: bool) -> None:
        if not success:
            return self.eject(now, upstream)
        self.ejected.pop(upstream.entry.upstream, None)
        upstream.canary_due_at, upstream.canary_in_flight, upstream.failures = 0, False, 0

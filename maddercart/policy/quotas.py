"""Quotas of tenants."""

from collections.abc import Sequence

from maddercart.interface import SECOND


class Quotas:
    """A token bucket for each tenant; every sidecar enforces an equal part of the quota."""

    # The capacity of a bucket: this many queries, which may come by chance, and the quota of this time, over
    # which traffic is uneven.
    BURST_QUERIES, BURST_NS = 8, 2 * SECOND

    def __init__(self, now: int, quotas: Sequence[float], sidecars: int) -> None:
        self.rates = [quota / sidecars for quota in quotas]  # queries per second; 0: no quota
        # (updated at, tokens)
        self.buckets = [(now, self.BURST_QUERIES + rate * self.BURST_NS / SECOND) for rate in self.rates]

    def wait(self, now: int, party: int, again: bool) -> int:
        """Takes a token and returns 0, or returns the time until the next one (ns); a retry takes none."""
        if not 0 <= party < len(self.rates) or (rate := self.rates[party]) <= 0:
            return 0
        updated_at, tokens = self.buckets[party]
        tokens = min(
            self.BURST_QUERIES + rate * self.BURST_NS / SECOND, tokens + rate * (now - updated_at) / SECOND
        )
        self.buckets[party] = (now, tokens - (tokens >= 1 and not again))
        return max(0, int((1 - tokens) / rate * SECOND))

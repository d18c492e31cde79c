"""Each tenant's share of the service."""

from collections.abc import Sequence

from maddercart.interface import SECOND


class Shares:
    """Which queries are beyond their party's share of the service; each sidecar has an even part of it."""

    SOME, SPAN = 8, 2 * SECOND  # saved up: so few are chance, and traffic is uneven over such a time

    def __init__(self, now: int, quotas: Sequence[float], sidecars: int) -> None:
        self.rates = [quota / sidecars for quota in quotas]  # a second
        self.left = [(now, self.SOME + rate * self.SPAN / SECOND) for rate in self.rates]

    def beyond(self, now: int, party: int, again: bool) -> int:
        """How long until its share allows one more, 0 if it does; a client's retry is not one more."""
        if not 0 <= party < len(self.rates) or (rate := self.rates[party]) <= 0:
            return 0
        at, left = self.left[party]
        left = min(self.SOME + rate * self.SPAN / SECOND, left + rate * (now - at) / SECOND)
        self.left[party] = (now, left - (left >= 1 and not again))
        return max(0, int((1 - left) / rate * SECOND))

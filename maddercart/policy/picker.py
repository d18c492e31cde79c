"""Power of two choices: the better of two random ready upstreams."""

from collections.abc import Sequence
from random import Random

from maddercart.interface import SECOND
from maddercart.policy.upstream import Upstream


class Picker:
    """Compares two random ready upstreams by load times latency per query.

    The load is what this sidecar has in flight plus what the upstream reports.
    """

    # The weight of a report falls from 1 to 0 over this time.
    REPORT_LIFETIME_NS = 2 * SECOND

    def __init__(self, random: Random) -> None:
        self.random, self.choices, self.mean_by_kind = random.random, random.choices, dict[int, float]()

    def load(self, now: int, upstream: Upstream, others: Sequence[Upstream] = ()) -> float:
        """The load of an upstream, in queries; the mean of the others if nothing is known of it."""
        if upstream.latest_report is None and not upstream.listed_load:
            known = [self.load(now, other) for other in others if other.latest_report or other.samples]
            return len(upstream.in_flight) + (0.0 if upstream.samples else sum(known) / max(1, len(known)))
        received_at, report = upstream.latest_report or (now - self.REPORT_LIFETIME_NS, None)
        weight = max(0.0, 1 - (now - received_at) / self.REPORT_LIFETIME_NS)
        listed = max(0.0, upstream.listed_load - 1) * upstream.size * (1 - weight)
        return (
            len(upstream.in_flight)
            + listed
            + (weight * max(report.held, report.waiting, 0.0) if report else 0.0)
        )

    def pair(self, ready: list[Upstream], cold: list[Upstream]) -> list[Upstream]:
        """Two random upstreams, or the cold one (at most one is given) and a random one."""
        first = cold or (self.draw(ready) if len(ready) > 2 else ready)
        return first + self.draw([upstream for upstream in ready if upstream not in first])

    def draw(self, upstreams: list[Upstream]) -> list[Upstream]:
        """A list of one upstream, drawn by size over the mean latency of its kind; empty if none is given."""
        if len(upstreams) < 2:
            return upstreams
        return self.choices(
            upstreams, [upstream.size / self.mean_by_kind[upstream.entry.kind] for upstream in upstreams]
        )

    def better(self, now: int, pair: list[Upstream], ready: list[Upstream], ahead: int = 0) -> Upstream:
        """The less loaded of a pair; ties are random. The first may have `ahead` more queries in flight."""
        if len(pair) < 2:
            return pair[0]
        first, second = (self.load(now, upstream, ready) + 1 for upstream in pair[:2])
        excess = (first - ahead) * self.query_time(pair[0]) - second * self.query_time(pair[1])
        return pair[0] if excess < 0 or (excess == 0 and self.random() < 0.5) else pair[1]

    def query_time(self, upstream: Upstream) -> float:
        """The median time per query at an upstream (ns), without this sidecar's own queue there."""
        times = [(duration + 1) / (in_flight + 1) for _, duration, in_flight in upstream.samples]
        times += [self.mean_by_kind[upstream.entry.kind]] * (upstream.MIN_SAMPLES - len(times))
        return sorted(times)[len(times) // 2] / upstream.size

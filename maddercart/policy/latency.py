"""Latency statistics over the recent answers of all upstreams."""

from collections import defaultdict, deque
from collections.abc import Sequence
from itertools import islice

from maddercart.interface import (
    SECOND,
    ListEntry,
)
from maddercart.policy.upstream import Upstream


class LatencyStats:
    """Latency statistics over the recent answers of all upstreams, by zone and by machine kind."""

    MAX_SAMPLE_AGE_NS = 12 * SECOND  # with little traffic an old sample is better than none
    # Longer than a rolling deploy: an overload of that length must not hide the latency without queueing.
    BASELINE_SECONDS = 60
    # With much traffic samples expire within a few hundred arrivals: this many times the span of the recorded
    # arrival times.
    SAMPLE_AGE_SPANS = 8

    def __init__(self, now: int, initial: int, arrival_times: deque[int]) -> None:
        # `initial` (ns) stands for missing samples. `median` and `lower_quartile` are of the recent answers.
        self.initial = self.median = self.lower_quartile = initial
        self.updated_at, self.arrival_times = now, arrival_times
        # One lower quartile a second; the baseline is the lower quartile of these.
        self.quartile_history, self.baseline, self.baseline_at = [initial], initial, now
        self.recent: deque[tuple[int, int]] = deque(maxlen=32)  # (ended at, duration)
        # Durations and their mean by machine kind.
        self.durations_by_kind: dict[int, deque[int]] = defaultdict(lambda: deque([initial] * 4, maxlen=16))
        self.mean_by_kind: dict[int, float] = defaultdict(lambda: initial + 1.0)
        # (ended at, duration) by zone.
        self.recent_by_zone: dict[int, deque[tuple[int, int]]] = defaultdict(lambda: deque(maxlen=16))
        # By kind: the mean interval between the answers of one upstream, scaled to size 1. It is an upper
        # bound of the work of a query.
        self.intervals_by_kind: dict[int, deque[int]] = defaultdict(lambda: deque([initial] * 32, maxlen=32))

    def sample_lifetime(self, now: int) -> int:
        """The age, in nanoseconds, from which on a sample is ignored; the higher the query rate, the less."""
        return max(1, min(self.MAX_SAMPLE_AGE_NS, self.SAMPLE_AGE_SPANS * (now - self.arrival_times[0])))

    def add(
        self, now: int, entry: ListEntry, duration: int, answer_times: Sequence[int] = (), size: float = 1.0
    ) -> None:
        """Records an answer. `answer_times` are when the upstream's last answers came, including this one."""
        # The interval is scaled to size 1, or the size would count twice. A span shorter than the answer took
        # is left out: these answers were read at once, after the process had stood still.
        if len(answer_times) == Upstream.ANSWER_TIMES and (span := now - answer_times[0]) >= duration:
            self.intervals_by_kind[entry.kind].append(int(span * size) // (Upstream.ANSWER_TIMES - 1))
        self.recent_by_zone[entry.zone].append((now, duration))
        (durations := self.durations_by_kind[entry.kind]).append(duration)
        self.mean_by_kind[entry.kind] = (1 + sum(durations)) / len(durations)
        self.recent.append((now, duration))
        self.update(now)

    def unexpired(self, now: int, answers: deque[tuple[int, int]]) -> list[int]:
        since = now - self.sample_lifetime(now)
        return [duration for ended_at, duration in answers if ended_at > since]

    def update(self, now: int) -> None:
        """Recomputes the statistics without expired samples.

        Otherwise a sidecar that bounces all queries because of old samples would never get new ones.
        """
        self.updated_at, durations = now, self.unexpired(now, self.recent)
        durations = sorted(durations + [self.initial] * (8 - len(durations)))
        self.median, self.lower_quartile = durations[len(durations) // 2], durations[len(durations) // 4]
        if now - self.baseline_at >= SECOND:
            self.baseline_at, self.quartile_history = (
                now,
                [*self.quartile_history[1 - self.BASELINE_SECONDS :], self.lower_quartile],
            )
            self.baseline = sorted(self.quartile_history)[len(self.quartile_history) // 4]

    def zone_mean(self, now: int, zone: int, upstreams: Sequence[Upstream]) -> int:
        """The mean latency of a zone (ns); dispatches in flight beyond the median count with their age."""
        durations, overdue = self.unexpired(now, self.recent_by_zone[zone]), now - self.median
        durations += [
            now - sent_at
            for upstream in upstreams
            if upstream.in_flight
            for sent_at, _ in islice(upstream.in_flight.values(), 16)
            if sent_at < overdue
        ]
        durations += [min(self.median, self.initial)] * (Upstream.MIN_SAMPLES - len(durations))
        return sum(durations) // len(durations)

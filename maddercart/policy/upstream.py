"""The state of one upstream as seen by this sidecar, and the latency expected of it."""

from collections import deque
from collections.abc import Sequence

from maddercart.interface import SECOND, ListEntry, Report


class Upstream:
    """The state of one upstream as seen by this sidecar: its list entry and the results of its dispatches."""

    MAX_SAMPLES = 8  # enough for a median that one outlier cannot move, few enough to follow a change
    ANSWER_TIMES = 32  # their mean interval is known within a fifth
    MIN_SAMPLES = 4  # missing samples are filled with the median of all, so that one outlier is no queue
    # One list a second: the last size alone does not predict the next answer, and more of them are too old.
    LISTED_SIZES = 4
    FRESH_NS = SECOND // 2  # the queue may have turned over since an older report or answer

    def __init__(self, entry: ListEntry, in_flight: dict[tuple[int, int], tuple[int, int]]) -> None:
        # `size` is the capacity in use, `listed_size` the last one on the list. Until `budget_blocked_until`
        # a cold upstream has no budget.
        self.entry, self.size, self.listed_size, self.warm_at, self.budget_blocked_until = (
            entry,
            1.0,
            1.0,
            0,
            0,
        )
        # The hash rank for this sidecar; 0: not computed. Kept, as a list of 1,200 is sorted at each change.
        self.rank = 0.0
        self.inverse_sizes: deque[float] = deque(maxlen=self.LISTED_SIZES)  # 1 / size, of the last lists
        # The largest size listed, taken as that of the idle upstream; queries held per core, plus one (0: the
        # list does not give the load).
        self.max_listed_size = self.listed_load = 0.0
        self.in_flight = in_flight  # (query, attempt): (sent at, dispatches in flight before it)
        # (ended at, duration, in flight when sent)
        self.samples: deque[tuple[int, int, int]] = deque(maxlen=self.MAX_SAMPLES)
        self.answer_times: deque[int] = deque(maxlen=self.ANSWER_TIMES)
        self.cold_dispatch_times: deque[int] = deque()  # dispatches sent while the upstream was cold
        self.latest_report: tuple[int, Report] | None = None  # (received at, report)
        # Consecutive failures (negative: successes); failed canaries and ejections since the upstream was
        # last healthy; when it last answered REJECTED.
        self.failures = self.ejections = self.full_at = 0
        # Unreachable or reset, with no answer since; (assumed cold until, `warm_at` to restore), (0, 0) if it
        # is not assumed to be cold.
        self.broke, self.assumed_cold = False, (0, 0)
        # `canary_due_at` is 0 unless the upstream is ejected.
        self.canary_due_at, self.canary_in_flight, self.probe_in_flight = 0, False, False

    def renumber(self, zones: Sequence[int], kinds: Sequence[int]) -> None:
        """Applies new zone and kind numbers, each indexed by the old number; -1: no longer exists."""
        zone, kind, self.assumed_cold, self.rank = self.entry.zone, self.entry.kind, (0, 0), 0.0
        zone = zones[zone] if 0 <= zone < len(zones) else -1
        self.entry = self.entry._replace(zone=zone, kind=kinds[kind] if kind < len(kinds) else kind)

    def is_alive(self, now: int) -> bool:
        """Whether it has answered recently, or the list says that it holds queries."""
        answered = bool(self.samples) and now - self.samples[-1][0] < self.FRESH_NS
        return answered or (self.listed_load > 0 and self.inverse_sizes[-1] * self.max_listed_size > 1)

    def reported_latency(self, now: int, median: int) -> int:
        """The latency by its last report (ns), 0 if that is not fresh."""
        received_at, report = self.latest_report or (now - self.FRESH_NS, Report(-1, -1, -1, -1))
        held = (
            max(self.size, report.held + 1, report.waiting + self.size)
            if now - received_at < self.FRESH_NS
            else 0
        )
        return int(median * held / self.size)

    def expected_latency(
        self, now: int, median: int, zone_mean: int, queue_growth: float, sample_lifetime: int
    ) -> int:
        """The latency expected of one more query (ns).

        It is estimated from the upstream's samples while these are fresh, else from its zone's mean and its
        report. `queue_growth` is the square root of the number of sidecars: the growth assumed of the whole
        queue for each dispatch of this sidecar.
        """
        in_flight, weight, own = len(self.in_flight), 0.0, 0.0
        if self.samples:
            durations = [duration for _, duration, _ in self.samples]
            durations = sorted(durations + [median] * (self.MIN_SAMPLES - len(durations)))
            base = durations[len(durations) // 2]
            in_flight_then = sum([count for _, _, count in self.samples]) / len(self.samples)
            weight = max(0.0, 1 - (now - self.samples[-1][0]) / sample_lifetime)
            per_query = base / max(self.size, in_flight_then + 1)
            # No less than one query takes, so that a queue that has drained causes no bounce.
            own = max(base + queue_growth * (in_flight - in_flight_then) * per_query, per_query)
        else:
            zone_mean += int(max(0.0, (queue_growth * in_flight + 1) / self.size - 1) * median)
        estimate = weight * own + (1 - weight) * max(zone_mean, self.reported_latency(now, median))
        return int(max(estimate, now - next(iter(self.in_flight.values()))[0] if self.in_flight else 0))

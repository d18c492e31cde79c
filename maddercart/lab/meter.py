"""Measurements of a run: the outcome of each wish, and counts for each step of the time line.

Times are whole nanoseconds of simulated time unless stated otherwise.
"""

from array import array
from dataclasses import dataclass, field

import numpy as np
from numpy.typing import NDArray

from maddercart.interface import SECOND
from maddercart.lab.scenario import Scenario
from maddercart.lab.sidecars import Query
from maddercart.lab.workload import Workload

OUTCOMES = ("open", "done", "late", "bounce", "abort", "left", "unanswered", "lost")
HOME_STATE = "PRIMARY"  # the failover state in which a sidecar sends its traffic to its home group
STEP_SECONDS = 0.5  # length in seconds of a step of the time line
# "first": first tries; "gone": left, unanswered or lost; "crossed": dispatches to another zone;
# "away": sidecars that are not in the home state.
COLUMNS = ("asked", "first", "done", "late", "bounce", "abort", "gone", "sent", "crossed", "away")


class Meter:
    """Records the outcome, latency and tries of each wish, and counts by zone and step of the time line.

    Latencies count from the client's first try. Wishes that arrive during the warm-up are left out of the
    summary.
    """

    def __init__(self, scenario: Scenario, workload: Workload) -> None:
        self.scenario, self.workload = scenario, workload
        count = len(workload)
        # By wish: index into the outcomes, latency in ns, number of tries (at most 127).
        self.outcomes = array("b", bytes(count))
        self.latencies_ns = array("q", bytes(8 * count))
        self.try_counts = array("b", bytes(count))
        self.agreed_times_ns = [round(terms.agreed * SECOND) for terms in scenario.offerings]
        self.step_count = int(scenario.seconds / STEP_SECONDS) + 1
        # Counts by zone, column and step.
        self.timelines = [[[0] * self.step_count for _ in COLUMNS] for _ in scenario.zones]
        self.step_ns = int(STEP_SECONDS * SECOND)
        self.sidecar_zones = [n for n, zone in enumerate(scenario.zones) for _ in range(zone.sidecars)]
        self.dispatch_count = self.cross_zone_count = self.probe_count = self.wish_count = 0
        self.notes: list[tuple[float, int, str]] = []  # seconds, sidecar, text

    def add(self, now: int, zone: int, column: int, amount: int = 1) -> None:
        self.timelines[zone][column][min(now // self.step_ns, self.step_count - 1)] += amount

    def wish_started(self, wish: int) -> None:
        self.wish_count += 1

    def query_sent(self, now: int, zone: int, try_number: int) -> None:
        self.add(now, zone, 0)
        if try_number == 1:
            self.add(now, zone, 1)

    def dispatch_sent(self, now: int, zone: int, cross_zone: bool) -> None:
        self.dispatch_count += 1
        self.cross_zone_count += cross_zone
        self.add(now, zone, 7)
        if cross_zone:
            self.add(now, zone, 8)

    def wish_ended(self, query: Query, outcome: str, now: int) -> None:
        latency = now - query.first_try_at
        if outcome == "done" and latency > self.agreed_times_ns[query.offering]:
            outcome = "late"
        self.outcomes[query.wish], self.latencies_ns[query.wish] = OUTCOMES.index(outcome), latency
        self.try_counts[query.wish] = min(query.try_number, 127)
        self.add(now, query.sidecar.zone, 2 + min(OUTCOMES.index(outcome) - 1, 4))

    def policy_note(self, now: int, sidecar: int, text: str) -> None:
        """Records a policy's note to operators; "X to Y" is a change of its failover state."""
        self.notes.append((now / SECOND, sidecar, text))
        before, separator, after = [*text.split(), "", "", ""][:3]
        if separator == "to" and (before == HOME_STATE) != (after == HOME_STATE):
            change, zone = (1 if before == HOME_STATE else -1), self.sidecar_zones[sidecar]
            column = self.timelines[zone][COLUMNS.index("away")]
            for step in range(min(now // self.step_ns, self.step_count - 1), self.step_count):
                column[step] += change

    def wish_earnings(self) -> NDArray[np.float64]:
        """The earnings of each wish if it is answered in time; less for wishes beyond the tenant's quota."""
        by_offering = np.array([terms.earnings for terms in self.scenario.offerings])
        earnings = by_offering[self.workload.offering]
        for index, tenant in enumerate(self.scenario.tenants):
            if not tenant.quota:
                continue
            rows = np.flatnonzero(self.workload.tenant == index)
            tokens, last = tenant.quota, 0.0  # token bucket that holds one second of the quota
            for row, arrival in zip(
                rows.tolist(), (self.workload.arrival_ns[rows] / SECOND).tolist(), strict=True
            ):
                tokens, last = min(tenant.quota, tokens + tenant.quota * (arrival - last)), arrival
                if tokens >= 1:
                    tokens -= 1
                else:
                    earnings[row] *= tenant.beyond
        return earnings


@dataclass(frozen=True)
class Result:
    """The results of one run. The figure `share` is relative to the earnings asked for after the warm-up."""

    figures: dict[str, float | int | str]
    latencies_ns: NDArray[np.int64] = field(repr=False)  # ns, of the wishes that were done
    timelines: list[list[list[int]]] = field(repr=False)  # by zone, by column, by step
    notes: list[tuple[float, int, str]] = field(repr=False)  # seconds, sidecar, text
    # By cold server: samples of (seconds, fraction of its load limit).
    cold_loads: dict[int, list[tuple[float, float]]] = field(repr=False)
    breaches: list[str] = field(repr=False)


def summarize(meter: Meter) -> tuple[dict[str, float | int], NDArray[np.int64]]:
    """Returns the figures of a run and the latencies (ns) of the wishes that were done, warm-up left out."""
    scenario, workload = meter.scenario, meter.workload
    counted = workload.arrival_ns >= scenario.warmup * SECOND
    outcomes, latencies = (
        np.frombuffer(meter.outcomes, dtype=np.int8),
        np.frombuffer(meter.latencies_ns, dtype=np.int64),
    )
    earnings = meter.wish_earnings()
    late_earnings = np.array([terms.late_earnings for terms in scenario.offerings])[workload.offering]
    full_earnings = np.array([terms.earnings for terms in scenario.offerings])[workload.offering]
    late_earnings = late_earnings * earnings / np.where(full_earnings > 0, full_earnings, 1)
    earnings_asked = float(earnings[counted].sum())
    earnings_achieved = float(
        earnings[counted & (outcomes == 1)].sum() + late_earnings[counted & (outcomes == 2)].sum()
    )
    crossing_cost = scenario.sidecars.crossing * meter.cross_zone_count
    figures: dict[str, float | int] = {
        "wishes": int(counted.sum()),
        "share": (earnings_achieved - crossing_cost) / earnings_asked if earnings_asked else 0.0,
        "sent": meter.dispatch_count,
        "crossed": meter.cross_zone_count / max(1, meter.dispatch_count),
        "dispatches": meter.dispatch_count / max(1, len(workload)),
        "probes": meter.probe_count,
    }
    for index, name in enumerate(OUTCOMES):
        figures[name] = int((counted & (outcomes == index)).sum()) / max(1, int(counted.sum()))
    done = latencies[counted & ((outcomes == 1) | (outcomes == 2))]
    for name, quantile in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99), ("p999", 0.999)):
        figures[name] = float(np.quantile(done, quantile)) / SECOND if len(done) else 0.0
    return figures, done

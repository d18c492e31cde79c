"""Load-balancing policies of the lab: the module, textbook baselines and an oracle that sees the true state.

The baselines never repeat a query that may have run unless it is redoable. They have no budgets for cold
servers and eject none. Times are nanoseconds.
"""

from bisect import bisect
from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import TYPE_CHECKING, Any

from maddercart.interface import (
    DONE,
    EVERYWHERE,
    GONE,
    IRREVERSIBLE,
    LABELLED,
    MILLISECOND,
    NEVER_RAN,
    READY,
    REDOABLE,
    BalancerOptions,
    Decision,
    ListEntry,
    Offering,
    Report,
    SidecarPosition,
    SlowStartRule,
)  # fmt: skip
from maddercart.lab.servers import GOLDEN_RATIO_FRACTION
from maddercart.policy.balancer import Balancer

if TYPE_CHECKING:
    from maddercart.lab.sidecars import Policy, Query, Sidecar
    from maddercart.lab.world import World

NEVER = 1 << 62


class PendingQuery:
    """A query without a final answer.

    `hard_stop` is an instant; `attempted` lists the upstreams of its dispatches in order.
    """

    __slots__ = ("attempted", "hard_stop", "may_have_run", "number", "sent", "terms")

    def __init__(self, number: int, terms: Offering, hard_stop: int) -> None:
        self.number, self.terms, self.hard_stop = number, terms, hard_stop
        self.attempted: list[int] = []
        self.may_have_run = False


class Baseline:
    """Dispatches each query at once to the result of `select_upstream`.

    A dispatch that failed is followed by another one as long as the rules allow it; only then is the query
    refused.
    """

    def __init__(
        self, now: int, seed: int, place: SidecarPosition, offerings: Sequence[Offering], cold: SlowStartRule,
        permits: BalancerOptions, quotas: Sequence[float] = (),
    ) -> None:  # fmt: skip
        self.random, self.zone, self.offerings, self.permits = Random(seed), place.zone, offerings, permits
        self.entries: dict[int, ListEntry] = {}
        self.candidates: list[ListEntry] = []  # ready, of the own zone; if there is none, all ready
        self.outstanding: dict[int, int] = {}
        self.queries: dict[int, PendingQuery] = {}
        self.decisions: deque[Decision] = deque([("follow",)] if permits.subscribes else [])

    def update_list(self, now: int, entries: Sequence[ListEntry], whole: bool) -> None:
        if whole:
            self.entries.clear()
        for entry in entries:
            self.entries[entry.upstream] = entry
            if entry.condition == GONE:
                del self.entries[entry.upstream]
        ready = [entry for entry in self.entries.values() if entry.condition == READY]
        self.candidates = [entry for entry in ready if entry.zone == self.zone] or ready
        self.candidates_changed()

    def candidates_changed(self) -> None:
        """Hook: `candidates` has changed."""

    def list_failed(self, now: int) -> None:
        self.decisions.append(("follow",))

    def take_query(
        self, now: int, number: int, offering: int, remaining: int, waited: int = 0, party: int = -1,
        again: bool = False,
    ) -> None:  # fmt: skip
        pending = self.queries[number] = PendingQuery(number, self.offerings[offering], now + remaining)
        self.dispatch_or_refuse(now, pending)

    def may_send(self, now: int, pending: PendingQuery) -> bool:
        if now >= pending.hard_stop or len(pending.attempted) >= self.permits.max_dispatches:
            return False
        return not pending.may_have_run or pending.terms.effect == REDOABLE

    def dispatch_or_refuse(self, now: int, pending: PendingQuery) -> None:
        upstream = self.select_upstream(now, pending) if self.may_send(now, pending) else -1
        if upstream >= 0:
            pending.attempted.append(upstream)
            self.outstanding[upstream] = self.outstanding.get(upstream, 0) + 1
            self.decisions.append(("dispatch", pending.number, upstream, pending.hard_stop - now))
            return
        self.refuse(pending)

    def refuse(self, pending: PendingQuery) -> None:
        del self.queries[pending.number]
        terms = pending.terms
        safe = terms.effect == REDOABLE or (
            terms.effect == LABELLED and terms.deduplication_scope == EVERYWHERE
        )
        bounce = safe or not pending.may_have_run
        self.decisions.append(
            ("bounce", pending.number, self.permits.max_retry_delay_ns // 2)
            if bounce
            else ("abort", pending.number)
        )

    def dispatch_ended(
        self, now: int, number: int, upstream: int, shot: int, duration: int, outcome: int, ended: bool,
        report: Report | None,
    ) -> None:  # fmt: skip
        self.outstanding[upstream] = self.outstanding.get(upstream, 1) - 1
        if outcome == DONE:
            self.dispatch_done(now, upstream, duration)
        pending = self.queries.get(number)
        if pending is None:
            return
        if ended:
            del self.queries[number]
            return
        pending.may_have_run = pending.may_have_run or outcome not in NEVER_RAN
        self.dispatch_or_refuse(now, pending)

    def dispatch_done(self, now: int, upstream: int, duration: int) -> None:
        """Hook: a dispatch ended with DONE after `duration` nanoseconds."""

    def client_left(self, now: int, number: int) -> None:
        self.queries.pop(number, None)

    def probe_ended(self, now: int, upstream: int, ok: bool, duration: int, report: Report | None) -> None:
        """Does nothing: baselines send no probes."""

    def timer_fired(self, now: int) -> None:
        """Does nothing: baselines set no timers."""

    def next_decision(self, now: int) -> Decision | None:
        return self.decisions.popleft() if self.decisions else None

    def untried_candidates(self, pending: PendingQuery) -> list[ListEntry]:
        """The candidates without a dispatch of this query; all of them if each has had one."""
        if not pending.attempted:
            return self.candidates
        return [
            entry for entry in self.candidates if entry.upstream not in pending.attempted
        ] or self.candidates

    def select_upstream(self, now: int, pending: PendingQuery) -> int:
        """The upstream for the next dispatch, or -1 if there is none."""
        raise NotImplementedError


class RandomChoice(Baseline):
    def select_upstream(self, now: int, pending: PendingQuery) -> int:
        untried = self.untried_candidates(pending)
        return untried[int(self.random.random() * len(untried))].upstream if untried else -1


class RoundRobin(Baseline):
    """Smooth weighted round robin.

    On each choice every candidate gains its size as credit; the one with the most credit is chosen and pays
    the total.
    """

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.credit: dict[int, float] = {}

    def candidates_changed(self) -> None:
        self.credit = {
            entry.upstream: self.credit.get(entry.upstream, self.random.random()) for entry in self.candidates
        }

    def select_upstream(self, now: int, pending: PendingQuery) -> int:
        if not self.candidates:
            return -1
        total, best, credit = 0.0, -1, self.credit
        for entry in self.candidates:
            total += entry.size
            credit[entry.upstream] += entry.size
            if best < 0 or credit[entry.upstream] > credit[best]:
                best = entry.upstream
        credit[best] -= total
        return best


class LeastOutstanding(Baseline):
    """Chooses the candidate with the fewest outstanding dispatches per size; ties are broken at random."""

    def select_upstream(self, now: int, pending: PendingQuery) -> int:
        least, best, ties, outstanding = 1e18, -1, 0, self.outstanding
        for entry in self.untried_candidates(pending):
            load = outstanding.get(entry.upstream, 0) / entry.size
            if load < least:
                least, best, ties = load, entry.upstream, 1
            elif load == least:
                ties += 1
                if self.random.random() * ties < 1:
                    best = entry.upstream
        return best


class TwoChoices(Baseline):
    """Draws two candidates and chooses the one with fewer outstanding dispatches per size."""

    def select_upstream(self, now: int, pending: PendingQuery) -> int:
        untried = self.untried_candidates(pending)
        if len(untried) < 2:
            return untried[0].upstream if untried else -1
        first, second = self.random.sample(untried, 2)
        return first.upstream if self.load(first) <= self.load(second) else second.upstream

    def load(self, entry: ListEntry) -> float:
        return self.outstanding.get(entry.upstream, 0) / entry.size


class RingHash(Baseline):
    """Consistent hashing by the query's number; an upstream of size 1 has `POINTS_PER_UPSTREAM` points."""

    POINTS_PER_UPSTREAM = 100
    SPAN = (1 << 61) - 1

    def candidates_changed(self) -> None:
        points = (
            (Random(entry.upstream * 1000 + n).getrandbits(60), entry.upstream)
            for entry in self.candidates
            for n in range(max(1, round(self.POINTS_PER_UPSTREAM * entry.size)))
        )
        self.ring = sorted(points)
        self.positions = [position for position, _ in self.ring]

    def select_upstream(self, now: int, pending: PendingQuery) -> int:
        if not self.candidates:
            return -1
        start = bisect(self.positions, pending.number * 0x9E3779B97F4A7C15 % (1 << 64) >> 4)
        for step in range(len(self.ring)):
            upstream = self.ring[(start + step) % len(self.ring)][1]
            if upstream not in pending.attempted:
                return upstream
        return self.ring[start % len(self.ring)][1]


class Oracle(Baseline):
    """Sends each query to the server that will finish it first, by the true state of all servers.

    The state includes the dispatches under way to a server. The limits of cold servers are kept. A query that
    can't be done in its agreed time is refused, so that it delays no other. This is the best policy known,
    not a proven optimum.
    """

    # Part of the agreed time that a query may take if its offering earns less than the best one; under load
    # these queries are refused first.
    LOW_EARNINGS_FACTOR = 0.6

    world: "World"
    held_queries: "dict[int, Query]"

    def candidates_changed(self) -> None:
        self.best_earnings = max((terms.earnings for terms in self.offerings), default=1.0)

    def select_upstream(self, now: int, pending: PendingQuery) -> int:
        world, query = self.world, self.held_queries.get(pending.number)
        if query is None:
            return -1
        base_delays, dispatch_index = world.network.base_delay_ns, len(pending.attempted)
        best, shortest = -1, pending.terms.agreed_time_ns - (now - query.first_try_at)
        if pending.terms.earnings < self.best_earnings:
            shortest = int(shortest * self.LOW_EARNINGS_FACTOR)
        for server in world.servers:
            listed = self.entries.get(server.number)  # rule 3 goes by what this sidecar was told
            if (
                listed is None
                or listed.condition != READY
                or server.condition != READY
                or not server.reachable()
            ):
                continue
            if (
                server.failure_share
                and (query.failure_draw + dispatch_index * GOLDEN_RATIO_FRACTION) % 1 < server.failure_share
            ):
                continue
            expected_duration = base_delays[self.zone][server.zone] + base_delays[server.zone][self.zone]
            rate = server.work_rate(now)
            if server.assigned_count >= server.cores:
                expected_duration += (
                    server.assigned_work_ns
                    * (server.assigned_count - server.cores + 1)
                    / server.assigned_count
                    / (rate * server.cores)
                )
            slowdown = 1 + server.crowd_cost * max(
                0.0, (server.assigned_count + 1) / server.cores - server.crowd_from
            )
            expected_duration += query.work_ns * slowdown / rate
            if server.assigned_count >= server.cores + server.queue_capacity or expected_duration >= shortest:
                continue
            if now - server.started_cold_at < server.ramp_ns and not world.admit_cold_work(
                now, server, query.work_ns
            ):
                continue
            best, shortest = server.number, int(expected_duration)
        return best


def make_balancer(world: "World", sidecar: "Sidecar", **arguments: Any) -> "Policy":
    return Balancer(**arguments)


def baseline_factory(kind: type[Baseline]) -> Callable[..., "Policy"]:
    def make(world: "World", sidecar: "Sidecar", **arguments: Any) -> "Policy":
        return kind(**arguments)

    return make


def make_oracle(world: "World", sidecar: "Sidecar", **arguments: Any) -> "Policy":
    oracle = Oracle(**arguments)
    oracle.world, oracle.held_queries = world, sidecar.queries
    return oracle


POLICIES: dict[str, Callable[..., "Policy"]] = {
    "module": make_balancer,
    "random": baseline_factory(RandomChoice),
    "round_robin": baseline_factory(RoundRobin),
    "least_outstanding": baseline_factory(LeastOutstanding),
    "two_choices": baseline_factory(TwoChoices),
    "ring_hash": baseline_factory(RingHash),
    "bound": make_oracle,
}

__all__ = ["IRREVERSIBLE", "MILLISECOND", "POLICIES", "Baseline"]

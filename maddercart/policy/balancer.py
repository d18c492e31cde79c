"""The object that a host calls: it keeps the state and makes every decision."""

from collections import deque
from collections.abc import Sequence
from random import Random

from maddercart.interface import (
    CANCELLED,
    DONE,
    IRREVERSIBLE,
    MILLISECOND,
    NEVER_RAN,
    NOT_WRITTEN,
    READY,
    REDOABLE,
    REJECTED,
    RESET,
    SECOND,
    TIMED_OUT,
    UNREACHABLE,
    BalancerOptions,
    Decision,
    ListEntry,
    Offering,
    Report,
    SidecarPosition,
    SlowStartRule,
)
from maddercart.policy.cold_budget import ColdBudget
from maddercart.policy.health import Health
from maddercart.policy.latency import LatencyStats
from maddercart.policy.picker import Picker
from maddercart.policy.queries import HeldQueries, PlacementQueue, Query
from maddercart.policy.quotas import Quotas
from maddercart.policy.recent_attempts import RecentAttempts
from maddercart.policy.registry import Registry
from maddercart.policy.upstream import Upstream
from maddercart.policy.zone_group import ZoneGroup


class Balancer:
    """Decides on dispatches, answers, probes and the list; `maddercart/interface.py` documents its calls.

    The shares below are fractions of a query's agreed time, unless stated otherwise.
    """

    # A zone whose expected latency is within this share, plus the price of crossing zones, is used; above it
    # the next zone is tried.
    ACCEPTED_SHARE = 0.5
    # A query is bounced if its expected latency is above this share. It is less by up to the second value
    # where sidecars are many, as the estimate is less certain there.
    BOUNCE_SHARE, MANY_SIDECARS_SHARE = 0.9, 0.18
    # The bounce share is less by the first value for each offering with higher earnings, down to the second.
    RANK_SHARE, MIN_BOUNCE_SHARE = 0.15, 0.6
    # The most for a query beyond its tenant's quota: it earns little, and does not cross zones.
    OVER_QUOTA_SHARE = 0.35
    INITIAL_SHARE = 0.25  # of the shortest agreed time: the latency assumed before any answer
    PAIR_DRAWS = 3  # pairs drawn in each of the first two zones: one slow pair does not mean a full zone
    # Pauses after failed calls to the list. A change counts as received 6 s after discovery could send it:
    # the longest pause, jittered by half, and two calls with their timeouts must fit into that.
    FOLLOW_MIN_NS, FOLLOW_MAX_NS = SECOND // 2, SECOND
    # The least retry delay of a bounce, as no queue drains sooner; how late the list may report a restart.
    MIN_RETRY_NS, RESTART_REPORT_NS = 40 * MILLISECOND, 2 * SECOND
    GROUP_STEP_NS = 20 * MILLISECOND  # the least time between two steps of the zone group
    NEVER = 1 << 62  # later than any instant of the clock

    def __init__(
        self, now: int, seed: int, place: SidecarPosition, offerings: Sequence[Offering], cold: SlowStartRule,
        permits: BalancerOptions, quotas: Sequence[float] = (),
    ) -> None:  # fmt: skip
        self.random_uniform = (random := Random(seed)).uniform
        self.registry, self.held, self.queue = (
            Registry(place, cold, permits.sizes_follow_load),
            HeldQueries(),
            PlacementQueue(),
        )
        self.recent_attempts = RecentAttempts()
        self.health, self.group = Health(random), ZoneGroup(place, random)
        self.picker, self.arrival_times = (
            Picker(random),
            deque([now - LatencyStats.MAX_SAMPLE_AGE_NS] * 32, maxlen=32),
        )
        self.pending: deque[Decision] = deque()  # decisions that the host has not pulled yet
        # When `run_due` has something to do; when the timer that the host was asked for fires.
        self.due_at, self.wake_at = now, self.NEVER
        self.follow_at, self.follow_pause = now if permits.subscribes else self.NEVER, self.FOLLOW_MIN_NS
        self.configure(now, place, offerings, cold, permits, quotas)

    def configure(
        self, now: int, place: SidecarPosition, offerings: Sequence[Offering], cold: SlowStartRule,
        permits: BalancerOptions, quotas: Sequence[float],
    ) -> None:  # fmt: skip
        self.shortest_agreed = min((offering.agreed_time_ns for offering in offerings), default=SECOND)
        self.cold_budget, self.quotas = ColdBudget(cold, place), Quotas(now, quotas, place.sidecar_count)
        # The effect of a query that may be a canary: labelled where no offering is redoable, or an ejected
        # upstream would never return. An offering restricted to zones or kinds is used only where all are, as
        # its queries could not be tried elsewhere.
        canary_terms = [
            (offering.restricted, offering.effect)
            for offering in offerings
            if offering.effect != IRREVERSIBLE
        ]
        self.canary_effect = min(canary_terms, default=(False, REDOABLE))[1]
        self.latency = LatencyStats(now, int(self.shortest_agreed * self.INITIAL_SHARE), self.arrival_times)
        self.picker.mean_by_kind = self.latency.mean_by_kind
        # The queue at an upstream is assumed to grow by the square root of the number of sidecars for each
        # dispatch of this one.
        self.offerings, self.permits, self.queue_growth = offerings, permits, place.sidecar_count**0.5
        ranks = [sum(other.earnings > offering.earnings for other in offerings) for offering in offerings]
        bounce_share = self.BOUNCE_SHARE - self.MANY_SIDECARS_SHARE * (1 - 1 / self.queue_growth) ** 2
        shares = [max(bounce_share - self.RANK_SHARE * rank, self.MIN_BOUNCE_SHARE) for rank in ranks]
        # By offering: the expected latency (ns) above which a query is bounced.
        self.latency_budgets = [
            int(offering.agreed_time_ns * share) for offering, share in zip(offerings, shares, strict=True)
        ]

    def reconfigure(
        self, now: int, place: SidecarPosition, offerings: Sequence[Offering], cold: SlowStartRule,
        permits: BalancerOptions, zones: Sequence[int], kinds: Sequence[int], quotas: Sequence[float] = (),
    ) -> None:  # fmt: skip
        """Applies new settings; `zones` and `kinds` give the new number for each old one, -1 if it is gone.

        Held queries keep their terms. The upstreams that they were sent to are renumbered as well, also those
        that have restarted or left the list, or a repeat could leave its deduplication scope.
        """
        if permits.subscribes != self.permits.subscribes:
            self.follow_at = now if permits.subscribes else self.NEVER
        for query in self.held.by_number.values():
            query.terms = query.terms.renumbered(zones, kinds)
        held = [upstream for q in self.held.by_number.values() for upstream, _ in (*q.attempts, *q.earlier)]
        tried = {id(upstream): upstream for upstream in (*held, *self.recent_attempts.upstreams())}
        for upstream in tried.values():
            if self.registry.by_id.get(upstream.entry.upstream) is not upstream:
                upstream.renumber(zones, kinds)
        self.configure(now, place, offerings, cold, permits, quotas)
        self.registry.configure(place, cold, permits.sizes_follow_load)
        self.registry.renumber(now, zones, kinds)
        self.group.renew(now, place, zones)
        self.group.assign_zones(self.registry.ready)
        self.due_at = now

    def update_list(self, now: int, entries: Sequence[ListEntry], is_complete: bool) -> None:
        """Applies the upstream list, if `is_complete`, or changes of it."""
        self.registry.update_list(now, entries, is_complete, self.permits.only_draining_binds)
        self.health.ejected = {
            number: upstream
            for number, upstream in self.health.ejected.items()
            if self.registry.by_id.get(number) is upstream
        }
        self.group.assign_zones(self.registry.ready)
        self.follow_pause, self.due_at = min(self.FOLLOW_MIN_NS, self.permits.max_list_age_ns // 8), now

    def list_failed(self, now: int, remaining_ns: int = NEVER) -> None:
        """Schedules another `follow`; the pause is shorter if only `remaining_ns` are left for it."""
        pause = min(self.follow_pause, max(remaining_ns // 4, self.FOLLOW_MIN_NS // 4))
        self.follow_at = now + int(pause * self.random_uniform(0.5, 1.5))
        # Spread by half, a pause and the call after it must end within the age that the list may have.
        longest_pause = min(self.FOLLOW_MAX_NS, self.permits.max_list_age_ns // 2)
        self.follow_pause = min(2 * self.follow_pause, longest_pause)
        self.due_at = min(self.due_at, self.follow_at)

    def take_query(
        self, now: int, query: int, offering: int, remaining_ns: int, waited_ns: int = 0, tenant: int = -1,
        is_retry: bool = False, max_dispatches: int = 0, identity: int = 0,
    ) -> None:  # fmt: skip
        """Takes a new query; `waited_ns` of `remaining_ns` has already passed.

        `tenant` is -1 if the tenant is unknown; `max_dispatches` limits the dispatches (0: only the settings
        do). `identity` is the same for a query that comes again; 0 if that can't be known.
        """
        # Its answer will wait for the host as long as the query did.
        terms, budget = self.offerings[offering], self.latency_budgets[offering] - waited_ns
        if quota_wait := self.quotas.wait(now, tenant, is_retry):
            budget = min(budget, int(terms.agreed_time_ns * self.OVER_QUOTA_SHARE))
        max_dispatches, arrived_at = min(max_dispatches or 99, self.permits.max_dispatches), now - waited_ns
        agreed_at, hard_stop_at = (
            arrived_at + min(remaining_ns, terms.agreed_time_ns),
            arrived_at + remaining_ns,
        )
        self.queue.add(Query(
            query, terms, budget, hard_stop_at, agreed_at, max_dispatches, quota_wait,
            identity=identity, earlier=self.recent_attempts.recall(identity),
        ))  # fmt: skip
        self.held.by_number[query] = self.queue.new[-1]
        self.arrival_times.append(now)

    def dispatch_ended(
        self, now: int, query: int, upstream: int, attempt: int, duration_ns: int, outcome: int,
        query_ended: bool, report: Report | None,
    ) -> None:  # fmt: skip
        """Records how dispatch `attempt` of `query` ended, after `duration_ns`.

        `query_ended`: the query needs no further dispatch.
        """
        target, held_query = self.registry.by_id.get(upstream), self.held.by_number.get(query)
        if target is not None and (dispatch := target.in_flight.pop((query, attempt), None)) is not None:
            target.latest_report = (now, report) if report is not None else target.latest_report
            canary = bool(held_query and held_query.is_canary and not attempt)
            if outcome == DONE and not target.canary_in_flight:
                self.cancel_overtaken(now, target, dispatch[0])
            if outcome not in (CANCELLED, NOT_WRITTEN):
                self.record(now, target, outcome, duration_ns, dispatch, canary)
            elif canary:  # it has no result: while it counted as in flight, no other canary would be sent
                target.canary_in_flight, self.due_at = False, now
        if held_query is not None:
            held_query.in_flight.discard(attempt)
            held_query.suspects.update({attempt} if outcome not in NEVER_RAN else ())
            if query_ended or held_query.ended:
                self.close(held_query)
            elif not held_query.in_flight:
                self.queue.add(held_query)

    def may_write(self, now: int, query: int) -> bool:
        """Whether the dispatch in flight, whose connection may have come up late, may still be written."""
        if not (held_query := self.held.by_number.get(query)):
            return True
        # The upstream may have moved to another zone or kind meanwhile.
        permitted = not held_query.attempts or held_query.terms.allows(held_query.attempts[-1][0].entry)
        return permitted and self.held.may_repeat(now, held_query, held_query.suspects, 1)

    def client_left(self, now: int, query: int) -> None:
        """The client of a query has disconnected."""
        if held_query := self.held.by_number.get(query):
            self.close(held_query)

    def probe_ended(
        self, now: int, upstream: int, success: bool, duration_ns: int, report: Report | None
    ) -> None:
        """Records the result of a probe, which took `duration_ns`."""
        if target := self.registry.by_id.get(upstream):
            target.probe_in_flight, target.latest_report = (
                False,
                (now, report) if report is not None else target.latest_report,
            )
            self.canary_ended(now, target, success and not self.is_slow(duration_ns, 0))

    def timer_fired(self, now: int) -> None:
        """A timer has fired; if it is an earlier one than the one last asked for, that is still pending."""
        self.wake_at = self.NEVER if now >= self.wake_at - MILLISECOND else self.wake_at

    def record(
        self,
        now: int,
        upstream: Upstream,
        outcome: int,
        duration: int,
        dispatch: tuple[int, int],
        canary: bool,
    ) -> None:
        """Records the result of a dispatch; `dispatch` is (sent at, in flight before)."""
        # An upstream that refused or broke connections and answers again may be a new process, whose restart
        # the list has not reported yet: it counts as cold until then.
        if outcome == DONE and upstream.broke and now >= upstream.warm_at:
            upstream.assumed_cold, upstream.warm_at = (
                (now + self.RESTART_REPORT_NS, upstream.warm_at),
                now + self.registry.ramp,
            )
            self.registry.refresh_at = now
        lost = outcome in (UNREACHABLE, RESET) and not upstream.is_alive(now)
        upstream.broke = outcome != DONE and (upstream.broke or lost)
        # A timeout counts as a failure only if other answers take much less time.
        if success := outcome in (DONE, TIMED_OUT):
            upstream.samples.append((now, duration, dispatch[1]))
            upstream.answer_times.append(now)
            self.latency.add(now, upstream.entry, duration, upstream.answer_times, upstream.size)
            success = not self.is_slow(duration, dispatch[1])
        if canary:
            return self.canary_ended(now, upstream, success)
        # All dispatches sent before a REJECTED answer met the same full queue: they count as one failure.
        if outcome == REJECTED and dispatch[0] < upstream.full_at:
            return
        upstream.full_at = now if outcome == REJECTED else upstream.full_at
        if outcome == UNREACHABLE and self.permits.streams_per_connection > 1 and upstream.is_alive(now):
            # Its connections are in use by other sidecars, so that the next dispatch would be refused too. It
            # does not count as a failure of its zone, or zones would fail over.
            self.health.eject(now, upstream)
            self.registry.refresh_at = now
            return
        if self.health.record(now, upstream, success):
            self.pending.append(("note", f"ejected {upstream.entry.upstream}"))
            self.registry.refresh_at = self.due_at = now
        if outcome in (DONE, UNREACHABLE, RESET, TIMED_OUT):
            self.group.dispatch_ended(now, upstream.entry.zone, outcome == DONE)
            self.due_at = self.due_at if outcome == DONE else now

    def cancel_overtaken(self, now: int, upstream: Upstream, sent_at: int) -> None:
        """Cancels slow dispatches sent before one that was answered, if their queries may be repeated.

        Such a dispatch waits on a silent connection; the upstream itself answers.
        """
        for (number, attempt), (earlier, in_flight) in (
            list(upstream.in_flight.items()) if self.permits.may_cancel else ()
        ):
            query, overtaken = (
                self.held.by_number[number],
                earlier < sent_at and self.is_slow(now - earlier, in_flight),
            )
            if overtaken and self.held.may_repeat(now, query, query.suspects | {attempt}):
                del upstream.in_flight[number, attempt]
                self.pending.append(("cancel", number, attempt))

    def canary_ended(self, now: int, upstream: Upstream, success: bool) -> None:
        if upstream.canary_in_flight:
            self.health.canary_ended(now, upstream, success)
            self.registry.refresh_at = now
        if self.group.canary_sent and upstream.entry.zone == self.group.canary_zone:
            self.group.canary_ended(now, success)
        self.due_at = now

    def is_slow(self, duration: int, in_flight: int) -> bool:
        """Whether an answer took many times the median, beyond what this sidecar's queue there explains."""
        return duration >= max(
            self.health.SLOW_FACTOR * self.latency.median * max(1, in_flight), self.shortest_agreed // 2
        )

    def close(self, query: Query) -> None:
        """Ends a query, and cancels its dispatches if the settings allow it."""
        if not query.ended and self.permits.may_cancel:
            self.pending.extend(("cancel", query.number, attempt) for attempt in query.in_flight)
        query.ended = True
        self.recent_attempts.remember(query)
        if not query.in_flight:
            self.held.by_number.pop(query.number, None)

    def next_decision(self, now: int) -> Decision | None:
        """The next decision to carry out, or None if there is none."""
        if self.due_at <= now:
            self.run_due(now)
        while not self.pending and (query := self.queue.pop()) is not None:
            if not query.ended:
                return self.place(now, query)
        if self.pending:
            return self.pending.popleft()
        if self.due_at >= self.wake_at:
            return None
        self.wake_at = self.due_at
        return ("wake", self.wake_at - now)

    def run_due(self, now: int) -> None:
        """Does what is due by the clock, and sets `due_at`."""
        if now >= self.follow_at:
            self.follow_at = self.NEVER
            self.pending.append(("follow",))
        if (note := self.group.step(now)) is not None:
            self.pending.append(("note", note))
        self.due_at = min(self.follow_at, max(self.group.next_step_at(now), now + self.GROUP_STEP_NS))
        if self.permits.may_probe:
            while (upstream := self.next_canary(now, None)) is not None:
                upstream.probe_in_flight = True
                self.pending.append(("probe", upstream.entry.upstream))
            due_times = [
                upstream.canary_due_at
                for upstream in self.health.ejected.values()
                if not upstream.canary_in_flight
            ]
            self.due_at = min(
                [self.due_at, *(max(due_at, now + self.health.CANARY_DELAY_NS) for due_at in due_times)]
            )

    def next_canary(self, now: int, terms: Offering | None) -> Upstream | None:
        """The upstream that is due a canary: one of the zone that the group tests, else an ejected one.

        `terms` are those of the query that is to be the canary; None: it is a probe.
        """
        group = self.group
        if group.canary_zone is not None and not group.canary_sent:
            zone = self.registry.ready[group.canary_zone]
            zone = [upstream for upstream in zone if terms is None or terms.allows(upstream.entry)]
            if candidates := [
                upstream for upstream in zone if not upstream.probe_in_flight and self.allows(now, upstream)
            ]:
                group.canary_sent = True
                return self.picker.better(now, self.picker.pair(candidates, []), candidates)
        for upstream in self.health.ejected.values():
            free = (
                not (upstream.canary_in_flight or upstream.probe_in_flight) and now >= upstream.canary_due_at
            )
            free = free and (terms is None or terms.allows(upstream.entry))
            if free and upstream.entry.condition == READY and self.allows(now, upstream):
                upstream.canary_in_flight = True
                return upstream
        return None

    def place(self, now: int, query: Query) -> Decision:
        """Dispatches a query, or bounces or aborts it."""
        if not self.held.may_dispatch(now, query):
            return self.answer(now, query, 0)
        may_be_canary = query.terms.effect == self.canary_effect and not (
            self.permits.may_probe or query.attempts or query.earlier
        )
        if may_be_canary and (canary := self.next_canary(now, query.terms)) is not None:
            query.is_canary = True
            return self.dispatch(now, query, canary)
        chosen, expected = self.choose(now, query)
        limit = min(query.latency_budget, query.agreed_at - now)
        if chosen is None or (expected > limit and not query.suspects and self.held.may_bounce(query)):
            return self.answer(now, query, max(expected - limit, query.quota_wait))
        return self.dispatch(now, query, chosen)

    def choose(self, now: int, query: Query) -> tuple[Upstream | None, int]:
        """The upstream for a query and the latency expected there (ns).

        It is the pick in the first zone whose expected latency is accepted, else the fastest of all picks.
        """
        accepted = int(query.terms.agreed_time_ns * (self.ACCEPTED_SHARE + self.permits.cross_zone_cost))
        if now >= self.registry.refresh_at:
            self.registry.refresh(now)
        if now - self.latency.updated_at > min(SECOND, lifetime := self.latency.sample_lifetime(now)):
            self.latency.update(now)
        best, fastest, median = None, 0, self.latency.median
        # Where a connection carries many queries, only one upstream is used of each zone other than the first
        # and the home zones, and a query goes no further than the zone after home: otherwise these queries
        # would take all connections.
        zones, few_connections = self.group.zones(now), self.permits.streams_per_connection > 1
        # A query restricted to zones does not fail over from them.
        if (allowed_zones := query.terms.zones) is not None:
            zones = [zone for zone in self.group.zone_order if zone in allowed_zones]
        for position, zone in enumerate(zones):
            if (
                position
                and best is not None
                and (query.quota_wait or (few_connections and position > len(self.group.home_zones)))
            ):
                break
            single = few_connections and zone not in (zones[0], *self.group.home_zones)
            ready, cold = self.candidates(now, query, zone, single)
            pair, zone_mean = (
                self.picker.pair(ready, cold),
                self.latency.zone_mean(now, zone, self.registry.ready[zone]),
            )
            for _ in range(self.PAIR_DRAWS if position < 2 else 1):
                if not (pair := pair or self.picker.pair(ready, [])):
                    break
                chosen = self.picker.better(now, pair, ready, pair[0] in cold)
                expected = chosen.expected_latency(now, median, zone_mean, self.queue_growth, lifetime)
                if chosen in cold:
                    # The work of a query at its reduced capacity, unless its own answers take longer.
                    cold_work = int(
                        self.work(chosen.entry.kind) / self.cold_budget.capacity_share(now, chosen)
                    )
                    expected = max(cold_work, expected) if chosen.samples else cold_work
                if expected <= accepted:
                    return chosen, expected
                if best is None or expected < fastest - self.shortest_agreed * (best.entry.zone != zone) // 4:
                    best, fastest = chosen, expected
                ready, pair = [upstream for upstream in ready if upstream is not chosen], []
        return best, fastest

    def candidates(
        self, now: int, query: Query, zone: int, single: bool
    ) -> tuple[list[Upstream], list[Upstream]]:
        """The upstreams of a zone that may get a query: warm ones, and at most one cold one in its budget."""
        ready = self.registry.subset(now, zone, self.latency.arrival_times, single)
        cold = [upstream for upstream in self.registry.cold[zone] if self.allows(now, upstream)]
        if query.attempts or query.earlier or query.terms.restricted:
            permitted = [
                upstream
                for upstream in self.registry.warm[zone] + cold
                if self.held.may_go_to(query, upstream)
            ]
            cold = [upstream for upstream in cold if upstream in permitted]
            ready = [upstream for upstream in ready if upstream in permitted] or [
                upstream for upstream in permitted if upstream not in cold
            ]
        return ready, self.picker.draw(cold)

    def work(self, kind: int) -> int:
        """The work of a query on a kind of machine (ns), without queueing, which is part of the latencies."""
        latency, intervals = self.latency, sorted(self.latency.intervals_by_kind[kind])
        return max(
            1, min(latency.lower_quartile, latency.baseline, latency.initial, intervals[len(intervals) // 4])
        )

    def allows(self, now: int, upstream: Upstream) -> bool:
        """Whether the slow-start rule permits one more query."""
        return self.cold_budget.allows(now, upstream, self.work(upstream.entry.kind))

    def dispatch(self, now: int, query: Query, upstream: Upstream) -> Decision:
        attempt = len(query.attempts)
        if now < upstream.warm_at:
            upstream.cold_dispatch_times.append(now)
        upstream.in_flight[query.number, attempt] = (now, len(upstream.in_flight))
        query.attempts.append((upstream, now))
        query.in_flight.add(attempt)
        return ("dispatch", query.number, upstream.entry.upstream, query.hard_stop_at - now)

    def answer(self, now: int, query: Query, after: int) -> Decision:
        """Bounces a query if a retry is harmless, with a jittered delay by `after` (ns); else aborts it."""
        bounce = self.held.may_bounce(query)
        self.close(query)
        delay = min(max(after, self.MIN_RETRY_NS), self.permits.max_retry_delay_ns) * self.random_uniform(
            0.75, 1.0
        )
        return ("bounce", query.number, int(delay)) if bounce else ("abort", query.number)

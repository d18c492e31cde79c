"""Checks the balancer against a plain model of the four rules, on generated event sequences."""

from random import Random

import pytest

from maddercart import interface as i
from tests.helpers import COLD_RULE, MS, BalancerHarness, entry, offering, permits

NEVER_RAN = (i.REJECTED, i.UNREACHABLE, i.NOT_WRITTEN)


class RulesModel:
    """Checks decisions by the rules alone; it shares no code with the balancer."""

    def __init__(self, offerings: list[i.Offering], permits: i.BalancerOptions) -> None:
        self.offerings, self.permits = offerings, permits
        # By query number.
        self.offering_of: dict[int, int] = {}
        self.hard_stops: dict[int, int] = {}
        # Per dispatch: [upstream, sent at, outcome (0: in flight)].
        self.sent: dict[int, list[list[int]]] = {}
        self.answered: set[int] = set()
        self.listed: dict[int, i.ListEntry] = {}

    def check_dispatch(self, now: int, query: int, upstream: int) -> None:
        terms, sent = self.offerings[self.offering_of[query]], self.sent[query]
        assert query not in self.answered and now < self.hard_stops[query]
        assert self.listed[upstream].condition == i.READY
        assert len(sent) < self.permits.max_dispatches
        in_flight = [dispatch for dispatch in sent if dispatch[2] == 0]
        ran = [dispatch for dispatch in sent if dispatch[2] not in NEVER_RAN]
        assert not in_flight
        if ran and terms.effect == i.IRREVERSIBLE:
            pytest.fail("irreversible, and an earlier dispatch may have run")
        if ran and terms.effect == i.LABELLED:
            assert now - min(dispatch[1] for dispatch in ran) < terms.deduplication_window_ns
            for dispatch in ran:
                here, there = self.listed[upstream], self.listed[dispatch[0]]
                assert terms.deduplication_scope != i.SAME_ZONE or here.zone == there.zone
                assert terms.deduplication_scope != i.SAME_CELL or here.cell == there.cell
        sent.append([upstream, now, 0])

    def check_answer(self, query: int, bounced: bool) -> None:
        terms = self.offerings[self.offering_of[query]]
        ran = [dispatch for dispatch in self.sent[query] if dispatch[2] not in NEVER_RAN]
        assert query not in self.answered
        if bounced and ran:
            assert terms.effect == i.REDOABLE or (terms.effect, terms.deduplication_scope) == (
                i.LABELLED,
                i.EVERYWHERE,
            )
        self.answered.add(query)


def check(rules: RulesModel, host: BalancerHarness, decisions: list[i.Decision]) -> None:
    for decision in decisions:
        match decision:
            case ("dispatch", int(query), int(upstream), _):
                rules.check_dispatch(host.now, query, upstream)
            case ("bounce", int(query), _):
                rules.check_answer(query, True)
            case ("abort", int(query)):
                rules.check_answer(query, False)


@pytest.mark.parametrize("seed", range(60))
def test_rules_hold_on_generated_event_sequences(seed: int) -> None:
    random = Random(seed)
    offerings = [
        offering(effect, random.choice([i.EVERYWHERE, i.SAME_ZONE, i.SAME_CELL]),
                 earnings=random.random(), deduplication_window_ns=random.choice([50, 200, 1000]) * MS)
        for effect in (i.REDOABLE, i.LABELLED, i.IRREVERSIBLE)
    ]  # fmt: skip
    allowed = permits(
        max_dispatches=random.randint(1, 4), may_cancel=random.random() < 0.5,
        may_probe=random.random() < 0.5, max_retry_delay_ns=random.choice([0, i.SECOND]),
    )  # fmt: skip
    zones = random.randint(1, 3)
    entries = [entry(n, n % zones) for n in range(random.randint(0, 6))]
    rules = RulesModel(offerings, allowed)
    rules.listed = {listed.upstream: listed for listed in entries}
    host = BalancerHarness(entries, zones, seed, offerings=offerings, permits=allowed)
    places = list(range(zones))  # the current number of each zone
    failure_rates = {listed.upstream: random.random() for listed in entries}
    for _ in range(600):
        until = host.now + random.randrange(1, 20) * MS
        while host.now < until:
            check(rules, host, host.advance(max(0, min(until, host.wake_at) - host.now)))
        action = random.random()
        if action < 0.5:
            kind, remaining = random.randrange(3), random.choice([random.randrange(1, 50), 400, 900]) * MS
            rules.offering_of[host.queries + 1] = kind
            rules.hard_stops[host.queries + 1] = host.now + remaining
            rules.sent[host.queries + 1] = []
            check(rules, host, host.take(kind, remaining))
        elif action < 0.55:
            n = random.randrange(8)
            launched = host.now if random.random() < 0.3 else 0
            condition = random.choice([i.READY, i.READY, i.DRAINING, i.GONE])
            listed = entry(n, n % zones, condition, launched)._replace(zone=places[n % zones])
            rules.listed[n] = listed
            host.balancer.update_list(host.now, [listed], False)
            check(rules, host, host.pull_decisions())
        elif action < 0.56:
            moved = random.sample(range(zones), zones)
            places = [moved[place] for place in places]
            rules.listed = {n: listed._replace(zone=moved[listed.zone]) for n, listed in rules.listed.items()}
            place = i.SidecarPosition(seed % 3, 3, 0, zones)
            host.balancer.reconfigure(host.now, place, offerings, COLD_RULE, allowed, moved, [0])
            check(rules, host, host.pull_decisions())
        elif action < 0.58 and rules.hard_stops:
            query = random.choice(list(rules.hard_stops))
            if query not in rules.answered:
                host.balancer.client_left(host.now, query)
                rules.answered.add(query)
                check(rules, host, host.pull_decisions())
        for upstream in [upstream for upstream in host.probes if random.random() < 0.4]:
            check(rules, host, host.end_probe(upstream, random.random() > failure_rates.get(upstream, 0.0)))
        for (query, attempt), (upstream, sent, limit) in list(host.outstanding.items()):
            if host.now - sent >= limit:
                outcome = i.TIMED_OUT
            elif random.random() < 0.2:
                bad = random.random() < failure_rates.get(upstream, 0.5)
                outcome = random.choice([2, 3, 5, 6]) if bad else i.DONE
            else:
                continue
            rules.sent[query][attempt][2] = outcome
            ended = query in rules.answered or outcome == i.DONE
            if outcome == i.DONE:
                rules.answered.add(query)
            check(rules, host, host.end_dispatch(query, attempt, outcome, ended))
        for query, stop in rules.hard_stops.items():
            waits = any(dispatch[2] == 0 for dispatch in rules.sent[query])
            assert query in rules.answered or waits or host.now <= stop, "a query was lost"


@pytest.mark.parametrize(("sidecars", "heavy"), [(1, 1.0), (3, 0.9), (6, 0.2), (40, 0.1), (40, 0.8)])
def test_sidecars_together_do_not_overload_a_cold_upstream(sidecars: int, heavy: float) -> None:
    """Guards the cold budget over any window, while each sidecar knows only what it sends itself.

    One sidecar has the share `heavy` of the traffic, and half of them learn of the cold upstream two seconds
    late. Each upstream processes one query at a time, the cold one as fast as the others, so that only the
    budget limits what it gets.
    """
    work, cold = 50 * MS, entry(0, started_at=100 * i.SECOND)
    warm = [entry(n) for n in range(1, 4)]
    hosts = [BalancerHarness(warm + [cold] * (n % 2 == 0), 1, n, sidecars) for n in range(sidecars)]
    random, arrived, ends, free = Random(sidecars), [], {}, [0] * 4
    for step in range(2000):
        first = random.random() < heavy
        taker = 0 if first else random.randrange(sidecars)
        for n, host in enumerate(hosts):
            host.now += 5 * MS
            if step == 400:
                host.balancer.update_list(host.now, [cold], False)
            if n == taker:
                host.take()
            for (query, attempt), (upstream, sent, _) in list(host.outstanding.items()):
                if sent == host.now:
                    free[upstream] = max(host.now, free[upstream]) + work
                    ends[n, query, attempt] = free[upstream]
                    arrived += [host.now] * (upstream == 0)
                if host.now >= ends[n, query, attempt]:
                    host.end_dispatch(query, attempt, i.DONE)
            host.advance(0)
    assert arrived
    for at in arrived:
        age = at - cold.started_at
        capacity = min(1.0, COLD_RULE.start_share + (1 - COLD_RULE.start_share) * age / COLD_RULE.ramp_ns)
        inside = sum(work for other in arrived if at - COLD_RULE.window_ns < other <= at)
        assert age >= COLD_RULE.ramp_ns or inside <= COLD_RULE.work_multiple * capacity * COLD_RULE.window_ns

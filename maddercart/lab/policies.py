"""Baselines to stand beside the module, in the lab only, and one that sees the world's true state.

They keep rule 2 by the plainest reading of it, know nothing of cold servers' budgets and never eject one."""

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
    ColdRule,
    Decision,
    Entry,
    Offering,
    Permits,
    Place,
    Report,
)  # fmt: skip
from maddercart.lab.servers import GOLDEN
from maddercart.policy.balancer import Balancer

if TYPE_CHECKING:
    from maddercart.lab.sidecars import Ask, Policy, Sidecar
    from maddercart.lab.world import World

NEVER = 1 << 62


class Held:
    __slots__ = ("number", "sent", "stop", "suspect", "terms", "tried")

    def __init__(self, number: int, terms: Offering, stop: int) -> None:
        self.number, self.terms, self.stop = number, terms, stop
        self.tried: list[int] = []
        self.suspect = False


class Baseline:
    """Sends at once to what `pick` says; again, while the rules allow, to another; never bounces before."""

    def __init__(
        self, now: int, seed: int, place: Place, offerings: Sequence[Offering], cold: ColdRule,
        permits: Permits, quotas: Sequence[float] = (),
    ) -> None:  # fmt: skip
        self.chance, self.zone, self.offerings, self.permits = Random(seed), place.zone, offerings, permits
        self.entries: dict[int, Entry] = {}
        self.near: list[Entry] = []  # ready, of the own zone; where there is none, all that are
        self.out: dict[int, int] = {}
        self.queries: dict[int, Held] = {}
        self.said: deque[Decision] = deque([("follow",)] if permits.follow else [])

    def learn(self, now: int, entries: Sequence[Entry], whole: bool) -> None:
        if whole:
            self.entries.clear()
        for entry in entries:
            self.entries[entry.upstream] = entry
            if entry.condition == GONE:
                del self.entries[entry.upstream]
        ready = [entry for entry in self.entries.values() if entry.condition == READY]
        self.near = [entry for entry in ready if entry.zone == self.zone] or ready
        self.laid()

    def laid(self) -> None:
        """The servers to choose from are others now."""

    def list_failed(self, now: int) -> None:
        self.said.append(("follow",))

    def take(
        self, now: int, number: int, offering: int, remaining: int, waited: int = 0, party: int = -1,
        again: bool = False,
    ) -> None:  # fmt: skip
        held = self.queries[number] = Held(number, self.offerings[offering], now + remaining)
        self.place(now, held)

    def may_send(self, now: int, held: Held) -> bool:
        if now >= held.stop or len(held.tried) >= self.permits.dispatches:
            return False
        return not held.suspect or held.terms.effect == REDOABLE

    def place(self, now: int, held: Held) -> None:
        upstream = self.pick(now, held) if self.may_send(now, held) else -1
        if upstream >= 0:
            held.tried.append(upstream)
            self.out[upstream] = self.out.get(upstream, 0) + 1
            self.said.append(("dispatch", held.number, upstream, held.stop - now))
            return
        self.refuse(held)

    def refuse(self, held: Held) -> None:
        del self.queries[held.number]
        terms = held.terms
        safe = terms.effect == REDOABLE or (terms.effect == LABELLED and terms.group == EVERYWHERE)
        bounce = safe or not held.suspect
        self.said.append(
            ("bounce", held.number, self.permits.come_back // 2) if bounce else ("abort", held.number)
        )

    def outcome(
        self, now: int, number: int, upstream: int, shot: int, duration: int, outcome: int, ended: bool,
        report: Report | None,
    ) -> None:  # fmt: skip
        self.out[upstream] = self.out.get(upstream, 1) - 1
        if outcome == DONE:
            self.answered(now, upstream, duration)
        held = self.queries.get(number)
        if held is None:
            return
        if ended:
            del self.queries[number]
            return
        held.suspect = held.suspect or outcome not in NEVER_RAN
        self.place(now, held)

    def answered(self, now: int, upstream: int, duration: int) -> None:
        """For those that learn from it."""

    def left(self, now: int, number: int) -> None:
        self.queries.pop(number, None)

    def probed(self, now: int, upstream: int, ok: bool, duration: int, report: Report | None) -> None:
        """Baselines probe nobody."""

    def woken(self, now: int) -> None:
        """Nor do they wait."""

    def decide(self, now: int) -> Decision | None:
        return self.said.popleft() if self.said else None

    def others(self, held: Held) -> list[Entry]:
        if not held.tried:
            return self.near
        return [entry for entry in self.near if entry.upstream not in held.tried] or self.near

    def pick(self, now: int, held: Held) -> int:
        """The upstream, or -1 if there is none."""
        raise NotImplementedError


class AtRandom(Baseline):
    def pick(self, now: int, held: Held) -> int:
        those = self.others(held)
        return those[int(self.chance.random() * len(those))].upstream if those else -1


class RoundRobin(Baseline):
    """By weight, smoothly: each gains its size, the richest is taken and pays all."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.credit: dict[int, float] = {}

    def laid(self) -> None:
        self.credit = {e.upstream: self.credit.get(e.upstream, self.chance.random()) for e in self.near}

    def pick(self, now: int, held: Held) -> int:
        if not self.near:
            return -1
        total, best, credit = 0.0, -1, self.credit
        for entry in self.near:
            total += entry.size
            credit[entry.upstream] += entry.size
            if best < 0 or credit[entry.upstream] > credit[best]:
                best = entry.upstream
        credit[best] -= total
        return best


class LeastOutstanding(Baseline):
    """Of all in the zone, the one with the fewest of ours out over its size; ties at random."""

    def pick(self, now: int, held: Held) -> int:
        least, best, ties, out = 1e18, -1, 0, self.out
        for entry in self.others(held):
            load = out.get(entry.upstream, 0) / entry.size
            if load < least:
                least, best, ties = load, entry.upstream, 1
            elif load == least:
                ties += 1
                if self.chance.random() * ties < 1:
                    best = entry.upstream
        return best


class TwoChoices(Baseline):
    """Of two at random, the one with fewer of ours out over its size; ties at random."""

    def pick(self, now: int, held: Held) -> int:
        those = self.others(held)
        if len(those) < 2:
            return those[0].upstream if those else -1
        one, two = self.chance.sample(those, 2)
        return one.upstream if self.load(one) <= self.load(two) else two.upstream

    def load(self, entry: Entry) -> float:
        return self.out.get(entry.upstream, 0) / entry.size


class RingHash(Baseline):
    """The next on a ring of a hundred points a server, from a hash of the query's number on."""

    POINTS = 100
    SPAN = (1 << 61) - 1

    def laid(self) -> None:
        points = ((Random(e.upstream * 1000 + n).getrandbits(60), e.upstream)
                  for e in self.near for n in range(max(1, round(self.POINTS * e.size))))  # fmt: skip
        self.ring = sorted(points)
        self.places = [place for place, _ in self.ring]

    def pick(self, now: int, held: Held) -> int:
        if not self.near:
            return -1
        start = bisect(self.places, held.number * 0x9E3779B97F4A7C15 % (1 << 64) >> 4)
        for step in range(len(self.ring)):
            upstream = self.ring[(start + step) % len(self.ring)][1]
            if upstream not in held.tried:
                return upstream
        return self.ring[start % len(self.ring)][1]


class Seer(Baseline):
    """Sees the true state of all servers and what is under way to them, and sends each query to where it will
    be done soonest, within the cold servers' limits; what can't be done in its agreed time is turned away, so
    that it harms no other. The best that is known, not a proof of the best."""

    CROWDED = 0.6  # of the agreed time: from here on those that earn least are turned away first

    world: "World"
    asks: "dict[int, Ask]"

    def laid(self) -> None:
        self.best_earnings = max((terms.earnings for terms in self.offerings), default=1.0)

    def pick(self, now: int, held: Held) -> int:
        world, ask = self.world, self.asks.get(held.number)
        if ask is None:
            return -1
        base, shot = world.network.base, len(held.tried)
        best, soonest = -1, held.terms.agreed - (now - ask.first)
        if held.terms.earnings < self.best_earnings:
            soonest = int(soonest * self.CROWDED)
        for server in world.servers:
            told = self.entries.get(server.number)  # the rule on drains goes by what this sidecar was told
            if told is None or told.condition != READY or server.condition != READY or not server.reachable():
                continue
            if server.failing and (ask.luck + shot * GOLDEN) % 1 < server.failing:
                continue
            took = base[self.zone][server.zone] + base[server.zone][self.zone]
            rate = server.rate(now)
            if server.coming >= server.cores:
                took += (
                    server.backlog
                    * (server.coming - server.cores + 1)
                    / server.coming
                    / (rate * server.cores)
                )
            crowd = 1 + server.crowd_cost * max(0.0, (server.coming + 1) / server.cores - server.crowd_from)
            took += ask.work * crowd / rate
            if server.coming >= server.cores + server.room or took >= soonest:
                continue
            if now - server.launched < server.ramp and not world.may_feed(now, server, ask.work):
                continue
            best, soonest = server.number, int(took)
        return best


def balancer(world: "World", host: "Sidecar", **arguments: Any) -> "Policy":
    return Balancer(**arguments)


def baseline(kind: type[Baseline]) -> Callable[..., "Policy"]:
    def make(world: "World", host: "Sidecar", **arguments: Any) -> "Policy":
        return kind(**arguments)

    return make


def seer(world: "World", host: "Sidecar", **arguments: Any) -> "Policy":
    made = Seer(**arguments)
    made.world, made.asks = world, host.held
    return made


POLICIES: dict[str, Callable[..., "Policy"]] = {
    "module": balancer,
    "random": baseline(AtRandom),
    "round_robin": baseline(RoundRobin),
    "least_outstanding": baseline(LeastOutstanding),
    "two_choices": baseline(TwoChoices),
    "ring_hash": baseline(RingHash),
    "bound": seer,
}

__all__ = ["IRREVERSIBLE", "MILLISECOND", "POLICIES", "Baseline"]

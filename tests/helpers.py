"""A host small enough to read: it makes the calls, pulls the decisions and keeps what is out."""

from random import Random
from typing import Any

from maddercart import interface as i
from maddercart.logic import Balancer

MS = i.MILLISECOND


def offering(effect: int = i.REDOABLE, group: int = i.EVERYWHERE, **more: Any) -> i.Offering:
    terms = {"window": i.SECOND, "agreed": 400 * MS, "earnings": 1.0, "late_earnings": 0.0} | more
    return i.Offering(effect, group, **terms)


def entry(upstream: int, zone: int = 0, condition: int = i.READY, launched: int = 0) -> i.Entry:
    return i.Entry(upstream, zone, 0, zone * 10 + upstream % 2, condition, 1.0, launched)


def permits(**more: Any) -> i.Permits:
    allowed = {"dispatches": 3, "cancel": True, "probes": False, "come_back": i.SECOND}
    return i.Permits(**(allowed | {"follow": True} | more))


COLD = i.ColdRule(start=0.2, ramp=10 * i.SECOND, multiple=3.0, window=i.SECOND)


class Host:
    """Drives one balancer by hand."""

    def __init__(self, entries: list[i.Entry], zones: int = 2, seed: int = 1, sidecars: int = 3, **more: Any):
        self.now = 100 * i.SECOND
        arguments = {"offerings": [offering()], "cold": COLD, "permits": permits()} | more
        place = i.Place(number=seed % sidecars, sidecars=sidecars, zone=0, zones=zones)
        self.balancer = Balancer(self.now, seed, place=place, **arguments)
        self.chance = Random(seed)
        self.queries = 0
        self.shots: dict[int, int] = {}
        self.out: dict[tuple[int, int], tuple[int, int, int]] = {}  # dispatch: upstream, sent, limit
        self.probes: list[int] = []
        self.wake_at = 1 << 62
        self.balancer.learn(self.now, entries, True)
        self.pull()

    def pull(self) -> list[i.Decision]:
        made = []
        while (decision := self.balancer.decide(self.now)) is not None:
            made.append(decision)
            match decision:
                case ("dispatch", int(query), int(upstream), int(limit)):
                    shot = self.shots[query] = self.shots.get(query, -1) + 1
                    self.out[query, shot] = (upstream, self.now, limit)
                case ("probe", int(upstream)):
                    self.probes.append(upstream)
                case ("wake", int(after)):
                    self.wake_at = self.now + after
        return made

    def take(self, kind: int = 0, remaining: int = i.SECOND) -> list[i.Decision]:
        self.queries += 1
        self.balancer.take(self.now, self.queries, kind, remaining)
        return self.pull()

    def end(self, query: int, shot: int, outcome: int, ended: bool | None = None) -> list[i.Decision]:
        upstream, sent, _ = self.out.pop((query, shot))
        over = outcome == i.DONE if ended is None else ended
        self.balancer.outcome(self.now, query, upstream, shot, self.now - sent, outcome, over, None)
        return self.pull()

    def probed(self, upstream: int, ok: bool) -> list[i.Decision]:
        self.probes.remove(upstream)
        self.balancer.probed(self.now, upstream, ok, MS, None)
        return self.pull()

    def run(self, span: int) -> list[i.Decision]:
        """Time passes; the wake-ups that were asked for come."""
        made, until = self.pull(), self.now + span
        while self.wake_at <= until:
            self.now, self.wake_at = max(self.now, self.wake_at), 1 << 62
            self.balancer.woken(self.now)
            made += self.pull()
        self.now = until
        return made

"""All decisions of maddercart: zone groups with canary-confirmed failover.

How it is called: `maddercart/interface.py`. Mechanisms beside the design (when: docs/design.md):

 1. surplus      a query crosses zones only while its own zone cannot answer in time and another can
 2. early bounce a query is turned away when no upstream that may get it can answer it in time
 3. paces        the two are drawn by what their kind of machine lately took, and weighed by what they took
 4. own set      a sidecar uses those upstreams that rank highest in a hash of its number and theirs
 5. cold ring    a cold upstream is fed by as many sidecars on the ring as it can bear, a query each
"""

from collections import defaultdict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import chain, islice
from math import log
from random import Random

from maddercart.interface import (
    CANCELLED, DONE, DRAINING, EVERYWHERE, FULL, GONE, IRREVERSIBLE, LABELLED, MILLISECOND, MOOT, NEVER_RAN,
    READY, REDOABLE, RESET, SAME_ZONE, SECOND, TIMED_OUT, UNREACHABLE, ColdRule, Decision, Entry, Offering,
    Permits, Place, Report,
)  # fmt: skip


def rank(sidecar: int, upstream: int) -> float:
    """Over an upstream's size: the less, the sooner it is in a sidecar's set."""
    return -log((mix(sidecar, upstream) + 0.5) / (1 << 32))


def mix(one: int, two: int) -> int:
    """A stable hash of two numbers, the same at every sidecar."""
    mixed = (one * 0x9E3779B1 + two * 0x85EBCA6B + 0x27D4EB2F) & 0xFFFFFFFF
    mixed = (mixed ^ (mixed >> 15)) * 0x2C1B3C6D & 0xFFFFFFFF
    mixed = (mixed ^ (mixed >> 12)) * 0x297A2D39 & 0xFFFFFFFF
    return mixed ^ (mixed >> 15)


class Upstream:
    """One upstream as this sidecar knows it: its line on the list and what came back from it."""

    SAMPLES = 8  # enough for a median that one odd answer cannot move, few enough to follow a change
    MANY = 32  # answers, the time between which is known within a fifth
    FEW = 4  # fewer answers than this are filled up with the middle one of all: one odd answer is no queue
    TOLD = 4  # a list a second: the last figure alone tells nothing of the next answer, more are too old
    HEARD = SECOND // 2  # an older report, or answer, tells of a queue that has turned

    def __init__(self, entry: Entry, out: dict[tuple[int, int], tuple[int, int]]) -> None:
        self.entry, self.size, self.told, self.warm_at, self.spent_until = entry, 1.0, 1.0, 0, 0
        self.rank = 0.0  # by our number, once it was ready: the list of 1,200 is laid anew at each change
        self.shares: deque[float] = deque(maxlen=self.TOLD)  # 1 over the list's last figures of it
        self.most = self.crowd = 0.0  # the figure when it was idle; held a core, and one more
        self.out = out  # dispatch: when sent, how many were out
        self.samples: deque[tuple[int, int, int]] = deque(maxlen=self.SAMPLES)  # end, duration, out then
        self.ends: deque[int] = deque(maxlen=self.MANY)  # when the last answers came
        self.sent_cold: deque[int] = deque()  # when it was sent each of the last queries while cold
        self.report: tuple[int, Report] | None = None  # when heard
        self.failures = self.pauses = self.full_at = 0  # in a row, below 0 successes; since it was last well
        self.broke, self.unsure = False, (0, 0)  # refused or broke, no answer since; cold until, and then
        self.canary_due, self.canary_out, self.probe_out = 0, False, False  # due: set while ejected

    def renumber(self, zones: Sequence[int], kinds: Sequence[int]) -> None:  # -1: there is none any more
        zone, kind, self.unsure, self.rank = self.entry.zone, self.entry.kind, (0, 0), 0.0
        zone = zones[zone] if 0 <= zone < len(zones) else -1
        self.entry = self.entry._replace(zone=zone, kind=kinds[kind] if kind < len(kinds) else kind)

    def lives(self, now: int) -> bool:  # it has answered lately, or the list tells that it holds something
        answered = bool(self.samples) and now - self.samples[-1][0] < self.HEARD
        return answered or (self.crowd > 0 and self.shares[-1] * self.most > 1)

    def reported(self, now: int, typical: int) -> int:  # by its report, while that is fresh
        at, told = self.report or (now - self.HEARD, Report(-1, -1, -1, -1))
        held = max(self.size, told.held + 1, told.waiting + self.size) if now - at < self.HEARD else 0
        return int(typical * held / self.size)

    def expected(self, now: int, typical: int, pace: int, growth: float, fresh: int) -> int:
        """Of one more query here: by its last answers while fresh, else its zone's; `growth` is a root."""
        out, fade, here = len(self.out), 0.0, 0.0
        if self.samples:
            durations = [duration for _, duration, _ in self.samples]
            durations = sorted(durations + [typical] * (self.FEW - len(durations)))
            base = durations[len(durations) // 2]
            then = sum([then for _, _, then in self.samples]) / len(self.samples)
            fade = max(0.0, 1 - (now - self.samples[-1][0]) / fresh)
            each = base / max(self.size, then + 1)
            here = max(base + growth * (out - then) * each, each)  # a queue that has gone turns none away
        else:
            pace += int(max(0.0, (growth * out + 1) / self.size - 1) * typical)
        estimate = fade * here + (1 - fade) * max(pace, self.reported(now, typical))
        return int(max(estimate, now - next(iter(self.out.values()))[0] if self.out else 0))


class Roster:
    """The list as it was told, and which upstreams of it this sidecar uses."""

    LEAST = 3  # upstreams used of a zone: a pick of two, and one more to compare them with
    MEET = SECOND  # and as many as get a query of ours within this time: then their answers are fresh

    DRAINED = 4096  # twice the upstreams of the largest fleet: the oldest have long gone
    HUGE = 1e6  # a size beyond any machine's: such a figure, or none, counts as 1

    def __init__(self, place: Place, cold: ColdRule, moving: bool) -> None:
        self.by_id: dict[int, Upstream] = {}
        self.drained: dict[int, int] = {}  # who was seen draining, where that alone binds: launched when
        self.place(place, cold, moving)

    def place(self, place: Place, cold: ColdRule, moving: bool) -> None:
        self.number, self.ramp, self.window, self.moving = place.number, cold.ramp, cold.window, moving
        self.zones: list[list[Upstream]] = [[] for _ in range(place.zones)]  # those ready, by rank
        self.usable = self.cold = self.zones  # of these the warm ones and the cold ones, none ejected
        self.sort_at = 0  # when the next one is warm

    def learn(self, now: int, entries: Sequence[Entry], whole: bool, sticky: bool = False) -> None:
        """Who drains or is gone leaves at once: the grace is not used. Forgotten once nothing rests on it."""
        if sticky:  # it may be left out, or be called ready by mistake, and binds until it has restarted
            self.drained.update((e.upstream, e.launched) for e in entries if e.condition == DRAINING)
            while len(self.drained) > self.DRAINED:
                del self.drained[next(iter(self.drained))]
            entries = [
                entry._replace(condition=DRAINING) if self.drained.get(entry.upstream, -1) >= entry.launched
                and entry.condition == READY else entry for entry in entries
            ]  # fmt: skip
        for old in self.by_id.values() if whole else ():
            old.entry = old.entry._replace(condition=GONE)
        for entry in entries:
            size, known = entry.size if 0 < entry.size < self.HUGE else 1.0, self.by_id.get(entry.upstream)
            if known is None or entry.launched > known.entry.launched:
                out = known.out if known else {}  # it restarted: all else was of another process
                known = self.by_id[entry.upstream] = Upstream(entry, out)
                known.warm_at = entry.launched + self.ramp if entry.launched else 0
            known.entry, known.told, known.most = entry, size, max(known.most, size)
            known.shares.append(1 / size)
        for number, known in list(self.by_id.items()):
            if known.entry.condition == GONE and not known.out and now >= known.warm_at + self.window:
                del self.by_id[number]
        self.arrange()

    def renumber(self, now: int, zones: Sequence[int], kinds: Sequence[int]) -> None:
        """What was told stays told, by the new numbers; what is in no zone any more gets nothing new."""
        for known in self.by_id.values():
            known.renumber(zones, kinds)
            was, known.warm_at = known.warm_at, known.entry.launched and known.entry.launched + self.ramp
            if was <= now < known.warm_at:  # what it was sent meanwhile was not counted
                known.spent_until = now + self.window
        self.arrange()

    def arrange(self) -> None:
        ready = [known for known in self.by_id.values() if known.entry.condition == READY]
        self.weigh(ready)
        for known in ready:
            known.rank = known.rank or rank(self.number, known.entry.upstream)
        ready.sort(key=lambda known: known.size / known.rank, reverse=True)
        self.zones = [[k for k in ready if k.entry.zone == zone] for zone in range(len(self.zones))]
        self.sort_at = 0

    def weigh(self, ready: list[Upstream]) -> None:
        """The list gives size over what is held; a kind's size is its greatest figure, but a quarter's."""
        most: dict[int, list[float]] = defaultdict(list)
        for known in ready:
            most[known.entry.kind].append(known.most)
            known.size, known.crowd = max(1.0, known.told), 0.0
        if not self.moving:
            return
        sizes = {kind: sorted(those)[3 * (len(those) - 1) // 4] for kind, those in most.items()}
        for known in ready:
            known.size = sizes[known.entry.kind]
            known.crowd = max(1.0, known.size * sum(known.shares) / len(known.shares))

    def sort(self, now: int) -> None:  # due after a change of the list, an ejection, a return, warmth
        for known in [known for known in chain(*self.zones) if 0 < known.unsure[0] <= now]:
            known.warm_at, known.unsure = known.unsure[1], (0, 0)  # the list has told of no restart
        well = [[known for known in zone if not known.canary_due] for zone in self.zones]
        self.usable = [[known for known in zone if known.warm_at <= now] for zone in well]
        self.cold = [[known for known in zone if known.warm_at > now] for zone in well]
        self.sort_at = min((known.unsure[0] or known.warm_at for known in chain(*self.cold)), default=1 << 62)

    def members(self, now: int, zone: int, taken: Sequence[int], abroad: bool) -> list[Upstream]:
        """Those of a zone that we use, by our rate where no list tells loads; abroad one, see `choose`."""
        met = 0 if self.moving else len(taken) * self.MEET // max(SECOND, now - taken[0])
        return self.usable[zone][: 1 if abroad else max(self.LEAST, met)]


class Answers:
    """What the last answers of all upstreams tell: times, and how much of it is still true."""

    FRESH = 12 * SECOND  # a sample fades as long: with little traffic an old one is better than none
    CALM = 60  # seconds: a crowd that lasts as long as a deploy must not hide what a query takes without it
    SPANS = 8  # of the last queries: with much traffic it fades as fast as some hundreds of them come

    def __init__(self, now: int, unheard: int, taken: deque[int]) -> None:
        self.unheard = self.typical = self.quarter = unheard  # the middle one of the last; the lower quarter
        self.settled, self.taken = now, taken  # when the last queries came: our own rate
        self.quarters, self.calm, self.calm_at = [unheard], unheard, now  # one a second, and of these
        self.durations: deque[tuple[int, int]] = deque(maxlen=32)  # the last answers: end, duration
        # By machine kind: how long the last took, and their mean, which is what candidates are drawn by.
        self.kinds: dict[int, deque[int]] = defaultdict(lambda: deque([unheard] * 4, maxlen=16))
        self.kind_paces: dict[int, float] = defaultdict(lambda: unheard + 1.0)
        self.last: dict[int, deque[tuple[int, int]]] = defaultdict(lambda: deque(maxlen=16))  # by zone
        # By kind: time between an upstream's answers, over many, for a size of one. None took more of it.
        self.gaps: dict[int, deque[int]] = defaultdict(lambda: deque([unheard] * 32, maxlen=32))

    def fresh(self, now: int) -> int:
        return max(1, min(self.FRESH, self.SPANS * (now - self.taken[0])))

    def add(self, now: int, entry: Entry, duration: int, ends: Sequence[int] = (), size: float = 1.0) -> None:
        # By its size, or that counted twice; not by what was read at once, after a standstill.
        if len(ends) == Upstream.MANY and (span := now - ends[0]) >= duration:
            self.gaps[entry.kind].append(int(span * size) // (Upstream.MANY - 1))
        self.last[entry.zone].append((now, duration))
        (took := self.kinds[entry.kind]).append(duration)
        self.kind_paces[entry.kind] = (1 + sum(took)) / len(took)
        self.durations.append((now, duration))
        self.settle(now)

    def lately(self, now: int, answers: deque[tuple[int, int]]) -> list[int]:
        since = now - self.fresh(now)
        return [duration for at, duration in answers if at > since]

    def settle(self, now: int) -> None:  # old figures go: who turned all away for them never saw new ones
        self.settled, durations = now, self.lately(now, self.durations)
        durations = sorted(durations + [self.unheard] * (8 - len(durations)))
        self.typical, self.quarter = durations[len(durations) // 2], durations[len(durations) // 4]
        if now - self.calm_at >= SECOND:
            self.calm_at, self.quarters = now, [*self.quarters[1 - self.CALM :], self.quarter]
            self.calm = sorted(self.quarters)[len(self.quarters) // 4]

    def pace(self, now: int, zone: int, there: Sequence[Upstream]) -> int:
        """What an answer lately took in a zone; a dispatch overdue there counts before its answer comes."""
        took, due = self.lately(now, self.last[zone]), now - self.typical
        took += [now - at for one in there if one.out for at, _ in islice(one.out.values(), 16) if at < due]
        took += [min(self.typical, self.unheard)] * (Upstream.FEW - len(took))
        return sum(took) // len(took)


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


class ColdBudget:
    """Guards against all sidecars together pushing a cold upstream over, with no word between them."""

    HEAVY = 1.5  # a query may be heavier than most: a margin of half keeps a sum of few inside

    def __init__(self, cold: ColdRule, place: Place) -> None:
        self.cold, self.number, self.sidecars = cold, place.number, place.sidecars

    def share(self, now: int, known: Upstream) -> float:  # the least that it can do by now
        missing = min(max(known.warm_at - now, 0), self.cold.ramp) / max(self.cold.ramp, 1)
        return 1 - (1 - self.cold.start) * missing

    def allows(self, now: int, known: Upstream, work: int) -> bool:
        """Dealt out in whole queries along the ring of sidecars, from a hash of its id on: parts add up."""
        if now < known.spent_until or now - self.cold.window >= known.warm_at:
            return now >= known.spent_until
        share = self.share(now - self.cold.window, known) * self.cold.multiple
        queries = int(share * known.size * self.cold.window / (work * self.HEAVY))
        place = (self.number - mix(known.entry.upstream, 0)) % self.sidecars
        part = queries // self.sidecars + (place < queries % self.sidecars)
        while known.sent_cold and known.sent_cold[0] <= now - self.cold.window:
            known.sent_cold.popleft()
        return len(known.sent_cold) < part


class Health:
    """Judges each answer, ejects an upstream and lets it back after a canary."""

    IN_A_ROW = 3  # the design's starting value
    WELL = 8  # good answers in a row after which its next ejection counts as its first
    LAG = 4  # an answer this many times slower than the fleet's middle one is no success
    CANARY_EVERY, CANARY_MOST = SECOND // 2, 4 * SECOND  # a crashed process takes seconds to come back

    def __init__(self, chance: Random) -> None:
        self.spread = chance.uniform
        self.ejected: dict[int, Upstream] = {}

    def judge(self, now: int, known: Upstream, good: bool) -> bool:  # true if it ejects the upstream
        known.failures = min(0, known.failures - 1) if good else max(0, known.failures) + 1
        known.pauses *= known.failures > -self.WELL
        if ejects := not known.canary_due and known.failures >= self.IN_A_ROW:
            self.postpone(now, known)
        return ejects

    def postpone(self, now: int, known: Upstream) -> None:
        # Grows by each canary that fails too: many sidecars asking one dead process cost a query each.
        known.pauses, known.canary_out = known.pauses + 1, False
        pause = min(self.CANARY_EVERY * known.pauses, self.CANARY_MOST)
        known.canary_due = now + int(pause * self.spread(0.8, 1.2))
        self.ejected[known.entry.upstream] = known

    def canary(self, now: int, known: Upstream, good: bool) -> None:
        if not good:
            return self.postpone(now, known)
        self.ejected.pop(known.entry.upstream, None)
        known.canary_due, known.canary_out, known.failures = 0, False, 0


PRIMARY, FAILOVER, BACKUP, RECOVERY = "PRIMARY", "FAILOVER", "BACKUP", "RECOVERY"


class Group:
    """The zones that are home, those that stand in, and which of them get the traffic."""

    FAILURES = 6  # twice what ejects one upstream: no single one can bring the group down
    WITHIN = 3 * SECOND  # of the same order as the canaries' pauses: older failures are another story
    STRETCH = 2 * SECOND  # where the count takes too long; one failure and then silence is no evidence
    RECOVER, RECOVER_MOST = SECOND, 8 * SECOND  # small at first: a needless move is soon undone
    CANARY_WAIT = SECOND  # a canary that could not be sent or said nothing goes on to the next backup
    RISE = 3 * SECOND  # the share of the primary after its return goes from none to all

    def __init__(self, place: Place, chance: Random) -> None:
        self.spread, self.draw = chance.uniform, chance.random
        self.place(place)
        self.state, self.serving = PRIMARY, place.zone  # serving: the backup that is asked or stands in
        self.told = PRIMARY  # the state last noted: a canary changes it between two steps
        self.failed: deque[int] = deque(maxlen=self.FAILURES)  # times of the failures in a row
        self.entries, self.timer, self.returned = 0, 0, -self.RISE
        self.canary_zone: int | None = None
        self.canary_sent, self.canary_until = False, 0

    def place(self, place: Place) -> None:
        self.order = sorted(range(place.zones), key=lambda z: (z != place.zone, mix(place.number, z)))
        self.home, self.backups = self.order[:1], self.order[1:]

    def renew(self, now: int, place: Place, zones: Sequence[int]) -> None:
        """A state that rests on a zone that there is no more, or that is home now, is over."""
        away, self.canary_zone = self.serving, None
        self.place(place)
        self.serving = zones[away] if away < len(zones) and zones[away] >= 0 else place.zone
        if self.state != PRIMARY and self.serving == place.zone:
            self.enter_primary(now - self.RISE)

    def lay(self, zones: Sequence[Sequence[Upstream]]) -> None:  # ours, and the next while it is small
        part, count = sum(map(len, zones)) // len(zones), 1
        while sum(len(zones[zone]) for zone in self.order[:count]) < part:
            count += 1
        self.home, self.backups = self.order[:count], self.order[count:]

    def zones(self, now: int) -> list[int]:  # those that ordinary traffic goes to first
        if self.state == FAILOVER:
            return self.home
        if self.state == PRIMARY:
            since = now - self.returned
            if since < self.RISE and self.serving not in self.home and self.draw() * self.RISE > since:
                return [self.serving, *self.home]
            return self.order
        return [self.serving, *(zone for zone in self.backups if zone != self.serving)]

    def heard(self, now: int, zone: int, good: bool) -> None:  # of an ordinary dispatch
        if zone not in (self.home if self.state in (PRIMARY, FAILOVER) else (self.serving,)):
            return
        if not good:
            self.failed.append(now)
        elif self.state == FAILOVER:
            self.enter_primary(self.returned)
        else:
            self.failed.clear()

    def step(self, now: int) -> str | None:  # a note if the state is not the one last told
        count, since = len(self.failed), now - self.failed[0] if self.failed else 0
        failing = (count == self.FAILURES and since <= self.WITHIN) or (count > 1 and since >= self.STRETCH)
        if self.state != PRIMARY and self.serving in self.home:  # the list has changed
            self.enter_primary(now - self.RISE)
        elif self.state == PRIMARY and failing and self.backups:
            self.state, self.serving, self.timer = FAILOVER, self.backups[0], now
        elif self.state == BACKUP and (now >= self.timer or failing):
            self.failed.clear()
            self.state, self.timer = RECOVERY, now
        if self.state in (FAILOVER, RECOVERY) and self.canary_zone is None and now >= self.timer:
            self.canary_zone = self.order[0] if self.state == RECOVERY else self.serving
            self.canary_sent, self.canary_until = False, now + self.CANARY_WAIT
        elif self.canary_zone is not None and now >= self.canary_until:
            self.canary(now, False)
        before, self.told = self.told, self.state
        return f"{before} to {self.state}" if self.state != before else None

    def due(self, now: int) -> int:  # when to step, if nothing comes in before
        if self.canary_zone is not None or self.state in (BACKUP, FAILOVER):
            return self.timer if self.canary_zone is None else self.canary_until
        stretched = self.failed[0] + self.STRETCH if len(self.failed) > 1 else 0
        return stretched if stretched > now else 1 << 62

    def canary(self, now: int, good: bool) -> None:
        self.canary_zone = None
        if self.state == FAILOVER and not good:
            tried = self.order.index(self.serving) - len(self.home) + 1
            self.serving = self.backups[tried % len(self.backups)]
            if tried % len(self.backups) == 0:  # refused in a millisecond, each round began the next at once
                self.timer = now + int(self.RECOVER * self.spread(0.8, 1.2))
        elif self.state == RECOVERY and good:
            self.enter_primary(now)
        else:
            self.entries += self.state == FAILOVER
            self.failed.clear()
            self.state = BACKUP
            wait = min(self.RECOVER * self.entries, self.RECOVER_MOST)
            self.timer = now + int(wait * self.spread(0.8, 1.2))

    def enter_primary(self, returned: int) -> None:
        self.state, self.canary_zone, self.returned = PRIMARY, None, returned
        self.failed.clear()


class Pick:
    """Of two random ready upstreams, the one with less in flight from us plus reported, by its pace."""

    AGE = 2 * SECOND  # a report counts in full when new and not at all from this age on

    def __init__(self, chance: Random) -> None:
        self.draw, self.choices, self.kind_paces = chance.random, chance.choices, dict[int, float]()

    def load(self, now: int, known: Upstream, others: Sequence[Upstream] = ()) -> float:
        if known.report is None and not known.crowd:  # what was never heard of takes the others' mean
            heard = [self.load(now, other) for other in others if other.report or other.samples]
            return len(known.out) + (0.0 if known.samples else sum(heard) / max(1, len(heard)))
        at, report = known.report or (now - self.AGE, None)
        weight = max(0.0, 1 - (now - at) / self.AGE)
        told = max(0.0, known.crowd - 1) * known.size * (1 - weight)  # by the list, where that tells it
        return len(known.out) + told + (weight * max(report.held, report.waiting, 0.0) if report else 0.0)

    def pair(self, ready: list[Upstream], fed: list[Upstream]) -> list[Upstream]:
        """Two at random, or the cold one that is ours to feed and one at random."""
        first = fed or (self.one(ready) if len(ready) > 2 else ready)
        return first + self.one([known for known in ready if known not in first])

    def one(self, known: list[Upstream]) -> list[Upstream]:
        if len(known) < 2:
            return known
        return self.choices(known, [other.size / self.kind_paces[other.entry.kind] for other in known])

    def better(self, now: int, pair: list[Upstream], ready: list[Upstream], ahead: int = 0) -> Upstream:
        """Ties go at random; the first may have so many queries more in flight."""
        if len(pair) < 2:
            return pair[0]
        first, second = (self.load(now, known, ready) + 1 for known in pair[:2])
        more = (first - ahead) * self.pace(pair[0]) - second * self.pace(pair[1])
        return pair[0] if more < 0 or (more == 0 and self.draw() < 0.5) else pair[1]

    def pace(self, known: Upstream) -> float:  # what one query takes there, by its place in our queue
        took = [(duration + 1) / (then + 1) for _, duration, then in known.samples]
        took += [self.kind_paces[known.entry.kind]] * (known.FEW - len(took))
        return sorted(took)[len(took) // 2] / known.size


@dataclass(slots=True, eq=False)
class Query:
    number: int
    terms: Offering
    room: int  # how long an answer may be expected to take
    stop: int  # after this time nothing may be said
    agreed: int
    most: int  # dispatches, as was allowed when it was taken
    beyond: int = 0  # how long until its party's share allows it
    sent: list[tuple[Upstream, int]] = field(default_factory=list)  # each dispatch: where and when
    out: set[int] = field(default_factory=set)  # numbers of the dispatches without an outcome
    suspects: set[int] = field(default_factory=set)  # those that ended and may have run
    canary: bool = False  # its first dispatch is one
    ended: bool = False  # what is still out is no use any more


class Ledger:
    """Keeps the promises made with each offering."""

    def __init__(self) -> None:
        self.queries: dict[int, Query] = {}

    def may_send(self, now: int, query: Query) -> bool:  # only ever one is out
        return not query.out and self.may_repeat(now, query, query.suspects)

    def may_repeat(self, now: int, query: Query, suspects: set[int], made: int = 0) -> bool:  # if these ran
        if query.ended or now >= query.stop or len(query.sent) - made >= query.most:
            return False
        if suspects and query.terms.effect == LABELLED:
            return now - query.sent[min(suspects)][1] < query.terms.window
        return not suspects or query.terms.effect == REDOABLE

    def may_go_to(self, query: Query, known: Upstream) -> bool:  # never one twice; repeats stay there
        if any(known is where for where, _ in query.sent) or not query.terms.open_to(known.entry):
            return False
        if query.terms.effect != LABELLED or query.terms.group == EVERYWHERE:
            return True
        place = "zone" if query.terms.group == SAME_ZONE else "cell"
        suspects = [query.sent[shot][0].entry for shot in query.suspects]
        return all(getattr(entry, place) == getattr(known.entry, place) for entry in suspects)

    def may_bounce(self, query: Query) -> bool:
        anywhere = query.terms.effect == LABELLED and query.terms.group == EVERYWHERE
        return anywhere or query.terms.effect == REDOABLE or not (query.out or query.suspects)


class Lines:
    """Queries to be placed: first dispatches, then further ones."""

    def __init__(self) -> None:
        self.first, self.further = deque[Query](), deque[Query]()

    def add(self, query: Query) -> None:
        (self.further if query.sent else self.first).append(query)

    def next(self) -> Query | None:
        return line.popleft() if (line := self.first or self.further) else None


class Balancer:
    SURPLUS = 0.5  # of the shortest agreed time, more by a crossing's price: home over it lets a query cross
    LATE, UNSURE = 0.9, 0.18  # of the shortest agreed time before a bounce: less where sidecars are many
    YIELD, LEAST = 0.15, 0.6  # less of it for each better earning offering, which is left that much room
    BEYOND = 0.35  # at most, for what is beyond its party's share: it earns little, and does not cross
    UNHEARD = 0.25  # of the shortest agreed time: what an answer is taken to need before any was seen
    DRAWS = 3  # pairs drawn in each of the first two zones: one odd pair is no full zone
    # Pauses after failed calls to the list. A change counts as told 6 s after discovery could tell it: the
    # longest pause, spread by half, and two calls that are waited for must fit into that.
    FOLLOW_FIRST, FOLLOW_MOST = SECOND // 2, SECOND
    AFTER, NEWS = 40 * MILLISECOND, 2 * SECOND  # no queue turns sooner; as late as the list may tell
    TICK = 20 * MILLISECOND  # the group's state is not looked at again sooner than this
    NEVER = 1 << 62  # later than any clock

    def __init__(
        self, now: int, seed: int, place: Place, offerings: Sequence[Offering], cold: ColdRule,
        permits: Permits, quotas: Sequence[float] = (),
    ) -> None:  # fmt: skip
        self.spread = (chance := Random(seed)).uniform
        self.roster, self.ledger, self.lines = Roster(place, cold, permits.moving), Ledger(), Lines()
        self.health, self.group = Health(chance), Group(place, chance)
        self.pick, self.taken = Pick(chance), deque([now - Answers.FRESH] * 32, maxlen=32)
        self.said: deque[Decision] = deque()
        self.look_at, self.wake_at = now, self.NEVER  # when there is something to do; the timer that is out
        self.follow_at, self.follow_pause = now if permits.follow else self.NEVER, self.FOLLOW_FIRST
        self.set(now, place, offerings, cold, permits, quotas)

    def set(
        self, now: int, place: Place, offerings: Sequence[Offering], cold: ColdRule, permits: Permits,
        quotas: Sequence[float],
    ) -> None:  # fmt: skip
        self.shortest = min((o.agreed for o in offerings), default=SECOND)
        self.cold, self.shares = ColdBudget(cold, place), Shares(now, quotas, place.sidecars)
        # A canary's effect: where none is redoable a labelled one, or an ejected upstream had no way back.
        # One that is bound to a place only where all are: it could not be tried elsewhere.
        tries = [(o.bound, o.effect) for o in offerings if o.effect != IRREVERSIBLE]
        self.tried = min(tries, default=(False, REDOABLE))[1]
        self.answers = Answers(now, int(self.shortest * self.UNHEARD), self.taken)
        self.pick.kind_paces = self.answers.kind_paces
        self.offerings, self.permits, self.growth = offerings, permits, place.sidecars**0.5
        ranks = [sum(p.earnings > o.earnings for p in offerings) for o in offerings]
        late = self.LATE - self.UNSURE * (1 - 1 / self.growth) ** 2
        shares = [max(late - self.YIELD * rank, self.LEAST) for rank in ranks]
        self.rooms = [int(o.agreed * share) for o, share in zip(offerings, shares, strict=True)]

    def renew(
        self, now: int, place: Place, offerings: Sequence[Offering], cold: ColdRule, permits: Permits,
        zones: Sequence[int], kinds: Sequence[int], quotas: Sequence[float] = (),
    ) -> None:  # fmt: skip
        """Held queries keep their terms; where they were sent is renumbered, or repeats left their group."""
        if permits.follow != self.permits.follow:
            self.follow_at = now if permits.follow else self.NEVER
        for query in self.ledger.queries.values():
            query.terms = query.terms.renumbered(zones, kinds)
        sent = {id(known): known for q in self.ledger.queries.values() for known, _ in q.sent}
        for known in sent.values():
            if self.roster.by_id.get(known.entry.upstream) is not known:
                known.renumber(zones, kinds)
        self.set(now, place, offerings, cold, permits, quotas)
        self.roster.place(place, cold, permits.moving)
        self.roster.renumber(now, zones, kinds)
        self.group.renew(now, place, zones)
        self.group.lay(self.roster.zones)
        self.look_at = now

    def learn(self, now: int, entries: Sequence[Entry], whole: bool) -> None:
        self.roster.learn(now, entries, whole, self.permits.drains)
        self.health.ejected = {n: k for n, k in self.health.ejected.items() if self.roster.by_id.get(n) is k}
        self.group.lay(self.roster.zones)
        self.follow_pause, self.look_at = min(self.FOLLOW_FIRST, self.permits.stale // 8), now

    def list_failed(self, now: int, left: int = NEVER) -> None:
        pause = min(self.follow_pause, max(left // 4, self.FOLLOW_FIRST // 4))
        self.follow_at = now + int(pause * self.spread(0.5, 1.5))
        self.follow_pause = min(2 * self.follow_pause, self.FOLLOW_MOST, self.permits.stale)
        self.look_at = min(self.look_at, self.follow_at)

    def take(
        self, now: int, number: int, offering: int, remaining: int, waited: int = 0, party: int = -1,
        again: bool = False, most: int = 0,
    ) -> None:  # fmt: skip
        terms, room = self.offerings[offering], self.rooms[offering] - waited  # its answer will wait as long
        if beyond := self.shares.beyond(now, party, again):
            room = min(room, int(terms.agreed * self.BEYOND))
        most, came = min(most or 99, self.permits.dispatches), now - waited
        agreed, stop = came + min(remaining, terms.agreed), came + remaining
        self.lines.add(Query(number, terms, room, stop, agreed, most, beyond))
        self.ledger.queries[number] = self.lines.first[-1]
        self.taken.append(now)

    def outcome(
        self, now: int, number: int, upstream: int, shot: int, duration: int, outcome: int, ended: bool,
        report: Report | None,
    ) -> None:  # fmt: skip
        known, query = self.roster.by_id.get(upstream), self.ledger.queries.get(number)
        if known is not None and (sent := known.out.pop((number, shot), None)) is not None:
            known.report = (now, report) if report is not None else known.report
            canary = bool(query and query.canary and not shot)
            if outcome == DONE and not known.canary_out:
                self.give_up(now, known, sent[0])
            if outcome not in (CANCELLED, MOOT):
                self.judge(now, known, outcome, duration, sent, canary)
            elif canary:  # it tells nothing; waited for, it would be the last one that is ever sent
                known.canary_out, self.look_at = False, now
        if query is not None:
            query.out.discard(shot)
            query.suspects.update({shot} if outcome not in NEVER_RAN else ())
            if ended or query.ended:
                self.close(query)
            elif not query.out:
                self.lines.add(query)

    def may_begin(self, now: int, number: int) -> bool:  # its first byte: a connection may come up late
        if not (query := self.ledger.queries.get(number)):
            return True
        placed = not query.sent or query.terms.open_to(query.sent[-1][0].entry)  # it may have moved meanwhile
        return placed and self.ledger.may_repeat(now, query, query.suspects, 1)

    def left(self, now: int, number: int) -> None:
        if query := self.ledger.queries.get(number):
            self.close(query)

    def probed(self, now: int, upstream: int, ok: bool, duration: int, report: Report | None) -> None:
        if known := self.roster.by_id.get(upstream):
            known.probe_out, known.report = False, (now, report) if report is not None else known.report
            self.canary_back(now, known, ok and not self.lags(duration, 0))

    def woken(self, now: int) -> None:  # an earlier timer may have taken this one's place
        self.wake_at = self.NEVER if now >= self.wake_at - MILLISECOND else self.wake_at

    def judge(
        self, now: int, known: Upstream, outcome: int, duration: int, sent: tuple[int, int], canary: bool
    ) -> None:
        if outcome == DONE and known.broke and now >= known.warm_at:  # a new process? the list tells later
            known.unsure, known.warm_at = (now + self.NEWS, known.warm_at), now + self.roster.ramp
            self.roster.sort_at = now
        lost = outcome in (UNREACHABLE, RESET) and not known.lives(now)
        known.broke = outcome != DONE and (known.broke or lost)
        if good := outcome in (DONE, TIMED_OUT):  # a time-out as long as others' answers is no failure
            known.samples.append((now, duration, sent[1]))
            known.ends.append(now)
            self.answers.add(now, known.entry, duration, known.ends, known.size)
            good = not self.lags(duration, sent[1])
        if canary:
            return self.canary_back(now, known, good)
        if outcome == FULL and sent[0] < known.full_at:  # one full queue turned all these away: count one
            return
        known.full_at = now if outcome == FULL else known.full_at
        if outcome == UNREACHABLE and self.permits.streams > 1 and known.lives(now):
            # Its connections are taken by others, the next would be refused too. Counted, zones failed over.
            self.health.postpone(now, known)
            self.roster.sort_at = now
            return
        if self.health.judge(now, known, good):
            self.said.append(("note", f"ejected {known.entry.upstream}"))
            self.roster.sort_at = self.look_at = now
        if outcome in (DONE, UNREACHABLE, RESET, TIMED_OUT):
            self.group.heard(now, known.entry.zone, outcome == DONE)
            self.look_at = self.look_at if outcome == DONE else now

    def give_up(self, now: int, known: Upstream, sent: int) -> None:
        """Where it may go again, what a later one overtook by far: its connection alone is silent."""
        for (number, shot), (at, then) in list(known.out.items()) if self.permits.cancel else ():
            query, overtaken = self.ledger.queries[number], at < sent and self.lags(now - at, then)
            if overtaken and self.ledger.may_repeat(now, query, query.suspects | {shot}):
                del known.out[number, shot]
                self.said.append(("cancel", number, shot))

    def canary_back(self, now: int, known: Upstream, good: bool) -> None:
        if known.canary_out:
            self.health.canary(now, known, good)
            self.roster.sort_at = now
        if self.group.canary_sent and known.entry.zone == self.group.canary_zone:
            self.group.canary(now, good)
        self.look_at = now

    def lags(self, duration: int, then: int) -> bool:  # many times slower, and our queue there is not why
        return duration >= max(self.health.LAG * self.answers.typical * max(1, then), self.shortest // 2)

    def close(self, query: Query) -> None:
        if not query.ended and self.permits.cancel:
            self.said.extend(("cancel", query.number, shot) for shot in query.out)
        query.ended = True
        if not query.out:
            self.ledger.queries.pop(query.number, None)

    def decide(self, now: int) -> Decision | None:
        if self.look_at <= now:
            self.look(now)
        while not self.said and (query := self.lines.next()) is not None:
            if not query.ended:
                return self.place(now, query)
        if self.said:
            return self.said.popleft()
        if self.look_at >= self.wake_at:
            return None
        self.wake_at = self.look_at
        return ("wake", self.wake_at - now)

    def look(self, now: int) -> None:  # what is due by the clock
        if now >= self.follow_at:
            self.follow_at = self.NEVER
            self.said.append(("follow",))
        if (note := self.group.step(now)) is not None:
            self.said.append(("note", note))
        self.look_at = min(self.follow_at, max(self.group.due(now), now + self.TICK))
        if self.permits.probes:
            while (known := self.next_canary(now, None)) is not None:
                known.probe_out = True
                self.said.append(("probe", known.entry.upstream))
            dues = [known.canary_due for known in self.health.ejected.values() if not known.canary_out]
            self.look_at = min([self.look_at, *(max(due, now + self.health.CANARY_EVERY) for due in dues)])

    def next_canary(self, now: int, terms: Offering | None) -> Upstream | None:
        """The upstream that is due a canary: of the zone that the group asks, else one that is ejected. Of
        those that are open to its offering, if it is a query."""
        group = self.group
        if group.canary_zone is not None and not group.canary_sent:
            zone = self.roster.zones[group.canary_zone]
            zone = [known for known in zone if terms is None or terms.open_to(known.entry)]
            if may := [known for known in zone if not known.probe_out and self.allows(now, known)]:
                group.canary_sent = True
                return self.pick.better(now, self.pick.pair(may, []), may)
        for known in self.health.ejected.values():
            free = not (known.canary_out or known.probe_out) and now >= known.canary_due
            free = free and (terms is None or terms.open_to(known.entry))
            if free and known.entry.condition == READY and self.allows(now, known):
                known.canary_out = True
                return known
        return None

    def place(self, now: int, query: Query) -> Decision:
        if not self.ledger.may_send(now, query):
            return self.answer(now, query, 0)
        free = query.terms.effect == self.tried and not (self.permits.probes or query.sent)
        if free and (canary := self.next_canary(now, query.terms)) is not None:
            query.canary = True
            return self.dispatch(now, query, canary)
        chosen, expected = self.choose(now, query)
        limit = min(query.room, query.agreed - now)
        if chosen is None or (expected > limit and not query.suspects and self.ledger.may_bounce(query)):
            return self.answer(now, query, max(expected - limit, query.beyond))
        return self.dispatch(now, query, chosen)

    def choose(self, now: int, query: Query) -> tuple[Upstream | None, int]:
        """The pick in the first zone that can answer in time; else the soonest of the picks."""
        enough = int(query.terms.agreed * (self.SURPLUS + self.permits.crossing))
        if now >= self.roster.sort_at:
            self.roster.sort(now)
        if now - self.answers.settled > min(SECOND, fresh := self.answers.fresh(now)):
            self.answers.settle(now)
        best, soonest, typical = None, 0, self.answers.typical
        # Where connections are kept for many queries, to one of the next zone alone: else all were taken.
        zones, few = self.group.zones(now), self.permits.streams > 1
        if (bound := query.terms.zones) is not None:  # what is bound to a zone does not fail over from it
            zones = [zone for zone in self.group.order if zone in bound]
        for place, zone in enumerate(zones):
            if place and best is not None and (query.beyond or (few and place > len(self.group.home))):
                break
            abroad = few and zone not in (zones[0], *self.group.home)
            ready, fed = self.candidates(now, query, zone, abroad)
            pair, pace = self.pick.pair(ready, fed), self.answers.pace(now, zone, self.roster.zones[zone])
            for _ in range(self.DRAWS if place < 2 else 1):
                if not (pair := pair or self.pick.pair(ready, [])):
                    break
                chosen = self.pick.better(now, pair, ready, pair[0] in fed)
                expected = chosen.expected(now, typical, pace, self.growth, fresh)
                if chosen in fed:
                    bare = int(self.work(chosen.entry.kind) / self.cold.share(now, chosen))
                    expected = max(bare, expected) if chosen.samples else bare  # its own answers count
                if expected <= enough:
                    return chosen, expected
                if best is None or expected < soonest - self.shortest * (best.entry.zone != zone) // 4:
                    best, soonest = chosen, expected
                ready, pair = [known for known in ready if known is not chosen], []
        return best, soonest

    def candidates(
        self, now: int, query: Query, zone: int, abroad: bool
    ) -> tuple[list[Upstream], list[Upstream]]:
        """The upstreams of a zone that may get this query: warm ones, and a cold one that is ours to feed."""
        ready = self.roster.members(now, zone, self.answers.taken, abroad)
        fed = [known for known in self.roster.cold[zone] if self.allows(now, known)]
        if query.sent or query.terms.bound:
            may = [known for known in self.roster.usable[zone] + fed if self.ledger.may_go_to(query, known)]
            fed = [known for known in fed if known in may]
            ready = [known for known in ready if known in may] or [known for known in may if known not in fed]
        return ready, self.pick.one(fed)

    def work(self, kind: int) -> int:  # of a query with no wait: answers are as long as the queue
        answers, gaps = self.answers, sorted(self.answers.gaps[kind])
        return max(1, min(answers.quarter, answers.calm, answers.unheard, gaps[len(gaps) // 4]))

    def allows(self, now: int, known: Upstream) -> bool:
        return self.cold.allows(now, known, self.work(known.entry.kind))

    def dispatch(self, now: int, query: Query, known: Upstream) -> Decision:
        shot = len(query.sent)
        if now < known.warm_at:
            known.sent_cold.append(now)
        known.out[query.number, shot] = (now, len(known.out))
        query.sent.append((known, now))
        query.out.add(shot)
        return ("dispatch", query.number, known.entry.upstream, query.stop - now)

    def answer(self, now: int, query: Query, after: int) -> Decision:
        bounce = self.ledger.may_bounce(query)
        self.close(query)
        wait = min(max(after, self.AFTER), self.permits.come_back) * self.spread(0.75, 1.0)
        return ("bounce", query.number, int(wait)) if bounce else ("abort", query.number)

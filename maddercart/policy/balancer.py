"""The one object that a host calls: it keeps what is known and makes every decision."""

from collections import deque
from collections.abc import Sequence
from random import Random

from maddercart.interface import (
    CANCELLED,
    DONE,
    FULL,
    IRREVERSIBLE,
    MILLISECOND,
    MOOT,
    NEVER_RAN,
    READY,
    REDOABLE,
    RESET,
    SECOND,
    TIMED_OUT,
    UNREACHABLE,
    ColdRule,
    Decision,
    Entry,
    Offering,
    Permits,
    Place,
    Report,
)
from maddercart.policy.answers import Answers
from maddercart.policy.cold_budget import ColdBudget
from maddercart.policy.group import Group
from maddercart.policy.health import Health
from maddercart.policy.ledger import Ledger, Lines, Query
from maddercart.policy.pick import Pick
from maddercart.policy.roster import Roster
from maddercart.policy.shares import Shares
from maddercart.policy.upstream import Upstream


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

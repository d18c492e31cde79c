"""The zone group's state: failover after failures and a canary, return by canaries on a growing timer."""

from collections import deque
from collections.abc import Sequence
from random import Random

from maddercart.interface import SECOND, Place
from maddercart.policy.ranks import mix
from maddercart.policy.upstream import Upstream

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

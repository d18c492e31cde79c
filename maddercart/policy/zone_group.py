"""The state machine of the zone group: failover after failures and a canary, return by timed canaries."""

from collections import deque
from collections.abc import Sequence
from random import Random

from maddercart.interface import SECOND, SidecarPosition
from maddercart.policy.hashing import hash_pair
from maddercart.policy.upstream import Upstream

PRIMARY, FAILOVER, BACKUP, RECOVERY = "PRIMARY", "FAILOVER", "BACKUP", "RECOVERY"


class ZoneGroup:
    """The home zones, the backup zones, and which of them get the traffic.

    PRIMARY    the home zones serve; other zones take only the surplus
    FAILOVER   the home zones fail; they serve until a canary to a backup zone succeeds
    BACKUP     a backup zone serves
    RECOVERY   a backup zone serves, and a canary goes to the sidecar's own zone
    """

    FAILURES = 6  # twice what ejects one upstream: a single upstream cannot cause a failover
    WITHIN_NS = 3 * SECOND  # of the order of the canary delays: older failures have another cause
    # With little traffic, two failures over this time are enough; a single failure followed by silence is
    # not.
    SPARSE_SPAN_NS = 2 * SECOND
    # Short at first, so that a needless failover is soon undone.
    RECOVERY_DELAY_NS, RECOVERY_DELAY_MAX_NS = SECOND, 8 * SECOND
    CANARY_TIMEOUT_NS = SECOND  # a canary without a result counts as failed
    RETURN_RAMP_NS = 3 * SECOND  # after the return the share of the home zones rises from none to all

    def __init__(self, place: SidecarPosition, random: Random) -> None:
        self.random_uniform, self.random = random.uniform, random.random
        self.set_place(place)
        self.state, self.backup_zone = PRIMARY, place.zone  # backup_zone: the one that is tried or serves
        self.noted_state = PRIMARY  # the state last noted: a canary changes the state between two steps
        self.failure_times: deque[int] = deque(maxlen=self.FAILURES)  # consecutive failures
        # Entries into BACKUP so far; when the state's timer is due; when the home zones last took over again.
        self.backup_entries, self.timer_at, self.returned_at = 0, 0, -self.RETURN_RAMP_NS
        self.canary_zone: int | None = None  # None: no canary is wanted or in flight
        self.canary_sent, self.canary_deadline = False, 0

    def set_place(self, place: SidecarPosition) -> None:
        self.zone_order = sorted(
            range(place.zone_count), key=lambda zone: (zone != place.zone, hash_pair(place.number, zone))
        )
        self.home_zones, self.backup_zones = self.zone_order[:1], self.zone_order[1:]

    def renew(self, now: int, place: SidecarPosition, zones: Sequence[int]) -> None:
        """Applies a new place and new zone numbers, indexed by the old ones; -1: no longer exists.

        A state whose backup zone no longer exists, or is the home zone now, ends.
        """
        old_backup, self.canary_zone = self.backup_zone, None
        self.set_place(place)
        self.backup_zone = (
            zones[old_backup] if old_backup < len(zones) and zones[old_backup] >= 0 else place.zone
        )
        if self.state != PRIMARY and self.backup_zone == place.zone:
            self.enter_primary(now - self.RETURN_RAMP_NS)

    def assign_zones(self, zones: Sequence[Sequence[Upstream]]) -> None:
        """Makes the own zone home, and further ones until they hold an average zone's upstreams."""
        average, count = sum(map(len, zones)) // len(zones), 1
        while sum(len(zones[zone]) for zone in self.zone_order[:count]) < average:
            count += 1
        self.home_zones, self.backup_zones = self.zone_order[:count], self.zone_order[count:]

    def zones(self, now: int) -> list[int]:
        """The zones for ordinary traffic, in order of preference."""
        if self.state == FAILOVER:
            return self.home_zones
        if self.state == PRIMARY:
            since = now - self.returned_at
            if (
                since < self.RETURN_RAMP_NS
                and self.backup_zone not in self.home_zones
                and self.random() * self.RETURN_RAMP_NS > since
            ):
                return [self.backup_zone, *self.home_zones]
            return self.zone_order
        return [self.backup_zone, *(zone for zone in self.backup_zones if zone != self.backup_zone)]

    def dispatch_ended(self, now: int, zone: int, success: bool) -> None:
        """Counts the result of an ordinary dispatch, which is no canary."""
        if zone not in (self.home_zones if self.state in (PRIMARY, FAILOVER) else (self.backup_zone,)):
            return
        if not success:
            self.failure_times.append(now)
        elif self.state == FAILOVER:
            self.enter_primary(self.returned_at)
        else:
            self.failure_times.clear()

    def step(self, now: int) -> str | None:
        """Applies what is due by the clock; returns a note if the state differs from the one last noted."""
        count, since = len(self.failure_times), now - self.failure_times[0] if self.failure_times else 0
        failing = (count == self.FAILURES and since <= self.WITHIN_NS) or (
            count > 1 and since >= self.SPARSE_SPAN_NS
        )
        if self.state != PRIMARY and self.backup_zone in self.home_zones:  # the list has changed
            self.enter_primary(now - self.RETURN_RAMP_NS)
        elif self.state == PRIMARY and failing and self.backup_zones:
            self.state, self.backup_zone, self.timer_at = FAILOVER, self.backup_zones[0], now
        elif self.state == BACKUP and (now >= self.timer_at or failing):
            self.failure_times.clear()
            self.state, self.timer_at = RECOVERY, now
        if self.state in (FAILOVER, RECOVERY) and self.canary_zone is None and now >= self.timer_at:
            self.canary_zone = self.zone_order[0] if self.state == RECOVERY else self.backup_zone
            self.canary_sent, self.canary_deadline = False, now + self.CANARY_TIMEOUT_NS
        elif self.canary_zone is not None and now >= self.canary_deadline:
            self.canary_ended(now, False)
        before, self.noted_state = self.noted_state, self.state
        return f"{before} to {self.state}" if self.state != before else None

    def next_step_at(self, now: int) -> int:
        """When to call `step` if no event comes before; 1 << 62: never."""
        if self.canary_zone is not None or self.state in (BACKUP, FAILOVER):
            return self.timer_at if self.canary_zone is None else self.canary_deadline
        sparse_at = self.failure_times[0] + self.SPARSE_SPAN_NS if len(self.failure_times) > 1 else 0
        return sparse_at if sparse_at > now else 1 << 62

    def canary_ended(self, now: int, success: bool) -> None:
        self.canary_zone = None
        if self.state == FAILOVER and not success:
            tried = self.zone_order.index(self.backup_zone) - len(self.home_zones) + 1
            self.backup_zone = self.backup_zones[tried % len(self.backup_zones)]
            # Connections may be refused within a millisecond: without a pause the next round began at once.
            if tried % len(self.backup_zones) == 0:
                self.timer_at = now + int(self.RECOVERY_DELAY_NS * self.random_uniform(0.8, 1.2))
        elif self.state == RECOVERY and success:
            self.enter_primary(now)
        else:
            self.backup_entries += self.state == FAILOVER
            self.failure_times.clear()
            self.state = BACKUP
            delay = min(self.RECOVERY_DELAY_NS * self.backup_entries, self.RECOVERY_DELAY_MAX_NS)
            self.timer_at = now + int(delay * self.random_uniform(0.8, 1.2))

    def enter_primary(self, returned_at: int) -> None:
        self.state, self.canary_zone, self.returned_at = PRIMARY, None, returned_at
        self.failure_times.clear()

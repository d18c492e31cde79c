"""The upstreams on the list, and the subset of them that this sidecar uses."""

from collections import defaultdict
from collections.abc import Sequence
from itertools import chain

from maddercart.interface import DRAINING, GONE, READY, SECOND, ListEntry, SidecarPosition, SlowStartRule
from maddercart.policy.hashing import hash_rank
from maddercart.policy.upstream import Upstream


class Registry:
    """The upstreams on the list, and the subset of them that this sidecar uses."""

    MIN_SUBSET = 3  # upstreams used of a zone: two to pick from, and one more to compare them with
    # The subset grows to as many upstreams as each get a query of this sidecar within this time, so that
    # their samples stay fresh.
    CONTACT_NS = SECOND

    MAX_DRAINED = 4096  # twice the upstreams of the largest fleet; the oldest entries are long gone
    MAX_SIZE = 1e6  # beyond any machine: a size that is not between 0 and this counts as 1

    def __init__(self, place: SidecarPosition, cold: SlowStartRule, moving: bool) -> None:
        self.by_id: dict[int, Upstream] = {}
        # Where only draining is binding: the start time of each process that was seen draining, by upstream.
        self.drained: dict[int, int] = {}
        self.configure(place, cold, moving)

    def configure(self, place: SidecarPosition, cold: SlowStartRule, moving: bool) -> None:
        self.sidecar, self.ramp, self.cold_window, self.moving = (
            place.number,
            cold.ramp_ns,
            cold.window_ns,
            moving,
        )
        # By zone: the ready upstreams by rank; of these, unless ejected, the warm and the cold ones.
        self.ready: list[list[Upstream]] = [[] for _ in range(place.zone_count)]
        self.warm = self.cold = self.ready
        self.refresh_at = 0  # when the next cold upstream becomes warm

    def update_list(
        self, now: int, entries: Sequence[ListEntry], is_complete: bool, draining_binds: bool = False
    ) -> None:
        """Applies a list or changes of it.

        An upstream that drains or is gone gets no query from now on, also within its grace period. It is
        removed once no dispatch is in flight to it and its cold budget has expired.
        """
        # Once seen draining, an upstream stays closed until it restarts: the list may leave it out, or call
        # it ready by mistake.
        if draining_binds:
            self.drained.update(
                (seen.upstream, seen.started_at) for seen in entries if seen.condition == DRAINING
            )
            while len(self.drained) > self.MAX_DRAINED:
                del self.drained[next(iter(self.drained))]
            entries = [
                entry._replace(condition=DRAINING) if self.drained.get(entry.upstream, -1) >= entry.started_at
                and entry.condition == READY else entry for entry in entries
            ]  # fmt: skip
        for old in self.by_id.values() if is_complete else ():
            old.entry = old.entry._replace(condition=GONE)
        for entry in entries:
            size, upstream = (
                entry.size if 0 < entry.size < self.MAX_SIZE else 1.0,
                self.by_id.get(entry.upstream),
            )
            if upstream is None or entry.started_at > upstream.entry.started_at:
                # It has restarted: all but the dispatches in flight belongs to the old process.
                in_flight = upstream.in_flight if upstream else {}
                upstream = self.by_id[entry.upstream] = Upstream(entry, in_flight)
                upstream.warm_at = entry.started_at + self.ramp if entry.started_at else 0
            upstream.entry, upstream.listed_size, upstream.max_listed_size = (
                entry,
                size,
                max(upstream.max_listed_size, size),
            )
            upstream.inverse_sizes.append(1 / size)
        for number, upstream in list(self.by_id.items()):
            if (
                upstream.entry.condition == GONE
                and not upstream.in_flight
                and now >= upstream.warm_at + self.cold_window
            ):
                del self.by_id[number]
        self.rank()

    def renumber(self, now: int, zones: Sequence[int], kinds: Sequence[int]) -> None:
        """Applies new zone and kind numbers, each indexed by the old number; -1: no longer exists.

        The state of upstreams is kept; one whose zone no longer exists gets no new query.
        """
        for upstream in self.by_id.values():
            upstream.renumber(zones, kinds)
            old_warm_at, upstream.warm_at = (
                upstream.warm_at,
                upstream.entry.started_at and upstream.entry.started_at + self.ramp,
            )
            # It counts as cold again: dispatches that it got while it counted as warm were not recorded.
            if old_warm_at <= now < upstream.warm_at:
                upstream.budget_blocked_until = now + self.cold_window
        self.rank()

    def rank(self) -> None:
        """Sorts the ready upstreams of each zone by their hash rank for this sidecar."""
        ready = [upstream for upstream in self.by_id.values() if upstream.entry.condition == READY]
        self.update_sizes(ready)
        for upstream in ready:
            upstream.rank = upstream.rank or hash_rank(self.sidecar, upstream.entry.upstream)
        ready.sort(key=lambda upstream: upstream.size / upstream.rank, reverse=True)
        self.ready = [
            [member for member in ready if member.entry.zone == zone] for zone in range(len(self.ready))
        ]
        self.refresh_at = 0

    def update_sizes(self, ready: list[Upstream]) -> None:
        """Sets size and load by the list.

        Where the list lowers sizes by load, the size of a machine kind is the upper quartile of the largest
        sizes listed for its upstreams.
        """
        largest: dict[int, list[float]] = defaultdict(list)
        for upstream in ready:
            largest[upstream.entry.kind].append(upstream.max_listed_size)
            upstream.size, upstream.listed_load = max(1.0, upstream.listed_size), 0.0
        if not self.moving:
            return
        sizes = {kind: sorted(listed)[3 * (len(listed) - 1) // 4] for kind, listed in largest.items()}
        for upstream in ready:
            upstream.size = sizes[upstream.entry.kind]
            upstream.listed_load = max(
                1.0, upstream.size * sum(upstream.inverse_sizes) / len(upstream.inverse_sizes)
            )

    def refresh(self, now: int) -> None:
        """Splits the ready upstreams into warm and cold ones.

        It is due after a change of the list, an ejection or a return, and when an upstream becomes warm.
        """
        for upstream in [upstream for upstream in chain(*self.ready) if 0 < upstream.assumed_cold[0] <= now]:
            # The list has not reported a restart.
            upstream.warm_at, upstream.assumed_cold = upstream.assumed_cold[1], (0, 0)
        in_service = [[upstream for upstream in zone if not upstream.canary_due_at] for zone in self.ready]
        self.warm = [[upstream for upstream in zone if upstream.warm_at <= now] for zone in in_service]
        self.cold = [[upstream for upstream in zone if upstream.warm_at > now] for zone in in_service]
        self.refresh_at = min(
            (upstream.assumed_cold[0] or upstream.warm_at for upstream in chain(*self.cold)), default=1 << 62
        )

    def subset(self, now: int, zone: int, arrival_times: Sequence[int], single: bool) -> list[Upstream]:
        """The warm upstreams of a zone that this sidecar uses, or the first of them if `single`.

        Their number follows the query rate, unless the list gives the load of upstreams.
        """
        contacted = (
            0 if self.moving else len(arrival_times) * self.CONTACT_NS // max(SECOND, now - arrival_times[0])
        )
        return self.warm[zone][: 1 if single else max(self.MIN_SUBSET, contacted)]

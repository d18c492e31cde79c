"""The list of upstreams as it was told, and which of them a sidecar uses."""

from collections import defaultdict
from collections.abc import Sequence
from itertools import chain

from maddercart.interface import DRAINING, GONE, READY, SECOND, ColdRule, Entry, Place
from maddercart.policy.ranks import rank
from maddercart.policy.upstream import Upstream


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

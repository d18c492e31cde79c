"""The upstreams of the list: their numbers, and where each is dialled."""

import ipaddress
import logging
from collections.abc import Callable, Sequence
from hashlib import blake2b

import msgspec

from maddercart.interface import DRAINING, GONE, READY, Entry
from maddercart.messages.upstreams import Host, Listing, read_host
from maddercart.net.sockets import address
from maddercart.sidecar.start_times import LONG_AGO, StartTimes, reference, whole_stamp

log = logging.getLogger(__name__)

GONE_KEPT = 4096  # upstreams that have gone: a release of half as many can still be told to a start
CONDITIONS = {"SERVING": READY, "DRAINING": DRAINING, "DELETED": GONE}


def number_of(host: str) -> int:
    """Alike in every sidecar: own sets and the cold ring rest on it. 64 bits: no two of a fleet share one."""
    return int.from_bytes(blake2b(host.encode(), digest_size=8).digest(), "big")


def stamp_of(line: object) -> int:
    """The start that a line tells, `LONG_AGO` if it tells none that can be read."""
    stamp = line.get("born_ms") if isinstance(line, dict) else None
    return whole_stamp(stamp) if isinstance(stamp, int | float) else LONG_AGO


class Upstreams:
    def __init__(self, clock: Callable[[], int], zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.starts = StartTimes(clock)
        self.learnt = 0  # listings
        self.zones: dict[str, int] = {}
        self.kinds: dict[str, int] = {}
        self.place(zones, kinds)
        self.names: dict[int, str] = {}
        self.dials: dict[int, tuple[str, int]] = {}  # of those that are listed, drains among them
        self.ready: set[int] = set()
        self.closed: set[int] = set()  # by the word of other sidecars, until discovery speaks
        self.version: int | None = None  # None: the whole list must be asked for
        self.entries: dict[int, Entry] = {}  # as the list last told each, what has gone among them
        self.changed: dict[int, int] = {}  # in which version that was, the latest last
        self.logged: set[str] = set()

    def place(self, zones: Sequence[str], kinds: Sequence[str]) -> tuple[list[int], list[int]]:
        """From now on zones and kinds have these numbers. What each former one is now; -1: no zone now."""
        former, former_kinds = self.zones, self.kinds
        self.zones = {name: place for place, name in enumerate(zones)}
        self.kinds = {name: place for place, name in enumerate(kinds)}
        unknown = len(self.kinds)  # the number of any kind that has no name here
        return (
            [self.zones.get(name, -1) for name in former],
            [*(self.kinds.get(name, unknown) for name in former_kinds), unknown],
        )

    def learn(self, listing: Listing) -> list[Entry]:
        """The lines that can be read. Another is logged once, and its upstream closed if it can be told."""
        self.version = listing.seq
        self.closed.clear()
        if listing.whole:
            self.names.clear()
            self.dials.clear()
            self.ready.clear()
        # What a change tells has just happened; the first lists tell of starts some time ago as well.
        several = listing.whole or self.learnt <= 1
        passed = reference(map(stamp_of, listing.hosts)) if several else LONG_AGO
        self.learnt += 1
        entries = [entry for line in listing.hosts if (entry := self.read(line, passed)) is not None]
        self.remember(listing, entries)
        return entries

    def hear(self, entries: Sequence[Entry]) -> None:
        """Of other sidecars: it closes what discovery has left open here, and opens that again."""
        for entry in entries:
            (self.closed.discard if entry.condition == READY else self.closed.add)(entry.upstream)

    def may_send(self, upstream: int, dial: tuple[str, int]) -> bool:
        """Whether it may get something new there, by all that was told up to now. Whoever writes a query's
        first byte asks this."""
        open_ = upstream in self.ready and upstream not in self.closed
        return open_ and self.dials.get(upstream) == dial

    def remember(self, listing: Listing, entries: Sequence[Entry]) -> None:
        """For those who have an older version of it."""
        listed = {entry.upstream for entry in entries}
        left = [e for e in self.entries.values() if e.upstream not in listed] if listing.whole else []
        for entry in [*(e._replace(condition=GONE) for e in left if e.condition != GONE), *entries]:
            if self.entries.get(entry.upstream) != entry:
                self.changed.pop(entry.upstream, None)
                self.entries[entry.upstream], self.changed[entry.upstream] = entry, listing.seq
        for number in list(self.changed) if len(self.changed) > len(self.dials) + GONE_KEPT else ():
            if number not in self.dials and len(self.changed) > len(self.dials) + GONE_KEPT // 2:
                del self.changed[number], self.entries[number]
                self.starts.forget(number)

    def changed_after(self, version: int) -> list[tuple[int, int, int]]:
        """Number, condition, the list's stamp of its start (ms) of what changed later."""
        late = [self.entries[number] for number, then in self.changed.items() if then > version]
        return [(entry.upstream, entry.condition, self.starts.stamp_ms(entry.upstream)) for entry in late]

    def read(self, line: object, passed: int) -> Entry | None:
        """`passed`: a moment of the list's clock that has passed."""
        try:
            host = read_host(line)
            return self.entry(host, passed)
        except (msgspec.ValidationError, ValueError, KeyError) as error:
            reason = str(error)
            if reason not in self.logged and len(self.logged) < 100:  # a bad list must not fill memory
                self.logged.add(reason)
                log.warning("list entry passed over", extra={"reason": reason})
            return self.close(line)

    def close(self, line: object) -> Entry | None:
        """Guards against a change that can't be read leaving its upstream as it was: nothing new goes there
        until a line of it can be read."""
        host = line.get("host") if isinstance(line, dict) else None
        number = number_of(host) if isinstance(host, str) else 0
        if (known := self.entries.get(number)) is None:
            return None
        self.ready.discard(number)
        return known._replace(condition=DRAINING)

    def entry(self, host: Host, passed: int) -> Entry:
        if host.health not in CONDITIONS or host.site not in self.zones:
            raise ValueError(f"unknown state or zone: {host.health!r}, {host.site!r}")
        number, condition = number_of(host.host), CONDITIONS[host.health]
        if condition == GONE:
            self.names.pop(number, None)
            self.dials.pop(number, None)
        else:
            where, port = address(host.dial)
            ipaddress.IPv4Address(where)  # a name would be looked up, which blocks
            self.names[number], self.dials[number] = host.host, (where, port)
        (self.ready.add if condition == READY else self.ready.discard)(number)
        kind = self.kinds.get(host.kind, len(self.kinds))
        launched = self.starts.listed(number, whole_stamp(host.born_ms), passed)
        return Entry(number, self.zones[host.site], kind, host.block, condition, host.share, launched)

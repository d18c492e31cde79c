"""The upstreams of the list: their numbers, and where each is dialled."""

import ipaddress
import logging
from collections.abc import Sequence
from hashlib import blake2b

import msgspec

from maddercart.interface import DRAINING, GONE, READY, Entry
from maddercart.messages.upstreams import Host, Listing, read_host
from maddercart.net.sockets import address
from maddercart.sidecar.clock import from_unix_ms

log = logging.getLogger(__name__)

GONE_KEPT = 256  # upstreams that have gone: a release of that many between two starts can still be told
CONDITIONS = {"SERVING": READY, "DRAINING": DRAINING, "DELETED": GONE}


def number_of(host: str) -> int:
    """Alike in every sidecar: own sets and the cold ring rest on it. 64 bits: no two of a fleet share one."""
    return int.from_bytes(blake2b(host.encode(), digest_size=8).digest(), "big")


class Upstreams:
    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.zones: dict[str, int] = {}
        self.kinds: dict[str, int] = {}
        self.place(zones, kinds)
        self.names: dict[int, str] = {}
        self.dials: dict[int, tuple[str, int]] = {}  # of those that are listed, drains among them
        self.ready: set[int] = set()
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
        """The lines that can be read. Another that could not be is passed over and logged once."""
        self.version = listing.seq
        if listing.whole:
            self.names.clear()
            self.dials.clear()
            self.ready.clear()
        entries = [entry for line in listing.hosts if (entry := self.read(line)) is not None]
        self.remember(listing, entries)
        return entries

    def remember(self, listing: Listing, entries: Sequence[Entry]) -> None:
        """For those who have an older version of it."""
        listed = {entry.upstream for entry in entries}
        gone = [e._replace(condition=GONE) for e in self.entries.values() if e.upstream not in listed]
        for entry in [*(gone if listing.whole else ()), *entries]:
            if self.entries.get(entry.upstream) != entry:
                self.changed.pop(entry.upstream, None)
                self.entries[entry.upstream], self.changed[entry.upstream] = entry, listing.seq
        for number in list(self.changed) if len(self.changed) > len(self.dials) + GONE_KEPT else ():
            if number not in self.dials and len(self.changed) > len(self.dials) + GONE_KEPT // 2:
                del self.changed[number], self.entries[number]

    def changed_after(self, version: int) -> list[tuple[int, int, int]]:
        """Number, condition, launched of what changed later."""
        late = [self.entries[number] for number, then in self.changed.items() if then > version]
        return [(entry.upstream, entry.condition, entry.launched) for entry in late]

    def read(self, line: object) -> Entry | None:
        try:
            host = read_host(line)
            return self.entry(host)
        except (msgspec.ValidationError, ValueError, KeyError) as error:
            reason = str(error)
            if reason not in self.logged and len(self.logged) < 100:  # a bad list must not fill memory
                self.logged.add(reason)
                log.warning("list entry passed over", extra={"reason": reason})
            return None

    def entry(self, host: Host) -> Entry:
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
        launched = from_unix_ms(host.born_ms)
        return Entry(number, self.zones[host.site], kind, host.block, condition, host.share, launched)

"""The upstreams of the list: their numbers, names, addresses and conditions."""

import ipaddress
import logging
from collections import defaultdict
from collections.abc import Callable, Sequence
from hashlib import blake2b

import msgspec
from msgspec import UnsetType

from maddercart.interface import DRAINING, GONE, READY, ListEntry
from maddercart.messages.peer_messages import short_key
from maddercart.messages.upstreams import Host, Listing, decode_host
from maddercart.net.sockets import parse_address
from maddercart.sidecar.start_times import LONG_AGO_STAMP_MS, StartTimes, clamp_stamp_ms, reference_stamp_ms

log = logging.getLogger(__name__)

# Entries of upstreams that have left. When the limit is passed half of it is kept, so that a whole release
# can still be told to a sidecar that starts.
MAX_GONE_KEPT = 4096
NO_CELL_OFFSET = -1  # less the upstream's number: the cell of an upstream that has none, which no other has
CONDITIONS = {"SERVING": READY, "DRAINING": DRAINING, "DELETED": GONE}  # by the list's health


def upstream_number(host: str) -> int:
    """The number of an upstream, from its name. It is the same in every sidecar: subsets and the ring for
    cold upstreams depend on it. 64 bits make collisions within a fleet improbable."""
    return int.from_bytes(blake2b(host.encode(), digest_size=8).digest(), "big")


def start_stamp_ms(line: object) -> int:
    """The start time of a line of the list, `LONG_AGO_STAMP_MS` if it has none that can be read."""
    stamp = line.get("born_ms") if isinstance(line, dict) else None
    return clamp_stamp_ms(stamp) if isinstance(stamp, int | float) else LONG_AGO_STAMP_MS


class Upstreams:
    def __init__(self, clock: Callable[[], int], zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.start_times = StartTimes(clock)
        self.listing_count = 0  # listings applied so far
        self.zones: dict[str, int] = {}  # number by name
        self.kinds: dict[str, int] = {}  # number by name
        self.renumber(zones, kinds)
        self.names: dict[int, str] = {}  # by upstream
        self.addresses: dict[int, tuple[str, int]] = {}  # of listed upstreams, draining ones included
        self.holders: dict[tuple[str, int], int] = {}  # by address: the upstream that started there last
        self.ready: set[int] = set()
        self.closed_by_peers: set[int] = set()  # on the word of other sidecars, until the next listing
        self.version: int | None = None  # None: the whole list must be asked for
        # the last one of each upstream, those that have left included
        self.entries: dict[int, ListEntry] = {}
        # The upstreams of `entries` by the key that datagrams name them with.
        self.numbers_by_short_key: defaultdict[int, set[int]] = defaultdict(set)
        # The version in which each upstream last changed; the latest change is at the end.
        self.change_versions: dict[int, int] = {}
        self.logged_reasons: set[str] = set()

    def renumber(self, zones: Sequence[str], kinds: Sequence[str]) -> tuple[list[int], list[int]]:
        """Numbers zones and kinds by their order from now on. Returns the new number of each former zone
        (-1 if it no longer exists) and of each former kind; the last item is the number for unknown
        kinds."""
        former, former_kinds = self.zones, self.kinds
        self.zones = {name: number for number, name in enumerate(zones)}
        self.kinds = {name: number for number, name in enumerate(kinds)}
        unknown = len(self.kinds)  # the number of any kind that the settings don't name
        return (
            [self.zones.get(name, -1) for name in former],
            [*(self.kinds.get(name, unknown) for name in former_kinds), unknown],
        )

    def apply_listing(self, listing: Listing) -> list[ListEntry]:
        """Applies a listing and returns the entries of its readable lines. Each reason why a line can't be
        read is logged once; the upstream of such a line is closed if the line names it."""
        self.version = listing.seq
        self.closed_by_peers.clear()
        if listing.whole:
            self.names.clear()
            self.addresses.clear()
            self.holders.clear()
            self.ready.clear()
        # A change tells what has just happened; a whole list and the first two listings also hold older
        # starts.
        has_old_starts = listing.whole or self.listing_count <= 1
        reference_ms = (
            reference_stamp_ms(map(start_stamp_ms, listing.hosts)) if has_old_starts else LONG_AGO_STAMP_MS
        )
        self.listing_count += 1
        entries = [
            entry for line in listing.hosts if (entry := self.read_line(line, reference_ms)) is not None
        ]
        entries += self.close_superseded(entries)
        self.record_changes(listing, entries)
        return entries

    def forget_address(self, number: int) -> None:
        """The upstream is gone from its address, if it had one."""
        address = self.addresses.pop(number, None)
        if address is not None and self.holders.get(address) == number:
            del self.holders[address]

    def close_superseded(self, entries: Sequence[ListEntry]) -> list[ListEntry]:
        """Closes upstreams at whose address a later one has started: who answers there now is another
        process, whether or not the list has told the end of the former one."""
        closed = []
        for entry in entries:
            if (address := self.addresses.get(entry.upstream)) is None:
                continue
            holder = self.holders.setdefault(address, entry.upstream)
            if self.addresses.get(holder) != address:
                holder = self.holders[address] = entry.upstream
            former, latest = sorted((holder, entry.upstream), key=self.start_times.last_stamp_ms)
            if self.start_times.last_stamp_ms(former) < self.start_times.last_stamp_ms(latest):
                self.holders[address] = latest
                self.ready.discard(former)
                closed.append(former)
        if not closed:
            return []
        known = self.entries | {entry.upstream: entry for entry in entries}
        return [known[number]._replace(condition=DRAINING) for number in closed]

    def apply_peer_entries(self, entries: Sequence[ListEntry]) -> None:
        """Applies entries of other sidecars: they close upstreams that discovery has left open, and reopen
        those that were closed this way."""
        for entry in entries:
            (self.closed_by_peers.discard if entry.condition == READY else self.closed_by_peers.add)(
                entry.upstream
            )

    def may_send(self, upstream: int, address: tuple[str, int]) -> bool:
        """Whether an upstream may get a new query at an address, by the list as known now. To be asked just
        before the first byte of a query is written."""
        is_open = upstream in self.ready and upstream not in self.closed_by_peers
        return is_open and self.addresses.get(upstream) == address

    def record_changes(self, listing: Listing, entries: Sequence[ListEntry]) -> None:
        """Records which entries changed in this version, for `changed_after`."""
        listed = {entry.upstream for entry in entries}
        left = [e for e in self.entries.values() if e.upstream not in listed] if listing.whole else []
        for entry in [*(e._replace(condition=GONE) for e in left if e.condition != GONE), *entries]:
            if self.entries.get(entry.upstream) != entry:
                self.change_versions.pop(entry.upstream, None)
                self.entries[entry.upstream], self.change_versions[entry.upstream] = entry, listing.seq
                self.numbers_by_short_key[short_key(entry.upstream)].add(entry.upstream)
        for number in (
            list(self.change_versions)
            if len(self.change_versions) > len(self.addresses) + MAX_GONE_KEPT
            else ()
        ):
            if (
                number not in self.addresses
                and len(self.change_versions) > len(self.addresses) + MAX_GONE_KEPT // 2
            ):
                del self.change_versions[number], self.entries[number]
                self.numbers_by_short_key[short_key(number)].discard(number)
                self.start_times.forget(number)

    def entry_of_short_key(self, key: int) -> ListEntry | None:
        """The last entry of the upstream with this key; None if there is none or several share the key."""
        numbers = self.numbers_by_short_key.get(key, ())
        return self.entries[next(iter(numbers))] if len(numbers) == 1 else None

    def changed_after(self, version: int) -> list[tuple[int, int, int]]:
        """The upstreams that changed after a version: number, condition, the list's start stamp in ms."""
        changed = [self.entries[number] for number, then in self.change_versions.items() if then > version]
        return [
            (entry.upstream, entry.condition, self.start_times.last_stamp_ms(entry.upstream))
            for entry in changed
        ]

    def read_line(self, line: object, reference_ms: int) -> ListEntry | None:
        """The entry for a line of a listing, None if the line can't be read and names no known upstream.
        `reference_ms`: a time by the list's clock that has passed."""
        try:
            host = decode_host(line)
            return self.make_entry(host, reference_ms)
        except (msgspec.ValidationError, ValueError, KeyError) as error:
            reason = str(error)
            # The limit keeps a list of bad lines from filling memory.
            if reason not in self.logged_reasons and len(self.logged_reasons) < 100:
                self.logged_reasons.add(reason)
                log.warning("list entry skipped", extra={"reason": reason})
            return self.close_unreadable(line)

    def close_unreadable(self, line: object) -> ListEntry | None:
        """Closes the upstream of a line that can't be read: the change must not leave it as it was. It gets
        no new queries until one of its lines can be read."""
        host = line.get("host") if isinstance(line, dict) else None
        number = upstream_number(host) if isinstance(host, str) else 0
        if (known := self.entries.get(number)) is None:
            return None
        self.ready.discard(number)
        return known._replace(condition=DRAINING)

    def make_entry(self, host: Host, reference_ms: int) -> ListEntry:
        """Raises `ValueError` for an unknown health or zone, or an address that isn't IPv4 and port."""
        if host.health not in CONDITIONS or host.site not in self.zones:
            raise ValueError(f"unknown state or zone: {host.health!r}, {host.site!r}")
        number, condition = upstream_number(host.host), CONDITIONS[host.health]
        if condition == GONE:
            self.names.pop(number, None)
            self.forget_address(number)
        else:
            ip, port = parse_address(host.dial)
            ipaddress.IPv4Address(ip)  # a host name would need a lookup, which blocks
            if self.addresses.get(number) != (ip, port):
                self.forget_address(number)
            self.names[number], self.addresses[number] = host.host, (ip, port)
        (self.ready.add if condition == READY else self.ready.discard)(number)
        kind = self.kinds.get(host.kind, len(self.kinds))
        launched = self.start_times.record_stamp(number, clamp_stamp_ms(host.born_ms), reference_ms)
        cell = NO_CELL_OFFSET - number if isinstance(host.block, UnsetType) else host.block
        return ListEntry(number, self.zones[host.site], kind, cell, condition, host.share, launched)

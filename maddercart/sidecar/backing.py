"""One pool of upstreams: its list, connections and dispatcher, and the `Balancer` whose decisions are
executed on them. The sidecar has one such pool, a gateway as many as its file names."""

import logging
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from maddercart.interface import DRAINING, GONE, READY, ListEntry
from maddercart.messages.upstreams import Listing
from maddercart.net.loop import Loop
from maddercart.policy.balancer import Balancer
from maddercart.sidecar.connection_pool import ConnectionPool
from maddercart.sidecar.decisions import BalancerDriver
from maddercart.sidecar.dispatches import Dispatcher
from maddercart.sidecar.endings import Ending, ending_of_status
from maddercart.sidecar.memory import MemoryLedger
from maddercart.sidecar.upstreams import Upstreams

log = logging.getLogger(__name__)


def condition_counts(entries: Sequence[ListEntry]) -> dict[str, int]:
    """The number of entries in each condition."""
    count = Counter(entry.condition for entry in entries)
    return {"ready": count[READY], "draining": count[DRAINING], "gone": count[GONE]}


def log_list(listing: Listing, entries: Sequence[ListEntry]) -> None:
    log.info("list updated", extra={"seq": listing.seq, "whole": listing.whole, **condition_counts(entries)})


class UpstreamPool:
    """`arguments` are those of the `Balancer`, without the time and seed. `follow_list` is called when the
    balancer wants to subscribe to the list. `classify`: see `Dispatcher`."""

    def __init__(
        self, loop: Loop, clock: Callable[[], int], seed: int, zones: Sequence[str], kinds: Sequence[str],
        arguments: Mapping[str, Any], follow_list: Callable[[], None], ledger: MemoryLedger,
        classify: Callable[[int, bool], Ending] = ending_of_status,
    ) -> None:  # fmt: skip
        self.upstreams = Upstreams(clock, zones, kinds)
        self.pool = ConnectionPool(loop, clock, self.upstreams.ready, ledger)
        self.dispatcher = Dispatcher(self.pool, clock, self.upstreams.may_send, ledger, classify)
        balancer = Balancer(clock(), seed, **arguments)
        self.heard_from_peers: set[int] = set()  # upstreams with entries that discovery has not confirmed
        self.driver = BalancerDriver(loop, clock, balancer, self.upstreams, self.dispatcher, follow_list)

    def is_ready(self) -> bool:
        return bool(self.upstreams.ready)

    def apply_listings(self, listings: Sequence[Listing]) -> None:
        """Applies listings from discovery, or the last known one. Entries that only peers had sent are
        reverted first. No decision is pulled before all of it is applied: held queries would otherwise be
        sent by the reverted state, or by a listing that a later one of the same read replaces."""
        updates: list[tuple[Sequence[ListEntry], bool]] = []  # entries, whether they are the whole list
        if self.heard_from_peers:
            known = self.upstreams.entries
            updates.append(
                ([known[number] for number in sorted(self.heard_from_peers) if number in known], False)
            )
            self.heard_from_peers.clear()
        for listing in listings:
            former_ready = set(self.upstreams.ready)
            entries = self.upstreams.apply_listing(listing)
            if listing.whole or former_ready != self.upstreams.ready:
                log_list(listing, entries)
            updates.append((entries, listing.whole))
        self.driver.update_upstreams(*updates)
        self.pool.close_unready()

    def apply_peer_entries(self, entries: list[ListEntry]) -> None:
        """Applies entries from other sidecars, used while discovery has sent nothing. The version stays, so
        that discovery still sends all changes. They don't open an upstream that drains or is gone by the
        known list: each query sent there would be withdrawn."""
        entries = [e for e in entries if e.condition != READY or e.upstream in self.upstreams.ready]
        self.heard_from_peers.update(entry.upstream for entry in entries)
        self.upstreams.apply_peer_entries(entries)
        log.info("list entries received from peers", extra=condition_counts(entries))
        self.driver.update_upstreams((entries, False))

    def on_list_failed(self, remaining_ns: int | None = None) -> None:
        """The subscription to the list failed; `remaining_ns` is left until what is missed counts as
        told."""
        self.driver.on_list_failed(remaining_ns)

    def limit(self, connections: int, answer_bytes: int, idle_close: int, connect_timeout: int) -> None:
        """Limits that may change while queries are held: connections, bytes of an answer's body, and
        durations in nanoseconds."""
        self.pool.max_connections = connections
        self.pool.max_body_bytes = answer_bytes
        self.pool.set_idle_close(idle_close)
        self.dispatcher.connect_timeout_ns = connect_timeout

    def switch(self, zones: Sequence[str], kinds: Sequence[str], arguments: Mapping[str, Any]) -> bool:
        """Switches to other settings: everything that refers to an offering, zone or kind by number changes
        in this one turn, and switching back works the same way. True if zones or kinds are numbered
        otherwise, so that the whole list must be asked for."""
        known = self.upstreams
        former_names = (list(known.zones), list(known.kinds))
        zone_numbers, kind_numbers = known.renumber(zones, kinds)
        self.driver.update_settings({**arguments, "zones": zone_numbers, "kinds": kind_numbers})
        return former_names != (list(zones), list(kinds))

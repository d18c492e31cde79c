"""One pool of upstreams with all that belongs to it: numbers and addresses, connections, dispatches, and the
one `Balancer` whose decisions they carry out. The sidecar has one, a gateway as many as its file names."""

import logging
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from maddercart.interface import DRAINING, GONE, READY, Entry
from maddercart.messages.upstreams import Listing
from maddercart.net.loop import Loop
from maddercart.policy.balancer import Balancer
from maddercart.sidecar.decisions import Decisions
from maddercart.sidecar.dispatches import Dispatcher
from maddercart.sidecar.endings import Ending, of_status
from maddercart.sidecar.pool import Pool
from maddercart.sidecar.upstreams import Upstreams

log = logging.getLogger(__name__)


def conditions(entries: Sequence[Entry]) -> dict[str, int]:
    """How many upstreams are said to be in each condition."""
    count = Counter(entry.condition for entry in entries)
    return {"ready": count[READY], "draining": count[DRAINING], "gone": count[GONE]}


def log_list(listing: Listing, entries: Sequence[Entry]) -> None:
    log.info("list learnt", extra={"seq": listing.seq, "whole": listing.whole, **conditions(entries)})


class Backing:
    """`arguments` are the `Balancer`'s, but for clock and seed; `follow` is called when it wants the list."""

    def __init__(
        self, loop: Loop, clock: Callable[[], int], seed: int, zones: Sequence[str], kinds: Sequence[str],
        arguments: Mapping[str, Any], follow: Callable[[], None],
        meaning: Callable[[int, bool], Ending] = of_status,
    ) -> None:  # fmt: skip
        self.upstreams = Upstreams(clock, zones, kinds)
        self.pool = Pool(loop, clock, self.upstreams.ready)
        self.dispatcher = Dispatcher(self.pool, clock, self.upstreams.may_send, meaning)
        balancer = Balancer(clock(), seed, **arguments)
        self.heard: set[int] = set()
        self.decisions = Decisions(loop, clock, balancer, self.upstreams, self.dispatcher, follow)

    def ready(self) -> bool:
        return bool(self.upstreams.ready)

    def learn(self, listings: Sequence[Listing]) -> None:
        """From discovery, or as it was last known; what was only heard before is taken back. Decided is only
        when all of it is known: held queries went out by what was taken back, or by a line that the next one
        of the same read had overtaken."""
        told: list[tuple[Sequence[Entry], bool]] = []
        if self.heard:
            known = self.upstreams.entries
            told.append(([known[number] for number in sorted(self.heard) if number in known], False))
            self.heard.clear()
        for listing in listings:
            before = set(self.upstreams.ready)
            entries = self.upstreams.learn(listing)
            if listing.whole or before != self.upstreams.ready:
                log_list(listing, entries)
            told.append((entries, listing.whole))
        self.decisions.learn(*told)
        self.pool.drop_unwanted()

    def hear(self, entries: list[Entry]) -> None:
        """From other sidecars, while discovery has not spoken. The version stays: it tells all changes. What
        the list known says drains or is gone, theirs does not open: each query there would be withdrawn."""
        entries = [e for e in entries if e.condition != READY or e.upstream in self.upstreams.ready]
        self.heard.update(entry.upstream for entry in entries)
        self.upstreams.hear(entries)
        log.info("list heard of peers", extra=conditions(entries))
        self.decisions.learn((entries, False))

    def list_failed(self, left: int | None = None) -> None:
        self.decisions.list_failed(left)

    def limit(self, connections: int, bodies: int, idle_close: int, connect_timeout: int) -> None:
        """What may change under load: connections at once, bytes of bodies, nanoseconds."""
        self.pool.most = connections
        self.dispatcher.most_bodies = bodies
        self.pool.most_body = bodies // 4
        self.pool.close_after(idle_close)
        self.dispatcher.connect_timeout = connect_timeout

    def switch(self, zones: Sequence[str], kinds: Sequence[str], arguments: Mapping[str, Any]) -> bool:
        """All that goes by an offering's, a zone's or a kind's number changes in this one turn; the way back
        is the same step. True if zones or kinds have other numbers, so that the list must be told anew."""
        known = self.upstreams
        placed = (list(known.zones), list(known.kinds))
        former_zones, former_kinds = known.place(zones, kinds)
        self.decisions.renew({**arguments, "zones": former_zones, "kinds": former_kinds})
        return placed != (list(zones), list(kinds))

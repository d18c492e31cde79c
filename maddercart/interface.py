"""What goes into the decisions and what comes out of them.

The host owns the clock, the sockets (or the simulator's wire) and the timers. It makes one call on a
`Balancer` for each thing that happens and then pulls decisions, one by one, until there is none:

    balancer.take(now, query, ...)
    while (decision := balancer.decide(now)) is not None:
        ...carry it out, in this order...

Calls only update what is known. Times are whole nanoseconds of one clock that only advances; ids are the
host's and come back unaltered. Everything a decision needs is in the call it follows or in earlier ones.

Calls in
    learn(now, entries, whole)      the list, or what changed on it; `whole` if everything else is gone
    list_failed(now, left)          a `follow` did not work, or the subscription broke; `left`: how long until
                                    what is missed counts as told, if that is known
    take(now, query, offering, remaining, waited, party, again, most)   to be answered within `remaining`, of
                                    which `waited` has gone already: the host is behind with its work. `party`
                                    is whose it is (-1: not told); `again` if its client has asked before; at
                                    most `most` dispatches, and no more than the settings allow (0: as many)
    outcome(now, query, upstream, number, duration, outcome, ended, report)   how a dispatch ended
    may_begin(now, query)           whether a dispatch whose connection has come up may still be written: a
                                    labelled query's repeat not after its window; if not it never ran (MOOT)
    left(now, query)                the client has gone; nothing is owed any more
    probed(now, upstream, ok, duration, report)   how a probe ended
    woken(now)                      a time that was asked for has come

    renew(now, place, offerings, cold, permits, zones, kinds, quotas)   other settings from now on, whose
                                    zones and kinds have other numbers: `zones` and `kinds` tell for each
                                    former one what it is now, -1 if there is none. Queries that are held
                                    keep the terms they were taken under; what is known of upstreams (drains,
                                    budgets, ejections, dispatches out) stays. All that the host calls by such
                                    a number it changes in the same turn

Decisions out: plain tuples, verb first
    ("dispatch", query, upstream, limit)   send it; after `limit` (0: at the hard stop) it has timed out
    ("cancel", query, number)              stop waiting for a dispatch
    ("bounce", query, after)               final: a retry is harmless, best not before `after` (0: unsaid)
    ("abort", query)                       final: nothing is promised
    ("probe", upstream)
    ("follow",)                            subscribe to changes of the list
    ("wake", after)                        call `woken` once this much time has passed
    ("note", text)                         a line for whoever is on call
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

SECOND: Final = 1_000_000_000
MILLISECOND: Final = 1_000_000

# How a dispatch ended. The last column of the table in the wire page is NEVER_RAN. CANCELLED and MOOT tell
# nothing of the upstream.
DONE: Final = 1
ERROR: Final = 2
FULL: Final = 3
TIMED_OUT: Final = 4
UNREACHABLE: Final = 5
RESET: Final = 6
CANCELLED: Final = 7
MOOT: Final = 8
NEVER_RAN: Final = frozenset({FULL, UNREACHABLE, MOOT})

# What the list says of an upstream.
GONE: Final = 0
READY: Final = 1
DRAINING: Final = 2

# What a query may suffer.
REDOABLE: Final = 0
LABELLED: Final = 1
IRREVERSIBLE: Final = 2

# Which upstreams drop each other's repeats of a labelled query.
EVERYWHERE: Final = 0
SAME_ZONE: Final = 1
SAME_CELL: Final = 2

Decision = tuple[str | int, ...]


class Entry(NamedTuple):
    """One line of the list; `launched` is 0 when the start was long ago."""

    upstream: int
    zone: int
    kind: int
    cell: int
    condition: int
    size: float
    launched: int


class Report(NamedTuple):
    """What an upstream says of itself; a figure it does not give is below zero."""

    held: float
    waiting: float
    service: int
    rate: float


class Offering(NamedTuple):
    """One type of query."""

    effect: int
    group: int
    window: int
    agreed: int
    earnings: float
    late_earnings: float
    zones: frozenset[int] | None = None  # the only ones that it may be sent to; None: any
    kinds: frozenset[int] | None = None  # likewise of machines

    @property
    def bound(self) -> bool:
        return self.zones is not None or self.kinds is not None

    def renumbered(self, zones: Sequence[int], kinds: Sequence[int]) -> "Offering":
        """With other numbers: what each former one is now, -1 if there is none."""

        def now(places: frozenset[int] | None, given: Sequence[int]) -> frozenset[int] | None:
            return places and frozenset(given[place] for place in places if given[place] >= 0)

        return self._replace(zones=now(self.zones, zones), kinds=now(self.kinds, kinds))

    def open_to(self, entry: Entry) -> bool:
        return (self.zones is None or entry.zone in self.zones) and (
            self.kinds is None or entry.kind in self.kinds
        )


class Place(NamedTuple):
    """Where this sidecar stands."""

    number: int
    sidecars: int
    zone: int
    zones: int


class ColdRule(NamedTuple):
    """The rule on cold upstreams: over any `window`, no more than `multiple` of what one can do."""

    start: float
    ramp: int
    multiple: float
    window: int


class Permits(NamedTuple):
    """What the settings allow."""

    dispatches: int
    cancel: bool
    probes: bool
    come_back: int
    follow: bool
    moving: bool = False  # the list's sizes are lowered by what an upstream holds: size / (1 + held a core)
    streams: int = 1  # queries that a connection to an upstream carries at once
    crossing: float = 0.0  # what a dispatch to another zone costs, in earnings of a query
    drains: bool = False  # only draining binds, whatever the list tells later, until a restart
    stale: int = 1 << 62  # how old the list may be: calls that fail are made again well within that

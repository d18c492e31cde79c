"""The interface of the decision logic: the calls a host makes on a `Balancer` and the decisions it returns.

The host owns the clock, the sockets (or the simulator's wire) and the timers. It makes one call on a
`Balancer` for each event and then pulls decisions, one at a time, until there are none left:

    balancer.take_query(now, query, ...)
    while (decision := balancer.next_decision(now)) is not None:
        ...carry it out, in this order...

Calls only update the balancer's state. Times are whole nanoseconds of one monotonic clock; ids are chosen by
the host and returned unchanged. Every decision depends only on the call it follows and on earlier calls.

Calls
    update_list(now, entries, is_complete)   the upstream list, or changes of it; `is_complete`: the list is
                                    complete, and an upstream that is not on it is gone
    list_failed(now, remaining_ns)  a `follow` failed, or the subscription broke; `remaining_ns`: the time
                                    until a missed change counts as received, if that is known
    take_query(now, query, offering, remaining_ns, waited_ns, tenant, is_retry, max_dispatches)   a new query,
                                    due within `remaining_ns`. Of that, `waited_ns` has already passed as the
                                    host is behind. `tenant` is -1 if it is unknown; `is_retry`: this is a
                                    retry by the client; `max_dispatches` limits the dispatches further than
                                    the settings do (0: it does not)
    dispatch_ended(now, query, upstream, attempt, duration_ns, outcome, query_ended, report)   a dispatch has
                                    ended; `attempt` counts the dispatches of the query from 0; `query_ended`:
                                    the query needs no further dispatch; `report` is None if the upstream sent
                                    none
    may_write(now, query)           whether a dispatch whose connection is now up may still be written. The
                                    repeat of a labelled query may not be after its window; a dispatch that
                                    was not written ends as NOT_WRITTEN
    client_left(now, query)         the client has disconnected; the query needs no answer
    probe_ended(now, upstream, success, duration_ns, report)   a probe has ended
    timer_fired(now)                the requested timer has fired

    reconfigure(now, place, offerings, cold, permits, zones, kinds, quotas)   applies new settings, in which
                                    zones and kinds may have other numbers: `zones` and `kinds` give the new
                                    number for each old one, -1 if it no longer exists. Held queries keep the
                                    terms under which they were taken, and the state of upstreams (drains,
                                    budgets, ejections, dispatches in flight) is kept. The host must switch
                                    everything that it addresses by such a number in the same turn

Decisions: plain tuples, verb first
    ("dispatch", query, upstream, limit)   send it; it times out after `limit` (0: at the hard stop)
    ("cancel", query, number)              stop waiting for a dispatch
    ("bounce", query, after)               final: rejected, safe to retry, preferably not within `after`
                                           (0: no preference)
    ("abort", query)                       final: failed, the effect is unknown
    ("probe", upstream)                    send a health probe
    ("follow",)                            subscribe to changes of the list
    ("wake", after)                        call `timer_fired` once this time has passed
    ("note", text)                         a log line for the operator
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

# Durations in nanoseconds.
SECOND: Final = 1_000_000_000
MILLISECOND: Final = 1_000_000

# How a dispatch ended. NEVER_RAN holds the outcomes that guarantee that the upstream did not process the
# query; it is the last column of the table in the wire page. CANCELLED and NOT_WRITTEN say nothing
# about the upstream.
DONE: Final = 1
FAILED: Final = 2
REJECTED: Final = 3
TIMED_OUT: Final = 4
UNREACHABLE: Final = 5
RESET: Final = 6
CANCELLED: Final = 7
NOT_WRITTEN: Final = 8
NEVER_RAN: Final = frozenset({REJECTED, UNREACHABLE, NOT_WRITTEN})

# The condition of an upstream, according to the list.
GONE: Final = 0
READY: Final = 1
DRAINING: Final = 2

# The effect of a query: whether it is idempotent, carries an idempotency key, or must not be repeated.
REDOABLE: Final = 0
LABELLED: Final = 1
IRREVERSIBLE: Final = 2

# The scope within which upstreams deduplicate a labelled query by its idempotency key.
EVERYWHERE: Final = 0
SAME_ZONE: Final = 1
SAME_CELL: Final = 2

Decision = tuple[str | int, ...]


class ListEntry(NamedTuple):
    """One upstream on the list. `size` is its relative capacity; `started_at` is when it started, as an
    instant of the balancer's clock, or 0 if that was long ago."""

    upstream: int
    zone: int
    kind: int
    cell: int
    condition: int
    size: float
    started_at: int


class Report(NamedTuple):
    """The load that an upstream reports; an unreported field is negative.

    `held` counts the queries in progress, `waiting` those in its queue; `service` is the time that a query
    takes, in nanoseconds; `rate` is in queries per second.
    """

    held: float
    waiting: float
    service: int
    rate: float


class Offering(NamedTuple):
    """The terms of one type of query.

    `effect` is REDOABLE, LABELLED or IRREVERSIBLE. `deduplication_scope` (EVERYWHERE, SAME_ZONE or SAME_CELL)
    and `deduplication_window_ns` are the scope and the time within which a repeat of a labelled query is
    deduplicated. `agreed_time_ns` is the latency target; an answer is worth `earnings` within it and
    `late_earnings` after it. `zones` and `kinds` restrict the upstreams to which the query may be sent; None:
    no restriction.
    """

    effect: int
    deduplication_scope: int
    deduplication_window_ns: int
    agreed_time_ns: int
    earnings: float
    late_earnings: float
    zones: frozenset[int] | None = None
    kinds: frozenset[int] | None = None

    @property
    def restricted(self) -> bool:
        """Whether the query may be sent only to certain zones or kinds of machine."""
        return self.zones is not None or self.kinds is not None

    def renumbered(self, zones: Sequence[int], kinds: Sequence[int]) -> "Offering":
        """A copy with new zone and kind numbers, each indexed by the old number; -1: no longer exists."""

        def translate(numbers: frozenset[int] | None, new_numbers: Sequence[int]) -> frozenset[int] | None:
            former = dict(enumerate(new_numbers))
            return numbers and frozenset(new for old in numbers if (new := former.get(old, -1)) >= 0)

        return self._replace(zones=translate(self.zones, zones), kinds=translate(self.kinds, kinds))

    def allows(self, entry: ListEntry) -> bool:
        """Whether the zone and the kind of an upstream permit this query."""
        return (self.zones is None or entry.zone in self.zones) and (
            self.kinds is None or entry.kind in self.kinds
        )


class SidecarPosition(NamedTuple):
    """The position of this sidecar: its number among `sidecar_count` and its zone among `zone_count`, both
    from 0."""

    number: int
    sidecar_count: int
    zone: int
    zone_count: int


class SlowStartRule(NamedTuple):
    """The slow-start rule.

    The capacity of an upstream grows from the share `start_share` to 1 within `ramp_ns` of its start. Over
    any `window_ns` it may get at most `work_multiple` times the work that it can do by then.
    """

    start_share: float
    ramp_ns: int
    work_multiple: float
    window_ns: int


class BalancerOptions(NamedTuple):
    """What the settings allow.

    `max_dispatches` limits the dispatches of a query, `may_cancel` allows to cancel them and `may_probe` to
    probe upstreams. `max_retry_delay_ns` is the longest retry delay given with a bounce; 0: none is given.
    `subscribes`: the host subscribes to the list when told to; otherwise lists are pushed to it.
    `sizes_follow_load`: the list's sizes are lowered by the load of an upstream, to size / (1 + queries held
    per core). `streams_per_connection` is the number of concurrent queries on one connection to an upstream.
    `cross_zone_cost` is the cost of a dispatch to another zone, in earnings of a query.
    `only_draining_binds`: only draining is binding, whatever the list says later, until the upstream
    restarts. `max_list_age_ns` is the greatest permitted age of the list; failed calls are retried well
    within it.
    """

    max_dispatches: int
    may_cancel: bool
    may_probe: bool
    max_retry_delay_ns: int
    subscribes: bool
    sizes_follow_load: bool = False
    streams_per_connection: int = 1
    cross_zone_cost: float = 0.0
    only_draining_binds: bool = False
    max_list_age_ns: int = 1 << 62

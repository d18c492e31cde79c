"""Held queries, the rules for repeating and bouncing them, and the order in which they are placed."""

from collections import deque
from dataclasses import dataclass, field

from maddercart.interface import EVERYWHERE, LABELLED, REDOABLE, SAME_ZONE, Offering
from maddercart.policy.upstream import Upstream


@dataclass(slots=True, eq=False)
class Query:
    """A query that has no final answer, or still has a dispatch in flight. Times are in nanoseconds.

    `latency_budget` is the longest expected latency with which it is dispatched, `hard_stop_at` and
    `agreed_at` are instants, `quota_wait` is the time until its tenant's quota allows it (0: it does).
    Attempts are numbered by their index in `attempts`; `suspects` are those that ended and may have run.
    `earlier` are attempts of queries that came before under the same `identity` and may have run.
    """

    number: int
    terms: Offering
    latency_budget: int
    hard_stop_at: int
    agreed_at: int
    max_dispatches: int
    quota_wait: int = 0
    attempts: list[tuple[Upstream, int]] = field(default_factory=list)  # (upstream, sent at)
    in_flight: set[int] = field(default_factory=set)
    suspects: set[int] = field(default_factory=set)
    is_canary: bool = False  # its first dispatch is a canary
    ended: bool = False  # it has its final answer, or its client has left
    identity: int = 0  # 0: it has none
    earlier: tuple[tuple[Upstream, int], ...] = ()  # (upstream, sent at), the first one first

    def first_run_at(self, suspects: set[int]) -> int | None:
        """When the first attempt was sent that may have run, `suspects` among them; None if there is none."""
        sent_at = [self.attempts[number][1] for number in suspects]
        return min([*sent_at, *(at for _, at in self.earlier)], default=None)


class HeldQueries:
    """The held queries by number, and what the effect of each permits."""

    def __init__(self) -> None:
        self.by_number: dict[int, Query] = {}

    def may_dispatch(self, now: int, query: Query) -> bool:
        """Whether a query may be dispatched now; at most one dispatch is in flight."""
        return not query.in_flight and self.may_repeat(now, query, query.suspects)

    def may_repeat(self, now: int, query: Query, suspects: set[int], uncounted: int = 0) -> bool:
        """Whether a query may be sent again if the attempts in `suspects` have run.

        `uncounted` attempts do not count against the limit on dispatches.
        """
        if (
            query.ended
            or now >= query.hard_stop_at
            or len(query.attempts) - uncounted >= query.max_dispatches
        ):
            return False
        first_run_at = query.first_run_at(suspects)
        if first_run_at is not None and query.terms.effect == LABELLED:
            return now - first_run_at < query.terms.deduplication_window_ns
        return first_run_at is None or query.terms.effect == REDOABLE

    def may_go_to(self, query: Query, upstream: Upstream) -> bool:
        """Whether an upstream may get a query: not twice, and a repeat stays in its deduplication scope."""
        if any(upstream is tried for tried, _ in query.attempts) or not query.terms.allows(upstream.entry):
            return False
        if query.terms.effect != LABELLED or query.terms.deduplication_scope == EVERYWHERE:
            return True
        scope = "zone" if query.terms.deduplication_scope == SAME_ZONE else "cell"
        suspects = [query.attempts[attempt][0].entry for attempt in query.suspects]
        suspects += [tried.entry for tried, _ in query.earlier]
        return all(getattr(entry, scope) == getattr(upstream.entry, scope) for entry in suspects)

    def may_bounce(self, query: Query) -> bool:
        """Whether a retry by the client is harmless, so that the query may be bounced rather than aborted."""
        deduplicated = query.terms.effect == LABELLED and query.terms.deduplication_scope == EVERYWHERE
        return (
            deduplicated
            or query.terms.effect == REDOABLE
            or not (query.in_flight or query.suspects or query.earlier)
        )


class PlacementQueue:
    """Queries to be placed: those that were never dispatched first, then the others, in order of arrival."""

    def __init__(self) -> None:
        self.new, self.repeated = deque[Query](), deque[Query]()

    def add(self, query: Query) -> None:
        (self.repeated if query.attempts else self.new).append(query)

    def pop(self) -> Query | None:
        return queue.popleft() if (queue := self.new or self.repeated) else None

"""Attempts of queries that have ended, for queries that come again under the same id."""

from collections.abc import Iterator

from maddercart.interface import REDOABLE
from maddercart.policy.queries import Query
from maddercart.policy.upstream import Upstream

# Queries remembered: several times those that can be sent within the longest deadline.
MAX_REMEMBERED = 4096


class RecentAttempts:
    """By the id of a query: its attempts that may have run, or may yet run, as (upstream, sent at).

    Queries that may run again without harm are not remembered.
    """

    def __init__(self) -> None:
        self.by_identity: dict[int, tuple[tuple[Upstream, int], ...]] = {}  # the oldest first

    def recall(self, identity: int) -> tuple[tuple[Upstream, int], ...]:
        """The attempts of earlier queries with this id; `identity` 0: it has none."""
        return self.by_identity.get(identity, ())

    def remember(self, query: Query) -> None:
        """Replaces what is remembered of a query's id by what is known of the query now."""
        if not query.identity or query.terms.effect == REDOABLE:
            return
        self.by_identity.pop(query.identity, None)
        own = [query.attempts[number] for number in sorted(query.suspects | query.in_flight)]
        if attempts := (*query.earlier, *own):
            self.by_identity[query.identity] = attempts
        if len(self.by_identity) > MAX_REMEMBERED:
            del self.by_identity[next(iter(self.by_identity))]

    def upstreams(self) -> Iterator[Upstream]:
        for attempts in self.by_identity.values():
            for upstream, _ in attempts:
                yield upstream

"""Queries that are held, what may be promised of them, and the order in which they are placed."""

from collections import deque
from dataclasses import dataclass, field

from maddercart.interface import EVERYWHERE, LABELLED, REDOABLE, SAME_ZONE, Offering
from maddercart.policy.upstream import Upstream


@dataclass(slots=True, eq=False)
class Query:
    number: int
    terms: Offering
    room: int  # how long an answer may be expected to take
    stop: int  # after this time nothing may be said
    agreed: int
    most: int  # dispatches, as was allowed when it was taken
    beyond: int = 0  # how long until its party's share allows it
    sent: list[tuple[Upstream, int]] = field(default_factory=list)  # each dispatch: where and when
    out: set[int] = field(default_factory=set)  # numbers of the dispatches without an outcome
    suspects: set[int] = field(default_factory=set)  # those that ended and may have run
    canary: bool = False  # its first dispatch is one
    ended: bool = False  # what is still out is no use any more


class Ledger:
    """Keeps the promises made with each offering."""

    def __init__(self) -> None:
        self.queries: dict[int, Query] = {}

    def may_send(self, now: int, query: Query) -> bool:  # only ever one is out
        return not query.out and self.may_repeat(now, query, query.suspects)

    def may_repeat(self, now: int, query: Query, suspects: set[int], made: int = 0) -> bool:  # if these ran
        if query.ended or now >= query.stop or len(query.sent) - made >= query.most:
            return False
        if suspects and query.terms.effect == LABELLED:
            return now - query.sent[min(suspects)][1] < query.terms.window
        return not suspects or query.terms.effect == REDOABLE

    def may_go_to(self, query: Query, known: Upstream) -> bool:  # never one twice; repeats stay there
        if any(known is where for where, _ in query.sent) or not query.terms.open_to(known.entry):
            return False
        if query.terms.effect != LABELLED or query.terms.group == EVERYWHERE:
            return True
        place = "zone" if query.terms.group == SAME_ZONE else "cell"
        suspects = [query.sent[shot][0].entry for shot in query.suspects]
        return all(getattr(entry, place) == getattr(known.entry, place) for entry in suspects)

    def may_bounce(self, query: Query) -> bool:
        anywhere = query.terms.effect == LABELLED and query.terms.group == EVERYWHERE
        return anywhere or query.terms.effect == REDOABLE or not (query.out or query.suspects)


class Lines:
    """Queries to be placed: first dispatches, then further ones."""

    def __init__(self) -> None:
        self.first, self.further = deque[Query](), deque[Query]()

    def add(self, query: Query) -> None:
        (self.further if query.sent else self.first).append(query)

    def next(self) -> Query | None:
        return line.popleft() if (line := self.first or self.further) else None

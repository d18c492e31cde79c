"""A pool of the gateway: a `Backing` of the sidecar's, with the terms of the routes that use it."""

import logging
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from maddercart import interface as i
from maddercart.gateway.check import read_members
from maddercart.gateway.file import FileError, Pool, Route, Server
from maddercart.gateway.limits import Budget, Followed
from maddercart.gateway.members import Members, Watch, kinds, zones
from maddercart.messages.headers import Headers
from maddercart.messages.query import Query
from maddercart.net.loop import Loop, Task
from maddercart.net.sockets import address
from maddercart.sidecar.backing import Backing
from maddercart.sidecar.clock import Clock
from maddercart.sidecar.discovery import Discovery
from maddercart.sidecar.endings import Ending

log = logging.getLogger(__name__)

EFFECTS = {"redoable": i.REDOABLE, "labelled": i.LABELLED, "irreversible": i.IRREVERSIBLE}
PROBE_WITHIN = i.SECOND  # as long as the group waits for a canary
GROUPS = {"everywhere": i.EVERYWHERE, "zone": i.SAME_ZONE, "cell": i.SAME_CELL}


def nanos(seconds: float) -> int:
    return round(seconds * i.SECOND)


def meaning(status: int, never_ran: bool) -> Ending:
    """Of any HTTP server's answer: what it answers below 500 is its answer, be it a refusal of the request. A
    failure may have run, whatever its status, unless it says itself that it never did."""
    if never_ran and status in (429, 503, 504):
        return Ending.TURNED_AWAY
    return Ending.ANSWERED if status < 500 and status != 429 else Ending.FAILED


def arguments(pool: Pool, routes: Sequence[Route]) -> dict[str, Any]:
    """The arguments of its `Balancer`, but for clock and seed; its offerings are the routes, in order."""
    names, cold = zones(pool), pool.cold
    most = max((route.dispatches for route in routes), default=1)
    return {
        "place": i.Place(pool.number, pool.sidecars, names.index(pool.zone or names[0]), len(names)),
        "offerings": [
            i.Offering(EFFECTS[route.effect], GROUPS[route.group], nanos(route.window), nanos(route.agreed),
                       route.earnings, route.late_earnings)
            for route in routes
        ],
        "cold": i.ColdRule(cold.start, nanos(cold.ramp), cold.multiple, nanos(cold.window)),
        "permits": i.Permits(
            dispatches=most, cancel=pool.cancel, probes=bool(pool.probe), come_back=nanos(pool.come_back),
            follow=bool(pool.discovery),
        ),
    }  # fmt: skip


class Probe(Query):
    def headers_for(self, wait: int) -> Headers:
        return self.headers


class Used:
    """One pool in use."""

    def __init__(
        self, loop: Loop, clock: Clock, seed: int, pool: Pool, routes: Sequence[Route], folder: Path
    ) -> None:
        self.loop, self.clock, self.terms, self.folder = loop, clock, pool, folder
        self.members = Members(clock)
        self.discovery: Discovery | None = None
        self.watch: Task | None = None
        self.backing = Backing(
            loop, clock, seed, zones(pool), kinds(pool), arguments(pool, routes), self.follow, meaning
        )
        self.desk = self.backing.decisions
        self.budget: Budget | None = None
        self.followed: Followed | None = None
        self.routes, self.tell_at = list(routes), 0
        self.places: dict[str, int] = {}
        self.take_terms(pool, routes)
        self.sweeper = loop.spawn(self.backing.pool.sweep())
        self.source(pool)

    def follow(self) -> None:
        if self.discovery is not None:
            self.discovery.follow()

    def take_terms(self, pool: Pool, routes: Sequence[Route]) -> None:
        """What holds from the next query on."""
        self.places = {route.name: place for place, route in enumerate(routes)}
        self.desk.whole = pool.come_back_whole
        self.desk.probe_by = self.probe if pool.probe else None
        if pool.retries is None:
            self.budget = None
        elif self.budget is None:
            self.budget = Budget(pool.retries.share, pool.retries.burst)
        else:
            self.budget.set(pool.retries.share, pool.retries.burst)
        if (wanted := pool.adaptive) is None:
            self.followed = None
        elif self.followed is None:
            self.followed = Followed(wanted.least, wanted.most, wanted.tolerance)
        else:
            self.followed.set(wanted.least, wanted.most, wanted.tolerance)

    def probe(self, upstream: int) -> Query:
        host = self.terms.probe_host or self.backing.upstreams.names.get(upstream, "")
        headers = [(b"Host", host.encode()), (b"User-Agent", b"maddercart-probe")]
        return Probe(b"GET", self.terms.probe.encode(), headers, b"", 0, PROBE_WITHIN, b"")

    def limit(self, connections: int, bodies: int) -> None:
        self.backing.limit(connections, bodies, nanos(self.terms.idle), nanos(self.terms.connect_timeout))
        if self.terms.answer:
            self.backing.pool.most_body = self.terms.answer

    # -- members

    def source(self, pool: Pool) -> None:
        """Begins to hear of its members. What it knows stays until something else is told."""
        if pool.discovery:
            learn, failed = self.backing.learn, self.backing.list_failed
            at = address(pool.discovery)
            self.discovery = Discovery(self.loop, self.clock, at, self.backing.upstreams, learn, failed)
            self.backing.dispatcher.news = self.discovery.news
            self.discovery.follow()
        elif pool.file:
            path = self.folder / pool.file
            watch = Watch(self.clock, path, pool, self.told)
            try:
                self.told(read_members(path, pool))
            except FileError:  # it has changed since the check: what is known stays until it can be read
                watch.seen = None
            self.watch = self.loop.spawn(watch.run())
        else:
            self.told(pool.servers)

    def told(self, servers: Sequence[Server]) -> None:
        self.backing.learn([self.members.listing(servers, self.terms)])

    def end_source(self) -> None:
        if self.watch is not None:
            self.loop.end(self.watch)
        if self.discovery is not None:
            self.discovery.close()
            self.backing.dispatcher.news = lambda: False
        self.watch = self.discovery = None

    # -- another file

    def renew(self, pool: Pool, routes: Sequence[Route], folder: Path) -> None:
        """Held queries keep their terms; what is known of upstreams stays (`Balancer.renew`)."""
        former, self.terms, self.folder = self.terms, pool, folder
        self.take_terms(pool, routes)
        renumbered = self.backing.switch(zones(pool), kinds(pool), arguments(pool, routes))
        sourced = [(one.discovery, one.file) for one in (former, pool)]
        if sourced[0] == sourced[1] and pool.discovery:
            if renumbered and self.discovery is not None:
                self.discovery.begin_anew()
            return
        self.end_source()
        self.source(pool)

    def idle(self) -> bool:
        return not (self.desk.held or self.desk.out)

    def close(self) -> None:
        """Once nothing of it is held: connections and coroutines end."""
        self.end_source()
        self.loop.end(self.sweeper)
        self.backing.upstreams.ready.clear()
        self.backing.pool.drop_unwanted()

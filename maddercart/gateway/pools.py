"""A pool in use: the sidecar's `UpstreamPool` for a configured pool, with the terms of the routes that use
it."""

import logging
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from maddercart import interface as i
from maddercart.gateway.check import read_members
from maddercart.gateway.config import ConfigFileError, Pool, Route, Server
from maddercart.gateway.limits import AdaptiveLimiter, RetryLimiter
from maddercart.gateway.members import MemberList, MembersFileWatcher, kind_names, zone_names
from maddercart.messages.headers import Headers
from maddercart.messages.query import Query
from maddercart.net.loop import Loop, Task
from maddercart.net.sockets import parse_address
from maddercart.sidecar.backing import UpstreamPool
from maddercart.sidecar.clock import MonotonicClock
from maddercart.sidecar.discovery import Discovery
from maddercart.sidecar.endings import Ending
from maddercart.sidecar.memory import MemoryLedger

log = logging.getLogger(__name__)

EFFECTS = {"redoable": i.REDOABLE, "labelled": i.LABELLED, "irreversible": i.IRREVERSIBLE}
PROBE_TIMEOUT_NS = i.SECOND  # the same time that the group waits for a canary
GROUPS = {"everywhere": i.EVERYWHERE, "zone": i.SAME_ZONE, "cell": i.SAME_CELL}


def seconds_to_ns(seconds: float) -> int:
    return round(seconds * i.SECOND)


def classify_status(status: int, never_ran: bool) -> Ending:
    """The ending of a dispatch that a generic HTTP server answered with `status`.

    A status below 500 other than 429 is the final answer, even if it rejects the request. Any other status is
    a failure after which the request may have run, unless the answer states that it never ran.
    """
    if never_ran and status in (429, 503, 504):
        return Ending.TURNED_AWAY
    return Ending.ANSWERED if status < 500 and status != 429 else Ending.FAILED


def balancer_arguments(pool: Pool, routes: Sequence[Route]) -> dict[str, Any]:
    """The keyword arguments of the pool's `Balancer`, without clock and seed.

    Each route is one offering; its number is the route's index in `routes`.
    """
    zones, cold = zone_names(pool), pool.cold
    max_dispatches = max((route.dispatches for route in routes), default=1)
    return {
        "place": i.SidecarPosition(
            pool.number, pool.sidecars, zones.index(pool.zone or zones[0]), len(zones)
        ),
        "offerings": [
            i.Offering(EFFECTS[route.effect], GROUPS[route.group], seconds_to_ns(route.window),
                       seconds_to_ns(route.agreed), route.earnings, route.late_earnings)
            for route in routes
        ],
        "cold": i.SlowStartRule(
            cold.start, seconds_to_ns(cold.ramp), cold.multiple, seconds_to_ns(cold.window)
        ),
        "permits": i.BalancerOptions(
            max_dispatches=max_dispatches, may_cancel=pool.cancel, may_probe=bool(pool.probe),
            max_retry_delay_ns=seconds_to_ns(pool.come_back), subscribes=bool(pool.discovery),
        ),
    }  # fmt: skip


class ProbeQuery(Query):
    """The request of a probe."""

    def headers_for(self, timeout: int) -> Headers:
        return self.headers


class ActivePool:
    """A pool of the current configuration, or a removed one that still completes its queries."""

    def __init__(
        self,
        loop: Loop,
        clock: MonotonicClock,
        seed: int,
        pool: Pool,
        routes: Sequence[Route],
        base_dir: Path,
        ledger: MemoryLedger,
    ) -> None:
        """Starts following the pool's members; `base_dir` is where a relative members file is looked up."""
        self.loop, self.clock, self.config, self.base_dir = loop, clock, pool, base_dir
        self.member_list = MemberList(clock)
        self.discovery: Discovery | None = None
        self.watch_task: Task | None = None  # follows a members file
        self.upstream_pool = UpstreamPool(
            loop, clock, seed, zone_names(pool), kind_names(pool), balancer_arguments(pool, routes),
            self.follow_discovery, ledger, classify_status,
        )  # fmt: skip
        self.driver = self.upstream_pool.driver
        self.retry_limiter: RetryLimiter | None = None
        self.adaptive_limiter: AdaptiveLimiter | None = None
        self.routes, self.next_report_at = list(routes), 0
        self.offering_numbers: dict[str, int] = {}  # by route name
        self.apply_config(pool, routes)
        self.sweep_task = loop.spawn(self.upstream_pool.pool.close_expired())
        self.start_member_source(pool)

    def follow_discovery(self) -> None:
        if self.discovery is not None:
            self.discovery.follow()

    def apply_config(self, pool: Pool, routes: Sequence[Route]) -> None:
        """Applies the settings that take effect with the next query."""
        self.offering_numbers = {route.name: number for number, route in enumerate(routes)}
        self.driver.retry_after_whole_seconds = pool.come_back_whole
        self.driver.make_probe = self.probe_query if pool.probe else None
        if pool.retries is None:
            self.retry_limiter = None
        elif self.retry_limiter is None:
            self.retry_limiter = RetryLimiter(pool.retries.share, pool.retries.burst)
        else:
            self.retry_limiter.configure(pool.retries.share, pool.retries.burst)
        if (adaptive := pool.adaptive) is None:
            self.adaptive_limiter = None
        elif self.adaptive_limiter is None:
            self.adaptive_limiter = AdaptiveLimiter(adaptive.least, adaptive.most, adaptive.tolerance)
        else:
            self.adaptive_limiter.configure(adaptive.least, adaptive.most, adaptive.tolerance)

    def probe_query(self, upstream: int) -> Query:
        """The probe that is sent to the upstream with this number."""
        host = self.config.probe_host or self.upstream_pool.upstreams.names.get(upstream, "")
        headers = [(b"Host", host.encode()), (b"User-Agent", b"maddercart-probe")]
        return ProbeQuery(b"GET", self.config.probe.encode(), headers, b"", 0, PROBE_TIMEOUT_NS, b"")

    def set_limits(self, max_connections: int, answer_bytes: int) -> None:
        """Limits connections to upstreams and the body of an answer, in bytes."""
        self.upstream_pool.limit(
            max_connections, answer_bytes, seconds_to_ns(self.config.idle),
            seconds_to_ns(self.config.connect_timeout),
        )  # fmt: skip
        if self.config.answer:
            self.upstream_pool.pool.max_body_bytes = self.config.answer

    # -- members

    def start_member_source(self, pool: Pool) -> None:
        """Starts following the members of `pool`; known members stay until the source reports others."""
        if pool.discovery:
            learn, failed = self.upstream_pool.apply_listings, self.upstream_pool.on_list_failed
            service_address = parse_address(pool.discovery)
            self.discovery = Discovery(
                self.loop, self.clock, service_address, self.upstream_pool.upstreams, learn, failed
            )
            self.upstream_pool.dispatcher.has_unread_updates = self.discovery.has_unread_updates
            self.upstream_pool.dispatcher.has_unapplied_updates = self.discovery.has_unapplied_updates
            self.discovery.follow()
        elif pool.file:
            path = self.base_dir / pool.file
            watcher = MembersFileWatcher(self.clock, path, pool, self.update_members)
            try:
                self.update_members(read_members(path, pool))
            except ConfigFileError:  # changed since the check: keep known members until it is readable again
                watcher.last_stamp = None
            self.watch_task = self.loop.spawn(watcher.run())
        else:
            self.update_members(pool.servers)

    def update_members(self, servers: Sequence[Server]) -> None:
        self.upstream_pool.apply_listings([self.member_list.listing(servers, self.config)])

    def stop_member_source(self) -> None:
        if self.watch_task is not None:
            self.loop.close(self.watch_task)
        if self.discovery is not None:
            self.discovery.close()
            self.upstream_pool.dispatcher.has_unread_updates = lambda: False
            self.upstream_pool.dispatcher.has_unapplied_updates = lambda: False
        self.watch_task = self.discovery = None

    # -- reload

    def reconfigure(self, pool: Pool, routes: Sequence[Route], base_dir: Path) -> None:
        """Switches to a new configuration.

        Held queries keep the terms under which they were accepted, and the balancer keeps what it knows of
        upstreams.
        """
        previous, self.config, self.base_dir = self.config, pool, base_dir
        self.apply_config(pool, routes)
        renumbered = self.upstream_pool.switch(
            zone_names(pool), kind_names(pool), balancer_arguments(pool, routes)
        )
        sources = [(each.discovery, each.file) for each in (previous, pool)]
        if sources[0] == sources[1] and pool.discovery:
            if renumbered and self.discovery is not None:
                self.discovery.request_whole_list()
            return
        self.stop_member_source()
        self.start_member_source(pool)

    def is_idle(self) -> bool:
        """Whether the pool holds no query and no dispatch."""
        return not (self.driver.held or self.driver.pending)

    def close(self) -> None:
        """Ends the coroutines and closes the connections of an idle pool."""
        self.stop_member_source()
        self.loop.close(self.sweep_task)
        self.upstream_pool.upstreams.ready.clear()
        self.upstream_pool.pool.close_unready()

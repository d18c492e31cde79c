"""One sidecar, put together from its configuration."""

import gc
import logging
from resource import RLIMIT_NOFILE, getrlimit

from maddercart.interface import SECOND, Permits
from maddercart.logic import Balancer
from maddercart.messages.config import Config
from maddercart.messages.upstreams import Listing
from maddercart.net.loop import Coroutine, Loop, Wait
from maddercart.net.sockets import address, listen
from maddercart.sidecar.applications import Applications
from maddercart.sidecar.clock import Clock
from maddercart.sidecar.decisions import Decisions
from maddercart.sidecar.discovery import Discovery
from maddercart.sidecar.dispatches import Dispatcher
from maddercart.sidecar.pool import Pool
from maddercart.sidecar.stopping import await_signal, stop
from maddercart.sidecar.upstreams import Upstreams
from maddercart.translation import balancer_arguments, nanos

log = logging.getLogger(__name__)

RESERVE = 32  # descriptors for the listener, discovery, epoll, signals, the log and what Python opens
COUNTS_EVERY = 10 * SECOND


def arguments(config: Config) -> dict[str, object]:
    """Raises `SettingsError`. On sockets the list comes only when asked for, and there is no probe."""
    made = balancer_arguments(config.settings)
    permits: Permits = made["permits"]
    return made | {"permits": permits._replace(follow=True, probes=False)}


class Node:
    def __init__(self, config: Config) -> None:
        settings, clock = config.settings, Clock()
        self.settings = settings
        self.loop, self.clock = Loop(clock), clock
        self.upstreams = Upstreams(settings.zones, settings.kinds)
        limits = settings.limits
        free = max(2, min(config.limits.sockets, getrlimit(RLIMIT_NOFILE)[0]) - RESERVE)
        idle_close = nanos("limits.idle_close", limits.idle_close)
        self.pool = Pool(self.loop, clock, idle_close, free - free // 2, self.upstreams.ready)
        dispatcher = Dispatcher(self.pool, clock, nanos("limits.connect_timeout", limits.connect_timeout))
        balancer = Balancer(clock(), int(config.seed, 16), **arguments(config))  # type: ignore[arg-type]
        self.discovery = Discovery(
            self.loop, clock, address(config.discovery), self.upstreams, self.learn, self.list_failed
        )
        self.decisions = Decisions(
            self.loop, clock, balancer, self.upstreams, dispatcher, self.discovery.follow
        )
        offerings = {terms.name: place for place, terms in enumerate(settings.offerings)}
        self.applications = Applications(
            self.loop, clock, self.decisions, offerings, lambda: bool(self.upstreams.ready), free // 2
        )
        self.longest = max((nanos("hard_stop", terms.hard_stop) for terms in settings.offerings), default=0)
        self.listener = listen(address(config.listen))
        self.known = config.known

    def learn(self, listing: Listing) -> None:
        self.decisions.learn(self.upstreams.learn(listing), listing.whole)
        self.pool.drop_unwanted()

    def list_failed(self) -> None:
        self.decisions.list_failed()

    def run(self) -> None:
        """Serves until it is told to stop."""
        begin = await_signal(self.loop)
        begin(stop(self.loop, self.clock, self.listener, self.applications, self.longest, self.leave))
        self.start()
        gc.collect()
        gc.freeze()  # what is there from the start need not be looked through again
        if self.settings.limits.probing:
            log.warning("the settings allow probes, and this protocol has none")
        at = "{}:{}".format(*self.listener.getsockname())
        log.info("serving", extra={"listen": at, "upstreams": len(self.upstreams.ready)})
        self.loop.run()
        log.info("stopped", extra=self.figures())

    def start(self) -> None:
        """The list last known comes before any query."""
        self.learn(self.known)
        self.applications.acceptor = self.loop.spawn(self.applications.accept_from(self.listener))
        self.loop.spawn(self.tell())

    def leave(self) -> None:
        self.loop.stopped = True

    def tell(self) -> Coroutine:
        """A line of counts now and then, while there is something to count."""
        while True:
            yield Wait(until=self.clock() + COUNTS_EVERY)
            if self.decisions.counts:
                log.info("counts", extra=self.figures())
                self.decisions.counts.clear()
                self.decisions.times.reset()

    def figures(self) -> dict[str, int]:
        return {
            **dict(sorted(self.decisions.counts.items())),
            "p50_ms": self.decisions.times.get_value_at_percentile(50),
            "p99_ms": self.decisions.times.get_value_at_percentile(99),
            "held": len(self.decisions.held), "out": len(self.decisions.out),
            "connections": len(self.applications.open), "to_upstreams": self.pool.count,
        }  # fmt: skip



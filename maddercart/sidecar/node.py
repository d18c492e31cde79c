"""The sidecar process, assembled from its configuration."""

import gc
import logging
from collections.abc import Callable, Sequence
from resource import RLIMIT_NOFILE, getrlimit

from msgspec.structs import replace

from maddercart.balancer_settings import nanos
from maddercart.interface import MILLISECOND, SECOND
from maddercart.messages.config import Config
from maddercart.messages.upstreams import Listing
from maddercart.net.loop import Coroutine, Loop, Wait
from maddercart.net.sockets import listen, parse_address
from maddercart.net.startup import retry_while_exhausted
from maddercart.sidecar.applications import ApplicationServer
from maddercart.sidecar.backing import UpstreamPool
from maddercart.sidecar.clock import MonotonicClock
from maddercart.sidecar.configuration import peering_enabled, sidecar_balancer_arguments
from maddercart.sidecar.discovery import Discovery
from maddercart.sidecar.memory import ProcessMemory, answer_body_limit, memory_figures
from maddercart.sidecar.peers import Peers
from maddercart.sidecar.request_handlers import PlatformRequestHandler
from maddercart.sidecar.signals import ignore_signals, install_signal_handlers
from maddercart.sidecar.stopping import shut_down
from maddercart.sidecar.wall_clock import WallClock

log = logging.getLogger(__name__)

# descriptors for the listener, discovery, epoll, signals, the log and what Python opens
RESERVED_DESCRIPTORS = 32
COUNTS_INTERVAL_NS = 10 * SECOND
# Retries of a new configuration file that can't be read at the moment.
CONFIG_READ_ATTEMPTS, CONFIG_RETRY_NS = 10, 100 * MILLISECOND
# Where lists are pushed, the list that the agent holds counts as told from the start of the process, so
# nothing is sent before its first message. Connections wait FIRST_LIST_WAIT_NS to be accepted, after which
# queries are bounced; an agent takes less time. Without any message the last known list is used after
# KNOWN_LIST_FALLBACK_NS: a start must be ready within 30 s even if discovery is down.
FIRST_LIST_WAIT_NS, KNOWN_LIST_FALLBACK_NS = 100 * MILLISECOND, 20 * SECOND


class SidecarNode:
    def __init__(self, config: Config, read_config: Callable[[], Config], loop: Loop | None = None) -> None:
        """`read_config` reads the configuration anew; it raises `OSError` if the file can't be read,
        `ValueError` if the configuration is invalid."""
        self.loop = loop or retry_while_exhausted(lambda: Loop(MonotonicClock()))
        settings, clock = config.settings, self.loop.clock
        self.config, self.read_config = config, read_config
        self.clock = clock
        self.memory = ProcessMemory(config.limits.memory_mb)
        self.ledger = self.memory.ledger
        self.upstream_pool = UpstreamPool(
            self.loop, clock, int(config.seed, 16), settings.zones, settings.kinds,
            sidecar_balancer_arguments(config), lambda: self.discovery.follow(), self.ledger,
        )  # fmt: skip
        self.upstreams, self.pool = self.upstream_pool.upstreams, self.upstream_pool.pool
        self.dispatcher, self.driver = self.upstream_pool.dispatcher, self.upstream_pool.driver
        self.discovery = Discovery(
            self.loop, clock, parse_address(config.discovery), self.upstreams, self.on_listings,
            self.on_list_failed
        )  # fmt: skip
        self.upstream_pool.dispatcher.has_unread_updates = self.discovery.has_unread_updates
        self.upstream_pool.dispatcher.has_unapplied_updates = self.discovery.has_unapplied_updates
        # The last known list while the first from discovery is awaited.
        self.unconfirmed: Listing | None = None
        self.peers: Peers | None = None
        if peering_enabled(config):
            self.peers = Peers(
                self.loop,
                clock,
                retry_while_exhausted(self.loop.system_calls.udp),
                parse_address(config.peer_listen),
                [parse_address(at) for at in config.peers],
                parse_address(config.peers_all),
                self.upstreams,
                self.upstream_pool.apply_peer_entries,
                self.driver.counts,
                int(config.seed, 16),
            )
        self.handler = PlatformRequestHandler(self.driver, self.upstream_pool.is_ready)
        self.applications = ApplicationServer(self.loop, clock, self.handler, self.driver.counts, self.ledger)
        self.wall_clock = WallClock()
        self.read_attempts = 0  # failed in a row
        self.longest_hard_stop = 0  # the longest hard stop of all settings so far, in nanoseconds
        self.apply_limits(config)
        self.listener = retry_while_exhausted(
            lambda: listen(parse_address(config.listen), system_calls=self.loop.system_calls)
        )

    def apply_limits(self, config: Config) -> None:
        """Applies limits and offering names, which may change while queries are held."""
        limits = config.settings.limits
        free = max(2, min(config.limits.sockets, getrlimit(RLIMIT_NOFILE)[0]) - RESERVED_DESCRIPTORS)
        self.memory.set_limit(config.limits.memory_mb)
        self.applications.max_connections = min(free // 2, self.ledger.max_connections())
        self.upstream_pool.limit(
            free - free // 2, answer_body_limit(config.limits.memory_mb),
            nanos("limits.idle_close", limits.idle_close),
            nanos("limits.connect_timeout", limits.connect_timeout),
        )  # fmt: skip
        offerings = config.settings.offerings
        self.handler.offerings = {terms.name: number for number, terms in enumerate(offerings)}
        # A held query may have been taken under a longer hard stop than the new settings have.
        self.longest_hard_stop = max(
            self.longest_hard_stop, *(nanos("hard_stop", terms.hard_stop) for terms in offerings)
        )

    def reload(self) -> None:
        """Reloads the configuration on SIGHUP, except for `name` and `listen`, which need a restart. A
        configuration that can't be used is logged and changes nothing."""
        try:
            config = self.read_config()
        except OSError as error:
            self.config_read_failed(error)
            return
        except ValueError as error:
            log.error("new configuration rejected", extra={"reason": str(error)})
            return
        self.read_attempts = 0
        restart_for = [
            name for name in ("name", "listen") if getattr(config, name) != getattr(self.config, name)
        ]
        log.info(
            "configuration reloaded", extra={"wants_a_restart": ",".join(restart_for)} if restart_for else {}
        )
        former, self.config = self.config, replace(config, name=self.config.name, listen=self.config.listen)
        self.apply_limits(config)
        if config.settings != former.settings:
            self.switch_settings(config)
        self.discovery.switch_service(parse_address(config.discovery))

    def config_read_failed(self, error: OSError) -> None:
        """Retries later: the failure may be temporary, and the file may name another discovery service."""
        self.read_attempts += 1
        if self.read_attempts < CONFIG_READ_ATTEMPTS:
            self.loop.call_at(self.clock() + CONFIG_RETRY_NS, self.reload)
        else:
            log.error("new configuration rejected", extra={"reason": str(error)})
            self.read_attempts = 0

    def switch_settings(self, config: Config) -> None:
        """See `UpstreamPool.switch`."""
        settings = config.settings
        if self.upstream_pool.switch(settings.zones, settings.kinds, sidecar_balancer_arguments(config)):
            self.discovery.request_whole_list()
        offerings = ",".join(terms.name for terms in settings.offerings)
        log.info("settings switched", extra={"offerings": offerings, "zones": ",".join(settings.zones)})

    def run(self) -> None:
        """Serves until it is told to stop."""
        self.start()
        install_signal_handlers(self.loop, self.stop, self.reload)
        gc.collect()
        gc.freeze()  # objects from the start need no further garbage collection
        self.memory.measure_own()
        self.apply_limits(self.config)
        if self.config.settings.limits.probing:
            log.warning("the settings allow probes, but this protocol has none")
        listen_address = "{}:{}".format(*self.listener.getsockname())
        log.info("serving", extra={"listen": listen_address, "upstreams": len(self.upstreams.ready)})
        self.loop.run()
        ignore_signals()
        log.info("stopped", extra=self.figures())

    def start(self) -> None:
        """Starts serving. The last known list is applied before any query is taken, unless lists are
        pushed."""
        if self.config.settings.discovery == "push":
            self.unconfirmed, self.upstreams.version = self.config.known, self.config.known.seq
            self.loop.call_at(self.clock() + FIRST_LIST_WAIT_NS, self.start_accepting)
            self.loop.call_at(self.clock() + KNOWN_LIST_FALLBACK_NS, self.use_known_list)
            self.discovery.follow()
        else:
            self.upstream_pool.apply_listings([self.config.known])
            self.start_accepting()
        if self.peers is not None:
            self.peers.ask()
        self.loop.spawn(self.log_counts())
        self.loop.spawn(self.pool.close_expired())

    def start_accepting(self) -> None:
        if self.applications.accept_task is None and not self.applications.stopping:
            self.applications.accept_task = self.loop.spawn(
                self.applications.accept_connections(self.listener)
            )

    def use_known_list(self) -> None:
        if self.unconfirmed is not None:
            log.warning(
                "nothing received from discovery; using the last known list",
                extra={"seq": self.unconfirmed.seq},
            )
            known, self.unconfirmed = self.unconfirmed, None
            self.upstream_pool.apply_listings([known])

    def on_listings(self, listings: Sequence[Listing]) -> None:
        """Applies listings from discovery. The first may only hold changes to the last known list."""
        known, self.unconfirmed = self.unconfirmed, None
        self.upstream_pool.apply_listings([known, *listings] if known is not None else listings)
        self.start_accepting()
        if self.peers is not None:
            self.peers.set_discovery_live(True)

    def on_list_failed(self, remaining_ns: int | None) -> None:
        if self.peers is not None:
            self.peers.set_discovery_live(False)
        self.upstream_pool.on_list_failed(remaining_ns)

    def stop(self) -> None:
        """Begins the graceful shutdown; `run` returns once it is complete."""
        stopping = shut_down(
            self.loop, self.clock, self.listener, self.applications, self.longest_hard_stop, self.stop_loop
        )
        self.loop.spawn(stopping)

    def stop_loop(self) -> None:
        self.loop.stopped = True

    def log_counts(self) -> Coroutine:
        """Logs the counts at intervals, unless nothing was counted."""
        while True:
            yield Wait(deadline=self.clock() + COUNTS_INTERVAL_NS)
            self.wall_clock.check()
            if self.driver.counts:
                log.info("counts", extra=self.figures())
                log.info("memory", extra=memory_figures(self.ledger))
                self.driver.counts.clear()
                self.driver.latencies_ms.reset()

    def figures(self) -> dict[str, int]:
        return {
            **dict(sorted(self.driver.counts.items())),
            "p50_ms": self.driver.latencies_ms.get_value_at_percentile(50),
            "p99_ms": self.driver.latencies_ms.get_value_at_percentile(99),
            "held": len(self.driver.held), "out": len(self.driver.pending),
            "connections": len(self.applications.connections), "to_upstreams": self.pool.connection_count,
        }  # fmt: skip

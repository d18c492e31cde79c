"""The gateway process: listeners, routes and pools from a configuration file, reloaded on SIGHUP."""

import gc
import logging
import secrets
import socket
from collections.abc import Callable
from pathlib import Path
from resource import RLIMIT_NOFILE, getrlimit

from maddercart.gateway.check import read_gateway
from maddercart.gateway.config import ConfigFileError, GatewayConfig, Listener, Route
from maddercart.gateway.config_reader import ConfigReader
from maddercart.gateway.front import HttpRequestHandler, Routing
from maddercart.gateway.pools import ActivePool, seconds_to_ns
from maddercart.interface import SECOND
from maddercart.net.loop import Coroutine, Loop, Wait
from maddercart.net.sockets import listen, parse_address
from maddercart.sidecar.applications import ApplicationServer
from maddercart.sidecar.clock import MonotonicClock
from maddercart.sidecar.memory import ProcessMemory, answer_body_limit, memory_figures
from maddercart.sidecar.node import COUNTS_INTERVAL_NS, RESERVED_DESCRIPTORS
from maddercart.sidecar.signals import ignore_signals, install_signal_handlers
from maddercart.sidecar.stopping import shut_down

log = logging.getLogger(__name__)

MIN_CONNECTIONS = 2  # the least even share of a pool or a listener, however many share the descriptors


class ActiveListener:
    """A listener of the current configuration with its listening socket and client connections."""

    def __init__(self, config: Listener, sock: socket.socket, applications: ApplicationServer) -> None:
        self.config, self.sock, self.applications = config, sock, applications


class GatewayNode:
    def __init__(self, path: Path) -> None:
        """Loads the configuration file at `path` and opens all listeners.

        Raises `ConfigFileError` for an unusable file, or `OSError` for an address that cannot be bound.
        """
        self.path = path
        self.config = read_gateway(path)
        self.clock = MonotonicClock()
        self.loop = Loop(self.clock)
        self.seed = self.config.process.seed or secrets.randbits(63)
        self.memory = ProcessMemory(self.config.process.memory_mb)
        self.ledger = self.memory.ledger
        self.routing = Routing(self.clock, self.seed, self.ledger)
        self.pools: dict[str, ActivePool] = {}  # by pool name
        # Pools that the current configuration no longer has, but that still hold queries or dispatches.
        self.draining_pools: list[ActivePool] = []
        self.active_listeners: dict[str, ActiveListener] = {}  # by listener name
        # The longest hard stop (a duration) so far, and the instant of the next report of routing counters.
        self.longest_hard_stop = self.next_report_at = 0
        self.stopping = False
        self.apply(self.config, self.open_sockets(self.config))

    # -- applying a configuration

    def open_sockets(self, config: GatewayConfig) -> dict[str, socket.socket]:
        """Opens a socket for each listener address that is not bound yet; returns them by listener name.

        Raises `OSError` if an address cannot be bound; in that case no socket stays open.
        """
        bound, opened = {active.config.address for active in self.active_listeners.values()}, {}
        try:
            for listener in config.listeners:
                if listener.address not in bound or listener.address.endswith(":0"):
                    active = self.active_listeners.get(listener.name)
                    if active is None or active.config.address != listener.address:
                        opened[listener.name] = listen(parse_address(listener.address))
        except OSError as error:
            for sock in opened.values():
                sock.close()
            raise OSError(error.errno, f"{listener.address}: {error.strerror}") from error
        return opened

    def apply(self, config: GatewayConfig, opened: dict[str, socket.socket]) -> None:
        """Switches to a checked configuration within one turn of the loop.

        `opened` are the sockets from `open_sockets`. Nothing in here may fail for any content that passed the
        check, since a configuration takes effect as a whole or not at all.
        """
        self.config = config
        routes_of = {pool.name: routes_for(config, pool.name) for pool in config.pools}
        previous, self.pools = self.pools, {}
        for n, pool in enumerate(config.pools):
            active_pool = previous.pop(pool.name, None)
            if active_pool is None:
                active_pool = ActivePool(
                    self.loop, self.clock, self.seed + n, pool, routes_of[pool.name], self.path.parent,
                    self.ledger,
                )  # fmt: skip
            elif (active_pool.config, active_pool.routes) != (pool, routes_of[pool.name]):
                active_pool.reconfigure(pool, routes_of[pool.name], self.path.parent)
            active_pool.routes = routes_of[pool.name]
            self.pools[pool.name] = active_pool
        for active_pool in previous.values():  # removed pools complete the queries that they hold
            active_pool.stop_member_source()
            self.draining_pools.append(active_pool)
        self.routing.reconfigure(config.routes, self.pools, config.log)
        self.apply_listeners(config, opened)
        self.divide_resources(config)
        hard_stops = [seconds_to_ns(route.stop) for route in config.routes]
        # Never lowered: held queries may have been accepted under an earlier, longer hard stop.
        self.longest_hard_stop = max(self.longest_hard_stop, *hard_stops)

    def apply_listeners(self, config: GatewayConfig, opened: dict[str, socket.socket]) -> None:
        """Starts new listeners, keeps those whose address stays and closes those that were removed."""
        by_address = {active.config.address: active for active in self.active_listeners.values()}
        active_listeners: dict[str, ActiveListener] = {}
        for listener in config.listeners:
            handler = HttpRequestHandler(listener.name, listener.ready, self.routing, self.is_ready)
            if listener.name in opened:
                sock = opened[listener.name]
                applications = ApplicationServer(
                    self.loop, self.clock, handler, self.routing.counts, self.ledger
                )
                active_listeners[listener.name] = ActiveListener(listener, sock, applications)
                applications.accept_task = self.loop.spawn(applications.accept_connections(sock))
                continue
            active = by_address.pop(listener.address)  # the listener at this address may have been renamed
            active.config, active.applications.handler = listener, handler
            active_listeners[listener.name] = active
        removed = [
            active for active in self.active_listeners.values() if active not in active_listeners.values()
        ]
        self.active_listeners = active_listeners
        for active in removed:
            log.info("closing listener", extra={
                "listener": active.config.name, "address": active.config.address,
            })  # fmt: skip
            self.loop.spawn(
                shut_down(
                    self.loop, self.clock, active.sock, active.applications, self.longest_hard_stop,
                    lambda: None,
                )
            )  # fmt: skip

    def divide_resources(self, config: GatewayConfig) -> None:
        """Divides descriptors, and limits memory.

        Half of the descriptors go to listeners and half to pools, in even shares. All share one memory
        ledger.
        """
        free = max(2, min(config.process.descriptors, getrlimit(RLIMIT_NOFILE)[0]) - RESERVED_DESCRIPTORS)
        answer_bytes = answer_body_limit(config.process.memory_mb)
        self.memory.set_limit(config.process.memory_mb)
        listeners = len(self.active_listeners)
        memory_connections = max(MIN_CONNECTIONS, self.ledger.max_connections() // listeners)
        for active in self.active_listeners.values():
            connections = active.config.connections or max(MIN_CONNECTIONS, free // 2 // listeners)
            active.applications.max_connections = min(connections, memory_connections)
            active.applications.max_body_bytes = max(route.body for route in config.routes)
        for active_pool in self.pools.values():
            active_pool.set_limits(
                max(MIN_CONNECTIONS, (free - free // 2) // len(self.pools)), answer_bytes // len(self.pools)
            )

    def reload(self) -> None:
        """Reads the file on the calling thread and applies it as a whole, or not at all if it is unusable."""
        try:
            self.apply_reload(read_gateway(self.path))
        except ConfigFileError as error:
            self.apply_reload(error)

    def apply_reload(self, result: GatewayConfig | ConfigFileError) -> None:
        """Applies a configuration that was read; logs an error and keeps the current one if that fails."""
        if self.stopping:
            return
        try:
            if isinstance(result, ConfigFileError):
                raise result
            opened = self.open_sockets(result)
        except ConfigFileError as error:
            for line in str(error).splitlines():
                log.error("cannot apply new configuration", extra={"reason": line})
            return
        except OSError as error:
            log.error("cannot apply new configuration", extra={"reason": str(error)})
            return
        self.apply(result, opened)
        log.info("file read again", extra={
            "listeners": len(self.active_listeners), "routes": len(result.routes), "pools": len(self.pools),
            "leaving": len(self.draining_pools),
        })  # fmt: skip

    # -- serving

    def is_ready(self) -> bool:
        """Whether each pool that a route names has a member that takes queries."""
        return all(
            active_pool.upstream_pool.is_ready() for active_pool in self.pools.values() if active_pool.routes
        )

    def start(self) -> None:
        self.loop.spawn(self.report_counts())

    def run(self) -> None:
        """Serves until SIGTERM has been handled."""
        self.start()
        install_signal_handlers(
            self.loop, self.stop, ConfigReader(self.loop, self.path, self.apply_reload).request_read
        )
        gc.collect()
        gc.freeze()
        self.memory.measure_own()
        self.divide_resources(self.config)
        addresses = ",".join(
            "{}:{}".format(*active.sock.getsockname()) for active in self.active_listeners.values()
        )
        log.info("serving", extra={
            "listen": addresses, "routes": len(self.config.routes), "pools": len(self.pools),
        })  # fmt: skip
        self.loop.run()
        ignore_signals()
        log.info("stopped", extra=self.total_counts())

    def stop(self) -> None:
        """Drains all listeners; the loop stops once the last one has closed."""
        self.stopping = True
        still_open = list(self.active_listeners.values())

        def closed_callback(active: ActiveListener) -> Callable[[], None]:
            def on_closed() -> None:
                still_open.remove(active)
                self.loop.stopped = not still_open

            return on_closed

        for active in list(still_open):
            callback = closed_callback(active)
            self.loop.spawn(
                shut_down(
                    self.loop, self.clock, active.sock, active.applications, self.longest_hard_stop, callback
                )
            )

    def report_counts(self) -> Coroutine:
        """Periodically logs counters, per pool and for routing, and closes drained pools."""
        while True:
            yield Wait(deadline=self.clock() + min(COUNTS_INTERVAL_NS, SECOND))
            self.routing.hold_keys()
            for active_pool in [drained for drained in self.draining_pools if drained.is_idle()]:
                self.draining_pools.remove(active_pool)
                active_pool.close()
                log.info("removed pool closed", extra={"pool": active_pool.config.name})
            for name, active_pool in self.pools.items():
                if active_pool.driver.counts and self.report_due(active_pool):
                    log.info("counts", extra={"pool": name, **self.pool_figures(active_pool)})
                    active_pool.driver.counts.clear()
                    active_pool.driver.latencies_ms.reset()
            if self.routing.counts and self.clock() >= self.next_report_at:
                self.next_report_at = self.clock() + COUNTS_INTERVAL_NS
                log.info("counts", extra=dict(sorted(self.routing.counts.items())))
                log.info("memory", extra=memory_figures(self.ledger))
                self.routing.counts.clear()

    def report_due(self, active_pool: ActivePool) -> bool:
        """Whether the pool's counters are to be logged now; if so, schedules its next report."""
        now = self.clock()
        if now < active_pool.next_report_at:
            return False
        active_pool.next_report_at = now + COUNTS_INTERVAL_NS
        return True

    def pool_figures(self, active_pool: ActivePool) -> dict[str, int | float]:
        """Counters since the pool's last report, latency percentiles and current gauges."""
        decisions = active_pool.driver
        figures: dict[str, int | float] = {
            **dict(sorted(decisions.counts.items())),
            "p50_ms": decisions.latencies_ms.get_value_at_percentile(50),
            "p99_ms": decisions.latencies_ms.get_value_at_percentile(99), "held": len(decisions.held),
            "out": len(decisions.pending), "to_upstreams": active_pool.upstream_pool.pool.connection_count,
        }  # fmt: skip
        if active_pool.adaptive_limiter is not None:
            figures["limit"] = int(active_pool.adaptive_limiter.limit)
        if active_pool.retry_limiter is not None:
            figures["budget"] = round(active_pool.retry_limiter.balance, 1)
        return figures

    def total_counts(self) -> dict[str, int | float]:
        """Counters since the last reports, summed over routing and all pools."""
        totals: dict[str, int | float] = dict(self.routing.counts)
        for active_pool in self.pools.values():
            for name, value in active_pool.driver.counts.items():
                totals[name] = totals.get(name, 0) + value
        return totals


def routes_for(config: GatewayConfig, pool: str) -> list[Route]:
    """The routes that send queries to the named pool, in file order."""
    return [route for route in config.routes if pool in [target.pool for target in route.to]]

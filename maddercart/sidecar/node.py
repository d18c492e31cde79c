"""The sidecar process, assembled from its configuration."""

import gc
import logging
from collections.abc import Callable, Sequence
from resource import RLIMIT_NOFILE, getrlimit

from msgspec.structs import replace

from maddercart.interface import MILLISECOND, SECOND
from maddercart.messages.config import Config
from maddercart.messages.upstreams import Listing
from maddercart.net.loop import Coroutine, Loop, Wait
from maddercart.net.sockets import address, listen
from maddercart.net.startup import retry_lack
from maddercart.sidecar.applications import Applications
from maddercart.sidecar.backing import Backing
from maddercart.sidecar.clock import Clock
from maddercart.sidecar.configuration import arguments, peering
from maddercart.sidecar.discovery import Discovery
from maddercart.sidecar.fronts import PlatformFront
from maddercart.sidecar.peers import Peers
from maddercart.sidecar.signals import await_signals
from maddercart.sidecar.stopping import stop
from maddercart.sidecar.wall_clock import WallClock
from maddercart.translation import nanos

log = logging.getLogger(__name__)

RESERVE = 32  # descriptors for the listener, discovery, epoll, signals, the log and what Python opens
MEGABYTE = 1 << 20
# Share of the memory limit for bodies being received: each is copied once to be sent, and the program
# itself needs 30 MB.
BODIES = 0.15
COUNTS_EVERY = 10 * SECOND
# Retries of a new configuration file that can't be read at the moment.
CONFIG_READ_ATTEMPTS, CONFIG_RETRY_NS = 10, 100 * MILLISECOND
# Where lists are pushed, the list that the agent holds counts as told from the start of the process, so
# nothing is sent before its first message. Connections wait FIRST_WORD to be accepted, after which queries
# are bounced; an agent takes less time. Without any message the last known list is used after WITHOUT_WORD:
# a start must be ready within 30 s even if discovery is down.
FIRST_WORD, WITHOUT_WORD = 100 * MILLISECOND, 20 * SECOND


class Node:
    def __init__(self, config: Config, again: Callable[[], Config], loop: Loop | None = None) -> None:
        """`again` reads the configuration anew; it raises `OSError` if the file can't be read, `ValueError`
        if the configuration is invalid."""
        self.loop = loop or retry_lack(lambda: Loop(Clock()))
        settings, clock = config.settings, self.loop.clock
        self.config, self.again = config, again
        self.clock = clock
        self.backing = Backing(
            self.loop, clock, int(config.seed, 16), settings.zones, settings.kinds, arguments(config),
            lambda: self.discovery.follow(),
        )  # fmt: skip
        self.upstreams, self.pool = self.backing.upstreams, self.backing.pool
        self.dispatcher, self.decisions = self.backing.dispatcher, self.backing.decisions
        self.discovery = Discovery(
            self.loop, clock, address(config.discovery), self.upstreams, self.learn, self.list_failed
        )  # fmt: skip
        self.backing.dispatcher.news = self.discovery.news
        # The last known list while the first from discovery is awaited.
        self.unconfirmed: Listing | None = None
        self.peers: Peers | None = None
        if peering(config):
            self.peers = Peers(
                self.loop,
                clock,
                retry_lack(self.loop.machine.udp),
                address(config.peer_listen),
                [address(at) for at in config.peers],
                address(config.peers_all),
                self.upstreams,
                self.backing.hear,
                self.decisions.counts,
                int(config.seed, 16),
            )
        self.front = PlatformFront(self.decisions, self.backing.ready)
        self.applications = Applications(self.loop, clock, self.front, self.decisions.counts)
        self.wall_clock = WallClock()
        self.read_attempts = 0  # failed in a row
        self.longest = 0  # the longest hard stop of all settings so far, in nanoseconds
        self.apply_limits(config)
        self.listener = retry_lack(lambda: listen(address(config.listen), machine=self.loop.machine))

    def apply_limits(self, config: Config) -> None:
        """Applies limits and offering names, which may change while queries are held."""
        limits = config.settings.limits
        free = max(2, min(config.limits.sockets, getrlimit(RLIMIT_NOFILE)[0]) - RESERVE)
        self.applications.most = free // 2
        self.backing.limit(
            free - free // 2, int(config.limits.memory_mb * MEGABYTE * BODIES),
            nanos("limits.idle_close", limits.idle_close),
            nanos("limits.connect_timeout", limits.connect_timeout),
        )  # fmt: skip
        offerings = config.settings.offerings
        self.front.offerings = {terms.name: number for number, terms in enumerate(offerings)}
        # A held query may have been taken under a longer hard stop than the new settings have.
        self.longest = max(self.longest, *(nanos("hard_stop", terms.hard_stop) for terms in offerings))

    def renew(self) -> None:
        """Reloads the configuration on SIGHUP, except for `name` and `listen`, which need a restart. A
        configuration that can't be used is logged and changes nothing."""
        try:
            config = self.again()
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
        self.discovery.move(address(config.discovery))

    def config_read_failed(self, error: OSError) -> None:
        """Retries later: the failure may be temporary, and the file may name another discovery service."""
        self.read_attempts += 1
        if self.read_attempts < CONFIG_READ_ATTEMPTS:
            self.loop.at(self.clock() + CONFIG_RETRY_NS, self.renew)
        else:
            log.error("new configuration rejected", extra={"reason": str(error)})
            self.read_attempts = 0

    def switch_settings(self, config: Config) -> None:
        """See `Backing.switch`."""
        settings = config.settings
        if self.backing.switch(settings.zones, settings.kinds, arguments(config)):
            self.discovery.begin_anew()
        offerings = ",".join(terms.name for terms in settings.offerings)
        log.info("settings switched", extra={"offerings": offerings, "zones": ",".join(settings.zones)})

    def run(self) -> None:
        """Serves until it is told to stop."""
        self.start()
        await_signals(self.loop, self.stop, self.renew)
        gc.collect()
        gc.freeze()  # objects from the start need no further garbage collection
        if self.config.settings.limits.probing:
            log.warning("the settings allow probes, but this protocol has none")
        listen_address = "{}:{}".format(*self.listener.getsockname())
        log.info("serving", extra={"listen": listen_address, "upstreams": len(self.upstreams.ready)})
        self.loop.run()
        log.info("stopped", extra=self.figures())

    def start(self) -> None:
        """Starts serving. The last known list is applied before any query is taken, unless lists are
        pushed."""
        if self.config.settings.discovery == "push":
            self.unconfirmed, self.upstreams.version = self.config.known, self.config.known.seq
            self.loop.at(self.clock() + FIRST_WORD, self.start_accepting)
            self.loop.at(self.clock() + WITHOUT_WORD, self.use_known_list)
            self.discovery.follow()
        else:
            self.backing.learn([self.config.known])
            self.start_accepting()
        if self.peers is not None:
            self.peers.ask()
        self.loop.spawn(self.log_counts())
        self.loop.spawn(self.pool.sweep())

    def start_accepting(self) -> None:
        if self.applications.acceptor is None and not self.applications.stopping:
            self.applications.acceptor = self.loop.spawn(self.applications.accept_from(self.listener))

    def use_known_list(self) -> None:
        if self.unconfirmed is not None:
            log.warning(
                "nothing received from discovery; using the last known list",
                extra={"seq": self.unconfirmed.seq},
            )
            known, self.unconfirmed = self.unconfirmed, None
            self.backing.learn([known])

    def learn(self, listings: Sequence[Listing]) -> None:
        """Applies listings from discovery. The first may only hold changes to the last known list."""
        known, self.unconfirmed = self.unconfirmed, None
        self.backing.learn([known, *listings] if known is not None else listings)
        self.start_accepting()
        if self.peers is not None:
            self.peers.follows(True)

    def list_failed(self, left: int | None) -> None:
        if self.peers is not None:
            self.peers.follows(False)
        self.backing.list_failed(left)

    def stop(self) -> None:
        """Begins the graceful shutdown; `run` returns once it is complete."""
        stopping = stop(self.loop, self.clock, self.listener, self.applications, self.longest, self.stop_loop)
        self.loop.spawn(stopping)

    def stop_loop(self) -> None:
        self.loop.stopped = True

    def log_counts(self) -> Coroutine:
        """Logs the counts at intervals, unless nothing was counted."""
        while True:
            yield Wait(until=self.clock() + COUNTS_EVERY)
            self.wall_clock.check()
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
            "connections": len(self.applications.connections), "to_upstreams": self.pool.count,
        }  # fmt: skip

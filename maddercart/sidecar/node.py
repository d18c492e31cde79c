"""One sidecar, put together from its configuration."""

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
# Of the memory for bodies that are coming in: a copy of each goes out, and the program needs its own 30 MB.
BODIES = 0.15
COUNTS_EVERY = 10 * SECOND
READ_TRIES, READ_AGAIN = 10, 100 * MILLISECOND  # at a new configuration that can't be read for a moment
# Where lists are pushed, what the agent has counts as told from a process's first moment: nothing is sent
# before its first word. What comes meanwhile waits that long before it is bounced: an agent takes less.
# Without a word at all the list last known is gone by: discovery that is down must not keep a start from
# being ready, for which there are 30 s.
FIRST_WORD, WITHOUT_WORD = 100 * MILLISECOND, 20 * SECOND


class Node:
    def __init__(self, config: Config, again: Callable[[], Config], loop: Loop | None = None) -> None:
        """`again` reads the configuration anew; raises `OSError` or `ValueError` if it can't be used."""
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
        self.unsaid: Listing | None = None  # the list last known, not gone by before discovery's first word
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
        self.read_tries = 0  # at a configuration that could not be read
        self.longest = 0
        self.limit(config)
        self.listener = retry_lack(lambda: listen(address(config.listen), machine=self.loop.machine))

    def limit(self, config: Config) -> None:
        """What may change under load."""
        limits = config.settings.limits
        free = max(2, min(config.limits.sockets, getrlimit(RLIMIT_NOFILE)[0]) - RESERVE)
        self.applications.most = free // 2
        self.backing.limit(
            free - free // 2, int(config.limits.memory_mb * MEGABYTE * BODIES),
            nanos("limits.idle_close", limits.idle_close),
            nanos("limits.connect_timeout", limits.connect_timeout),
        )  # fmt: skip
        offerings = config.settings.offerings
        self.front.offerings = {terms.name: place for place, terms in enumerate(offerings)}
        # What is held may have been taken under a longer hard stop than the new settings have.
        self.longest = max(self.longest, *(nanos("hard_stop", terms.hard_stop) for terms in offerings))

    def renew(self) -> None:
        """SIGHUP: a new configuration is followed as far as that goes while queries are held."""
        try:
            config = self.again()
        except OSError as error:
            self.read_failed(error)
            return
        except ValueError as error:
            log.error("new configuration can't be used", extra={"reason": str(error)})
            return
        self.read_tries = 0
        wants = [name for name in ("name", "listen") if getattr(config, name) != getattr(self.config, name)]
        log.info("configuration read again", extra={"wants_a_restart": ",".join(wants)} if wants else {})
        former, self.config = self.config, replace(config, name=self.config.name, listen=self.config.listen)
        self.limit(config)
        if config.settings != former.settings:
            self.switch(config)
        self.discovery.move(address(config.discovery))

    def read_failed(self, error: OSError) -> None:
        """A file that can't be read for a moment is read again: it may name another discovery."""
        self.read_tries += 1
        if self.read_tries < READ_TRIES:
            self.loop.at(self.clock() + READ_AGAIN, self.renew)
        else:
            log.error("new configuration can't be used", extra={"reason": str(error)})
            self.read_tries = 0

    def switch(self, config: Config) -> None:
        """All that goes by an offering's, a zone's or a kind's number changes in this one turn. The way back
        is the same step."""
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
        gc.freeze()  # what is there from the start need not be looked through again
        if self.config.settings.limits.probing:
            log.warning("the settings allow probes, and this protocol has none")
        at = "{}:{}".format(*self.listener.getsockname())
        log.info("serving", extra={"listen": at, "upstreams": len(self.upstreams.ready)})
        self.loop.run()
        log.info("stopped", extra=self.figures())

    def start(self) -> None:
        """The list last known comes before any query."""
        if self.config.settings.discovery == "push":
            self.unsaid, self.upstreams.version = self.config.known, self.config.known.seq
            self.loop.at(self.clock() + FIRST_WORD, self.accept)
            self.loop.at(self.clock() + WITHOUT_WORD, self.go_by_known)
            self.discovery.follow()
        else:
            self.backing.learn([self.config.known])
            self.accept()
        if self.peers is not None:
            self.peers.ask()
        self.loop.spawn(self.tell())
        self.loop.spawn(self.pool.sweep())

    def accept(self) -> None:
        if self.applications.acceptor is None and not self.applications.stopping:
            self.applications.acceptor = self.loop.spawn(self.applications.accept_from(self.listener))

    def go_by_known(self) -> None:
        if self.unsaid is not None:
            log.warning("no word of discovery, going by the list last known", extra={"seq": self.unsaid.seq})
            known, self.unsaid = self.unsaid, None
            self.backing.learn([known])

    def learn(self, listings: Sequence[Listing]) -> None:
        """From discovery; the first time what it tells is a change of what was last known."""
        known, self.unsaid = self.unsaid, None
        self.backing.learn([known, *listings] if known is not None else listings)
        self.accept()
        if self.peers is not None:
            self.peers.follows(True)

    def list_failed(self, left: int | None) -> None:
        if self.peers is not None:
            self.peers.follows(False)
        self.backing.list_failed(left)

    def stop(self) -> None:
        stopping = stop(self.loop, self.clock, self.listener, self.applications, self.longest, self.leave)
        self.loop.spawn(stopping)

    def leave(self) -> None:
        self.loop.stopped = True

    def tell(self) -> Coroutine:
        """A line of counts now and then, while there is something to count."""
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
            "connections": len(self.applications.open), "to_upstreams": self.pool.count,
        }  # fmt: skip

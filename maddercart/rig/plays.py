"""Generated deployments: the real sidecar code runs on the simulated network through random events.

A play is reproducible: its settings, events and load all follow from its seed.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from maddercart.interface import MILLISECOND, SECOND
from maddercart.messages.config import Config
from maddercart.net.loop import Loop
from maddercart.rig.rule_checks import Observations, RuleSettings, SidecarLifetime, check_rules
from maddercart.rig.simulated_clients import ClientQuery, FakeClients
from maddercart.rig.simulated_discovery import FakeDiscovery, ListVersion
from maddercart.rig.simulated_network import ONE_WAY_DELAY_NS, Address, SimulatedNetwork
from maddercart.rig.simulated_upstreams import FakeUpstream, FakeUpstreams
from maddercart.sidecar.configuration import parse_configuration
from maddercart.sidecar.node import SidecarNode

LISTEN_ADDRESS, PEER_LISTEN_ADDRESS = ("10.0.0.4", 5000), ("10.0.0.4", 7946)
DISCOVERY_ADDRESSES = (("10.2.0.1", 8500), ("10.2.0.2", 8501))
DURATION_NS = 16 * SECOND
EVENT_KINDS = (
    "drain", "drain", "gone", "replaced", "replaced", "restarted", "silence", "failing", "down", "moved",
    "killed", "term", "added",
)  # fmt: skip


@dataclass
class PlayResult:
    """Outcome of one play."""

    seed: int
    description: str  # discovery mode, drain grace and events
    violations: list[str]  # one line for each rule violation
    queries: int  # queries that clients sent
    succeeded: int  # queries answered with status 200
    withdrawn: int  # dispatches that the sidecar withdrew, over all its processes


class Play:
    """One sidecar with generated settings, between fake clients, upstreams and two discovery services.

    Times are nanoseconds, except `idle_close` (seconds) and `hard_stop_ms`.
    """

    def __init__(self, seed: int) -> None:
        self.rng = rng = Random(seed)
        self.seed, self.network = seed, SimulatedNetwork()
        self.push, self.zone_count = rng.random() < 0.5, rng.choice([1, 2, 3])
        self.drain_grace = rng.choice([50, 50, 100, 300, 1000, 3000]) * MILLISECOND
        self.connect_timeout = rng.choice([250, 500, 1000]) * MILLISECOND
        # With a short idle timeout most queries need a new connection.
        self.idle_close = rng.choice([0.2, 0.2, 30.0])
        # Share of the connections to upstreams that take up to 1 s to be established.
        self.slow_connect_share = rng.choice([0.0, 0.5, 0.9])
        self.may_tell_peers = rng.random() < 0.5
        self.ask_within = rng.choice([2, 5, 10]) * SECOND
        self.idempotency_window, self.hard_stop_ms = (
            rng.choice([500, 1500]) * MILLISECOND,
            rng.choice([600, 1500, 3000]),
        )
        self.upstreams = FakeUpstreams(self.network, rng, rng.choice([0.0, 0.1, 0.3]))
        self.history: list[ListVersion] = []
        self.upstream_count = 0
        self.network.connect_delay = self.connect_delay
        self.publish([self.add_upstream().list_entry() for _ in range(rng.choice([3, 8, 20]))])
        self.discoveries = [
            FakeDiscovery(self.network, address, self.history, rng, n * 1000)
            for n, address in enumerate(DISCOVERY_ADDRESSES)
        ]
        self.active_discovery = 0  # index of the discovery service that the configuration names
        self.lifetimes: list[SidecarLifetime] = []
        self.silenced_at: list[int] = []
        self.restored_at: list[int] = []
        self.withdrawn = 0
        offerings = [(name, self.hard_stop_ms * MILLISECOND) for name in ("look", "post", "once")]
        self.clients = FakeClients(self.network, LISTEN_ADDRESS, offerings, rng)

    def connect_delay(self, address: Address) -> int:
        """Time until a connection is established."""
        if address in DISCOVERY_ADDRESSES or self.rng.random() >= self.slow_connect_share:
            return ONE_WAY_DELAY_NS
        return int(self.rng.uniform(0, 1) * SECOND)

    # -- the discovery list

    def add_upstream(self, dial: str = "", zone: str = "") -> FakeUpstream:
        self.upstream_count += 1
        launched_ms = self.network.now // MILLISECOND if self.history else 0
        dial = dial or f"10.1.{self.upstream_count // 200}.{self.upstream_count % 200 + 1}:5000"
        zone = zone or "abc"[self.upstream_count % self.zone_count]
        return self.upstreams.start(FakeUpstream(f"s-{self.upstream_count}", dial, zone, launched_ms))

    def publish(self, entries: list[dict[str, Any]]) -> None:
        """Adds a version to the list's history, without sending it to watches."""
        self.history.append(ListVersion(len(self.history), self.network.now, entries))

    def publish_upstreams(self, *upstreams: FakeUpstream) -> None:
        """Publishes the state of these upstreams and sends it to the open watches."""
        self.publish([upstream.list_entry() for upstream in upstreams])
        for discovery in self.discoveries:
            if not discovery.down:
                discovery.push_latest()

    def some_serving(self) -> list[FakeUpstream]:
        """A random selection of the serving upstreams, which leaves out at least one."""
        serving = [upstream for upstream in self.upstreams.by_host.values() if upstream.health == "SERVING"]
        return self.rng.sample(serving, min(len(serving) - 1, self.rng.choice([1, 1, len(serving) // 2])))

    # -- events

    def apply_event(self, kind: str) -> None:
        rng, discovery = self.rng, self.discoveries[self.active_discovery]
        match kind:
            case "drain" | "gone":
                for upstream in (selected := self.some_serving()):
                    upstream.health = "DRAINING" if kind == "drain" else "DELETED"
                    upstream.responds = upstream.responds and rng.random() < 0.7
                if selected:
                    self.publish_upstreams(*selected)
            case "replaced":
                for upstream in self.some_serving():
                    upstream.health = "DELETED"
                    # A successor at the same address, in the same zone, can't be told from its predecessor
                    # by a sidecar that was not informed.
                    same_address = rng.random() < 0.5
                    self.publish_upstreams(
                        upstream,
                        self.add_upstream(upstream.dial, upstream.zone)
                        if same_address
                        else self.add_upstream(),
                    )
            case "restarted":
                for upstream in self.some_serving()[:2]:
                    upstream.launched_ms = self.network.now // MILLISECOND
                    self.publish_upstreams(upstream)
            case "added":
                self.publish_upstreams(self.add_upstream())
            case "silence":
                self.silenced_at.append(self.network.now)
                discovery.silence_watches()
                discovery.fault = rng.choice(["", "", "503"])
                self.clear_fault_after(discovery, int(rng.uniform(0.1, 3.6) * SECOND))
                self.network.schedule_after(SECOND, lambda: self.apply_event("drain"))
            case "failing":
                discovery.fault = rng.choice(["503", "reset"])
                self.clear_fault_after(discovery, SECOND)
            case "down":
                if not discovery.down:
                    discovery.stop()
                    self.restored_at.append(self.network.now + 2 * SECOND)
                    self.network.schedule_at(self.restored_at[-1], discovery.restart)
            case "moved":
                if self.active_discovery == 0 and not discovery.down and not self.discoveries[1].down:
                    self.move_discovery()
            case "killed":
                self.replace_sidecar()
            case "term":
                self.node.stop()

    def move_discovery(self) -> None:
        """Reloads the configuration with the second discovery service; the first stops 1.5 s later."""
        former, self.active_discovery = self.discoveries[0], 1
        self.lifetimes[-1].moved_at = self.network.now
        self.node.reload()
        self.network.schedule_after(SECOND + SECOND // 2, former.stop)
        if self.rng.random() < 0.5:  # the new service is overloaded at first
            successor = self.discoveries[1]
            successor.fault = self.rng.choice(["503", "hang"])
            self.clear_fault_after(successor, self.rng.choice([300, 1200]) * MILLISECOND)

    def clear_fault_after(self, discovery: FakeDiscovery, delay: int) -> None:
        def clear() -> None:
            discovery.fault = ""

        self.network.schedule_after(delay, clear)

    # -- the sidecar

    def configuration(self, known: dict[str, Any]) -> bytes:
        shared_terms = {"group": "zone", "agreed_time": 0.4, "earnings": 1.0, "tardy_earnings": 0.0}
        shared_terms |= {"hard_stop": self.hard_stop_ms / 1000, "window": self.idempotency_window / SECOND}
        effects = (("look", "free"), ("post", "guarded"), ("once", "single_shot"))
        settings = {
            "offerings": [{"name": name, "semantics": effect} | shared_terms for name, effect in effects],
            "limits": {
                "most_dispatches": 3, "cancel": True, "probing": False,
                "retry_after": True, "max_retry_after": 1.0,
                "may_tell": self.may_tell_peers, "connect_timeout": self.connect_timeout / SECOND,
                "idle_close": self.idle_close,
            },
            "rules": {
                "cold_from": 0.2, "ramp_time": 4.0, "fall_multiple": 3.0, "overload_for": 1.0,
                "ask_within": self.ask_within / SECOND, "stop_sending_within": self.drain_grace / SECOND,
            },
            "discovery": "push" if self.push else "ask", "group_size": 1, "self_index": 0, "kinds": ["m"],
            "zone": 0, "charges": {"cross_zone": 0.0}, "feedback": {"fields": []},
            "zones": list("abc"[: self.zone_count]),
        }  # fmt: skip
        return json.dumps({
            "name": "n0", "listen": "{}:{}".format(*LISTEN_ADDRESS), "seed": "8c1f",
            "settings": settings, "limits": {"sockets": 1024, "memory_mb": 192},
            "known": known, "discovery": "{}:{}".format(*DISCOVERY_ADDRESSES[self.active_discovery]),
            "peer_listen": "{}:{}".format(*PEER_LISTEN_ADDRESS),
            "peers_all": "10.3.255.1:7946", "peers": ["10.3.0.1:7946", "10.3.0.2:7946"],
        }).encode()  # fmt: skip

    def usable(self, known: dict[str, Any]) -> Config:
        return parse_configuration(self.configuration(known))

    def start_sidecar(self) -> None:
        # Otherwise the new process starts with the known list of the previous start.
        if not self.lifetimes or self.rng.random() < 0.5:
            self.known = self.discoveries[0].full_list()
        known = self.known
        self.lifetimes.append(SidecarLifetime(self.network.now, known["seq"]))
        loop = Loop(self.network.clock, self.network)
        self.node = SidecarNode(self.usable(known), lambda: self.usable(known), loop)
        self.node.start()

    def replace_sidecar(self) -> None:
        """Ends the sidecar process with all its sockets and starts another; open queries are excused."""
        self.withdrawn += self.node.driver.counts["withdrawn"]
        self.lifetimes[-1].ended_at = self.network.now
        for query in self.unanswered():
            query.excused = True
        for sock in list(self.network.sockets.values()):
            sock.close()
        self.node.loop.epoll.close()
        self.start_sidecar()

    def unanswered(self) -> list[ClientQuery]:
        return [query for query in self.clients.queries if not query.responses]

    def run(self) -> PlayResult:
        """Runs the play to its end and checks the rules."""
        rng, network = self.rng, self.network
        started_at, events = network.now, [rng.choice(EVENT_KINDS) for _ in range(rng.randrange(3, 10))]
        event_times_s = sorted(rng.uniform(1, 10) for _ in events)
        self.start_sidecar()
        for kind, event_time_s in zip(events, event_times_s, strict=True):
            network.schedule_at(started_at + int(event_time_s * SECOND), self.event_callback(kind))
        self.clients.send_until(rng.choice([10, 30]) * MILLISECOND, started_at + DURATION_NS - 4 * SECOND)
        while network.now < started_at + DURATION_NS:
            self.node.loop.run_once()
            if self.node.loop.stopped:
                self.replace_sidecar()
        settings = RuleSettings(
            self.push, self.drain_grace, self.ask_within, self.zone_count, self.idempotency_window
        )
        observed = Observations(
            settings,
            self.history,
            self.discoveries,
            self.lifetimes,
            self.clients.queries,
            self.upstreams.dispatches,
            self.silenced_at,
            self.restored_at,
        )
        done = sum(status == 200 for query in self.clients.queries for _, status in query.responses)
        description = (
            f"{'push' if self.push else 'ask'} grace {self.drain_grace // MILLISECOND} ms, {' '.join(events)}"
        )
        withdrawn = self.withdrawn + self.node.driver.counts["withdrawn"]
        return PlayResult(
            self.seed, description, check_rules(observed), len(self.clients.queries), done, withdrawn
        )

    def event_callback(self, kind: str) -> Callable[[], None]:
        return lambda: self.apply_event(kind)


def run_play(seed: int) -> PlayResult:
    """Generates and runs the play of a seed."""
    return Play(seed).run()

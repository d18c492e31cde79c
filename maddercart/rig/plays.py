"""Plays generated deployments: the real sidecar code on the stand-in network, all of it by a seed."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from maddercart.interface import MILLISECOND, SECOND
from maddercart.messages.config import Config
from maddercart.net.loop import Loop
from maddercart.rig.network import WAY, Address, Network
from maddercart.rig.referee import Life, Seen, Terms, judge
from maddercart.rig.world import Asked, Clients, Servers, Service, Told, Upstream
from maddercart.sidecar.configuration import usable
from maddercart.sidecar.node import Node

LISTEN, PEERED = ("10.0.0.4", 5000), ("10.0.0.4", 7946)
SERVICES = (("10.2.0.1", 8500), ("10.2.0.2", 8501))
SPAN = 16 * SECOND
EVENTS = (
    "drain", "drain", "gone", "replaced", "replaced", "restarted", "silence", "failing", "down", "moved",
    "killed", "term", "added",
)  # fmt: skip


@dataclass
class Figures:
    """What came of a play."""

    seed: int
    words: str  # what was played
    broken: list[str]
    asked: int
    done: int
    withdrawn: int


class Play:
    def __init__(self, seed: int) -> None:
        self.chance = chance = Random(seed)
        self.seed, self.network = seed, Network()
        self.push, self.zones = chance.random() < 0.5, chance.choice([1, 2, 3])
        self.grace = chance.choice([50, 50, 100, 300, 1000, 3000]) * MILLISECOND
        self.connect = chance.choice([250, 500, 1000]) * MILLISECOND
        self.idle_close = chance.choice([0.2, 0.2, 30.0])  # soon: most queries need a new one
        self.late = chance.choice([0.0, 0.5, 0.9])  # the share of connections that come up late, up to 1 s
        self.peers = chance.random() < 0.5
        self.ask_within = chance.choice([2, 5, 10]) * SECOND
        self.window, self.stop = chance.choice([500, 1500]) * MILLISECOND, chance.choice([600, 1500, 3000])
        self.servers = Servers(self.network, chance, chance.choice([0.0, 0.1, 0.3]))
        self.history: list[Told] = []
        self.names = 0
        self.network.comes_up = self.comes_up
        self.tell([self.add().line() for _ in range(chance.choice([3, 8, 20]))])
        self.services = [
            Service(self.network, at, self.history, chance, n * 1000) for n, at in enumerate(SERVICES)
        ]
        self.discovery = 0  # which of them the configuration names
        self.lives: list[Life] = []
        self.silent: list[int] = []
        self.back: list[int] = []
        self.withdrawn = 0
        offerings = [(name, self.stop * MILLISECOND) for name in ("look", "post", "once")]
        self.clients = Clients(self.network, LISTEN, offerings, chance)

    def comes_up(self, to: Address) -> int:
        if to in SERVICES or self.chance.random() >= self.late:
            return WAY
        return int(self.chance.uniform(0, 1) * SECOND)

    # -- the list

    def add(self, dial: str = "", zone: str = "") -> Upstream:
        self.names += 1
        launched = self.network.now // MILLISECOND if self.history else 0
        dial = dial or f"10.1.{self.names // 200}.{self.names % 200 + 1}:5000"
        zone = zone or "abc"[self.names % self.zones]
        return self.servers.start(Upstream(f"s-{self.names}", dial, zone, launched))

    def tell(self, lines: list[dict[str, Any]]) -> None:
        self.history.append(Told(len(self.history), self.network.now, lines))

    def change(self, *upstreams: Upstream) -> None:
        self.tell([upstream.line() for upstream in upstreams])
        for service in self.services:
            if not service.down:
                service.changed()

    def some(self) -> list[Upstream]:
        """A few of those that serve; one always stays."""
        ready = [one for one in self.servers.all.values() if one.health == "SERVING"]
        return self.chance.sample(ready, min(len(ready) - 1, self.chance.choice([1, 1, len(ready) // 2])))

    # -- what happens

    def event(self, kind: str) -> None:
        chance, service = self.chance, self.services[self.discovery]
        match kind:
            case "drain" | "gone":
                for one in (some := self.some()):
                    one.health = "DRAINING" if kind == "drain" else "DELETED"
                    one.answers = one.answers and chance.random() < 0.7
                if some:
                    self.change(*some)
            case "replaced":
                for one in self.some():
                    one.health = "DELETED"
                    same = chance.random() < 0.5  # in its zone: who was not told takes it for the former
                    self.change(one, self.add(one.dial, one.zone) if same else self.add())
            case "restarted":
                for one in self.some()[:2]:
                    one.launched = self.network.now // MILLISECOND
                    self.change(one)
            case "added":
                self.change(self.add())
            case "silence":
                self.silent.append(self.network.now)
                service.fall_silent()
                service.fault = chance.choice(["", "", "503"])
                self.mend(service, int(chance.uniform(0.1, 3.6) * SECOND))
                self.network.after(SECOND, lambda: self.event("drain"))
            case "failing":
                service.fault = chance.choice(["503", "reset"])
                self.mend(service, SECOND)
            case "down":
                if not service.down:
                    service.go_down()
                    self.back.append(self.network.now + 2 * SECOND)
                    self.network.at(self.back[-1], service.come_back)
            case "moved":
                if self.discovery == 0 and not service.down and not self.services[1].down:
                    self.move()
            case "killed":
                self.kill()
            case "term":
                self.node.stop()

    def move(self) -> None:
        former, self.discovery = self.services[0], 1
        self.lives[-1].moved = self.network.now
        self.node.renew()
        self.network.after(SECOND + SECOND // 2, former.go_down)
        if self.chance.random() < 0.5:  # the new one is overbooked at first
            new = self.services[1]
            new.fault = self.chance.choice(["503", "hang"])
            self.mend(new, self.chance.choice([300, 1200]) * MILLISECOND)

    def mend(self, service: Service, after: int) -> None:
        def well() -> None:
            service.fault = ""

        self.network.after(after, well)

    # -- the sidecar

    def configuration(self, known: dict[str, Any]) -> bytes:
        terms = {"group": "zone", "agreed_time": 0.4}
        terms |= {"hard_stop": self.stop / 1000, "window": self.window / SECOND}
        kinds = (("look", "free"), ("post", "guarded"), ("once", "single_shot"))
        settings = {
            "offerings": [{"name": name, "semantics": effect} | terms for name, effect in kinds],
            "limits": {
                "most_dispatches": 3, "cancel": True, "retry_after": True, "max_retry_after": 1.0,
                "may_tell": self.peers, "connect_timeout": self.connect / SECOND,
                "idle_close": self.idle_close,
            },
            "rules": {
                "cold_from": 0.2, "ramp_time": 4.0, "fall_multiple": 3.0, "overload_for": 1.0,
                "ask_within": self.ask_within / SECOND, "stop_sending_within": self.grace / SECOND,
            },
            "discovery": "push" if self.push else "ask", "group_size": 1, "kinds": ["m"],
            "zones": list("abc"[: self.zones]),
        }  # fmt: skip
        return json.dumps({
            "name": "n0", "listen": "{}:{}".format(*LISTEN), "seed": "8c1f",
            "settings": settings,
            "known": known, "discovery": "{}:{}".format(*SERVICES[self.discovery]),
            "peer_listen": "{}:{}".format(*PEERED),
            "peers_all": "10.3.255.1:7946", "peers": ["10.3.0.1:7946", "10.3.0.2:7946"],
        }).encode()  # fmt: skip

    def usable(self, known: dict[str, Any]) -> Config:
        return usable(self.configuration(known))

    def start(self) -> None:
        if not self.lives or self.chance.random() < 0.5:  # else as it was told at its last start
            self.known = self.services[0].whole()
        known = self.known
        self.lives.append(Life(self.network.now, known["seq"]))
        loop = Loop(self.network.clock, self.network)
        self.node = Node(self.usable(known), lambda: self.usable(known), loop)
        self.node.start()

    def kill(self) -> None:
        self.withdrawn += self.node.decisions.counts["withdrawn"]
        self.lives[-1].end = self.network.now
        for asked in self.held():
            asked.excused = True
        for sock in list(self.network.socks.values()):
            sock.close()
        self.node.loop.epoll.close()
        self.start()

    def held(self) -> list[Asked]:
        return [asked for asked in self.clients.asked if not asked.answers]

    def run(self) -> Figures:
        chance, network = self.chance, self.network
        begin, kinds = network.now, [chance.choice(EVENTS) for _ in range(chance.randrange(3, 10))]
        times = sorted(chance.uniform(1, 10) for _ in kinds)
        self.start()
        for kind, at in zip(kinds, times, strict=True):
            network.at(begin + int(at * SECOND), self.doing(kind))
        self.clients.go_on(chance.choice([10, 30]) * MILLISECOND, begin + SPAN - 4 * SECOND)
        while network.now < begin + SPAN:
            self.node.loop.turn()
            if self.node.loop.stopped:
                self.kill()
        terms = Terms(self.push, self.grace, self.ask_within, self.zones, self.window)
        seen = Seen(
            terms,
            self.history,
            self.services,
            self.lives,
            self.clients.asked,
            self.servers.sent,
            self.silent,
            self.back,
        )
        done = sum(status == 200 for asked in self.clients.asked for _, status in asked.answers)
        words = f"{'push' if self.push else 'ask'} grace {self.grace // MILLISECOND} ms, {' '.join(kinds)}"
        withdrawn = self.withdrawn + self.node.decisions.counts["withdrawn"]
        return Figures(self.seed, words, judge(seen), len(self.clients.asked), done, withdrawn)

    def doing(self, kind: str) -> Callable[[], None]:
        return lambda: self.event(kind)


def play(seed: int) -> Figures:
    return Play(seed).run()

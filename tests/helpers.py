"""A host small enough to read: it makes the calls, pulls the decisions and keeps what is out. And a sidecar
on sockets, with stand-ins round it."""

import json
import select
import socket
import time
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

from maddercart import interface as i
from maddercart.policy.balancer import Balancer
from maddercart.sidecar.configuration import usable
from maddercart.sidecar.node import Node

MS = i.MILLISECOND
TRACES = count(1000)  # each request has an id of its own


def offering(effect: int = i.REDOABLE, group: int = i.EVERYWHERE, **more: Any) -> i.Offering:
    terms = {"window": i.SECOND, "agreed": 400 * MS, "earnings": 1.0, "late_earnings": 0.0} | more
    return i.Offering(effect, group, **terms)


def entry(upstream: int, zone: int = 0, condition: int = i.READY, launched: int = 0) -> i.Entry:
    return i.Entry(upstream, zone, 0, zone * 10 + upstream % 2, condition, 1.0, launched)


def permits(**more: Any) -> i.Permits:
    allowed = {"dispatches": 3, "cancel": True, "probes": False, "come_back": i.SECOND}
    return i.Permits(**(allowed | {"follow": True} | more))


COLD = i.ColdRule(start=0.2, ramp=10 * i.SECOND, multiple=3.0, window=i.SECOND)


class Host:
    """Drives one balancer by hand."""

    def __init__(self, entries: list[i.Entry], zones: int = 2, seed: int = 1, sidecars: int = 3, **more: Any):
        self.now = 100 * i.SECOND
        arguments = {"offerings": [offering()], "cold": COLD, "permits": permits()} | more
        place = i.Place(number=seed % sidecars, sidecars=sidecars, zone=0, zones=zones)
        self.balancer = Balancer(self.now, seed, place=place, **arguments)
        self.chance = Random(seed)
        self.queries = 0
        self.shots: dict[int, int] = {}
        self.out: dict[tuple[int, int], tuple[int, int, int]] = {}  # dispatch: upstream, sent, limit
        self.probes: list[int] = []
        self.wake_at = 1 << 62
        self.balancer.learn(self.now, entries, True)
        self.pull()

    def pull(self) -> list[i.Decision]:
        made = []
        while (decision := self.balancer.decide(self.now)) is not None:
            made.append(decision)
            match decision:
                case ("dispatch", int(query), int(upstream), int(limit)):
                    shot = self.shots[query] = self.shots.get(query, -1) + 1
                    self.out[query, shot] = (upstream, self.now, limit)
                case ("probe", int(upstream)):
                    self.probes.append(upstream)
                case ("wake", int(after)):
                    self.wake_at = self.now + after
        return made

    def take(self, kind: int = 0, remaining: int = i.SECOND) -> list[i.Decision]:
        self.queries += 1
        self.balancer.take(self.now, self.queries, kind, remaining)
        return self.pull()

    def end(self, query: int, shot: int, outcome: int, ended: bool | None = None) -> list[i.Decision]:
        upstream, sent, _ = self.out.pop((query, shot))
        over = outcome == i.DONE if ended is None else ended
        self.balancer.outcome(self.now, query, upstream, shot, self.now - sent, outcome, over, None)
        return self.pull()

    def probed(self, upstream: int, ok: bool) -> list[i.Decision]:
        self.probes.remove(upstream)
        self.balancer.probed(self.now, upstream, ok, MS, None)
        return self.pull()

    def run(self, span: int) -> list[i.Decision]:
        """Time passes; the wake-ups that were asked for come."""
        made, until = self.pull(), self.now + span
        while self.wake_at <= until:
            self.now, self.wake_at = max(self.now, self.wake_at), 1 << 62
            self.balancer.woken(self.now)
            made += self.pull()
        self.now = until
        return made


# -- for the sidecar on sockets


def host(name: str = "s-1", dial: str = "127.0.0.1:1", **more: Any) -> dict[str, Any]:
    line = {"host": name, "dial": dial, "site": "a", "class": "m", "block": 0, "health": "SERVING"}
    return line | {"share": 1.0, "born_ms": 0} | more


def config(hosts: list[dict[str, Any]], **more: Any) -> bytes:
    """A configuration; of its offerings `look` is redoable, `post` labelled and `once` irreversible."""
    terms = {"group": "zone", "agreed_time": 0.5, "hard_stop": 1.0, "window": 1.0}
    kinds = (("look", "free"), ("post", "guarded"), ("once", "single_shot"))
    offerings = [{"name": name, "semantics": effect} | terms for name, effect in kinds]
    limits = {"most_dispatches": 3, "cancel": True, "retry_after": True, "max_retry_after": 1.0}
    settings = {
        "offerings": offerings,
        "limits": limits | {"connect_timeout": 0.1, "idle_close": 30.0, "may_tell": True},
        "rules": {"cold_from": 0.2, "ramp_time": 10.0, "fall_multiple": 3.0, "overload_for": 1.0},
        "discovery": "ask", "group_size": 1, "zones": ["a", "b"], "kinds": ["m"],
    }  # fmt: skip
    whole = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f",
        "settings": settings,
        "known": {"seq": 1, "whole": True, "hosts": hosts}, "limits": {"sockets": 1024, "memory_mb": 192},
    }  # fmt: skip
    return json.dumps(whole | more).encode()


def request(
    offering: str = "look", expires: str = "400m", body: str = "", more: str = "", trace: str = ""
) -> bytes:
    trace = trace or f"t{next(TRACES)}"
    lines = f"X-Trace-Id: {trace}\r\nX-Qos: {offering}\r\nX-Expires-In: {expires}\r\n{more}"
    if offering == "look":
        return f"GET /look?sid=7 HTTP/1.1\r\nHost: origin.svc\r\n{lines}\r\n".encode()
    length = f"Idempotency-Key: k1\r\nContent-Length: {len(body)}\r\n"
    return f"POST /{offering}?sid=7 HTTP/1.1\r\nHost: origin.svc\r\n{lines}{length}\r\n{body}".encode()


def answer(status: int = 200, body: str = "well", more: str = "") -> bytes:
    return f"HTTP/1.1 {status} x\r\n{more}Content-Length: {len(body)}\r\n\r\n{body}".encode()


class Desk:
    """A sidecar in this thread, turned by hand, with a stand-in for each upstream and for discovery."""

    def __init__(self, upstreams: int = 1, **more: Any) -> None:
        self.ears = [socket.create_server(("127.0.0.1", 0)) for _ in range(upstreams)]
        self.discovery = socket.create_server(("127.0.0.1", 0))
        self.dials = ["{}:{}".format(*ear.getsockname()) for ear in self.ears]
        at = "{}:{}".format(*self.discovery.getsockname())
        zones = "ab" if upstreams > 2 else "aa"
        hosts = [host(f"s-{n}", dial, site=zones[n % 2]) for n, dial in enumerate(self.dials)]
        self.config = {"hosts": hosts, "discovery": at} | more
        self.node = Node(usable(config(**self.config)), lambda: usable(config(**self.config)))
        self.node.start()
        self.opened: list[socket.socket] = [*self.ears, self.discovery]

    def __enter__(self) -> "Desk":
        return self

    def __exit__(self, *_: object) -> None:
        for sock in [*self.opened, self.node.listener]:
            sock.close()
        for task in list(self.node.loop.waiting.values()):
            self.node.loop.end(task)
        self.node.loop.epoll.close()

    def turn(self, until: Callable[[], Any], within: float = 3.0) -> Any:
        """Turns until something is so, and says it."""
        loop, end = self.node.loop, time.monotonic() + within
        while not (so := until()):
            assert time.monotonic() < end, "it did not come about"
            loop.at(loop.clock() + MS, lambda: None)
            loop.turn()
        return so

    def turn_for(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        self.turn(lambda: time.monotonic() >= end)

    def client(self) -> socket.socket:
        sock = socket.create_connection(self.node.listener.getsockname())
        self.opened.append(sock)
        return sock

    def accept(self, ear: int = 0) -> socket.socket:
        return self.accept_from(self.ears[ear])

    def accept_from(self, ear: socket.socket) -> socket.socket:
        ear.setblocking(False)
        self.turn(lambda: select.select([ear], [], [], 0)[0])
        sock, _ = ear.accept()
        self.opened.append(sock)
        return sock

    def read(self, sock: socket.socket, until: bytes = b"\r\n\r\n") -> bytes:
        """All that comes up to and with the chunk that holds `until`; empty if it ends before."""
        sock.setblocking(False)
        got = bytearray()

        def more() -> bool:
            try:
                chunk = sock.recv(65536)
            except BlockingIOError:
                return False
            except ConnectionError:
                chunk = b""
            got.extend(chunk)
            return not chunk or until in got

        self.turn(more)
        return bytes(got)

    def ask(self, offering: str = "look", **more: str) -> socket.socket:
        client = self.client()
        client.sendall(request(offering, **more))
        return client

    def reply(self, client: socket.socket) -> int:
        """The status that a client gets."""
        return int(self.read(client).split(b" ", 2)[1])

"""Shared test helpers: a driver for a bare `Balancer`, and a sidecar on loopback sockets with stand-ins for
its upstreams and discovery."""

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
from maddercart.sidecar.configuration import parse_configuration
from maddercart.sidecar.node import SidecarNode

MS = i.MILLISECOND
MAX_SETTING_SECONDS = 1e6  # of a duration, so that the age of the list limits nothing
TRACE_NUMBERS = count(1000)  # gives each request its own trace id
# Settings as the simulator writes them, with every key that the pages don't let be absent.
WIRE_SETTINGS = """discovery=ask
group_size=1
self_index=0
zone=0
zones=a,b
kinds=
charges.cross_zone=0.0
limits.most_dispatches=4
limits.cancel=true
limits.probing=false
limits.retry_after=false
limits.max_retry_after=0.0
limits.connect_timeout=0.25
limits.idle_close=30.0
limits.may_tell=false
feedback.fields=avg_ms,rps,waiting
offerings.count=1
offerings.0.name=post
offerings.0.semantics=guarded
offerings.0.group=all
offerings.0.window=0.0
offerings.0.agreed_time=0.8
offerings.0.hard_stop=1.0
offerings.0.earnings=1.0
offerings.0.tardy_earnings=0.0
parties.count=0
rules.cold_from=0.13
rules.ramp_time=24.0
rules.fall_multiple=3.0
rules.overload_for=1.0
rules.ask_within=10.0
rules.stop_sending_within=1.0
"""


def offering(effect: int = i.REDOABLE, deduplication_scope: int = i.EVERYWHERE, **more: Any) -> i.Offering:
    fields = {
        "deduplication_window_ns": i.SECOND,
        "agreed_time_ns": 400 * MS,
        "earnings": 1.0,
        "late_earnings": 0.0,
    } | more
    return i.Offering(effect, deduplication_scope, **fields)


def entry(upstream: int, zone: int = 0, condition: int = i.READY, started_at: int = 0) -> i.ListEntry:
    return i.ListEntry(upstream, zone, 0, zone * 10 + upstream % 2, condition, 1.0, started_at)


def permits(**more: Any) -> i.BalancerOptions:
    defaults = {"max_dispatches": 3, "may_cancel": True, "may_probe": False, "max_retry_delay_ns": i.SECOND}
    return i.BalancerOptions(**(defaults | {"subscribes": True} | more))


COLD_RULE = i.SlowStartRule(start_share=0.2, ramp_ns=10 * i.SECOND, work_multiple=3.0, window_ns=i.SECOND)


class BalancerHarness:
    """Drives one balancer by hand, with a clock that only the test advances.

    It makes the calls, pulls the decisions that follow, and keeps track of the dispatches that are out.
    """

    def __init__(
        self, entries: list[i.ListEntry], zones: int = 2, seed: int = 1, sidecars: int = 3, **more: Any
    ):
        self.now = 100 * i.SECOND
        arguments = {"offerings": [offering()], "cold": COLD_RULE, "permits": permits()} | more
        place = i.SidecarPosition(number=seed % sidecars, sidecar_count=sidecars, zone=0, zone_count=zones)
        self.balancer = Balancer(self.now, seed, place=place, **arguments)
        self.random = Random(seed)
        self.queries = 0
        self.dispatch_numbers: dict[int, int] = {}  # by query: the number of its last dispatch, from 0
        # By query and number of the dispatch: upstream, when it was sent, its time limit in nanoseconds.
        self.outstanding: dict[tuple[int, int], tuple[int, int, int]] = {}
        self.probes: list[int] = []  # upstreams that are being probed
        self.wake_at = 1 << 62  # the instant of the requested wake-up; 1 << 62: none
        self.balancer.update_list(self.now, entries, True)
        self.pull_decisions()

    def pull_decisions(self) -> list[i.Decision]:
        """Takes all decisions that the balancer has made, and keeps track of what they start."""
        decisions = []
        while (decision := self.balancer.next_decision(self.now)) is not None:
            decisions.append(decision)
            match decision:
                case ("dispatch", int(query), int(upstream), int(limit)):
                    shot = self.dispatch_numbers[query] = self.dispatch_numbers.get(query, -1) + 1
                    self.outstanding[query, shot] = (upstream, self.now, limit)
                case ("probe", int(upstream)):
                    self.probes.append(upstream)
                case ("wake", int(after)):
                    self.wake_at = self.now + after
        return decisions

    def take(self, kind: int = 0, remaining: int = i.SECOND) -> list[i.Decision]:
        self.queries += 1
        self.balancer.take_query(self.now, self.queries, kind, remaining)
        return self.pull_decisions()

    def end_dispatch(
        self, query: int, shot: int, outcome: int, ended: bool | None = None
    ) -> list[i.Decision]:
        """Ends a dispatch; `ended` says whether its query ends too, None: only with the outcome DONE."""
        upstream, sent, _ = self.outstanding.pop((query, shot))
        query_ended = outcome == i.DONE if ended is None else ended
        self.balancer.dispatch_ended(
            self.now, query, upstream, shot, self.now - sent, outcome, query_ended, None
        )
        return self.pull_decisions()

    def end_probe(self, upstream: int, ok: bool) -> list[i.Decision]:
        self.probes.remove(upstream)
        self.balancer.probe_ended(self.now, upstream, ok, MS, None)
        return self.pull_decisions()

    def advance(self, span: int) -> list[i.Decision]:
        """Advances the clock by `span` nanoseconds, and makes the wake-up calls that fall due."""
        decisions, end = self.pull_decisions(), self.now + span
        while self.wake_at <= end:
            self.now, self.wake_at = max(self.now, self.wake_at), 1 << 62
            self.balancer.timer_fired(self.now)
            decisions += self.pull_decisions()
        self.now = end
        return decisions


# -- the sidecar on sockets


def list_line(name: str = "s-1", dial: str = "127.0.0.1:1", **more: Any) -> dict[str, Any]:
    """A line of discovery's list."""
    fields = {"host": name, "dial": dial, "site": "a", "class": "m", "block": 0, "health": "SERVING"}
    return fields | {"share": 1.0, "born_ms": 0} | more


def sidecar_config(hosts: list[dict[str, Any]], **more: Any) -> bytes:
    """JSON configuration with the offerings `look` (redoable), `post` (labelled), `once` (irreversible)."""
    terms = {"group": "zone", "agreed_time": 0.5, "hard_stop": 1.0, "window": 1.0}
    terms |= {"earnings": 1.0, "tardy_earnings": 0.0}
    effects = (("look", "free"), ("post", "guarded"), ("once", "single_shot"))
    offerings = [{"name": name, "semantics": effect} | terms for name, effect in effects]
    limits = {
        "most_dispatches": 3,
        "cancel": True,
        "probing": False,
        "retry_after": True,
        "max_retry_after": 1.0,
    }
    settings = {
        "offerings": offerings,
        "limits": limits | {"connect_timeout": 0.1, "idle_close": 30.0, "may_tell": True},
        "rules": {
            "cold_from": 0.2, "ramp_time": 10.0, "fall_multiple": 3.0, "overload_for": 1.0,
            "ask_within": MAX_SETTING_SECONDS, "stop_sending_within": 0.0,
        },
        "charges": {"cross_zone": 0.0}, "feedback": {"fields": []},
        "discovery": "ask", "group_size": 1, "self_index": 0,
        "zone": 0, "zones": ["a", "b"], "kinds": ["m"],
    }  # fmt: skip
    configuration = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f",
        "settings": settings,
        "known": {"seq": 1, "whole": True, "hosts": hosts}, "limits": {"sockets": 1024, "memory_mb": 192},
    }  # fmt: skip
    return json.dumps(configuration | more).encode()


def request(
    offering: str = "look", expires: str = "400m", body: str = "", extra_headers: str = "", trace: str = ""
) -> bytes:
    trace = trace or f"t{next(TRACE_NUMBERS)}"
    headers = f"X-Trace-Id: {trace}\r\nX-Qos: {offering}\r\nX-Expires-In: {expires}\r\n{extra_headers}"
    if offering == "look":
        return f"GET /look?sid=7 HTTP/1.1\r\nHost: origin.svc\r\n{headers}\r\n".encode()
    body_headers = f"Idempotency-Key: k1\r\nContent-Length: {len(body)}\r\n"
    return (
        f"POST /{offering}?sid=7 HTTP/1.1\r\nHost: origin.svc\r\n{headers}{body_headers}\r\n{body}".encode()
    )


def http_response(status: int = 200, body: str = "well", extra_headers: str = "") -> bytes:
    return f"HTTP/1.1 {status} x\r\n{extra_headers}Content-Length: {len(body)}\r\n\r\n{body}".encode()


class SidecarHarness:
    """A sidecar whose loop the test turns, with a listening socket for each upstream and for discovery."""

    def __init__(self, upstreams: int = 1, **more: Any) -> None:
        self.upstream_listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(upstreams)]
        self.discovery = socket.create_server(("127.0.0.1", 0))
        self.upstream_addresses = ["{}:{}".format(*ear.getsockname()) for ear in self.upstream_listeners]
        discovery_address = "{}:{}".format(*self.discovery.getsockname())
        zones = "ab" if upstreams > 2 else "aa"
        hosts = [
            list_line(f"s-{n}", dial, site=zones[n % 2]) for n, dial in enumerate(self.upstream_addresses)
        ]
        self.config = {"hosts": hosts, "discovery": discovery_address} | more
        self.node = SidecarNode(
            parse_configuration(sidecar_config(**self.config)),
            lambda: parse_configuration(sidecar_config(**self.config)),
        )
        self.node.start()
        self.open_sockets: list[socket.socket] = [*self.upstream_listeners, self.discovery]

    def __enter__(self) -> "SidecarHarness":
        return self

    def __exit__(self, *_: object) -> None:
        for sock in [*self.open_sockets, self.node.listener]:
            sock.close()
        for task in list(self.node.loop.waiting_tasks.values()):
            self.node.loop.close(task)
        self.node.loop.epoll.close()

    def run_until(self, until: Callable[[], Any], within: float = 3.0) -> Any:
        """Turns the loop until `until` returns a true value, and returns that; `within` is in seconds."""
        loop, end = self.node.loop, time.monotonic() + within
        while not (result := until()):
            assert time.monotonic() < end, "timed out waiting for the condition"
            loop.call_at(loop.clock() + MS, lambda: None)
            loop.run_once()
        return result

    def run_for(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        self.run_until(lambda: time.monotonic() >= end)

    def client(self) -> socket.socket:
        sock = socket.create_connection(self.node.listener.getsockname())
        self.open_sockets.append(sock)
        return sock

    def accept(self, upstream: int = 0) -> socket.socket:
        return self.accept_from(self.upstream_listeners[upstream])

    def accept_from(self, listener: socket.socket) -> socket.socket:
        listener.setblocking(False)
        self.run_until(lambda: select.select([listener], [], [], 0)[0])
        sock, _ = listener.accept()
        self.open_sockets.append(sock)
        return sock

    def read(self, sock: socket.socket, until: bytes = b"\r\n\r\n") -> bytes:
        """Reads up to and with the chunk that completes `until`, or to the end of the connection."""
        sock.setblocking(False)
        received = bytearray()

        def is_complete() -> bool:
            try:
                chunk = sock.recv(65536)
            except BlockingIOError:
                return False
            except ConnectionError:
                chunk = b""
            received.extend(chunk)
            return not chunk or until in received

        self.run_until(is_complete)
        return bytes(received)

    def send_request(self, offering: str = "look", **more: str) -> socket.socket:
        client = self.client()
        client.sendall(request(offering, **more))
        return client

    def response_status(self, client: socket.socket) -> int:
        """The status code of the response to a client."""
        return int(self.read(client).split(b" ", 2)[1])

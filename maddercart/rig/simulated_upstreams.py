"""Fake upstreams on the simulated network, which record each dispatch as its first byte leaves the sidecar.

They know none of the rules; `rule_checks.py` checks what they record.
"""

from dataclasses import dataclass
from random import Random
from typing import Any

from maddercart.interface import MILLISECOND
from maddercart.net.sockets import parse_address
from maddercart.rig.request_parser import RequestParser
from maddercart.rig.simulated_network import RemoteEnd, SimulatedNetwork


@dataclass
class SentDispatch:
    """A dispatch, recorded as its first byte leaves the sidecar."""

    sent_at: int
    trace_id: str
    host: str
    zone: str
    launched_ms: int  # Unix time of the upstream's launch
    executed: bool = False


@dataclass
class FakeUpstream:
    """An upstream; its successor may listen at the same address after it has gone."""

    host: str
    dial: str
    zone: str
    launched_ms: int = 0  # Unix time
    responds: bool = True  # False: accepts queries and never answers
    health: str = "SERVING"

    def list_entry(self) -> dict[str, Any]:
        """Its entry in the discovery list."""
        return {
            "host": self.host, "dial": self.dial, "site": self.zone, "class": "m", "block": 0,
            "health": self.health, "share": 1.0, "born_ms": self.launched_ms,
        }  # fmt: skip


class UpstreamConnection(RemoteEnd):
    """The upstream's side of a connection."""

    def __init__(self, network: SimulatedNetwork, upstreams: "FakeUpstreams", upstream: FakeUpstream) -> None:
        super().__init__(network)
        self.upstreams, self.upstream, self.parser = upstreams, upstream, RequestParser()
        self.current: SentDispatch | None = None

    def on_sent(self, data: bytes) -> None:
        if self.current is None:
            head = data.decode("latin-1")
            trace_id = head.partition("X-Trace-Id: ")[2].partition("\r\n")[0]
            upstream = self.upstream
            self.current = SentDispatch(
                self.network.now, trace_id, upstream.host, upstream.zone, upstream.launched_ms
            )
            self.upstreams.dispatches.append(self.current)

    def on_data(self, data: bytes) -> None:
        for _ in self.parser.feed(data):
            self.handle_request()

    def handle_request(self) -> None:
        draw, dispatch = self.upstreams.rng.random(), self.current
        assert dispatch is not None
        if self.upstream.health == "DELETED":
            return self.close(reset=True)
        if draw < self.upstreams.fault_share / 4:
            return self.respond(503, "X-Never-Ran: 1\r\n")
        dispatch.executed = True
        if not self.upstream.responds or draw < self.upstreams.fault_share / 2:
            return None
        if draw < self.upstreams.fault_share * 3 / 4:
            return self.close(reset=True)
        status = 500 if draw < self.upstreams.fault_share else 200
        service_time = int(self.upstreams.rng.uniform(2, 60)) * MILLISECOND
        return self.network.schedule_after(service_time, lambda: self.respond(status))

    def respond(self, status: int, headers: str = "") -> None:
        """`headers`: further header lines, each with its line end."""
        trace_id, self.current = self.current.trace_id if self.current else "", None
        self.send(
            f"HTTP/1.1 {status} x\r\n{headers}Content-Length: {len(trace_id)}\r\n\r\n{trace_id}".encode()
        )


class FakeUpstreams:
    """All upstreams of a play, and a record of every dispatch that the sidecar sent to them."""

    def __init__(self, network: SimulatedNetwork, rng: Random, fault_share: float) -> None:
        """`fault_share`: share of queries that are bounced, reset, answered with an error or not at all."""
        self.network, self.rng, self.fault_share = network, rng, fault_share
        self.by_host: dict[str, FakeUpstream] = {}
        self.dispatches: list[SentDispatch] = []

    def start(self, upstream: FakeUpstream) -> FakeUpstream:
        self.by_host[upstream.host] = upstream
        self.network.listeners[parse_address(upstream.dial)] = lambda: UpstreamConnection(
            self.network, self, upstream
        )
        return upstream

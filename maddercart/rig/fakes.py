"""Fake upstreams, discovery services and clients around a sidecar on the simulated network.

They record what they see, with the time, for `rule_checks.py` to check; they know none of the rules.
"""

import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

from maddercart.interface import MILLISECOND, SECOND
from maddercart.rig.simulated_network import Address, RemoteEnd, SimulatedNetwork

CHUNKED_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
KEEPALIVE_INTERVAL_NS = 2 * SECOND  # interval of a watch's empty lines while the list is unchanged


def parse_address(dial: str) -> Address:
    host, _, port = dial.rpartition(":")
    return host, int(port)


class RequestParser:
    """Incremental parser of the HTTP requests on one connection."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[tuple[str, dict[str, str]]]:
        """Returns (request line, headers by lower-case name) for each request that is now complete."""
        self.buffer += data
        requests = []
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            request_line, *header_lines = head.decode("latin-1").split("\r\n")
            fields = [line.partition(":") for line in header_lines]
            headers = {name.lower(): value.strip() for name, _, value in fields}
            length = int(headers.get("content-length", "0"))
            if len(rest) < length:
                break
            self.buffer = rest[length:]
            requests.append((request_line, headers))
        return requests


# -- upstreams


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


# -- discovery


class DiscoveryConnection(RemoteEnd):
    """The discovery service's side of a connection."""

    def __init__(self, network: SimulatedNetwork, discovery: "FakeDiscovery") -> None:
        super().__init__(network)
        self.discovery, self.parser = discovery, RequestParser()
        self.watching = self.silenced = False
        self.keepalive_due = 0

    def on_data(self, data: bytes) -> None:
        for request_line, _ in self.parser.feed(data):
            self.discovery.handle_request(self, request_line.split(" ")[1])

    def send_chunk(self, data: bytes) -> None:
        self.send(b"%x\r\n%s\r\n" % (len(data), data))

    def on_closed(self) -> None:
        self.closed = True
        if self in self.discovery.connections:
            self.discovery.connections.remove(self)


@dataclass
class ListVersion:
    """A version of the discovery list: the entries that changed, and when."""

    version: int
    published_at: int
    entries: list[dict[str, Any]]


class FakeDiscovery:
    """A discovery service; several may share a history, each with its own version numbers."""

    def __init__(
        self,
        network: SimulatedNetwork,
        address: Address,
        history: list[ListVersion],
        rng: Random,
        version_offset: int = 0,
    ) -> None:
        self.network, self.address, self.history, self.rng = network, address, history, rng
        self.version_offset = version_offset  # added to the history's versions
        self.connections: list[DiscoveryConnection] = []
        self.fault = ""  # what happens to calls: "503", "reset", "hang", or "" for none
        self.down = False
        self.calls: list[tuple[int, bool]] = []  # (time, whether it was answered)
        self.writes: list[tuple[int, int]] = []  # (time, latest version of the history written)
        network.listeners[address] = self.accept_connection

    def accept_connection(self) -> DiscoveryConnection:
        self.connections.append(connection := DiscoveryConnection(self.network, self))
        return connection

    def current_version(self) -> int:
        return self.history[-1].version + self.version_offset

    def handle_request(self, connection: DiscoveryConnection, target: str) -> None:
        answered = not self.fault and not self.down
        self.calls.append((self.network.now, answered))
        if self.down or self.fault == "reset":
            return connection.close(reset=True)
        if self.fault == "503":
            return connection.send(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
        if self.fault == "hang":
            return None
        if "watch=1" not in target:
            body = self.encode(self.full_list())
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            return self.record_write()
        after_version = int(target.partition("after=")[2]) - self.version_offset
        connection.watching = True
        connection.send(CHUNKED_RESPONSE_HEAD)
        if 0 <= after_version <= self.history[-1].version:
            changed = {
                entry["host"]: entry
                for list_version in self.history[after_version + 1 :]
                for entry in list_version.entries
            }
            message = {"seq": self.current_version(), "whole": False, "hosts": list(changed.values())}
            connection.send_chunk(self.encode(message) + b"\n")
        else:
            connection.send_chunk(self.encode(self.full_list()) + b"\n")
        self.record_write()
        return self.schedule_keepalive(connection)

    def full_list(self) -> dict[str, Any]:
        """The whole list at its latest version, without deleted upstreams."""
        latest = {entry["host"]: entry for list_version in self.history for entry in list_version.entries}
        entries = [entry for entry in latest.values() if entry["health"] != "DELETED"]
        return {"seq": self.current_version(), "whole": True, "hosts": entries}

    def encode(self, message: dict[str, Any]) -> bytes:
        return json.dumps(message, indent=self.rng.choice([None, None, 2])).encode()

    def record_write(self) -> None:
        self.writes.append((self.network.now, self.history[-1].version))

    def push_latest(self) -> None:
        """Sends the latest version of the history to every open watch."""
        list_version = self.history[-1]
        message = {"seq": self.current_version(), "whole": False, "hosts": list_version.entries}
        for connection in [
            connection for connection in self.connections if connection.watching and not connection.silenced
        ]:
            connection.send_chunk(self.encode(message) + b"\n")
            self.record_write()
            self.schedule_keepalive(connection)

    def schedule_keepalive(self, connection: DiscoveryConnection) -> None:
        connection.keepalive_due = due = self.network.now + KEEPALIVE_INTERVAL_NS

        def send_keepalive() -> None:
            if connection.keepalive_due == due and not (
                connection.closed or connection.silenced or self.down
            ):
                connection.send_chunk(b"\n")
                self.schedule_keepalive(connection)

        self.network.schedule_at(due, send_keepalive)

    def silence_watches(self) -> None:
        """Stops writing to the watches that are open, without closing them."""
        for connection in self.connections:
            connection.silenced = True

    def stop(self) -> None:
        """Refuses new connections and resets the open ones."""
        self.down = True
        self.network.listeners.pop(self.address, None)
        for connection in list(self.connections):
            connection.close(reset=True)
        self.connections.clear()

    def restart(self) -> None:
        self.down = False
        self.network.listeners[self.address] = self.accept_connection


# -- clients


@dataclass
class ClientQuery:
    """A query as its client sees it."""

    trace_id: str
    offering: str
    sent_at: int
    hard_stop_at: int
    responses: list[tuple[int, int]] = field(default_factory=list)  # (time, status)
    connection_lost_at: int = 0  # when its connection closed without an answer; 0: it didn't
    excused: bool = False  # the sidecar was killed while the query was open


class ClientConnection(RemoteEnd):
    """A client's side of a connection that carries one query."""

    def __init__(self, network: SimulatedNetwork, query: ClientQuery) -> None:
        super().__init__(network)
        self.query, self.buffer = query, b""

    def on_data(self, data: bytes) -> None:
        self.buffer += data
        head, _, body = self.buffer.partition(b"\r\n\r\n")
        if (position := head.lower().find(b"content-length: ")) >= 0:
            length = int(head[position + 16 :].split(b"\r\n")[0])
            if len(body) >= length:
                self.query.responses.append((self.network.now, int(head.split(b" ")[1])))
                self.buffer = body[length:]
                self.close()

    def on_closed(self) -> None:
        if not self.query.responses:
            self.query.connection_lost_at = self.network.now


class FakeClients:
    """Sends queries of random offerings to the sidecar, each on a connection of its own."""

    def __init__(
        self, network: SimulatedNetwork, address: Address, offerings: list[tuple[str, int]], rng: Random
    ) -> None:
        """`offerings`: (name, time until the hard stop in nanoseconds)."""
        self.network, self.address, self.offerings, self.rng = network, address, offerings, rng
        self.queries: list[ClientQuery] = []

    def send_query(self) -> None:
        """Sends a query of a random offering, unless the sidecar doesn't listen."""
        name, hard_stop = self.rng.choice(self.offerings)
        now, trace_id = self.network.now, f"t{len(self.queries)}"
        query = ClientQuery(trace_id, name, now, now + hard_stop)
        client = ClientConnection(self.network, query)
        if not self.network.connect(self.address, client):
            return
        self.queries.append(query)
        method, key = ("GET", "") if name == "look" else ("POST", f"Idempotency-Key: {trace_id}\r\n")
        head = f"{method} /{name} HTTP/1.1\r\nHost: o\r\nX-Trace-Id: {trace_id}\r\nX-Qos: {name}\r\n"
        client.send(
            f"{head}X-Expires-In: {hard_stop // MILLISECOND}m\r\n{key}Content-Length: 0\r\n\r\n".encode()
        )

    def send_until(self, mean_interval: int, until: int) -> None:
        """Sends queries at random intervals of this mean, until an instant."""

        def send_next() -> None:
            self.send_query()
            if self.network.now < until:
                self.network.schedule_after(int(self.rng.expovariate(1.0) * mean_interval), send_next)

        send_next()

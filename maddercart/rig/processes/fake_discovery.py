"""Fake discovery services: one upstream list, and for each sidecar a service that serves it or fails to."""

import asyncio
import json
import time
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from maddercart.rig.processes.loopback import start_server

KEEPALIVE_INTERVAL_SECONDS = 2.0  # between the empty lines that a watch sends

JsonObject = dict[str, Any]


class DiscoveryFault(Enum):
    """How calls to a service fail."""

    NONE = auto()
    UNAVAILABLE = auto()  # 503
    RESET = auto()
    HANG = auto()  # connections are accepted, but no call is answered


@dataclass(frozen=True)
class ListVersion:
    """A change of the upstream list, and when it was made (monotonic seconds)."""

    sequence: int
    made_at: float
    entries: list[JsonObject]  # the upstreams that changed, as they are sent to the sidecars


class UpstreamRegistry:
    """The upstream list with all its versions, shared by the services that serve it."""

    def __init__(self, entries: list[JsonObject]) -> None:
        self.versions = [ListVersion(0, time.monotonic(), entries)]
        self.services: list[FakeDiscoveryService] = []

    def snapshot(self) -> JsonObject:
        """The complete list without deleted upstreams, as a discovery response."""
        latest = {entry["host"]: entry for version in self.versions for entry in version.entries}
        hosts = [entry for entry in latest.values() if entry["health"] != "DELETED"]
        return {"seq": self.versions[-1].sequence, "whole": True, "hosts": hosts}

    def changes_since(self, sequence: int) -> JsonObject:
        """The upstreams that changed after the version `sequence`, as a discovery response."""
        latest = {
            entry["host"]: entry for version in self.versions[sequence + 1 :] for entry in version.entries
        }
        return {"seq": self.versions[-1].sequence, "whole": False, "hosts": list(latest.values())}

    def publish(self, *entries: JsonObject) -> None:
        """Adds a version with these changed upstreams and sends it to all watches."""
        self.versions.append(ListVersion(len(self.versions), time.monotonic(), list(entries)))
        for service in self.services:
            service.notify_watches()


class FakeDiscoveryService:
    """A discovery service at one address. All instants are monotonic seconds."""

    def __init__(self, registry: UpstreamRegistry) -> None:
        self.registry = registry
        self.fault = DiscoveryFault.NONE
        self.retired = False  # its sidecar is configured with another service: it does not recover any more
        self.healthy_since = time.monotonic()
        self.past_healthy_spans: list[tuple[float, float]] = []  # (start, end)
        self.writes: list[tuple[float, int]] = []  # (instant, sequence of the version that was sent)
        self.watches: dict[asyncio.StreamWriter, int] = {}  # sequence of the last version sent on each
        self.silenced: set[asyncio.StreamWriter] = set()
        self.readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}  # of the watches
        self.call_times: list[float] = []
        registry.services.append(self)

    async def start(self) -> str:
        """Starts to listen and returns the address as `host:port`."""
        self.server, address = await start_server(self.handle_connection)
        return address

    def begin_fault(self, fault: DiscoveryFault) -> None:
        """Makes all calls fail from now on and resets the open watches."""
        if self.fault == DiscoveryFault.NONE:
            self.past_healthy_spans.append((self.healthy_since, time.monotonic()))
        self.fault = fault
        for writer in list(self.watches):
            writer.transport.abort()
        self.watches.clear()

    def recover(self) -> None:
        if self.fault != DiscoveryFault.NONE and not self.retired:
            self.fault, self.healthy_since = DiscoveryFault.NONE, time.monotonic()

    def healthy_spans(self) -> list[tuple[float, float]]:
        """The spans (start, end) in which calls are answered; the end of the current one is infinite."""
        current = [(self.healthy_since, float("inf"))] if self.fault == DiscoveryFault.NONE else []
        return [*self.past_healthy_spans, *current]

    def silence_watches(self) -> None:
        """Keeps the open watches open but sends nothing more on them."""
        self.silenced.update(self.watches)

    def notify_watches(self) -> None:
        for writer in [writer for writer in self.watches if writer not in self.silenced]:
            # A write to a watch that the sidecar has closed must not count as sent.
            if self.readers[writer].at_eof():
                del self.watches[writer]
            else:
                self.send_version(writer, self.registry.changes_since(self.watches[writer]))

    def send_version(self, writer: asyncio.StreamWriter, response: JsonObject) -> None:
        self.write_chunk(writer, json.dumps(response).encode() + b"\n")
        self.watches[writer] = response["seq"]
        self.writes.append((time.monotonic(), response["seq"]))

    def write_chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.call_times.append(time.monotonic())
                if self.fault == DiscoveryFault.RESET:
                    writer.transport.abort()
                    return
                if self.fault == DiscoveryFault.HANG:
                    await reader.read()
                    return
                if self.fault == DiscoveryFault.UNAVAILABLE:
                    writer.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
                elif b"watch=1" in head:
                    self.readers[writer] = reader
                    await self.serve_watch(writer, int(head.split(b"after=")[1].split(b" ")[0]))
                    return
                else:
                    self.send_snapshot(writer)
        writer.close()

    def send_snapshot(self, writer: asyncio.StreamWriter) -> None:
        response = self.registry.snapshot()
        body = json.dumps(response).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self.writes.append((time.monotonic(), response["seq"]))

    async def serve_watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        """Sends what changed since the version `after`, or a snapshot if there is no such version.

        Later versions follow by `notify_watches`.
        """
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        known = after < len(self.registry.versions)
        self.send_version(writer, self.registry.changes_since(after) if known else self.registry.snapshot())
        while not writer.is_closing() and writer in self.watches:
            await asyncio.sleep(KEEPALIVE_INTERVAL_SECONDS)
            if writer not in self.silenced:
                self.write_chunk(writer, b"\n")
        self.watches.pop(writer, None)
        self.silenced.discard(writer)
        self.readers.pop(writer, None)

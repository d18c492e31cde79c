"""Fake discovery services on the simulated network, with a history that several may share."""

import json
from dataclasses import dataclass
from random import Random
from typing import Any

from maddercart.interface import SECOND
from maddercart.rig.request_parser import RequestParser
from maddercart.rig.simulated_network import Address, RemoteEnd, SimulatedNetwork

CHUNKED_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
KEEPALIVE_INTERVAL_NS = 2 * SECOND  # between a watch's empty lines while the list is unchanged


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

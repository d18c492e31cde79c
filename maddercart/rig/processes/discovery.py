"""Discovery stand-ins: one list of upstreams, and a service for each sidecar that tells it, or fails to."""

import asyncio
import json
import time
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

EMPTY_LINE_EVERY = 2.0  # seconds, while a watch has nothing to tell

Line = dict[str, Any]


class Trouble(Enum):
    """What calls to a service come to."""

    NONE = auto()
    UNAVAILABLE = auto()  # 503
    RESET = auto()
    HANG = auto()  # connections come up, and nothing is answered


@dataclass(frozen=True)
class Version:
    """A change of the list, and when it was made (monotonic seconds)."""

    number: int
    made_at: float
    lines: list[Line]


class Registry:
    """The list of upstreams, version by version; what services tell of it."""

    def __init__(self, lines: list[Line]) -> None:
        self.versions = [Version(0, time.monotonic(), lines)]
        self.services: list[DiscoveryService] = []

    def whole(self) -> Line:
        last = {line["host"]: line for version in self.versions for line in version.lines}
        hosts = [line for line in last.values() if line["health"] != "DELETED"]
        return {"seq": self.versions[-1].number, "whole": True, "hosts": hosts}

    def since(self, number: int) -> Line:
        last = {line["host"]: line for version in self.versions[number + 1 :] for line in version.lines}
        return {"seq": self.versions[-1].number, "whole": False, "hosts": list(last.values())}

    def change(self, *lines: Line) -> None:
        self.versions.append(Version(len(self.versions), time.monotonic(), list(lines)))
        for service in self.services:
            service.tell()


class DiscoveryService:
    """The service at one address. `written` holds when it wrote up to which version (monotonic seconds)."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.trouble = Trouble.NONE
        self.retired = False  # the configuration names another one: it does not come back
        self.well_since = time.monotonic()
        self.well_before: list[tuple[float, float]] = []  # earlier spans in which calls were answered
        self.written: list[tuple[float, int]] = []
        self.watches: dict[asyncio.StreamWriter, int] = {}  # and the version that each has
        self.silent: set[asyncio.StreamWriter] = set()
        self.readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}
        self.calls: list[float] = []
        registry.services.append(self)

    async def start(self) -> str:
        """Listens, and returns the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def begin(self, trouble: Trouble) -> None:
        """Calls fail from now on, and the watches that are open end."""
        if self.trouble == Trouble.NONE:
            self.well_before.append((self.well_since, time.monotonic()))
        self.trouble = trouble
        for writer in list(self.watches):
            writer.transport.abort()
        self.watches.clear()

    def recover(self) -> None:
        if self.trouble != Trouble.NONE and not self.retired:
            self.trouble, self.well_since = Trouble.NONE, time.monotonic()

    def well(self) -> list[tuple[float, float]]:
        """The spans in which calls were answered."""
        now = [(self.well_since, float("inf"))] if self.trouble == Trouble.NONE else []
        return [*self.well_before, *now]

    def fall_silent(self) -> None:
        """Open watches stay open and tell nothing more."""
        self.silent.update(self.watches)

    def tell(self) -> None:
        for writer in [writer for writer in self.watches if writer not in self.silent]:
            if self.readers[writer].at_eof():  # the sidecar has closed it: nothing is told there any more
                del self.watches[writer]
            else:
                self.write(writer, self.registry.since(self.watches[writer]))

    def write(self, writer: asyncio.StreamWriter, value: Line) -> None:
        self.chunk(writer, json.dumps(value).encode() + b"\n")
        self.watches[writer] = value["seq"]
        self.written.append((time.monotonic(), value["seq"]))

    def chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls.append(time.monotonic())
                if self.trouble == Trouble.RESET:
                    writer.transport.abort()
                    return
                if self.trouble == Trouble.HANG:
                    await reader.read()
                    return
                if self.trouble == Trouble.UNAVAILABLE:
                    writer.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
                elif b"watch=1" in head:
                    self.readers[writer] = reader
                    await self.watch(writer, int(head.split(b"after=")[1].split(b" ")[0]))
                    return
                else:
                    self.tell_whole(writer)
        writer.close()

    def tell_whole(self, writer: asyncio.StreamWriter) -> None:
        value = self.registry.whole()
        body = json.dumps(value).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self.written.append((time.monotonic(), value["seq"]))

    async def watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        known = after < len(self.registry.versions)
        self.write(writer, self.registry.since(after) if known else self.registry.whole())
        while not writer.is_closing() and writer in self.watches:
            await asyncio.sleep(EMPTY_LINE_EVERY)
            if writer not in self.silent:
                self.chunk(writer, b"\n")
        self.watches.pop(writer, None)
        self.silent.discard(writer)
        self.readers.pop(writer, None)

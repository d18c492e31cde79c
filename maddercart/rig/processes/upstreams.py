"""Upstream stand-ins that note when the first byte of each request came, and which requests ran."""

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass
from random import Random

HANG_SECONDS = 30.0


@dataclass
class Attempt:
    """A request as it reached an upstream (monotonic seconds)."""

    trace: str
    host: str
    sidecar: str  # the user agent by which the client named it
    first_byte_at: float
    expires_in: float  # seconds, as told to the upstream
    ran: bool = False


class UpstreamStandIn:
    def __init__(self, host: str, attempts: list[Attempt], chance: Random) -> None:
        self.host, self.attempts, self.chance = host, attempts, chance
        self.hangs = False
        self.errors = 0.0  # share of the requests that end in a reset

    async def start(self) -> str:
        """Listens, and returns the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def line(self, dial: str, health: str, born_ms: float = 0) -> dict[str, object]:
        line = {"host": self.host, "dial": dial, "site": "a", "class": "m", "block": 0, "health": health}
        return line | {"share": 1.0, "born_ms": born_ms}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while first := await reader.read(1):
                came_at = time.monotonic()
                attempt = await self.receive(reader, first, came_at)
                attempt.ran = True
                if self.hangs:
                    await asyncio.sleep(HANG_SECONDS)
                if self.chance.random() < self.errors:
                    writer.transport.abort()
                    return
                await asyncio.sleep(self.chance.uniform(0.002, 0.04))
                body = attempt.trace.encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()

    async def receive(self, reader: asyncio.StreamReader, first: bytes, came_at: float) -> Attempt:
        head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        pairs = [line.partition(": ") for line in head.split("\r\n")[1:]]
        headers = {name.lower(): value for name, _, value in pairs}
        expires_in = float(headers["x-expires-in"].removesuffix("u")) / 1e6
        attempt = Attempt(headers["x-trace-id"], self.host, headers.get("x-sidecar", ""), came_at, expires_in)
        self.attempts.append(attempt)
        await reader.readexactly(int(headers.get("content-length", 0)))
        return attempt

"""Fake upstreams, which record when the first byte of each attempt arrived and whether it ran."""

import asyncio
import socket
import struct
import time
from contextlib import suppress
from dataclasses import dataclass
from random import Random

from maddercart.rig.processes.loopback import start_server

HANG_SECONDS = 30.0
LAST_DATA_AGE_OFFSET, TCP_INFO_BYTES = 52, 56  # of struct tcp_info


@dataclass
class Attempt:
    """A request as it reached an upstream."""

    trace_id: str
    host: str
    sidecar: str  # its name, as the client wrote it into the header X-Sidecar
    first_byte_at: float  # monotonic seconds, when it had arrived at this machine
    expires_in: float  # seconds, from the header X-Expires-In
    ran: bool = False  # the request arrived completely


def seconds_since_last_data(writer: asyncio.StreamWriter) -> float:
    """The age of a connection's last data (tcpi_last_data_recv of tcp(7)), whether or not this process ran.

    Own code, as the judge shares none with the sidecar.
    """
    info = writer.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    (age_ms,) = struct.unpack_from("=I", info, LAST_DATA_AGE_OFFSET)
    return float(age_ms) / 1000


class FakeUpstream:
    """An upstream that answers each request after 2 to 40 ms; `attempts` is shared by all upstreams."""

    def __init__(self, host: str, attempts: list[Attempt], rng: Random) -> None:
        self.host, self.attempts, self.rng = host, attempts, rng
        self.hangs = False  # requests wait for `HANG_SECONDS` before their response
        self.reset_share = 0.0  # share of the requests after which the connection is reset
        self.answer_bytes = 0  # the length to which the body of each answer is filled up

    async def start(self) -> str:
        """Starts to listen and returns the address as `host:port`."""
        self.server, address = await start_server(self.handle_connection)
        return address

    def entry(self, dial: str, health: str, born_ms: float = 0) -> dict[str, object]:
        """The entry of this upstream in the discovery list; it started at `born_ms` (Unix time in ms)."""
        entry = {"host": self.host, "dial": dial, "site": "a", "class": "m", "block": 0, "health": health}
        return entry | {"share": 1.0, "born_ms": born_ms}

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while first_byte := await reader.read(1):
                first_byte_at = time.monotonic() - seconds_since_last_data(writer)
                attempt = await self.read_request(reader, first_byte, first_byte_at)
                attempt.ran = True
                if self.hangs:
                    await asyncio.sleep(HANG_SECONDS)
                if self.rng.random() < self.reset_share:
                    writer.transport.abort()
                    return
                await asyncio.sleep(self.rng.uniform(0.002, 0.04))
                body = attempt.trace_id.encode().ljust(self.answer_bytes)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()

    async def read_request(
        self, reader: asyncio.StreamReader, first_byte: bytes, first_byte_at: float
    ) -> Attempt:
        head = (first_byte + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = [line.partition(": ") for line in head.split("\r\n")[1:]]
        headers = {name.lower(): value for name, _, value in fields}
        expires_in = float(headers["x-expires-in"].removesuffix("u")) / 1e6
        attempt = Attempt(
            headers["x-trace-id"], self.host, headers.get("x-sidecar", ""), first_byte_at, expires_in
        )
        self.attempts.append(attempt)
        await reader.readexactly(int(headers.get("content-length", 0)))
        return attempt

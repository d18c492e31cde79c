"""Clients that send requests to the sidecars and record the outcome of each one.

Each client has one connection of its own and sends one request at a time.
"""

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass
from random import Random

from maddercart.rig.processes.sidecar_process import HARD_STOP_SECONDS, OFFERINGS, SidecarProcess

CONNECT_WINDOW_SECONDS = 0.4  # after SIGTERM, while the listener still accepts connections
STOPPING_PAUSE_SECONDS = 0.02  # at most, between two requests on a connection while the sidecar stops
LATE_RESPONSE_SECONDS = 0.5  # after a request's timeout: a response is late, but the request is not lost


@dataclass
class ClientRequest:
    """A request as its client sees it. Instants are monotonic seconds, 0 if they have not come."""

    trace_id: str
    offering: str
    sidecar: str
    sent_at: float
    timeout_seconds: float
    status: int = 0  # 0: no complete response
    responded_at: float = 0.0
    disconnected_at: float = 0.0  # when the client closed the connection without waiting for a response
    loss_reason: str = ""  # why the request counts as lost; empty if it does not
    earlier_try: "ClientRequest | None" = None  # with the same trace id, on a connection that ended

    def try_at(self, instant: float) -> "ClientRequest":
        """The try to which an attempt that began at `instant` belongs: the last one sent before."""
        if self.earlier_try is not None and instant < self.sent_at:
            return self.earlier_try.try_at(instant)
        return self


class Client:
    """Sends requests to one sidecar and appends them to `requests`, which all clients share."""

    def __init__(self, sidecar: SidecarProcess, requests: list[ClientRequest], rng: Random) -> None:
        self.sidecar, self.requests, self.rng = sidecar, requests, rng
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.connection_used = False  # the connection has carried a request

    async def run(self, until: float, mean_pause_seconds: float) -> None:
        """Sends one request after another until the instant `until` (monotonic seconds)."""
        while time.monotonic() < until:
            await asyncio.sleep(self.pause_seconds(mean_pause_seconds))
            await self.send_request()
        self.close()

    def pause_seconds(self, mean_seconds: float) -> float:
        """Until the next request. While the sidecar stops, a connection is used for as long as it is open."""
        is_stopping = self.sidecar.sigterm_sent_at is not None and self.streams is not None
        return self.rng.uniform(0, STOPPING_PAUSE_SECONDS if is_stopping else 2 * mean_seconds)

    async def send_request(self) -> None:
        offering = self.rng.choice(list(OFFERINGS))
        trace_id = f"{self.rng.getrandbits(64):016x}"
        # A second try follows where the sidecar may have closed a reused connection as the request was sent.
        earlier_try: ClientRequest | None = None
        for _ in range(2):
            if not await self.connect():
                return
            timeout_seconds = self.rng.uniform(0.2, HARD_STOP_SECONDS)
            request = ClientRequest(
                trace_id, offering, self.sidecar.name, time.monotonic(), timeout_seconds,
                earlier_try=earlier_try,
            )  # fmt: skip
            reused_connection = self.connection_used
            if await self.exchange(request):
                self.requests.append(request)
                return
            self.close()
            if not reused_connection:
                request.loss_reason = (
                    f"its connection ended with no answer; {self.describe_send_time(request.sent_at)}"
                )
                self.requests.append(request)
                return
            earlier_try = request

    def listener_may_be_closed(self) -> bool:
        """Whether the 0.4 s after SIGTERM have passed in which the sidecar still accepts connections."""
        sigterm_sent_at = self.sidecar.sigterm_sent_at
        return sigterm_sent_at is not None and time.monotonic() > sigterm_sent_at + CONNECT_WINDOW_SECONDS

    def describe_send_time(self, sent_at: float) -> str:
        sigterm_sent_at = self.sidecar.sigterm_sent_at
        return (
            "no SIGTERM"
            if sigterm_sent_at is None
            else f"sent {sent_at - sigterm_sent_at:.3f} s after SIGTERM"
        )

    async def connect(self) -> bool:
        """Opens a connection unless one is open; False if the sidecar does not accept one."""
        if self.streams is not None:
            return True
        if self.listener_may_be_closed():
            await asyncio.sleep(0.05)
            return False
        try:
            self.streams = await asyncio.open_connection(*self.sidecar.listen_address)
        except OSError:
            await asyncio.sleep(0.05)
            return False
        self.connection_used = False
        return True

    async def exchange(self, request: ClientRequest) -> bool:
        """Sends the request and reads the response; False if the connection ended before a complete response.

        One request in twenty is abandoned instead: the client resets its connection within 50 ms.
        """
        assert self.streams is not None
        reader, writer = self.streams
        writer.write(self.encode(request))
        self.connection_used = True
        if self.rng.random() < 0.05:
            await asyncio.sleep(self.rng.uniform(0, 0.05))
            writer.transport.abort()
            request.disconnected_at, self.streams = time.monotonic(), None
            return True
        try:
            async with asyncio.timeout(request.timeout_seconds + LATE_RESPONSE_SECONDS):
                await self.read_response(reader, request)
        except TimeoutError:
            request.loss_reason = "no answer in time"
            self.close()
        except (ConnectionError, asyncio.IncompleteReadError):
            return False
        return True

    async def read_response(self, reader: asyncio.StreamReader, request: ClientRequest) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        fields = [line.lower().partition(b": ") for line in head.split(b"\r\n")]
        headers = {name: value for name, _, value in fields}
        await reader.readexactly(int(headers.get(b"content-length", 0)))
        request.status, request.responded_at = int(head.split(b" ")[1]), time.monotonic()
        if headers.get(b"connection") == b"close":
            self.close()

    def encode(self, request: ClientRequest) -> bytes:
        method, body_headers = ("GET", "")
        if request.offering != "look":
            key = f"Idempotency-Key: {request.trace_id}\r\n" if request.offering == "post" else ""
            method, body_headers = "POST", f"{key}Content-Length: 2\r\n"
        headers = f"X-Expires-In: {int(request.timeout_seconds * 1e6)}u\r\nX-Sidecar: {request.sidecar}\r\n"
        head = (
            f"{method} /{request.offering} HTTP/1.1\r\nHost: x\r\n"
            f"X-Trace-Id: {request.trace_id}\r\n{headers}{body_headers}"
        )
        return f"{head}\r\n".encode() + (b"xy" if method == "POST" else b"")

    def close(self) -> None:
        if self.streams is not None:
            with suppress(ConnectionError):
                self.streams[1].close()
            self.streams = None

"""Clients that make a sidecar or a gateway hold as much memory as they can, each in one shape.

Each client opens its connection anew as soon as it ends, until it is cancelled. It reads what it is sent,
except in the shape `UNREAD_ANSWERS`.
"""

import asyncio
import multiprocessing
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from itertools import count
from multiprocessing.connection import Connection

from maddercart.rig.processes.loopback import Address

BODY_BYTES = 65536  # the largest body
MANY_FIELDS = 2_600  # short ones; more don't fit into a head of 16 KiB
AHEAD_REQUESTS = 300
SMALL_RECEIVE_BUFFER_BYTES = 4096
DRIBBLE_BYTES, DRIBBLE_SECONDS = 4096, 0.2
RECONNECT_SECONDS = 0.01  # after the end of a connection; longer if none is accepted
RECONNECT_REFUSED_SECONDS = 0.1
ANSWER_OWED_SECONDS = 3.0  # after a client has connected: an error or the end of the connection

TRACE_NUMBERS = count()


class Shape(Enum):
    """What a client sends."""

    HALF_BODY = "half_body"  # half of the largest body
    MANY_FIELDS_HALF_BODY = "many_fields_half_body"  # a head of many short fields, then half a body
    HEAD_WITHOUT_END = "head_without_end"
    SLOW_BODY = "slow_body"  # the largest body, some bytes at a time
    CHUNKED_BODY = "chunked_body"  # half of the largest body, in chunks of one byte
    LARGE_AHEAD = "large_ahead"  # hundreds of requests with the largest body at once
    SMALL_AHEAD = "small_ahead"  # requests of a class that does not exist, without pause
    NEW_NAMES = "new_names"  # the same, each with a class, an id, a query and a field of its own
    UNSOUND = "unsound"  # what is no request, again as soon as it is turned away
    PART_AHEAD = (
        "part_ahead"  # a request, many whole ones behind it, and the head of one more without its end
    )
    LARGE_BODY = "large_body"  # one request with the largest body at a time
    UNREAD_ANSWERS = "unread_answers"  # asks for large answers and reads none
    IDLE = "idle"  # connects and sends nothing


# Shapes of which no request ever comes whole, so that an error or the end is owed to each connection.
NEVER_WHOLE = (
    Shape.HALF_BODY, Shape.MANY_FIELDS_HALF_BODY, Shape.HEAD_WITHOUT_END, Shape.SLOW_BODY, Shape.CHUNKED_BODY,
)  # fmt: skip


def encode_request(
    path: str, body: bytes = b"", length: int | None = None, fields: str = "", trace: str = ""
) -> bytes:
    """A request of the platform; `length` is its Content-Length where that is not the body's."""
    trace = trace or f"bad{next(TRACE_NUMBERS)}"
    method = "POST" if body or length is not None else "GET"
    key = f"Idempotency-Key: {trace}\r\n" if method == "POST" else ""
    size = f"Content-Length: {len(body) if length is None else length}\r\n" if method == "POST" else ""
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {trace}\r\nX-Expires-In: 1400000u\r\n"
    return f"{head}{key}{size}{fields}\r\n".encode() + body


def many_fields() -> str:
    return "a:\r\n" * MANY_FIELDS


class MemoryClient:
    """One client of a listener; `path` is that of its requests without a body, `body_path` of the others."""

    def __init__(self, address: Address, shape: Shape, path: str = "/look", body_path: str = "/post") -> None:
        self.address, self.shape, self.path, self.body_path = address, shape, path, body_path
        self.connections = self.late_errors = 0  # opened, and those with neither error nor end in time
        self.send: Callable[[asyncio.StreamWriter], Awaitable[None]] = getattr(self, f"send_{shape.value}")

    async def run(self) -> None:
        """Plays its shape on one connection after another until it is cancelled."""
        while True:
            try:
                reader, writer = await self.connect()
            except OSError:
                await asyncio.sleep(RECONNECT_REFUSED_SECONDS)
                continue
            self.connections += 1
            sending = asyncio.create_task(self.send_suppressing_errors(writer))
            try:
                await self.read_to_end(reader)
            finally:
                sending.cancel()
                writer.transport.abort()
            await asyncio.sleep(RECONNECT_SECONDS)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        sock = socket.socket()
        if self.shape is Shape.UNREAD_ANSWERS:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self.address)
            return await asyncio.open_connection(sock=sock, limit=SMALL_RECEIVE_BUFFER_BYTES)
        except OSError:
            sock.close()
            raise

    async def read_to_end(self, reader: asyncio.StreamReader) -> None:
        if self.shape is Shape.UNREAD_ANSWERS:
            await asyncio.Event().wait()
        connected_at = time.monotonic()
        with suppress(ConnectionError):
            first = await reader.read(BODY_BYTES)
            self.note_wait(time.monotonic() - connected_at)
            while first and await reader.read(BODY_BYTES):
                pass

    def note_wait(self, seconds: float) -> None:
        self.late_errors += self.shape in NEVER_WHOLE and seconds > ANSWER_OWED_SECONDS

    async def send_suppressing_errors(self, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            await self.send(writer)

    async def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data)
        await writer.drain()

    async def send_half_body(self, writer: asyncio.StreamWriter) -> None:
        await self.write(writer, encode_request(self.body_path, b"x" * (BODY_BYTES // 2), BODY_BYTES))

    async def send_many_fields_half_body(self, writer: asyncio.StreamWriter) -> None:
        half = b"x" * (BODY_BYTES // 2)
        await self.write(writer, encode_request(self.body_path, half, BODY_BYTES, many_fields()))

    async def send_head_without_end(self, writer: asyncio.StreamWriter) -> None:
        await self.write(writer, encode_request(self.path, fields=many_fields()).removesuffix(b"\r\n"))

    async def send_slow_body(self, writer: asyncio.StreamWriter) -> None:
        await self.write(writer, encode_request(self.body_path, length=BODY_BYTES))
        for _ in range(BODY_BYTES // DRIBBLE_BYTES):
            await self.write(writer, b"x" * DRIBBLE_BYTES)
            await asyncio.sleep(DRIBBLE_SECONDS)

    async def send_chunked_body(self, writer: asyncio.StreamWriter) -> None:
        head = encode_request(self.body_path, length=0)
        await self.write(writer, head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked"))
        for _ in range(8):
            await self.write(writer, b"1\r\nx\r\n" * (BODY_BYTES // 16))

    async def send_large_ahead(self, writer: asyncio.StreamWriter) -> None:
        body = b"x" * BODY_BYTES
        for _ in range(AHEAD_REQUESTS):
            await self.write(writer, encode_request(self.body_path, body))

    async def send_small_ahead(self, writer: asyncio.StreamWriter) -> None:
        requests = b"".join(encode_request("/nowhere") for _ in range(100))
        while True:
            await self.write(writer, requests)

    async def send_new_names(self, writer: asyncio.StreamWriter) -> None:
        while True:
            numbers = [next(TRACE_NUMBERS) for _ in range(100)]
            requests = [
                encode_request(f"/n{n}?sid={n}", fields=f"X-{n}: {n}\r\nX-Qos: {n}\r\n") for n in numbers
            ]
            await self.write(writer, b"".join(requests))

    async def send_unsound(self, writer: asyncio.StreamWriter) -> None:
        await self.write(
            writer, b"GET /look HTTP/1.1\r\nHost: x\r\nX-Expires-In: soon\r\n\r\n" * 50 + b"?\r\n\r\n"
        )

    async def send_part_ahead(self, writer: asyncio.StreamWriter) -> None:
        whole = b"".join(encode_request(self.path) for _ in range(400))
        await self.write(writer, whole + encode_request(self.path, fields=many_fields())[:-2])

    async def send_large_body(self, writer: asyncio.StreamWriter) -> None:
        await self.write(writer, encode_request(self.body_path, b"x" * BODY_BYTES))

    async def send_unread_answers(self, writer: asyncio.StreamWriter) -> None:
        for _ in range(AHEAD_REQUESTS):
            await self.write(writer, encode_request(self.path))

    async def send_idle(self, writer: asyncio.StreamWriter) -> None:
        """Sends nothing."""


@dataclass(frozen=True)
class ClientCounts:
    """What the clients of a process have counted."""

    connections: int
    late_errors: int


async def play_clients(address: Address, shapes: list[Shape], duration_seconds: float) -> ClientCounts:
    clients = [MemoryClient(address, shape) for shape in shapes]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(duration_seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return ClientCounts(
        sum(client.connections for client in clients), sum(client.late_errors for client in clients)
    )


def report_clients(address: Address, shapes: list[Shape], seconds: float, results: Connection) -> None:
    results.send(asyncio.run(play_clients(address, shapes, seconds)))


def run_clients(address: Address, shapes: list[Shape], duration_seconds: float) -> ClientCounts:
    """Plays a client of each of the shapes in a process of their own, so that the load of theirs holds up no
    stand-in of the caller's process. Blocks until they have ended."""
    context = multiprocessing.get_context("spawn")
    results, sender = context.Pipe(duplex=False)
    arguments = (address, shapes, duration_seconds, sender)
    process = context.Process(target=report_clients, args=arguments, daemon=True)
    process.start()
    sender.close()
    counts: ClientCounts = results.recv()
    process.join()
    return counts

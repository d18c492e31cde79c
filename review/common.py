"""What the cases share: settings, discovery, the sidecar's process, a client and the record.

All addresses are loopback addresses. Times are seconds of the monotonic clock unless stated otherwise.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
JsonObject = dict[str, Any]


def trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class CaseError(RuntimeError):
    """The case could not run, which says nothing about the rule."""


class Record:
    """The file record.txt of a case: one line for each event, with milliseconds since the start."""

    def __init__(self, case: str) -> None:
        self.file = (Path(case).resolve().parent / "record.txt").open("w")
        self.began = time.monotonic()

    def note(self, text: str) -> None:
        self.file.write(f"{(time.monotonic() - self.began) * 1000:9.1f} {text}\n")

    def say(self, text: str) -> None:
        self.note(text)
        print(text, flush=True)

    def close(self) -> None:
        self.file.close()


# -- settings: those of loan-accounts-bkk, where its site file or brief gives a figure


def offerings() -> list[JsonObject]:
    common = {"stream": False, "tardy_earnings": 0.0}
    view = {"name": "account-view", "semantics": "free", "group": "all", "window": 5.0}
    post = {"name": "repayment-post", "semantics": "guarded", "group": "zone", "window": 1.0}
    return [
        common | view | {"agreed_time": 0.8, "hard_stop": 2.0, "earnings": 5.0},
        common | post | {"agreed_time": 0.75, "hard_stop": 1.5, "earnings": 2.0},
    ]


def settings() -> JsonObject:
    limits = {
        "cancel": True, "connect_timeout": 0.25, "idle_close": 30.0, "max_retry_after": 1.0, "max_streams": 1,
        "may_tell": True, "most_dispatches": 4, "parallel_tries": True, "probing": False, "retry_after": True,
    }  # fmt: skip
    rules = {
        "ask_within": 10.0, "cold_from": 0.13, "fall_multiple": 3.0, "grace_to_answer": 0.02,
        "overload_for": 1.0, "ramp_time": 24.0, "stop_sending_within": 1.0,
    }  # fmt: skip
    return {
        "charges": {"cross_zone": 0.22}, "clients": {"marks_retry": True}, "discovery": "ask",
        "earnings_per": "work", "family": "mesh",
        "feedback": {"fields": ["avg_ms", "rps", "waiting"], "via": "answers"},
        "group_size": 2, "kinds": ["fast-1c", "slow-1c"], "layer": 0, "limits": limits,
        "offerings": offerings(), "overage_earnings": 0.1, "parties": [], "rules": rules, "self_index": 0,
        "tick": 0.005, "tiers": ["loan-api"], "weight_kind": "none", "zone": 0,
        "zones": ["bangna", "chaengwattana"],
    }  # fmt: skip


def host(name: str, port: int, zone: str) -> JsonObject:
    """An upstream in the form of discovery's list."""
    fields = {"host": name, "dial": f"127.0.0.1:{port}", "site": zone, "class": "slow-1c", "block": 0}
    return fields | {"health": "SERVING", "share": 1.0, "born_ms": 0}


def free_ports(count: int) -> list[int]:
    """Ports that are free now; all are taken before any is given back, so that they differ."""
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


# -- discovery


class Discovery:
    """A sound discovery service with one fixed list."""

    KEEPALIVE_SECONDS = 2.0

    def __init__(self, hosts: list[JsonObject]) -> None:
        self.listing = {"seq": 42, "whole": True, "hosts": hosts}

    async def start(self, port: int) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = json.dumps(self.listing).encode() + b"\n"
                if b"watch=1" not in head.split(b"\r\n", 1)[0]:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(b"%x\r\n%s\r\n" % (len(body), body))
                while not writer.is_closing():
                    await asyncio.sleep(self.KEEPALIVE_SECONDS)
                    writer.write(b"1\r\n\n\r\n")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# -- the sidecar


class Sidecar:
    """One sidecar, started as the platform does: with `run` of the deploy file, from the root."""

    def __init__(self, config: JsonObject, folder: Path, log: Path) -> None:
        self.config, self.file, self.folder, self.log = config, folder / "config.json", folder, log
        self.address = ("127.0.0.1", int(config["listen"].rpartition(":")[2]))
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, config: JsonObject) -> None:
        """Replaces the file of the configuration."""
        new = self.file.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(self.file)

    def start(self) -> None:
        # A case that is told to end still ends what it started.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.write_config(self.config)
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        environment = os.environ | {
            "RELAY_NAME": self.config["name"], "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"], "RELAY_CONFIG": str(self.file),
            "TMPDIR": str(scratch),
        }  # fmt: skip
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )  # fmt: skip

    async def until_ready(self, seconds: float = 30.0) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                connection = await Connection.open(self.address)
                answer = await connection.ask(b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n", 2.0)
                connection.close()
                if answer.status == 200:
                    return
            except (TimeoutError, OSError, EOFError):
                pass
            await asyncio.sleep(0.1)
        raise CaseError("the sidecar was not ready in time")

    def send_signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def has_ended(self) -> bool:
        return self.process is None or self.process.poll() is not None

    def end(self) -> None:
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


def configuration(listen: int, discovery: int, hosts: list[JsonObject], **more: Any) -> JsonObject:
    return {
        "name": "n0", "listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 41, "whole": True, "hosts": hosts}, "settings": settings(),
    } | more  # fmt: skip


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    return tempfile.TemporaryDirectory(prefix="case-")


# -- clients


class Answer(NamedTuple):
    status: int
    body: bytes
    closes: bool


class Connection:
    """A client's connection, which carries one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address: tuple[str, int]) -> "Connection":
        return cls(*await asyncio.open_connection(*address))

    async def ask(self, request: bytes, within: float) -> Answer:
        """Raises `EOFError` or `OSError` if the connection ends first, `TimeoutError` after `within`."""
        self.writer.write(request)
        return await asyncio.wait_for(self.read_answer(), within)

    async def read_answer(self) -> Answer:
        head = (await self.reader.readuntil(b"\r\n\r\n")).lower().split(b"\r\n")
        fields = dict(line.split(b":", 1) for line in head[1:] if b":" in line)
        body = await self.reader.readexactly(int(fields.get(b"content-length", b"0")))
        return Answer(int(head[0].split(b" ")[1]), body, b"close" in fields.get(b"connection", b""))

    def close(self) -> None:
        self.writer.close()


def query(offering: str, trace: str, remaining_ms: int, body: bytes = b"", key: str = "") -> bytes:
    """A request of the application; POST with a key unless the offering is safe to repeat."""
    head = (
        f"{'POST' if key else 'GET'} /{offering}?sid={trace[-8:]} HTTP/1.1\r\nHost: origin.svc\r\n"
        f"X-Trace-Id: {trace}\r\nX-Qos: {offering}\r\nX-Expires-In: {remaining_ms}m\r\n"
    )
    if key:
        head += f"Idempotency-Key: {key}\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class Client:
    """The application: keeps its connections and opens more when all are busy."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.resting: list[Connection] = []

    async def ask(self, request: bytes, within: float) -> Answer:
        """As `Connection.ask`. What crosses the end of a kept connection is sent once more on a new one."""
        while self.resting:
            connection = self.resting.pop()
            if connection.reader.at_eof() or connection.writer.is_closing():
                connection.close()
                continue
            try:
                return await self.exchange(connection, request, within)
            except (EOFError, OSError):
                break
        return await self.exchange(await Connection.open(self.address), request, within)

    async def exchange(self, connection: Connection, request: bytes, within: float) -> Answer:
        try:
            answer = await connection.ask(request, within)
        except BaseException:
            connection.close()
            raise
        if answer.closes:
            connection.close()
        else:
            self.resting.append(connection)
        return answer

    def close(self) -> None:
        for connection in self.resting:
            connection.close()


def tally(words: Iterable[str]) -> str:
    counts: dict[str, int] = {}
    for word in words:
        counts[word] = counts.get(word, 0) + 1
    return ", ".join(f"{count} {word}" for word, count in sorted(counts.items()))

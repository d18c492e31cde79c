"""Sidecars with little memory under clients that make them hold much."""

import select
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from maddercart.http.client import ClientProtocol, MalformedResponse
from maddercart.http.parsing import MAX_HEAD_FIELDS
from maddercart.http.server import MAX_BODY_BYTES, RequestError, ServerProtocol
from maddercart.rig.processes.memory_clients import Shape
from maddercart.rig.processes.memory_run import MemoryRunSettings, run_memory
from maddercart.sidecar.memory import (
    REQUEST_SHARE,
    SMALL_BYTES,
    MemoryAccount,
    MemoryLedger,
    MemoryUse,
    ledger_limit,
)
from tests.gateway.harness import LISTENER, SERVER, GatewayHarness
from tests.gateway.test_gateway import pool, route
from tests.helpers import SidecarHarness, http_response, request, sidecar_config

LEAST_MEMORY_MB, MOST_DESCRIPTORS = 32, 1024


def test_memory_stays_under_its_limit_while_usual_requests_are_answered() -> None:
    """Hundreds of clients that stopped half way, or sent heads of very many fields, passed the limit.

    One run after another: each keeps three processes busy.
    """
    mixed = tuple(Shape)
    for shapes, is_gateway in [*(((shape,), False) for shape in Shape), (mixed, False), (mixed, True)]:
        settings = MemoryRunSettings(
            shapes, LEAST_MEMORY_MB, MOST_DESCRIPTORS, duration_seconds=4.0, is_gateway=is_gateway
        )
        result = run_memory(settings)
        assert not result.violations(LEAST_MEMORY_MB), (settings, result)


GATEWAY_FILE = Path(__file__).parents[2] / "deploy" / "gateway.toml"
PRINT_IMPORTED = """
import runpy, sys
from maddercart.net.loop import Loop
Loop.run = lambda self: print(*sys.modules)
runpy.run_module("maddercart", run_name="__main__")
"""


@pytest.mark.parametrize("command", [("serve", "--config"), ("gateway", "serve")])
def test_a_service_imports_nothing_of_the_other_commands(command: tuple[str, ...], tmp_path: Path) -> None:
    """They held 8 MB for as long as the process ran."""
    gateway = GATEWAY_FILE.read_bytes().replace(b"127.0.0.1:8080", b"127.0.0.1:0")
    (file := tmp_path / "file").write_bytes(gateway if command[0] == "gateway" else sidecar_config([]))
    arguments = [sys.executable, "-c", PRINT_IMPORTED, *command, str(file)]
    done = subprocess.run(arguments, capture_output=True, timeout=20, text=True)
    imported = set(done.stdout.split())
    assert "maddercart.sidecar" in imported, done.stderr
    assert not imported & {"typer", "pydantic", "rich", "maddercart.lab", "maddercart.rig", "maddercart.cli"}


# -- parts, on a loop that the test turns


class Host(NamedTuple):
    ledger: MemoryLedger
    run_until: Callable[..., Any]
    address: tuple[str, int]
    upstream: socket.socket

    def connect(self, data: bytes) -> socket.socket:
        client = socket.create_connection(self.address)
        client.sendall(data)
        client.setblocking(False)
        return client

    def accept(self) -> socket.socket:
        """A connection to the upstream."""
        self.run_until(lambda: select.select([self.upstream], [], [], 0)[0])
        return self.upstream.accept()[0]

    def answers(self, client: socket.socket, until: bytes) -> bytes:
        received = bytearray()

        def is_complete() -> bool:
            try:
                received.extend(client.recv(MAX_BODY_BYTES))
            except BlockingIOError:
                return False
            return until in received

        self.run_until(is_complete)
        return bytes(received)


@pytest.fixture(params=["sidecar", "gateway"])
def host(request: Any, tmp_path: Path) -> Iterator[Host]:
    with SidecarHarness() as sidecar:
        (upstream,) = sidecar.upstream_listeners
        if request.param == "sidecar":
            address = sidecar.node.listener.getsockname()
            yield Host(sidecar.node.ledger, sidecar.run_until, address, upstream)
            return
        gateway = GatewayHarness(tmp_path, {})
        server = SERVER.format(name="s", host="127.0.0.1", port=upstream.getsockname()[1], zone="a")
        node = gateway.open(LISTENER + pool("p", server) + route("r", "p"))
        yield Host(node.ledger, gateway.run_until, ("127.0.0.1", gateway.port), upstream)
        gateway.close()


LARGE = request("post", "3000m", body="x" * MAX_BODY_BYTES)
HALF = LARGE[: -MAX_BODY_BYTES // 2]


def test_the_ledger_has_room_for_small_input_when_it_is_full() -> None:
    ledger = MemoryLedger(100_000)
    taker, other = MemoryAccount(ledger), MemoryAccount(ledger)
    taker.hold(MemoryUse.PARTS, 70_000)
    assert other.readable_bytes(MemoryUse.PARTS, REQUEST_SHARE, MAX_BODY_BYTES) == SMALL_BYTES
    other.hold(MemoryUse.PARTS, SMALL_BYTES)
    assert other.readable_bytes(MemoryUse.PARTS, REQUEST_SHARE, MAX_BODY_BYTES) == 0
    taker.close()
    assert other.readable_bytes(MemoryUse.PARTS, REQUEST_SHARE, MAX_BODY_BYTES) == MAX_BODY_BYTES
    assert ledger.total == SMALL_BYTES


@pytest.mark.parametrize("memory_mb", [32, 64, 192])
def test_ledger_program_and_reserve_fit_into_the_limit(memory_mb: int) -> None:
    own_bytes = 14 << 20
    assert own_bytes < own_bytes + ledger_limit(memory_mb, own_bytes) <= 0.9 * (memory_mb << 20) + 1


@pytest.mark.parametrize("ended", [True, False])
def test_a_head_of_too_many_fields_is_refused_before_it_is_parsed(ended: bool) -> None:
    """A parsed field takes many times its bytes: 321 heads of 2,600 fields took 96 MB."""
    fields = b"a:\r\n" * (MAX_HEAD_FIELDS + 1) + b"\r\n" * ended
    (server := ServerProtocol()).feed(b"GET / HTTP/1.1\r\nHost: x\r\n" + fields)
    with pytest.raises(RequestError) as refused:
        server.next_request()
    assert refused.value.status == 431
    (client := ClientProtocol(MAX_BODY_BYTES)).serialize_request(b"GET", b"/", [(b"Host", b"x")], b"")
    with pytest.raises(MalformedResponse):
        client.feed(b"HTTP/1.1 200 OK\r\n" + fields)


def test_many_lines_behind_a_head_are_no_fields() -> None:
    (server := ServerProtocol()).feed(request("post", body="\n" * 5_000) + request() * MAX_HEAD_FIELDS)
    received = server.next_request()
    assert received is not None and len(received.body) == 5_000


def test_a_large_request_waits_for_memory_and_a_small_one_does_not(host: Host) -> None:
    host.ledger.limit_bytes = 1
    large, small = host.connect(LARGE), host.connect(request())
    host.run_until(lambda: host.ledger.held[MemoryUse.QUERIES])
    assert 0 < host.ledger.held[MemoryUse.PARTS] < MAX_BODY_BYTES // 4, "the rest stays unread"
    host.ledger.limit_bytes = 1 << 24
    host.run_until(lambda: host.ledger.held[MemoryUse.QUERIES] > MAX_BODY_BYTES)
    large.close()
    small.close()
    host.run_until(lambda: not host.ledger.total - host.ledger.held[MemoryUse.UPSTREAMS])


def test_half_a_request_is_given_up_when_another_wants_its_memory(host: Host) -> None:
    """Every client that stopped half way kept its part, and those that came later got nothing."""
    halves = [host.connect(HALF) for _ in range(4)]
    host.run_until(lambda: host.ledger.held[MemoryUse.PARTS] > 4 * MAX_BODY_BYTES)
    host.ledger.limit_bytes = 4 * MAX_BODY_BYTES
    large = host.connect(LARGE)
    assert b"HTTP/1.1 503" in host.answers(halves[0], b"retry is harmless")
    host.run_until(lambda: host.ledger.held[MemoryUse.QUERIES] > MAX_BODY_BYTES)
    for client in [*halves, large]:
        client.close()


def test_requests_sent_ahead_are_dropped_when_memory_is_short_and_the_first_is_answered(host: Host) -> None:
    host.ledger.limit_bytes = 1
    client = host.connect(request() + LARGE * 3)
    host.run_until(lambda: host.ledger.held[MemoryUse.QUERIES])
    attempt = host.accept()
    attempt.sendall(http_response())
    received = host.answers(client, b"retry is harmless")
    assert received.index(b"HTTP/1.1 200") < received.index(b"HTTP/1.1 503")
    assert host.ledger.peak < MAX_BODY_BYTES


def test_a_client_that_reads_no_answers_is_closed_when_memory_is_short(host: Host) -> None:
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BYTES)
    client.connect(host.address)
    client.sendall(request())
    host.run_until(lambda: host.ledger.held[MemoryUse.QUERIES])
    attempt = host.accept()
    attempt.setblocking(False)
    unsent = [memoryview(http_response(body="x" * (1 << 20)))]

    def is_written() -> bool:
        with suppress(BlockingIOError):
            unsent[0] = unsent[0][attempt.send(unsent[0]) :]
        return not unsent[0]

    host.run_until(is_written)
    host.run_until(lambda: host.ledger.held[MemoryUse.ANSWERS] > 1 << 20)
    host.ledger.limit_bytes = 1
    other = host.connect(LARGE)
    host.run_until(lambda: not host.ledger.held[MemoryUse.ANSWERS])
    other.close()
    client.close()

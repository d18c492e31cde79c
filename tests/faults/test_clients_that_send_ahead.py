"""Clients that send many requests at once, and stay or leave. No test goes by the real clock: attempts,
answers and bytes held are counted."""

import select
import socket
import struct
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from maddercart.http.read_ahead import EXCESS_READ_BYTES
from maddercart.http.server import MAX_HEAD_BYTES, ServerProtocol
from maddercart.interface import MILLISECOND, SECOND
from maddercart.net.loop import NEXT_TURN, Loop
from maddercart.net.sockets import PeerState
from maddercart.sidecar import applications, request_reader
from maddercart.sidecar.application_connection import ApplicationConnection
from maddercart.sidecar.applications import ApplicationServer
from maddercart.sidecar.decisions import BalancerDriver
from maddercart.sidecar.dispatches import Dispatcher
from maddercart.sidecar.memory import MemoryLedger
from maddercart.sidecar.request_reader import RequestReader
from tests.gateway.harness import LISTENER, SERVER, GatewayHarness
from tests.gateway.test_gateway import pool, route
from tests.helpers import SidecarHarness, http_response, request
from tests.test_turns import READY, TurnCounts, answers

MANY = b"".join(request(trace=f"ahead{number}") for number in range(1500))  # 200 KB
LARGE = request("post", body="x" * 60_000) * 16  # 1 MB


class Host(NamedTuple):
    loop: Loop
    run_until: Callable[..., Any]
    address: tuple[str, int]
    upstreams: list[socket.socket]


@pytest.fixture(params=["sidecar", "gateway"])
def host(request: Any, tmp_path: Path) -> Iterator[Host]:
    with SidecarHarness(upstreams=2) as sidecar:
        upstreams, address = sidecar.upstream_listeners, sidecar.node.listener.getsockname()
        if request.param == "sidecar":
            yield Host(sidecar.node.loop, sidecar.run_until, address, upstreams)
            return
        gateway = GatewayHarness(tmp_path, {})
        ports = [listener.getsockname()[1] for listener in upstreams]
        servers = [SERVER.format(name=f"s{port}", host="127.0.0.1", port=port, zone="a") for port in ports]
        gateway.open(LISTENER + pool("p", "".join(servers)) + route("r", "p"))
        yield Host(gateway.loop, gateway.run_until, ("127.0.0.1", gateway.port), upstreams)
        gateway.close()


@pytest.mark.parametrize("how", ["close", "reset", "end of stream"])
@pytest.mark.parametrize("ahead", [request(), MANY, LARGE], ids=["one", "200 KB", "1 MB"])
@pytest.mark.parametrize("attempt", [0, 1], ids=["first", "further"])
def test_no_attempt_begins_for_a_client_that_left_behind_unread_input(
    host: Host, monkeypatch: pytest.MonkeyPatch, attempt: int, ahead: bytes, how: str
) -> None:
    """Review case 6: any unread byte passed for a client that is there, and input was read no further."""
    attempts = TurnCounts(monkeypatch, host.loop, Dispatcher, "write_request")
    taken = TurnCounts(monkeypatch, host.loop, BalancerDriver, "take_query")
    closed = TurnCounts(monkeypatch, host.loop, applications, "close")
    with socket.create_connection(host.address) as client:
        client.sendall(request())
        if attempt:
            host.run_until(lambda: sum(attempts.by_turn))
            (listener,), _, _ = select.select(host.upstreams, [], [], 1)
            listener.accept()[0].sendall(http_response(503, extra_headers="X-Never-Ran: 1\r\n"))
        client.sendall(ahead)
        if how == "reset":
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.shutdown(socket.SHUT_WR) if how == "end of stream" else client.close()
        host.run_until(lambda: sum(closed.by_turn))
        assert sum(attempts.by_turn) == attempt
        assert sum(taken.by_turn) == attempt, "no query counts as load of the upstreams either"


@pytest.mark.parametrize(
    ("end", "last"),
    [(b"", b"503"), (b"POST / HTTP/1.1\r\nHost: x\r\n\r\n" + READY, b"411"),
     (READY.replace(b"x", b"x\r\nConnection: close") + READY, b"503")],
)  # fmt: skip
def test_client_that_stays_gets_one_answer_to_each_request_and_little_is_held(
    monkeypatch: pytest.MonkeyPatch, end: bytes, last: bytes
) -> None:
    """Requests over the limit are refused, after those before them have been answered."""
    held, feed = [0], ServerProtocol.feed
    measured = lambda side, data: (feed(side, data), held.append(side.unparsed_bytes))  # noqa: E731
    monkeypatch.setattr(ServerProtocol, "feed", measured)
    with SidecarHarness() as harness:
        (client := harness.client()).sendall(request())
        harness.read(upstream := harness.accept())
        client.sendall(READY.replace(b"GET", b"HEAD") * 6000 + end)
        (connection,) = harness.node.applications.connections
        harness.run_until(lambda: connection.ahead.excess)
        upstream.sendall(http_response())
        received = answers(harness, client, 6001 + bool(end))
        assert received.count(b"HTTP/1.1 ") == 6001 + bool(end) and received.count(b"200 OK") > 100
        assert received.rindex(b"200 OK") < received.index(b"503 "), "in their order"
        assert received[received.rindex(b"HTTP") :][9:12] == last
        assert max(held) <= EXCESS_READ_BYTES + MAX_HEAD_BYTES
        if not end:
            client.sendall(READY)
            assert harness.response_status(client) == 200, "and the connection is of use again"


def test_query_of_a_client_that_sends_without_pause_is_refused_before_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """While its input is unread no attempt may begin, and its final answer was owed all the same."""
    monkeypatch.setattr(request_reader, "peer_state", lambda _: PeerState.UNREAD)
    instants = [*range(0, SECOND - RequestReader.REFUSAL_MARGIN_NS, 10 * MILLISECOND)]
    clock = iter([*instants, SECOND - RequestReader.REFUSAL_MARGIN_NS]).__next__
    with socket.socketpair()[0] as sock:
        sock.setblocking(False)
        reader = RequestReader(Loop(lambda: 0), clock, lambda *_: None, Counter())
        reading = reader.read_until_known(
            ApplicationConnection(sock, 0, MemoryLedger(1 << 20)), deadline=SECOND
        )
        for _ in instants:
            assert next(reading) == NEXT_TURN
        with pytest.raises(StopIteration) as refused:
            next(reading)
        assert refused.value.value == PeerState.UNREAD


def test_requests_sent_ahead_are_answered_where_connections_are_crowded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first answer closed the connection to free its slot, and requests that were read were lost."""
    monkeypatch.setattr(ApplicationServer, "is_crowded", lambda _: True)
    with SidecarHarness() as harness:
        (client := harness.client()).sendall(READY * 3)
        received = answers(harness, client, 3)
        assert received.count(b"200 OK") == 3 and received.count(b"Connection: close") == 1


def test_requests_sent_ahead_are_answered_during_shutdown() -> None:
    """The first answer after SIGTERM ended the connection, and requests that were read were lost."""
    with SidecarHarness() as harness:
        (client := harness.client()).sendall(request() + request() + request("post", body="x"))
        harness.read(upstream := harness.accept())
        harness.node.stop()
        upstream.sendall(http_response())
        received = answers(harness, client, 3)
        assert [received.count(status) for status in (b"HTTP/1.1 200", b"HTTP/1.1 503")] == [1, 2]
        harness.run_until(lambda: harness.node.loop.stopped)

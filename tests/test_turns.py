"""What one turn of the loop does at most, however much a peer sends at once. No test goes by the real clock:
each counts requests, parsed events, listings or datagrams in each turn."""

import contextlib
import json
import select
import socket
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import h11
import pytest

from maddercart.http.json_splitter import JsonSplitter
from maddercart.http.parsing import MAX_EVENTS_PER_TURN, MAX_LIST_EVENTS_PER_TURN
from maddercart.http.watch import WatchProtocol
from maddercart.interface import DRAINING, GONE
from maddercart.messages.peer_messages import UpstreamState, short_key
from maddercart.messages.upstreams import Listing
from maddercart.net import loop as loops
from maddercart.net.loop import MAX_LAST_RESUMPTIONS, Coroutine, Loop, Wait
from maddercart.sidecar.discovery import MAX_LISTINGS_PER_TURN
from maddercart.sidecar.peers import MAX_DATAGRAMS_PER_TURN, Peers, entries_from_records
from maddercart.sidecar.upstreams import Upstreams, upstream_number
from tests.gateway.harness import GatewayHarness
from tests.gateway.test_gateway import ALL, one_pool_config
from tests.helpers import SidecarHarness, http_response, list_line, request
from tests.test_list_changes import received_nothing
from tests.test_peers import Tier
from tests.test_sidecar import accept_watch, send_list_line

UNKNOWN = request("no-such-class").replace(b"POST", b"GET")  # answered at once, with nothing sent on
READY = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
OTHER_EVENTS = 32  # of connections beside the one that sends much, in any turn


class TurnCounts:
    """How often a function is called in each turn of a loop, each call by what `weigh` makes of it."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, loop: Loop, owner: Any, name: str,
        weigh: Callable[..., int] = lambda *_: 1,
    ) -> None:  # fmt: skip
        self.by_turn = [0]
        run_once, function = loop.run_once, getattr(owner, name)

        def run_turn() -> None:
            self.by_turn.append(0)
            run_once()

        def counted(*arguments: Any) -> Any:
            self.by_turn[-1] += weigh(*arguments)
            return function(*arguments)

        monkeypatch.setattr(loop, "run_once", run_turn)
        monkeypatch.setattr(owner, name, counted)


@pytest.fixture
def harness() -> Iterator[SidecarHarness]:
    with SidecarHarness() as harness:
        yield harness


@pytest.fixture
def handled(harness: SidecarHarness, monkeypatch: pytest.MonkeyPatch) -> TurnCounts:
    """Requests handled in each turn."""
    return TurnCounts(monkeypatch, harness.node.loop, harness.node.handler, "handle")


@pytest.fixture
def events(harness: SidecarHarness, monkeypatch: pytest.MonkeyPatch) -> TurnCounts:
    """Events that the HTTP parsers take in each turn."""
    return TurnCounts(monkeypatch, harness.node.loop, h11.Connection, "next_event")


def answers(harness: SidecarHarness, client: socket.socket, number: int) -> bytes:
    """What a client has received once that many answers have come."""
    client.setblocking(False)
    received = bytearray()

    def all_came() -> bool:
        with contextlib.suppress(BlockingIOError):
            received.extend(client.recv(1 << 20))
        return received.count(b"HTTP/1.1 ") >= number

    harness.run_until(all_came, within=20.0)
    return bytes(received)


def test_requests_of_one_read_are_handled_one_a_turn(harness: SidecarHarness, handled: TurnCounts) -> None:
    """Review case 3: all requests of one read were answered in one turn, and nobody else was served."""
    (client := harness.client()).sendall(UNKNOWN * 200 + READY * 100)
    received = answers(harness, client, 300)
    assert received.count(b"HTTP/1.1 404") == 200 and received.count(b"ready\n") == 100
    assert received.rindex(b"HTTP/1.1 404") < received.index(b"HTTP/1.1 200"), "in their order"
    assert sum(handled.by_turn) == 300 and max(handled.by_turn) == 1


def test_many_clients_at_once_are_handled_a_few_a_turn_and_a_usual_one_among_them(
    harness: SidecarHarness, handled: TurnCounts, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Review case 3: the usual client's request is handled within a turn for each group of bad clients."""
    monkeypatch.setattr(loops, "MAX_LAST_NS", loops.NEVER)  # a busy machine must not count
    *bad, usual = [harness.client() for _ in range(2 * MAX_LAST_RESUMPTIONS + 1)]
    harness.run_until(lambda: len(harness.node.applications.connections) > len(bad))
    for client in bad:
        client.sendall(UNKNOWN * 20)
    usual.sendall(request())
    began = len(handled.by_turn)
    harness.run_until(lambda: harness.node.driver.counts["taken"])
    assert len(handled.by_turn) - began <= 4
    harness.read(upstream := harness.accept())
    upstream.sendall(http_response())
    assert harness.response_status(usual) == 200
    assert all(answers(harness, client, 20).count(b"HTTP/1.1 404") == 20 for client in bad)
    assert max(handled.by_turn) <= MAX_LAST_RESUMPTIONS


def test_gateway_handles_requests_of_one_read_one_a_turn(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    gateway = GatewayHarness(tmp_path, ALL)
    node = gateway.open(one_pool_config(gateway, route_more='methods = ["PUT"]'))
    handler = next(iter(node.active_listeners.values())).applications.handler
    turns = TurnCounts(monkeypatch, gateway.loop, handler, "handle")
    with socket.create_connection(("127.0.0.1", gateway.port)) as client:
        client.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n" * 300)
        gateway.run_until(lambda: sum(turns.by_turn) == 300)
    gateway.close()
    assert max(turns.by_turn) == 1


def test_connection_with_requests_that_were_read_is_not_closed_as_idle(harness: SidecarHarness) -> None:
    """Between two turns the next request lies in memory, so that the socket has nothing to read."""
    (client := harness.client()).sendall(UNKNOWN * 5)
    harness.run_until(lambda: harness.node.driver.counts["unfit"])
    harness.node.applications.close_idle()
    assert answers(harness, client, 5).count(b"HTTP/1.1 404") == 5


def test_request_that_came_in_time_is_served_though_it_is_read_late(harness: SidecarHarness) -> None:
    """Review case 3: connections were closed though their request had come, while the loop was busy."""
    client = harness.client()
    (connection,) = harness.run_until(lambda: list(harness.node.applications.connections))
    client.sendall(UNKNOWN)
    harness.node.loop.resume(connection.task, loops.DEADLINE_PASSED)
    assert answers(harness, client, 1).startswith(b"HTTP/1.1 404")


def test_request_in_many_parts_is_parsed_in_many_turns(harness: SidecarHarness, events: TurnCounts) -> None:
    head = request("post").partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\n"
    (client := harness.client()).sendall(head + b"1\r\nx\r\n" * 9000 + b"0\r\n\r\n")
    received = harness.read(upstream := harness.accept(), b"x" * 9000)
    assert received.endswith(b"x" * 9000)
    upstream.sendall(http_response())
    assert harness.response_status(client) == 200
    assert max(events.by_turn) <= MAX_EVENTS_PER_TURN + OTHER_EVENTS


@pytest.mark.parametrize(
    "answer",
    [b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\ny\r\n" * 9000 + b"0\r\n\r\n",
     b"HTTP/1.1 103 x\r\n\r\n" * 2500 + http_response(body="y" * 9000)],
    ids=["parts", "1xx"],
)  # fmt: skip
def test_answer_in_many_parts_is_parsed_in_many_turns(
    harness: SidecarHarness, events: TurnCounts, answer: bytes
) -> None:
    client = harness.send_request(expires="900m")
    harness.read(upstream := harness.accept())
    upstream.sendall(answer)
    assert harness.read(client, b"y" * 9000).startswith(b"HTTP/1.1 200")
    assert max(events.by_turn) <= MAX_EVENTS_PER_TURN + OTHER_EVENTS


def test_endless_1xx_responses_end_with_the_time_of_the_request(harness: SidecarHarness) -> None:
    """While the answer is parsed there is no wait on the socket that would note the deadline."""
    client = harness.send_request("once", expires="200m")
    harness.read(upstream := harness.accept())
    for sock in (upstream, client):
        sock.setblocking(False)

    def send_more() -> bytes:
        with contextlib.suppress(BlockingIOError, ConnectionError):
            upstream.send(b"HTTP/1.1 103 x\r\n\r\n" * 3000)
        with contextlib.suppress(BlockingIOError):
            return client.recv(100)
        return b""

    assert harness.run_until(send_more).startswith(b"HTTP/1.1 502")


def test_listings_of_one_read_are_applied_a_few_a_turn_and_nothing_is_sent_meanwhile(
    harness: SidecarHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The drain comes last: by the listings before it the upstream would still get the request."""
    watch, discovery = accept_watch(harness), harness.node.discovery
    weigh: Callable[..., int] = lambda _, listings: len(listings)  # noqa: E731
    turns = TurnCounts(monkeypatch, harness.node.loop, discovery, "handle_listings", weigh)
    drain = list_line("s-0", harness.upstream_addresses[0], health="DRAINING")
    hosts = {number: [drain] if number == 600 else [] for number in range(2, 601)}
    lines = [json.dumps({"seq": number, "whole": False, "hosts": listed}) for number, listed in hosts.items()]
    send_list_line(watch, "\n".join(lines))
    harness.run_until(lambda: max(turns.by_turn))
    assert discovery.has_unapplied_updates(), "part of the read is put off"
    assert harness.response_status(harness.send_request()) == 503 and received_nothing(harness, 0)
    assert harness.node.upstreams.version == 600
    assert sum(turns.by_turn) == 599 and max(turns.by_turn) <= MAX_LISTINGS_PER_TURN


def test_request_whose_time_ends_while_listings_are_unapplied_is_never_written(
    harness: SidecarHarness,
) -> None:
    harness.node.dispatcher.has_unapplied_updates = lambda: True
    client = harness.send_request("once", expires="400m")
    assert harness.response_status(client) == 503, "it surely never ran"
    assert harness.read(harness.accept()) == b""


def test_list_in_many_parts_is_parsed_in_many_turns(harness: SidecarHarness, events: TurnCounts) -> None:
    watch = accept_watch(harness)
    text = json.dumps({"seq": 7, "whole": False, "hosts": [list_line("s-9")], "more": "z" * 5000})
    watch.sendall(b"".join(b"1\r\n%c\r\n" % byte for byte in text.encode()))
    harness.run_until(lambda: harness.node.upstreams.version == 7)
    assert max(events.by_turn) <= MAX_LIST_EVENTS_PER_TURN + OTHER_EVENTS


def test_brackets_of_one_read_are_scanned_in_many_calls() -> None:
    """Each bracket is a step of the scan, and one read has room for 64 Ki of them."""
    text = b"[" + b"[]," * 20_000 + b'"]"' + b"[" * 1000 + b"]" * 1001 + b"{}" * 5000
    splitter = JsonSplitter(1 << 20)
    values, calls = splitter.feed(text), 1
    while splitter.unfinished:
        values, calls = values + splitter.split(), calls + 1
    assert b"".join(values) == text and len(values) == 5001
    assert calls * JsonSplitter.MAX_BRACKETS_PER_CALL >= 52_000

    watch = WatchProtocol("discovery")
    watch.serialize_request("/api/targets")
    seen = watch.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
    assert watch.unfinished and not watch.response_complete
    while watch.unfinished:
        seen += watch.parse()
    assert seen == values and watch.response_complete


def test_datagrams_of_a_flood_are_read_a_few_a_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    tier = Tier()
    with tier.harness as harness:
        turns = TurnCounts(monkeypatch, harness.node.loop, Peers, "handle_datagram")
        for number in range(100):
            tier.peers[0].sendto(b"%d" % number, tier.listen_address)
        harness.run_until(lambda: sum(turns.by_turn) == 100)
        assert max(turns.by_turn) <= MAX_DATAGRAMS_PER_TURN


def test_record_of_a_datagram_does_not_have_the_whole_list_searched(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each datagram of peers that agree cost milliseconds where there are thousands of upstreams."""

    class CountedEntries(dict[int, Any]):
        def values(self) -> Any:
            raise AssertionError("all entries are visited")

    upstreams = Upstreams(lambda: 0, ["a"], ["m"])
    upstreams.apply_listing(Listing(1, [list_line(f"s-{number}") for number in range(500)], whole=True))
    upstreams.entries = CountedEntries(upstreams.entries)
    key = short_key(upstream_number("s-7"))
    (entry,) = entries_from_records([UpstreamState(key, DRAINING, 0), UpstreamState(1, GONE, 0)], upstreams)
    assert entry.upstream == upstream_number("s-7") and entry.condition == DRAINING


class CountingLoop:
    """A loop with connections that are all readable, and a clock that only reads advance, by `read_ns`."""

    def __init__(self, connections: int, read_ns: int) -> None:
        self.now, self.read_ns = 0, read_ns
        self.loop = Loop(lambda: self.now)
        self.delays: list[int] = []  # for how long the event of each read may have been pending
        self.pairs = [socket.socketpair() for _ in range(connections)]
        for near, far in self.pairs:
            self.loop.spawn(self.serve(near))
            far.send(b"x")

    def serve(self, sock: socket.socket) -> Coroutine:
        while True:
            yield Wait(sock.fileno(), loops.READ)
            sock.recv(1)
            self.delays.append(self.loop.max_event_delay())
            self.now += self.read_ns


def test_requests_that_take_long_are_handled_few_a_turn() -> None:
    """Some requests are costly to parse, so that a number alone would let many clients hold up a turn."""
    counting = CountingLoop(connections=10, read_ns=loops.MAX_LAST_NS // 3)
    for handled in (4, 8, 10):
        counting.loop.run_once()
        assert len(counting.delays) == handled, "four make the time full"


def test_event_that_was_put_off_counts_from_when_it_came() -> None:
    """A request's time counts from its last byte, however many turns its connection waited."""
    counting = CountingLoop(connections=3 * MAX_LAST_RESUMPTIONS, read_ns=0)
    for turn in (1, 2, 3):
        counting.now += 1000
        counting.loop.run_once()
        assert len(counting.delays) == turn * MAX_LAST_RESUMPTIONS, "none twice, none left out"
    assert counting.delays[-1] >= 2000 and counting.delays == sorted(counting.delays)


def test_peers_that_sent_much_come_behind_those_with_one_request_and_go_on_all_the_same() -> None:
    """Clients with hundreds of requests had a turn for each, and usual ones were answered too late."""
    loop, order = Loop(lambda: 0), [""]

    def work(name: str) -> Coroutine:
        while True:
            yield loops.NEXT_TURN
            order[-1] += name

    for _ in range(2 * MAX_LAST_RESUMPTIONS):
        loop.spawn(work("b"), loops.RANK_BACKLOG)
    loop.spawn(work("u"))
    loop.run_once()
    assert order[-1] == "u" + "b" * (MAX_LAST_RESUMPTIONS - 1)
    for _ in range(2 * MAX_LAST_RESUMPTIONS):
        loop.spawn(work("u"))
    order.append("")
    loop.run_once()
    assert order[-1].count("b") == loops.BACKLOG_RESUMPTIONS and order[-1].startswith("u")


def test_an_answer_goes_out_before_further_requests_are_handled(
    harness: SidecarHarness, handled: TurnCounts, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It waited for a turn among hundreds of clients that sent more."""
    monkeypatch.setattr(loops, "MAX_LAST_NS", loops.NEVER)  # a busy machine must not count
    usual = harness.send_request()
    harness.read(upstream := harness.accept())
    bad = [harness.client() for _ in range(2 * MAX_LAST_RESUMPTIONS)]
    harness.run_until(lambda: len(harness.node.applications.connections) > len(bad))
    for client in bad:
        client.sendall(UNKNOWN * 20)
    harness.run_until(lambda: sum(handled.by_turn) > len(bad))
    upstream.sendall(http_response())
    harness.run_until(lambda: harness.node.driver.counts["done"])
    harness.node.loop.run_once()
    assert select.select([usual], [], [], 0)[0]

"""Tests of the sidecar on loopback sockets. The event loop runs in the test; only the last tests start a
process."""

import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest

from maddercart import interface as i
from maddercart.net.loop import Coroutine, Loop, Wait
from maddercart.sidecar.application_connection import EVICTABLE_AFTER_NS, PHASE_TIMEOUTS_NS, Phase
from maddercart.sidecar.clock import MonotonicClock
from maddercart.sidecar.endings import OUTCOME_BY_ENDING, Ending, ending_of_status
from maddercart.sidecar.memory import MemoryUse
from maddercart.sidecar.start_times import StartTimes, reference_stamp_ms
from maddercart.sidecar.upstreams import upstream_number
from tests.helpers import MS, SidecarHarness, http_response, list_line, request, sidecar_config

READY = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"


def reset(sock: socket.socket) -> None:
    """Closes a connection with a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def accept_watch(harness: SidecarHarness) -> socket.socket:
    """Accepts the sidecar's watch of the list and answers it with the response headers."""
    sock = harness.accept_from(harness.discovery)
    assert harness.read(sock).startswith(b"GET /api/targets?watch=1&after=1 HTTP/1.1\r\n")
    sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    return sock


def send_list_line(sock: socket.socket, line: str) -> None:
    """Sends one line on a watch, as a chunk."""
    sock.sendall(b"%x\r\n%s\n\r\n" % (len(line) + 1, line.encode()))


# -- how a connection ends


def test_every_ending_maps_to_an_outcome_and_only_unsent_or_turned_away_queries_never_ran() -> None:
    assert set(OUTCOME_BY_ENDING) == set(Ending)
    never = {ending for ending, outcome in OUTCOME_BY_ENDING.items() if outcome in i.NEVER_RAN}
    assert never == {
        Ending.NO_ADDRESS, Ending.NO_DESCRIPTOR, Ending.WITHDRAWN, Ending.REFUSED, Ending.NEVER_CAME_UP,
        Ending.BROKE_UNWRITTEN, Ending.TIME_UP_UNWRITTEN, Ending.TURNED_AWAY,
    }  # fmt: skip
    assert [ending_of_status(s, True) for s in (200, 503, 504)] == [
        Ending.ANSWERED,
        *[Ending.TURNED_AWAY] * 2,
    ]
    assert {ending_of_status(s, False) for s in (201, 204, 301, 404, 429, 500, 503, 504)} == {Ending.FAILED}
    assert ending_of_status(500, True) == Ending.FAILED, "only 503 and 504 can say that it never ran"


UPSTREAM_ACTIONS: dict[str, Callable[[socket.socket], None]] = {
    "answered": lambda sock: sock.sendall(http_response()),
    "turned_away": lambda sock: sock.sendall(http_response(503, extra_headers="X-Never-Ran: 1\r\n")),
    "failed": lambda sock: sock.sendall(http_response(503)),
    "malformed": lambda sock: sock.sendall(b"no answer at all\r\n\r\n"),
    "broke_written": reset,
    "time_up": lambda sock: None,
}


@pytest.mark.parametrize("ending", UPSTREAM_ACTIONS)
def test_reply_and_ending_after_a_labelled_query_was_written(ending: str) -> None:
    """With a single upstream: where the query may have run, the client must not be told to retry."""
    with SidecarHarness() as harness:
        client = harness.send_request("post", body="abc", trace="t1")
        upstream = harness.accept()
        got = harness.read(upstream, b"abc")
        assert got.startswith(b"POST /post?sid=7 HTTP/1.1\r\n") and b"X-Trace-Id: t1\r\n" in got
        UPSTREAM_ACTIONS[ending](upstream)
        status = harness.response_status(client)
        assert status == {"answered": 200, "turned_away": 503}.get(ending, 502)
        assert harness.node.driver.counts[ending] == 1 and not harness.node.driver.pending
        if ending != "turned_away" and ending != "answered" and ending != "failed":
            assert harness.node.pool.connection_count == 0, "the connection is closed"


def test_answer_bodies_are_limited_by_memory_only() -> None:
    """Answers of 400 KB over a fixed limit were treated as malformed, and so each upstream as failing."""
    with SidecarHarness() as harness:
        client, body = harness.send_request("post"), "x" * 400_000
        upstream = harness.accept()

        def send_answer() -> None:
            with suppress(OSError):
                upstream.sendall(http_response(body=body + "end"))

        ledger = harness.node.ledger
        for limit_bytes, status in ((ledger.limit_bytes, b"200"), (100_000, b"502")):
            ledger.limit_bytes = limit_bytes
            harness.read(upstream)
            upstream.settimeout(5)
            sender = threading.Thread(target=send_answer)
            sender.start()
            got = harness.read(client, b"end" if status == b"200" else b"\r\n\r\n")
            assert got.split(b" ", 2)[1] == status and not ledger.held[MemoryUse.ANSWERS]
            sender.join()
            client.sendall(request("post"))


def test_a_connection_closed_within_an_answer_ends_as_broke_written() -> None:
    with SidecarHarness() as harness:
        client = harness.send_request("post")
        upstream = harness.accept()
        harness.read(upstream)
        upstream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
        upstream.close()
        assert harness.response_status(client) == 502 and harness.node.driver.counts["broke_written"] == 1


def test_a_refused_connection_bounces_the_query() -> None:
    with SidecarHarness() as harness:
        harness.upstream_listeners[0].close()
        assert harness.response_status(harness.send_request("post")) == 503
        assert harness.node.driver.counts["refused"] == 1


@pytest.mark.parametrize(("expires", "within"), [("900m", 100), ("200m", 2000)])
def test_a_connection_that_never_comes_up_bounces_the_query_within_either_timeout(
    expires: str, within: int
) -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full_listener:
        at = "{}:{}".format(*full_listener.getsockname())
        fillers = [socket.socket() for _ in range(4)]
        for sock in fillers:  # with a full backlog no further connection comes up
            sock.setblocking(False)
            sock.connect_ex(full_listener.getsockname())
        with SidecarHarness(hosts=[list_line("s-0", at)]) as harness:
            harness.node.driver.dispatcher.connect_timeout_ns = within * MS
            began = time.monotonic()
            assert harness.response_status(harness.send_request("post", expires=expires)) == 503
            assert time.monotonic() - began < 0.8 and harness.node.driver.counts["never_came_up"] == 1
        for sock in fillers:
            sock.close()


def test_a_query_that_was_not_written_whole_is_bounced() -> None:
    with SidecarHarness() as harness:
        harness.upstream_listeners[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        body = "x" * 65_000
        many = [harness.send_request("post", body=body, expires="300m") for _ in range(2)]
        for client in many:
            assert harness.response_status(client) in (502, 503)
        counts = harness.node.driver.counts
        assert counts["time_up"] + counts["time_up_unwritten"] == 2
        assert counts["bounced"] == counts["time_up_unwritten"]


# -- the connection pool


def test_a_connection_is_reused_and_dropped_once_the_upstream_closes_it() -> None:
    with SidecarHarness() as harness:
        client = harness.send_request()
        upstream = harness.accept()
        for _ in range(3):
            harness.read(upstream)
            upstream.sendall(http_response())
            assert harness.response_status(client) == 200
            client.sendall(request())
        assert harness.node.pool.connection_count == 1
        harness.read(upstream)
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200
        upstream.close()
        harness.run_until(lambda: harness.node.pool.connection_count == 0)
        client.sendall(request())
        harness.read(again := harness.accept())
        again.sendall(http_response())
        assert harness.response_status(client) == 200 and harness.node.driver.counts["answered"] == 5


def test_a_reused_connection_that_breaks_does_not_count_against_its_upstream() -> None:
    """With one query in ten on such a connection, half of all upstreams were ejected at any time."""
    with SidecarHarness() as harness:
        client = harness.send_request("post")
        counts, health = harness.node.driver.counts, harness.node.driver.balancer.health
        for end in range(1, 5):
            harness.read(upstream := harness.accept())
            upstream.sendall(http_response())
            assert harness.response_status(client) == 200
            client.sendall(request("post"))
            harness.read(upstream)
            reset(upstream)
            assert harness.response_status(client) == 502 and counts["broke_kept"] == end, "it may have run"
            client.sendall(request("post"))
        assert not health.ejected
        harness.read(upstream := harness.accept())
        reset(upstream)
        assert harness.response_status(client) == 502 and counts["broke_written"] == 1, (
            "a new connection that breaks is a reset"
        )


def test_an_idle_connection_with_an_unread_end_is_not_reused() -> None:
    """A query written to it would end as a reset, and might have run."""
    with SidecarHarness() as harness:
        client = harness.send_request()
        upstream = harness.accept()
        harness.read(upstream)
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200
        upstream.close()
        number = upstream_number("s-0")
        connection = harness.node.pool.idle[number][0]
        assert (
            harness.node.pool.take_idle(number, connection.address) is None
            and harness.node.pool.connection_count == 0
        )


def test_idle_connections_are_closed_after_the_idle_timeout() -> None:
    with SidecarHarness() as harness:
        harness.node.pool.idle_timeout = 50 * MS
        client = harness.send_request()
        upstream = harness.accept()
        harness.read(upstream)
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200 and harness.node.pool.connection_count == 1
        assert harness.read(upstream) == b"" and harness.node.pool.connection_count == 0


def test_exhausted_descriptors_close_idle_connections_first_and_eject_no_upstream() -> None:
    with SidecarHarness(upstreams=2) as harness:
        pool = harness.node.pool
        pool.max_connections = 1
        first, decisions = harness.send_request("post", expires="900m"), harness.node.driver
        harness.run_until(lambda: decisions.pending)
        for _ in range(6):
            assert harness.response_status(harness.send_request("post")) == 503
        assert decisions.counts["no_descriptor"] > 6 and not decisions.balancer.health.ejected
        (out,) = decisions.pending.values()
        upstream = harness.accept(["s-0", "s-1"].index(harness.node.upstreams.names[out.upstream]))
        harness.read(upstream)
        upstream.sendall(http_response())
        assert harness.response_status(first) == 200 and pool.connection_count == 1
        connection = pool.open(1, ("127.0.0.1", 1))
        assert connection is not None and pool.connection_count == 1 and harness.read(upstream) == b"", (
            "the idle connection was closed"
        )
        pool.close(connection)


# -- the application's connections


def test_a_client_that_disconnects_ends_its_query_and_its_dispatch() -> None:
    with SidecarHarness() as harness:
        client = harness.send_request()
        upstream = harness.accept()
        harness.read(upstream)
        client.close()
        assert harness.read(upstream) == b"", "the dispatch was cancelled by closing its connection"
        decisions = harness.node.driver
        assert not decisions.held and not decisions.pending and decisions.counts["left"] == 1


def test_an_incomplete_request_is_not_taken() -> None:
    with SidecarHarness() as harness:
        client = harness.client()
        client.sendall(request("post", body="abc")[:-1])
        harness.run_until(
            lambda: any(
                connection.protocol.request_started for connection in harness.node.applications.connections
            )
        )
        client.close()
        harness.run_until(lambda: not harness.node.applications.connections)
        assert not harness.node.driver.query_count


def test_a_request_that_arrives_byte_by_byte_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """If each byte restarted the timeout, a descriptor would be held for good."""
    monkeypatch.setitem(PHASE_TIMEOUTS_NS, Phase.NEW, 60 * MS)
    with SidecarHarness() as harness:
        client = harness.client()
        client.sendall(request()[:20])
        harness.run_until(lambda: harness.node.applications.connections)

        def send_byte_until_closed() -> bool:
            with suppress(OSError):
                client.sendall(b"x")
            return not harness.node.applications.connections

        harness.run_until(send_byte_until_closed)


def test_a_client_reset_while_its_query_is_held_does_not_affect_others() -> None:
    with SidecarHarness() as harness:
        client, other = harness.send_request(), harness.send_request()
        upstreams = [harness.accept(), harness.accept()]
        reset(client)
        for upstream in upstreams:
            harness.read(upstream)
            upstream.sendall(http_response()) if upstream.fileno() >= 0 else None
        assert harness.response_status(other) == 200 and not harness.node.driver.held


def test_pipelined_requests_are_taken_and_answered_one_by_one() -> None:
    with SidecarHarness() as harness:
        client = harness.client()
        client.sendall(request() + request() + request())
        upstream = harness.accept()
        for _ in range(3):
            harness.read(upstream)
            assert len(harness.node.driver.held) == 1
            upstream.sendall(http_response())
            assert harness.response_status(client) == 200


def test_invalid_requests_get_4xx_and_are_never_bounced() -> None:
    with SidecarHarness() as harness:
        client = harness.client()
        client.sendall(b"\x00\x01 nothing\r\n\r\n")
        assert harness.response_status(client) == 400 and harness.read(client) == b""
        client = harness.client()
        client.sendall(request().replace(b"/look", b"/other"))
        assert harness.response_status(client) == 404
        client.sendall(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert harness.response_status(client) == 200, "the connection stays open"
        assert not harness.node.driver.query_count


def test_the_readiness_path_answers_200_once_an_upstream_is_ready() -> None:
    with SidecarHarness(hosts=[]) as harness:
        client = harness.client()
        client.sendall(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert harness.response_status(client) == 503
        send_list_line(accept_watch(harness), json.dumps({"seq": 2, "whole": False, "hosts": [list_line()]}))
        harness.run_until(lambda: harness.node.upstreams.ready)
        client.sendall(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert harness.response_status(client) == 200


def test_silent_connections_and_partial_requests_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """Silent connections without a limit held their slots for good."""
    monkeypatch.setitem(PHASE_TIMEOUTS_NS, Phase.NEW, 60 * MS)
    monkeypatch.setitem(PHASE_TIMEOUTS_NS, Phase.PART, 60 * MS)
    with SidecarHarness() as harness:
        silent, half = harness.client(), harness.client()
        half.sendall(request()[:20])
        assert (
            harness.read(silent) == b"" and harness.response_status(half) == 408 and harness.read(half) == b""
        )
        client = harness.send_request()
        harness.read(upstream := harness.accept())
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200
        client.sendall(request()[:20])
        assert harness.response_status(client) == 408 and not harness.node.driver.counts["aborted"]


@pytest.mark.parametrize("phase", EVICTABLE_AFTER_NS)
def test_with_all_slots_taken_one_connection_is_evicted_for_a_new_client(
    phase: Phase, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients that ask once and keep their connection held all slots."""
    monkeypatch.setitem(EVICTABLE_AFTER_NS, phase, 100 * MS)
    sent = {Phase.NEW: b"", Phase.PART: request()[:20], Phase.IDLE: READY, Phase.REFUSED: b"\x00\r\n\r\n"}
    monkeypatch.setattr("maddercart.sidecar.applications.ApplicationServer.is_crowded", lambda _: False)
    with SidecarHarness() as harness:
        harness.node.applications.max_connections = 2
        held = [harness.client(), harness.client()]
        for client in held:
            client.sendall(sent[phase])
        harness.run_until(lambda: len(harness.node.applications.phases[phase]) == 2)
        third = harness.client()
        third.sendall(READY)
        began = time.monotonic()
        assert harness.response_status(third) == 200 and 0.05 < time.monotonic() - began < 0.4
        assert (
            len(harness.node.applications.connections) == 2 and harness.node.driver.counts["crowded_out"] == 1
        )


def test_a_connection_that_awaits_its_answer_is_not_evicted() -> None:
    with SidecarHarness() as harness:
        harness.node.applications.max_connections = 1
        client = harness.send_request()
        upstream = harness.accept()
        other = harness.client()
        other.sendall(READY)
        harness.run_for(0.2)
        harness.read(upstream)
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200
        client.close()
        assert harness.response_status(other) == 200


def test_a_trace_id_is_refused_while_a_query_with_it_is_held() -> None:
    with SidecarHarness() as harness:
        client = harness.send_request("post", trace="t7")
        harness.read(upstream := harness.accept())
        assert harness.response_status(harness.send_request(trace="t7")) == 409
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200 and harness.node.driver.query_count == 1
        client.sendall(request(trace="t7"))
        harness.read(upstream)
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200, "the id is free once its query is answered"


def test_a_bounce_carries_retry_after() -> None:
    with SidecarHarness(hosts=[]) as harness:
        assert b"Retry-After: 0.0" in harness.read(harness.send_request())


def test_an_answer_is_passed_on_with_its_end_to_end_headers_only() -> None:
    """Without its Content-Encoding a body would be misread."""
    with SidecarHarness() as harness:
        client = harness.send_request()
        harness.read(upstream := harness.accept())
        upstream.sendall(
            http_response(extra_headers="Content-Encoding: br\r\nKeep-Alive: timeout=9\r\nX-Never-Ran: 0\r\n")
        )
        got = harness.read(client)
        assert got.startswith(b"HTTP/1.1 200 OK\r\nContent-Encoding: br\r\n")
        assert got.endswith(b"\r\n\r\nwell") and got.count(b"\r\n") == 4


def test_a_client_that_reads_slowly_does_not_delay_others() -> None:
    with SidecarHarness() as harness:
        slow = harness.client()
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
        slow.sendall(request())
        upstream = harness.accept()
        harness.read(upstream)
        upstream.sendall(http_response(body="x" * 65_000))
        client = harness.send_request()
        harness.read(again := harness.accept() if not harness.node.pool.idle else upstream)
        again.sendall(http_response())
        assert harness.response_status(client) == 200


# -- discovery


def test_updates_from_discovery_apply_before_queries_of_the_same_loop_turn() -> None:
    """A drain counts as told once discovery has written it: new queries may follow only for a short grace."""
    with SidecarHarness(upstreams=2) as harness:
        watch = accept_watch(harness)
        client = harness.client()
        harness.run_until(lambda: harness.node.applications.connections)
        draining = [
            list_line(f"s-{n}", dial, health="DRAINING") for n, dial in enumerate(harness.upstream_addresses)
        ]
        client.sendall(request())
        send_list_line(watch, json.dumps({"seq": 2, "whole": False, "hosts": draining}))
        assert harness.response_status(client) == 503 and not harness.node.driver.counts["answered"]
        assert not harness.node.pool.connection_count


def test_a_deleted_upstream_keeps_no_idle_connection() -> None:
    with SidecarHarness() as harness:
        watch = accept_watch(harness)
        client = harness.send_request()
        upstream = harness.accept()
        harness.read(upstream)
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200 and harness.node.pool.connection_count == 1
        client.sendall(request())
        harness.read(upstream)
        send_list_line(watch, json.dumps({"seq": 2, "hosts": [list_line("s-0", health="DELETED")]}))
        harness.run_until(lambda: not harness.node.upstreams.ready)
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200, "a dispatch that was sent may end"
        assert harness.node.pool.connection_count == 0


@pytest.mark.parametrize("line", ["no JSON", '{"seq":0,"hosts":[]}', '{"seq":"x","hosts":[]}', "[]"])
def test_after_an_unusable_line_the_whole_list_is_requested(line: str) -> None:
    with SidecarHarness() as harness:
        watch = accept_watch(harness)
        watch.sendall(b"1\r\n\n\r\n")
        send_list_line(watch, line)
        assert harness.read(watch) == b""
        again = harness.accept_from(harness.discovery)
        assert harness.read(again).startswith(b"GET /api/targets HTTP/1.1\r\n")
        again.sendall(http_response(body=json.dumps({"seq": 9, "whole": True, "hosts": [list_line("s-9")]})))
        assert b"after=9" in harness.read(again)
        assert harness.node.upstreams.ready == {upstream_number("s-9")}


def test_a_watch_that_breaks_or_falls_silent_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("maddercart.sidecar.discovery.WATCH_SILENCE_TIMEOUT_NS", 50 * MS)
    with SidecarHarness() as harness:
        first = accept_watch(harness)
        send_list_line(first, '{"seq":1,"hosts":[]}')
        assert harness.read(first) == b"", "the silent watch is closed"
        harness.accept_from(harness.discovery).close()
        accept_watch(harness)


@pytest.mark.parametrize("fault", [OSError("no descriptor is left"), RuntimeError("a fault of ours")])
def test_a_watch_that_fails_to_open_is_retried(monkeypatch: pytest.MonkeyPatch, fault: Exception) -> None:
    """If it counted as open, the list would never be requested again."""
    faults = [fault]

    with SidecarHarness() as harness:
        opened = harness.node.loop.system_calls.tcp

        def tcp() -> socket.socket:
            if faults:
                raise faults.pop()
            return opened()

        monkeypatch.setattr(harness.node.loop.system_calls, "tcp", tcp)
        accept_watch(harness)
        assert not faults


def test_a_reload_switches_to_another_discovery_service_without_losing_the_list_or_a_query() -> None:
    """The old service ends its watches soon after; the known list stays in use until the new one sends its
    own."""
    with SidecarHarness() as harness:
        old, client = accept_watch(harness), harness.send_request()
        harness.read(upstream := harness.accept())
        other = socket.create_server(("127.0.0.1", 0))
        harness.open_sockets.append(other)
        harness.config |= {
            "discovery": "{}:{}".format(*other.getsockname()),
            "limits": {"sockets": 80, "memory_mb": 192},
        }
        harness.node.reload()
        new = harness.accept_from(other)
        assert harness.read(new).startswith(b"GET /api/targets HTTP/1.1\r\n")
        assert (
            harness.node.upstreams.ready == {upstream_number("s-0")}
            and harness.node.pool.max_connections == 24
        )
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200
        whole = {
            "seq": 1,
            "whole": True,
            "hosts": [list_line("s-0", harness.upstream_addresses[0]), list_line("s-9")],
        }
        new.sendall(http_response(body=json.dumps(whole)))
        assert b"watch=1&after=1 " in harness.read(new)
        assert harness.read(old) == b"", "the old watch is closed once the new service has sent a list"
        assert harness.node.upstreams.ready == {upstream_number("s-0"), upstream_number("s-9")}
        harness.node.reload()
        harness.run_for(0.05)
        assert harness.node.discovery.following and not select.select([other, new], [], [], 0)[0], "no change"


@pytest.mark.parametrize("more", [{"discovery": "nowhere"}, {"seed": 7}])
def test_an_unusable_new_configuration_is_logged_once_and_the_old_one_stays(
    more: dict[str, object], caplog: pytest.LogCaptureFixture
) -> None:
    with SidecarHarness() as harness:
        accept_watch(harness)
        harness.config |= more
        harness.node.reload()
        assert [record.message for record in caplog.records] == ["new configuration rejected"]
        client = harness.send_request()
        harness.read(upstream := harness.accept())
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200 and harness.node.discovery.following


# -- the loop and the clock


def test_a_timer_of_an_earlier_wait_does_not_end_a_later_one() -> None:
    loop, seen = Loop(MonotonicClock()), []
    near, far = socket.socketpair()

    def waiter() -> Coroutine:
        seen.append((yield Wait(near.fileno(), 1, loop.clock() + 20 * MS)))
        seen.append((yield Wait(deadline=loop.clock() + 40 * MS)))
        loop.stopped = True

    def failing() -> Coroutine:
        yield Wait(deadline=loop.clock())
        raise RuntimeError("a failing coroutine must not end the others")

    def failing_timer() -> None:
        raise RuntimeError("nor may a failing timer")

    loop.spawn(failing())
    loop.call_at(loop.clock(), failing_timer)
    task = loop.spawn(waiter())
    far.send(b"x")
    began = time.monotonic()
    loop.run()
    assert seen == [1, 0] and task.finished and 0.035 < time.monotonic() - began < 1
    loop.unregister(near.fileno())
    near.close()
    far.close()
    loop.epoll.close()


def test_timers_of_waits_that_ended_early_do_not_accumulate() -> None:
    """One timer was kept for each query for as long as an idle connection may last."""
    loop = Loop(MonotonicClock())

    def waiter() -> Coroutine:
        yield Wait(deadline=loop.clock() + 60 * i.SECOND)

    for _ in range(10):
        for task in [loop.spawn(waiter()) for _ in range(1000)]:
            loop.close(task)
        assert len(loop.timers) <= loop.MIN_CLEANUP_TIMERS + 1
    near, far = socket.socketpair()

    def reader() -> Coroutine:
        for _ in range(5000):
            yield Wait(near.fileno(), 1, loop.clock() + 5 * i.SECOND)
        assert (yield Wait(near.fileno(), 1, loop.clock() + 20 * MS)) == 0
        loop.stopped = True

    loop.remove_ended_timers()
    task = loop.spawn(reader())
    for _ in range(5000):
        loop.resume(task, -1)
    assert len(loop.timers) == 2, "a later deadline needs no timer of its own"
    loop.run()
    assert task.finished
    near.close()
    far.close()
    loop.epoll.close()


def test_a_late_loop_turn_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Without the line, slow answers would be attributed to upstreams."""
    loop = Loop(lambda: 100 * MS)
    loop.call_at(80 * MS, lambda: None)
    loop.run_once()
    assert not caplog.records
    loop.call_at(10 * MS, lambda: None)
    loop.run_once()
    assert [record.message for record in caplog.records] == ["stood still"]
    loop.epoll.close()


@pytest.mark.parametrize("step", [-3600, 5, 3600])
def test_the_clock_advances_with_real_time_while_the_wall_clock_steps(
    step: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = MonotonicClock()
    before, wall = clock(), time.time_ns()
    monkeypatch.setattr(time, "time_ns", lambda: wall + step * i.SECOND)
    assert 0 <= clock() - before < i.SECOND and 0 <= MonotonicClock()() - before < i.SECOND


def test_a_start_stamp_always_gives_the_same_instant_and_a_different_stamp_is_a_restart() -> None:
    """A later instant for the same start would be taken for a restart. A stamp earlier than the last one,
    from a clock that was set back, is a restart too."""
    now = 100 * i.SECOND
    starts = StartTimes(lambda: now)
    first = starts.record_stamp(1, 1_700_000_000_000, 0)
    now += i.SECOND
    assert starts.record_stamp(1, 1_700_000_000_000, 0) == first == 100 * i.SECOND
    assert starts.record_stamp(1, 1_699_996_400_000, 0) == now
    assert starts.record_stamp(1, 0, 0) == 0, "long ago"


def test_start_ages_are_relative_to_the_second_newest_stamp() -> None:
    """A single host whose clock is ahead must not make other upstreams seem old."""
    now, stamp = 100 * i.SECOND, 1_700_000_000_000
    stamps = {1: stamp, 2: stamp + 3_000, 3: stamp + 9_000, 4: stamp + 3_600_000}
    starts, passed = StartTimes(lambda: now), reference_stamp_ms(stamps.values())
    instants = [starts.record_stamp(number, told, passed) // i.SECOND for number, told in stamps.items()]
    assert instants == [91, 94, 100, 100]
    assert reference_stamp_ms([stamp]) == 0 and reference_stamp_ms([]) == 0


# -- the process


class SidecarProcess:
    """A sidecar process started by its command, with one upstream that answers after `delay` seconds."""

    def __init__(self, folder: Path, delay: float) -> None:
        self.upstream_listener = socket.create_server(("127.0.0.1", 0))
        self.delay = delay
        self.requests: list[bytes] = []  # as the upstream received them
        threading.Thread(target=self.serve, daemon=True).start()
        self.file = folder / "config.json"
        self.file.write_bytes(
            sidecar_config([list_line("s-0", "{}:{}".format(*self.upstream_listener.getsockname()))])
        )
        command = [sys.executable, "-m", "maddercart", "serve", "--config", str(self.file)]
        self.process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
        line = self.line("msg=serving")
        name, port = next(word for word in line.split() if "listen=" in word).split("=")[1].split(":")
        self.address = name, int(port)

    def line(self, text: str) -> str:
        """The next line of the log that contains `text`."""
        assert self.process.stderr is not None
        return next(line for line in self.process.stderr if text in line)

    def serve(self) -> None:
        while True:
            sock, _ = self.upstream_listener.accept()
            threading.Thread(target=self.answer, args=(sock,), daemon=True).start()

    def answer(self, sock: socket.socket) -> None:
        while b"\r\n\r\n" in (received := sock.recv(65536)):
            self.requests.append(received)
            time.sleep(self.delay)
            sock.sendall(http_response())

    def client(self) -> socket.socket:
        return socket.create_connection(self.address, timeout=5)


def test_sigterm_answers_held_and_newly_arriving_queries_before_exit(tmp_path: Path) -> None:
    sidecar = SidecarProcess(tmp_path, delay=0.3)
    idle, held = sidecar.client(), sidecar.client()
    held.sendall(request(expires="900m"))
    time.sleep(0.1)
    began = time.monotonic()
    sidecar.process.send_signal(signal.SIGTERM)
    time.sleep(0.1)
    sidecar.process.send_signal(signal.SIGTERM)
    late = sidecar.client()
    late.sendall(request(expires="900m"))
    for sock in (held, late):
        got = sock.recv(65536)
        assert got.startswith(b"HTTP/1.1 200") and b"Connection: close" in got
        assert sock.recv(1) == b""
    idle.sendall(request(expires="900m"))
    assert idle.recv(65536).startswith(b"HTTP/1.1 200"), "an open connection is served until it is closed"
    assert sidecar.process.wait(5) == 0 and 0.4 < time.monotonic() - began < 4
    with pytest.raises(OSError):
        sidecar.client()


def test_sigterm_loses_no_query_of_clients_that_keep_sending(tmp_path: Path) -> None:
    """Six clients reuse their connection while it stays open, and open new ones for 0.4 s after the
    signal."""
    sidecar, lost, answered = SidecarProcess(tmp_path, delay=0.02), [], []
    signalled_at = time.monotonic() + 0.3

    def ask() -> None:
        sock: socket.socket | None = None
        while sock is not None or time.monotonic() < signalled_at + 0.4:
            try:
                sock = sock or sidecar.client()
                sock.sendall(request(expires="900m"))
                got = sock.recv(65536)
            except ConnectionError:
                got = b""
            if not got and time.monotonic() < signalled_at + 0.4:
                lost.append(sock)  # on a new connection, or on one that had just carried an answer
            answered.extend([got] if got else [])
            sock = None if not got or b"Connection: close" in got else sock

    clients = [threading.Thread(target=ask) for _ in range(6)]
    for client in clients:
        client.start()
    time.sleep(max(0.0, signalled_at - time.monotonic()))
    sidecar.process.send_signal(signal.SIGTERM)
    assert sidecar.process.wait(5) == 0
    for client in clients:
        client.join(5)
    assert not lost and len(answered) > 40
    assert all(got.endswith((b"\r\n\r\nwell", b"\r\n\r\nbounced: a retry is harmless\n")) for got in answered)


def test_sighup_reloads_the_configuration_and_keeps_held_queries(tmp_path: Path) -> None:
    """Without a handler the signal ends the process, and all held queries with it."""
    sidecar = SidecarProcess(tmp_path, delay=0.3)
    held = sidecar.client()
    held.sendall(request(expires="900m"))
    sidecar.process.send_signal(signal.SIGHUP)
    assert "discovery" not in sidecar.line("configuration reloaded")
    sidecar.file.write_bytes(sidecar.file.read_bytes().replace(b"127.0.0.1:1", b"127.0.0.1:2"))
    for _ in range(50):
        sidecar.process.send_signal(signal.SIGHUP)
    assert "to=127.0.0.1:2" in sidecar.line("discovery moves")
    sidecar.file.unlink()
    sidecar.process.send_signal(signal.SIGHUP)
    assert "level=ERROR" in sidecar.line("new configuration rejected")
    assert held.recv(65536).startswith(b"HTTP/1.1 200")
    sidecar.process.send_signal(signal.SIGTERM)
    sidecar.process.send_signal(signal.SIGHUP)
    assert sidecar.process.wait(5) == 0


def test_a_connection_is_closed_after_its_answer_while_slots_are_scarce_and_many_are_idle() -> None:
    """Clients that asked once and kept their connection held all slots, for two seconds each."""
    with SidecarHarness(limits={"sockets": 50, "memory_mb": 192}) as harness:  # nine application connections
        silent = [harness.client() for _ in range(2)]
        harness.run_until(lambda: len(harness.node.applications.connections) == len(silent))
        for closes in (False, False, False, True, True):
            client = harness.client()
            client.sendall(READY)
            assert (b"Connection: close" in harness.read(client)) == closes
            assert not closes or harness.read(client) == b"", "the connection is closed"
        for client in silent:
            client.close()
        harness.run_until(lambda: len(harness.node.applications.connections) == 3)
        client.close()
        last = harness.client()
        last.sendall(READY)
        assert b"Connection: close" not in harness.read(last), "fewer than half of the slots are taken"


def with_switched_settings(former: bytes, **more: object) -> bytes:
    """The configuration with offerings and zones renumbered and an offering added; `more` goes to the
    settings."""
    whole = json.loads(former)
    settings = whole["settings"]
    extra = settings["offerings"][0] | {"name": "extra", "agreed_time": 0.3}
    settings |= {"offerings": [extra, *reversed(settings["offerings"])], "zones": ["c", "b", "a"], "zone": 2}
    settings |= {"weight_kind": "live", "group_size": 4, "parties": [{"quota_per_s": 9.0}], **more}
    return json.dumps(whole).encode()


def test_settings_can_be_switched_under_load_back_and_forth(tmp_path: Path) -> None:
    """Each query gets one answer, no query that must not run twice is sent twice, and each switch takes
    effect."""
    sidecar, answered, over = SidecarProcess(tmp_path, delay=0.02), [], threading.Event()
    former = sidecar.file.read_bytes()

    def ask(name: str) -> None:
        sock = sidecar.client()
        while not over.is_set():
            sock.sendall(request(name, expires="900m"))
            answered.append(sock.recv(65536))

    clients = [threading.Thread(target=ask, args=(name,)) for name in ("look", "once", "post") * 2]
    for client in clients:
        client.start()
    for file, status in (
        (with_switched_settings(former), b"200"),
        (former, b"404"),
        (with_switched_settings(former), b"200"),
    ):
        sidecar.file.write_bytes(file)
        sidecar.process.send_signal(signal.SIGHUP)
        sidecar.line("settings switched")
        time.sleep(0.2)
        extra = sidecar.client()
        extra.sendall(request("look", expires="900m").replace(b"look", b"extra"))
        assert extra.recv(65536).split()[1] == status
    over.set()
    for client in clients:
        client.join(5)
    done = [got for got in answered if got.startswith(b"HTTP/1.1 200")]
    assert len(done) > 60 and all(got.count(b"HTTP/1.1 ") == 1 for got in answered)
    asked = [
        line for data in sidecar.requests for line in data.split(b"\r\n") if line.startswith(b"X-Trace-Id")
    ]
    assert len(set(asked)) == len(asked) == len(done) + 2, (
        "each query that was done ran once, and no other ran"
    )
    sidecar.process.send_signal(signal.SIGTERM)
    assert sidecar.process.wait(5) == 0


def test_a_query_held_during_a_switch_is_repeated_in_the_same_deduplication_group() -> None:
    """The switch renumbers zones: by the former number the repeat would go to the other zone."""
    with SidecarHarness(upstreams=4) as harness:
        accept_watch(harness)
        client = harness.send_request("post")
        listener = next(
            listener
            for listener in harness.run_until(lambda: select.select(harness.upstream_listeners, [], [], 0)[0])
        )
        first_index = harness.upstream_listeners.index(listener)
        harness.read(first := harness.accept_from(listener))
        harness.config = {
            **harness.config,
            "settings": json.loads(with_switched_settings(sidecar_config([])))["settings"],
        }
        harness.node.reload()
        reset(first)
        others = harness.run_until(lambda: select.select(harness.upstream_listeners, [], [], 0)[0])
        assert [harness.upstream_listeners.index(other) % 2 for other in others] == [
            first_index % 2
        ] and others != [listener]
        harness.read(second := harness.accept_from(others[0]))
        second.sendall(http_response())
        assert harness.response_status(client) == 200


@pytest.mark.parametrize(
    ("more", "named_in_reason"),
    [({"zone": 7}, "zone"), ({"offerings": []}, "offerings"), ({"weight_kind": "heavy"}, "weight_kind"),
     ({"rules": {"cold_from": 0.2, "ramp_time": -1, "fall_multiple": 3, "overload_for": 1,
                 "ask_within": 10, "stop_sending_within": 1}}, "ramp_time"),
     ({"zones": ["a", "a", "b"]}, "zones"), ({"parties": [{"quota_per_s": -1}]}, "parties.0.quota_per_s"),
     ({"limits": {"most_dispatches": "x"}}, "most_dispatches"), ({"rules": {"cold_from": 0.2}}, "rules")],
)  # fmt: skip
def test_unusable_settings_are_logged_once_and_all_former_settings_stay(
    more: dict[str, object], named_in_reason: str, caplog: pytest.LogCaptureFixture
) -> None:
    with SidecarHarness() as harness:
        sock, before = accept_watch(harness), harness.node.discovery.address
        harness.config |= {
            "settings": json.loads(with_switched_settings(sidecar_config([]), **more))["settings"]
        }
        harness.config |= {"discovery": "127.0.0.1:9"}
        harness.node.reload()
        assert [record.message for record in caplog.records] == ["new configuration rejected"]
        assert named_in_reason in str(vars(caplog.records[0])["reason"])
        assert harness.node.discovery.address == before and "extra" not in harness.node.handler.offerings
        assert not select.select([sock], [], [], 0)[0], "the watch stays open"


def test_a_sighup_before_the_handler_is_installed_does_not_end_the_process() -> None:
    code = (
        "import os, runpy, signal, sys; sys.argv = ['maddercart', 'version']; import maddercart.cli as cli\n"
        "cli.app = lambda: (os.kill(os.getpid(), signal.SIGHUP), os.write(1, b'lives'))\n"
        "runpy.run_module('maddercart', run_name='__main__')"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, timeout=20)
    assert done.stdout == b"lives"


@pytest.mark.parametrize(
    ("stalled", "stall_seconds"), [("new", 0.4), ("kept", 0.3), ("while the loop waits", 0.4)]
)
@pytest.mark.parametrize("body", ["x", "x" * 60_000], ids=["one read", "several reads"])
def test_request_that_waited_for_the_process_is_sent_with_the_time_that_its_client_has_left(
    stalled: str, stall_seconds: float, body: str
) -> None:
    """A soak beside load: an upstream was told 1.463 s of 1.272 s, as nobody counted the time before the
    connection was accepted. Of a request in several reads only the time before the last one counted, and of a
    stop of the process while the loop waits nothing (soak seed 1 may have been one)."""
    with SidecarHarness() as harness:
        client, loop = harness.client(), harness.node.loop
        harness.run_for(0.02 if stalled != "new" else 0)
        client.sendall(request("post", expires="900m", body=body))
        began = time.monotonic()
        time.sleep(stall_seconds)
        if stalled == "while the loop waits":
            loop.polled_at = loop.clock()  # so the next poll takes what has come for new
        head = harness.read(upstream := harness.accept(), until=b"\r\n\r\n" + body.encode())
        left_ms = 900 - (time.monotonic() - began) * 1000
        assert told_ms(head) <= left_ms + 150
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200


def told_ms(head: bytes) -> float:
    """The milliseconds that an attempt tells its upstream it has left."""
    told = next(line for line in head.split(b"\r\n") if line.startswith(b"X-Expires-In: "))
    assert told.endswith(b"u")
    return int(told[len("X-Expires-In: ") : -1]) / 1000


def test_time_of_a_request_sent_ahead_counts_from_when_it_came() -> None:
    """It began when the request before it had been answered, so that upstreams were told too much."""
    with SidecarHarness() as harness:
        client = harness.send_request(expires="900m")
        client.sendall(request(expires="900m"))
        sent_at = time.monotonic()
        harness.read(upstream := harness.accept())
        harness.run_for(0.3)
        upstream.sendall(http_response())
        assert told_ms(harness.read(upstream)) <= 900 - (time.monotonic() - sent_at) * 1000 + 150


def test_wait_of_a_request_that_needs_no_upstream_does_not_count_for_the_next_one() -> None:
    """A query on a connection that had begun with a readiness check lost the time between the two."""
    with SidecarHarness() as harness:
        (client := harness.client()).sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert harness.response_status(client) == 200
        harness.run_for(0.4)
        client.sendall(request(expires="300m"))
        harness.read(harness.accept())


def test_unread_log_lines_do_not_block_the_process() -> None:
    """Writing to a full pipe would block the only thread that serves."""
    code = (
        "import logging, time; from maddercart.sidecar import logs; lines = logs.start('INFO')\n"
        "for n in range(5000): logging.info('x' * 200)\n"
        "logs.flush(lines)\nimport os; os.write(1, b'through'); os._exit(0)"
    )
    process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    assert process.stdout is not None and process.stdout.read() == b"through"
    process.wait(5)


@pytest.mark.parametrize(
    "text", [None, b"", b"{}", b"no JSON", sidecar_config([]).replace(b'"guarded"', b'"perhaps"'),
             sidecar_config([]).replace(b'"8c1f"', b'"no number"'),
             sidecar_config([]).replace(b"127.0.0.1:0", b"nowhere")]
)  # fmt: skip
def test_an_unusable_configuration_at_start_is_one_log_line_and_exit_code_2(
    text: bytes | None, tmp_path: Path
) -> None:
    file = tmp_path / "config.json"
    if text is not None:
        file.write_bytes(text)
    command, told = [sys.executable, "-m", "maddercart", "serve"], os.environ | {"RELAY_CONFIG": str(file)}
    done = subprocess.run(command, env=told, capture_output=True, timeout=20)
    assert done.returncode == 2 and done.stderr.count(b"\n") == 1 and b"level=ERROR" in done.stderr

"""When changes of the upstream list count as told, and that no query is written to an upstream against them.

These are single cases on sockets; `test_generated_deployments.py` runs generated deployments.
"""

import json
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from maddercart import interface as i
from maddercart.interface import MILLISECOND as MS
from maddercart.interface import SECOND
from maddercart.messages.upstreams import Listing
from maddercart.net import sockets
from maddercart.net.loop import Wait
from maddercart.sidecar import dispatches
from maddercart.sidecar.upstreams import Upstreams, upstream_number
from tests.helpers import (
    BalancerHarness,
    SidecarHarness,
    entry,
    http_response,
    list_line,
    offering,
    permits,
    sidecar_config,
)
from tests.test_sidecar import accept_watch, send_list_line


class SlowConnect:
    """Replaces the connect of dispatches: connections come up only once `held` is false."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.held, self.attempts = True, 0
        monkeypatch.setattr(dispatches, "connect", self.connect)

    def connect(
        self, loop: Any, sock: socket.socket, address: tuple[str, int], deadline: int
    ) -> Iterator[Any]:
        self.attempts += 1
        connected = yield from sockets.connect(loop, sock, address, deadline)
        while self.held:
            yield Wait(deadline=loop.clock() + MS)
        return connected


@pytest.fixture
def slow_connect(monkeypatch: pytest.MonkeyPatch) -> SlowConnect:
    return SlowConnect(monkeypatch)


def changes(harness: SidecarHarness, seq: int, *names: str, **more: Any) -> str:
    """Discovery's changes at version `seq` for some of the harness's upstreams, as JSON."""
    lines = [list_line(name, harness.upstream_addresses[int(name[2:])], **more) for name in names]
    return json.dumps({"seq": seq, "whole": False, "hosts": lines})


def received_nothing(harness: SidecarHarness, upstream: int) -> bool:
    """Whether no byte was written to an upstream, even if a connection came up."""
    harness.upstream_listeners[upstream].setblocking(False)
    try:
        sock, _ = harness.upstream_listeners[upstream].accept()
    except BlockingIOError:
        return True
    harness.open_sockets.append(sock)
    sock.setblocking(False)
    try:
        return not sock.recv(1)
    except ConnectionError:
        return True
    except BlockingIOError:
        return True


@pytest.mark.parametrize("removal", ["DRAINING", "DELETED", "moved", "unreadable"])
@pytest.mark.parametrize("offering", ["look", "post", "once"])
def test_an_upstream_removed_while_its_connection_comes_up_gets_no_query(
    slow_connect: SlowConnect, removal: str, offering: str
) -> None:
    """The first byte was written up to the connect timeout of 250 ms after the upstream was chosen, past a
    grace of 50 ms. The query never ran there, so that one of any effect may go elsewhere."""
    with SidecarHarness(upstreams=2) as harness:
        watch, client = accept_watch(harness), harness.send_request(offering)
        harness.node.dispatcher.connect_timeout_ns = SECOND
        harness.run_until(lambda: slow_connect.attempts)
        (out,) = harness.node.driver.pending.values()
        first = int(harness.node.upstreams.names[out.upstream][2:])
        removed = {
            "moved": {"dial": "127.0.0.1:1"}, "unreadable": {"health": "LEAVING"},
        }.get(removal, {"health": removal})  # fmt: skip
        line = list_line(f"s-{first}", harness.upstream_addresses[first]) | removed
        send_list_line(watch, json.dumps({"seq": 2, "whole": False, "hosts": [line]}))
        harness.run_until(lambda: harness.node.driver.counts["withdrawn"])
        slow_connect.held = False
        second = harness.accept(1 - first)
        assert b"X-Trace-Id" in harness.read(second)
        second.sendall(http_response())
        assert harness.response_status(client) == 200 and received_nothing(harness, first)


def test_a_drain_that_discovery_has_written_counts_before_it_is_read(
    slow_connect: SlowConnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In a long turn of the loop, on a busy core, the last check for unread data of discovery may be old."""
    monkeypatch.setattr(dispatches.Dispatcher, "MAX_POLL_AGE_NS", -1)
    slow_connect.held = False
    with SidecarHarness() as harness:
        watch = accept_watch(harness)
        results: list[bool] = []
        has_unread_data = harness.node.dispatcher.has_unread_updates

        def drain_then_check() -> bool:
            if not results:
                send_list_line(watch, changes(harness, 2, "s-0", health="DRAINING"))
                time.sleep(0.01)
            results.append(has_unread_data())
            return results[-1]

        harness.node.dispatcher.has_unread_updates = drain_then_check
        assert (
            harness.response_status(harness.send_request()) == 503
            and results[0]
            and received_nothing(harness, 0)
        )


def test_all_changes_of_one_read_are_applied_before_a_decision(slow_connect: SlowConnect) -> None:
    """A drain and the change that opens its successor came in one read; a held query was decided by the drain
    alone."""
    with SidecarHarness(upstreams=2) as harness:
        watch = accept_watch(harness)
        send_list_line(watch, changes(harness, 2, "s-1", health="DELETED"))
        harness.run_until(lambda: len(harness.node.upstreams.ready) == 1)
        client = harness.send_request()
        harness.run_until(lambda: slow_connect.attempts)
        slow_connect.held = False
        both = changes(harness, 3, "s-0", health="DRAINING") + "\n" + changes(harness, 4, "s-1")
        send_list_line(watch, both)
        second = harness.accept(1)
        harness.read(second)
        second.sendall(http_response())
        assert harness.response_status(client) == 200 and received_nothing(harness, 0)


def test_peers_reports_are_taken_back_in_one_step_with_discoverys_list(slow_connect: SlowConnect) -> None:
    """Taken back in a step of its own, they let held queries be sent by the older list."""
    with SidecarHarness(upstreams=2) as harness:
        watch = accept_watch(harness)
        known = harness.node.upstreams.entries[upstream_number("s-0")]
        harness.node.upstream_pool.apply_peer_entries([known._replace(condition=2)])
        assert not harness.node.upstreams.may_send(known.upstream, ("127.0.0.1", 1))
        out_counts: list[int] = []
        learn = harness.node.driver.balancer.update_list

        def recording_learn(now: int, entries: Any, whole: bool) -> None:
            learn(now, entries, whole)
            out_counts.append(len(harness.node.driver.pending))

        harness.node.driver.balancer.update_list = recording_learn  # type: ignore[method-assign]
        learns_seen: list[int] = []
        settle = harness.node.driver.pull_decisions
        harness.node.driver.pull_decisions = lambda: (learns_seen.append(len(out_counts)), settle())[1]  # type: ignore[method-assign]
        send_list_line(watch, changes(harness, 2, "s-0", health="DRAINING"))
        harness.run_until(lambda: len(out_counts) == 2)
        assert 1 not in learns_seen and 2 in learns_seen


def test_the_silence_timeout_leaves_time_for_a_retry_pause_and_a_call() -> None:
    """Changes missed on a watch count as told 6 s after its last line; 5 s of silence and 3 s for a call
    exceeded that."""
    from maddercart.policy.balancer import Balancer
    from maddercart.sidecar.discovery import ANSWER_TIMEOUT_NS, WATCH_SILENCE_TIMEOUT_NS

    pause = int(1.5 * Balancer.FOLLOW_MIN_NS)
    assert (
        2 * SECOND < WATCH_SILENCE_TIMEOUT_NS
        and WATCH_SILENCE_TIMEOUT_NS + pause + ANSWER_TIMEOUT_NS < 6 * SECOND
    )


def test_a_list_that_never_ends_is_abandoned_though_data_still_arrives(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("maddercart.sidecar.discovery.LIST_TIMEOUT_NS", 100 * MS)
    with SidecarHarness() as harness:
        watch = accept_watch(harness)
        watch.sendall(b"8\r\n" + b'{"seq":2' + b"\r\n")
        harness.run_for(0.05)
        watch.sendall(b"1\r\n,\r\n")
        assert harness.read(watch) == b"", "the watch is abandoned although data arrived"
        assert harness.accept_from(harness.discovery)


def move_discovery(harness: SidecarHarness) -> socket.socket:
    """Reloads the configuration with another discovery service, and returns its listening socket."""
    other = socket.create_server(("127.0.0.1", 0))
    harness.open_sockets.append(other)
    harness.config |= {"discovery": "{}:{}".format(*other.getsockname())}
    harness.node.reload()
    return other


def test_the_previous_watch_counts_until_the_new_service_has_sent_its_list() -> None:
    """It was closed first, and for up to 3 s nothing was received from either service."""
    with SidecarHarness(upstreams=2) as harness:
        old = accept_watch(harness)
        other = move_discovery(harness)
        new = harness.accept_from(other)
        harness.read(new)
        send_list_line(old, changes(harness, 2, "s-0", health="DRAINING"))
        harness.run_until(lambda: upstream_number("s-0") not in harness.node.upstreams.ready)
        new.close()
        again = harness.accept_from(other)
        assert harness.read(again).startswith(b"GET /api/targets HTTP"), "the whole list is requested again"
        whole = {"seq": 9, "whole": True, "hosts": [list_line("s-1", harness.upstream_addresses[1])]}
        again.sendall(http_response(body=json.dumps(whole, indent=1)))
        assert b"after=9 " in harness.read(again) and harness.read(old) == b""
        assert harness.node.upstreams.ready == {upstream_number("s-1")}


def test_a_previous_watch_that_ends_during_a_move_is_not_reopened() -> None:
    with SidecarHarness() as harness:
        old = accept_watch(harness)
        other = move_discovery(harness)
        new = harness.accept_from(other)
        old.close()
        harness.run_until(lambda: harness.node.discovery.previous is None)
        assert harness.node.discovery.following and harness.node.discovery.current is not None
        new.close()
        assert harness.accept_from(other), "the new service is called again"


# -- lists that are pushed


def push_configuration(**more: Any) -> dict[str, Any]:
    settings = json.loads(sidecar_config([]))["settings"]
    return {"settings": settings | {"discovery": "push"} | more}


def test_with_pushed_lists_nothing_is_sent_before_the_first_list() -> None:
    """All that the agent has counts as told from the start; a new process used the list it last knew."""
    with SidecarHarness(upstreams=2, **push_configuration()) as harness:
        assert not harness.node.upstream_pool.is_ready()
        client = harness.send_request()
        watch = accept_watch(harness)
        send_list_line(watch, changes(harness, 2, "s-0", health="DRAINING"))
        second = harness.accept(1)
        harness.read(second)
        second.sendall(http_response())
        assert (
            harness.response_status(client) == 200
            and received_nothing(harness, 0)
            and harness.node.upstream_pool.is_ready()
        )


def test_with_pushed_lists_and_no_discovery_queries_bounce_until_the_known_list_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A sidecar must be ready within 30 s of its start even if discovery is down."""
    monkeypatch.setattr("maddercart.sidecar.node.KNOWN_LIST_FALLBACK_NS", SECOND // 2)
    with SidecarHarness(**push_configuration()) as harness:
        harness.discovery.close()
        assert harness.response_status(harness.send_request()) == 503 and received_nothing(harness, 0)
        harness.run_until(harness.node.upstream_pool.is_ready)
        client = harness.send_request()
        upstream = harness.accept()
        harness.read(upstream)
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200


def test_1200_upstreams_can_be_replaced_at_once_and_all_be_reported_to_peers() -> None:
    """All of 1,200 are replaced at once, twice, and those that left can still be reported to peers."""
    from maddercart.messages.peer_messages import encode_tells

    with SidecarHarness() as harness:
        upstreams = harness.node.upstreams
        for seq in range(2, 5):
            hosts = [list_line(f"h{seq}-{n}", f"127.0.0.1:{n + 1}") for n in range(1200)]
            harness.node.upstream_pool.apply_listings([Listing(seq, hosts, whole=True)])
            assert len(upstreams.ready) == 1200
            assert len(upstreams.changed_after(seq - 1)) >= (1200 if seq == 2 else 2400)
        assert len(harness.node.driver.balancer.registry.by_id) == 1200
        assert (
            len(list(encode_tells(4, 0, [record_of(*change) for change in upstreams.changed_after(3)]))) > 100
        )


def record_of(number: int, condition: int, stamp_ms: int) -> Any:
    from maddercart.messages.peer_messages import UpstreamState, short_key

    return UpstreamState(short_key(number), condition, stamp_ms)


Respond = Callable[[socket.socket], None]


@pytest.mark.parametrize("respond", [
    lambda sock: sock.sendall(http_response(503)), lambda sock: None, lambda sock: sock.close(),
    lambda sock: sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"seq":2,'),
    lambda sock: sock.sendall(http_response(body='{"seq":2,"hosts":"none"}')),
])  # fmt: skip
def test_when_discovery_fails_the_known_list_is_used_and_discovery_is_called_again(
    respond: Respond, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("maddercart.sidecar.discovery.WATCH_SILENCE_TIMEOUT_NS", 100 * MS)
    with SidecarHarness() as harness:
        harness.node.discovery.answer_timeout = 100 * MS
        client = harness.send_request()
        sock = harness.accept_from(harness.discovery)
        harness.read(sock)
        respond(sock)
        upstream = harness.accept()
        harness.read(upstream)
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200
        assert harness.accept_from(harness.discovery)


def test_retries_come_sooner_as_the_time_nears_when_missed_changes_count() -> None:
    """After three failures the next call came 5.7 s later, past the 6 s after which missed changes count."""
    balancer = BalancerHarness([entry(1)]).balancer
    now, due, pauses = 100 * SECOND, 106 * SECOND, []
    while now < due:
        balancer.list_failed(now, due - now)
        pauses.append(balancer.follow_at - now)
        now = balancer.follow_at
    assert 4 < len(pauses) < 30 and max(pauses[-3:]) < SECOND
    for _ in range(9):
        balancer.list_failed(now)
    assert SECOND // 2 <= balancer.follow_at - now <= 3 * SECOND // 2, (
        "without such a time the regular pauses apply"
    )


def test_a_labelled_repeat_checks_its_window_again_before_the_first_byte() -> None:
    driver = BalancerHarness([entry(1), entry(2)], offerings=[offering(i.LABELLED)])
    driver.take()
    driver.now += SECOND // 2
    driver.end_dispatch(1, 0, i.RESET)
    assert driver.balancer.may_write(driver.now, 1) and len(driver.outstanding) == 1
    driver.now += SECOND // 2
    assert not driver.balancer.may_write(driver.now, 1), "its window is over, and it may have run"
    decisions = driver.end_dispatch(1, 1, i.NOT_WRITTEN)
    assert decisions[0][0] == "bounce", "upstreams drop its repeats everywhere"


@pytest.mark.parametrize(
    ("lines", "ready"),
    [
        # two at the same address
        ([list_line("s-0", "127.0.0.1:9"), list_line("s-1", "127.0.0.1:9")], {"s-0", "s-1"}),
        ([list_line("s-0", "nowhere"), list_line("s-1", "localhost:80")], set()),  # invalid addresses
        # the last line counts
        ([list_line("s-0", health="SERVING"), list_line("s-0", health="DRAINING")], {"s-1"}),
        ([list_line("s-0", born_ms="x"), list_line("s-1", site="nowhere")], set()),
        ([7, None, {}, {"host": 3}, {"host": "s-9", "health": "SERVING"}], {"s-0", "s-1"}),
    ],
)
def test_invalid_lines_open_nothing_and_affect_no_other_line(lines: list[Any], ready: set[str]) -> None:
    with SidecarHarness(upstreams=2) as harness:
        watch = accept_watch(harness)
        send_list_line(watch, json.dumps({"seq": 2, "whole": False, "hosts": lines}))
        harness.run_until(lambda: harness.node.upstreams.version == 2)
        assert harness.node.upstreams.ready == {upstream_number(name) for name in ready}
        known = harness.node.driver.balancer.registry.by_id.items()
        assert {
            number for number, upstream in known if upstream.entry.condition == i.READY
        } == harness.node.upstreams.ready


@pytest.mark.parametrize("known", [[], [list_line("s-7", "127.0.0.1:1"), list_line("s-8", "127.0.0.1:1")]])
def test_an_empty_or_outdated_known_list_is_corrected_by_the_first_change(known: list[Any]) -> None:
    with SidecarHarness() as harness:
        harness.node.upstream_pool.apply_listings([Listing(1, known, whole=True)])
        watch = accept_watch(harness)
        lines = [
            list_line("s-7", health="DELETED"),
            list_line("s-8", health="DELETED"),
            list_line("s-0", harness.upstream_addresses[0]),
        ]
        send_list_line(watch, json.dumps({"seq": 2, "whole": False, "hosts": lines}))
        harness.run_until(lambda: harness.node.upstreams.ready == {upstream_number("s-0")})
        client = harness.send_request()
        upstream = harness.accept()
        harness.read(upstream)
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200


@pytest.mark.parametrize("order", [1, -1])
@pytest.mark.parametrize("whole", [True, False])
def test_a_later_process_at_an_address_is_not_taken_for_the_one_that_had_it(whole: bool, order: int) -> None:
    """Until the end of the former one was told, queries meant for it went to the process in its place."""
    former, latest = upstream_number("s-1"), upstream_number("s-2")
    upstreams = Upstreams(lambda: 0, ["a", "b"], ["m"])
    upstreams.apply_listing(Listing(1, [list_line("s-1")], whole=True))
    lines = [list_line("s-2", born_ms=5.0, site="b"), list_line("s-1")][::order]
    entries = upstreams.apply_listing(Listing(2, lines, whole))
    assert latest in upstreams.ready and former not in upstreams.ready
    assert upstreams.may_send(latest, ("127.0.0.1", 1)) and not upstreams.may_send(former, ("127.0.0.1", 1))
    assert [entry.condition for entry in entries if entry.upstream == former][-1] == i.DRAINING
    moved = list_line("s-1", dial="127.0.0.1:2", born_ms=9.0)
    upstreams.apply_listing(Listing(3, [moved], whole=False))
    assert former in upstreams.ready, "it has started elsewhere"
    gone = [list_line(name, health="DELETED") for name in ("s-1", "s-2")]
    upstreams.apply_listing(Listing(4, gone, whole=False))
    assert not upstreams.holders and not upstreams.addresses


@pytest.mark.parametrize("grace_ms", [50, 300, 1000, 3000])
def test_a_return_of_discovery_is_noticed_within_the_grace_where_lists_are_pushed(grace_ms: int) -> None:
    """Review case 5: a pause of the whole grace, spread by half, was up to half as long again."""
    longest = 0
    for seed in range(20):
        harness = BalancerHarness([entry(1)], seed=seed + 1, permits=permits(max_list_age_ns=grace_ms * MS))
        for _ in range(12):
            harness.balancer.list_failed(harness.now)
            began = harness.now
            while ("follow",) not in harness.advance(MS):
                pass
            longest = max(longest, harness.now - began)
    assert longest <= grace_ms * MS * 3 // 4 + MS

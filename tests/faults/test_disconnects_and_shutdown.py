"""Clients that disconnect, and the shutdown of the sidecar: nothing is sent for a client that has left, and a
shutdown loses no request."""

import errno
import time
from typing import Any

import pytest

from maddercart import interface as i
from maddercart.policy.recent_attempts import MAX_REMEMBERED
from maddercart.sidecar.dispatches import Dispatcher
from tests.helpers import MS, BalancerHarness, SidecarHarness, entry, offering
from tests.test_turns import TurnCounts


def test_connections_that_temporarily_cannot_be_accepted_are_accepted_before_the_listener_closes() -> None:
    """Closing the listener reset them, with the requests that they carried."""
    with SidecarHarness() as harness:
        listener = harness.node.listener
        harness.node.stop()
        harness.run_for(0.45)
        client = harness.client()
        client.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        applications = harness.node.applications
        accept, errors = applications.accept_batch, [errno.ENFILE] * 5

        def failing_accept(*arguments: Any) -> bool:
            if errors:
                raise OSError(errors.pop(), "too many open files")
            return accept(*arguments)

        applications.accept_batch = failing_accept  # type: ignore[method-assign]
        if applications.accept_task is not None:
            harness.node.loop.close(applications.accept_task)
        assert harness.response_status(client) == 503 and not errors
        harness.run_until(lambda: listener.fileno() < 0)


def test_nothing_is_dispatched_for_a_client_that_left_while_the_process_was_stalled() -> None:
    """The request and the end of its connection arrived during one stall, and the query was dispatched over
    0.1 s after the end."""
    with SidecarHarness() as harness:
        client = harness.send_request()
        client.close()
        time.sleep(0.15)
        harness.run_until(lambda: harness.node.driver.counts["left"])
        harness.upstream_listeners[0].setblocking(False)
        try:
            upstream, _ = harness.upstream_listeners[0].accept()
        except BlockingIOError:
            return
        upstream.settimeout(1)
        assert upstream.recv(1) == b"", "a connection may have been opened, but nothing is written"


def test_a_slow_request_that_completes_during_shutdown_is_answered_before_the_process_ends() -> None:
    """It was held for its own expiry time, beyond the end of the process."""
    with SidecarHarness() as harness:
        client = harness.client()
        client.sendall(b"GET /look HTTP/1.1\r\nHost: x\r\nX-Trace-Id: slow\r\n")
        harness.run_for(0.02)
        harness.node.longest_hard_stop = 300 * MS
        harness.node.stop()
        harness.run_for(0.6)
        client.sendall(b"X-Qos: look\r\nX-Expires-In: 900m\r\n\r\n")
        harness.read(harness.accept())
        harness.run_until(lambda: harness.node.loop.stopped)
        client.settimeout(0.1)
        assert client.recv(4096).startswith(b"HTTP/1.1 503"), (
            "the query is redoable, so the client may send it elsewhere"
        )


def test_a_partly_read_request_is_answered_before_its_connection_is_closed_for_another() -> None:
    """Its connection was closed without an answer, and reset while its client was still writing."""
    with SidecarHarness() as harness:
        harness.node.applications.max_connections = 1
        partial, other = harness.client(), harness.client()
        partial.sendall(b"GET /look HTTP/1.1\r\nHost: x\r\n")
        other.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert harness.response_status(partial) == 408 and harness.response_status(other) == 200


@pytest.mark.parametrize("returns", [1, 2])
def test_an_unsafe_request_that_comes_again_after_its_client_left_is_sent_once(
    monkeypatch: pytest.MonkeyPatch, returns: int
) -> None:
    """Its id was forgotten with its client while the attempt could still run, and it was sent again."""
    with SidecarHarness(upstreams=2) as harness:
        attempts = TurnCounts(monkeypatch, harness.node.loop, Dispatcher, "write_request")
        client = harness.send_request("once", trace="unsafe")
        harness.run_until(lambda: sum(attempts.by_turn))
        for _ in range(returns):
            client.close()
            harness.run_until(lambda: not harness.node.applications.connections)
            client = harness.send_request("once", trace="unsafe")
            harness.run_until(lambda: harness.node.applications.connections)
        assert harness.response_status(client) == 502, "it may have run"
        assert sum(attempts.by_turn) == 1


@pytest.mark.parametrize(
    ("effect", "scope", "after", "sent_to"),
    [(i.LABELLED, i.SAME_ZONE, i.SECOND // 2, {10, 11}), (i.LABELLED, i.SAME_ZONE, 2 * i.SECOND, set()),
     (i.LABELLED, i.EVERYWHERE, i.SECOND // 2, {10, 11, 20, 21}), (i.IRREVERSIBLE, i.SAME_ZONE, 0, set())],
)  # fmt: skip
@pytest.mark.parametrize("ending", ["left", "done", "unsent"])
def test_a_query_that_comes_again_goes_where_its_repeats_are_dropped_within_the_window(
    effect: int, scope: int, after: int, sent_to: set[int], ending: str
) -> None:
    """A key came again and went to upstreams that did not know of it."""
    everywhere = {10, 11, 20, 21}
    reached = set()
    for seed in range(8):
        entries = [entry(10, 0), entry(11, 0), entry(20, 1), entry(21, 1)]
        harness = BalancerHarness(entries, seed=seed + 1, offerings=[offering(effect, scope)])
        harness.balancer.take_query(harness.now, 1, 0, i.SECOND, identity=7)
        (upstream,) = [decision[2] for decision in harness.pull_decisions() if decision[0] == "dispatch"]
        if ending == "left":
            harness.balancer.client_left(harness.now, 1)
        else:
            harness.end_dispatch(1, 0, i.DONE if ending == "done" else i.NOT_WRITTEN, ended=True)
        harness.advance(after)
        # The zone in which the first attempt ran is gone, or full, or as before.
        lost = [entry(number, condition=i.GONE) for number in (10, 11)] if seed % 2 else []
        harness.balancer.update_list(harness.now, lost, False)
        harness.balancer.take_query(harness.now, 2, 0, i.SECOND, identity=7)
        assert upstream in (10, 11)
        reached |= {decision[2] for decision in harness.pull_decisions() if decision[0] == "dispatch"}
    assert reached <= (everywhere if ending == "unsent" else sent_to)
    assert bool(reached) == bool(everywhere if ending == "unsent" else sent_to)


def test_what_is_remembered_of_queries_is_bounded() -> None:
    harness = BalancerHarness([entry(10)], offerings=[offering(i.IRREVERSIBLE)])
    for number in range(1, MAX_REMEMBERED + 100):
        harness.balancer.take_query(harness.now, number, 0, i.SECOND, identity=number)
        harness.pull_decisions()
        harness.end_dispatch(number, 0, i.DONE)
        harness.advance(MS)
    assert len(harness.balancer.recent_attempts.by_identity) == MAX_REMEMBERED

"""Clients that disconnect, and the shutdown of the sidecar: nothing is sent for a client that has left, and a
shutdown loses no request."""

import errno
import time
from typing import Any

import pytest

from maddercart.sidecar.dispatches import Dispatcher
from tests.helpers import MS, SidecarHarness
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

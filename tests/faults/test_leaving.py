"""Clients that leave, and the sidecar that leaves: nothing is begun for them, nothing is lost by it."""

import errno
import time
from typing import Any

from tests.helpers import MS, Desk


def test_connections_that_cannot_be_accepted_for_a_moment_are_accepted_before_the_listener_closes() -> None:
    """They were reset by its end, with the requests that they held."""
    with Desk() as desk:
        listener = desk.node.listener
        desk.node.stop()
        desk.turn_for(0.45)
        client = desk.client()
        client.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        applications = desk.node.applications
        accept, errors = applications.accept_some, [errno.ENFILE] * 5

        def fails(*arguments: Any) -> bool:
            if errors:
                raise OSError(errors.pop(), "too many open files")
            return accept(*arguments)

        applications.accept_some = fails  # type: ignore[method-assign]
        if applications.acceptor is not None:
            desk.node.loop.end(applications.acceptor)
        assert desk.reply(client) == 503 and not errors
        desk.turn(lambda: listener.fileno() < 0)


def test_no_attempt_is_begun_for_a_client_that_left_while_the_process_was_held_up() -> None:
    """Its request and its end came in one standstill: the attempt went out over 0.1 s after the end."""
    with Desk() as desk:
        client = desk.ask()
        client.close()
        time.sleep(0.15)
        desk.turn(lambda: desk.node.decisions.counts["left"])
        desk.ears[0].setblocking(False)
        try:
            upstream, _ = desk.ears[0].accept()
        except BlockingIOError:
            return
        upstream.settimeout(1)
        assert upstream.recv(1) == b"", "a connection may have been begun, but nothing is written"


def test_a_slow_request_that_comes_whole_while_stopping_is_answered_before_the_process_leaves() -> None:
    """It was held for its own time, past the end of the process."""
    with Desk() as desk:
        client = desk.client()
        client.sendall(b"GET /look HTTP/1.1\r\nHost: x\r\nX-Trace-Id: slow\r\n")
        desk.turn_for(0.02)
        desk.node.longest = 300 * MS
        desk.node.stop()
        desk.turn_for(0.6)
        client.sendall(b"X-Qos: look\r\nX-Expires-In: 900m\r\n\r\n")
        desk.read(desk.accept())
        desk.turn(lambda: desk.node.loop.stopped)
        client.settimeout(0.1)
        assert client.recv(4096).startswith(b"HTTP/1.1 503"), "redoable: it may be asked elsewhere"


def test_a_request_that_was_read_in_part_is_answered_before_its_place_goes_to_another() -> None:
    """Its connection was closed with no answer, and reset under what its client still wrote."""
    with Desk() as desk:
        desk.node.applications.most = 1
        half, other = desk.client(), desk.client()
        half.sendall(b"GET /look HTTP/1.1\r\nHost: x\r\n")
        other.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert desk.reply(half) == 408 and desk.reply(other) == 200

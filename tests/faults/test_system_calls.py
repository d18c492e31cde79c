"""System calls that fail for a moment, in every way that Linux documents, cost no request and no upstream."""

import errno
import os
import socket
from typing import Any

import pytest

from maddercart.interface import MOOT
from maddercart.net import sockets
from maddercart.net.loop import READ, Coroutine, Loop, Wait
from maddercart.net.startup import retry_lack
from maddercart.sidecar.clock import Clock
from maddercart.sidecar.endings import OUTCOMES, Ending
from tests.helpers import Desk, answer


class Failing:
    """Stands in for a listener whose accept fails so often before it works."""

    def __init__(self, listener: socket.socket, *errors: int) -> None:
        self.listener, self.errors = listener, list(errors)

    def accept(self) -> Any:
        if self.errors:
            raise OSError(number := self.errors.pop(0), os.strerror(number))
        return self.listener.accept()


@pytest.mark.parametrize("number", sorted(sockets.ACCEPTED_GONE))
def test_a_connection_that_has_gone_does_not_hide_the_next_one(number: int) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted = sockets.accept(Failing(listener, number, number))  # type: ignore[arg-type]
        assert accepted is not None
        accepted.close()
        client.close()


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.EAGAIN, errno.ENOMEM])
def test_a_lack_of_our_own_is_held_against_no_upstream(number: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """After three connects that lacked a port the upstream was ejected."""
    with Desk() as desk:
        opened = desk.node.loop.machine.tcp

        def tcp() -> socket.socket:
            sock = opened()
            monkeypatch.setattr(sock, "connect_ex", lambda at: number, raising=False)
            return sock

        class Lacking(socket.socket):
            def connect_ex(self, address: Any) -> int:
                return number

        def lacking() -> socket.socket:
            return Lacking(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

        monkeypatch.setattr(desk.node.loop.machine, "tcp", lacking)
        for _ in range(4):
            assert desk.reply(desk.ask()) == 503
        assert desk.node.decisions.counts["no_descriptor"] == 4
        assert OUTCOMES[Ending.NO_DESCRIPTOR] == MOOT and not desk.node.decisions.balancer.health.ejected


def test_a_connect_that_a_signal_interrupts_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """EINTR passed for a refusal, and the connection that came up later was dropped."""

    class Interrupted(socket.socket):
        def connect_ex(self, address: Any) -> int:
            super().connect_ex(address)
            return errno.EINTR

    with Desk() as desk:

        def interrupted() -> socket.socket:
            return Interrupted(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

        monkeypatch.setattr(desk.node.loop.machine, "tcp", interrupted)
        client = desk.ask()
        upstream = desk.accept()
        desk.read(upstream)
        upstream.sendall(answer())
        assert desk.reply(client) == 200


def test_epoll_without_room_ends_one_connection_and_not_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """ENOSPC went through the turn and ended the process."""
    loop, seen = Loop(Clock()), []
    first, second = socket.socketpair()
    watch = loop.watch

    def fails(fd: int, events: int) -> None:
        if fd == second.fileno():
            raise OSError(errno.ENOSPC, "no space left on device")
        watch(fd, events)

    def converse() -> Coroutine:
        yield Wait(first.fileno(), READ)
        try:
            yield Wait(second.fileno(), READ)
        except OSError as error:
            seen.append(error.errno)

    monkeypatch.setattr(loop, "watch", fails)
    loop.spawn(converse())
    second.send(b"x")
    loop.turn()
    assert seen == [errno.ENOSPC]
    for sock in (first, second):
        sock.close()
    loop.epoll.close()


def test_what_is_lacked_at_the_start_is_had_a_moment_later() -> None:
    errors = [errno.ENFILE, errno.EADDRINUSE, errno.ENOBUFS]

    def make() -> str:
        if errors:
            raise OSError(errors.pop(), "for a moment")
        return "made"

    assert retry_lack(make) == "made"
    with pytest.raises(OSError):
        retry_lack(lambda: socket.socket(socket.AF_INET, socket.SOCK_RAW, 255) and os.open("/nowhere", 0))


def test_a_configuration_that_cannot_be_read_for_a_moment_is_read_again() -> None:
    """It names the discovery that is followed from now on; the old one closes, and drains were missed."""
    with Desk() as desk:
        again, errors = desk.node.again, [OSError(errno.EIO, "input/output error")] * 3

        def fails() -> Any:
            if errors:
                raise errors.pop()
            return again()

        desk.node.again = fails
        desk.config |= {"discovery": "127.0.0.1:2"}
        desk.node.renew()
        desk.turn(lambda: desk.node.discovery.at == ("127.0.0.1", 2))

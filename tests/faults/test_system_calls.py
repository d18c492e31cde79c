"""Temporary failures of system calls, as documented by Linux, cost no request and eject no upstream."""

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


class FailingListener:
    """A listening socket whose `accept` raises each of the errors before it works."""

    def __init__(self, listener: socket.socket, *errors: int) -> None:
        self.listener, self.errors = listener, list(errors)

    def accept(self) -> Any:
        if self.errors:
            raise OSError(number := self.errors.pop(0), os.strerror(number))
        return self.listener.accept()


@pytest.mark.parametrize("number", sorted(sockets.ACCEPTED_GONE))
def test_accept_skips_connections_that_are_gone(number: int) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted = sockets.accept(FailingListener(listener, number, number))  # type: ignore[arg-type]
        assert accepted is not None
        accepted.close()
        client.close()


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.EAGAIN, errno.ENOMEM])
def test_a_local_resource_shortage_is_not_held_against_an_upstream(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After three connects that failed for lack of a local port, the upstream was ejected."""
    with Desk() as harness:
        opened = harness.node.loop.machine.tcp

        def tcp() -> socket.socket:
            sock = opened()
            monkeypatch.setattr(sock, "connect_ex", lambda at: number, raising=False)
            return sock

        class SocketWithoutConnect(socket.socket):
            def connect_ex(self, address: Any) -> int:
                return number

        def failing_tcp() -> socket.socket:
            return SocketWithoutConnect(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

        monkeypatch.setattr(harness.node.loop.machine, "tcp", failing_tcp)
        for _ in range(4):
            assert harness.reply(harness.ask()) == 503
        assert harness.node.decisions.counts["no_descriptor"] == 4
        assert OUTCOMES[Ending.NO_DESCRIPTOR] == MOOT and not harness.node.decisions.balancer.health.ejected


def test_a_connect_interrupted_by_a_signal_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """EINTR was taken for a refusal, and the connection that came up later was dropped."""

    class InterruptedSocket(socket.socket):
        def connect_ex(self, address: Any) -> int:
            super().connect_ex(address)
            return errno.EINTR

    with Desk() as harness:

        def interrupted_tcp() -> socket.socket:
            return InterruptedSocket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

        monkeypatch.setattr(harness.node.loop.machine, "tcp", interrupted_tcp)
        client = harness.ask()
        upstream = harness.accept()
        harness.read(upstream)
        upstream.sendall(answer())
        assert harness.reply(client) == 200


def test_enospc_of_epoll_ends_one_connection_and_not_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """ENOSPC was raised out of the loop's turn and ended the process."""
    loop, errors = Loop(Clock()), []
    first, second = socket.socketpair()
    watch = loop.watch

    def failing_watch(fd: int, events: int) -> None:
        if fd == second.fileno():
            raise OSError(errno.ENOSPC, "no space left on device")
        watch(fd, events)

    def read_from_both() -> Coroutine:
        yield Wait(first.fileno(), READ)
        try:
            yield Wait(second.fileno(), READ)
        except OSError as error:
            errors.append(error.errno)

    monkeypatch.setattr(loop, "watch", failing_watch)
    loop.spawn(read_from_both())
    second.send(b"x")
    loop.turn()
    assert errors == [errno.ENOSPC]
    for sock in (first, second):
        sock.close()
    loop.epoll.close()


def test_startup_retries_a_temporary_lack_of_resources_and_no_other_error() -> None:
    errors = [errno.ENFILE, errno.EADDRINUSE, errno.ENOBUFS]

    def make() -> str:
        if errors:
            raise OSError(errors.pop(), "for a moment")
        return "made"

    assert retry_lack(make) == "made"
    with pytest.raises(OSError):
        retry_lack(lambda: socket.socket(socket.AF_INET, socket.SOCK_RAW, 255) and os.open("/nowhere", 0))


def test_a_reload_that_temporarily_cannot_read_the_configuration_is_retried() -> None:
    """The file may name another discovery service; the previous one closes, and drains were missed."""
    with Desk() as harness:
        read_configuration, errors = harness.node.again, [OSError(errno.EIO, "input/output error")] * 3

        def failing_read() -> Any:
            if errors:
                raise errors.pop()
            return read_configuration()

        harness.node.again = failing_read
        harness.config |= {"discovery": "127.0.0.1:2"}
        harness.node.renew()
        harness.turn(lambda: harness.node.discovery.at == ("127.0.0.1", 2))

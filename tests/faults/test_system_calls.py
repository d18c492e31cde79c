"""Temporary failures of system calls, as documented by Linux, cost no request and eject no upstream."""

import errno
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from maddercart.interface import NOT_WRITTEN
from maddercart.net import sockets
from maddercart.net.loop import READ, Coroutine, Loop, Wait
from maddercart.net.startup import retry_while_exhausted
from maddercart.process_signals import HANDLED_SIGNALS, STOP_SIGNALS
from maddercart.sidecar.clock import MonotonicClock
from maddercart.sidecar.endings import OUTCOME_BY_ENDING, Ending
from maddercart.sidecar.signals import install_signal_handlers
from tests.helpers import SidecarHarness, http_response, sidecar_config


class FailingListener:
    """A listening socket whose `accept` raises each of the errors before it works."""

    def __init__(self, listener: socket.socket, *errors: int) -> None:
        self.listener, self.errors = listener, list(errors)

    def accept(self) -> Any:
        if self.errors:
            raise OSError(number := self.errors.pop(0), os.strerror(number))
        return self.listener.accept()


@pytest.mark.parametrize("number", sorted(sockets.ACCEPT_RETRYABLE_ERRNOS))
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
    with SidecarHarness() as harness:
        opened = harness.node.loop.system_calls.tcp

        def tcp() -> socket.socket:
            sock = opened()
            monkeypatch.setattr(sock, "connect_ex", lambda at: number, raising=False)
            return sock

        class SocketWithoutConnect(socket.socket):
            def connect_ex(self, address: Any) -> int:
                return number

        def failing_tcp() -> socket.socket:
            return SocketWithoutConnect(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

        monkeypatch.setattr(harness.node.loop.system_calls, "tcp", failing_tcp)
        for _ in range(4):
            assert harness.response_status(harness.send_request()) == 503
        assert harness.node.driver.counts["no_descriptor"] == 4
        assert (
            OUTCOME_BY_ENDING[Ending.NO_DESCRIPTOR] == NOT_WRITTEN
            and not harness.node.driver.balancer.health.ejected
        )


def test_a_connect_interrupted_by_a_signal_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """EINTR was taken for a refusal, and the connection that came up later was dropped."""

    class InterruptedSocket(socket.socket):
        def connect_ex(self, address: Any) -> int:
            super().connect_ex(address)
            return errno.EINTR

    with SidecarHarness() as harness:

        def interrupted_tcp() -> socket.socket:
            return InterruptedSocket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

        monkeypatch.setattr(harness.node.loop.system_calls, "tcp", interrupted_tcp)
        client = harness.send_request()
        upstream = harness.accept()
        harness.read(upstream)
        upstream.sendall(http_response())
        assert harness.response_status(client) == 200


def test_enospc_of_epoll_ends_one_connection_and_not_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """ENOSPC was raised out of the loop's turn and ended the process."""
    loop, errors = Loop(MonotonicClock()), []
    first, second = socket.socketpair()
    watch = loop.set_events

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

    monkeypatch.setattr(loop, "set_events", failing_watch)
    loop.spawn(read_from_both())
    second.send(b"x")
    loop.run_once()
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

    assert retry_while_exhausted(make) == "made"
    with pytest.raises(OSError):
        retry_while_exhausted(
            lambda: socket.socket(socket.AF_INET, socket.SOCK_RAW, 255) and os.open("/nowhere", 0)
        )


def test_a_reload_that_temporarily_cannot_read_the_configuration_is_retried() -> None:
    """The file may name another discovery service; the previous one closes, and drains were missed."""
    with SidecarHarness() as harness:
        read_configuration, errors = harness.node.read_config, [OSError(errno.EIO, "input/output error")] * 3

        def failing_read() -> Any:
            if errors:
                raise errors.pop()
            return read_configuration()

        harness.node.read_config = failing_read
        harness.config |= {"discovery": "127.0.0.1:2"}
        harness.node.reload()
        harness.run_until(lambda: harness.node.discovery.address == ("127.0.0.1", 2))


# -- exceptions, which must not end the process or make it deaf


def fail(*_: Any) -> Any:
    raise KeyError("a fault of ours")


def test_a_callback_that_fails_does_not_end_the_loop() -> None:
    """Its exception left the loop, and the process ended."""
    loop, calls = Loop(MonotonicClock()), []
    pairs = [socket.socketpair() for _ in range(3)]
    for call, (near, far) in zip((fail, calls.append, calls.append), pairs, strict=True):
        loop.call_when_readable(near.fileno(), lambda call=call: call(1))  # type: ignore[misc]
        far.send(b"x")
    loop.run_once()
    assert calls == [1, 1]


def test_a_descriptor_that_epoll_no_longer_knows_does_not_end_the_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    loop = Loop(MonotonicClock())
    near, far = socket.socketpair()
    loop.set_events(near.fileno(), READ)
    far.send(b"x")
    monkeypatch.setattr(loop, "unregister", fail)
    loop.run_once()


def test_a_coroutine_that_fails_at_its_end_does_not_end_the_one_that_closes_it() -> None:
    """The shutdown closes idle connections; one that failed ended it, and the process never stopped."""
    loop, ended = Loop(MonotonicClock()), []

    def failing() -> Coroutine:
        try:
            yield Wait()
        finally:
            fail()

    def closing() -> Coroutine:
        loop.close(loop.spawn(failing()))
        ended.append(True)
        yield Wait()

    loop.spawn(closing())
    assert ended


def test_signals_are_handled_after_a_reload_that_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Signals in series: after a reload had raised an exception, SIGTERM was ignored."""
    with SidecarHarness() as harness:
        former = {number: signal.getsignal(number) for number in HANDLED_SIGNALS}
        install_signal_handlers(harness.node.loop, harness.node.stop, fail)
        try:
            os.kill(os.getpid(), signal.SIGHUP)
            harness.run_for(0.05)
            os.kill(os.getpid(), signal.SIGTERM)
            harness.run_until(lambda: harness.node.applications.stopping)
        finally:
            signal.set_wakeup_fd(-1)
            for number, handler in former.items():
                signal.signal(number, handler)


def test_a_fault_while_accepting_does_not_end_the_listener(monkeypatch: pytest.MonkeyPatch) -> None:
    with SidecarHarness() as harness:
        with monkeypatch.context() as patch:
            patch.setattr(harness.node.applications, "accept_batch", fail)
            client = harness.client()
            harness.run_for(0.05)
        client.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert harness.response_status(client) == 200


@pytest.mark.parametrize("number", [errno.ENOBUFS, errno.ENOMEM])
def test_a_write_that_lacks_local_memory_is_tried_again(number: int) -> None:
    """It was taken for the end of the connection, and the answer was lost."""

    class Failing(socket.socket):
        failures = 3

        def send(self, data: Any, flags: int = 0) -> int:
            if self.failures:
                self.failures -= 1
                raise OSError(number, os.strerror(number))
            return super().send(data, flags)

    loop, results = Loop(MonotonicClock()), []
    near, far = socket.socketpair()
    failing = Failing(fileno=near.detach())
    failing.setblocking(False)

    def write() -> Coroutine:
        results.append((yield from sockets.write(failing, b"answer", None)))

    loop.spawn(write())
    for _ in range(4):
        loop.call_at(loop.clock(), lambda: None)
        loop.run_once()
    assert results == [True] and far.recv(64) == b"answer"


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGHUP])
def test_signals_while_the_interpreter_ends_do_not_make_the_stop_a_crash(
    number: signal.Signals, tmp_path: Path
) -> None:
    """Soak seed 1: SIGINT came behind SIGTERM, and the process ended with -2."""
    (file := tmp_path / "config.json").write_bytes(sidecar_config([]))
    code = (
        "import runpy; from maddercart.net.loop import Loop; Loop.run = lambda self: None\n"
        "runpy.run_module('maddercart', run_name='__main__')"
    )
    command = [sys.executable, "-c", code, "serve", "--config", str(file)]
    with subprocess.Popen(command, stderr=subprocess.PIPE) as process:
        assert process.stderr is not None
        assert any(b"msg=stopped" in line for line in process.stderr)
        while process.poll() is None:
            process.send_signal(number)
    assert process.returncode == 0


@pytest.mark.parametrize("number", STOP_SIGNALS)
def test_a_stop_while_the_process_starts_is_a_stop(number: signal.Signals, tmp_path: Path) -> None:
    """The signal's default action ended the process, with requests in the backlog of its listener."""
    (file := tmp_path / "config.json").write_bytes(sidecar_config([]))
    code = (
        "import os, runpy, maddercart.services as services; run = services.run_service\n"
        f"services.run_service = lambda arguments: (os.kill(os.getpid(), {int(number)}), run(arguments))[1]\n"
        "runpy.run_module('maddercart', run_name='__main__')"
    )
    command = [sys.executable, "-c", code, "serve", "--config", str(file)]
    done = subprocess.run(command, capture_output=True, timeout=20)
    assert done.returncode == 0 and b"msg=stopped" in done.stderr

"""Reads the configuration file in a thread: parsing 1000 routes takes 70 ms, which would block the loop."""

import os
import socket
import threading
from collections.abc import Callable
from pathlib import Path

from maddercart.gateway.check import read_gateway
from maddercart.gateway.config import ConfigFileError, GatewayConfig
from maddercart.net.loop import READ, Coroutine, Loop, Wait


class ConfigReader:
    """Calls `on_read` on the loop's thread with the configuration, or with the error if it is unusable.

    Any number of requests during a read result in one further read.
    """

    def __init__(
        self, loop: Loop, path: Path, on_read: Callable[[GatewayConfig | ConfigFileError], None]
    ) -> None:
        self.path, self.on_read = path, on_read
        self.wake_receiver, self.wake_sender = socket.socketpair()
        self.wake_receiver.setblocking(False)
        self.reading = self.read_again = False
        self.result: GatewayConfig | ConfigFileError | None = None
        loop.spawn(self.deliver_results())

    def request_read(self) -> None:
        if self.reading:  # the file may have changed after the read in progress began
            self.read_again = True
            return
        self.reading = True
        threading.Thread(target=self.read, daemon=True).start()

    def read(self) -> None:
        """Runs in the thread."""
        try:
            self.result = read_gateway(self.path)
        except ConfigFileError as error:
            self.result = error
        except Exception as error:  # without a result, `reading` would stay set and no file be read again
            self.result = ConfigFileError(str(self.path), [("", f"{type(error).__name__}: {error}")])
        self.wake_sender.send(b"x")

    def deliver_results(self) -> Coroutine:
        while True:
            yield Wait(self.wake_receiver.fileno(), READ)
            os.read(self.wake_receiver.fileno(), 64)
            result, self.reading = self.result, False
            if self.read_again:
                self.read_again = False
                self.request_read()
            if result is not None:
                self.on_read(result)

"""A sidecar as operators start it, in a process of its own whose wall clock and system calls are at fault."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from maddercart.rig.processes.faulty import FAULTS_VARIABLE, WALL_VARIABLE

ASK_WITHIN, GRACE, LONGEST_DEADLINE = 10.0, 1.0, 1.5  # seconds, as the settings tell
OFFERINGS = {"look": "free", "post": "guarded", "once": "single_shot"}


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> tuple[str, int]:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        name: tuple[str, int] = sock.getsockname()
        return name


def text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def settings(number: int, sidecars: int) -> dict[str, Any]:
    terms = {"group": "zone", "agreed_time": 0.8, "hard_stop": LONGEST_DEADLINE, "window": 1.0}
    limits = {"most_dispatches": 3, "cancel": True, "retry_after": True, "max_retry_after": 1.0}
    rules = {"cold_from": 0.2, "ramp_time": 4.0, "fall_multiple": 3.0, "overload_for": 1.0}
    return {
        "offerings": [{"name": name, "semantics": effect} | terms for name, effect in OFFERINGS.items()],
        "limits": limits | {"connect_timeout": 0.25, "idle_close": 30.0, "may_tell": sidecars > 1},
        "rules": rules | {"ask_within": ASK_WITHIN, "stop_sending_within": GRACE},
        "discovery": "ask", "self_index": number, "group_size": sidecars, "zones": ["a"], "kinds": ["m"],
    }  # fmt: skip


class SidecarProcess:
    def __init__(self, folder: Path, number: int, sidecars: int, faults: str = "") -> None:
        """`faults`: see `faulty.py`."""
        self.name, self.faults = f"n{number}", faults
        self.listen, self.peer_listen = free_address(), free_address(socket.SOCK_DGRAM)
        self.file, self.wall = folder / f"{self.name}.json", folder / f"{self.name}.wall"
        self.log = folder / f"{self.name}.log"
        self.configuration: dict[str, Any] = {
            "name": self.name, "listen": text(self.listen), "seed": f"{number + 1:x}",
            "settings": settings(number, sidecars), "limits": {"sockets": 512, "memory_mb": 192},
        }  # fmt: skip
        self.step_wall_clock(0)
        self.starts = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.crashes: list[int] = []
        self.terminated_at: float | None = None  # by SIGTERM, in monotonic seconds

    def configure(self, **more: Any) -> None:
        self.configuration |= more
        self.file.write_text(json.dumps(self.configuration))

    def step_wall_clock(self, seconds: float) -> None:
        """The process reads a wall clock that is off by so much from now on."""
        self.wall.write_text(str(seconds))

    def start(self) -> None:
        self.starts += 1
        self.terminated_at = None
        environment = os.environ | {WALL_VARIABLE: str(self.wall), "RELAY_CONFIG": str(self.file)}
        if self.faults:
            environment[FAULTS_VARIABLE] = f"{self.starts}{self.faults}"
        with self.log.open("ab") as log:
            command = [sys.executable, "-m", "maddercart.rig.processes.faulty", "serve"]
            self.process = subprocess.Popen(command, stderr=log, env=environment)

    def wait_until_ready(self, within: float = 20.0) -> None:
        """Raises `TimeoutError`."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            try:
                with socket.create_connection(self.listen, timeout=1) as sock:
                    sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if sock.recv(64).startswith(b"HTTP/1.1 200"):
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")

    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.running():
            self.process.send_signal(number)

    def end(self, number: signal.Signals, within: float = 5.0) -> int:
        """Ends it, by SIGKILL where it takes longer, and returns its exit code."""
        assert self.process is not None
        if (code := self.process.poll()) is not None:
            self.crashes.append(code)
            return code
        if number == signal.SIGTERM:
            self.terminated_at = time.monotonic()
        self.send(number)
        try:
            return self.process.wait(within)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

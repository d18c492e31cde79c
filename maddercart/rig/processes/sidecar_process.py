"""Runs a sidecar as operators start it, in its own process with a stepped clock and failing system calls."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from maddercart.rig.processes.faulty import FAULTS_VARIABLE, WALL_CLOCK_VARIABLE
from maddercart.rig.processes.loopback import find_free_address, format_address

# The settings `ask_within`, `stop_sending_within` and `hard_stop`, in seconds.
ASK_WITHIN_SECONDS, STOP_SENDING_WITHIN_SECONDS, HARD_STOP_SECONDS = 10.0, 1.0, 1.5
# The semantics of each offering, as the settings write them, by its name.
OFFERINGS = {"look": "free", "post": "guarded", "once": "single_shot"}


def build_settings(index: int, sidecar_count: int) -> dict[str, Any]:
    """The deployment settings of the sidecar `index` in a group of `sidecar_count`."""
    terms: dict[str, Any] = {
        "group": "zone",
        "agreed_time": 0.8,
        "hard_stop": HARD_STOP_SECONDS,
        "window": 1.0,
    }
    terms |= {"earnings": 1.0, "tardy_earnings": 0.0}
    limits: dict[str, Any] = {"most_dispatches": 3, "cancel": True, "probing": False}
    limits |= {"retry_after": True, "max_retry_after": 1.0}
    rules = {"cold_from": 0.2, "ramp_time": 4.0, "fall_multiple": 3.0, "overload_for": 1.0}
    return {
        "offerings": [
            {"name": name, "semantics": semantics} | terms for name, semantics in OFFERINGS.items()
        ],
        "limits": limits | {"connect_timeout": 0.25, "idle_close": 30.0, "may_tell": sidecar_count > 1},
        "rules": rules
        | {"ask_within": ASK_WITHIN_SECONDS, "stop_sending_within": STOP_SENDING_WITHIN_SECONDS},
        "charges": {"cross_zone": 0.0},
        "feedback": {"fields": []},
        "discovery": "ask",
        "self_index": index,
        "zone": 0,
        "group_size": sidecar_count,
        "zones": ["a"],
        "kinds": ["m"],
    }


class SidecarProcess:
    """A sidecar with its configuration, started and stopped as a process any number of times."""

    def __init__(self, folder: Path, index: int, sidecar_count: int, faults: str = "") -> None:
        """`faults` is `SEED:SHARE` of the failing system calls (see `faulty.py`), or empty for none.

        Configuration, log and clock offset are written to `folder`.
        """
        self.name, self.faults = f"n{index}", faults
        self.listen_address, self.peer_address = find_free_address(), find_free_address(socket.SOCK_DGRAM)
        self.config_file, self.wall_clock_file = folder / f"{self.name}.json", folder / f"{self.name}.wall"
        self.log_file = folder / f"{self.name}.log"
        self.configuration: dict[str, Any] = {
            "name": self.name, "listen": format_address(self.listen_address), "seed": f"{index + 1:x}",
            "settings": build_settings(index, sidecar_count), "limits": {"sockets": 512, "memory_mb": 192},
        }  # fmt: skip
        self.set_wall_clock_offset(0)
        self.start_count = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.crash_exit_codes: list[int] = []  # of processes that ended without a signal
        self.ended_by_signal = True  # the process was told to end, or none was started
        self.sigterm_sent_at: float | None = None  # monotonic seconds; None: not since the last start

    def configure(self, **changes: Any) -> None:
        """Replaces keys of the configuration and writes its file."""
        self.configuration |= changes
        self.config_file.write_text(json.dumps(self.configuration))

    def set_wall_clock_offset(self, seconds: float) -> None:
        """Sets the offset of the wall clock that the process reads from now on; it outlives a restart."""
        self.wall_clock_file.write_text(str(seconds))

    def start(self) -> None:
        self.start_count += 1
        self.sigterm_sent_at, self.ended_by_signal = None, False
        environment = os.environ | {
            WALL_CLOCK_VARIABLE: str(self.wall_clock_file),
            "RELAY_CONFIG": str(self.config_file),
        }
        if self.faults:
            # The start count before the seed makes the faults of each start differ.
            environment[FAULTS_VARIABLE] = f"{self.start_count}{self.faults}"
        with self.log_file.open("ab") as log_stream:
            command = [sys.executable, "-m", "maddercart.rig.processes.faulty", *self.command()]
            self.process = subprocess.Popen(command, stderr=log_stream, env=environment)

    def command(self) -> list[str]:
        """The command line of the service, without the program's name."""
        return ["serve"]

    def wait_until_ready(self, timeout_seconds: float = 20.0) -> None:
        """Polls the readiness path; raises `TimeoutError` if the sidecar is not ready in time."""
        until = time.monotonic() + timeout_seconds
        while time.monotonic() < until:
            try:
                with socket.create_connection(self.listen_address, timeout=1) as sock:
                    sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if sock.recv(64).startswith(b"HTTP/1.1 200"):
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise TimeoutError(f"sidecar {self.name} did not become ready in time")

    def note_crash(self) -> None:
        """Records the exit code of a process that has ended by itself, once."""
        code = None if self.process is None or self.ended_by_signal else self.process.poll()
        if code is not None:
            self.crash_exit_codes.append(code)
            self.ended_by_signal = True

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        if self.process is not None and self.is_running():
            self.process.send_signal(signal_number)

    def stop(self, signal_number: signal.Signals, timeout_seconds: float = 5.0) -> int:
        """Ends the process by the signal, or by SIGKILL after the timeout; returns its exit code.

        A process that has ended by itself before counts as crashed.
        """
        assert self.process is not None
        if (code := self.process.poll()) is not None:
            self.note_crash()
            return code
        self.ended_by_signal = True
        if signal_number == signal.SIGTERM:
            self.sigterm_sent_at = time.monotonic()
        self.send_signal(signal_number)
        try:
            return self.process.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

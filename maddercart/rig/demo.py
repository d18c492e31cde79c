"""A demonstration of failover: stand-ins in two zones, a gateway in front of them, and load on it.

One zone falls silent and recovers; the output shows, second by second, what clients saw and how the gateway
reacted.
"""

import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http.client import HTTPConnection
from pathlib import Path
from statistics import quantiles

from maddercart.interface import SECOND
from maddercart.net.loop import Loop
from maddercart.rig.load import LoadGenerator, LoadResult, LoadShape, RequestTemplate
from maddercart.sidecar.clock import MonotonicClock

GATEWAY_TEMPLATE = """
[process]
name = "demo"
seed = 1

[[listeners]]
name = "front"
address = "127.0.0.1:{port}"

[[pools]]
name = "accounts"
zones = ["a", "b"]
zone = "a"
{servers}
[[routes]]
name = "view"
prefix = "/accounts"
effect = "redoable"
agreed = 0.3
stop = 1.0
to = [{{ pool = "accounts" }}]
"""
SERVER_TEMPLATE = """
[[pools.servers]]
name = "{zone}-{n}"
address = "127.0.0.1:{port}"
zone = "{zone}"
"""


def wait_until_ready(port: int, path: str, timeout: float = 10.0) -> None:
    """Waits until a loopback port answers with status 200. `timeout` is in seconds; raises TimeoutError."""
    deadline = time.monotonic() + timeout
    while True:
        try:
            if get_status(port, path) == 200:
                return
        except OSError:
            pass
        if time.monotonic() > deadline:
            raise TimeoutError(f"127.0.0.1:{port}{path} does not answer")
        time.sleep(0.05)


def get_status(port: int, path: str) -> int:
    connection = HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request("GET", path)
        return connection.getresponse().status
    finally:
        connection.close()


@contextmanager
def run_command(
    *arguments: str, on_log_line: Callable[[str], None] | None = None
) -> Iterator[subprocess.Popen[str]]:
    """Runs a maddercart command in a process, which is terminated at the end of the block.

    `on_log_line` is called with each line of its log, in a thread of its own.
    """
    child = subprocess.Popen([sys.executable, "-m", "maddercart", *arguments], stderr=subprocess.PIPE,
                           stdout=subprocess.DEVNULL, text=True)  # fmt: skip

    def read() -> None:
        for line in child.stderr or ():
            if on_log_line is not None:
                on_log_line(line.rstrip())

    reader = threading.Thread(target=read, daemon=True)
    reader.start()
    try:
        yield child
    finally:
        child.terminate()
        try:
            child.wait(timeout=10)
        except subprocess.TimeoutExpired:
            child.kill()
            child.wait()


def free_ports(count: int) -> list[int]:
    """Free loopback ports, each found by opening it."""
    import socket

    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    found = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return found


def run_demo(
    rate: float = 120.0, seconds: float = 40.0, silent_at: float = 10.0, restored_at: float = 25.0,
    servers_per_zone: int = 3, show_line: Callable[[str], None] = print,
) -> tuple[LoadResult, list[tuple[float, str]]]:  # fmt: skip
    """Runs the demonstration; zone a is silent from `silent_at` to `restored_at`, in seconds from the start.

    Returns the load's results and the events, as (seconds from the start, text).
    """
    gateway_port, *server_ports = free_ports(1 + 2 * servers_per_zone)
    zone_a_ports, zone_b_ports = server_ports[:servers_per_zone], server_ports[servers_per_zone:]
    clock = MonotonicClock()
    started_at = [0]
    events: list[tuple[float, str]] = []

    def record_line(line: str) -> None:
        # Keeps the gateway's log lines of state changes, ejections and a stalled event loop.
        message = line.partition(" msg=")[2] or line
        if any(phrase in message for phrase in (" to ", "ejected", "stood still")):
            events.append(((clock() - started_at[0]) / SECOND, message.strip('"')))

    with tempfile.TemporaryDirectory() as directory:
        ports_by_zone = (("a", zone_a_ports), ("b", zone_b_ports))
        servers = [(zone, n, port) for zone, zone_ports in ports_by_zone for n, port in enumerate(zone_ports)]
        server_tables = "".join(
            SERVER_TEMPLATE.format(zone=zone, n=n, port=port) for zone, n, port in servers
        )
        config_file = Path(directory) / "gateway.toml"
        config_file.write_text(GATEWAY_TEMPLATE.format(port=gateway_port, servers=server_tables))
        addresses = [f"127.0.0.1:{port}" for port in server_ports]
        with (
            run_command("standin", *addresses, "--work-ms", "12"),
            run_command("gateway", "serve", str(config_file), on_log_line=record_line),
        ):
            for port in server_ports:
                wait_until_ready(port, "/-/counts")
            wait_until_ready(gateway_port, "/-/ready")
            show_line("second   asked  done  bounced aborted lost   p50 ms  p99 ms   gateway")
            outcome = run_load_with_faults(
                gateway_port, rate, seconds, silent_at, restored_at,
                zone_a_ports, clock, started_at, events, show_line,
            )  # fmt: skip
    return outcome, events


def run_load_with_faults(
    port: int, rate: float, seconds: float, silent_at: float, restored_at: float, zone_a_ports: list[int],
    clock: MonotonicClock, started_at: list[int], events: list[tuple[float, str]],
    show_line: Callable[[str], None],
) -> LoadResult:  # fmt: skip
    """Runs the load and the faults of zone a, and shows a line for each second.

    `started_at` holds one instant, which is set here; `events` are (seconds from the start, text).
    """
    loop = Loop(clock)
    load = LoadGenerator(loop, clock, ("127.0.0.1", port), RequestTemplate(timeout_seconds=2.0))
    load.start(LoadShape(rate=rate, duration_seconds=seconds).due_times())
    started_at[0] = load.started_at

    def fault_callback(kind: str, message: str) -> Callable[[], None]:
        def inject() -> None:
            events.append(((clock() - started_at[0]) / SECOND, message))
            threading.Thread(
                target=lambda: [
                    get_status(server_port, f"/-/fault?kind={kind}") for server_port in zone_a_ports
                ],
                daemon=True,
            ).start()

        return inject

    loop.call_at(
        load.started_at + int(silent_at * SECOND), fault_callback("silent", "-- zone a falls silent --")
    )
    loop.call_at(load.started_at + int(restored_at * SECOND), fault_callback("up", "-- zone a is back --"))
    second, deadline = 0, clock() + int((seconds + 10) * SECOND)
    while not load.finished() and clock() < deadline:
        loop.call_at(clock() + SECOND // 50, lambda: None)
        loop.run_once()
        # Three seconds later every request that was due in this second has ended.
        while clock() - load.started_at > (second + 3) * SECOND and second < seconds:
            show_line(format_line(load.result, second, events))
            second += 1
    while second < seconds:
        show_line(format_line(load.result, second, events))
        second += 1
    load.close()
    loop.epoll.close()
    return load.result


def format_line(outcome: LoadResult, second: int, events: list[tuple[float, str]]) -> str:
    stats = outcome.by_second.get(second)
    remarks = "; ".join(dict.fromkeys(text for time, text in events if int(time) == second))
    if stats is None:
        return f"{second:6}       0" + " " * 48 + remarks
    latencies = sorted(stats.latencies_ms) or [0.0]
    p50 = latencies[len(latencies) // 2]
    p99 = quantiles(latencies, n=100)[98] if len(latencies) > 1 else latencies[0]
    lost = stats.fate_counts["lost"] + stats.fate_counts["late"]
    return (
        f"{second:6} {stats.fate_counts.total():7} {stats.fate_counts['done']:5} "
        f"{stats.fate_counts['bounced']:8} "
        f"{stats.fate_counts['aborted']:7} {lost:4} {p50:8.1f} {p99:7.1f}   {remarks}"
    ).rstrip()

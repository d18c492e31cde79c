"""Reloads a gateway with 1,000 routes and 50 pools ten times under load, with changed routes and pools.

Reports responses that were lost or duplicated, and how long the event loop was blocked at most, by the
slowest response and the gateway's log.

    PYTHONPATH=. .venv/bin/python benchmarks/reload.py
"""

import os
import re
import signal
import tempfile
import threading
import time
from pathlib import Path

from maddercart.rig.demo import free_ports, run_command, wait_until_ready
from maddercart.rig.load import LoadShape, RequestTemplate, run_load
from maddercart.rig.load_results import repeated_effects

ROUTES, POOLS, RELOADS = 1000, 50, 10


def gateway_config(port: int, upstream_ports: list[int], version: int) -> str:
    servers = "".join(
        f'[[pools.servers]]\naddress = "127.0.0.1:{upstream_port}"\n' for upstream_port in upstream_ports
    )
    parts = [f'[[listeners]]\nname = "l"\naddress = "127.0.0.1:{port}"\n']
    parts += [f'[[pools]]\nname = "p{n + version % 2}"\n{servers}' for n in range(POOLS)]
    parts.append('[[routes]]\nname = "rest"\nprefix = "/accounts"\neffect = "redoable"\n')
    parts.append('to = [{ pool = "p1" }]\n')
    for n in range(ROUTES - 1):
        target = (n * 7 + version) % (POOLS - 1) + 1
        parts.append(f'[[routes]]\nname = "r{n}"\nprefix = "/accounts/{n}"\neffect = "redoable"\n'
                    f'to = [{{ pool = "p{target}" }}]\n')  # fmt: skip
    return "".join(parts)


def main() -> None:
    port, *upstream_ports = free_ports(5)
    log_lines: list[str] = []
    addresses = [f"127.0.0.1:{upstream_port}" for upstream_port in upstream_ports]
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "gateway.toml"
        file.write_text(gateway_config(port, upstream_ports, 0))
        upstreams = run_command("standin", *addresses, "--work-ms", "4", "--cores", "8")
        with upstreams, run_command("gateway", "serve", str(file), on_log_line=log_lines.append) as gateway:
            for upstream_port in upstream_ports:
                wait_until_ready(upstream_port, "/-/counts")
            wait_until_ready(port, "/-/ready")

            def reload() -> None:
                for version in range(1, RELOADS + 1):
                    time.sleep(1.0)
                    file.write_text(gateway_config(port, upstream_ports, version))
                    os.kill(gateway.pid, signal.SIGHUP)

            threading.Thread(target=reload, daemon=True).start()
            outcome = run_load(
                ("127.0.0.1", port),
                LoadShape(rate=200.0, duration_seconds=12.0),
                RequestTemplate(path="/accounts/{n}"),
            )
            duplicated = repeated_effects(
                outcome, [("127.0.0.1", upstream_port) for upstream_port in upstream_ports]
            )
    late_ms = [int(found[1]) for line in log_lines if (found := re.search(r"stood still.* ms=(\d+)", line))]
    slowest_ms = outcome.histogram.get_max_value() / 1e3
    print(
        f"{outcome.fate_counts.total()} queries: {dict(outcome.fate_counts)}, "
        f"statuses {dict(outcome.status_counts)}"
    )
    print(
        f"executed twice: {len(duplicated)}; reloads: {sum('file read again' in line for line in log_lines)}"
    )
    print(f"event loop timers late by (ms): {late_ms}; slowest response {slowest_ms:.0f} ms")


if __name__ == "__main__":
    main()

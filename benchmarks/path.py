"""Measures the CPU time per query of a sidecar, and of a gateway with few and many routes and pools.

    PYTHONPATH=. .venv/bin/python benchmarks/path.py [seconds]

Everything runs on loopback. Only the CPU time of the measured process counts, as the kernel reports it: load
generator and simulated upstreams are not included.
"""

import json
import os
import socket
import sys
import tempfile
import time
from pathlib import Path

from maddercart.rig.demo import free_ports, run_command, wait_until_ready
from maddercart.rig.load import LoadShape, RequestTemplate, run_load

RATE, SECONDS = 400.0, float(sys.argv[1]) if len(sys.argv) > 1 else 6.0
OPEN_SOCKETS: list[socket.socket] = []  # kept open until the process exits
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def sidecar_config(port: int, upstream_ports: list[int]) -> str:
    hosts = [
        {
            "host": f"s-{n}",
            "dial": f"127.0.0.1:{upstream_port}",
            "site": "ab"[n % 2],
            "class": "m",
            "health": "SERVING",
        }
        for n, upstream_port in enumerate(upstream_ports)
    ]
    # A discovery service that never responds, so that the known list stays in use.
    silent = socket.create_server(("127.0.0.1", 0))
    OPEN_SOCKETS.append(silent)
    offering = {"name": "look", "semantics": "free", "agreed_time": 0.5, "hard_stop": 1.0}
    offering |= {"earnings": 1.0, "tardy_earnings": 0.0}
    limits = {
        "most_dispatches": 3, "cancel": True, "probing": False, "retry_after": False, "max_retry_after": 0.0,
        "connect_timeout": 0.25, "idle_close": 30.0, "may_tell": False,
    }  # fmt: skip
    rules = {
        "cold_from": 0.2, "ramp_time": 10.0, "fall_multiple": 3.0, "overload_for": 1.0,
        "ask_within": 10.0, "stop_sending_within": 1.0,
    }  # fmt: skip
    return json.dumps({
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{silent.getsockname()[1]}",
        "seed": "8c1f", "known": {"seq": 1, "whole": True, "hosts": hosts},
        "settings": {
            "offerings": [offering], "limits": limits, "rules": rules,
            "charges": {"cross_zone": 0.0}, "feedback": {"fields": []}, "self_index": 0, "group_size": 1,
            "discovery": "ask", "zone": 0, "zones": ["a", "b"], "kinds": ["m"],
        },
        "limits": {"sockets": 1024, "memory_mb": 192},
    })  # fmt: skip


def gateway_config(port: int, upstream_ports: list[int], routes: int, pools: int) -> str:
    servers = "".join(
        f'[[pools.servers]]\naddress = "127.0.0.1:{upstream_port}"\nzone = "{"ab"[n % 2]}"\n'
        for n, upstream_port in enumerate(upstream_ports)
    )
    text = f'[[listeners]]\nname = "l"\naddress = "127.0.0.1:{port}"\n'
    for n in range(pools):
        text += f'[[pools]]\nname = "p{n}"\nzones = ["a", "b"]\n{servers}'
    for n in range(routes):
        matcher = 'prefix = "/look"' if not n else f'path = "/r{n}/{{id}}/x"'
        text += (
            f'[[routes]]\nname = "r{n}"\n{matcher}\neffect = "redoable"\nto = [{{ pool = "p{n % pools}" }}]\n'
        )
    return text


def measure(name: str, arguments: list[str], port: int, asked: RequestTemplate) -> None:
    with run_command(*arguments) as run:
        wait_until_ready(port, "/-/ready")
        run_load(("127.0.0.1", port), LoadShape(rate=RATE, duration_seconds=1.0), asked)  # warm-up
        before = cpu_seconds(run.pid)
        outcome = run_load(
            ("127.0.0.1", port), LoadShape(rate=RATE, duration_seconds=SECONDS, seed=2), asked, "m"
        )
        per_query_ms = (cpu_seconds(run.pid) - before) / outcome.fate_counts.total() * 1e3
        table = outcome.figures()
        fates, median_ms = outcome.fate_counts, table["p50_ms"]
        summary = f"done {fates['done']} of {fates.total()}  p50 {median_ms:.1f} ms"
        print(f"{name:34} {per_query_ms:7.3f} ms of CPU per query  {resident_mb(run.pid):6.1f} MB  {summary}")


def main() -> None:
    port, *upstream_ports = free_ports(9)
    with run_command(
        "standin",
        *[f"127.0.0.1:{upstream_port}" for upstream_port in upstream_ports],
        "--work-ms",
        "4",
        "--cores",
        "4",
    ):
        for upstream_port in upstream_ports:
            wait_until_ready(upstream_port, "/-/counts")
        with tempfile.TemporaryDirectory() as folder:
            config = Path(folder) / "config.json"
            config.write_text(sidecar_config(port, upstream_ports))
            headers = (("X-Qos", "look"), ("X-Expires-In", "900m"), ("X-Trace-Id", "{n}"))
            asked = RequestTemplate(path="/look?sid={n}", headers=headers)
            measure("sidecar", ["serve", "--config", str(config)], port, asked)
            for routes, pools in ((1, 1), (10, 1), (1000, 1), (1000, 50)):
                file = Path(folder) / f"{routes}-{pools}.toml"
                file.write_text(gateway_config(port, upstream_ports, routes, pools))
                arguments = ["gateway", "serve", str(file)]
                measure(
                    f"gateway, {routes} routes, {pools} pools",
                    arguments,
                    port,
                    RequestTemplate(path="/look?sid={n}"),
                )
                time.sleep(0.2)


if __name__ == "__main__":
    main()

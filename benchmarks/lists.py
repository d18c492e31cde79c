"""Measures CPU time and memory for processing upstream lists of 10, 200 and 1,200 entries.

A full list and a single change are split, decoded, learnt and settled. CPU time is that of this process, the
median of several runs; memory is what tracemalloc counts.

    PYTHONPATH=. .venv/bin/python benchmarks/lists.py
"""

import json
import time
import tracemalloc
from statistics import median
from typing import Any

from maddercart.http.json_splitter import JsonSplitter
from maddercart.interface import SECOND, BalancerOptions, Offering, SidecarPosition, SlowStartRule
from maddercart.messages.upstreams import decode_listing
from maddercart.net.loop import Loop
from maddercart.sidecar.backing import UpstreamPool
from maddercart.sidecar.clock import MonotonicClock
from maddercart.sidecar.memory import MemoryLedger

RUNS = 15


def list_entries(count: int, health: str = "SERVING", born_ms: int = 0) -> list[dict[str, Any]]:
    return [
        {
            "host": f"s-{n:08x}", "dial": f"10.1.{n // 200}.{n % 200 + 1}:5000", "site": "ab"[n % 2],
            "class": "m", "block": n // 8, "health": health, "share": 1.0, "born_ms": born_ms,
        }
        for n in range(count)
    ]  # fmt: skip


def make_backing() -> UpstreamPool:
    arguments = {
        "place": SidecarPosition(3, 200, 0, 2), "offerings": [Offering(0, 0, 0, SECOND // 2, 1.0, 0.0)],
        "cold": SlowStartRule(0.2, 10 * SECOND, 3.0, SECOND),
        "permits": BalancerOptions(3, True, False, SECOND, False),
    }  # fmt: skip
    clock = MonotonicClock()
    return UpstreamPool(
        Loop(clock), clock, 1, ["a", "b"], ["m"], arguments, lambda: None, MemoryLedger(1 << 30)
    )


def learn(backing: UpstreamPool, data: bytes) -> float:
    """Returns the CPU time in milliseconds."""
    started_at = time.process_time_ns()
    backing.apply_listings([decode_listing(value) for value in JsonSplitter(1 << 22).feed(data)])
    return (time.process_time_ns() - started_at) / 1e6


def main() -> None:
    print("upstreams   full list: bytes, ms, indented ms   one change: ms   memory MB")
    for count in (10, 200, 1200):
        full_list = {"seq": 1, "whole": True, "hosts": list_entries(count)}
        data, indented_data = json.dumps(full_list).encode(), json.dumps(full_list, indent=2).encode()
        change = json.dumps({"seq": 2, "whole": False, "hosts": list_entries(1, "DRAINING")}).encode()
        backing = make_backing()
        full_ms = median(learn(backing, data) for _ in range(RUNS))
        indented_ms = median(learn(backing, indented_data) for _ in range(RUNS))
        change_ms = median(learn(backing, change) for _ in range(RUNS))
        tracemalloc.start()
        measured = make_backing()
        learn(measured, data)
        memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        print(
            f"{count:9}  {len(data):9} {full_ms:8.2f} {indented_ms:8.2f} {change_ms:21.2f} {memory_mb:11.2f}"
        )


main()

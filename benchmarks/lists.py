"""Time and memory of the list's path: a whole list and a change, cut, read, learnt and settled, at 10, 200
and 1,200 upstreams. CPU of this process, the middle one of several; memory as tracemalloc counts it.

    PYTHONPATH=. .venv/bin/python benchmarks/lists.py
"""

import json
import time
import tracemalloc
from statistics import median
from typing import Any

from maddercart.http.values import Values
from maddercart.interface import SECOND, ColdRule, Offering, Permits, Place
from maddercart.messages.upstreams import read_listing
from maddercart.net.loop import Loop
from maddercart.sidecar.backing import Backing
from maddercart.sidecar.clock import Clock

TIMES = 15


def lines(count: int, health: str = "SERVING", launched: int = 0) -> list[dict[str, Any]]:
    return [
        {
            "host": f"s-{n:08x}", "dial": f"10.1.{n // 200}.{n % 200 + 1}:5000", "site": "ab"[n % 2],
            "class": "m", "block": n // 8, "health": health, "share": 1.0, "born_ms": launched,
        }
        for n in range(count)
    ]  # fmt: skip


def backing() -> Backing:
    arguments = {
        "place": Place(3, 200, 0, 2), "offerings": [Offering(0, 0, 0, SECOND // 2, 1.0, 0.0)],
        "cold": ColdRule(0.2, 10 * SECOND, 3.0, SECOND), "permits": Permits(3, True, False, SECOND, False),
    }  # fmt: skip
    clock = Clock()
    return Backing(Loop(clock), clock, 1, ["a", "b"], ["m"], arguments, lambda: None)


def turn(made: Backing, data: bytes) -> float:
    began = time.process_time_ns()
    made.learn([read_listing(value) for value in Values(1 << 22).feed(data)])
    return (time.process_time_ns() - began) / 1e6


def main() -> None:
    print("upstreams  whole list: bytes, ms, indented ms   one change: ms   memory MB")
    for count in (10, 200, 1200):
        whole = {"seq": 1, "whole": True, "hosts": lines(count)}
        data, wide = json.dumps(whole).encode(), json.dumps(whole, indent=2).encode()
        change = json.dumps({"seq": 2, "whole": False, "hosts": lines(1, "DRAINING")}).encode()
        made = backing()
        first = median(turn(made, data) for _ in range(TIMES))
        indented = median(turn(made, wide) for _ in range(TIMES))
        one = median(turn(made, change) for _ in range(TIMES))
        tracemalloc.start()
        kept = backing()
        turn(kept, data)
        memory = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        print(f"{count:9}  {len(data):9} {first:8.2f} {indented:8.2f} {one:21.2f} {memory:11.2f}")


main()

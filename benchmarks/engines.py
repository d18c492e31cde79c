"""Compares the event rate of the lab's engine with that of simpy.

Both run an M/M/1 queue at a load of 0.8 with the same samples.

.venv/bin/pip install simpy && .venv/bin/python benchmarks/engines.py
"""

import time
from collections import deque

import numpy as np
import simpy

from maddercart.lab.engine import Engine

QUERIES = 200_000


def sample() -> tuple[list[int], list[int]]:
    generator = np.random.default_rng(1)
    interarrival_ns, service_ns = (
        generator.exponential(1.25e6, QUERIES),
        generator.exponential(1e6, QUERIES),
    )
    return interarrival_ns.astype(int).tolist(), service_ns.astype(int).tolist()


def run_lab(interarrival_ns: list[int], service_ns: list[int]) -> int:
    """Returns the total queueing time in nanoseconds."""
    engine, queue, wait_ns = Engine(), deque[int](), 0
    busy = False

    def arrive(n: int) -> None:
        nonlocal busy
        if n + 1 < QUERIES:
            engine.schedule(engine.now + interarrival_ns[n + 1], arrive, n + 1)
        queue.append(engine.now)
        if not busy:
            busy = True
            start_service(n)

    served = 0

    def start_service(_: int) -> None:
        nonlocal wait_ns, served
        wait_ns += engine.now - queue.popleft()
        served += 1
        engine.schedule(engine.now + service_ns[served - 1], finish, None)

    def finish(_: None) -> None:
        nonlocal busy
        if queue:
            start_service(0)
        else:
            busy = False

    engine.schedule(interarrival_ns[0], arrive, 0)
    engine.run(1 << 62)
    return wait_ns


def run_simpy(interarrival_ns: list[int], service_ns: list[int]) -> int:
    """Returns the total queueing time in nanoseconds."""
    environment, wait_ns = simpy.Environment(), 0
    server = simpy.Resource(environment)

    def query(n: int):  # type: ignore[no-untyped-def]
        nonlocal wait_ns
        arrived_at = environment.now
        with server.request() as grant:
            yield grant
            wait_ns += int(environment.now - arrived_at)
            yield environment.timeout(service_ns[n])

    def clients():  # type: ignore[no-untyped-def]
        for n in range(QUERIES):
            yield environment.timeout(interarrival_ns[n])
            environment.process(query(n))

    environment.process(clients())
    environment.run()
    return wait_ns


def main() -> None:
    interarrival_ns, service_ns = sample()
    for name, run in (("lab", run_lab), ("simpy", run_simpy)):
        started_at = time.perf_counter()
        wait_ns = run(interarrival_ns, service_ns)
        elapsed = time.perf_counter() - started_at
        print(f"{name:6} {2 * QUERIES / elapsed:12,.0f} events/s  mean wait {wait_ns / QUERIES / 1e6:.3f} ms")


if __name__ == "__main__":
    main()

"""Runs simulations in parallel, each in its own process, and stores each result once it is available."""

import os
import signal
import traceback
from collections.abc import Callable, Iterator, Sequence
from functools import partial
from multiprocessing import get_context
from pathlib import Path

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram
from msgspec import Struct

from maddercart.interface import SECOND
from maddercart.lab.experiment import Run, Value, code_digest
from maddercart.lab.meter import Result
from maddercart.lab.workers import Workers
from maddercart.lab.world import World

MAX_LATENCY_US, SIGNIFICANT_DIGITS = 3600 * 10**6, 3  # of the histograms; the maximum is an hour


class StoredRun(Struct, frozen=True):
    """The stored result of one run; each has a file of its own."""

    id: str
    scenario: str
    point: dict[str, Value]
    figures: dict[str, float | int | str]
    histogram: str  # of latencies in microseconds, in HDR's compressed encoding
    lines: list[list[list[int]]]  # by zone, by column, by step
    notes: list[tuple[float, int, str]]  # seconds, sidecar, text
    cold: dict[int, list[tuple[float, float]]]  # by cold server: seconds, part of its limit
    breaches: list[str]
    failed: str = ""  # the traceback; empty if the run finished


def latency_histogram(durations_ns: np.ndarray) -> HdrHistogram:
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    values, counts = np.unique(np.maximum(1, durations_ns // 1000), return_counts=True)
    for value, count in zip(values.tolist(), counts.tolist(), strict=True):
        histogram.record_value(min(value, MAX_LATENCY_US), count)
    return histogram


def make_stored_run(run: Run, run_id: str, result: Result) -> StoredRun:
    return StoredRun(
        run_id, run.name, run.point, result.figures, latency_histogram(result.latencies_ns).encode().decode(),
        result.timelines, result.notes[:2000], result.cold_loads, result.breaches,
    )  # fmt: skip


def simulate(run: Run, run_id: str) -> StoredRun:
    """Simulates one run. Each run needs a new process, since its memory figure is that of the process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent process handles it
    try:
        return make_stored_run(run, run_id, World(run.scenario, run.seed, run.policy).run())
    except Exception:
        return StoredRun(run_id, run.name, run.point, {"policy": run.policy, "seed": run.seed},
                         "", [], [], {}, [], failed=traceback.format_exc())  # fmt: skip


def write_atomically(path: Path, content: bytes) -> None:
    """Replaces a file atomically, so that a reader never sees a part of it."""
    temporary = path.with_suffix(f".{os.getpid()}.part")
    temporary.write_bytes(content)
    temporary.replace(path)


def read_stored_run(path: Path) -> StoredRun | None:
    try:
        return msgspec.msgpack.decode(path.read_bytes(), type=StoredRun)
    except (OSError, msgspec.DecodeError):
        return None


def load_finished(folder: Path, run: Run) -> StoredRun | None:
    """The stored result of a run, or None if there is none, it is unreadable or the run failed."""
    stored = read_stored_run(folder / "runs" / f"{run.id()}.msgpack")
    return stored if stored is not None and not stored.failed else None


def run_all(
    runs: Sequence[Run],
    folder: Path,
    jobs: int,
    on_result: Callable[[StoredRun, bool], None] = lambda *_: None,
) -> Iterator[StoredRun]:
    """Yields the result of each run; missing ones are simulated by `jobs` processes.

    Expensive runs start first, so that no core idles until the last one ends. `on_result` is called with each
    result and whether it was simulated now.
    """
    (folder / "runs").mkdir(parents=True, exist_ok=True)
    pending: list[Run] = []
    for run in runs:
        if (stored := load_finished(folder, run)) is not None:
            on_result(stored, False)
            yield stored
        else:
            pending.append(run)
    pending.sort(key=lambda run: -estimated_cost(run))
    context = get_context("forkserver")
    context.set_forkserver_preload(["maddercart.lab.runs"])
    workers: Workers[StoredRun] = Workers(context)
    remaining = iter(pending)
    try:
        while True:
            for run in take(remaining, jobs - len(workers.running)):
                workers.start(partial(simulate, run, run.id()))
            if not workers.running:
                return
            for stored in workers.next_results():
                write_atomically(folder / "runs" / f"{stored.id}.msgpack", msgspec.msgpack.encode(stored))
                on_result(stored, True)
                yield stored
    finally:  # interrupted: running simulations are lost, stored results stay
        workers.stop()


def take(remaining: Iterator[Run], count: int) -> Iterator[Run]:
    for _ in range(max(0, count)):
        if (run := next(remaining, None)) is None:
            return
        yield run


def estimated_cost(run: Run) -> float:
    """Rough cost relative to other runs; only used to order them."""
    rate = sum(max(flow.rate, flow.to) for flow in run.scenario.flows)
    servers = sum(zone.servers for zone in run.scenario.zones)
    return (
        rate
        * run.scenario.seconds
        * (1 + servers / 20 * (run.policy == "bound") + 2 * (run.policy == "module"))
    )


__all__ = [
    "SECOND",
    "StoredRun",
    "code_digest",
    "latency_histogram",
    "load_finished",
    "make_stored_run",
    "read_stored_run",
    "run_all",
    "simulate",
]

"""Runs a load in one or several processes, merges the results and prints or plots them."""

from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from http.client import HTTPConnection
from multiprocessing import get_context
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from maddercart.rig.load import FATES, LoadResult, LoadShape, RequestTemplate, run_load

# (fates, statuses, (fates, latencies in ms) by second, encoded histogram, behind_ms, fates by request id)
ProcessResult = tuple[
    Counter[str], Counter[int], dict[int, tuple[Counter[str], list[float]]], str, float, dict[str, str]
]


def run_one(
    address: tuple[str, int], shape: LoadShape, template: RequestTemplate, id_prefix: str
) -> ProcessResult:
    """Runs a load in a worker process and returns its results in a form that can be pickled."""
    result = run_load(address, shape, template, id_prefix)
    seconds = {second: (stats.fate_counts, stats.latencies_ms) for second, stats in result.by_second.items()}
    return (
        result.fate_counts,
        result.status_counts,
        seconds,
        result.histogram.encode().decode(),
        result.behind_ms,
        result.fate_by_request,
    )


def run_processes(
    address: tuple[str, int], shapes: Sequence[LoadShape], template: RequestTemplate
) -> LoadResult:
    if len(shapes) == 1:
        return run_load(address, shapes[0], template, "p0")
    total = LoadResult()
    with ProcessPoolExecutor(len(shapes), mp_context=get_context("spawn")) as pool:
        futures = [pool.submit(run_one, address, shape, template, f"p{n}") for n, shape in enumerate(shapes)]
        for future in futures:
            fates, statuses, seconds, histogram, behind_ms, answers = future.result()
            total.fate_counts += fates
            total.status_counts += statuses
            total.histogram.add(HdrHistogram.decode(histogram))
            total.behind_ms = max(total.behind_ms, behind_ms)
            total.fate_by_request |= answers
            for second, (second_fates, times) in seconds.items():
                from maddercart.rig.load import SecondStats

                stats = total.by_second.setdefault(second, SecondStats())
                stats.fate_counts += second_fates
                stats.latencies_ms += times
    return total


def repeated_effects(outcome: LoadResult, servers: Sequence[tuple[str, int]]) -> list[str]:
    """Request ids of this load that took effect more than once, summed over the given stand-ins."""
    runs: Counter[str] = Counter()
    for host, port in servers:
        connection = HTTPConnection(host, port, timeout=10)
        connection.request("GET", "/-/runs")
        runs += Counter(msgspec.json.decode(connection.getresponse().read(), type=dict[str, int]))
        connection.close()
    return sorted(
        request_id
        for request_id, count in runs.items()
        if count > 1 and request_id in outcome.fate_by_request
    )


def print_outcome(outcome: LoadResult, doubled: Sequence[str], json: bool, plot: Path | None) -> None:
    table = outcome.figures()
    statuses = {str(status): count for status, count in sorted(outcome.status_counts.items())}
    if json:
        seconds = {
            second: {**stats.fate_counts, "p50_ms": median(stats.latencies_ms)}
            for second, stats in sorted(outcome.by_second.items())
        }
        report = {**table, "statuses": statuses, "doubled": doubled, "seconds": seconds}
        print(msgspec.json.encode(report).decode())
    else:
        from rich.console import Console
        from rich.table import Table

        rich_table = Table("what", "figure")
        for name, value in {**table, **{f"status {k}": v for k, v in statuses.items()}}.items():
            rich_table.add_row(name, f"{value:,.1f}" if isinstance(value, float) else f"{value:,}")
        rich_table.add_row("took effect twice", f"{len(doubled)}")
        Console().print(rich_table)
    if plot is not None:
        draw_plot(outcome, plot)


def median(times: Sequence[float]) -> float:
    return sorted(times)[len(times) // 2] if times else 0.0


def draw_plot(outcome: LoadResult, path: Path) -> None:
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    figure, (upper, lower) = plt.subplots(2, 1, figsize=(8, 4), sharex=True)
    seconds = sorted(outcome.by_second)
    rows = [[outcome.by_second[second].fate_counts[name] for second in seconds] for name in FATES]
    upper.stackplot(seconds, *rows, labels=FATES, step="post")
    upper.legend(fontsize=7, ncols=6, frameon=False)
    upper.set_ylabel("requests a second")
    lower.plot(seconds, [median(outcome.by_second[second].latencies_ms) for second in seconds])
    lower.set_ylabel("p50 ms")
    lower.set_xlabel("seconds")
    figure.savefig(path, bbox_inches="tight")

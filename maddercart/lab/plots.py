"""The report's plots, as SVG and PNG files. All figures are simulated."""

from pathlib import Path
from typing import Any

import matplotlib as mpl
import numpy as np
import polars as pl
from hdrh.histogram import HdrHistogram
from matplotlib import pyplot as plt
from matplotlib.figure import Figure

from maddercart.lab.meter import COLUMNS, STEP_SECONDS
from maddercart.lab.results import Interval, point_label
from maddercart.lab.runs import StoredRun
from maddercart.lab.scenario import Scenario

mpl.use("Agg")
mpl.rcParams.update(
    {"font.size": 9, "svg.hashsalt": "lab", "axes.spines.top": False, "axes.spines.right": False}
)
POLICY_COLOURS = {"module": "#1b6ca8", "bound": "#444444", "random": "#c44e52", "round_robin": "#dd8452",
           "least_outstanding": "#8172b3", "two_choices": "#55a868", "ring_hash": "#937860"}  # fmt: skip
OUTCOME_COLOURS = {
    "done": "#55a868",
    "late": "#ccb974",
    "bounce": "#8172b3",
    "abort": "#c44e52",
    "gone": "#999999",
}


def save_figure(figure: Figure, folder: Path, name: str) -> str:
    folder.mkdir(parents=True, exist_ok=True)
    figure.savefig(folder / f"{name}.svg", bbox_inches="tight", metadata={"Date": None})
    figure.savefig(folder / f"{name}.png", bbox_inches="tight", dpi=110)
    plt.close(figure)
    return name


def plot_shares(intervals: dict[tuple[str, str], dict[str, Interval]], folder: Path) -> str:
    """The share of earnings by scenario and policy, with intervals."""
    groups = list(intervals)
    policies = list(dict.fromkeys(policy for by_policy in intervals.values() for policy in by_policy))
    figure, axes = plt.subplots(figsize=(9, 0.32 * len(groups) * (0.35 * len(policies) + 1) + 1))
    bar_height = 0.8 / max(1, len(policies))
    for n, policy in enumerate(policies):
        bar_positions = [
            position + (n - (len(policies) - 1) / 2) * bar_height
            for position, key in enumerate(groups)
            if policy in intervals[key]
        ]
        group_intervals = [intervals[key][policy] for key in groups if policy in intervals[key]]
        errors = [
            interval.plus_minus if np.isfinite(interval.plus_minus) else 0.0 for interval in group_intervals
        ]
        axes.barh(bar_positions, [interval.mean for interval in group_intervals], bar_height, xerr=errors,
                  color=POLICY_COLOURS.get(policy), label=policy, error_kw={"lw": 0.8})  # fmt: skip
    axes.set_yticks(range(len(groups)), [f"{scenario} {point}".strip() for scenario, point in groups])
    axes.invert_yaxis()
    axes.set_xlabel("share of the earnings asked for (simulated), 95% interval over paired seeds")
    axes.legend(loc="upper center", bbox_to_anchor=(0.5, -0.04 - 0.6 / len(groups)), ncols=4, frameon=False)
    return save_figure(figure, folder, "shares")


def plot_latencies(stored_runs: list[StoredRun], folder: Path, name: str) -> str:
    """Percentiles of the latency by policy, over all seeds; the x axis is logarithmic towards 100%."""
    figure, axes = plt.subplots(figsize=(7, 3))
    percentiles = [0, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99]
    positions = [-np.log10(1 - percent / 100) if percent else 0 for percent in percentiles]
    for policy in dict.fromkeys(str(run.figures["policy"]) for run in stored_runs):
        combined = HdrHistogram(1, 3600 * 10**6, 3)
        for run in stored_runs:
            if run.figures["policy"] == policy:
                combined.add(HdrHistogram.decode(run.histogram))
        axes.plot(positions, [combined.get_value_at_percentile(percent) / 1e3 for percent in percentiles],
                  label=policy, color=POLICY_COLOURS.get(policy), marker=".", lw=1.2)  # fmt: skip
    axes.set_yscale("log")
    axes.set_xticks(positions, [f"{percent:g}%" for percent in percentiles])
    axes.set_ylabel("ms from a client's first try")
    axes.legend(frameon=False, ncols=2)
    return save_figure(figure, folder, f"times-{name}")


def plot_time_line(stored_run: StoredRun, scenario: Scenario, folder: Path, name: str) -> str:
    """Query outcomes over time by zone, with troubles shaded; below, the load of the cold servers."""
    zones = len(stored_run.lines)
    figure, panels = plt.subplots(zones + 1, 1, figsize=(9, 1.7 * zones + 2.0), sharex=True, squeeze=False)
    for zone, columns in enumerate(stored_run.lines):
        # The last step also holds all that came after the day's end.
        columns = [column[:-1] for column in columns]
        axes, rates = panels[zone][0], np.array(columns, dtype=float) / STEP_SECONDS
        seconds = np.arange(rates.shape[1]) * STEP_SECONDS
        rates_by_outcome = [rates[COLUMNS.index(outcome)] for outcome in OUTCOME_COLOURS]
        axes.stackplot(
            seconds,
            *rates_by_outcome,
            colors=OUTCOME_COLOURS.values(),
            labels=list(OUTCOME_COLOURS),
            step="post",
        )
        axes.step(seconds, rates[0], color="black", lw=0.8, where="post", label="asked, with retries")
        axes.step(
            seconds,
            rates[COLUMNS.index("sent")],
            color="#1b6ca8",
            lw=0.8,
            ls=":",
            where="post",
            label="dispatches",
        )
        if any(away := columns[COLUMNS.index("away")]):
            away_axes = axes.twinx()
            away_axes.step(
                seconds, np.array(away) / scenario.zones[zone].sidecars, color="#8172b3", lw=0.9, where="post"
            )
            away_axes.set_ylim(0, 1.05)
            away_axes.set_ylabel("sidecars away", fontsize=7, color="#8172b3")
        axes.set_ylabel(f"zone {scenario.zones[zone].name}\na second")
        shade_troubles(axes, scenario, scenario.zones[zone].name)
    panels[0][0].legend(frameon=False, ncols=7, fontsize=7, loc="lower left", bbox_to_anchor=(0, 1.12))
    axes = panels[zones][0]
    for points in stored_run.cold.values():
        axes.plot(
            [second for second, _ in points], [limit_part for _, limit_part in points], lw=0.7, alpha=0.7
        )
    axes.axhline(1, color="#c44e52", lw=0.8)
    axes.set_ylabel("cold servers,\nof their limit")
    axes.set_xlabel(f"seconds (simulated, {stored_run.figures['policy']}, seed {stored_run.figures['seed']})")
    axes.set_ylim(0, 1.1 if float(stored_run.figures["cold_most"]) <= 1 else None)
    return save_figure(figure, folder, f"line-{name}")


def shade_troubles(axes: Any, scenario: Scenario, zone: str) -> None:
    zone_troubles = [trouble for trouble in scenario.troubles if trouble.zone in ("", zone)]
    for n, trouble in enumerate(zone_troubles):
        axes.axvspan(trouble.start, scenario.end_seconds(trouble), color="#c44e52", alpha=0.08, lw=0)
        transform, text = axes.get_xaxis_transform(), f" {trouble.kind}"
        axes.text(trouble.start, 1 - 0.12 * n, text, transform=transform, fontsize=7, va="top")


def plot_costs(table: pl.DataFrame, column: str, folder: Path) -> str:
    """CPU time per query and memory against a swept column."""
    figure, (left, right) = plt.subplots(1, 2, figsize=(9, 2.8))
    for (policy,), rows in table.group_by(["policy"], maintain_order=True):
        means = rows.group_by(column).agg(
            cost=(pl.col("cpu") / pl.col("queries")).mean() * 1e6, memory=pl.col("memory_mb").mean()
        ).sort(column)  # fmt: skip
        left.plot(
            means[column], means["cost"], marker=".", color=POLICY_COLOURS.get(str(policy)), label=str(policy)
        )
        right.plot(
            means[column],
            means["memory"],
            marker=".",
            color=POLICY_COLOURS.get(str(policy)),
            label=str(policy),
        )
    for axes, axis_label in ((left, "µs of CPU a query, model and all"), (right, "MB resident")):
        axes.set_xlabel(column.removeprefix("at_"))
        axes.set_ylabel(axis_label)
        axes.set_ylim(0)
        if (values := table[column].to_list()) and min(values) > 0 and max(values) >= 20 * min(values):
            axes.set_xscale("log")
    left.legend(frameon=False)
    return save_figure(figure, folder, f"costs-{column.removeprefix('at_').replace(' ', '-')}")


def plot_swept(table: pl.DataFrame, scenario: str, column: str, figure_name: str, folder: Path) -> str:
    """A figure against a swept column, by policy, with the range over seeds."""
    figure, axes = plt.subplots(figsize=(6, 2.8))
    for (policy,), rows in table.filter(pl.col("scenario") == scenario).group_by(
        ["policy"], maintain_order=True
    ):
        means = rows.group_by(column).agg(mean=pl.col(figure_name).mean(), low=pl.col(figure_name).min(),
                                      high=pl.col(figure_name).max()).sort(column)  # fmt: skip
        axes.plot(
            means[column], means["mean"], marker=".", color=POLICY_COLOURS.get(str(policy)), label=str(policy)
        )
        axes.fill_between(
            means[column],
            means["low"],
            means["high"],
            color=POLICY_COLOURS.get(str(policy)),
            alpha=0.15,
            lw=0,
        )
    axes.set_xlabel(column.removeprefix("at_"))
    axes.set_ylabel(figure_name)
    axes.legend(frameon=False, fontsize=7)
    return save_figure(figure, folder, f"swept-{scenario}-{column.removeprefix('at_').replace(' ', '-')}")


def time_line_name(stored_run: StoredRun) -> str:
    point = point_label(stored_run.point).replace(" ", "-").replace(",", "")
    return "-".join(filter(None, [stored_run.scenario, point, str(stored_run.figures["policy"])]))

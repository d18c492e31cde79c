"""Result tables (one row per run, time lines, histograms) and confidence intervals over paired seeds."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np
import polars as pl
from scipy import stats

from maddercart.lab.experiment import Experiment, Run, Value
from maddercart.lab.meter import COLUMNS, STEP_SECONDS
from maddercart.lab.runs import StoredRun, read_stored_run, write_atomically
from maddercart.lab.scenario import ScenarioError

CONFIDENCE = 0.95  # level of the intervals


@dataclass(frozen=True)
class Interval:
    """A mean and the half-width of its confidence interval, which is infinite for fewer than two values."""

    mean: float
    plus_minus: float
    count: int

    def __str__(self) -> str:
        return f"{self.mean:.3f} ± {self.plus_minus:.3f}" if self.count > 1 else f"{self.mean:.3f}"


def confidence_interval(values: Iterable[float]) -> Interval:
    """Student's t interval of the mean; the values must be independent. The mean of no values is NaN."""
    samples = np.asarray(list(values), dtype=np.float64)
    if len(samples) < 2:
        return Interval(float(samples.mean()) if len(samples) else float("nan"), float("inf"), len(samples))
    error = float(samples.std(ddof=1) / np.sqrt(len(samples)))
    return Interval(
        float(samples.mean()),
        float(stats.t.ppf((1 + CONFIDENCE) / 2, len(samples) - 1)) * error,
        len(samples),
    )


def point_label(point: dict[str, Value]) -> str:
    return ", ".join(f"{name} {value}" for name, value in point.items())


def results_table(stored_runs: Sequence[StoredRun]) -> pl.DataFrame:
    """One row per run that did not fail, sorted by scenario, point, policy and seed."""
    result = [
        {
            "scenario": stored_run.scenario,
            "point": point_label(stored_run.point),
            **{f"at_{k}": v for k, v in stored_run.point.items()},
            **{k: v for k, v in stored_run.figures.items() if k != "scenario"},
            "id": stored_run.id,
        }
        for stored_run in stored_runs
        if not stored_run.failed
    ]
    if not result:
        return pl.DataFrame()
    return pl.DataFrame(result, infer_schema_length=None).sort("scenario", "point", "policy", "seed")


def time_lines_table(stored_runs: Sequence[StoredRun]) -> pl.DataFrame:
    result = []
    for stored_run in stored_runs:
        for zone, columns in enumerate(stored_run.lines):
            result.append(
                pl.DataFrame(dict(zip(COLUMNS, columns, strict=True))).with_columns(
                    at=pl.int_range(0, len(columns[0])) * STEP_SECONDS, zone=pl.lit(zone),
                    scenario=pl.lit(stored_run.scenario),
                    point=pl.lit(point_label(stored_run.point)), policy=pl.lit(stored_run.figures["policy"]),
                    seed=pl.lit(stored_run.figures["seed"]),
                )
            )  # fmt: skip
    return pl.concat(result) if result else pl.DataFrame()


def write_results(
    folder: Path, experiment: Experiment, runs: Sequence[Run], stored_runs: Sequence[StoredRun]
) -> pl.DataFrame:
    """Writes the settings and the tables, each file atomically; returns the table of the runs."""
    folder.mkdir(parents=True, exist_ok=True)
    scenarios = {f"{run.name}|{point_label(run.point)}": run.scenario for run in runs}
    settings = {"experiment": experiment, "scenarios": scenarios, "runs": [run.id() for run in runs]}
    write_atomically(folder / "settings.json", msgspec.json.format(msgspec.json.encode(settings), indent=1))
    table = results_table(stored_runs)
    histograms = pl.DataFrame(
        [
            {"id": stored_run.id, "microseconds": stored_run.histogram}
            for stored_run in stored_runs
            if not stored_run.failed
        ]
    )
    for name, frame in (
        ("rows", table),
        ("time_lines", time_lines_table(stored_runs)),
        ("histograms", histograms),
    ):
        temporary = folder / f"{name}.parquet.part"
        frame.write_parquet(temporary)
        temporary.replace(folder / f"{name}.parquet")
    return table


def read_settings(folder: Path) -> tuple[Experiment, dict[str, object], list[str]]:
    """The experiment, the scenarios by run name and point, and the ids of all runs of a folder.

    Raises ScenarioError if the folder holds no valid settings.
    """
    try:
        settings = msgspec.json.decode((folder / "settings.json").read_bytes())
        return msgspec.convert(settings["experiment"], Experiment), settings["scenarios"], settings["runs"]
    except (OSError, msgspec.MsgspecError, KeyError) as error:
        raise ScenarioError(f"{folder}: is not a folder of results: {error}") from error


def read_stored_runs(folder: Path) -> list[StoredRun]:
    _, _, ids = read_settings(folder)
    stored_runs = [read_stored_run(folder / "runs" / f"{name}.msgpack") for name in ids]
    return [run for run in stored_runs if run is not None]


def intervals_by_policy(
    table: pl.DataFrame, figure: str = "share"
) -> dict[tuple[str, str], dict[str, Interval]]:
    """The interval of a figure over the seeds, by (scenario, point) and by policy."""
    result: dict[tuple[str, str], dict[str, Interval]] = {}
    for (scenario, point, policy), group in table.group_by(
        ["scenario", "point", "policy"], maintain_order=True
    ):
        result.setdefault((str(scenario), str(point)), {})[str(policy)] = confidence_interval(
            group[figure].to_list()
        )
    return result


def paired_differences(
    first: pl.DataFrame, second: pl.DataFrame, figure: str = "share"
) -> list[tuple[str, str, str, Interval]]:
    """Differences, second less first, over the seeds of both: scenario, point, policy, interval."""
    keys = ["scenario", "point", "policy", "seed"]
    joined = first.join(second, on=keys, suffix="_two").with_columns(
        more=pl.col(f"{figure}_two") - pl.col(figure)
    )
    return [
        (str(scenario), str(point), str(policy), confidence_interval(group["more"].to_list()))
        for (scenario, point, policy), group in joined.group_by(
            ["scenario", "point", "policy"], maintain_order=True
        )
    ]


def paired_advantage(
    table: pl.DataFrame, policy: str, other: str, figure: str = "share"
) -> list[tuple[str, str, Interval]]:
    """Advantage of `policy` over `other` on the same days: scenario, point, interval over paired seeds."""
    other_rows = table.filter(pl.col("policy") == other).with_columns(policy=pl.lit("_"))
    policy_rows = table.filter(pl.col("policy") == policy).with_columns(policy=pl.lit("_"))
    return [
        (scenario, point, more)
        for scenario, point, _, more in paired_differences(other_rows, policy_rows, figure)
    ]


def normalized_scores(table: pl.DataFrame) -> list[tuple[str, str, float, float]]:
    """Scores of the module between random (0) and the bound (1), and its distance to the bound.

    Returns scenario, point, score, distance, sorted by distance in descending order. The score is NaN where
    random and the bound are less than 0.01 apart and the score would mean nothing.
    """
    result = []
    for (scenario, point), intervals in intervals_by_policy(table).items():
        if {"module", "random", "bound"} <= intervals.keys():
            low, high, module = (intervals[name].mean for name in ("random", "bound", "module"))
            score = (module - low) / (high - low) if high - low > 0.01 else float("nan")
            result.append((scenario, point, score, high - module))
    return sorted(result, key=lambda row: -row[3])

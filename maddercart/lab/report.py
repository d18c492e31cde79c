"""The report: a self-contained HTML page, made from a folder of results."""

import math
from base64 import b64encode
from pathlib import Path
from typing import Any

import msgspec
import polars as pl
from jinja2 import Environment, PackageLoader, StrictUndefined

from maddercart import __version__
from maddercart.lab import plots, results
from maddercart.lab.runs import write_atomically
from maddercart.lab.scenario import Scenario, ScenarioError

TABLE_FIGURES = ("p50", "p95", "p99", "done", "late", "bounce", "abort", "dispatches", "crossed", "cold_most")
MAX_TIME_LINES = 24  # per page; with more the page is too large to open


def write_report(folder: Path) -> Path:
    """Writes report.html and the plots; returns the path of the page.

    Raises ScenarioError if the folder holds no results.
    """
    experiment, settings, ids = results.read_settings(folder)
    scenario_configs = {key: msgspec.convert(value, Scenario) for key, value in settings.items()}
    stored_runs = results.read_stored_runs(folder)
    failed = [run for run in stored_runs if run.failed]
    table = results.results_table(stored_runs)
    finished = [run for run in stored_runs if not run.failed]
    images: dict[str, str] = {}

    def embed_plot(name: str) -> str:
        images[name] = b64encode((folder / "plots" / f"{name}.png").read_bytes()).decode()
        return name

    if not finished:
        raise ScenarioError(f"{folder}: no run has finished")
    intervals = results.intervals_by_policy(table)
    policies = list(dict.fromkeys(table["policy"].to_list()))
    overview = [embed_plot(plots.plot_shares(intervals, folder / "plots"))]
    swept_columns = [
        name for name in table.columns if name.startswith("at_") and table[name].dtype.is_numeric()
    ]
    for column in swept_columns:
        overview.append(embed_plot(plots.plot_costs(table, column, folder / "plots")))
        for scenario in dict.fromkeys(table["scenario"].to_list()):
            overview.append(embed_plot(plots.plot_swept(table, scenario, column, "share", folder / "plots")))
    sections: list[dict[str, Any]] = []
    for (scenario, point), by_policy in intervals.items():
        section_runs = [
            run for run in finished if (run.scenario, results.point_label(run.point)) == (scenario, point)
        ]
        scenario_config, first_seed = (
            scenario_configs[f"{scenario}|{point}"],
            min(int(run.figures["seed"]) for run in section_runs),
        )
        name = "-".join(filter(None, [scenario, point.replace(" ", "-").replace(",", "")]))
        section_plots = []
        if len(sections) * 2 < MAX_TIME_LINES:
            section_plots.append(embed_plot(plots.plot_latencies(section_runs, folder / "plots", name)))
            time_line_runs = [run for run in section_runs if run.figures["seed"] == first_seed]
            time_line_runs = [
                run for run in time_line_runs if run.figures["policy"] in ("module", policies[0])
            ][:1]
            section_plots += [
                embed_plot(
                    plots.plot_time_line(run, scenario_config, folder / "plots", plots.time_line_name(run))
                )
                for run in time_line_runs
            ]
        sections.append({
            "name": f"{scenario} {point}".strip(), "day": scenario_config, "drawn": section_plots,
            "rows": [table_row(policy, interval, table, scenario, point)
                     for policy, interval in by_policy.items()],
            "breaches": [(run.figures["policy"], run.figures["seed"], run.breaches[:3])
                         for run in section_runs if run.breaches and run.figures["policy"] == "module"],
        })  # fmt: skip
    environment = Environment(
        loader=PackageLoader("maddercart.lab"), autoescape=True, undefined=StrictUndefined
    )
    environment.globals["finite"] = math.isfinite
    html = environment.get_template("report.html").render(
        experiment=experiment, overview=overview, sections=sections, images=images, failed=failed,
        standing=results.normalized_scores(table), policies=policies, version=__version__,
        count=len(finished), wanted=len(ids),
        duels=[
            (other, results.paired_advantage(table, "module", other))
            for other in policies if other != "module"
        ] if "module" in policies else [],
        void=int(table.filter((pl.col("policy") == "module") & (pl.col("void") > 0)).height),
        queries=int(table["queries"].sum()), cpu=float(table["cpu"].sum()),
    )  # fmt: skip
    write_atomically(folder / "report.html", html.encode())
    return folder / "report.html"


def table_row(
    policy: str, share: results.Interval, table: pl.DataFrame, scenario: str, point: str
) -> dict[str, object]:
    group = table.filter(
        (pl.col("policy") == policy) & (pl.col("scenario") == scenario) & (pl.col("point") == point)
    )
    figures = {name: float(group[name].mean() or 0.0) for name in TABLE_FIGURES}  # type: ignore[arg-type]
    return {"policy": policy, "share": share, "void": int(group["void"].sum()), **figures}

"""The commands `maddercart lab ...`.

The dependencies of the lab are imported inside the commands, so that they don't slow down the sidecar's start
or add to its memory.
"""

import os
import sys
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, ParamSpec

import typer

if TYPE_CHECKING:
    from maddercart.lab.runs import StoredRun

lab = typer.Typer(help="Experiments on a model of a fleet; all figures are simulated.", no_args_is_help=True)

P = ParamSpec("P")
NameArgument = Annotated[str, typer.Argument(help="a TOML file, or the name of a shipped one")]
PolicyOption = Annotated[str, typer.Option(help="module, bound, random, round_robin, least_outstanding, ...")]
SeedOption = Annotated[int, typer.Option(min=0, help="seed of the day; the same seed gives the same day")]
JobsOption = Annotated[int, typer.Option(min=0, help="number of parallel runs; 0: one per core")]


def report_errors(command: Callable[P, None]) -> Callable[P, None]:
    """Turns an unusable input into one error line and exit code 2, and an interrupt into exit code 130."""

    @wraps(command)
    def wrapper(*arguments: P.args, **named: P.kwargs) -> None:
        try:
            from maddercart.lab.scenario import ScenarioError
            from maddercart.lab.world import World  # noqa: F401
        except ImportError as error:
            typer.echo(f"maddercart lab: {error}; it needs: pip install -r requirements-lab.txt", err=True)
            raise typer.Exit(2) from error
        try:
            command(*arguments, **named)
        except ScenarioError as error:
            typer.echo(f"maddercart lab: {error}", err=True)
            raise typer.Exit(2) from error
        except KeyboardInterrupt:
            typer.echo("maddercart lab: interrupted; run the same command again to resume", err=True)
            raise typer.Exit(130) from None

    return wrapper


def worker_count(jobs: int) -> int:
    return jobs or len(os.sched_getaffinity(0))


@lab.command()
@report_errors
def run(
    scenario: NameArgument, policy: PolicyOption = "module", seed: SeedOption = 1,
    json: Annotated[bool, typer.Option("--json", help="the figures as JSON")] = False,
) -> None:  # fmt: skip
    """Simulates one day and prints its figures."""
    import msgspec
    from rich.console import Console
    from rich.table import Table

    from maddercart.lab import scenario as scenarios
    from maddercart.lab.world import World

    result = World(scenarios.read(scenario), seed, policy).run()
    if json:
        typer.echo(msgspec.json.encode({**result.figures, "breaches": result.breaches}).decode())
    else:
        table = Table(title=f"{scenario}, {policy}, seed {seed} (simulated)", show_header=False)
        for name, value in result.figures.items():
            table.add_row(
                name,
                f"{value:,.4f}"
                if isinstance(value, float)
                else f"{value:,}"
                if isinstance(value, int)
                else value,
            )
        Console().print(table)
        for breach in result.breaches[:20]:
            typer.echo(f"BROKEN {breach}")
    if result.breaches:
        raise typer.Exit(1)


@lab.command()
@report_errors
def sweep(
    experiment: NameArgument,
    out: Annotated[Path | None, typer.Option(help="folder of the results (found/<name>)")] = None,
    jobs: JobsOption = 0,
) -> None:
    """Simulates all runs of an experiment, skipping those with a stored result, and writes the report."""
    from maddercart.lab import report as reports
    from maddercart.lab import results
    from maddercart.lab import runs as simulations
    from maddercart.lab.experiment import read_experiment

    definition, runs = read_experiment(experiment)
    folder = out or Path("found") / Path(experiment).stem
    stored_runs: dict[str, StoredRun] = {}
    with progress_bar(len(runs)) as on_result:
        for stored_run in simulations.run_all(runs, folder, worker_count(jobs), on_result):
            stored_runs[stored_run.id] = stored_run
    results.write_results(folder, definition, runs, [stored_runs[run.id()] for run in runs])
    failed = [stored_run for stored_run in stored_runs.values() if stored_run.failed]
    for stored_run in failed:
        typer.echo(f"failed: {stored_run.scenario} {stored_run.figures['policy']} "
                   f"seed {stored_run.figures['seed']}: "
                   f"{stored_run.failed.strip().splitlines()[-1]}", err=True)  # fmt: skip
    print_shares(list(stored_runs.values()))
    typer.echo(f"report: {reports.write_report(folder)}")
    module_breaches = [
        stored_run
        for stored_run in stored_runs.values()
        if stored_run.figures["policy"] == "module" and stored_run.breaches
    ]
    for stored_run in module_breaches:
        typer.echo(
            f"BROKEN {stored_run.scenario} seed {stored_run.figures['seed']}: {stored_run.breaches[0]}",
            err=True,
        )
    if failed or module_breaches:
        raise typer.Exit(1)


def progress_bar(total: int) -> Any:
    from contextlib import contextmanager

    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    @contextmanager
    def show_progress() -> Any:
        columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
        with Progress(*columns, console=Console(file=sys.stderr), transient=True) as bar:
            task = bar.add_task("runs", total=total)

            def on_result(run: "StoredRun", simulated_now: bool) -> None:
                bar.update(task, advance=1, description=f"{run.scenario} {run.figures['policy']}")

            yield on_result

    return show_progress()


def print_shares(stored_runs: "list[StoredRun]") -> None:
    from rich.console import Console
    from rich.table import Table

    from maddercart.lab import results

    frame = results.results_table(stored_runs)
    if not frame.height:
        return
    intervals = results.intervals_by_policy(frame)
    policies = list(dict.fromkeys(frame["policy"].to_list()))
    table = Table("scenario", *policies, title="share of the earnings asked for (simulated)")
    for (scenario, point), by_policy in intervals.items():
        cells = [str(by_policy[policy]) if policy in by_policy else "" for policy in policies]
        table.add_row(f"{scenario} {point}".strip(), *cells)
    Console().print(table)


@lab.command()
@report_errors
def compare(
    before: Annotated[Path, typer.Argument(help="a folder of results")],
    after: Annotated[Path, typer.Argument(help="another folder of the same experiment, made by other code")],
    figure: Annotated[str, typer.Option(help="share, p99, cpu, dispatches, ...")] = "share",
    drop: Annotated[float, typer.Option(help="exit with 1 if a mean falls by more than this")] = float("inf"),
) -> None:
    """Compares two folders of results over the seeds that both have."""
    from rich.console import Console
    from rich.table import Table

    from maddercart.lab import results
    from maddercart.lab.scenario import ScenarioError

    before_table, after_table = (
        results.results_table(results.read_stored_runs(folder)) for folder in (before, after)
    )
    for frame, folder in ((before_table, before), (after_table, after)):
        if figure not in frame.columns:
            raise ScenarioError(f"{folder}: no figure {figure!r}, only {', '.join(frame.columns)}")
    table = Table("scenario", "policy", "more", "sure", title=f"{figure}, {after} less {before} (simulated)")
    rows = results.paired_differences(before_table, after_table, figure)
    for scenario, point, policy, difference in rows:
        significant = "" if abs(difference.mean) <= difference.plus_minus else "yes"
        table.add_row(f"{scenario} {point}".strip(), policy, str(difference), significant)
    Console().print(table)
    if not rows:
        raise ScenarioError(f"{after}: has no run in common with {before}; they are of different experiments")
    if any(difference.mean < -drop for *_, difference in rows):
        raise typer.Exit(1)


@lab.command()
@report_errors
def report(folder: Annotated[Path, typer.Argument(help="a folder of results")]) -> None:
    """Rewrites report.html and the plots of a folder."""
    from maddercart.lab import report as reports

    typer.echo(f"report: {reports.write_report(folder)}")


@lab.command()
@report_errors
def explain(
    scenario: NameArgument, policy: PolicyOption = "module", seed: SeedOption = 1,
    wish: Annotated[int, typer.Option(help="the events of one client request, with all its tries")] = -1,
    worst: Annotated[bool, typer.Option(help="the events of the slowest completed request")] = False,
    server: Annotated[int, typer.Option(help="the events of one server")] = -1,
    start: Annotated[float, typer.Option(help="seconds of the day")] = 0.0,
    end: Annotated[float, typer.Option(help="seconds of the day")] = 1e9,
) -> None:  # fmt: skip
    """Simulates a day and prints the events of one client request or one server."""
    import numpy as np

    from maddercart.lab import scenario as scenarios
    from maddercart.lab.scenario import ScenarioError
    from maddercart.lab.story import Story
    from maddercart.lab.world import World

    scenario_config = scenarios.read(scenario)
    if worst:
        world = World(scenario_config, seed, policy)
        world.run()
        durations, endings = (
            np.frombuffer(world.meter.latencies_ns, np.int64),
            np.frombuffer(world.meter.outcomes, np.int8),
        )
        wish = int(np.argmax(np.where((endings == 1) | (endings == 2), durations, -1)))
    if (wish < 0) == (server < 0):
        raise ScenarioError("explain: give one of --wish N, --worst and --server N")
    story = Story(wish, server, start, end)
    world = World(scenario_config, seed, policy, story)
    for name, number, count in (("wish", wish, len(world.workload)), ("server", server, len(world.servers))):
        if number >= count:
            raise ScenarioError(f"explain: --{name} {number}: the day has {count}")
    world.run()
    for seconds, text in story.lines:
        typer.echo(f"{seconds:12.6f}  {text}")


@lab.command(name="list")
@report_errors
def list_shipped() -> None:
    """Lists the shipped scenarios and experiments."""
    from maddercart.lab import scenario as scenarios
    from maddercart.lab.experiment import EXPERIMENTS_DIR, read_experiment

    for name in scenarios.shipped():
        typer.echo(f"scenario    {name:22} {scenarios.read(name).about}")
    for path in sorted(EXPERIMENTS_DIR.glob("*.toml")):
        definition, runs = read_experiment(path.stem)
        typer.echo(f"experiment  {path.stem:22} {definition.about} ({len(runs)} runs)")

"""Determinism by seed, resumption of interrupted sweeps, storage of results, and errors for invalid input."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import polars as pl
import pytest
from typer.testing import CliRunner

from maddercart.cli import app
from maddercart.lab import results
from maddercart.lab import runs as simulations
from maddercart.lab.experiment import Run, read_experiment
from maddercart.lab.policies import POLICIES
from maddercart.lab.scenario import ScenarioError, find_contradictions, parse_scenario, read, shipped
from maddercart.lab.world import World
from tests.lab.scenarios import scenario_tree, small_scenario

TROUBLES = [
    {"kind": "zone_lost", "zone": "a", "start": 3.0, "end": 6.0},
    {"kind": "sidecar_restart", "start": 7.0},
]

SMALL_SCENARIO = """
title = "small"
about = "a test"
seconds = 6.0
warmup = 1.0
zones = [{name = "a", servers = 3, sidecars = 4}, {name = "b", servers = 3, sidecars = 4}]
offerings = [{name = "look"}, {name = "once", effect = "irreversible", share = 0.2}]
flows = [{rate = 150.0}]
troubles = [{kind = "crash", zone = "a", start = 2.0, end = 4.0}]
"""
EXPERIMENT = """
title = "a test"
scenarios = ["small.toml"]
policies = ["module", "random", "bound"]
seeds = [1, 2]
[[sweep]]
name = "rate"
keys = ["flows.0.rate"]
values = [[100.0], [200.0]]
"""


def invoke_lab(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(app, ["lab", *arguments])
    return result.exit_code, result.output


def test_same_seed_gives_same_digest_in_other_processes_and_in_parallel(tmp_path: Path) -> None:
    """Guards against dependence on the process: set order, a shared random generator, or real time."""
    scenario = small_scenario(
        troubles=TROUBLES, clients={"retry": "honour"}, servers={"reports": True, "report_noise": 0.3}
    )
    digest = World(scenario, 1).run().figures["digest"]
    runs = [Run("small", scenario, {"beside": n}, "module", seed) for n in range(3) for seed in (1, 2)]
    stored_runs = list(simulations.run_all(runs, tmp_path, 3))
    assert {run.figures["digest"] for run in stored_runs if run.figures["seed"] == 1} == {digest}
    assert {run.figures["digest"] for run in stored_runs if run.figures["seed"] == 2} != {digest}


def test_day_and_troubles_do_not_depend_on_the_policy() -> None:
    """Arrivals, work, luck and troubles belong to the day; random draws of a policy don't change them."""
    scenario = small_scenario(
        troubles=[{"kind": "errors", "share": 0.5, "factor": 0.5, "start": 2.0}, *TROUBLES]
    )
    worlds = [World(scenario, 3, policy) for policy in POLICIES]
    for world in worlds[:3]:
        world.run()
    assert len({world.workload.digest() for world in worlds}) == 1
    assert len({str(world.troubles.affected) for world in worlds}) == 1
    assert World(scenario, 4).workload.digest() != worlds[0].workload.digest()


def write_experiment(folder: Path) -> Path:
    (folder / "small.toml").write_text(SMALL_SCENARIO)
    (folder / "test.toml").write_text(EXPERIMENT)
    return folder / "test.toml"


def test_interrupted_sweep_resumes_with_the_missing_runs(tmp_path: Path) -> None:
    """After an interrupt the same command simulates only the missing runs, with the same results."""
    text = SMALL_SCENARIO.replace("seconds = 6.0", "seconds = 25.0").replace("rate = 150.0", "rate = 400.0")
    experiment, out = write_experiment(tmp_path), tmp_path / "out"
    (tmp_path / "small.toml").write_text(text)
    command = [
        sys.executable,
        "-m",
        "maddercart",
        "lab",
        "sweep",
        str(experiment),
        "--out",
        str(out),
        "--jobs",
        "2",
    ]
    interrupted = subprocess.Popen(command, stderr=subprocess.PIPE, stdout=subprocess.DEVNULL)
    deadline = time.monotonic() + 60
    while len(list(out.glob("runs/*.msgpack"))) < 3 and time.monotonic() < deadline:
        time.sleep(0.02)
    os.kill(interrupted.pid, signal.SIGINT)
    _, output = interrupted.communicate(timeout=60)
    before = {path: path.stat().st_mtime_ns for path in out.glob("runs/*.msgpack")}
    assert (
        interrupted.returncode == 130
        and b"run the same command again to resume" in output
        and 3 <= len(before) < 12
    )
    assert not (out / "rows.parquet").exists(), "an interrupted sweep must not write a table"
    subprocess.run(command, check=True, capture_output=True)
    after = {path: path.stat().st_mtime_ns for path in out.glob("runs/*.msgpack")}
    assert len(after) == 12 and before.items() <= after.items()
    table = pl.read_parquet(out / "rows.parquet")
    _, runs = read_experiment(str(experiment))
    direct = World(runs[0].scenario, runs[0].seed, runs[0].policy).run().figures
    assert table.filter(pl.col("id") == runs[0].id())["digest"].to_list() == [direct["digest"]]


def test_sweep_results_can_be_read_compared_and_reported(tmp_path: Path) -> None:
    experiment, out = write_experiment(tmp_path), tmp_path / "out"
    exit_code, output = invoke_lab("sweep", str(experiment), "--out", str(out), "--jobs", "4")
    assert exit_code == 0 and "report:" in output, output
    page = (out / "report.html").read_text()
    assert 'src="http' not in page and "<link" not in page and "simulated" in page
    assert all(f"{policy}</td>" in page for policy in ("module", "random", "bound"))
    lines = pl.read_parquet(out / "time_lines.parquet")
    rows = pl.read_parquet(out / "rows.parquet")
    assert rows.height == 12 and lines["first"].sum() == sum(
        len(World(run.scenario, run.seed, run.policy).workload) for run in read_experiment(str(experiment))[1]
    )
    stored_runs = results.read_stored_runs(out)
    assert len(stored_runs) == 12
    histogram = simulations.latency_histogram(
        World(parse_scenario(*read_small_scenario(tmp_path)), 1).run().latencies_ns
    )
    assert histogram.get_total_count() > 0
    exit_code, output = invoke_lab("compare", str(out), str(out), "--figure", "p99")
    assert exit_code == 0 and "0.000" in output
    assert invoke_lab("report", str(out))[0] == 0
    exit_code, output = invoke_lab("compare", str(out), str(out), "--figure", "none")
    assert exit_code == 2 and "no figure 'none'" in output


def read_small_scenario(folder: Path) -> tuple[dict, str]:
    import tomllib

    return tomllib.loads((folder / "small.toml").read_text()), "small"


def test_interval_is_students_t_and_pairing_cancels_the_spread_between_days() -> None:
    measured = results.confidence_interval([1.0, 2.0, 3.0])
    assert (measured.mean, round(measured.plus_minus, 3)) == (2.0, 2.484)
    assert results.confidence_interval([5.0]).plus_minus == float("inf")
    first = pl.DataFrame(
        {"scenario": "s", "point": "", "policy": "module", "seed": [1, 2, 3], "share": [0.1, 0.5, 0.9]}
    )
    second = first.with_columns(share=pl.col("share") + 0.01)
    ((_, _, _, difference),) = results.paired_differences(first, second)
    assert difference.mean == pytest.approx(0.01) and difference.plus_minus < 1e-9, (
        "pairing must cancel the spread between days"
    )


def test_failed_run_is_reported_and_not_loaded_as_finished(tmp_path: Path) -> None:
    """Guards against a failed run that counts as finished: the next sweep must repeat it."""
    run = Run("small", small_scenario(), {}, "no such policy", 1)
    stored_runs = list(simulations.run_all([run], tmp_path, 1))
    assert "no such policy" in stored_runs[0].failed and simulations.load_finished(tmp_path, run) is None


def test_explain_prints_the_events_of_a_query_or_a_server(tmp_path: Path) -> None:
    write_experiment(tmp_path)
    exit_code, output = invoke_lab("explain", str(tmp_path / "small.toml"), "--wish", "20")
    assert exit_code == 0
    for words in ("try 1, query", "dispatch 0 to server", "begins", "ends: done", "final answer: done"):
        assert words in output, output
    exit_code, output = invoke_lab(
        "explain", str(tmp_path / "small.toml"), "--server", "0", "--start", "1.0", "--end", "1.5"
    )
    assert exit_code == 0 and "sends query" in output
    assert all(1.0 <= float(line.split()[0]) <= 1.5 for line in output.splitlines())
    exit_code, output = invoke_lab("explain", str(tmp_path / "small.toml"), "--worst")
    assert exit_code == 0 and "final answer: done" in output
    assert invoke_lab("explain", str(tmp_path / "small.toml"))[0] == 2
    exit_code, output = invoke_lab("explain", str(tmp_path / "small.toml"), "--wish", "99999999")
    assert exit_code == 2 and "the day has" in output


@pytest.mark.parametrize(
    ("more", "words"),
    [
        ({"seconds": -1.0}, "seconds"),
        ({"surprise": 1}, "surprise"),
        ({"zones": [{"name": "a", "servers": 1, "sidecars": 1, "cores": 2}]}, "zones[0]"),
        ({"zones": [{"name": "a", "servers": 0, "sidecars": 1}]}, "zones: no zone has servers"),
        ({"zones": [{"name": "a", "servers": 1, "sidecars": 1}] * 2}, "zones: duplicate name"),
        ({"offerings": []}, "offerings: at least one is required"),
        ({"offerings": [{"name": "x", "agreed": 2.0, "stop": 1.0}]}, "offerings[0].stop: 1 s is before"),
        ({"flows": []}, "flows: there is no traffic"),
        ({"flows": [{"rate": 1.0, "start": 5.0, "end": 4.0}]}, "flows[0].start: 5 s is not before"),
        ({"troubles": [{"kind": "slow", "start": 1.0, "zone": "z"}]}, "troubles[0].zone: there is no zone"),
        ({"troubles": [{"kind": "slow", "start": 1.0, "end": 99.0}]}, "troubles[0].end: 99 s is after"),
        ({"troubles": [{"kind": "fire", "start": 1.0}]}, "troubles[0].kind"),
        ({"troubles": [{"kind": "slow", "start": -1.0}]}, "troubles[0].start"),
        ({"troubles": [{"kind": "late_reports", "start": 1.0}]}, "troubles[0].kind: servers.reports is off"),
        ({"troubles": [{"kind": "tenant_burst", "start": 1.0, "tenant": "x"}]}, "there is no tenant 'x'"),
        ({"troubles": [{"kind": "zone_lost", "start": 1.0}]}, "troubles[0].zone: must name the lost zone"),
        ({"network": {"delays_ms": {"a-z": 1.0}}}, "network.delays_ms.a-z: is not a pair of zone names"),
        ({"warmup": 12.0}, "warmup: 12 s is not shorter than the day"),
        ({"cold": {"start": 0.0}}, "cold.start"),
    ],
)  # fmt: skip
def test_invalid_scenario_error_names_file_and_key(more: dict, words: str, tmp_path: Path) -> None:
    with pytest.raises(ScenarioError) as caught:
        parse_scenario(scenario_tree(**more), "day.toml")
    assert "day.toml" in str(caught.value) and words in str(caught.value)


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ("seeds = [1, 2]", "seeds = []", "seeds"),
        ('"bound"]', '"best"]', "'best' is not one of"),
        ("flows.0.rate", "flows.7.rate", "flows.7.rate: there is no such path"),
        ("flows.0.rate", "flows.0.speed", "speed"),
        ("[200.0]", "[200.0, 1.0]", "must hold one value for each"),
        ("small.toml", "none.toml", "none.toml: no such file"),
        ('title = "a test"', "title = ", "test.toml"),
    ],
)  # fmt: skip
def test_invalid_experiment_exits_with_2_and_writes_nothing(
    old: str, new: str, words: str, tmp_path: Path
) -> None:
    path, out = write_experiment(tmp_path), tmp_path / "out"
    path.write_text(EXPERIMENT.replace(old, new))
    exit_code, output = invoke_lab("sweep", str(path), "--out", str(out))
    assert exit_code == 2 and words in output and not out.exists(), output


def test_shipped_scenarios_are_valid_described_and_listed() -> None:
    assert len(shipped()) >= 12
    for name in shipped():
        scenario = read(name)
        assert not find_contradictions(scenario) and 40 < len(scenario.about) < 120, name
    exit_code, output = invoke_lab("list")
    assert exit_code == 0 and all(name in output for name in shipped())
    assert msgspec.json.encode(read("calm"))


def test_like_merges_into_another_scenario_and_rejects_cycles_and_missing_files(tmp_path: Path) -> None:
    assert read("zone-lost").zones == read("calm").zones and read("zone-lost").troubles
    (tmp_path / "ring.toml").write_text('like = "ring.toml"\n')
    (tmp_path / "far.toml").write_text('like = "nothing"\n')
    for name, words in (("ring.toml", "refers back"), ("far.toml", "no such file")):
        exit_code, output = invoke_lab("run", str(tmp_path / name))
        assert exit_code == 2 and words in output


def test_unknown_policy_exits_with_2_and_cli_import_does_not_load_lab_dependencies() -> None:
    exit_code, output = invoke_lab("run", "calm", "--json", "--seed", "2", "--policy", "nonsense")
    assert exit_code == 2 and "nonsense" in output
    heavy = "import sys, maddercart.cli; sys.exit(bool({'numpy', 'polars'} & set(sys.modules)))"
    assert subprocess.run([sys.executable, "-c", heavy]).returncode == 0, (
        "these modules would cost each sidecar memory"
    )

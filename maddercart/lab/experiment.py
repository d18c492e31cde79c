"""Experiments, read from TOML: scenarios, policies, seeds and swept keys, expanded into runs."""

import copy
import itertools
import tomllib
from dataclasses import dataclass
from functools import cache
from hashlib import blake2b
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

import maddercart
from maddercart.lab import scenario as scenarios
from maddercart.lab.policies import POLICIES
from maddercart.lab.scenario import ConfigTable, Scenario, ScenarioError

EXPERIMENTS_DIR = Path(__file__).parent / "experiments"
Value = int | float | str | bool


class Sweep(ConfigTable, frozen=True):
    """Scenario keys that vary together: each row of `values` holds one value for each key."""

    name: str
    keys: Annotated[list[str], Meta(min_length=1)]
    values: Annotated[list[list[Value]], Meta(min_length=1)]
    labels: list[Value] = msgspec.field(default_factory=list)  # names of the rows; empty: their first values


class Experiment(ConfigTable, frozen=True):
    title: str
    scenarios: Annotated[list[str], Meta(min_length=1)]
    policies: Annotated[list[str], Meta(min_length=1)] = msgspec.field(default_factory=lambda: ["module"])
    seeds: Annotated[list[Annotated[int, Meta(ge=0)]], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [1]
    )
    about: str = ""
    set: dict[str, Value] = msgspec.field(default_factory=dict)
    sweep: list[Sweep] = msgspec.field(default_factory=list)


@dataclass(frozen=True)
class Run:
    """One simulated day under one policy; `point` holds the swept values (or labels) by sweep name."""

    name: str
    scenario: Scenario
    point: dict[str, Value]
    policy: str
    seed: int

    def id(self) -> str:
        """A hash of the settings and of the code, so that results made by other code are not reused."""
        encoded = msgspec.json.encode(
            [self.name, self.scenario, self.point, self.policy, self.seed, code_digest()]
        )
        return blake2b(encoded, digest_size=8).hexdigest()


@cache
def code_digest() -> str:
    """A digest of the source of the policies and of the model, without modules that only present results."""
    root = Path(maddercart.__file__).parent
    digest = blake2b(digest_size=8)
    modules = [*sorted((root / "policy").glob("*.py")), *sorted((root / "lab").glob("*.py"))]
    for path in [root / "interface.py", *modules]:
        if path.stem not in ("commands", "report", "plots", "results", "story"):
            digest.update(path.read_bytes())
    return digest.hexdigest()


def set_value(tree: dict[str, Any], key: str, value: Value, source: str) -> None:
    """Sets the value at a dotted path of keys and list indexes, such as `zones.0.sidecars`.

    Missing tables on the path are created. Raises ScenarioError if the path does not fit the tree.
    """
    container: Any = tree
    *parents, last = key.split(".")
    try:
        for step in parents:
            container = (
                container[int(step)] if isinstance(container, list) else container.setdefault(step, {})
            )
        container[int(last) if isinstance(container, list) else last] = value
    except (IndexError, ValueError, TypeError, AttributeError) as error:
        raise ScenarioError(f"{source}: {key}: there is no such path in the scenario ({error})") from error


def read_experiment(name: str) -> tuple[Experiment, list[Run]]:
    """Reads an experiment, given by its path or the name of a shipped one, and expands its runs.

    Raises ScenarioError with file, key and reason.
    """
    candidates = [Path(name), EXPERIMENTS_DIR / f"{name}.toml"]
    path = next((candidate for candidate in candidates if candidate.is_file()), None)
    if path is None:
        shipped = ", ".join(sorted(file.stem for file in EXPERIMENTS_DIR.glob("*.toml")))
        raise ScenarioError(f"{name}: no such file or shipped experiment ({shipped})")
    try:
        experiment = msgspec.convert(tomllib.loads(path.read_text()), Experiment)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{path}: {error}".replace("`$.", "`")) from error
    return experiment, expand_runs(experiment, path)


def expand_runs(experiment: Experiment, source: Path) -> list[Run]:
    for policy in experiment.policies:
        if policy not in POLICIES:
            raise ScenarioError(f"{source}: policies: {policy!r} is not one of {', '.join(POLICIES)}")
    for n, sweep in enumerate(experiment.sweep):
        if sweep.labels and len(sweep.labels) != len(sweep.values):
            raise ScenarioError(f"{source}: sweep[{n}].labels: must hold one for each row of values")
        for row in sweep.values:
            if len(row) != len(sweep.keys):
                raise ScenarioError(
                    f"{source}: sweep[{n}].values: {row} must hold one value for each of {sweep.keys}"
                )
    expanded: list[Run] = []
    for name in experiment.scenarios:
        tree, location = scenarios.read_tree(name, source.parent)
        for key, value in experiment.set.items():
            set_value(tree, key, value, f"{source}: set")
        for combination in itertools.product(*(sweep.values for sweep in experiment.sweep)):
            varied, point = copy.deepcopy(tree), {}
            for sweep, row in zip(experiment.sweep, combination, strict=True):
                point[sweep.name] = sweep.labels[sweep.values.index(row)] if sweep.labels else row[0]
                for key, value in zip(sweep.keys, row, strict=True):
                    set_value(varied, key, value, f"{source}: sweep {sweep.name}")
            origin = f"{source}: {location}" + (f" at {point}" if point else "")
            scenario = scenarios.parse_scenario(varied, origin)
            expanded += [
                Run(Path(name).stem, scenario, point, policy, seed)
                for policy in experiment.policies
                for seed in experiment.seeds
            ]
    return expanded

"""An experiment, read from TOML: scenarios, policies, seeds, what is swept; and the runs that come of it."""

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
from maddercart.lab.scenario import Part, Scenario, ScenarioError

SHIPPED = Path(__file__).parent / "experiments"
Value = int | float | str | bool


class Sweep(Part, frozen=True):
    """Keys of the scenario that are changed together: each row of `values` holds one value for each key."""

    name: str
    keys: Annotated[list[str], Meta(min_length=1)]
    values: Annotated[list[list[Value]], Meta(min_length=1)]
    labels: list[Value] = msgspec.field(default_factory=list)  # of the rows; empty: their first values


class Experiment(Part, frozen=True):
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
    """One day under one policy: `point` tells the values that are swept, by the sweep's name."""

    name: str
    scenario: Scenario
    point: dict[str, Value]
    policy: str
    seed: int

    def id(self) -> str:
        """Alike for alike settings under alike code: a result made by other code is no result of this run."""
        told = msgspec.json.encode([self.name, self.scenario, self.point, self.policy, self.seed, code()])
        return blake2b(told, digest_size=8).hexdigest()


@cache
def code() -> str:
    """A digest of the decisions and of the model."""
    root = Path(maddercart.__file__).parent
    told = blake2b(digest_size=8)
    modules = [*sorted((root / "policy").glob("*.py")), *sorted((root / "lab").glob("*.py"))]
    for path in [root / "interface.py", *modules]:
        if path.stem not in ("commands", "report", "plots", "results", "story"):
            told.update(path.read_bytes())
    return told.hexdigest()


def change(tree: dict[str, Any], key: str, value: Value, source: str) -> None:
    """Sets the value at a path of names and places, `zones.0.sidecars`; tables on the way are made."""
    at: Any = tree
    *above, last = key.split(".")
    try:
        for step in above:
            at = at[int(step)] if isinstance(at, list) else at.setdefault(step, {})
        at[int(last) if isinstance(at, list) else last] = value
    except (IndexError, ValueError, TypeError, AttributeError) as error:
        raise ScenarioError(f"{source}: {key}: there is no such place in the scenario ({error})") from error


def read_experiment(name: str) -> tuple[Experiment, list[Run]]:
    """By its path, or by its name among those shipped. Raises ScenarioError with file, key and reason."""
    places = [Path(name), SHIPPED / f"{name}.toml"]
    found = next((place for place in places if place.is_file()), None)
    if found is None:
        shipped = ", ".join(sorted(path.stem for path in SHIPPED.glob("*.toml")))
        raise ScenarioError(f"{name}: no such file, nor a shipped experiment ({shipped})")
    try:
        experiment = msgspec.convert(tomllib.loads(found.read_text()), Experiment)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{found}: {error}".replace("`$.", "`")) from error
    return experiment, runs(experiment, found)


def runs(experiment: Experiment, source: Path) -> list[Run]:
    for policy in experiment.policies:
        if policy not in POLICIES:
            raise ScenarioError(f"{source}: policies: {policy!r} is none of {', '.join(POLICIES)}")
    for n, sweep in enumerate(experiment.sweep):
        if sweep.labels and len(sweep.labels) != len(sweep.values):
            raise ScenarioError(f"{source}: sweep[{n}].labels: has not one for each row of values")
        for row in sweep.values:
            if len(row) != len(sweep.keys):
                raise ScenarioError(
                    f"{source}: sweep[{n}].values: {row} has not one value for each of {sweep.keys}"
                )
    made: list[Run] = []
    for name in experiment.scenarios:
        tree, where = scenarios.read_tree(name, source.parent)
        for key, value in experiment.set.items():
            change(tree, key, value, f"{source}: set")
        for rows in itertools.product(*(sweep.values for sweep in experiment.sweep)):
            varied, point = copy.deepcopy(tree), {}
            for sweep, row in zip(experiment.sweep, rows, strict=True):
                point[sweep.name] = sweep.labels[sweep.values.index(row)] if sweep.labels else row[0]
                for key, value in zip(sweep.keys, row, strict=True):
                    change(varied, key, value, f"{source}: sweep {sweep.name}")
            told = f"{source}: {where}" + (f" at {point}" if point else "")
            day = scenarios.convert(varied, told)
            made += [
                Run(Path(name).stem, day, point, policy, seed)
                for policy in experiment.policies
                for seed in experiment.seeds
            ]
    return made

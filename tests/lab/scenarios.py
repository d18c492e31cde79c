"""Small scenarios for the lab's tests."""

from typing import Any

from maddercart.lab.scenario import Scenario, parse_scenario

REDOABLE_OFFERING = {"name": "look"}
LABELLED_OFFERING = {"name": "post", "effect": "labelled", "group": "zone", "window": 1.0}
IRREVERSIBLE_OFFERING = {"name": "once", "effect": "irreversible"}


def scenario_tree(**more: Any) -> dict[str, Any]:
    """A scenario as a mapping: two zones of four 2-core servers, about 40% busy, for 12 s."""
    scenario: dict[str, Any] = {
        "title": "small", "about": "a test", "seconds": 12.0, "warmup": 1.0,
        "zones": [{"name": "a", "servers": 4, "sidecars": 6}, {"name": "b", "servers": 4, "sidecars": 6}],
        "kinds": [{"name": "machine", "cores": 2, "room": 40}],
        "offerings": [REDOABLE_OFFERING, LABELLED_OFFERING | {"share": 0.3},
                      IRREVERSIBLE_OFFERING | {"share": 0.2}],
        "flows": [{"rate": 300.0}],
    }  # fmt: skip
    return scenario | more


def small_scenario(**more: Any) -> Scenario:
    return parse_scenario(scenario_tree(**more), "test")


def single_sidecar_queue(servers: int, cores: int, load: float, seconds: float) -> Scenario:
    """A textbook queue: one sidecar, exponential work, no network delay and unlimited patience.

    `load` is the utilization of the cores; the mean work of a query is 10 ms.
    """
    return parse_scenario(
        {
            "title": "queue", "about": "theory", "seconds": seconds, "warmup": 0.0,
            "zones": [{"name": "a", "servers": servers, "sidecars": 1}],
            "kinds": [{"name": "machine", "cores": cores, "room": 1_000_000}],
            "network": {"within_ms": 0.0, "jitter": 0.0},
            "clients": {"patience": 1e6},
            "offerings": [
                {"name": "look", "shape": "exponential", "work_ms": 10.0, "agreed": 9e3, "stop": 9e3}
            ],
            "flows": [{"rate": load * servers * cores * 100.0}],
        },
        "theory",
    )  # fmt: skip

"""Settings that lack a key or hold an odd value must not loosen what a sidecar promises."""

import json
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from maddercart.balancer_settings import SettingsError, balancer_arguments
from maddercart.cli import app
from maddercart.interface import LABELLED, SAME_ZONE
from maddercart.sidecar.configuration import parse_configuration
from maddercart.sidecar.upstreams import Upstreams
from maddercart.wirehost.settings import read_settings
from tests.helpers import WIRE_SETTINGS, SidecarHarness, list_line, sidecar_config

POST = "settings.offerings.1"  # a keyed class
# What the pages call optional, say of other classes or of other ways of discovery, or have a default for.
ABSENT_ON_BOTH = [
    "settings.offerings.0.group", "settings.offerings.0.window",
    "settings.offerings.2.group", "settings.offerings.2.window",
]  # fmt: skip
# By key, the values that must be turned down.
ODD_VALUES: dict[str, list[Any]] = {
    f"{POST}.group": ["", "site", None], f"{POST}.window": [-1.0, None, 1e9],
    f"{POST}.semantics": ["keyed"], f"{POST}.hard_stop": [0.0, -1.0], f"{POST}.agreed_time": [0.0, -1.0],
    f"{POST}.confined_to": [None, ["nowhere"]], f"{POST}.kinds_open": [None, ["nothing"]],
    "settings.limits.most_dispatches": [0, -1, 1.5], "settings.limits.connect_timeout": [0.0],
    "settings.limits.idle_close": [0.0], "settings.limits.cancel": [None, 1],
    "settings.limits.max_retry_after": [-1.0], "settings.rules.ask_within": [0.0, None],
    "settings.rules.stop_sending_within": [-1.0, None], "settings.rules.cold_from": [1.5, -0.1],
    "settings.rules.ramp_time": [0.0], "settings.rules.overload_for": [0.0],
    "settings.rules.fall_multiple": [0.0, -1.0], "settings.rules.removal_not_binding": [None, 1],
    "settings.group_size": [0, -1], "settings.self_index": [1, -1], "settings.zone": [2, -1],
    "settings.discovery": ["", "pull"], "settings.zones": [None, ["a", "a"]],
    "limits.sockets": [0], "limits.memory_mb": [0.0, -1.0], "seed": ["", "x"], "discovery": ["nowhere"],
}  # fmt: skip


def paths(tree: Any, prefix: str = "") -> list[str]:
    """The paths of all keys of a configuration, except for those of the known list."""
    items = enumerate(tree) if isinstance(tree, list) else tree.items() if isinstance(tree, dict) else ()
    below = [(f"{prefix}{name}", value) for name, value in items if name != "known" and value != ["a", "b"]]
    named = [path for path, _ in below if not path.rpartition(".")[2].isdigit()]
    return named + [path for name, value in below for path in paths(value, name + ".")]


REQUIRED = [
    path for path in paths(json.loads(sidecar_config([])))
    if path not in ABSENT_ON_BOTH and "kinds." not in path
]  # fmt: skip
WIRE_REQUIRED = [
    line.partition("=")[0] for line in WIRE_SETTINGS.splitlines() if not line.startswith("parties")
]
MISSING = object()


def changed(path: str, value: Any = MISSING) -> dict[str, Any]:
    """The configuration with another value of one key, or without the key."""
    config: dict[str, Any] = json.loads(sidecar_config([]))
    *parents, name = path.split(".")
    node: Any = config
    for parent in parents:
        node = node[int(parent) if parent.isdigit() else parent]
    node.pop(name, None) if value is MISSING else node.update({name: value})
    return config


def check_rejected_on_reload(path: str, config: dict[str, Any], caplog: pytest.LogCaptureFixture) -> None:
    """SIGHUP with a broken file changes nothing, and one line names the key."""
    with SidecarHarness() as harness:
        node = harness.node
        former, balancer, address = node.config, node.driver.balancer, node.discovery.address
        in_force = (balancer.offerings, balancer.permits, balancer.cold_budget, balancer.quotas)
        config.setdefault("discovery", "127.0.0.1:9")
        node.read_config = lambda: parse_configuration(json.dumps(config).encode())
        caplog.clear()
        node.reload()
        assert [record.message for record in caplog.records] == ["new configuration rejected"]
        assert path.rpartition(".")[2] in str(vars(caplog.records[0])["reason"])
        assert node.config is former and node.discovery.address == address
        assert in_force == (balancer.offerings, balancer.permits, balancer.cold_budget, balancer.quotas)


def test_a_keyed_class_without_its_group_is_not_given_the_loosest_one(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Review case 2: keyed requests ran in two zones after SIGHUP with a file that lacked `group`."""
    config = changed(f"{POST}.group")
    check_rejected_on_reload(f"{POST}.group", config, caplog)
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config))
    result = CliRunner().invoke(app, ["check", "--config", str(file)])
    assert result.exit_code == 2 and "offerings.1.group is missing" in result.output


@pytest.mark.parametrize("path", REQUIRED)
def test_a_file_short_of_one_key_leaves_the_old_settings_in_force(
    path: str, caplog: pytest.LogCaptureFixture
) -> None:
    config = changed(path)
    if path == "discovery":
        with pytest.raises(ValueError, match="discovery"):
            parse_configuration(json.dumps(config).encode())
    else:
        check_rejected_on_reload(path, config, caplog)


@pytest.mark.parametrize(
    ("path", "value"), [(path, value) for path, values in ODD_VALUES.items() for value in values]
)
def test_a_file_with_an_odd_value_leaves_the_old_settings_in_force(
    path: str, value: Any, caplog: pytest.LogCaptureFixture
) -> None:
    check_rejected_on_reload(path, changed(path, value), caplog)


@pytest.mark.parametrize("key", WIRE_REQUIRED)
def test_simulated_settings_short_of_one_key_are_turned_down(key: str) -> None:
    """The only key of a section is named by its section, and the count of a list by the list."""
    lines = [line for line in WIRE_SETTINGS.splitlines() if line.partition("=")[0] != key]
    section, _, name = key.rpartition(".")
    named = section if name in ("count", "cross_zone", "fields") else name
    with pytest.raises(SettingsError, match=named):
        balancer_arguments(read_settings("\n".join(lines)))


@pytest.mark.parametrize("path", ABSENT_ON_BOTH)
def test_keys_for_keyed_classes_may_be_absent_elsewhere(path: str) -> None:
    config = parse_configuration(json.dumps(changed(path)).encode())
    terms = balancer_arguments(config.settings)["offerings"]
    assert terms[1].effect == LABELLED and terms[1].deduplication_scope == SAME_ZONE
    wire = WIRE_SETTINGS.replace("guarded", "single_shot")
    lines = [line for line in wire.splitlines() if not line.startswith(("offerings.0.group", "parties"))]
    balancer_arguments(read_settings("\n".join(lines)))


def test_the_age_of_a_polled_list_may_be_absent_where_lists_are_pushed() -> None:
    config = changed("settings.rules.ask_within")
    config["settings"]["discovery"] = "push"
    parsed = parse_configuration(json.dumps(config).encode())
    options = balancer_arguments(parsed.settings)["permits"]
    assert options.max_list_age_ns == 50_000_000, "a grace of zero is none: the least age that is in use"
    wire = WIRE_SETTINGS.replace("=ask", "=push").replace("rules.ask_within=10.0\n", "")
    assert balancer_arguments(read_settings(wire))["permits"].max_list_age_ns == 1_000_000_000


def test_upstreams_without_a_block_share_no_cell() -> None:
    """By a common default a keyed request could be repeated at an upstream that doesn't know its key."""
    upstreams = Upstreams(lambda: 0, ["a"], ["m"])
    lines = [list_line(f"s-{number}") for number in range(3)]
    for line in lines[:2]:
        del line["block"]
    listing = parse_configuration(sidecar_config(lines)).known
    cells = [entry.cell for entry in upstreams.apply_listing(listing)]
    assert len(set(cells)) == 3 and cells[2] == 0

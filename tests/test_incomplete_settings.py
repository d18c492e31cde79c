"""Settings that lack a key or hold an odd value must not loosen what a sidecar promises."""

import json
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from maddercart.balancer_settings import SettingsError, balancer_arguments
from maddercart.cli import app
from maddercart.interface import MILLISECOND, SECOND
from maddercart.sidecar.configuration import parse_configuration
from maddercart.sidecar.upstreams import Upstreams
from maddercart.wirehost.settings import read_settings
from tests.helpers import WIRE_SETTINGS, SidecarHarness, list_line, sidecar_config

MISSING = object()
KEYED, RULES = "settings.offerings.1", "settings.rules"
MAY_BE_ABSENT = [f"settings.offerings.{n}.{key}" for n in (0, 2) for key in ("group", "window")]
ODD_VALUES: dict[str, list[Any]] = {
    f"{KEYED}.group": ["", "site", None], f"{KEYED}.window": [-1.0, None, 1e9],
    f"{KEYED}.semantics": ["keyed"], f"{KEYED}.hard_stop": [0.0, -1.0], f"{KEYED}.agreed_time": [0.0, -1.0],
    f"{KEYED}.confined_to": [None, ["nowhere"]], f"{KEYED}.kinds_open": [None, ["nothing"]],
    "settings.limits.most_dispatches": [0, -1, 1.5], "settings.limits.connect_timeout": [0.0],
    "settings.limits.idle_close": [0.0], "settings.limits.cancel": [None, 1],
    "settings.limits.max_retry_after": [-1.0], f"{RULES}.ask_within": [0.0, None],
    f"{RULES}.stop_sending_within": [-1.0, None], f"{RULES}.cold_from": [1.5, -0.1],
    f"{RULES}.ramp_time": [0.0], f"{RULES}.overload_for": [0.0], f"{RULES}.fall_multiple": [0.0, -1.0],
    f"{RULES}.removal_not_binding": [None, 1], "settings.group_size": [0, -1], "settings.self_index": [1, -1],
    "settings.zone": [2, -1], "settings.discovery": ["", "pull"], "settings.zones": [None, ["a", "a"]],
    "limits.sockets": [0], "limits.memory_mb": [0.0, -1.0], "seed": ["", "x"], "discovery": ["nowhere"],
}  # fmt: skip


def paths(tree: Any, prefix: str = "") -> list[str]:
    """The paths of all keys of a configuration, except for those below the known list."""
    found = []
    for name, value in tree.items():
        below = {}
        if isinstance(value, dict) and name != "known":
            below = {name: value}
        elif isinstance(value, list):
            below = {f"{name}.{number}": item for number, item in enumerate(value) if isinstance(item, dict)}
        found.append(prefix + name)
        found += [path for key, item in below.items() for path in paths(item, f"{prefix}{key}.")]
    return found


BROKEN = [(path, MISSING) for path in paths(json.loads(sidecar_config([]))) if path not in MAY_BE_ABSENT]
BROKEN += [(path, value) for path, values in ODD_VALUES.items() for value in values]


def changed(path: str, value: Any = MISSING) -> bytes:
    """The configuration with another value of one key, or without the key."""
    config: dict[str, Any] = json.loads(sidecar_config([]))
    *parents, name = path.split(".")
    node: Any = config
    for parent in parents:
        node = node[int(parent) if parent.isdigit() else parent]
    node.pop(name, None) if value is MISSING else node.update({name: value})
    return json.dumps(config).encode()


@pytest.mark.parametrize(("path", "value"), BROKEN)
def test_a_broken_file_leaves_the_old_settings_in_force_and_check_says_the_same(
    path: str, value: Any, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Review case 2: keyed requests ran in two zones after SIGHUP with a file that lacked `group`."""
    (file := tmp_path / "config.json").write_bytes(changed(path, value))
    with SidecarHarness() as harness:
        node, balancer = harness.node, harness.node.driver.balancer
        former, address = node.config, node.discovery.address
        in_force = (balancer.offerings, balancer.permits, balancer.cold_budget, balancer.quotas)
        node.read_config = lambda: parse_configuration(file.read_bytes())
        caplog.clear()
        node.reload()
        assert [record.message for record in caplog.records] == ["new configuration rejected"]
        reason, name = str(vars(caplog.records[0])["reason"]), path.rpartition(".")[2]
        assert node.config is former and node.discovery.address == address
        assert in_force == (balancer.offerings, balancer.permits, balancer.cold_budget, balancer.quotas)
    checked = CliRunner().invoke(app, ["check", "--config", str(file)])
    assert checked.exit_code == 2 and name in reason and reason in checked.output


@pytest.mark.parametrize("line", [line for line in WIRE_SETTINGS.splitlines() if "parties" not in line])
def test_simulated_settings_short_of_one_key_are_rejected(line: str) -> None:
    """The only key of a section is named by its section, and the count of a list by the list."""
    section, _, name = line.partition("=")[0].rpartition(".")
    with pytest.raises(SettingsError, match=section if name in ("count", "cross_zone", "fields") else name):
        balancer_arguments(read_settings(WIRE_SETTINGS.replace(line + "\n", "")))


@pytest.mark.parametrize("path", MAY_BE_ABSENT)
def test_keys_for_keyed_classes_may_be_absent_elsewhere(path: str) -> None:
    assert parse_configuration(changed(path))
    wire = WIRE_SETTINGS.replace("guarded", "single_shot").replace("parties.count=0\n", "")
    balancer_arguments(read_settings(wire.replace("offerings.0.group=all\n", "")))


def test_the_age_of_a_polled_list_may_be_absent_where_lists_are_pushed() -> None:
    """A grace of zero does not mean that the list may have any age: the least age in use counts."""
    text = changed(f"{RULES}.ask_within").replace(b'"ask"', b'"push"')
    permits = balancer_arguments(parse_configuration(text).settings)["permits"]
    assert permits.max_list_age_ns == 50 * MILLISECOND
    wire = WIRE_SETTINGS.replace("=ask", "=push").replace("rules.ask_within=10.0\n", "")
    assert balancer_arguments(read_settings(wire))["permits"].max_list_age_ns == SECOND


def test_upstreams_without_a_block_share_no_cell() -> None:
    """By a common default a keyed request could be repeated at an upstream that doesn't know its key."""
    lines = [list_line(f"s-{number}") for number in range(3)]
    del lines[0]["block"], lines[1]["block"]
    listing = parse_configuration(sidecar_config(lines)).known
    cells = [entry.cell for entry in Upstreams(lambda: 0, ["a"], ["m"]).apply_listing(listing)]
    assert len(set(cells)) == 3 and cells[2] == 0

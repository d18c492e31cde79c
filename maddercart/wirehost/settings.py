"""The simulator's settings: lines of `path=value`, converted to the same type as a sidecar's settings."""

from typing import Any

import msgspec

from maddercart.balancer_settings import SettingsError
from maddercart.messages.config import Settings

# Indices into `Report`.
REPORT_FIELDS = {"active": 0, "waiting": 1, "avg_ms": 2, "rps": 3}
# Written on one line as values separated by commas, or as an empty line.
LISTS = frozenset({"zones", "kinds", "fields", "parties", "confined_to", "kinds_open"})


def read_settings(text: str) -> Settings:
    """Raises `SettingsError`."""
    tree: dict[str, Any] = {}
    for path, _, value in (line.strip().partition("=") for line in text.splitlines() if "=" in line):
        *parents, name = path.split(".")
        node = tree
        for parent in parents:
            node = node.setdefault(parent, {})
            if not isinstance(node, dict):
                raise SettingsError(f"setting {path} lies below one that has a value of its own")
        node[name] = [item for item in value.split(",") if item] if name in LISTS else value
    try:
        return msgspec.convert(merge_lists(tree), Settings, strict=False)
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError(f"settings cannot be read: {error}") from error


def merge_lists(tree: dict[str, Any], prefix: str = "") -> Any:
    """Converts each dict with a key `count` to a list, whose items are under the keys 0, 1 and so forth.

    `prefix` begins the names of the settings in the tree. Raises `SettingsError` if an item is absent, and
    `ValueError` if a count is not a number.
    """
    if "count" in tree:
        numbers = [str(number) for number in range(int(tree["count"]))]
        if missing := [number for number in numbers if not isinstance(tree.get(number), dict)]:
            raise SettingsError(f"setting {prefix}{missing[0]} is missing")
        return [merge_lists(tree[number], f"{prefix}{number}.") for number in numbers]
    return {
        name: merge_lists(value, f"{prefix}{name}.") if isinstance(value, dict) else value
        for name, value in tree.items()
    }


def report_order(settings: Settings) -> tuple[int, ...]:
    """Returns the index into `Report` of each value of a load report, -1 for values that are not used."""
    return tuple(REPORT_FIELDS.get(name, -1) for name in settings.feedback.fields)

"""The wire's settings: pairs of path=value, read into the same typed value as a sidecar's configuration."""

from typing import Any

import msgspec

from maddercart.messages.config import Settings
from maddercart.translation import SettingsError

REPORT_FIELDS = {"active": 0, "waiting": 1, "avg_ms": 2, "rps": 3}
# In one line: of plain values, or with none.
LISTS = frozenset({"zones", "kinds", "fields", "parties", "confined_to", "kinds_open"})


def read_settings(text: str) -> Settings:
    tree: dict[str, Any] = {}
    for path, _, value in (line.strip().partition("=") for line in text.splitlines() if "=" in line):
        *above, name = path.split(".")
        at = tree
        for step in above:
            at = at.setdefault(step, {})
        at[name] = [word for word in value.split(",") if word] if name in LISTS else value
    try:
        return msgspec.convert(gather(tree), Settings, strict=False)
    except (msgspec.ValidationError, KeyError, ValueError) as error:
        raise SettingsError(f"settings cannot be read: {error}") from error


def gather(tree: dict[str, Any]) -> Any:
    """A list of objects comes as its length under `count` and its items under 0, 1 and so forth."""
    if "count" in tree:
        return [gather(tree[str(n)]) for n in range(int(tree["count"]))]
    return {name: gather(value) if isinstance(value, dict) else value for name, value in tree.items()}


def report_order(settings: Settings) -> tuple[int, ...]:
    """The place in `Report` of each value of a load report; -1 for one that we have no use for."""
    return tuple(REPORT_FIELDS.get(name, -1) for name in settings.feedback.fields)

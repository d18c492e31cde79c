"""The wire's settings, turned once into the arguments of a `Balancer`."""

from collections.abc import Callable, Mapping
from typing import Any

from maddercart import interface as i

EFFECTS = {"free": i.REDOABLE, "guarded": i.LABELLED, "single_shot": i.IRREVERSIBLE}
GROUPS = {"all": i.EVERYWHERE, "zone": i.SAME_ZONE, "cell": i.SAME_CELL}
REPORT_FIELDS = {"active": 0, "waiting": 1, "avg_ms": 2, "rps": 3}


class SettingsError(ValueError):
    """A setting is missing, or is not what it should be."""


class Settings:
    """The path=value pairs, read by type. A path without a default must be there."""

    def __init__(self, text: str) -> None:
        self.pairs: Mapping[str, str] = dict(
            line.strip().split("=", 1) for line in text.splitlines() if "=" in line
        )

    def read(self, path: str, convert: Callable[[str], Any], default: Any = None) -> Any:
        raw = self.pairs.get(path)
        if raw is None:
            if default is None:
                raise SettingsError(f"setting {path} is missing")
            return default
        try:
            return convert(raw)
        except (ValueError, KeyError, OverflowError) as error:
            raise SettingsError(f"setting {path} cannot be read: {raw!r}") from error

    def number(self, path: str, default: float | None = None) -> float:
        return float(self.read(path, _finite, default))

    def count(self, path: str, default: int | None = None) -> int:
        return int(self.read(path, int, default))

    def flag(self, path: str, default: bool) -> bool:
        return bool(self.read(path, {"true": True, "false": False}.__getitem__, default))

    def nanos(self, path: str, default: float | None = None) -> int:
        return round(self.number(path, default) * i.SECOND)

    def names(self, path: str) -> list[str]:
        return [name for name in self.pairs.get(path, "").split(",") if name]


def _finite(raw: str) -> float:
    value = float(raw)
    if not abs(value) < float("inf"):
        raise ValueError(raw)
    return value


def report_order(settings: Settings) -> tuple[int, ...]:
    """The place in `Report` of each value of a load report; -1 for one that we have no use for."""
    return tuple(REPORT_FIELDS.get(name, -1) for name in settings.names("feedback.fields"))


def balancer_arguments(settings: Settings) -> dict[str, Any]:
    """The arguments of `Balancer`, but for the clock and the seed."""
    s = settings
    offerings = []
    for n in range(s.count("offerings.count")):
        at = f"offerings.{n}."
        offerings.append(
            i.Offering(
                effect=s.read(at + "semantics", EFFECTS.__getitem__),
                group=s.read(at + "group", GROUPS.__getitem__, i.EVERYWHERE),
                window=s.nanos(at + "window", 0.0),
                agreed=s.nanos(at + "agreed_time"),
                earnings=s.number(at + "earnings", 1.0),
                late_earnings=s.number(at + "tardy_earnings", 0.0),
            )
        )
    come_back = s.nanos("limits.max_retry_after", 0.0) if s.flag("limits.retry_after", False) else 0
    return {
        "place": i.Place(
            number=s.count("self_index", 0),
            sidecars=max(1, s.count("group_size", 1)),
            zone=s.count("zone", 0),
            zones=max(1, len(s.names("zones"))),
        ),
        "offerings": offerings,
        "cold": i.ColdRule(
            start=s.number("rules.cold_from"),
            ramp=s.nanos("rules.ramp_time"),
            multiple=s.number("rules.fall_multiple"),
            window=s.nanos("rules.overload_for"),
        ),
        "permits": i.Permits(
            dispatches=s.count("limits.most_dispatches"),
            cancel=s.flag("limits.cancel", False),
            probes=s.flag("limits.probing", False),
            come_back=come_back,
            crossing=s.number("charges.cross_zone", 0.0),
            follow=s.pairs.get("discovery") == "ask",
        ),
    }

"""Converts the settings of a deployment into the arguments of a `Balancer`, for both hosts."""

from collections.abc import Sequence
from typing import Any, TypeVar

from msgspec import UnsetType

from maddercart import interface as i
from maddercart.messages.config import OfferingTerms, Rules, Settings

EFFECTS = {"free": i.REDOABLE, "guarded": i.LABELLED, "single_shot": i.IRREVERSIBLE}
# What the size of an upstream on the list means.
WEIGHT_KINDS = {"none": 0, "nominal": 1, "rough": 2, "live": 3}
DISCOVERY_MODES = {"ask": 0, "push": 1}
# The largest value of any number, and of a duration: more than about eleven days is taken for a mistake.
MAX_NUMBER, MAX_SECONDS = 1e12, 1e6
# The smallest value of a duration that must not be zero.
MIN_SECONDS = 1e-6
DEDUPLICATION_SCOPES = {"all": i.EVERYWHERE, "zone": i.SAME_ZONE, "cell": i.SAME_CELL}
UNUSED_GROUP = "cell"  # stands for the group of a class that is not keyed, where the settings give none
MIN_MULTIPLE = 1e-6  # of the slow-start rule

Value = TypeVar("Value")


class SettingsError(ValueError):
    """A setting is missing or invalid."""


def nanos(name: str, seconds: float, minimum_seconds: float = 0.0) -> int:
    """A duration setting in nanoseconds. Raises `SettingsError` if it is too short, too long or NaN."""
    return round(checked_number(name, seconds, "duration", minimum_seconds, MAX_SECONDS) * i.SECOND)


def positive_nanos(name: str, seconds: float) -> int:
    """As `nanos`, for a duration that must be over zero."""
    return nanos(name, seconds, MIN_SECONDS)


def required(name: str, value: Value | UnsetType) -> Value:
    """The value of a key that other settings make compulsory. Raises `SettingsError` if it is absent."""
    if isinstance(value, UnsetType):
        raise SettingsError(f"setting {name} is missing")
    return value


def checked_number(
    name: str, value: float, what: str, minimum: float = 0.0, maximum: float = MAX_NUMBER
) -> float:
    """The value of a setting. Raises `SettingsError` if it is out of range or not a number (NaN)."""
    if not minimum <= value <= maximum:
        raise SettingsError(f"setting {name} is not a valid {what}: {value!r}")
    return value


def one_of(name: str, table: dict[str, int], word: str) -> int:
    if word not in table:
        raise SettingsError(f"setting {name} must be one of {', '.join(table)}, not {word!r}")
    return table[word]


def numbers_of(
    name: str, words: Sequence[str | int] | UnsetType, names: Sequence[str]
) -> frozenset[int] | None:
    """The numbers of zones or kinds, which the sidecar's settings give by name and the simulator's by number.

    None, for an absent key, means no restriction; an empty list permits none.
    """
    if isinstance(words, UnsetType):
        return None
    number_by_name = {known: number for number, known in enumerate(names)}
    numbers = set()
    for word in map(str, words):
        number = number_by_name[word] if word in number_by_name else int(word) if word.isdecimal() else -1
        if not 0 <= number < max(1, len(names)):
            raise SettingsError(f"setting {name} must name some of {', '.join(names)}, not {word!r}")
        numbers.add(number)
    return frozenset(numbers)


def read_offering(prefix: str, terms: OfferingTerms, settings: Settings) -> i.Offering:
    """An offering from its settings, whose names begin with `prefix`."""
    effect = one_of(prefix + "semantics", EFFECTS, terms.semantics)
    group, window = terms.group, terms.window
    if effect != i.LABELLED:  # both keys are for keyed classes only
        group = UNUSED_GROUP if isinstance(group, UnsetType) else group
        window = 0.0 if isinstance(window, UnsetType) else window
    positive_nanos(prefix + "hard_stop", terms.hard_stop)
    return i.Offering(
        effect=effect,
        deduplication_scope=one_of(prefix + "group", DEDUPLICATION_SCOPES, required(prefix + "group", group)),
        deduplication_window_ns=nanos(prefix + "window", required(prefix + "window", window)),
        agreed_time_ns=positive_nanos(prefix + "agreed_time", terms.agreed_time),
        earnings=checked_number(prefix + "earnings", terms.earnings, "value"),
        late_earnings=checked_number(prefix + "tardy_earnings", terms.tardy_earnings, "value"),
        zones=numbers_of(prefix + "confined_to", terms.confined_to, settings.zones),
        kinds=numbers_of(prefix + "kinds_open", terms.kinds_open, settings.kinds),
    )


def read_place(settings: Settings) -> i.SidecarPosition:
    """The position of the sidecar in its tier, by which the budgets of cold upstreams are dealt out."""
    zones = max(1, len(settings.zones))
    if not 0 <= settings.zone < zones:
        raise SettingsError(f"setting zone must be a zone number below {zones}, not {settings.zone}")
    checked_number("group_size", settings.group_size, "count", minimum=1)
    if not 0 <= settings.self_index < settings.group_size:
        raise SettingsError(
            f"setting self_index must be a number below group_size, {settings.group_size}, "
            f"not {settings.self_index}"
        )
    return i.SidecarPosition(
        number=settings.self_index, sidecar_count=settings.group_size, zone=settings.zone, zone_count=zones
    )


def read_slow_start(rules: Rules) -> i.SlowStartRule:
    """The slow-start rule. Without a ramp, a window or a multiple it would not limit anything, or all."""
    return i.SlowStartRule(
        start_share=checked_number("rules.cold_from", rules.cold_from, "share", maximum=1.0),
        ramp_ns=positive_nanos("rules.ramp_time", rules.ramp_time),
        work_multiple=checked_number(
            "rules.fall_multiple", rules.fall_multiple, "multiple", minimum=MIN_MULTIPLE
        ),
        window_ns=positive_nanos("rules.overload_for", rules.overload_for),
    )


# The least age of the list after which it may count as stale. Asked for: a fleet must not call a discovery
# service that is down without a pause. Pushed: the smallest grace of a drain that is in use, as changes count
# as received once the discovery agent is back.
MIN_ASKED_AGE_NS, MIN_PUSHED_AGE_NS = i.SECOND // 2, 50 * i.MILLISECOND


def max_list_age(settings: Settings) -> int:
    """The greatest permitted age of the list (ns).

    Where lists are pushed, a change counts as received even if it has not been read, so that only the grace
    of a drain remains.
    """
    rules = settings.rules
    grace = nanos("rules.stop_sending_within", rules.stop_sending_within)
    if settings.discovery == "push":
        return max(grace, MIN_PUSHED_AGE_NS)
    ask_within = positive_nanos("rules.ask_within", required("rules.ask_within", rules.ask_within))
    return max(ask_within, MIN_ASKED_AGE_NS)


def balancer_arguments(settings: Settings) -> dict[str, Any]:
    """The arguments of `Balancer`, except the clock and the seed. Raises `SettingsError`."""
    limits, rules = settings.limits, settings.rules
    if not settings.offerings:
        raise SettingsError("setting offerings is empty")
    one_of("discovery", DISCOVERY_MODES, settings.discovery)
    for name in ("zones", "kinds"):
        if len(set(names := getattr(settings, name))) < len(names):
            raise SettingsError(f"setting {name} has a duplicate name")
    positive_nanos("limits.idle_close", limits.idle_close)
    positive_nanos("limits.connect_timeout", limits.connect_timeout)
    max_retry_delay_ns = nanos("limits.max_retry_after", limits.max_retry_after)
    return {
        "place": read_place(settings),
        "offerings": [
            read_offering(f"offerings.{n}.", terms, settings) for n, terms in enumerate(settings.offerings)
        ],
        "cold": read_slow_start(rules),
        "quotas": [
            checked_number(f"parties.{n}.quota_per_s", party.quota_per_s, "rate")
            for n, party in enumerate(settings.parties)
        ],
        "permits": i.BalancerOptions(
            max_dispatches=int(
                checked_number("limits.most_dispatches", limits.most_dispatches, "count", minimum=1)
            ),
            may_cancel=limits.cancel,
            may_probe=limits.probing,
            max_retry_delay_ns=max_retry_delay_ns if limits.retry_after else 0,
            sizes_follow_load=one_of("weight_kind", WEIGHT_KINDS, settings.weight_kind)
            == WEIGHT_KINDS["live"],
            streams_per_connection=int(
                checked_number("limits.max_streams", limits.max_streams, "count", minimum=1)
            ),
            cross_zone_cost=checked_number("charges.cross_zone", settings.charges.cross_zone, "price"),
            subscribes=settings.discovery == "ask",
            max_list_age_ns=max_list_age(settings),
            only_draining_binds=rules.removal_not_binding,
        ),
    }

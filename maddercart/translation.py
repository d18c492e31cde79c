"""The settings of a deployment, turned once into the arguments of a `Balancer`; both hosts use this."""

from collections.abc import Sequence
from typing import Any

from maddercart import interface as i
from maddercart.messages.config import OfferingTerms, Settings

EFFECTS = {"free": i.REDOABLE, "guarded": i.LABELLED, "single_shot": i.IRREVERSIBLE}
WEIGHTS = {"none": 0, "nominal": 1, "rough": 2, "live": 3}  # what the list's figure for an upstream is
MOST, MOST_SECONDS = 1e12, 1e6  # of any figure, and of a length of time: more than ten days is a mistake
GROUPS = {"all": i.EVERYWHERE, "zone": i.SAME_ZONE, "cell": i.SAME_CELL}


class SettingsError(ValueError):
    """A setting is missing, or is not what it should be."""


def nanos(name: str, seconds: float) -> int:
    return round(number(name, seconds, "length of time", most=MOST_SECONDS) * i.SECOND)


def number(name: str, value: float, what: str, least: float = 0.0, most: float = MOST) -> float:
    """Neither a sign, nor no number, nor a size beyond sense reaches the decisions."""
    if not least <= value <= most:
        raise SettingsError(f"setting {name} is no {what}: {value!r}")
    return value


def one_of(name: str, table: dict[str, int], word: str) -> int:
    if word not in table:
        raise SettingsError(f"setting {name} is none of {', '.join(table)}: {word!r}")
    return table[word]


def placed(name: str, words: Sequence[str | int] | None, names: Sequence[str]) -> frozenset[int] | None:
    """Places of zones or kinds, as list entries name them: on sockets by name, on the wire by number. An
    empty list is open to none, not to all."""
    if words is None:
        return None
    places = {known: place for place, known in enumerate(names)}
    made = set()
    for word in map(str, words):
        place = places[word] if word in places else int(word) if word.isdecimal() else -1
        if not 0 <= place < max(1, len(names)):
            raise SettingsError(f"setting {name} names none of {', '.join(names)}: {word!r}")
        made.add(place)
    return frozenset(made)


def offering(at: str, terms: OfferingTerms, settings: Settings) -> i.Offering:
    return i.Offering(
        effect=one_of(at + "semantics", EFFECTS, terms.semantics),
        group=one_of(at + "group", GROUPS, terms.group),
        window=nanos(at + "window", terms.window),
        agreed=nanos(at + "agreed_time", terms.agreed_time),
        earnings=number(at + "earnings", terms.earnings, "worth"),
        late_earnings=number(at + "tardy_earnings", terms.tardy_earnings, "worth"),
        zones=placed(at + "confined_to", terms.confined_to, settings.zones),
        kinds=placed(at + "kinds_open", terms.kinds_open, settings.kinds),
    )


# A fleet whose discovery is down must not ask it without a pause. Where lists are pushed it is the smallest
# grace there is: what an agent that is back has to tell counts from then on.
STALE_LEAST, PUSHED_LEAST = i.SECOND // 2, 50 * i.MILLISECOND


def stale(settings: Settings) -> int:
    """Where lists are pushed, what is not read yet counts as told, so that the grace is all there is; without
    a figure nobody is held to one."""
    pushed, rules = settings.discovery == "push", settings.rules
    ask = nanos("rules.ask_within", rules.ask_within)
    grace = nanos("rules.stop_sending_within", rules.stop_sending_within)
    held_to = grace if pushed else ask
    least = PUSHED_LEAST if pushed else STALE_LEAST
    return max(held_to, least) if held_to else i.Permits._field_defaults["stale"]


def balancer_arguments(settings: Settings) -> dict[str, Any]:
    """The arguments of `Balancer`, but for the clock and the seed."""
    limits, rules, zones = settings.limits, settings.rules, max(1, len(settings.zones))
    if not settings.offerings:
        raise SettingsError("setting offerings is empty")
    if not 0 <= settings.zone < zones:
        raise SettingsError(f"setting zone is none of the {zones} zones: {settings.zone}")
    for name in ("zones", "kinds"):
        if len(set(names := getattr(settings, name))) < len(names):
            raise SettingsError(f"setting {name} names one twice")
    nanos("limits.idle_close", limits.idle_close)
    nanos("limits.connect_timeout", limits.connect_timeout)
    come_back = nanos("limits.max_retry_after", limits.max_retry_after) if limits.retry_after else 0
    return {
        "place": i.Place(
            number=settings.self_index,
            sidecars=max(1, settings.group_size),
            zone=settings.zone,
            zones=zones,
        ),
        "offerings": [
            offering(f"offerings.{n}.", terms, settings) for n, terms in enumerate(settings.offerings)
        ],
        "cold": i.ColdRule(
            start=number("rules.cold_from", rules.cold_from, "share", most=1.0),
            ramp=nanos("rules.ramp_time", rules.ramp_time),
            multiple=number("rules.fall_multiple", rules.fall_multiple, "multiple"),
            window=nanos("rules.overload_for", rules.overload_for),
        ),
        "quotas": [
            number(f"parties.{n}.quota_per_s", party.quota_per_s, "rate")
            for n, party in enumerate(settings.parties)
        ],
        "permits": i.Permits(
            dispatches=int(number("limits.most_dispatches", limits.most_dispatches, "count", least=1)),
            cancel=limits.cancel,
            probes=limits.probing,
            come_back=come_back,
            moving=one_of("weight_kind", WEIGHTS, settings.weight_kind) == WEIGHTS["live"],
            streams=int(number("limits.max_streams", limits.max_streams, "count", least=1)),
            crossing=number("charges.cross_zone", settings.charges.cross_zone, "price"),
            follow=settings.discovery == "ask",
            stale=stale(settings),
            drains=rules.removal_not_binding,
        ),
    }

"""The settings of a deployment, turned once into the arguments of a `Balancer`; both hosts use this."""

from math import isfinite
from typing import Any

from maddercart import interface as i
from maddercart.messages.config import OfferingTerms, Party, Settings

EFFECTS = {"free": i.REDOABLE, "guarded": i.LABELLED, "single_shot": i.IRREVERSIBLE}
WEIGHTS = {"none": 0, "nominal": 1, "rough": 2, "live": 3}  # what the list's figure for an upstream is
GROUPS = {"all": i.EVERYWHERE, "zone": i.SAME_ZONE, "cell": i.SAME_CELL}


class SettingsError(ValueError):
    """A setting is missing, or is not what it should be."""


def nanos(name: str, seconds: float) -> int:
    if not isfinite(seconds):
        raise SettingsError(f"setting {name} is no length of time: {seconds!r}")
    return round(seconds * i.SECOND)


def one_of(name: str, table: dict[str, int], word: str) -> int:
    if word not in table:
        raise SettingsError(f"setting {name} is none of {', '.join(table)}: {word!r}")
    return table[word]


def quota(at: str, party: Party) -> float:
    if not 0 <= party.quota_per_s < float("inf"):
        raise SettingsError(f"setting {at}quota_per_s is no rate: {party.quota_per_s!r}")
    return party.quota_per_s


def offering(at: str, terms: OfferingTerms) -> i.Offering:
    return i.Offering(
        effect=one_of(at + "semantics", EFFECTS, terms.semantics),
        group=one_of(at + "group", GROUPS, terms.group),
        window=nanos(at + "window", terms.window),
        agreed=nanos(at + "agreed_time", terms.agreed_time),
        earnings=terms.earnings,
        late_earnings=terms.tardy_earnings,
    )


def balancer_arguments(settings: Settings) -> dict[str, Any]:
    """The arguments of `Balancer`, but for the clock and the seed."""
    limits, rules = settings.limits, settings.rules
    come_back = nanos("limits.max_retry_after", limits.max_retry_after) if limits.retry_after else 0
    return {
        "place": i.Place(
            number=settings.self_index,
            sidecars=max(1, settings.group_size),
            zone=settings.zone,
            zones=max(1, len(settings.zones)),
        ),
        "offerings": [offering(f"offerings.{n}.", terms) for n, terms in enumerate(settings.offerings)],
        "cold": i.ColdRule(
            start=rules.cold_from,
            ramp=nanos("rules.ramp_time", rules.ramp_time),
            multiple=rules.fall_multiple,
            window=nanos("rules.overload_for", rules.overload_for),
        ),
        "quotas": [quota(f"parties.{n}.", party) for n, party in enumerate(settings.parties)],
        "permits": i.Permits(
            dispatches=limits.most_dispatches,
            cancel=limits.cancel,
            probes=limits.probing,
            come_back=come_back,
            moving=one_of("weight_kind", WEIGHTS, settings.weight_kind) == WEIGHTS["live"],
            streams=limits.max_streams,
            crossing=settings.charges.cross_zone,
            follow=settings.discovery == "ask",
        ),
    }

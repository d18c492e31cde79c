"""The configuration of a sidecar and the settings of its deployment.

Field names are JSON keys. Times and rates are in seconds and per second, as they are written in the file. A
field has a default only if the platform's pages let its key be absent: a file that lacks any other key is
incomplete, and a default would put terms in force that nobody has given.
"""

import msgspec
from msgspec import UNSET, Struct, UnsetType

from maddercart.messages.upstreams import Listing


class Charges(Struct, frozen=True):
    cross_zone: float


class Feedback(Struct, frozen=True):
    fields: list[str]


class Limits(Struct, frozen=True):
    """The `limits` section of the settings."""

    most_dispatches: int
    cancel: bool
    probing: bool
    retry_after: bool
    max_retry_after: float
    connect_timeout: float
    idle_close: float
    may_tell: bool  # whether sidecars may send datagrams to each other
    max_streams: int = 1


class OfferingTerms(Struct, frozen=True):
    """The terms of one request class.

    `group` and `window` may be absent unless the class is keyed (`guarded`). `confined_to` and `kinds_open`
    list the only zones and machine kinds that its queries may be sent to; all if absent, none if empty.
    """

    name: str
    semantics: str
    agreed_time: float
    hard_stop: float
    earnings: float
    tardy_earnings: float
    group: str | UnsetType = UNSET
    window: float | UnsetType = UNSET
    confined_to: list[str | int] | UnsetType = UNSET
    kinds_open: list[str | int] | UnsetType = UNSET


class Party(Struct, frozen=True):
    """A tenant.

    Queries beyond its quota, which counts over all sidecars, have a low value. A quota of 0 means that none
    is given.
    """

    quota_per_s: float = 0.0


class Rules(Struct, frozen=True):
    """The `rules` section of the settings.

    `ask_within` is the maximum age of a polled upstream list; it may be absent where lists are pushed.
    `stop_sending_within` is the grace period of a drain. `removal_not_binding` allows queries to an upstream
    that was removed from the list without having been drained.
    """

    cold_from: float
    ramp_time: float
    fall_multiple: float
    overload_for: float
    stop_sending_within: float
    ask_within: float | UnsetType = UNSET
    removal_not_binding: bool = False


class Settings(Struct, frozen=True):
    """The settings of a deployment, which the sidecar and the simulator's adapter share.

    Keys that the load balancer does not use are ignored.
    """

    offerings: list[OfferingTerms]
    limits: Limits
    rules: Rules
    charges: Charges
    feedback: Feedback
    discovery: str
    self_index: int
    group_size: int
    zone: int
    zones: list[str]
    kinds: list[str]
    weight_kind: str = "none"
    parties: list[Party] = []


class MachineLimits(Struct, frozen=True):
    """What the machine grants the process: file descriptors, and megabytes of memory."""

    sockets: int
    memory_mb: float


class Config(Struct, frozen=True):
    """The configuration file of one sidecar."""

    name: str
    listen: str
    discovery: str
    seed: str
    settings: Settings
    known: Listing
    limits: MachineLimits
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""


_config_decoder = msgspec.json.Decoder(Config)


def decode_config(text: bytes) -> Config:
    """Raises `msgspec.DecodeError`, a `ValueError`, if the text is not a valid configuration."""
    return _config_decoder.decode(text)

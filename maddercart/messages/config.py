"""The configuration of a sidecar and the settings of its deployment.

Field names are JSON keys. Times and rates are in seconds and per second, as they are written in the file.
"""

import msgspec
from msgspec import Struct

from maddercart.messages.upstreams import Listing


class Charges(Struct, frozen=True):
    cross_zone: float = 0.0


class Feedback(Struct, frozen=True):
    fields: list[str] = []


class Limits(Struct, frozen=True):
    """The `limits` section of the settings."""

    most_dispatches: int
    cancel: bool = False
    probing: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    connect_timeout: float = 0.25
    idle_close: float = 30.0
    max_streams: int = 1
    may_tell: bool = False  # whether sidecars may send datagrams to each other


class OfferingTerms(Struct, frozen=True):
    """The terms of one request class.

    `confined_to` and `kinds_open` list the only zones and machine kinds that its queries may be sent to; None
    allows all, an empty list none.
    """

    semantics: str
    agreed_time: float
    name: str = ""
    group: str = "all"
    window: float = 0.0
    earnings: float = 1.0
    tardy_earnings: float = 0.0
    hard_stop: float = 0.0
    confined_to: list[str | int] | None = None
    kinds_open: list[str | int] | None = None


class Party(Struct, frozen=True):
    """A tenant.

    Queries beyond its quota, which counts over all sidecars, have a low value. A quota of 0 means that none
    is given.
    """

    quota_per_s: float = 0.0


class Rules(Struct, frozen=True):
    """The `rules` section of the settings.

    `ask_within` is the maximum age of a polled upstream list (0: not given). `stop_sending_within` is the
    grace period of a drain. `removal_not_binding` allows queries to an upstream that was removed from the
    list without having been drained.
    """

    cold_from: float
    ramp_time: float
    fall_multiple: float
    overload_for: float
    ask_within: float = 0.0
    stop_sending_within: float = 0.0
    removal_not_binding: bool = False


class Settings(Struct, frozen=True):
    """The settings of a deployment, which the sidecar and the simulator's adapter share.

    Keys that the load balancer does not use are ignored.
    """

    offerings: list[OfferingTerms]
    limits: Limits
    rules: Rules
    charges: Charges = Charges()
    feedback: Feedback = Feedback()
    discovery: str = ""
    weight_kind: str = "none"
    self_index: int = 0
    group_size: int = 1
    zone: int = 0
    zones: list[str] = []
    kinds: list[str] = []
    parties: list[Party] = []


class MachineLimits(Struct, frozen=True):
    sockets: int = 1024
    memory_mb: float = 192.0


class Config(Struct, frozen=True):
    name: str
    listen: str
    discovery: str
    seed: str
    settings: Settings
    known: Listing
    limits: MachineLimits = MachineLimits()
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""


_config_decoder = msgspec.json.Decoder(Config)


def decode_config(text: bytes) -> Config:
    """Raises `msgspec.DecodeError`, a `ValueError`, if the text is not a valid configuration."""
    return _config_decoder.decode(text)

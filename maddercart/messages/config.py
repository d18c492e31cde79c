"""The configuration of a sidecar and the settings of its deployment."""

import msgspec
from msgspec import Struct

from maddercart.messages.upstreams import Listing


class Charges(Struct, frozen=True):
    cross_zone: float = 0.0


class Feedback(Struct, frozen=True):
    fields: list[str] = []


class Permitted(Struct, frozen=True):
    """The `limits` of the settings."""

    most_dispatches: int
    cancel: bool = False
    probing: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    connect_timeout: float = 0.25
    idle_close: float = 30.0
    max_streams: int = 1
    may_tell: bool = False  # sidecars may send one another datagrams


class OfferingTerms(Struct, frozen=True):
    semantics: str
    agreed_time: float
    name: str = ""
    group: str = "all"
    window: float = 0.0
    earnings: float = 1.0
    tardy_earnings: float = 0.0
    hard_stop: float = 0.0
    confined_to: list[str | int] | None = None  # the only zones that it may be sent to; empty: none
    kinds_open: list[str | int] | None = None  # likewise of machines


class Party(Struct, frozen=True):
    """A tenant; what it sends beyond its quota, over all sidecars, earns little. 0: no quota is told."""

    quota_per_s: float = 0.0


class Rules(Struct, frozen=True):
    cold_from: float
    ramp_time: float
    fall_multiple: float
    overload_for: float
    ask_within: float = 0.0  # how old a list asked for may be; 0: not told
    stop_sending_within: float = 0.0  # the grace of a drain
    removal_not_binding: bool = False  # who is gone without having drained may still be sent to


class Settings(Struct, frozen=True):
    """What both hosts are told of a deployment; what the module has no use for is not read."""

    offerings: list[OfferingTerms]
    limits: Permitted
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


_config = msgspec.json.Decoder(Config)


def read_config(text: bytes) -> Config:
    """Raises `msgspec.DecodeError`, a `ValueError`, if it isn't one."""
    return _config.decode(text)

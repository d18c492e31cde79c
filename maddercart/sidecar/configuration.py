"""Whether a configuration can be used, at the start and again while serving."""

from pathlib import Path
from typing import Any

from maddercart.interface import Permits
from maddercart.messages.config import Config, read_config
from maddercart.net.sockets import address
from maddercart.translation import SettingsError, balancer_arguments, nanos


def arguments(config: Config) -> dict[str, Any]:
    """Raises `SettingsError`. On sockets, whatever the settings allow, the list comes only when asked for, no
    probe exists, and a connection carries one query at a time."""
    made = balancer_arguments(config.settings)
    for n, terms in enumerate(config.settings.offerings):
        nanos(f"offerings.{n}.hard_stop", terms.hard_stop)
    names = [terms.name for terms in config.settings.offerings]
    if len(set(names)) < len(names) or "" in names:
        raise SettingsError("setting offerings has a name twice, or one without a name")
    permits: Permits = made["permits"]
    return made | {"permits": permits._replace(follow=True, probes=False, streams=1)}


def usable(text: bytes) -> Config:
    """Raises `ValueError` for what can't be used."""
    config = read_config(text)
    arguments(config)
    int(config.seed, 16)
    for at in (config.listen, config.discovery):
        address(at)
    if peering(config):
        for at in (config.peer_listen, config.peers_all, *config.peers):
            address(at)
    return config


def peering(config: Config) -> bool:
    """Whether sidecars may send one another datagrams, and are told where."""
    return config.settings.limits.may_tell and bool(config.peer_listen and config.peers_all and config.peers)


def usable_file(path: Path | None) -> Config:
    """Raises `OSError` as well."""
    if path is None:
        raise ValueError("none is named: RELAY_CONFIG is not set")
    return usable(path.read_bytes())

"""Validates a sidecar's configuration, at the start and on reload."""

from pathlib import Path
from typing import Any

from maddercart.balancer_settings import SettingsError, balancer_arguments, nanos
from maddercart.interface import BalancerOptions
from maddercart.messages.config import Config, decode_config
from maddercart.net.sockets import parse_address


def sidecar_balancer_arguments(config: Config) -> dict[str, Any]:
    """The arguments of `Balancer`, but for the clock and the seed. Raises `SettingsError`.

    Some permits are fixed on sockets, whatever the settings allow: the list must be requested, there are no
    probes, and a connection carries one query at a time.
    """
    balancer = balancer_arguments(config.settings)
    for n, terms in enumerate(config.settings.offerings):
        nanos(f"offerings.{n}.hard_stop", terms.hard_stop)
    names = [terms.name for terms in config.settings.offerings]
    if len(set(names)) < len(names) or "" in names:
        raise SettingsError("setting offerings has a duplicate or empty name")
    permits: BalancerOptions = balancer["permits"]
    return balancer | {
        "permits": permits._replace(subscribes=True, may_probe=False, streams_per_connection=1)
    }


def parse_configuration(text: bytes) -> Config:
    """Reads and validates a configuration. Raises `ValueError` if it can't be used."""
    config = decode_config(text)
    sidecar_balancer_arguments(config)
    int(config.seed, 16)
    for endpoint in (config.listen, config.discovery):
        parse_address(endpoint)
    if peering_enabled(config):
        for endpoint in (config.peer_listen, config.peers_all, *config.peers):
            parse_address(endpoint)
    return config


def peering_enabled(config: Config) -> bool:
    """Whether sidecars may send one another datagrams and the addresses for that are set."""
    return config.settings.limits.may_tell and bool(config.peer_listen and config.peers_all and config.peers)


def load_configuration(path: Path | None) -> Config:
    """As `parse_configuration`, and raises `OSError` if the file can't be read."""
    if path is None:
        raise ValueError("no configuration file: RELAY_CONFIG is not set")
    return parse_configuration(path.read_bytes())

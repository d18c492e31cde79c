"""Validates a sidecar's configuration, at the start and on reload."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from maddercart.balancer_settings import SettingsError, balancer_arguments, checked_number
from maddercart.interface import BalancerOptions
from maddercart.messages.config import Config, decode_config
from maddercart.net.sockets import parse_address

MIN_MEMORY_MB = 1.0  # in megabytes


def sidecar_balancer_arguments(config: Config) -> dict[str, Any]:
    """The arguments of `Balancer`, but for the clock and the seed. Raises `SettingsError`.

    Some permits are fixed on sockets, whatever the settings allow: the list must be requested, there are no
    probes, and a connection carries one query at a time.
    """
    balancer = balancer_arguments(config.settings)
    names = [terms.name for terms in config.settings.offerings]
    if len(set(names)) < len(names) or "" in names:
        raise SettingsError("setting offerings has a duplicate or empty name")
    permits: BalancerOptions = balancer["permits"]
    return balancer | {
        "permits": permits._replace(subscribes=True, may_probe=False, streams_per_connection=1)
    }


def parse_configuration(text: bytes) -> Config:
    """Reads and validates a configuration. Raises `ValueError`, which names the key, if it can't be used."""
    config = decode_config(text)
    sidecar_balancer_arguments(config)
    check_process_keys(config)
    return config


def check_process_keys(config: Config) -> None:
    """Checks the keys outside the settings. Raises `SettingsError`."""
    checked_number("limits.sockets", config.limits.sockets, "count", minimum=1)
    checked_number("limits.memory_mb", config.limits.memory_mb, "size", minimum=MIN_MEMORY_MB)
    check_key("seed", config.seed, lambda seed: int(seed, 16))
    check_key("listen", config.listen, parse_address)
    check_key("discovery", config.discovery, parse_address)
    if peering_enabled(config):
        check_key("peer_listen", config.peer_listen, parse_address)
        check_key("peers_all", config.peers_all, parse_address)
        for number, peer in enumerate(config.peers):
            check_key(f"peers.{number}", peer, parse_address)


def check_key(name: str, text: str, parse: Callable[[str], object]) -> None:
    """Raises `SettingsError`, which names the key, if its text can't be parsed."""
    try:
        parse(text)
    except ValueError as error:
        raise SettingsError(f"key {name} can't be used: {error}") from error


def peering_enabled(config: Config) -> bool:
    """Whether sidecars may send one another datagrams and the addresses for that are set."""
    return config.settings.limits.may_tell and bool(config.peer_listen and config.peers_all and config.peers)


def load_configuration(path: Path | None) -> Config:
    """As `parse_configuration`, and raises `OSError` if the file can't be read."""
    if path is None:
        raise ValueError("no configuration file: RELAY_CONFIG is not set")
    return parse_configuration(path.read_bytes())

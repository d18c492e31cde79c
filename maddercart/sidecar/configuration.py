"""Whether a configuration can be used, at the start and again while serving."""

from pathlib import Path

from maddercart.interface import Permits
from maddercart.messages.config import Config, read_config
from maddercart.net.sockets import address
from maddercart.translation import balancer_arguments


def arguments(config: Config) -> dict[str, object]:
    """Raises `SettingsError`. On sockets the list comes only when asked for, and there is no probe."""
    made = balancer_arguments(config.settings)
    permits: Permits = made["permits"]
    return made | {"permits": permits._replace(follow=True, probes=False)}


def usable(text: bytes) -> Config:
    """Raises `ValueError` for what can't be used."""
    config = read_config(text)
    arguments(config)
    int(config.seed, 16)
    for at in (config.listen, config.discovery):
        address(at)
    return config


def usable_file(path: Path | None) -> Config:
    """Raises `OSError` as well."""
    if path is None:
        raise ValueError("none is named: RELAY_CONFIG is not set")
    return usable(path.read_bytes())

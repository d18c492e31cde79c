"""The command line."""

import logging
from importlib.metadata import PackageNotFoundError
from importlib.metadata import version as installed_version
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from maddercart.messages.config import Config
from maddercart.sidecar import logs
from maddercart.sidecar.node import Node, arguments
from maddercart.translation import SettingsError

app = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
    help="A load balancer beside each client.",
)  # fmt: skip
log = logging.getLogger(__name__)

ConfigFile = Annotated[Path, typer.Option(envvar="RELAY_CONFIG", help="The configuration, as JSON.")]
Level = Annotated[str, typer.Option(envvar="MADDERCART_LOG", help="DEBUG, INFO, WARNING or ERROR.")]

UNFIT = 2  # the exit code for a configuration that is missing or can't be used


def read_config(path: Path) -> Config:
    """Raises `OSError`, `msgspec.MsgspecError`, or `ValueError` for what can't be used."""
    config = msgspec.json.decode(path.read_bytes(), type=Config)
    arguments(config)
    int(config.seed, 16)
    return config


@app.command()
def serve(config: ConfigFile, level: Level = "INFO") -> None:
    """Serves the application until SIGTERM."""
    lines = logs.start(level)
    code = 0
    try:
        node = Node(read_config(config))
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        log.error("configuration can't be used", extra={"file": str(config), "reason": str(error)})
        code = UNFIT
    else:
        node.run()
    logs.flush(lines)
    raise typer.Exit(code)


@app.command()
def check(config: ConfigFile) -> None:
    """Reads a configuration and says whether it can be used."""
    try:
        read = read_config(config)
    except (OSError, msgspec.MsgspecError, SettingsError, ValueError) as error:
        typer.echo(f"{config}: {error}", err=True)
        raise typer.Exit(UNFIT) from error
    typer.echo(f"{read.name}: listens at {read.listen}, {len(read.known.hosts)} upstreams known")


@app.command()
def version() -> None:
    """Prints the version."""
    try:
        typer.echo(installed_version("maddercart"))
    except PackageNotFoundError:
        typer.echo("not installed: run from its folder")

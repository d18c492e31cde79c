"""The command line interface."""

import logging
from pathlib import Path
from typing import Annotated

import typer

from maddercart import __version__
from maddercart.gateway.commands import config as config_commands
from maddercart.gateway.commands import gateway, routes
from maddercart.lab.commands import lab
from maddercart.rig.commands import register
from maddercart.sidecar import logs
from maddercart.sidecar.configuration import load_configuration
from maddercart.sidecar.node import SidecarNode

app = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
    help="A load balancer that runs as a sidecar beside each client.",
)  # fmt: skip
app.add_typer(gateway, name="gateway")
app.add_typer(routes, name="routes")
app.add_typer(config_commands, name="config")
app.add_typer(lab, name="lab")
register(app)
log = logging.getLogger(__name__)

ConfigFile = Annotated[Path | None, typer.Option(envvar="RELAY_CONFIG", help="The JSON configuration file.")]
Level = Annotated[
    str, typer.Option(envvar="MADDERCART_LOG", help="Log level: DEBUG, INFO, WARNING or ERROR.")
]

EXIT_INVALID_CONFIG = 2  # also for a configuration that is missing


@app.command()
def serve(config: ConfigFile = None, level: Level = "INFO") -> None:
    """Runs the sidecar until SIGTERM; SIGHUP reloads the configuration."""
    log_queue, code = logs.start(level), 0
    try:
        loaded = load_configuration(config)
    except (OSError, ValueError) as error:
        log.error("configuration can't be used", extra={"file": str(config), "reason": str(error)})
        code = EXIT_INVALID_CONFIG
    else:
        try:
            SidecarNode(loaded, lambda: load_configuration(config)).run()
        except Exception:
            log.exception("sidecar failed")
            code = 1
    logs.flush(log_queue)
    raise typer.Exit(code)


@app.command()
def check(config: ConfigFile = None) -> None:
    """Checks whether a configuration can be used."""
    try:
        loaded = load_configuration(config)
    except (OSError, ValueError) as error:
        typer.echo(f"{config}: {error}", err=True)
        raise typer.Exit(EXIT_INVALID_CONFIG) from error
    typer.echo(f"{loaded.name}: listens at {loaded.listen}, {len(loaded.known.hosts)} upstreams known")


@app.command()
def version() -> None:
    """Prints the version."""
    typer.echo(__version__)

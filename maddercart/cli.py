"""The command line interface."""

from pathlib import Path
from typing import Annotated

import typer

from maddercart import __version__
from maddercart.gateway.commands import PASS_ON, gateway, routes
from maddercart.gateway.commands import config as config_commands
from maddercart.lab.commands import lab
from maddercart.rig.commands import register
from maddercart.services import CONFIG_VARIABLE, EXIT_INVALID_CONFIG, serve_sidecar
from maddercart.sidecar.configuration import load_configuration

app = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
    help="A load balancer that runs as a sidecar beside each client.",
)  # fmt: skip
app.add_typer(gateway, name="gateway")
app.add_typer(routes, name="routes")
app.add_typer(config_commands, name="config")
app.add_typer(lab, name="lab")
register(app)

ConfigFile = Annotated[Path | None, typer.Option(envvar=CONFIG_VARIABLE, help="The JSON configuration file.")]


@app.command(context_settings=PASS_ON, add_help_option=False)
def serve(context: typer.Context) -> None:
    """Runs the sidecar until SIGTERM; SIGHUP reloads the configuration."""
    raise typer.Exit(serve_sidecar(context.args))


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

"""The commands `gateway`, `routes` and `config`; modules are imported by the command that needs them."""

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
import typer

from maddercart.services import serve_gateway

if TYPE_CHECKING:
    from maddercart.gateway.config import GatewayConfig

gateway = typer.Typer(help="Runs an HTTP gateway from a configuration file.", no_args_is_help=True)
routes = typer.Typer(help="Inspects the routes of a gateway configuration.", no_args_is_help=True)
config = typer.Typer(help="Shows a gateway configuration and its reference.", no_args_is_help=True)
EXIT_UNUSABLE_CONFIG = 2
# Of commands whose options `maddercart.services` reads, also for their help.
PASS_ON = {"allow_extra_args": True, "ignore_unknown_options": True}
FileArgument = Annotated[
    Path, typer.Argument(envvar="MADDERCART_GATEWAY", help="gateway configuration file (TOML)")
]
FileOption = Annotated[
    Path, typer.Option("--file", envvar="MADDERCART_GATEWAY", help="gateway configuration file (TOML)")
]
JsonOption = Annotated[bool, typer.Option("--json", help="print JSON")]


@gateway.command(context_settings=PASS_ON, add_help_option=False)
def serve(context: typer.Context) -> None:
    """Serves until SIGTERM; SIGHUP reloads the file, which is applied as a whole or not at all."""
    raise typer.Exit(serve_gateway(context.args))


@gateway.command()
def check(file: FileArgument, json: JsonOption = False) -> None:
    """Checks a configuration file and prints all its problems; exits with code 2 if there are any."""
    from maddercart.gateway.check import read_gateway
    from maddercart.gateway.config import ConfigFileError

    try:
        gateway_config = read_gateway(file)
    except ConfigFileError as error:
        if json:
            wrong = [{"file": error.source, "key": key, "reason": reason} for key, reason in error.problems]
            typer.echo(msgspec.json.encode({"usable": False, "wrong": wrong}).decode())
        else:
            typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_UNUSABLE_CONFIG) from error
    counts = {
        "listeners": len(gateway_config.listeners),
        "routes": len(gateway_config.routes),
        "pools": len(gateway_config.pools),
    }
    if json:
        typer.echo(msgspec.json.encode({"usable": True, **counts}).decode())
    else:
        typer.echo(f"{file}: " + ", ".join(f"{count} {name}" for name, count in counts.items()))


def read_or_exit(file: Path) -> "GatewayConfig":
    """Reads a configuration file; prints its problems and exits with code 2 if it is unusable."""
    from maddercart.gateway.check import read_gateway
    from maddercart.gateway.config import ConfigFileError

    try:
        return read_gateway(file)
    except ConfigFileError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_UNUSABLE_CONFIG) from error


@routes.command()
def explain(
    method: str, url: str, file: FileOption,
    header: Annotated[list[str] | None, typer.Option(help="request header as NAME: VALUE")] = None,
    listener: Annotated[
        str, typer.Option(help="listener that receives the request; empty: the first one in the file")
    ] = "",
    json: JsonOption = False,
) -> None:  # fmt: skip
    """Shows the route, pools and terms of a request; exits with code 1 if no route matches."""
    from maddercart.gateway.front import Routing
    from maddercart.gateway.targets import BadTarget, parse_target
    from maddercart.http.server import Request
    from maddercart.sidecar.memory import UNLIMITED_BYTES, MemoryLedger

    gateway_config = read_or_exit(file)
    headers = [tuple(part.strip().encode() for part in text.partition(":")[::2]) for text in header or []]
    hosts = [value for name, value in headers if name.lower() == b"host"]
    routing = Routing(lambda: 0, 1, MemoryLedger(UNLIMITED_BYTES))
    routing.reconfigure(gateway_config.routes, {}, gateway_config.log)
    result: dict[str, Any] = {"method": method.upper(), "url": url}
    try:
        request_target = parse_target(url.encode(), hosts[0] if hosts else None)
    except BadTarget as error:
        result |= {"answer": 400, "reason": str(error)}
    else:
        request = Request(method.upper().encode(), url.encode(), headers, b"")  # type: ignore[arg-type]
        route_match, _ = routing.find(listener or gateway_config.listeners[0].name, request, request_target)
        result |= {
            "host": request_target.host, "path": request_target.path, "sent_on_as": request_target.target,
        }  # fmt: skip
        if route_match.route_index is None:
            result |= (
                {"answer": 405, "only": list(route_match.methods)} if route_match.methods else {"answer": 404}
            )
        else:
            route = gateway_config.routes[route_match.route_index]
            total_weight = sum(target.weight for target in route.to)
            result |= {
                "route": route.name, "at": f"routes[{route_match.route_index}]",
                "pools": {target.pool: round(target.weight / total_weight, 6) for target in route.to},
                "effect": route.effect, "agreed": route.agreed, "stop": route.stop,
                "dispatches": route.dispatches, "body": route.body, "held": route.held,
                "limits": [f"{limit.rate:g} a second by {limit.key}" for limit in route.limits],
            }  # fmt: skip
    if json:
        typer.echo(msgspec.json.encode(result).decode())
    else:
        for name, value in result.items():
            typer.echo(f"{name:11} {value}")
    if "route" not in result:
        raise typer.Exit(1)


@config.command()
def show(file: FileOption, json: JsonOption = False) -> None:
    """Shows all keys of a file with their values, including defaults."""
    tree = msgspec.to_builtins(read_or_exit(file))
    if json:
        typer.echo(msgspec.json.format(msgspec.json.encode(tree)).decode())
    else:
        for key, value in flatten(tree, ""):
            typer.echo(f"{key} = {value}")


@config.command()
def reference() -> None:
    """Prints the reference page of the configuration file in Markdown."""
    from maddercart.gateway.reference import render_page

    typer.echo(render_page(), nl=False)


def flatten(tree: Any, at: str) -> list[tuple[str, str]]:
    """Pairs of key and JSON value for each leaf of `tree`, whose own key is `at`."""
    if isinstance(tree, dict) and tree:
        return [pair for key, value in tree.items() for pair in flatten(value, f"{at}.{key}" if at else key)]
    if isinstance(tree, list) and tree and isinstance(tree[0], dict):
        return [pair for n, value in enumerate(tree) for pair in flatten(value, f"{at}[{n}]")]
    return [(at, msgspec.json.encode(tree).decode())]

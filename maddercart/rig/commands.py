"""The commands `standin`, `load`, `demo`, `plays`, `soak` and `memory`; all use only loopback addresses."""

from pathlib import Path
from typing import Annotated

import typer

EXIT_USAGE = 2


def register(app: typer.Typer) -> None:
    app.command()(standin)
    app.command()(load)
    app.command()(demo)
    app.command()(plays)
    app.command()(soak)
    app.command()(memory)


def loopback_address(text: str) -> tuple[str, int]:
    """Parses `host:port`; exits with an error unless it is a loopback address."""
    import ipaddress

    from maddercart.net.sockets import parse_address

    try:
        host, port = parse_address(text)
        if not ipaddress.IPv4Address(host).is_loopback:
            raise ValueError(f"{text!r} is not a loopback address")
    except ValueError as error:
        typer.echo(f"{error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error
    return host, port


def standin(
    addresses: Annotated[list[str], typer.Argument(help="loopback addresses; one server listens on each")],
    work_ms: Annotated[float, typer.Option(min=0.01, help="mean milliseconds of work per request")] = 10.0,
    spread: Annotated[float, typer.Option(min=0, max=3, help="standard deviation of log(work)")] = 0.3,
    cores: Annotated[int, typer.Option(min=1)] = 2,
    room: Annotated[int, typer.Option(min=0, help="requests that may wait for a core")] = 64,
    cold_start: Annotated[float, typer.Option(min=0.001, max=1, help="speed when cold, as a share")] = 0.2,
    ramp: Annotated[float, typer.Option(min=0, help="seconds until a cold server is warm")] = 10.0,
    seed: Annotated[int, typer.Option(min=0, help="seed of the work times and of which requests fail")] = 1,
    fault: Annotated[
        list[str] | None, typer.Option(help="SECONDS:KIND[:FIGURE]; kinds as for `/-/fault`")] = None,
) -> None:  # fmt: skip
    """Runs stand-ins for HTTP servers until SIGTERM. `GET /-/fault?kind=silent` changes the state of one
    at run time (up, silent, down, errors, slow, drain, cold; `&figure=0.5`); `/-/runs` returns how often each
    request id took effect, `/-/counts` its counters."""
    from maddercart.net.loop import Loop
    from maddercart.rig.standin import InvalidFault, StandInServer, StandInSettings, parse_fault
    from maddercart.sidecar.clock import MonotonicClock
    from maddercart.sidecar.signals import install_signal_handlers

    endpoints = [loopback_address(text) for text in addresses]
    try:
        faults = tuple(parse_fault(text) for text in fault or [])
    except InvalidFault as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_USAGE) from error
    clock = MonotonicClock()
    loop = Loop(clock)

    def stop() -> None:
        loop.stopped = True

    install_signal_handlers(loop, stop, lambda: None)
    for n, endpoint in enumerate(endpoints):
        terms = StandInSettings(work_ms, spread, cores, room, cold_start, ramp, seed=seed + n, faults=faults)
        try:
            typer.echo("{}:{}".format(*StandInServer(loop, clock, endpoint, terms).address))
        except OSError as error:
            typer.echo(f"{addresses[n]}: {error.strerror}", err=True)
            raise typer.Exit(EXIT_USAGE) from error
    loop.run()


def load(
    to: Annotated[str, typer.Argument(help="host:port, loopback only")],
    rate: Annotated[float, typer.Option(min=0, help="requests per second, over all processes")] = 100.0,
    seconds: Annotated[float, typer.Option(min=0.1, max=600)] = 10.0,
    kind: Annotated[str, typer.Option(help="constant, ramp (to --up-to) or burst")] = "constant",
    up_to: Annotated[float, typer.Option(min=0)] = 0.0,
    method: str = "GET",
    path: Annotated[str, typer.Option(help="{n} is the request's number")] = "/accounts/{n}",
    host: str = "load",
    header: Annotated[list[str] | None, typer.Option(help="NAME: VALUE")] = None,
    body: Annotated[int, typer.Option(min=0, max=1 << 24, help="bytes of each request")] = 0,
    marked: Annotated[bool, typer.Option(help="give each request its own Idempotency-Key")] = False,
    patience: Annotated[float, typer.Option(min=0.01, max=60, help="request timeout in seconds")] = 5.0,
    processes: Annotated[int, typer.Option(min=1, max=64)] = 1,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    runs: Annotated[list[str] | None, typer.Option(help="stand-ins to query for repeated effects")] = None,
    json: Annotated[bool, typer.Option("--json")] = False,
    plot: Annotated[Path | None, typer.Option(help="plot file, PNG or SVG (needs the lab's tools)")] = None,
) -> None:  # fmt: skip
    """Runs an open-loop load; latencies count from when a request was due. Exit code 1 if an answer was lost
    or late, or a request took effect twice."""
    from maddercart.rig.load import LoadShape, RequestTemplate
    from maddercart.rig.load_results import print_outcome, repeated_effects, run_processes

    endpoint = loopback_address(to)
    server_endpoints = [loopback_address(text) for text in runs or []]
    if kind not in ("constant", "ramp", "burst"):
        typer.echo(f"--kind {kind!r} must be constant, ramp or burst", err=True)
        raise typer.Exit(EXIT_USAGE)
    headers = tuple(
        (name.strip(), value.strip()) for name, _, value in (line.partition(":") for line in header or [])
    )
    shapes = [
        LoadShape(kind, rate / processes, up_to / processes, seconds, seed * 1000 + n)
        for n in range(processes)
    ]
    asked = RequestTemplate(method, path, host, headers, body, patience, marked)
    outcome = run_processes(endpoint, shapes, asked)
    doubled = repeated_effects(outcome, server_endpoints)
    print_outcome(outcome, doubled, json, plot)
    if outcome.fate_counts["lost"] + outcome.fate_counts["late"] or doubled:
        raise typer.Exit(1)


def demo(
    rate: Annotated[float, typer.Option(min=1, max=1000)] = 120.0,
    seconds: Annotated[float, typer.Option(min=5, max=300)] = 40.0,
    lost: Annotated[float, typer.Option(help="second at which zone a falls silent")] = 10.0,
    back: Annotated[float, typer.Option(help="second at which zone a recovers")] = 25.0,
) -> None:
    """Runs stand-ins in two zones, a gateway and load; one zone falls silent and recovers. Prints what
    clients saw, second by second, with the gateway's changes of state beside it."""
    from maddercart.rig.demo import run_demo

    outcome, _ = run_demo(rate, seconds, lost, back, show_line=lambda text: typer.echo(text))
    table = outcome.figures()
    typer.echo("in all: " + ", ".join(f"{name} {value:g}" for name, value in table.items()))


def plays(
    first: Annotated[int, typer.Option(min=0, help="seed of the first play")] = 0,
    count: Annotated[int, typer.Option(min=1, max=10_000)] = 20,
) -> None:
    """Runs the real sidecar code in generated deployments on a simulated network, with drains, silent and
    failing discovery, moves and restarts. Prints a line for each play and for each rule violation. Exit
    code 1 if there is a violation."""
    import logging

    from maddercart.rig.plays import run_play

    logging.disable(logging.CRITICAL)
    failed = 0
    for seed in range(first, first + count):
        result = run_play(seed)
        failed += bool(result.violations)
        summary = f"asked {result.queries}, done {result.succeeded}, withdrawn {result.withdrawn}"
        typer.echo(
            f"{seed}: {result.description}; {summary}; rules {'BROKEN' if result.violations else 'kept'}"
        )
        for violation in result.violations[:5]:
            typer.echo(f"    {violation}")
    typer.echo(f"{count} plays, rules broken in {failed}")
    raise typer.Exit(1 if failed else 0)


def soak(
    first: Annotated[int, typer.Option(min=0, help="seed of the first soak")] = 0,
    count: Annotated[int, typer.Option(min=1, max=10_000)] = 4,
    seconds: Annotated[float, typer.Option(min=8, max=600, help="length of each")] = 16.0,
    parallel: Annotated[int, typer.Option(min=1, max=16, help="soaks at a time; five processes each")] = 3,
    logs: Annotated[Path | None, typer.Option(help="folder for the logs of each soak")] = None,
) -> None:
    """Runs real sidecar processes on loopback under stepped wall clocks, failing system calls, discovery
    faults and signals. Prints a line for each soak and for each rule violation. Exit code 1 if there is a
    violation."""
    from concurrent.futures import ProcessPoolExecutor
    from functools import partial

    from maddercart.rig.processes.soak import run_soak

    failed = 0
    with ProcessPoolExecutor(parallel) as pool:
        for result in pool.map(
            partial(run_soak, duration_seconds=seconds, log_folder=logs), range(first, first + count)
        ):
            failed += bool(result.violations)
            summary = f"{result.requests} requests, {result.answered} answered, {result.attempts} attempts"
            verdict = f"{len(result.violations)} BROKEN" if result.violations else "rules kept"
            typer.echo(f"{result.seed}: {summary}; {', '.join(result.events)}; {verdict}")
            for violation in result.violations[:8]:
                typer.echo(f"    {violation}")
    typer.echo(f"{count} soaks, rules broken in {failed}")
    raise typer.Exit(1 if failed else 0)


def memory(
    shape: Annotated[list[str] | None, typer.Option(help="of the clients; several are mixed")] = None,
    memory_mb: Annotated[int, typer.Option(min=1, help="limit of the process")] = 32,
    descriptors: Annotated[int, typer.Option(min=64, help="limit; clients take a third of them")] = 1024,
    seconds: Annotated[float, typer.Option(min=1, max=3600)] = 60.0,
    clients: Annotated[
        int | None, typer.Option(min=1, help="instead of a third of the descriptors")
    ] = None,
    gateway: Annotated[bool, typer.Option("--gateway", help="a gateway in place of a sidecar")] = False,
    log: Annotated[bool, typer.Option("--log", help="print the log of the process")] = False,
) -> None:  # fmt: skip
    """Runs a process with little memory under clients that make it hold much, beside usual clients; all
    shapes unless some are named. Exit code 1 if it passes its limit, or usual clients are not served."""
    from maddercart.rig.processes.memory_clients import Shape
    from maddercart.rig.processes.memory_run import MemoryRunSettings, run_memory

    try:
        shapes = tuple(Shape(name) for name in shape or [each.value for each in Shape])
    except ValueError as error:
        typer.echo(f"{error}; shapes: {', '.join(each.value for each in Shape)}", err=True)
        raise typer.Exit(EXIT_USAGE) from error
    result = run_memory(
        MemoryRunSettings(shapes, memory_mb, descriptors, seconds, is_gateway=gateway, clients=clients)
    )
    violations = result.violations(memory_mb)
    names = ",".join(each.value for each in shapes) if len(shapes) < len(Shape) else "all"
    kind = "gateway" if gateway else "sidecar"
    verdict = "; ".join(violations) or "bounds kept"
    typer.echo(f"{kind}, {memory_mb} MB, {descriptors} descriptors, {names}: {result.describe()}; {verdict}")
    if log:
        typer.echo(result.log)
    raise typer.Exit(1 if violations else 0)

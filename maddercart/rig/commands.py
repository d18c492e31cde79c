"""`maddercart standin`, `load` and `demo`; all on loopback."""

from pathlib import Path
from typing import Annotated

import typer

UNFIT = 2


def register(app: typer.Typer) -> None:
    app.command()(standin)
    app.command()(load)
    app.command()(demo)
    app.command()(plays)
    app.command()(soak)


def loopback(text: str) -> tuple[str, int]:
    """A load or a stand-in elsewhere than on this machine is no use of these."""
    import ipaddress

    from maddercart.net.sockets import address

    try:
        host, port = address(text)
        if not ipaddress.IPv4Address(host).is_loopback:
            raise ValueError(f"{text!r} is no loopback address")
    except ValueError as error:
        typer.echo(f"{error}", err=True)
        raise typer.Exit(UNFIT) from error
    return host, port


def standin(
    addresses: Annotated[list[str], typer.Argument(help="one server listens at each, loopback only")],
    work_ms: Annotated[float, typer.Option(min=0.01, help="mean work of a query on one core")] = 10.0,
    spread: Annotated[float, typer.Option(min=0, max=3, help="of its logarithm")] = 0.3,
    cores: Annotated[int, typer.Option(min=1)] = 2,
    room: Annotated[int, typer.Option(min=0, help="queries that may wait")] = 64,
    cold_start: Annotated[float, typer.Option(min=0.001, max=1, help="of what a warm one can do")] = 0.2,
    ramp: Annotated[float, typer.Option(min=0, help="seconds until it is warm")] = 10.0,
    seed: Annotated[int, typer.Option(min=0, help="of its times and of which queries fail")] = 1,
    fault: Annotated[
        list[str] | None, typer.Option(help="SECONDS:KIND[:FIGURE]; as `/-/fault`")] = None,
) -> None:  # fmt: skip
    """Stand-ins for HTTP servers, until SIGTERM. `GET /-/fault?kind=silent` strikes one as it runs (up,
    silent, down, errors, slow, drain, cold; `&figure=0.5`); `/-/runs` tells how often each id took effect,
    `/-/counts` what it did."""
    from maddercart.net.loop import Loop
    from maddercart.rig.standin import BadFault, StandIn, Terms, read_fault
    from maddercart.sidecar.clock import Clock
    from maddercart.sidecar.signals import await_signals

    where = [loopback(text) for text in addresses]
    try:
        faults = tuple(read_fault(text) for text in fault or [])
    except BadFault as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(UNFIT) from error
    clock = Clock()
    loop = Loop(clock)

    def stop() -> None:
        loop.stopped = True

    await_signals(loop, stop, lambda: None)
    for n, at in enumerate(where):
        terms = Terms(work_ms, spread, cores, room, cold_start, ramp, seed=seed + n, faults=faults)
        try:
            typer.echo("{}:{}".format(*StandIn(loop, clock, at, terms).at))
        except OSError as error:
            typer.echo(f"{addresses[n]}: {error.strerror}", err=True)
            raise typer.Exit(UNFIT) from error
    loop.run()


def load(
    to: Annotated[str, typer.Argument(help="host:port, loopback only")],
    rate: Annotated[float, typer.Option(min=0, help="requests a second, over all processes")] = 100.0,
    seconds: Annotated[float, typer.Option(min=0.1, max=600)] = 10.0,
    kind: Annotated[str, typer.Option(help="constant, ramp (to --up-to) or burst")] = "constant",
    up_to: Annotated[float, typer.Option(min=0)] = 0.0,
    method: str = "GET",
    path: Annotated[str, typer.Option(help="{n} is the request's number")] = "/accounts/{n}",
    host: str = "load",
    header: Annotated[list[str] | None, typer.Option(help="NAME: VALUE")] = None,
    body: Annotated[int, typer.Option(min=0, max=1 << 24, help="bytes of each request")] = 0,
    marked: Annotated[bool, typer.Option(help="each has an Idempotency-Key of its own")] = False,
    patience: Annotated[float, typer.Option(min=0.01, max=60, help="seconds")] = 5.0,
    processes: Annotated[int, typer.Option(min=1, max=64)] = 1,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    runs: Annotated[list[str] | None, typer.Option(help="stand-ins that are asked what they ran")] = None,
    json: Annotated[bool, typer.Option("--json")] = False,
    plot: Annotated[Path | None, typer.Option(help="a PNG or SVG of it (needs the lab's tools)")] = None,
) -> None:  # fmt: skip
    """An open-loop load; times count from when a request was due. Exit code 1 if an answer was lost, or a
    request took effect twice."""
    from maddercart.rig.load import Asked, Shape
    from maddercart.rig.outcomes import run, show, twice

    at = loopback(to)
    stands = [loopback(text) for text in runs or []]
    if kind not in ("constant", "ramp", "burst"):
        typer.echo(f"--kind {kind!r} is none of constant, ramp, burst", err=True)
        raise typer.Exit(UNFIT)
    pairs = tuple(
        (name.strip(), value.strip()) for name, _, value in (one.partition(":") for one in header or [])
    )
    shapes = [
        Shape(kind, rate / processes, up_to / processes, seconds, seed * 1000 + n) for n in range(processes)
    ]
    asked = Asked(method, path, host, pairs, body, patience, marked)
    outcome = run(at, shapes, asked)
    doubled = twice(outcome, stands)
    show(outcome, doubled, json, plot)
    if outcome.fates["lost"] + outcome.fates["late"] or doubled:
        raise typer.Exit(1)


def demo(
    rate: Annotated[float, typer.Option(min=1, max=1000)] = 120.0,
    seconds: Annotated[float, typer.Option(min=5, max=300)] = 40.0,
    lost: Annotated[float, typer.Option(help="when zone a falls silent")] = 10.0,
    back: Annotated[float, typer.Option(help="when it is back")] = 25.0,
) -> None:
    """Stand-ins in two zones, a gateway and load; one zone falls silent and comes back. Prints what a client
    saw, second by second, with the gateway's changes of state beside it."""
    from maddercart.rig.demo import play

    outcome, _ = play(rate, seconds, lost, back, say=lambda text: typer.echo(text))
    table = outcome.table()
    typer.echo("in all: " + ", ".join(f"{name} {value:g}" for name, value in table.items()))


def plays(
    first: Annotated[int, typer.Option(min=0, help="seed of the first play")] = 0,
    count: Annotated[int, typer.Option(min=1, max=10_000)] = 20,
) -> None:
    """Generated deployments: the real sidecar code on a stand-in network, with drains, silent and failing
    discovery, moves and restarts; a line for each and for each broken rule. Exit code 1 if one broke."""
    import logging

    from maddercart.rig.plays import play

    logging.disable(logging.CRITICAL)
    broke = 0
    for seed in range(first, first + count):
        figures = play(seed)
        broke += bool(figures.broken)
        counted = f"asked {figures.asked}, done {figures.done}, withdrawn {figures.withdrawn}"
        typer.echo(
            f"{seed}: {figures.description}; {counted}; rules {'BROKEN' if figures.broken else 'kept'}"
        )
        for line in figures.broken[:5]:
            typer.echo(f"    {line}")
    typer.echo(f"{count} plays, rules broken in {broke}")
    raise typer.Exit(1 if broke else 0)


def soak(
    first: Annotated[int, typer.Option(min=0, help="seed of the first soak")] = 0,
    count: Annotated[int, typer.Option(min=1, max=10_000)] = 4,
    seconds: Annotated[float, typer.Option(min=8, max=600, help="length of each")] = 16.0,
    parallel: Annotated[int, typer.Option(min=1, max=16, help="at a time; five processes each")] = 3,
    logs: Annotated[Path | None, typer.Option(help="folder for the logs of each soak")] = None,
) -> None:
    """Real sidecar processes on loopback under stepped wall clocks, failing system calls, troubles of
    discovery and signals; a line for each soak and for each broken rule. Exit code 1 if one broke."""
    from concurrent.futures import ProcessPoolExecutor
    from functools import partial

    from maddercart.rig.processes.soak import run_soak

    broke = 0
    with ProcessPoolExecutor(parallel) as pool:
        for result in pool.map(partial(run_soak, span=seconds, logs=logs), range(first, first + count)):
            broke += bool(result.broken)
            counted = f"{result.requests} requests, {result.answered} answered, {result.attempts} attempts"
            verdict = f"{len(result.broken)} BROKEN" if result.broken else "rules kept"
            typer.echo(f"{result.seed}: {counted}; {', '.join(result.events)}; {verdict}")
            for line in result.broken[:8]:
                typer.echo(f"    {line}")
    typer.echo(f"{count} soaks, rules broken in {broke}")
    raise typer.Exit(1 if broke else 0)

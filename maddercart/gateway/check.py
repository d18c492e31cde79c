"""Checks the gateway's configuration beyond its types; reports all problems, each with its key."""

import ipaddress
import re
from collections.abc import Iterable, Sequence
from pathlib import Path

from maddercart.gateway.config import (
    ConfigFileError,
    GatewayConfig,
    MembersFile,
    Pool,
    Route,
    Server,
    convert,
    read_toml,
)
from maddercart.gateway.routes import RouteTable, path_segments
from maddercart.gateway.targets import BadTarget, normalize_path
from maddercart.net.sockets import parse_address

Problems = list[tuple[str, str]]  # key, reason
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
HOST_PATTERN = re.compile(r"(\*\.)?[a-z0-9_]([a-z0-9_.-]*[a-z0-9_])?")
PATH_PARAMETER = re.compile(r"\{[A-Za-z][A-Za-z0-9_]*\}")


def read_gateway(path: Path) -> GatewayConfig:
    """Reads and checks a configuration file. Raises `ConfigFileError` with all problems."""
    tree = read_toml(path)
    converted, problems = convert(tree, GatewayConfig)
    if converted is None:
        raise ConfigFileError(str(path), problems)
    if problems := check_gateway(converted, path.parent):
        raise ConfigFileError(str(path), problems)
    config: GatewayConfig = converted
    return config


def read_members(path: Path, pool: Pool) -> list[Server]:
    """Reads and checks the members file of a pool. Raises `ConfigFileError` with all problems."""
    converted, problems = convert(read_toml(path), MembersFile)
    if converted is None or (problems := list(check_servers("servers", converted.servers, pool))):
        raise ConfigFileError(str(path), problems)
    return list(converted.servers)


def check_gateway(config: GatewayConfig, base_dir: Path) -> Problems:
    """All problems of a configuration; `base_dir` is where relative members files are looked up."""
    problems: Problems = []
    for key, tables in (
        ("listeners", config.listeners),
        ("pools", config.pools),
        ("routes", config.routes),
    ):
        names = [table.name for table in tables]
        problems += [
            (f"{key}[{n}].name", f"{name!r} is a duplicate name")
            for n, name in enumerate(names)
            if name in names[:n]
        ]
    addresses: dict[str, int] = {}  # index of the first listener with each address
    for n, listener in enumerate(config.listeners):
        problems += check_address(f"listeners[{n}].address", listener.address)
        if not listener.address.endswith(":0") and addresses.setdefault(listener.address, n) != n:
            problems.append(
                (
                    f"listeners[{n}].address",
                    f"is also the address of listeners[{addresses[listener.address]}]",
                )
            )
        if listener.ready and not listener.ready.startswith("/"):
            problems.append((f"listeners[{n}].ready", f"{listener.ready!r} is not a path"))
    for n, pool in enumerate(config.pools):
        problems += check_pool(f"pools[{n}]", pool, base_dir)
    for n, pool in enumerate(config.pools):
        effects = {route.effect for route in config.routes if pool.name in [to.pool for to in route.to]}
        if effects == {"irreversible"} and not pool.probe:
            # An irreversible query must not be risked as a canary: without probes, a server that was ejected
            # would never be used again.
            problems.append(
                (
                    f"pools[{n}].probe",
                    "is required: all its routes are irreversible and cannot provide canaries",
                )
            )
    for n, route in enumerate(config.routes):
        problems += check_route(f"routes[{n}]", route, config)
    if not problems:
        for first, second in RouteTable(config.routes).ambiguous_pairs():
            names = [config.routes[route_index].name for route_index in (first, second)]
            reason = (
                f"{names[1]!r} and {names[0]!r} (routes[{first}]) match the same requests and are equally "
                "specific"
            )
            problems.append((f"routes[{second}]", reason))
    return problems


def check_address(key: str, text: str, dialled: bool = False) -> Problems:
    """Problems of an IPv4 address with port; port 0 is accepted unless the address is `dialled`."""
    try:
        host, _ = parse_address(text)
        ipaddress.IPv4Address(host)  # host names are not accepted, since resolving them would block the loop
    except ValueError:
        return [(key, f"{text!r} is not an IPv4 address with a port")]
    return [(key, "has port 0")] if dialled and text.endswith(":0") else []


def check_pool(key: str, pool: Pool, base_dir: Path) -> Iterable[tuple[str, str]]:
    sources = [name for name in ("servers", "file", "discovery") if getattr(pool, name)]
    if len(sources) != 1:
        given = "none" if not sources else " and ".join(sources)
        yield key, f"needs exactly one of servers, file and discovery, but has {given}"
    for name in ("zones", "kinds"):
        if len(set(values := getattr(pool, name))) < len(values):
            yield f"{key}.{name}", "contains a duplicate name"
    if pool.zone and pool.zone not in pool.zones:
        yield (
            f"{key}.zone",
            f"{pool.zone!r} is not one of the pool's zones ({', '.join(pool.zones) or 'it names none'})",
        )
    if pool.number >= pool.sidecars:
        yield (
            f"{key}.number",
            f"{pool.number} is not below the {pool.sidecars} sidecars, which are counted from 0",
        )
    if pool.adaptive and pool.adaptive.least > pool.adaptive.most:
        yield f"{key}.adaptive.least", "is greater than `most`"
    if pool.discovery:
        yield from check_address(f"{key}.discovery", pool.discovery, dialled=True)
    yield from check_servers(f"{key}.servers", pool.servers, pool)
    if pool.probe and not pool.probe.startswith("/"):
        yield f"{key}.probe", f"{pool.probe!r} is not a path"
    if pool.file:
        try:
            read_members(base_dir / pool.file, pool)
        except ConfigFileError as error:
            yield from ((f"{key}.file", f"{pool.file}: {at}: {reason}" if at else f"{pool.file}: {reason}")
                        for at, reason in error.problems)  # fmt: skip


def check_servers(key: str, servers: Sequence[Server], pool: Pool) -> Iterable[tuple[str, str]]:
    names: dict[str, int] = {}  # index of the first server with each name
    for n, server in enumerate(servers):
        yield from check_address(f"{key}[{n}].address", server.address, dialled=True)
        if names.setdefault(name := server.name or server.address, n) != n:
            yield f"{key}[{n}]", f"{name!r} is already the name of {key}[{names[name]}]"
        if server.zone and server.zone not in pool.zones:
            yield f"{key}[{n}].zone", f"{server.zone!r} is not one of the pool's zones"
        if server.kind and server.kind not in pool.kinds:
            yield f"{key}[{n}].kind", f"{server.kind!r} is not one of the pool's kinds"


def check_route(key: str, route: Route, config: GatewayConfig) -> Iterable[tuple[str, str]]:
    pools, listeners = (
        [pool.name for pool in config.pools],
        [listener.name for listener in config.listeners],
    )
    for n, target in enumerate(route.to):
        if target.pool not in pools:
            yield f"{key}.to[{n}].pool", f"there is no pool {target.pool!r}"
    if len({target.pool for target in route.to}) < len(route.to):
        yield f"{key}.to", "names a pool more than once"
    for name in route.listeners:
        if name not in listeners:
            yield f"{key}.listeners", f"there is no listener {name!r}"
    if route.host and not HOST_PATTERN.fullmatch(route.host.lower()):
        yield f"{key}.host", f"{route.host!r} is neither a host name nor of the form *.name"
    if route.path and route.prefix:
        yield f"{key}.prefix", "cannot be combined with `path`"
    for name in ("path", "prefix"):
        if text := getattr(route, name):
            yield from check_path(f"{key}.{name}", text, name == "path")
    for method in route.methods:
        if not TOKEN.fullmatch(method):
            yield f"{key}.methods", f"{method!r} is not a valid method"
    lowered = [name.lower() for name in route.headers]
    for name in route.headers:
        if not TOKEN.fullmatch(name) or lowered.count(name.lower()) > 1:
            yield f"{key}.headers", f"{name!r} is not a valid header name or is a duplicate"
    if route.stop < route.agreed:
        yield f"{key}.stop", f"{route.stop:g} s is less than the agreed time, {route.agreed:g} s"
    for n, limit in enumerate(route.limits):
        if limit.key not in ("client", "route") and not re.fullmatch(r"header:" + TOKEN.pattern, limit.key):
            yield f"{key}.limits[{n}].key", f"{limit.key!r} is none of client, route and header:NAME"


def check_path(key: str, text: str, parameters_allowed: bool) -> Iterable[tuple[str, str]]:
    """Problems of a route's `path`, which may contain parameters such as {x}, or of its `prefix`."""
    if not text.startswith("/"):
        yield key, f"{text!r} does not begin with /"
        return
    parameters = [segment for segment in path_segments(text) if "{" in segment or "}" in segment]
    if parameters and not parameters_allowed:
        yield key, "contains {}, which is allowed in `path` only"
        return
    for segment in parameters:
        if not PATH_PARAMETER.fullmatch(segment):
            yield key, f"{segment!r} is not a whole segment in {{}}"
    if len(set(parameters)) < len(parameters):
        yield key, "uses one {} name more than once"
    if not parameters_allowed and text != "/" and text.endswith("/"):
        yield key, "ends with /; leave it out, since a prefix is compared by whole segments"
    literal = "/".join("x" if segment in parameters else segment for segment in text.split("/"))
    try:
        if normalize_path(literal) != literal:
            yield (
                key,
                f"must be written {normalize_path(literal)!r}, as in normalized requests",
            )
    except BadTarget as error:
        yield key, str(error).replace("the path", "it")
